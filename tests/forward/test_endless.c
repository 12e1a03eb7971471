/* Servers that send without end, against the forwarding core with the real HTTP
 * client and platform codecs. Guards against an answer that fills the memory of
 * an instance, keeps a connection or a request for ever, or is not counted as a
 * failure of its server. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../web/endless.h"
#include "common/clock.h"
#include "common/error.h"
#include "common/id.h"
#include "forward/forward.h"
#include "forward/relay.h"
#include "forward/relay_server.h"
#include "platform/caller.h"
#include "platform/runner.h"
#include "web/client.h"
#include "web/loop.h"
#include "web/server.h"

#define HEAD "HTTP/1.1 200 OK\r\nserver-signature: s\r\n"
#define LENGTH "content-length: 13\r\nconnection: close\r\n\r\n"
#define HOLD HEAD LENGTH "{\"hold\":\"h1\"}"
#define EVENTS "content-type: text/event-stream\r\n\r\n"
/* A request has to end within this time. The bounds are one second, and a
 * request may be sent twice; the rest is for the crowds. */
#define END_USEC (8 * USEC_PER_SEC)
#define STEP_USEC (20 * USEC_PER_MSEC)
/* Longer than that. */
#define TIMEOUT_USEC (60 * USEC_PER_SEC)
#define CROWD 200u
/* Memory that all answers in progress may take, as in forward/received.c. */
#define ANSWERS_MAX (INT64_C(24) << 20)
/* Memory of the smallest instance. */
#define INSTANCE_BYTES ((size_t)88 << 20)

struct site {
	struct clock *clock;
	struct loop *loop;
	struct web_server *server; /* for callers */
	struct web_server *peer;   /* another instance, for relayed calls */
	struct relay_server *relays;
	struct web_client *client;
	struct web_client *callers;
	struct runners *runners;
	struct backend_ops runner_ops;
	struct fleet *fleet;
	struct budgets *budgets;
	struct quarantine *quarantine;
	struct backpressure *backpressure;
	struct limits *limits;
	struct origins *origins;
	struct counter_set *counters;
	struct counter *rejected;
	struct counter *answer_bytes;
	GRand *rand;
	struct forward *forward;
	bool relayed;			      /* calls pass through the peer */
	const struct endless *awaited_server; /* time stands still before its
						 first bytes */
	uint32_t awaited;
	uint32_t ended;
	uint32_t statuses[600];
	int last_status; /* 0: the answer was cut off */
	int result;	 /* of a control call */
	int64_t answer_bytes_max;
	size_t resident_max;
};

/* ---- callbacks of the core ---- */

static uint32_t instances(void *ctx)
{
	return 1;
}

static uint32_t waiting(void *ctx)
{
	return 0;
}

static int64_t interval(void *ctx, bool local)
{
	return 0;
}

static int64_t list_age(void *ctx)
{
	return 0;
}

static bool list_read(void *ctx)
{
	return true;
}

static void ignore(void *ctx)
{
}

static void quarantine_changed(void *ctx,
			       const struct request_fingerprint *work)
{
}

static enum permit permit(void *ctx, const struct backend *backend, uint64_t id,
			  int64_t *retry_usec)
{
	return PERMIT_GRANTED;
}

static bool relay_choose(void *ctx, const struct backend_info *to,
			 char relay[ADDRESS_TEXT_MAX])
{
	return false;
}

static void relay_result(void *ctx, const char *relay, uint64_t server,
			 enum relay_failure failure)
{
}

static void origin_began(void *ctx, uint64_t stream, uint64_t software)
{
}

static uint32_t origin_ask(void *ctx, const struct origin_query *query)
{
	return 0;
}

/* ---- calls to servers, through the peer if the site says so ---- */

static struct backend_link link_via(const struct site *site,
				    const struct backend_link *link)
{
	return (struct backend_link){
		link->to,
		site->relayed ? web_server_address(site->peer) : NULL};
}

static void watch(void *ctx, signals_fn fn, void *fn_ctx)
{
	struct site *site = ctx;

	site->runner_ops.watch(site->runner_ops.ctx, fn, fn_ctx);
}

