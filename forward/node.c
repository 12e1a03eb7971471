#include "node.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "common/id.h"
#include "common/log.h"
#include "forward/relay.h"

/* Largest body and idle timeout of a caller's connection; a catalog can only
 * lower the former. Callers keep idle connections for four fifths of the
 * timeout. */
#define BODY_BYTES_MAX (4u << 20)
/* Each body is copied when it is sent to a server, so they take twice this. */
#define BODIES_BYTES_MAX (24u << 20)
/* Two plain answers of the largest size. */
#define REPLIES_BYTES_MAX (12u << 20)
#define IDLE_TIMEOUT_USEC (20 * USEC_PER_SEC)
#define HEALTH_CONNECTIONS 64u
/* All instances of a data centre may fetch a mirror at once, and some may have
 * calls relayed. */
#define PEER_CONNECTIONS 768u
/* Streams whose version is kept, at about 80 bytes each. */
#define ORIGINS_MAX 65536u
/* An event loop iteration this late means that the process was stalled. */
#define STALL_USEC (1 * USEC_PER_SEC)
/* Least time between refreshes of the configuration. A slow store answers after
 * about 240 ms, and a refresh abandons the pending read. */
#define REFRESH_INTERVAL_USEC (600 * USEC_PER_MSEC)
/* With port 0, the port that the kernel assigns for TCP may be in use for UDP.
 */
#define PEER_PORT_TRIES 8

static uint32_t instances_count(void *ctx)
{
	const struct node *node = ctx;

	return gossip_instances(node->gossip);
}

static int64_t interval_get(void *ctx, bool local)
{
	const struct node *node = ctx;

	return gossip_delay(node->gossip, local);
}

static void load_changed(void *ctx)
{
	const struct node *node = ctx;

	gossip_load_changed(node->gossip);
}

static int64_t list_age_get(void *ctx)
{
	const struct node *node = ctx;
	struct mirror_status status;

	mirror_status(node->mirrors[STREAM_LIST].mirror, &status);
	return status.age_usec;
}

static bool list_read(void *ctx)
{
	const struct node *node = ctx;
	struct mirror *mirror = node->mirrors[STREAM_LIST].mirror;

	if (mirror_failing(mirror))
		return false;
	mirror_poll(mirror);
	return true;
}

static bool is_store_unreachable(const struct node *node)
{
	return mirror_failing(node->mirrors[STREAM_LIST].mirror) ||
	       mirror_failing(node->mirrors[STREAM_CONFIG].mirror);
}

static void summary_fill(void *ctx, struct gossip_summary *summary)
{
	struct node *node = ctx;
	const struct catalog *catalog = forward_catalog(node->forward);
	GHashTableIter iter;
	struct catalog_service *service;

	*summary = (struct gossip_summary){
		.leaving = node->draining,
		.store_unreachable = is_store_unreachable(node),
		.links_lost = fleet_links_lost(node->fleet),
	};
	node_mirrors_status(node, summary);
	if (!catalog)
		return;
	summary->version = catalog->version;
	summary->ranked =
		forward_waiting_ranks(node->forward, summary->waiting_ranked);
	g_hash_table_iter_init(&iter, catalog->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
		struct forward_demand demand;

		forward_demand(node->forward, service->id, &demand);
		summary->demand += demand.prompt_tokens_per_s;
		summary->waiting += demand.waiting;
		summary->prefill_rates += demand.prefill_rate;
		summary->prefill_rate_count += demand.prefill_rate > 0.0;
	}
}

static void servers_fill(void *ctx, struct gossip_summary *summary)
{
	const struct node *node = ctx;

	summary->unreachable_count = fleet_unreachable(
		node->fleet, summary->unreachable, GOSSIP_UNREACHABLE_MAX);
	if (node->roles)
		summary->changing_count = roles_pending_changes(
			node->roles, summary->changing, GOSSIP_CHANGING_MAX);
}

/* Merges the summary of a peer. If a peer knows a later version of the
 * configuration than the first instance of the data centre, which reads the
 * store itself, the answer to that instance's waiting read may have been lost,
 * so it reads again. */
