#include "paths_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/id.h"
#include "forward/forward.h"
#include "forward/regions.h"

#define SEED 7u
#define INSTANCES 2u
/* Rate limit of a cold server. */
#define COLD_PER_SEC 20.0

struct web_request {
	const char *path;
	web_gone_fn gone_fn;
	void *gone_ctx;
	bool ended;
};

enum call_state {
	CALL_NONE,
	CALL_SEND,
	CALL_RESERVE,
};

static struct {
	struct clock *clock;
	struct fleet *fleet;
	struct budgets *budgets;
	struct quarantine *quarantine;
	struct backpressure *backpressure;
	struct limits *limits;
	struct origins *origins;
	struct speeds *speeds;
	bool unread_full; /* no more complete answers are kept */
	int64_t list_age_usec;
	uint32_t homes;
	struct origin_query query;
	struct counter_set *counters;
	struct forward *forward;
	GRand *rand;
	GString *out;
	struct web_request request;
	enum call_state call;
	struct send_events events;
	reserve_fn reserve;
	int64_t reserve_usec; /* longest reservation */
	void *call_ctx;
	bool home; /* this instance is the home of all servers */
	uint64_t permit_id;
	uint64_t permit_server;
	struct call_request ask; /* the last one */
	bool ranked;		 /* the next version */
	bool deaf;		 /* the dispatcher cannot be asked */
	signals_fn signals;
	void *signals_ctx;
	check_fn check; /* of the pending check, or NULL */
	void *check_ctx;
	const char *options; /* of the current request */
	uint32_t holds;
	uint32_t crowd;	    /* requests waiting at all instances */
	size_t unread;	    /* bytes not read by the caller */
	const char *region; /* allowed by the routes of the next version */
	char relay[ADDRESS_TEXT_MAX]; /* available; empty: none */
} world;

static void say(const char *format, ...) G_GNUC_PRINTF(1, 2);
static void say(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_string_append(world.out, "  ");
	g_string_append_vprintf(world.out, format, args);
	g_string_append_c(world.out, '\n');
	va_end(args);
}

/* ---- the web layer ---- */

static struct web_text text_of(const char *text)
{
	return (struct web_text){text, strlen(text)};
}

struct web_text web_request_authority(const struct web_request *request)
{
	return text_of("Site.example:80");
}

struct web_text web_request_path(const struct web_request *request)
{
	return text_of(request->path);
}

void web_request_on_gone(struct web_request *request, web_gone_fn fn, void *ctx)
{
	request->gone_fn = fn;
	request->gone_ctx = ctx;
}

void web_reply_header(struct web_request *request, const char *name,
		      const char *value)
{
	say("header %s: %s", name, value);
}

bool web_reply_make_room(struct web_request *request, size_t size)
{
	return !world.unread_full;
}

void web_reply(struct web_request *request, int status, const char *type,
	       const void *body, size_t size)
{
	say("reply %d %.*s", status, (int)size, (const char *)body);
	request->ended = true;
}

void web_reply_start(struct web_request *request, int status, const char *type)
{
	say("start %d", status);
}

void web_reply_piece(struct web_request *request, const void *data, size_t size)
{
	g_autofree char *text = g_strndup(data, size);

	say("piece %s", g_strdelimit(text, "\n", '|'));
}

size_t web_reply_queued(const struct web_request *request)
{
	return world.unread;
}

void web_reply_end(struct web_request *request)
{
	say("end");
	request->ended = true;
}

void web_reply_abort(struct web_request *request)
{
	say("abort");
	request->ended = true;
}

void web_call_cancel(struct web_call *call)
{
	if (call == (struct web_call *)&world.check) {
		say("cancel check");
		world.check = NULL;
		return;
	}
	say("cancel");
	world.call = CALL_NONE;
}

/* ---- the backend servers ---- */

/* " via ADDRESS" when a relay connects. */
static const char *via(const struct backend_link *link)
{
	static char text[ADDRESS_TEXT_MAX + 8];

	(void)snprintf(text, sizeof(text), "%s%s", link->relay ? " via " : "",
		       link->relay ? link->relay : "");
	return text;
}