static struct web_call *send_via(void *ctx, const struct send_spec *spec,
				 const struct send_events *events,
				 void *events_ctx)
{
	struct site *site = ctx;
	struct send_spec via = *spec;

	via.link = link_via(site, &spec->link);
	return site->runner_ops.send(site->runner_ops.ctx, &via, events,
				     events_ctx);
}

static struct web_call *reserve_via(void *ctx, const struct backend_link *link,
				    uint32_t tokens, int64_t ttl_usec,
				    reserve_fn fn, void *fn_ctx)
{
	struct site *site = ctx;
	const struct backend_link via = link_via(site, link);

	return site->runner_ops.reserve(site->runner_ops.ctx, &via, tokens,
					ttl_usec, fn, fn_ctx);
}

static void release(void *ctx, const struct backend_link *link,
		    const char *name)
{
}

static struct web_call *check_via(void *ctx, const struct backend_link *link,
				  const char *health_path, check_fn fn,
				  void *fn_ctx)
{
	struct site *site = ctx;

	return site->runner_ops.check(site->runner_ops.ctx, link, health_path,
				      fn, fn_ctx);
}

static bool read_result(void *ctx, const void *body, size_t size,
			char kv_handle[KV_HANDLE_MAX])
{
	struct site *site = ctx;

	return site->runner_ops.read_result(site->runner_ops.ctx, body, size,
					    kv_handle);
}

/* ---- the site ---- */

static size_t resident_bytes(void)
{
	unsigned long pages = 0;
	unsigned long resident = 0;
	FILE *file = fopen("/proc/self/statm", "r");

	g_assert_nonnull(file);
	g_assert_cmpint(fscanf(file, "%lu %lu", &pages, &resident), ==, 2);
	(void)fclose(file);
	return resident * (size_t)sysconf(_SC_PAGESIZE);
}

static void site_observe(struct site *site)
{
	site->answer_bytes_max =
		MAX(site->answer_bytes_max, site->answer_bytes->value);
	if (site->awaited == CROWD)
		site->resident_max = MAX(site->resident_max, resident_bytes());
}

static void route_add(struct catalog *catalog, const char *prefix,
		      enum route_kind kind, const char *service, bool resumable)
{
	struct catalog_route *route = catalog_add_route(catalog);
	struct route_share share = {id_of(service), 1};

	route->name = g_strdup(prefix + 1);
	route->host = g_strdup("site.example");
	route->prefix = g_strdup(prefix);
	route->kind = kind;
	route->resumable = resumable;
	route->timeout_usec = TIMEOUT_USEC;
	route->target_usec = TIMEOUT_USEC / 4;
	route->attempts = 2;
	g_array_append_val(route->shares, share);
}

static void catalog_set(struct site *site)
{
	struct catalog *catalog = catalog_create(1);
	struct catalog_service *service;

	route_add(catalog, "/plain/", ROUTE_IDEMPOTENT, "plain", false);
	route_add(catalog, "/once/", ROUTE_ONCE, "plain", false);
	route_add(catalog, "/stream/", ROUTE_STREAM, "model", false);
	catalog_add_service(catalog, "plain");
	service = catalog_add_service(catalog, "model");
	service->engine = (struct engine_traits){
		.slots = CROWD,
		.memory_tokens = 2500 * CROWD,
		.result_usec = 500 * USEC_PER_MSEC,
		.reserve_usec = 2 * USEC_PER_SEC,
	};
	catalog->limits.body_bytes = 1000;
	catalog_index_routes(catalog);
	g_assert_true(forward_set_catalog(site->forward, catalog));
	catalog_unref(catalog);
}

static void forward_open(struct site *site)
{
	const struct forward_parts parts = {
		.clock = site->clock,
		.loop = site->loop,
		.fleet = site->fleet,
		.budgets = site->budgets,
		.quarantine = site->quarantine,
		.backpressure = site->backpressure,
		.limits = site->limits,
		.origins = site->origins,
		.counters = site->counters,
		.rand = site->rand,
		.backends = {watch, send_via, reserve_via, release, release,
			     NULL, check_via, read_result, site},
		.callers = {platform_caller_decode, "Token", NULL},
		.instances = instances,
		.interval = interval,
		.list_age = list_age,
		.list_read = list_read,
		.waiting = waiting,
		.load_changed = ignore,
		.quarantine_changed = quarantine_changed,
		.allotment_used = ignore,
		.permit = permit,
		.relay_choose = relay_choose,
		.relay_result = relay_result,
		.origin_began = origin_began,
		.origin_ask = origin_ask,
	};

	site->forward = forward_create(&parts);
	catalog_set(site);
}