static void on_summary(void *ctx, const char *address, bool local,
		       const struct gossip_summary *summary)
{
	struct node *node = ctx;
	const struct catalog *catalog = forward_catalog(node->forward);

	node_mirrors_merge(node, address, summary);
	node_ranks_received(node, summary);
	/* A server that a remote instance cannot reach may be reachable from
	 * here, so only local reports are merged. */
	for (uint32_t i = 0; local && i < summary->unreachable_count; i++)
		fleet_merge_unreachable(node->fleet, id_of(address),
					&summary->unreachable[i]);
	for (uint32_t i = 0; i < summary->changing_count; i++)
		fleet_set_changing(node->fleet, &summary->changing[i]);
	if (summary->version <= (catalog ? catalog->version : 0) ||
	    clock_now(node->clock) - node->refreshed_at <
		    REFRESH_INTERVAL_USEC ||
	    gossip_rank(node->gossip) > 0)
		return;
	node->refreshed_at = clock_now(node->clock);
	mirror_refresh(node->mirrors[STREAM_CONFIG].mirror);
}

static bool reads_store(void *ctx)
{
	const struct node *node = ctx;

	return gossip_rank(node->gossip) == 0;
}

bool node_decides(const struct node *node)
{
	return !node->draining &&
	       clock_now(node->clock) >= NODE_DISCOVERY_USEC &&
	       gossip_is_lowest(node->gossip, is_store_unreachable(node));
}

static bool roles_decide(void *ctx)
{
	return node_decides(ctx);
}

static double roles_demand(void *ctx)
{
	const struct node *node = ctx;
	struct gossip_summary total;

	gossip_total(node->gossip, &total);
	return total.demand;
}

static double roles_prefill_rate(void *ctx)
{
	const struct node *node = ctx;
	struct gossip_summary total;

	gossip_total(node->gossip, &total);
	return total.prefill_rate_count > 0
		       ? total.prefill_rates / total.prefill_rate_count
		       : PREFILL_RATE_START;
}

static const struct catalog *roles_catalog(void *ctx)
{
	const struct node *node = ctx;

	return forward_catalog(node->forward);
}

static struct web_server *server_open(struct node *node, const char *address,
				      uint32_t connections,
				      web_handler_fn handler, void *ctx,
				      struct error *err)
{
	struct web_limits limits = {
		.body_bytes = BODY_BYTES_MAX,
		.bodies_bytes = BODIES_BYTES_MAX,
		.replies_bytes = REPLIES_BYTES_MAX,
		.connections = connections,
		.idle_usec = IDLE_TIMEOUT_USEC,
		.request_usec = IDLE_TIMEOUT_USEC,
	};
	struct web_server *server =
		web_server_create(node->loop, address, &limits, err);

	if (server)
		web_server_handle(server, "/", handler, ctx);
	return server;
}

static uint32_t waiting_get(void *ctx)
{
	const struct node *node = ctx;
	struct gossip_summary total;

	gossip_total(node->gossip, &total);
	return total.waiting;
}

static uint64_t secret_make(uint64_t boot)
{
	uint64_t secret;

	if (getentropy(&secret, sizeof(secret)) == 0)
		return secret;
	log_event(LOG_WARNING, "no_entropy",
		  LOG_S("reason", g_strerror(errno)));
	return boot;
}

static void fleet_open(struct node *node)
{
	const struct forward_settings *settings = &node->settings;

	node->fleet = fleet_create(node->clock, settings->data_centre);
	fleet_set_heartbeat(node->fleet, settings->heartbeat_usec);
	for (uint32_t i = 0; i < settings->region_count; i++)
		fleet_set_region(node->fleet, settings->regions[i].data_centre,
				 settings->regions[i].region);
}

static void core_open(struct node *node)
{
	const struct budget_settings budget = node_budget(&node->settings);
	struct forward_parts parts = {
		.clock = node->clock,
		.loop = node->loop,
		.counters = node->counters,
		.rand = node->rand,
		.keyed_hash_secret = secret_make(node->boot),
		.backends = node->interface.backends,
		.callers = node->interface.callers,
		.instances = instances_count,
		.interval = interval_get,
		.list_age = list_age_get,
		.list_read = list_read,
		.waiting = waiting_get,
		.load_changed = load_changed,
		.quarantine_changed = node_quarantine_changed,
		.allotment_used = node_allotment_used,
		.permit = node_permit,
		.relay_choose = node_relay_choose,
		.relay_result = node_relay_result,
		.origin_began = node_origin_began,
		.origin_ask = node_origin_ask,
		.plain_queue = node->settings.plain_queue,
		.call_request = node_call_request,
		.call_done = node_call_done,
		.waiting_ranked = node_waiting_ranked,
		.room_claim = node_room_claim,
		.callbacks_ctx = node,
	};

	node->quarantine = node_quarantine_create(node);
	node->backpressure = backpressure_create();
	node->origins = origins_create(node->clock, ORIGINS_MAX);
	node->speeds = node_speeds_create(node);
	node->limits = node_limits_create(node);
	node->budgets = budgets_create(&budget, clock_now(node->clock));
	fleet_open(node);
	fleet_set_backpressure(node->fleet, node->backpressure);
	node->relay_peers = relay_peers_create(node->clock);
	node->relay_server = relay_server_create(node->loop, node->fleet,
						 node->counters, node->rand);
	parts.fleet = node->fleet;
	parts.budgets = node->budgets;
	parts.quarantine = node->quarantine;
	parts.backpressure = node->backpressure;
	parts.limits = node->limits;
	parts.origins = node->origins;
	parts.speeds = node->speeds;
	node_claims_open(node);
	parts.precedence = node->precedence;
	node->forward = forward_create(&parts);
	node_dispatch_open(node);
	node->malformed =
		counter_get(node->counters, "jt_records_refused_total",
			    "Records of the store that were refused", NULL);
}