static struct web_call *fake_send(void *ctx, const struct send_spec *spec,
				  const struct send_events *events,
				  void *events_ctx)
{
	GString *line = g_string_new(NULL);

	g_assert_cmpint(world.call, ==, CALL_NONE);
	g_string_append_printf(line, "send %s%s %s left %d", spec->link.to->id,
			       via(&spec->link),
			       spec->kind == SEND_PREFILL ? "prefill" : "run",
			       (int)(spec->left_usec / USEC_PER_MSEC));
	if (spec->caller->organisation)
		g_string_append_printf(line, " for %s",
				       spec->caller->organisation);
	if (spec->caller->hide_key)
		g_string_append(line, " keyless");
	if (spec->kv_handle)
		g_string_append_printf(line, " kv %s/%s", spec->kv_address,
				       spec->kv_handle);
	if (spec->hold)
		g_string_append_printf(line, " hold %s", spec->hold);
	if (spec->resumes)
		g_string_append_printf(line, " after %d",
				       (int)spec->resume_after);
	say("%s", line->str);
	g_string_free(line, TRUE);
	world.call = CALL_SEND;
	world.events = *events;
	world.call_ctx = events_ctx;
	return (struct web_call *)&world.call;
}

static struct web_call *fake_reserve(void *ctx, const struct backend_link *link,
				     uint32_t tokens, int64_t ttl_usec,
				     reserve_fn fn, void *fn_ctx)
{
	g_assert_cmpint(world.call, ==, CALL_NONE);
	say("reserve %s%s %u", link->to->id, via(link), tokens);
	world.call = CALL_RESERVE;
	world.reserve = fn;
	world.call_ctx = fn_ctx;
	return (struct web_call *)&world.call;
}

static void fake_unreserve(void *ctx, const struct backend_link *link,
			   const char *hold)
{
	say("unreserve %s%s %s", link->to->id, via(link), hold);
}

static void fake_free_result(void *ctx, const struct backend_link *link,
			     const char *kv_handle)
{
	say("free %s%s %s", link->to->id, via(link), kv_handle);
}

static void fake_watch(void *ctx, signals_fn fn, void *fn_ctx)
{
	world.signals = fn;
	world.signals_ctx = fn_ctx;
}

/* Stays pending until a step answers it. */
static struct web_call *fake_check(void *ctx, const struct backend_link *link,
				   const char *health_path, check_fn fn,
				   void *fn_ctx)
{
	say("check %s%s", link->to->id, via(link));
	world.check = fn;
	world.check_ctx = fn_ctx;
	return (struct web_call *)&world.check;
}

static bool fake_read_result(void *ctx, const void *body, size_t size,
			     char kv_handle[KV_HANDLE_MAX])
{
	if (size == 0 || size >= KV_HANDLE_MAX)
		return false;
	memcpy(kv_handle, body, size);
	kv_handle[size] = '\0';
	return true;
}

static uint32_t instances(void *ctx)
{
	return INSTANCES;
}

static int64_t interval(void *ctx, bool local)
{
	return 0;
}

/* Set by "crowd N". */
static uint32_t waiting(void *ctx)
{
	return world.crowd;
}

static int64_t list_age(void *ctx)
{
	return world.list_age_usec;
}

static bool list_read(void *ctx)
{
	say("read list");
	return true;
}

static bool fake_decode(void *ctx, struct web_request *request,
			struct caller_request *caller, struct error *err)
{
	const char *key;

	*caller = (struct caller_request){.id = "r", .method = text_of("POST")};
	if (strstr(world.options, "malformed"))
		return error_set(err, RESULT_BAD_REQUEST, "malformed");
	caller->limit_usec = 14 * USEC_PER_SEC;
	key = strstr(world.options, "key-");
	if (key)
		caller->key = (struct web_text){key + 4, strcspn(key + 4, " ")};
	if (strstr(world.options, "large"))
		caller->body = (struct web_text){world.options, 101};
	if (strstr(world.options, "short"))
		caller->limit_usec = 600 * USEC_PER_MSEC;
	if (strcmp(request->path, "/plain/") == 0 ||
	    strcmp(request->path, "/open/") == 0 ||
	    strcmp(request->path, "/once/") == 0)
		return true;
	caller->prompt_tokens = 1000;
	caller->output_max = 100;
	if (strstr(world.options, "brief"))
		caller->output_expected = 10;
	caller->resumes = strstr(world.options, "from-5");
	caller->resume_after = 5;
	if (strstr(world.options, "named"))
		g_strlcpy(caller->stream, "first", sizeof(caller->stream));
	return true;
}

static bool relay_choose(void *ctx, const struct backend_info *to,
			 char relay[ADDRESS_TEXT_MAX])
{
	g_strlcpy(relay, world.relay, ADDRESS_TEXT_MAX);
	return world.relay[0] != '\0';
}

