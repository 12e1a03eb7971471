/*
 * component.c - the daemon's components in their start order
 */
#include "component_private.h"

#include "common/log.h"
#include "entry/admin.h"
#include "entry/entry.h"
#include "entry/measures.h"
#include "entry/orders.h"
#include "entry/requests.h"

/* Each body is copied when it is sent to a server, so they take twice this. */
#define BODIES_BYTES_MAX ((size_t)64 << 20)
#define CONNECTION_IDLE_USEC (60 * USEC_PER_SEC)
#define REQUEST_READ_USEC (30 * USEC_PER_SEC)

static bool client_start(void *ctx, struct error *err)
{
	struct entry *entry = ctx;

	entry->client = web_client_create(entry->loop);
	return true;
}

static void client_stop(void *ctx)
{
	struct entry *entry = ctx;

	web_client_destroy(entry->client);
	entry->client = NULL;
}

static bool server_start(void *ctx, struct error *err)
{
	struct entry *entry = ctx;
	struct web_limits limits = {
		.body_bytes = entry->settings.body_bytes_max,
		.bodies_bytes = BODIES_BYTES_MAX,
		.connections = entry->settings.connections_max,
		.idle_usec = CONNECTION_IDLE_USEC,
		.request_usec = REQUEST_READ_USEC,
	};

	entry->server = web_server_create(entry->loop, entry->settings.listen,
					  &limits, err);
	if (!entry->server)
		return false;
	log_event(LOG_INFO, "listening", LOG_S("role", "callers"),
		  LOG_S("address", web_server_address(entry->server)));
	return true;
}

static void server_stop(void *ctx)
{
	struct entry *entry = ctx;

	web_server_destroy(entry->server);
	entry->server = NULL;
}

static bool orders_start(void *ctx, struct error *err)
{
	struct entry *entry = ctx;

	entry->orders = entry_orders_create(entry);
	return true;
}

static void orders_stop(void *ctx)
{
	struct entry *entry = ctx;

	entry_orders_destroy(entry->orders);
	entry->orders = NULL;
}

static bool measures_start(void *ctx, struct error *err)
{
	struct entry *entry = ctx;

	entry->measures = measures_create(entry);
	return true;
}

static void measures_stop(void *ctx)
{
	struct entry *entry = ctx;

	measures_destroy(entry->measures);
	entry->measures = NULL;
}

static bool requests_start(void *ctx, struct error *err)
{
	struct entry *entry = ctx;

	entry->requests = requests_create(entry);
	requests_serve(entry->requests);
	if (entry->config)
		requests_configured(entry->requests);
	return true;
}

static void requests_stop(void *ctx)
{
	struct entry *entry = ctx;

	requests_destroy(entry->requests);
	entry->requests = NULL;
}

static bool admin_start(void *ctx, struct error *err)
{
	struct entry *entry = ctx;

	entry->admin = admin_create(entry, err);
	return entry->admin != NULL;
}

static void admin_stop(void *ctx)
{
	struct entry *entry = ctx;

	admin_destroy(entry->admin);
	entry->admin = NULL;
}

const struct component entry_components[] = {
	{"client", false, client_start, client_stop},
	{"platform", false, platform_start, platform_stop},
	{"peers", false, peers_start, peers_stop},
	{"server", false, server_start, server_stop},
	{"membership", false, membership_component_start,
	 membership_component_stop},
	{"directory", false, directory_start, directory_stop},
	{"fold", false, fold_component_start, fold_component_stop},
	{"claims", false, claims_component_start, claims_component_stop},
	{"ledger", false, ledger_component_start, ledger_component_stop},
	{"poller", true, poller_start, poller_stop},
	{"orders", true, orders_start, orders_stop},
	{"measures", false, measures_start, measures_stop},
	{"requests", false, requests_start, requests_stop},
	{"admin", false, admin_start, admin_stop},
	{"list", true, list_start, list_stop},
};

const size_t entry_component_count = G_N_ELEMENTS(entry_components);