static void site_setup(struct site *site, gconstpointer data)
{
	static const struct web_limits limits = {
		.body_bytes = 1 << 20,
		.connections = 2 * CROWD,
		.idle_usec = TIMEOUT_USEC,
		.request_usec = TIMEOUT_USEC,
	};
	static const struct budget_settings budget = {
		.ratio = 0.2, .slack = 12, .window_usec = 10 * USEC_PER_SEC};
	static const struct quarantine_settings quarantine = {
		.crash_threshold = 3, .held_max = 8, .suspects_max = 8};
	static const struct limit_settings policy = {.policy = LIMIT_COUNTS};
	struct error err = {0};

	alarm(600);
	memset(site, 0, sizeof(*site));
	site->clock = clock_create_system();
	site->loop = loop_create(site->clock);
	site->client = web_client_create(site->loop);
	site->callers = web_client_create(site->loop);
	site->server =
		web_server_create(site->loop, "127.0.0.1:0", &limits, &err);
	site->peer =
		web_server_create(site->loop, "127.0.0.1:0", &limits, &err);
	site->rand = g_rand_new_with_seed((guint32)g_test_rand_int());
	site->fleet = fleet_create(site->clock, "here");
	site->counters = counter_set_create();
	site->relays = relay_server_create(site->loop, site->fleet,
					   site->counters, site->rand);
	web_server_handle(site->peer, RELAY_PATH, relay_server_handle,
			  site->relays);
	site->runners = runners_create(site->client, site->clock);
	site->runner_ops = runners_ops(site->runners);
	site->budgets = budgets_create(&budget, clock_now(site->clock) -
							budget.window_usec);
	site->quarantine = quarantine_create(&quarantine);
	site->backpressure = backpressure_create();
	fleet_set_backpressure(site->fleet, site->backpressure);
	site->limits = limits_create(&policy);
	site->origins = origins_create(site->clock, 64);
	site->rejected = counter_get(site->counters,
				     "jt_answers_rejected_total", "", NULL);
	site->answer_bytes =
		gauge_get(site->counters, "jt_answer_bytes", "", NULL);
	forward_open(site);
	web_server_handle(site->server, "/", forward_handle_request,
			  site->forward);
}

static void site_teardown(struct site *site, gconstpointer data)
{
	web_client_destroy(site->callers);
	web_server_destroy(site->server);
	forward_destroy(site->forward);
	web_server_destroy(site->peer);
	relay_server_destroy(site->relays);
	web_client_destroy(site->client);
	runners_destroy(site->runners);
	fleet_destroy(site->fleet);
	budgets_destroy(site->budgets);
	quarantine_destroy(site->quarantine);
	backpressure_destroy(site->backpressure);
	limits_destroy(site->limits);
	origins_destroy(site->origins);
	counter_set_destroy(site->counters);
	g_rand_free(site->rand);
	loop_destroy(site->loop);
	clock_destroy(site->clock);
}

static struct backend *server_add(struct site *site, const char *id,
				  enum backend_stage stage, const char *address)
{
	struct backend_info info = {
		.service = id_of(stage == STAGE_NONE ? "plain" : "model"),
		.stage = stage,
		.slots = CROWD,
	};

	g_strlcpy(info.id, id, sizeof(info.id));
	g_strlcpy(info.address, address, sizeof(info.address));
	g_strlcpy(info.data_centre, "here", sizeof(info.data_centre));
	return fleet_put(site->fleet, &info);
}

static bool time_passes(const struct site *site)
{
	return !site->awaited_server ||
	       g_atomic_int_get(&site->awaited_server->begun) > 0;
}

/* Time passes as the loop runs: an iteration that waits for the processor
 * counts as no more than STEP_USEC, so a busy machine makes no request late. */