static void relay_result(void *ctx, const char *relay, uint64_t server,
			 enum relay_failure failure)
{
	if (failure != RELAY_OK)
		say("relay %s failed%s", relay,
		    failure == RELAY_LINK ? " for that server" : "");
}

static const char *const versions[] = {"v1", "v2"};

static const char *version_name(uint64_t software)
{
	for (size_t i = 0; i < G_N_ELEMENTS(versions); i++)
		if (software == id_of(versions[i]))
			return versions[i];
	return "none";
}

/* Streams without versions are not reported. */
static void origin_began(void *ctx, uint64_t stream, uint64_t software)
{
	if (software != id_of(""))
		say("record %s", version_name(software));
}

static uint32_t origin_ask(void *ctx, const struct origin_query *query)
{
	world.query = *query;
	if (world.homes > 0)
		say("ask %u", world.homes);
	return world.homes;
}

/* ---- the world ---- */

static const char *version_of(const char *options)
{
	for (size_t i = 0; i < G_N_ELEMENTS(versions); i++)
		if (strstr(options, versions[i]))
			return versions[i];
	return "";
}

static void server_put(const char *id, const char *service,
		       enum backend_stage stage, const char *options)
{
	struct backend_info info = {
		.service = id_of(service),
		.software = id_of(version_of(options)),
		.stage = stage,
		.slots = 2,
		.leaving = strstr(options, "leaving"),
	};

	g_strlcpy(info.id, id, sizeof(info.id));
	g_strlcpy(info.address, id, sizeof(info.address));
	g_strlcpy(info.data_centre, id[1] == '1' ? "here" : "there",
		  sizeof(info.data_centre));
	fleet_put(world.fleet, &info);
}

static void server_step(const char *id, const char *options)
{
	if (strstr(options, "gone"))
		fleet_remove(world.fleet, id);
	else if (id[0] == 's')
		server_put(id, "plain", STAGE_NONE, options);
	else
		server_put(id, "model",
			   id[0] == 'p' ? STAGE_PREFILL : STAGE_DECODE,
			   options);
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
	route->timeout_usec = 10 * USEC_PER_SEC;
	route->target_usec = 900 * USEC_PER_MSEC;
	route->gap_usec = 300 * USEC_PER_MSEC;
	route->attempts = 2;
	g_array_append_val(route->shares, share);
	if (world.region)
		route->regions = region_set_add(NULL, world.region);
}

/* Organisation oN has key kN. A plain call of o1 takes 100 units, a stream
 * 1,100; its allotment has a burst of 250. o2 has no allotment. */
static void organisations_add(struct catalog *catalog, const char *options)
{
	static const char *const names[] = {"o1", "o2"};
	struct organisation *organisation;

	catalog->organisations = organisations_create();
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char key[] = {'k', names[i][1], '\0'};

		organisation =
			organisation_add(catalog->organisations, names[i]);
		if (!strstr(options, "without") || !strstr(options, key))
			organisation_add_key(catalog->organisations,
					     organisation, key, 2);
	}
	organisation = (struct organisation *)organisation_find(
		catalog->organisations, id_of(names[0]));
	organisation->by_tokens = true;
	organisation->has_priority = true;
	organisation->priority = 2;
	organisation->plain_tokens = 100;
	organisation->allotment = (struct limit_allotment){100, 250};
	if (strstr(options, "restricted"))
		organisation->regions = region_set_add(NULL, "south");
	if (strstr(options, "large"))
		organisation->allotment = (struct limit_allotment){1000, 2500};
}

static void catalog_set(uint64_t version, const char *organisations)
{
	struct catalog *catalog = catalog_create(version);
	struct catalog_service *service;

	route_add(catalog, "/plain/", ROUTE_IDEMPOTENT, "plain", false);
	route_add(catalog, "/once/", ROUTE_ONCE, "plain", false);
	route_add(catalog, "/stream/", ROUTE_STREAM, "model", false);
	route_add(catalog, "/resume/", ROUTE_STREAM, "model", true);
	service = catalog_add_service(catalog, "plain");
	service->cold_per_sec = COLD_PER_SEC;
	service = catalog_add_service(catalog, "model");
	service->cold_per_sec = COLD_PER_SEC;
	service->engine = (struct engine_traits){
		.slots = 2,
		.memory_tokens = 2500,
		.result_usec = 500 * USEC_PER_MSEC,
		.reserve_usec = world.reserve_usec,
	};
	if (organisations) {
		route_add(catalog, "/open/", ROUTE_ONCE, "plain", false);
		((struct catalog_route *)catalog->routes->pdata[4])->is_public =
			true;
		organisations_add(catalog, organisations);
	}
	catalog->limits.body_bytes = 100;
	catalog_index_routes(catalog);
	catalog->ranked |= world.ranked;
	forward_set_catalog(world.forward, catalog);
	catalog_unref(catalog);
}

