/*
 * component_ledger.c - claims, ledger and poller, and their callbacks
 */
#include "component_private.h"

#include "entry/directory.h"
#include "entry/engine.h"
#include "entry/entry.h"
#include "entry/own_platform.h"
#include "entry/peers.h"
#include "entry/poller.h"
#include "entry/requests.h"

static void claim_ended(void *ctx, uint64_t request, enum result_code code,
			const struct owner *winner)
{
	const struct entry *entry = ctx;

	if (entry->requests)
		requests_claimed(entry->requests, request, code, winner);
}

static void claims_message_receive(void *ctx, uint64_t from, const void *data,
				   size_t size)
{
	claims_receive(ctx, from, data, size);
}

bool claims_component_start(void *ctx, struct error *err)
{
	struct entry *entry = ctx;
	struct transport transport = peers_transport(entry->peers);

	entry->claims = claims_create(entry->clock, entry->membership,
				      platform_log(entry->platform), &transport,
				      claim_ended, entry);
	peers_handler_set(entry->peers, CHANNEL_CLAIM, claims_message_receive,
			  entry->claims);
	claims_start(entry->claims);
	return true;
}

void claims_component_stop(void *ctx)
{
	struct entry *entry = ctx;

	peers_handler_set(entry->peers, CHANNEL_CLAIM, NULL, NULL);
	claims_destroy(entry->claims);
	entry->claims = NULL;
}

static void on_granted(void *ctx, const struct ledger_grant *grant)
{
	const struct entry *entry = ctx;

	if (entry->requests)
		requests_granted(entry->requests, grant);
}

static void on_refused(void *ctx, const struct ledger_refusal *refusal)
{
	const struct entry *entry = ctx;

	if (entry->requests)
		requests_refused(entry->requests, refusal);
}

static void on_duplicate(void *ctx, const struct ledger_duplicate *duplicate)
{
	const struct entry *entry = ctx;

	if (entry->requests)
		requests_duplicate(entry->requests, duplicate);
}

static void on_revoked(void *ctx, uint64_t request, uint32_t attempt)
{
	const struct entry *entry = ctx;

	if (entry->requests)
		requests_revoked(entry->requests, request, attempt);
}

/* A cancellation sent to a runner. */
struct cancel {
	struct entry *entry;
	uint64_t runner;
	char stream[LEDGER_STREAM_MAX];
};

static void cancel_done(void *ctx, bool confirmed)
{
	struct cancel *cancel = ctx;

	if (cancel->entry->ledger)
		ledger_cancelled(cancel->entry->ledger, cancel->runner,
				 cancel->stream, confirmed);
	g_free(cancel);
}

/* If the runner's address is unknown, the ledger retries the cancellation. */
static void on_cancel(void *ctx, uint64_t runner, const char *stream)
{
	struct entry *entry = ctx;
	const struct backend *backend =
		directory_find(entry->directory, runner);
	struct cancel *cancel;

	if (!backend)
		return;
	cancel = g_new0(struct cancel, 1);
	cancel->entry = entry;
	cancel->runner = runner;
	g_strlcpy(cancel->stream, stream, sizeof(cancel->stream));
	engine_cancel(entry, backend->address, stream, cancel_done, cancel);
}

static void on_homes_changed(void *ctx)
{
	const struct entry *entry = ctx;

	if (entry->poller)
		poller_refresh(entry->poller);
}

static void runners_update(void *ctx)
{
	struct entry *entry = ctx;
	GArray *runners =
		g_array_new(FALSE, FALSE, sizeof(struct ledger_runner));
	const struct backend *backend;
	uint32_t cursor = 0;

	while ((backend = directory_next(entry->directory, &cursor))) {
		struct ledger_runner runner = {
			.id = backend->id,
			.pool = backend->pool,
			.data_centre = backend->data_centre,
			.leaving = backend->leaving || !backend->listed,
		};

		g_array_append_val(runners, runner);
	}
	ledger_runners(entry->ledger,
		       (const struct ledger_runner *)runners->data,
		       runners->len);
	g_array_free(runners, TRUE);
	if (entry->poller)
		poller_refresh(entry->poller);
	if (entry->requests)
		requests_configured(entry->requests);
}

static void ledger_message_receive(void *ctx, uint64_t from, const void *data,
				   size_t size)
{
	ledger_receive(ctx, from, data, size);
}

bool ledger_component_start(void *ctx, struct error *err)
{
	static const struct ledger_ops ops = {
		.granted = on_granted,
		.refused = on_refused,
		.duplicate = on_duplicate,
		.revoked = on_revoked,
		.cancel = on_cancel,
		.homes_changed = on_homes_changed,
	};
	struct entry *entry = ctx;
	struct ledger_settings settings = {
		.settle = entry->settings.settle_usec,
		.orphan_grace = entry->settings.orphan_grace_usec,
	};
	struct transport transport = peers_transport(entry->peers);

	entry->ledger = ledger_create(entry->clock, entry->membership,
				      &settings, &transport, &ops, entry);
	peers_handler_set(entry->peers, CHANNEL_LEDGER, ledger_message_receive,
			  entry->ledger);
	directory_on_changed(entry->directory, runners_update, entry);
	return !entry->config ||
	       ledger_configure(entry->ledger, entry->config, err);
}

void ledger_component_stop(void *ctx)
{
	struct entry *entry = ctx;

	directory_on_changed(entry->directory, NULL, NULL);
	peers_handler_set(entry->peers, CHANNEL_LEDGER, NULL, NULL);
	ledger_destroy(entry->ledger);
	entry->ledger = NULL;
}

bool poller_start(void *ctx, struct error *err)
{
	struct entry *entry = ctx;

	entry->poller = poller_create(entry);
	return true;
}

void poller_stop(void *ctx)
{
	struct entry *entry = ctx;

	poller_destroy(entry->poller);
	entry->poller = NULL;
}