static void site_run(struct site *site)
{
	int64_t end = clock_now(site->clock) + END_USEC;
	int64_t last = g_get_monotonic_time();

	while (site->ended < site->awaited) {
		int64_t now;

		loop_run_h2o(site->loop, 1);
		now = g_get_monotonic_time();
		if (time_passes(site))
			clock_advance(site->clock,
				      clock_now(site->clock) +
					      MIN(now - last, STEP_USEC));
		last = now;
		site_observe(site);
		g_assert_cmpint(clock_now(site->clock), <, end);
	}
}

static void on_answer(void *ctx, const struct web_result *result, int status,
		      const void *body, size_t size)
{
	struct site *site = ctx;

	site->ended++;
	site->last_status = result->ok ? status : 0;
	site->statuses[site->last_status]++;
}

static void caller_send(struct site *site, const char *path, uint32_t number,
			const char *limit_ms)
{
	g_autofree char *id = g_strdup_printf("r%u", number);
	const struct web_header headers[] = {
		{{"request-id", 10}, {id, strlen(id)}},
		{{"deadline-ms", 11}, {limit_ms, strlen(limit_ms)}},
		{{"token-count", 11}, {"100,50", 6}},
	};
	const struct web_call_spec spec = {
		.address = web_server_address(site->server),
		.method = "POST",
		.path = path,
		.host = {"site.example", 12},
		.headers = headers,
		.header_count = g_str_has_prefix(path, "/stream") ? 3 : 2,
		.body = "{}",
		.body_size = 2,
		.head_usec = TIMEOUT_USEC,
		.idle_usec = TIMEOUT_USEC,
		.fresh = true,
	};

	web_fetch(site->callers, &spec, 1 << 23, on_answer, site);
}

/* ---- one request ---- */

struct place_case {
	const char *name;
	const char *path;
	enum backend_stage stage; /* of the server that sends without end */
	struct endless_answer answer;
	int status; /* for the caller; 0: the answer is cut off */
};

static const struct place_case cases[] = {
	{"plain/head",
	 "/once/a",
	 STAGE_NONE,
	 {.begin = HEAD "x: ", .piece = "aaaa"},
	 502},
	{"plain/body",
	 "/once/a",
	 STAGE_NONE,
	 {.begin = HEAD "\r\n", .piece = "aaaa"},
	 502},
	{"plain/drip in the head",
	 "/once/a",
	 STAGE_NONE,
	 {.begin = HEAD "x: ", .piece = "aaaa", .drips = true},
	 502},
	{"plain/error body",
	 "/once/a",
	 STAGE_NONE,
	 {.begin = "HTTP/1.1 500 No\r\n\r\n", .piece = "aaaa"},
	 502},
	{"plain/repeatable",
	 "/plain/a",
	 STAGE_NONE,
	 {.begin = HEAD "\r\n", .piece = "aaaa"},
	 502},
	{"reservation/head",
	 "/stream/a",
	 STAGE_DECODE,
	 {.begin = HEAD "x: ", .piece = "aaaa"},
	 503},
	{"reservation/body",
	 "/stream/a",
	 STAGE_DECODE,
	 {.begin = HEAD "\r\n", .piece = "aaaa"},
	 503},
	{"reservation/drip in the body",
	 "/stream/a",
	 STAGE_DECODE,
	 {.begin = HEAD "\r\n", .piece = "aaaa", .drips = true},
	 503},
	{"run/head",
	 "/stream/a",
	 STAGE_DECODE,
	 {.begin = HEAD "x: ",
	  .piece = "aaaa",
	  .honest = {{"hold-take", HOLD}}},
	 502},
	{"run/first event",
	 "/stream/a",
	 STAGE_DECODE,
	 {.begin = HEAD EVENTS "data: ",
	  .piece = "aaaa",
	  .honest = {{"hold-take", HOLD}}},
	 502},
	{"run/second event",
	 "/stream/a",
	 STAGE_DECODE,
	 {.begin = HEAD EVENTS "id: 1\ndata: a\n\ndata: ",
	  .piece = "aaaa",
	  .honest = {{"hold-take", HOLD}}},
	 0},
	{"run/error body",
	 "/stream/a",
	 STAGE_DECODE,
	 {.begin = "HTTP/1.1 500 No\r\n\r\n",
	  .piece = "aaaa",
	  .honest = {{"hold-take", HOLD}}},
	 502},
	{"prefill/head",
	 "/stream/a",
	 STAGE_PREFILL,
	 {.begin = HEAD "x: ", .piece = "aaaa"},
	 200},
	{"prefill/body",
	 "/stream/a",
	 STAGE_PREFILL,
	 {.begin = HEAD "\r\n", .piece = "aaaa"},
	 200},
};