static void load_changed(void *ctx)
{
}

static void allotment_used(void *ctx)
{
}

/* A step gives the answer. */
static enum permit fake_permit(void *ctx, const struct backend *backend,
			       uint64_t id, int64_t *retry_usec)
{
	if (world.home) {
		bool granted = backpressure_grant(world.backpressure,
						  clock_now(world.clock),
						  backend->key, retry_usec);

		return granted ? PERMIT_GRANTED : PERMIT_DENIED;
	}
	say("ask for %s", backend->info.id);
	world.permit_id = id;
	world.permit_server = backend->key;
	return PERMIT_PENDING;
}

/* Steps give the answers. */
static bool fake_call_request(void *ctx, const struct call_request *request,
			      uint64_t *dispatcher)
{
	const struct dispatch_call *call = &request->call;

	if (world.deaf)
		return false;
	/* Ids differ by process, so they are not printed. */
	say("ask the dispatcher, %d of %d ms left, avoid %u",
	    (int)(call->target_usec / USEC_PER_MSEC),
	    (int)(call->limit_usec / USEC_PER_MSEC), call->avoid_count);
	world.ask = *request;
	*dispatcher = 5;
	return true;
}

static void fake_call_done(void *ctx, uint64_t dispatcher,
			   const struct call_done *done)
{
	const struct backend *backend = fleet_find(world.fleet, done->server);

	say("done at %s, %d ms%s%s", backend ? backend->info.id : "none",
	    (int)(done->end.usec / USEC_PER_MSEC),
	    done->end.refused ? ", refused" : "",
	    done->end.load.known ? ", with load" : "");
}

static void quarantine_changed(void *ctx,
			       const struct request_fingerprint *work)
{
	const struct quarantine_entry *entry =
		quarantine_find(world.quarantine, work);

	say("work of %u servers, epoch %u%s", entry->count, entry->epoch,
	    quarantine_holds(world.quarantine, work) ? ", held" : "");
}

static void world_open(void)
{
	const struct budget_settings budget = {
		.ratio = 0.2,
		.slack = 12,
		.window_usec = 10 * USEC_PER_SEC,
	};
	const struct quarantine_settings quarantine = {
		.crash_threshold = 3,
		.held_max = 8,
		.suspects_max = 8,
	};
	struct forward_parts parts = {
		.backends = {fake_watch, fake_send, fake_reserve,
			     fake_unreserve, fake_free_result, NULL, fake_check,
			     fake_read_result, NULL},
		.callers = {fake_decode, "Key", NULL},
		.instances = instances,
		.interval = interval,
		.list_age = list_age,
		.list_read = list_read,
		.waiting = waiting,
		.load_changed = load_changed,
		.quarantine_changed = quarantine_changed,
		.allotment_used = allotment_used,
		.permit = fake_permit,
		.relay_choose = relay_choose,
		.relay_result = relay_result,
		.origin_began = origin_began,
		.origin_ask = origin_ask,
		.call_request = fake_call_request,
		.call_done = fake_call_done,
	};
	const struct limit_settings limits = {.policy = LIMIT_COUNTS};

	memset(&world, 0, sizeof(world));
	world.out = g_string_new(NULL);
	world.clock = clock_create(0);
	world.reserve_usec = 2 * USEC_PER_SEC;
	clock_advance(world.clock, 60 * USEC_PER_SEC);
	world.rand = g_rand_new_with_seed(SEED);
	world.fleet = fleet_create(world.clock, "here");
	world.budgets = budgets_create(&budget, 0);
	world.counters = counter_set_create();
	world.quarantine = quarantine_create(&quarantine);
	parts.clock = world.clock;
	parts.fleet = world.fleet;
	parts.budgets = world.budgets;
	world.limits = limits_create(&limits);
	world.origins = origins_create(world.clock, 64);
	world.speeds = speeds_create();
	parts.quarantine = world.quarantine;
	world.backpressure = backpressure_create();
	parts.backpressure = world.backpressure;
	fleet_set_backpressure(world.fleet, world.backpressure);
	fleet_set_region(world.fleet, "here", "north");
	fleet_set_region(world.fleet, "there", "south");
	parts.limits = world.limits;
	parts.origins = world.origins;
	parts.speeds = world.speeds;
	parts.counters = world.counters;
	parts.rand = world.rand;
	world.forward = forward_create(&parts);
	catalog_set(3, NULL);
	for (int i = 1; i <= 2; i++) {
		char id[3] = {0, (char)('0' + i), 0};

		for (const char *kind = "spd"; *kind; kind++) {
			id[0] = *kind;
			server_step(id, "");
		}
	}
}