static bool gossip_open(struct node *node, struct error *err)
{
	static const struct gossip_ops ops = {
		.summary = summary_fill,
		.received = on_summary,
		.reads = reads_store,
		.quarantine_received = node_quarantine_received,
		.quarantine_next = node_quarantine_next,
		.usage = node_usage,
		.usage_sent = node_usage_sent,
		.usage_received = node_usage_received,
		.servers = servers_fill,
		.facts = node_facts,
		.fact_received = node_fact_received,
		.speeds = node_speeds,
		.speeds_next = node_speeds_next,
		.speed_received = node_speed_received,
		.permit_requested = node_permit_requested,
		.permit_answered = node_permit_answered,
		.origin_received = node_origin_received,
		.origin_queried = node_origin_queried,
		.origin_answered = node_origin_answered,
		.call_requested = node_call_requested,
		.call_answered = node_call_answered,
		.call_ended = node_call_ended,
		.claim_received = node_claim_received,
	};
	const struct gossip_settings settings = {
		.name = node->settings.name,
		.data_centre = node->settings.data_centre,
		.address = web_server_address(node->peers_server),
		.boot = node->boot,
	};

	node->gossip = gossip_create(node->loop, node->fleet, &settings, &ops,
				     node, err);
	if (!node->gossip)
		return false;
	/* Seeds allow discovery when the store is unavailable at the start. */
	for (uint32_t i = 0; i < node->settings.seed_count; i++)
		gossip_add_peer(node->gossip, node->settings.seeds[i], NULL);
	return true;
}

/* Peers use the same port for TCP and UDP. */
static bool peers_open(struct node *node, struct error *err)
{
	const char *listen = node->settings.peer_listen;
	int tries = g_str_has_suffix(listen, ":0") ? PEER_PORT_TRIES : 1;

	while (tries-- > 0) {
		node->peers_server = server_open(node, listen, PEER_CONNECTIONS,
						 node_metrics, node, err);
		if (!node->peers_server)
			return false;
		web_server_handle(node->peers_server, MIRROR_PATH,
				  node_mirror_serve, node);
		web_server_handle(node->peers_server, WHERE_PATH, node_where,
				  node);
		web_server_handle(node->peers_server, RELAY_PATH,
				  relay_server_handle, node->relay_server);
		if (gossip_open(node, err))
			return true;
		web_server_destroy(node->peers_server);
		node->peers_server = NULL;
	}
	return false;
}

static void roles_open(struct node *node)
{
	const struct roles_parts parts = {
		.clock = node->clock,
		.fleet = node->fleet,
		.log = node->interface.log,
		.backends = node->interface.backends,
		.name = node->settings.name,
		.boot = node->boot,
		.ops = {roles_decide, roles_demand, roles_prefill_rate,
			roles_catalog},
		.ctx = node,
	};

	node->roles = roles_create(&parts);
}

static void listening_log(const char *role, const struct web_server *server)
{
	log_event(LOG_NOTICE, "listening", LOG_S("role", role),
		  LOG_S("address", web_server_address(server)));
}