/* Serves streams whole. */
static const struct endless_answer honest_decode = {
	.begin = "",
	.piece = "-",
	.honest = {{"hold-take", HOLD},
		   {"POST /stream",
		    HEAD EVENTS "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}},
};

static void place_check(struct site *site, const struct place_case *c)
{
	struct endless endless;
	struct endless decode;
	struct backend *faulty;

	endless_start(&endless, &c->answer);
	endless_start(&decode, &honest_decode);
	faulty = server_add(site, "faulty", c->stage, endless.address);
	if (c->stage == STAGE_PREFILL)
		server_add(site, "decode", STAGE_DECODE, decode.address);
	site->awaited = 1;
	/* A stream waits for another reservation until its time is over. */
	caller_send(site, c->path, 1, c->status == 503 ? "1500" : "60000");
	site_run(site);
	g_assert_cmpint(site->last_status, ==, c->status);
	g_assert_cmpfloat(backend_failure_score(faulty, clock_now(site->clock)),
			  >, 0.0);
	g_assert_cmpint(forward_pending(site->forward), ==, 0);
	g_assert_cmpint(site->answer_bytes->value, ==, 0);
	/* Reservations are only logged. */
	if (c->status != 503)
		g_assert_cmpint(site->rejected->value, >=, 1);
	endless_stop(&endless);
	endless_stop(&decode);
}

static void test_direct(struct site *site, gconstpointer data)
{
	place_check(site, data);
}

static void test_relayed(struct site *site, gconstpointer data)
{
	site->relayed = true;
	place_check(site, data);
}

/* ---- control calls ---- */

static void on_checked(void *ctx, enum check_result result)
{
	struct site *site = ctx;

	site->result = (int)result;
	site->ended++;
}

static void on_ordered(void *ctx, enum order_result result)
{
	struct site *site = ctx;

	site->result = (int)result;
	site->ended++;
}

static const struct endless_answer control_answers[] = {
	{.begin = HEAD "x: ", .piece = "aaaa"},
	{.begin = HEAD "x: ", .piece = "aaaa", .drips = true},
	{.begin = HEAD "\r\n", .piece = "aaaa"},
	{.begin = HEAD "\r\n", .piece = "aaaa", .drips = true},
};

static void test_check(struct site *site, gconstpointer data)
{
	const struct endless_answer *answer = data;
	struct backend_link link;
	struct endless endless;

	endless_start(&endless, answer);
	link.to =
		&server_add(site, "faulty", STAGE_NONE, endless.address)->info;
	link.relay = NULL;
	site->awaited = 1;
	/* Otherwise the check would time out on a busy machine, while the
	 * server's thread waits for the processor. */
	site->awaited_server = &endless;
	site->runner_ops.check(site->runner_ops.ctx, &link, "/health",
			       on_checked, site);
	site_run(site);
	/* A head that drips misses the check's own time-out first. */
	if (site->result != CHECK_SILENT)
		g_assert_cmpint(site->result, ==, CHECK_REJECTED);
	else
		g_assert_true(answer->drips);
	endless_stop(&endless);
}

static void test_order(struct site *site, gconstpointer data)
{
	struct endless endless;
	const struct stage_order order = {
		.stage = STAGE_PREFILL,
		.holder = "here",
		.fence = 1,
	};
	struct stage_order to = order;

	endless_start(&endless, data);
	to.to = &server_add(site, "faulty", STAGE_DECODE, endless.address)
			 ->info;
	site->awaited = 1;
	site->runner_ops.order(site->runner_ops.ctx, &to, on_ordered, site);
	site_run(site);
	g_assert_cmpint(site->result, ==, ORDER_UNKNOWN);
	endless_stop(&endless);
}

/* ---- many at once ---- */

struct crowd_case {
	const char *name;
	const char *path;
	enum backend_stage stage;
	struct endless_answer answer;
};

static const struct crowd_case crowds[] = {
	{"plain bodies",
	 "/once/a",
	 STAGE_NONE,
	 {.begin = HEAD "\r\n", .piece = "aaaa"}},
	{"heads",
	 "/once/a",
	 STAGE_NONE,
	 {.begin = HEAD, .piece = "x: aaaaaaaaaaaa\r\n"}},
	{"events",
	 "/stream/a",
	 STAGE_DECODE,
	 {.begin = HEAD EVENTS "data: ",
	  .piece = "aaaa",
	  .honest = {{"hold-take", HOLD}}}},
};

static void crowd_check(struct site *site, const struct crowd_case *c)
{
	struct endless endless;
	size_t resident;
	size_t grown;

	endless_start(&endless, &c->answer);
	server_add(site, "faulty", c->stage, endless.address);
	resident = resident_bytes();
	site->awaited = CROWD;
	for (uint32_t i = 0; i < CROWD; i++)
		caller_send(site, c->path, i, "60000");
	site_run(site);
	g_assert_cmpint(site->statuses[200], ==, 0);
	g_assert_cmpint(site->answer_bytes->value, ==, 0);
	/* An answer that exceeds the sum is given up only after its last
	 * piece. */
	g_assert_cmpint(site->answer_bytes_max, <=, ANSWERS_MAX + (8 << 20));
	grown = MAX(site->resident_max, resident) - resident;
	g_test_message("%s: answers %.1f MB, resident size grown by %.1f MB, "
		       "%.2f of an instance; 502 to %u of %u, 503 to %u",
		       c->name, (double)site->answer_bytes_max / (1 << 20),
		       (double)grown / (1 << 20),
		       (double)site->resident_max / (double)INSTANCE_BYTES,
		       site->statuses[502], CROWD, site->statuses[503]);
#ifndef __SANITIZE_ADDRESS__
	/* The sanitizer keeps freed memory, so this says nothing there. */
	g_assert_cmpuint(site->resident_max, <=, INSTANCE_BYTES);
#endif
	endless_stop(&endless);
}

static void test_crowd(struct site *site, gconstpointer data)
{
	crowd_check(site, data);
}

static void test_crowd_relayed(struct site *site, gconstpointer data)
{
	site->relayed = true;
	crowd_check(site, data);
}

/* A large answer that ends is still relayed whole, one at a time. */
static void test_large(struct site *site, gconstpointer data)
{
	static const char head[] = HEAD "content-length: 6291456\r\n"
					"connection: close\r\n\r\n";
	GString *text = g_string_new(head);
	struct endless_answer answer = {.begin = "", .piece = "-"};
	struct endless endless;

	g_string_set_size(text, strlen(head) + 6291456);
	memset(text->str + strlen(head), 'a', 6291456);
	answer.honest[0] = (struct endless_honest){"POST", text->str};
	endless_start(&endless, &answer);
	server_add(site, "honest", STAGE_NONE, endless.address);
	for (uint32_t i = 0; i < 3; i++) {
		site->awaited = i + 1;
		caller_send(site, "/once/a", i, "60000");
		site_run(site);
		g_assert_cmpint(site->last_status, ==, 200);
	}
	g_assert_cmpint(site->rejected->value, ==, 0);
	endless_stop(&endless);
	g_string_free(text, TRUE);
}

static void add(const char *group, const char *name, gconstpointer data,
		void (*test)(struct site *, gconstpointer))
{
	g_autofree char *path =
		g_strconcat("/forward/endless/", group, "/", name, NULL);

	g_test_add(path, struct site, data, site_setup, test, site_teardown);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		add("direct", cases[i].name, &cases[i], test_direct);
		add("relayed", cases[i].name, &cases[i], test_relayed);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(control_answers); i++) {
		char name[] = {(char)('1' + i), '\0'};

		add("check", name, &control_answers[i], test_check);
		add("order", name, &control_answers[i], test_order);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(crowds); i++) {
		add("crowd", crowds[i].name, &crowds[i], test_crowd);
		add("crowd-relayed", crowds[i].name, &crowds[i],
		    test_crowd_relayed);
	}
	add("large", "whole", NULL, test_large);
	return g_test_run();
}