static void world_close(void)
{
	forward_destroy(world.forward);
	fleet_destroy(world.fleet);
	budgets_destroy(world.budgets);
	quarantine_destroy(world.quarantine);
	backpressure_destroy(world.backpressure);
	limits_destroy(world.limits);
	origins_destroy(world.origins);
	speeds_destroy(world.speeds);
	counter_set_destroy(world.counters);
	g_rand_free(world.rand);
	clock_destroy(world.clock);
}

/* ---- steps ---- */

static void take_step(const char *options)
{
	static char path[64];

	(void)snprintf(path, sizeof(path), "/%.*s/", (int)strcspn(options, " "),
		       options);
	world.options = options;
	world.request = (struct web_request){.path = path};
	forward_handle_request(world.forward, &world.request);
}

/* Records a step that answers a call which is not in progress. */
static bool called(enum call_state state)
{
	if (world.call != state)
		say("(no such call under way)");
	return world.call == state;
}

static void head_step(const char *options)
{
	static const struct web_header headers[] = {{{"x-a", 3}, {"1", 1}}};
	const char *pace = strstr(options, "pace ");
	struct backend_head head = {
		.status = atoi(options),
		.not_run = strstr(options, "not-run"),
		.other_server = strstr(options, "other"),
		.is_signed = strstr(options, "signed"),
		.mismatched = strstr(options, "mismatched"),
		.load = {.known = strstr(options, "paced"),
			 .running = 1,
			 .slots = 6,
			 .pace = 1.0},
		.headers = headers,
		.header_count = 1,
	};

	if (pace) {
		head.load = (struct server_load){
			.known = true, .slots = 1, .pace = atof(pace + 5)};
	}
	if (!called(CALL_SEND))
		return;
	world.events.head(world.call_ctx, &head);
}

static void body_step(const char *options)
{
	g_autofree char *text = g_strdup(options);

	if (!called(CALL_SEND))
		return;
	g_strdelimit(text, "|", '\n');
	world.events.body(world.call_ctx, text, strlen(text));
}

static void done_step(const char *options)
{
	struct backend_end end = {
		.complete =
			options[0] == '\0' || strcmp(options, "unframed") == 0,
		.unframed = strcmp(options, "unframed") == 0,
		.connected = !strstr(options, "unconnected"),
		.timed_out = strstr(options, "late"),
		.relay_failure = strstr(options, "relay")  ? RELAY_PEER
				 : strstr(options, "link") ? RELAY_LINK
							   : RELAY_OK,
		.text = options,
	};

	if (!called(CALL_SEND))
		return;
	end.not_run = !end.connected;
	world.call = CALL_NONE;
	world.events.done(world.call_ctx, &end);
}

static void reserved_step(const char *options)
{
	enum reserve_result result = RESERVE_OK;

	if (strcmp(options, "full") == 0)
		result = RESERVE_FULL;
	else if (strcmp(options, "unconnected") == 0)
		result = RESERVE_UNREACHABLE;
	else if (strcmp(options, "failed") == 0)
		result = RESERVE_FAILED;
	else if (strcmp(options, "relay-failed") == 0)
		result = RESERVE_RELAY_PEER;
	else if (strcmp(options, "link-lost") == 0)
		result = RESERVE_RELAY_LINK;
	if (!called(CALL_RESERVE))
		return;
	world.call = CALL_NONE;
	world.reserve(world.call_ctx, result,
		      result == RESERVE_OK ? options : NULL);
}