static bool node_open(struct node *node, struct error *err)
{
	const struct forward_settings *settings = &node->settings;

	node->client = web_client_create(node->loop);
	if (!node->factory->open(node->factory->ctx, node->client, node->clock,
				 settings, &node->interface))
		return error_set(err, RESULT_IO,
				 "cannot open the platform interface");
	core_open(node);
	node->callers =
		server_open(node, settings->listen, settings->connections_max,
			    forward_handle_request, node->forward, err);
	if (!node->callers)
		return false;
	node->health = server_open(node, settings->health_listen,
				   HEALTH_CONNECTIONS, node_health, node, err);
	if (!node->health)
		return false;
	if (!peers_open(node, err))
		return false;
	roles_open(node);
	node_feeds_start(node);
	node_settings_watch(node);
	listening_log("callers", node->callers);
	listening_log("health", node->health);
	listening_log("peers", node->peers_server);
	return true;
}

/* Destroys the web servers first: requests may still arrive through them. */
static void node_close(struct node *node)
{
	node_drain_stop(node);
	timer_stop(&node->file_timer);
	web_server_destroy(node->callers);
	web_server_destroy(node->health);
	web_server_destroy(node->peers_server);
	relay_server_destroy(node->relay_server);
	roles_destroy(node->roles);
	if (node->gossip)
		node_feeds_stop(node);
	forward_destroy(node->forward);
	node_dispatch_close(node);
	relay_peers_destroy(node->relay_peers);
	gossip_destroy(node->gossip);
	node->factory->close(node->factory->ctx);
	web_client_destroy(node->client);
	fleet_destroy(node->fleet);
	budgets_destroy(node->budgets);
	quarantine_destroy(node->quarantine);
	backpressure_destroy(node->backpressure);
	limits_destroy(node->limits);
	origins_destroy(node->origins);
	speeds_destroy(node->speeds);
	precedence_destroy(node->precedence);
}

static void on_signal(void *ctx, int signal)
{
	struct node *node = ctx;

	if (signal == SIGHUP)
		node_settings_reload(node);
	else
		node_drain(node);
}

static void on_iteration(void *ctx, int64_t gap_usec)
{
	if (gap_usec > STALL_USEC)
		log_event(LOG_WARNING, "stood_still",
			  LOG_D("ms", gap_usec / USEC_PER_MSEC));
	log_flush();
}

static void node_setup(struct node *node)
{
	node->boot = (uint64_t)clock_unix(node->clock);
	node->rand =
		g_rand_new_with_seed((guint32)node->boot ^ (guint32)getpid());
	node->counters = counter_set_create();
	node->loop = loop_create(node->clock);
	loop_on_signal(node->loop, SIGTERM, on_signal, node);
	loop_on_signal(node->loop, SIGINT, on_signal, node);
	loop_on_signal(node->loop, SIGHUP, on_signal, node);
	loop_on_iteration(node->loop, on_iteration, node);
}

static void node_teardown(struct node *node)
{
	counter_set_destroy(node->counters);
	loop_destroy(node->loop);
	g_rand_free(node->rand);
	clock_destroy(node->clock);
}

static void node_serve(struct node *node)
{
	struct error err;

	log_event(LOG_NOTICE, "started", LOG_S("version", JT_VERSION),
		  LOG_S("name", node->settings.name),
		  LOG_S("data_centre", node->settings.data_centre),
		  LOG_S("listen", node->settings.listen));
	if (node_open(node, &err)) {
		loop_run(node->loop);
	} else {
		log_event(LOG_ERR, "start_failed", LOG_D("code", err.code),
			  LOG_S("reason", err.text));
		node->status = EXIT_FAILURE;
	}
	node_close(node);
	log_event(LOG_NOTICE, "stopped", LOG_D("status", node->status));
	log_flush();
}

/* Blocks signals until the event loop handles them. Otherwise SIGTERM or SIGHUP
 * would kill a process that still reads its settings. */
static void signals_block(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	(void)sigprocmask(SIG_BLOCK, &set, NULL);
}

int node_run(const char *file, int argc, char **argv,
	     const struct node_factory *factory)
{
	struct node node = {
		.file = file,
		.argc = argc,
		.argv = argv,
		.factory = factory,
		.clock = clock_create_system(),
	};
	struct error err;

	signals_block();
	log_setup(node.clock, PROGRAM, LOG_INFO);
	log_redirect(STDOUT_FILENO);
	if (!forward_settings_read(&node.settings, file, argc, argv, &err)) {
		log_event(LOG_ERR, "bad_setting", LOG_D("code", err.code),
			  LOG_S("reason", err.text));
		log_flush();
		clock_destroy(node.clock);
		return (int)err.code;
	}
	log_setup(node.clock, PROGRAM, node.settings.log_level);
	node_setup(&node);
	node_serve(&node);
	node_teardown(&node);
	return node.status;
}