static void checked_step(const char *options)
{
	static const char *const results[] = {
		[CHECK_ALIVE] = "alive",
		[CHECK_REPLACED] = "replaced",
		[CHECK_SILENT] = "silent",
		[CHECK_REFUSED] = "ended",
		[CHECK_UNREACHABLE] = "unreachable",
	};
	check_fn fn = world.check;
	int result = 0;

	world.check = NULL;
	if (!fn) {
		say("(no such check under way)");
		return;
	}
	while (strcmp(results[result], options) != 0)
		g_assert_cmpint(++result, <, (int)G_N_ELEMENTS(results));
	fn(world.check_ctx, (enum check_result)result);
}

/* "relay r1": that instance is available as a relay; "relay none". */
static void relay_step(const char *options)
{
	bool available = strcmp(options, "none") != 0;

	g_strlcpy(world.relay, available ? options : "", sizeof(world.relay));
	fleet_set_relays(world.fleet, available);
}

/* Other instances announce the only request of these tests as quarantined. */
static void hold_step(const char *options)
{
	const struct fingerprint_part parts[] = {
		{"POST", 4}, {NULL, 0}, {NULL, 0}, {NULL, 0}, {NULL, 0}};
	const struct request_fingerprint id =
		fingerprint_of(parts, G_N_ELEMENTS(parts));
	/* No server is of two versions. */
	const uint64_t first = 1 + 3 * (uint64_t)world.holds;
	const struct quarantine_entry entry = {
		.fingerprint = fingerprint_at(&id, id_of(version_of(options))),
		.epoch = ++world.holds,
		.count = 3,
		.servers = {first, first + 1, first + 2},
	};

	/* A higher epoch each time, so that a cleared entry is held again. */
	world.holds++;
	g_assert_true(quarantine_merge(world.quarantine, &entry,
				       clock_now(world.clock)));
}

static void gone_step(const char *options)
{
	world.request.gone_fn(world.request.gone_ctx);
}

static void wait_step(const char *options)
{
	clock_advance(world.clock,
		      clock_now(world.clock) + atoi(options) * USEC_PER_MSEC);
}

/* The process is stalled: the clock advances without timers firing. The answers
 * of later steps arrived meanwhile. */
static void still_step(const char *options)
{
	clock_skip(world.clock,
		   clock_now(world.clock) + atoi(options) * USEC_PER_MSEC);
}

/* Fires the timers that expired during "still". */
static void due_step(const char *options)
{
	clock_fire_due(world.clock);
}

/* "version 4", or "version 4 north", whose routes allow that region only. */
static void version_step(const char *options)
{
	const char *region = strchr(options, ' ');

	world.region = region ? region + 1 : NULL;
	catalog_set((uint64_t)atoi(options), NULL);
}

static void organisations_step(const char *options)
{
	catalog_set((uint64_t)atoi(options), options);
}

/* That many other instances are the homes of the stream. */
static void homes_step(const char *options)
{
	world.homes = (uint32_t)atoi(options);
}

/* One of them answers: "origin v1", "origin only v1", "origin mixed" or "origin
 * unknown". */
static void origin_step(const char *options)
{
	bool only = strstr(options, "only");
	uint64_t software =
		version_of(options)[0] ? id_of(version_of(options)) : 0;
	const struct origin_answer answer = {
		.software = only ? 0 : software,
		.sole = only ? software : 0,
		.mixed = strstr(options, "mixed"),
	};

	forward_origin_answered(world.forward, world.query.id,
				world.query.stream, &answer);
}

/* The list is complete now: "listed", or was that long ago: "listed 1000". */
static void listed_step(const char *options)
{
	const GPtrArray *all = fleet_all(world.fleet);

	world.list_age_usec = atoi(options) * USEC_PER_MSEC;
	fleet_snapshot_begin(world.fleet);
	for (guint i = 0; i < all->len; i++) {
		const struct backend *backend = all->pdata[i];
		const struct backend_info info = backend->info;

		fleet_put(world.fleet, &info);
	}
	fleet_snapshot_end(world.fleet);
	forward_list_synced(world.forward);
}

/* Another instance asks for a stream that began within that time. */
static void asked_step(const char *options)
{
	const struct origin_query query = {
		.stream = 1,
		.service = id_of("model"),
		.window_usec = atoi(options) * USEC_PER_MSEC,
	};
	struct origin_answer answer;

	forward_origin_answer(world.forward, &query, &answer);
	say("answer sole %s, mixed %d",
	    answer.sole ? version_name(answer.sole) : "unknown", answer.mixed);
}

static void servers_step(const char *options)
{
	g_autofree char *id = g_strndup(options, 2);

	server_step(id, options + 2);
}

/* Spends the rest of the service's retry budget. */
static void spend_step(const char *options)
{
	while (budget_take(world.budgets, id_of(options),
			   clock_now(world.clock), 1))
		;
}

/* Requests of other instances at a server: "busy s1 5". */
static void busy_step(const char *options)
{
	g_autofree char *id = g_strndup(options, 2);

	fleet_find_id(world.fleet, id)->peers.requests = atoi(options + 2);
}

/* The server's answer sets a rate limit: "limit s1 4", or "limit s1 none". */
static void limit_step(const char *options)
{
	g_autofree char *id = g_strndup(options, 2);
	struct backpressure_signals signals = {
		.limited = !strstr(options, "none"),
		.limit = atof(options + 2),
		.of_request = true,
	};

	world.signals(world.signals_ctx, fleet_find_id(world.fleet, id)->key,
		      &signals);
}

/* The server's answer says that it is leaving. */
static void leaves_step(const char *options)
{
	const struct backpressure_signals signals = {.leaving = true};

	world.signals(world.signals_ctx,
		      fleet_find_id(world.fleet, options)->key, &signals);
}

/* The server's answer requests a backoff, in ms: "backoff s1 3000". */
static void backoff_step(const char *options)
{
	g_autofree char *id = g_strndup(options, 2);
	const struct backpressure_signals signals = {
		.backoff_usec = atoi(options + 2) * USEC_PER_MSEC,
	};

	world.signals(world.signals_ctx, fleet_find_id(world.fleet, id)->key,
		      &signals);
}

/* The server's answer says how long it stays cold, in ms: "cold s1 3000". */
static void cold_step(const char *options)
{
	g_autofree char *id = g_strndup(options, 2);
	const struct backpressure_signals signals = {
		.cold_usec = atoi(options + 2) * USEC_PER_MSEC,
	};

	world.signals(world.signals_ctx, fleet_find_id(world.fleet, id)->key,
		      &signals);
}

static void heartbeat_step(const char *options)
{
	fleet_set_heartbeat(world.fleet, atoi(options) * USEC_PER_MSEC);
}

static void home_step(const char *options)
{
	world.home = true;
}

/* The home's answer: "permit granted", or "permit 200" (retry after 200 ms). */
static void permit_step(const char *options)
{
	bool granted = strcmp(options, "granted") == 0;

	forward_permit_answered(world.forward, world.permit_id,
				world.permit_server, granted,
				atoi(options) * USEC_PER_MSEC);
}

/* "queue off|on|auto|deaf|ranked" */
static void queue_step(const char *options)
{
	world.deaf = strcmp(options, "deaf") == 0;
	world.ranked = strcmp(options, "ranked") == 0;
	forward_set_plain_queue(world.forward,
				strcmp(options, "off") == 0 ? PLAIN_QUEUE_OFF
				: strcmp(options, "auto") == 0 || world.ranked
					? PLAIN_QUEUE_AUTO
					: PLAIN_QUEUE_ON);
}

/* The dispatcher's answer to the last question: "granted ID", "refused MSEC",
 * "queued" or "returned". */
static void dispatch_step(const char *options)
{
	struct call_answer answer = {
		.id = world.ask.call.id,
		.service = world.ask.service,
		.result = CALL_NOT_DISPATCHER,
	};

	if (g_str_has_prefix(options, "granted ")) {
		answer.result = CALL_GRANTED;
		answer.server = fleet_find_id(world.fleet, options + 8)->key;
	} else if (g_str_has_prefix(options, "refused ")) {
		answer.result = CALL_REFUSED;
		answer.usec = atoi(options + 8) * USEC_PER_MSEC;
	} else if (strcmp(options, "queued") == 0) {
		answer.result = CALL_QUEUED;
	}
	forward_call_answered(world.forward, 5, &answer);
}

static void crowd_step(const char *options)
{
	world.crowd = (uint32_t)atoi(options);
}

/* "evacuate here"; "evacuate there back" ends it. */
static void evacuate_step(const char *options)
{
	g_autofree char *centre = g_strndup(options, strcspn(options, " "));

	fleet_evacuate(world.fleet, centre, !strstr(options, "back"));
}

static void unread_step(const char *options)
{
	world.unread = (size_t)atoi(options);
}

static void speed_step(const char *options)
{
	const struct backend *backend = fleet_find_id(world.fleet, options);
	int64_t now = clock_now(world.clock);

	say("speed of %s: %.2f, now %.2f", options,
	    speeds_factor(world.speeds, backend->key, now),
	    speeds_now(world.speeds, backend->key, now));
}

static void ttl_step(const char *options)
{
	world.reserve_usec = atoi(options) * USEC_PER_MSEC;
}

static void drain_step(const char *options)
{
	int64_t now = clock_now(world.clock);

	forward_drain(world.forward, now + atoi(options) * USEC_PER_MSEC);
}

static void unread_full_step(const char *options)
{
	world.unread_full = true;
}

static void stop_step(const char *options)
{
	forward_stop(world.forward);
}

static void streams_step(const char *options);

static const struct {
	const char *name;
	void (*fn)(const char *options);
} step_table[] = {
	{"take", take_step},	     {"head", head_step},
	{"body", body_step},	     {"done", done_step},
	{"reserved", reserved_step}, {"gone", gone_step},
	{"wait", wait_step},	     {"version", version_step},
	{"server", servers_step},    {"drain", drain_step},
	{"homes", homes_step},	     {"origin", origin_step},
	{"listed", listed_step},     {"asked", asked_step},
	{"crowd", crowd_step},	     {"spend", spend_step},
	{"checked", checked_step},   {"relay", relay_step},
	{"hold", hold_step},	     {"still", still_step},
	{"due", due_step},	     {"organisations", organisations_step},
	{"busy", busy_step},	     {"limit", limit_step},
	{"home", home_step},	     {"leaves", leaves_step},
	{"backoff", backoff_step},   {"permit", permit_step},
	{"evacuate", evacuate_step}, {"cold", cold_step},
	{"queue", queue_step},	     {"dispatch", dispatch_step},
	{"unread", unread_step},     {"heartbeat", heartbeat_step},
	{"speed", speed_step},	     {"streams", streams_step},
	{"stop", stop_step},	     {"unread-full", unread_full_step},
	{"ttl", ttl_step},
};

static void step_run(char *step);

/* "streams N MSEC": N complete streams, whose prefills and events take MSEC
 * each. Their output is left out. */
static void streams_step(const char *options)
{
	const char *msec = strchr(options, ' ');
	gsize before = world.out->len;

	for (int i = 0; i < atoi(options); i++) {
		static const char *const events =
			"body data: a||; wait %1$s; body data: a||; "
			"wait %1$s; body data: a||; wait %1$s; "
			"body data: a||; wait %1$s; body data: a||; "
			"wait %1$s; body data: a||; wait %1$s; "
			"body data: a||; wait %1$s; body data: a||";
		g_autoptr(GString) text = g_string_new(NULL);
		g_auto(GStrv) steps = NULL;

		g_string_append_printf(text,
				       "take stream; reserved h1; wait %s; "
				       "head 200; body k1; done; "
				       "head 200 signed; ",
				       msec + 1);
		g_string_append_printf(text, events, msec + 1);
		g_string_append(text, "; done");
		steps = g_strsplit(text->str, ";", -1);
		for (int k = 0; steps[k]; k++)
			step_run(g_strstrip(steps[k]));
	}
	g_string_truncate(world.out, before);
}

static void step_run(char *step)
{
	char *options = strchr(step, ' ');

	if (options)
		*options++ = '\0';
	for (size_t i = 0; i < G_N_ELEMENTS(step_table); i++) {
		if (strcmp(step_table[i].name, step) != 0)
			continue;
		step_table[i].fn(options ? options : "");
		return;
	}
	g_error("no step %s", step);
}

static void load_check(void)
{
	const GPtrArray *all = fleet_all(world.fleet);

	for (guint i = 0; i < all->len; i++) {
		const struct backend *backend = all->pdata[i];

		g_assert_cmpuint(backend->own.requests, ==, 0);
		g_assert_cmpuint(backend->own.decode_tokens, ==, 0);
		g_assert_cmpuint(backend->own.prefill_tokens, ==, 0);
	}
}

GString *paths_run(const char *steps)
{
	g_auto(GStrv) list = g_strsplit(steps, ";", -1);

	world_open();
	for (int i = 0; list[i]; i++)
		step_run(g_strstrip(list[i]));
	/* No load may stay charged after all requests have ended. */
	if (forward_pending(world.forward) == 0)
		load_check();
	else
		say("(still under way)");
	world_close();
	return world.out;
}
