#include "reach_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "common/id.h"
#include "forward/forward.h"
#include "forward/relay_peers.h"

#define CONNECT_USEC (1 * USEC_PER_MSEC)
/* Time-out of a relay. */
#define RELAY_CONNECT_USEC (100 * USEC_PER_MSEC)
#define PLAIN_USEC (15 * USEC_PER_MSEC)
#define PREFILL_USEC (60 * USEC_PER_MSEC)
#define FIRST_EVENT_USEC (20 * USEC_PER_MSEC)
#define EVENT_USEC (100 * USEC_PER_MSEC)
#define EVENTS 4u
/* After this time a caller resumes a stream that was broken off or refused. */
#define RESUME_USEC (20 * USEC_PER_MSEC)
#define ATTEMPTS_MAX 3u
#define REPORT_USEC (300 * USEC_PER_MSEC)
#define TICK_USEC (100 * USEC_PER_MSEC)
/* Requests per second at an instance. */
#define RATE 12
/* One of so many is a stream. */
#define STREAM_EVERY 8
#define REPORTS_MAX 48u
#define MEMORY_TOKENS 30000u
#define ORIGINS_MAX 4096u
/* An instance is in touch this long after its start. */
#define CONTACT_USEC (3 * USEC_PER_SEC)

struct record {
	struct reach_world *world;
	uint32_t number;
	uint32_t instance;
	bool once;
	bool streams;
	bool cut_off; /* its instance, when it was sent */
	uint32_t runs;
	uint32_t answers;
	int status; /* 0: broken off */
	/* A resumable stream, over the attempts of its caller. */
	bool resumable;
	bool resumed;
	bool in_touch; /* its instance, when it was sent */
	uint32_t attempts;
	uint32_t stream; /* number of the attempt with the first event */
	uint32_t before; /* last event received by earlier attempts */
	uint32_t last;	 /* last event received; 0: none */
	uint64_t software;
	bool joined; /* has events of two versions, or one out of order */
	struct timer timer;
};

struct web_request {
	struct reach_world *world;
	uint32_t number;
	char path[16];
	char id[16];
	web_gone_fn gone;
	void *gone_ctx;
	bool ended;
};

struct instance {
	struct reach_world *world;
	uint32_t number;
	char centre[4];
	enum cut cut;
	uint32_t cut_every; /* 0: from all servers */
	bool stopped;
	int64_t started_at;
	struct fleet *fleet;
	struct relay_peers *relay_peers;
	struct budgets *budgets;
	struct quarantine *quarantine;
	struct backpressure *backpressure;
	struct limits *limits;
	struct origins *origins;
	struct counter_set *counters;
	struct forward *forward;
};

enum message_kind {
	MESSAGE_RECORD,
	MESSAGE_QUERY,
	MESSAGE_ANSWER
};

/* Between two instances, about the version that began a stream. */
struct message {
	GList link;
	struct reach_world *world;
	uint32_t from;
	uint32_t to;
	enum message_kind kind;
	uint64_t software;
	struct origin_query query;
	struct origin_answer answer;
	struct timer timer;
};

struct server {
	struct backend_info info;
	bool crashed;
	int64_t silent_until;
};

enum call_kind {
	CALL_SEND,
	CALL_RESERVE,
	CALL_CHECK
};

struct call {
	GList link;
	struct instance *from;
	struct instance *relay; /* NULL: direct */
	struct server *to;
	enum call_kind kind;
	enum send_kind send;
	struct record *record;
	struct send_events events;
	reserve_fn reserve;
	check_fn check;
	void *ctx;
	int64_t head_usec;
	int64_t idle_usec;
	int64_t connect_usec;
	bool connected;
	enum relay_failure relay_failure;
	bool relay_waited; /* the relay has tried to connect */
	bool lost;	   /* its connection */
	bool silent;	   /* lost without a reset: the call times out */
	bool streams;
	uint32_t event; /* the next one of a stream */
	bool has_head;
	struct timer timer;
};

struct reach_world {
	struct clock *clock;
	GRand *rand;
	struct catalog *catalog;
	uint32_t instance_count;
	struct instance *instances;
	uint32_t server_count;
	struct server *servers;
	GPtrArray *requests; /* struct web_request, by number */
	GPtrArray *records;  /* struct record, by number */
	GQueue calls;
	struct timer arrivals;
	struct timer reports;
	struct timer ticks;
	uint32_t blamed;
	uint32_t versions;
	GQueue messages;
	bool parted; /* the first data centre is partitioned from the others */
	int64_t parted_at;
};

/* ---- the network ---- */

static bool is_cut(const struct instance *instance, const struct server *server)
{
	const struct reach_world *world = instance->world;

	if (instance->cut == CUT_NONE)
		return false;
	return instance->cut_every == 0 ||
	       ((uint32_t)(server - world->servers) + instance->number) %
			       instance->cut_every !=
		       0;
}

static void call_free(struct call *call)
{
	timer_stop(&call->timer);
	g_queue_unlink(&call->from->world->calls, &call->link);
	g_free(call);
}

static void send_end(struct call *call, bool complete, bool timed_out)
{
	const struct backend_end end = {
		.complete = complete,
		.not_run = !call->connected,
		.connected = call->connected,
		.timed_out = timed_out,
		.relay_failure = call->relay_failure,
		.text = complete ? "whole" : "lost",
	};
	struct send_events events = call->events;
	void *ctx = call->ctx;

	call_free(call);
	events.done(ctx, &end);
}

static void call_fail(struct call *call, bool timed_out)
{
	reserve_fn reserve = call->reserve;
	check_fn check = call->check;
	bool connected = call->connected;
	enum relay_failure failure = call->relay_failure;
	void *ctx = call->ctx;

	switch (call->kind) {
	case CALL_SEND:
		send_end(call, false, timed_out);
		break;
	case CALL_RESERVE:
		call_free(call);
		reserve(ctx,
			connected		? RESERVE_FAILED
			: failure == RELAY_LINK ? RESERVE_RELAY_LINK
			: failure == RELAY_PEER ? RESERVE_RELAY_PEER
						: RESERVE_UNREACHABLE,
			NULL);
		break;
	case CALL_CHECK:
		call_free(call);
		check(ctx, connected ? CHECK_SILENT
			   : timed_out || failure != RELAY_OK
				   ? CHECK_UNREACHABLE
				   : CHECK_REFUSED);
		break;
	}
}

static void send_answer(struct call *call)
{
	const struct backend_head head = {.status = 200, .is_signed = true};
	char event[64];

	if (!call->has_head) {
		call->has_head = true;
		call->events.head(call->ctx, &head);
	}
	(void)snprintf(event, sizeof(event), "id: %u\ndata: %u\n\n",
		       call->event++,
		       (uint32_t)(call->to - call->from->world->servers));
	call->events.body(call->ctx, event, strlen(event));
	if (call->streams && call->event <= EVENTS)
		timer_start(&call->timer, EVENT_USEC);
	else
		send_end(call, true, false);
}

static void call_answer(struct call *call)
{
	reserve_fn reserve = call->reserve;
	check_fn check = call->check;
	void *ctx = call->ctx;

	switch (call->kind) {
	case CALL_SEND:
		send_answer(call);
		break;
	case CALL_RESERVE:
		call_free(call);
		reserve(ctx, RESERVE_OK, "h");
		break;
	case CALL_CHECK:
		call_free(call);
		check(ctx, CHECK_ALIVE);
		break;
	}
}

static int64_t call_duration(const struct call *call)
{
	int64_t now = clock_now(call->from->world->clock);

	if (now < call->to->silent_until)
		return call->to->silent_until - now;
	if (call->kind != CALL_SEND)
		return CONNECT_USEC;
	if (call->to->info.stage == STAGE_NONE)
		return PLAIN_USEC;
	return call->send == SEND_PREFILL ? PREFILL_USEC : FIRST_EVENT_USEC;
}

/* The next answer, or the time-out if that comes first. */
static void answer_schedule(struct call *call, int64_t usec)
{
	int64_t limit = call->has_head ? call->idle_usec : call->head_usec;

	call->lost = call->silent = usec > limit;
	timer_start(&call->timer, MIN(usec, limit));
}

static void call_connect(struct call *call)
{
	if (call->to->crashed) {
		call_fail(call, false);
		return;
	}
	call->connected = true;
	if (call->record && call->send == SEND_RUN)
		call->record->runs++;
	answer_schedule(call, call_duration(call));
}

/* Whether the instance connects to another server when it is asked whether its
 * links work. */
static bool links_work(const struct instance *instance,
		       const struct server *except)
{
	const struct reach_world *world = instance->world;
	const struct server *other = &world->servers[g_rand_int_range(
		world->rand, 0, (gint32)world->server_count)];

	return other != except && !other->crashed && !is_cut(instance, other) &&
	       !fleet_links_lost(instance->fleet);
}

/* What the relay does, as forward/relay_server.c. */
static void call_relay(struct call *call)
{
	struct instance *relay = call->relay;
	struct backend *backend =
		fleet_find(relay->fleet, backend_key(&call->to->info));

	if (!fleet_cut_off(relay->fleet) && call->kind != CALL_CHECK &&
	    backend_link_lost(backend)) {
		call->relay_failure = RELAY_LINK;
		call_fail(call, false);
		return;
	}
	if (!fleet_cut_off(relay->fleet) && !call->to->crashed &&
	    !is_cut(relay, call->to)) {
		backend_reached(backend);
		call_connect(call);
		return;
	}
	if (!fleet_cut_off(relay->fleet) && is_cut(relay, call->to) &&
	    relay->cut == CUT_SILENT && !call->relay_waited) {
		call->relay_waited = true;
		timer_start(&call->timer, RELAY_CONNECT_USEC);
		return;
	}
	if (fleet_cut_off(relay->fleet)) {
		call->relay_failure = RELAY_PEER;
	} else {
		backend_unreachable(backend, clock_now(relay->world->clock));
		call->relay_failure =
			links_work(relay, call->to) ? RELAY_OK : RELAY_LINK;
	}
	call_fail(call, false);
}

static void on_call(struct timer *timer, void *ctx)
{
	struct call *call = ctx;

	if (call->lost || (call->connected && call->to->crashed))
		call_fail(call, call->silent);
	else if (call->connected)
		call_answer(call);
	else if (call->relay)
		call_relay(call);
	else if (is_cut(call->from, call->to))
		call_fail(call, false);
	else
		call_connect(call);
}

static struct call *call_create(struct instance *from, uint64_t key,
				enum call_kind kind, void *ctx)
{
	struct reach_world *world = from->world;
	struct call *call = g_new0(struct call, 1);

	for (uint32_t i = 0; i < world->server_count; i++)
		if (backend_key(&world->servers[i].info) == key)
			call->to = &world->servers[i];
	call->link.data = call;
	call->from = from;
	call->kind = kind;
	call->ctx = ctx;
	call->connect_usec = BACKEND_CONNECT_USEC;
	call->head_usec = 250 * USEC_PER_MSEC;
	g_queue_push_tail_link(&world->calls, &call->link);
	timer_init(&call->timer, world->clock, on_call, call);
	return call;
}

static struct web_call *call_start(struct call *call, const char *relay)
{
	if (relay)
		call->relay = &call->from->world->instances[atoi(relay)];
	call->silent = call->lost = !relay && call->from->cut == CUT_SILENT &&
				    is_cut(call->from, call->to);
	timer_start(&call->timer, call->lost ? call->connect_usec
				  : relay    ? 2 * CONNECT_USEC
					     : CONNECT_USEC);
	return (struct web_call *)call;
}

void web_call_cancel(struct web_call *call)
{
	call_free((struct call *)call);
}

/* ---- backend_ops ---- */

static struct web_call *world_send(void *ctx, const struct send_spec *spec,
				   const struct send_events *events,
				   void *events_ctx)
{
	struct instance *from = ctx;
	struct call *call = call_create(from, backend_key(spec->link.to),
					CALL_SEND, events_ctx);
	call->send = spec->kind;
	call->events = *events;
	call->record = from->world->records->pdata[atoi(spec->caller->id)];
	call->head_usec = spec->head_usec;
	call->idle_usec = spec->idle_usec;
	call->connect_usec = spec->connect_usec;
	call->streams =
		spec->kind == SEND_RUN && call->to->info.stage == STAGE_DECODE;
	call->event = spec->resumes ? (uint32_t)spec->resume_after + 1 : 1;
	return call_start(call, spec->link.relay);
}

static struct web_call *world_reserve(void *ctx,
				      const struct backend_link *link,
				      uint32_t tokens, int64_t ttl_usec,
				      reserve_fn fn, void *fn_ctx)
{
	struct call *call =
		call_create(ctx, backend_key(link->to), CALL_RESERVE, fn_ctx);

	call->reserve = fn;
	return call_start(call, link->relay);
}

static struct web_call *world_check(void *ctx, const struct backend_link *link,
				    const char *health_path, check_fn fn,
				    void *fn_ctx)
{
	struct call *call =
		call_create(ctx, backend_key(link->to), CALL_CHECK, fn_ctx);

	call->check = fn;
	return call_start(call, link->relay);
}

static void world_release(void *ctx, const struct backend_link *link,
			  const char *name)
{
}

static void world_watch(void *ctx, signals_fn fn, void *fn_ctx)
{
}

static bool world_read_result(void *ctx, const void *body, size_t size,
			      char kv_handle[KV_HANDLE_MAX])
{
	g_strlcpy(kv_handle, "k", KV_HANDLE_MAX);
	return true;
}

/* ---- the web layer ---- */

static struct web_text text_of(const char *text)
{
	return (struct web_text){text, strlen(text)};
}

struct web_text web_request_authority(const struct web_request *request)
{
	return text_of("site.example");
}

struct web_text web_request_path(const struct web_request *request)
{
	return text_of(request->path);
}

void web_request_on_gone(struct web_request *request, web_gone_fn fn, void *ctx)
{
	request->gone = fn;
	request->gone_ctx = ctx;
}

void web_reply_header(struct web_request *request, const char *name,
		      const char *value)
{
}

static struct record *record_of(const struct web_request *request)
{
	return request->world->records->pdata[request->number];
}

/* The caller resumes a stream that has begun, at another instance. */
static void caller_lost(struct web_request *request)
{
	struct record *record = record_of(request);

	request->ended = true;
	if (record->resumable && record->last > 0 && record->last < EVENTS &&
	    record->attempts < ATTEMPTS_MAX)
		timer_start(&record->timer, RESUME_USEC);
}

bool web_reply_make_room(struct web_request *request, size_t size)
{
	return true;
}

void web_reply(struct web_request *request, int status, const char *type,
	       const void *body, size_t size)
{
	record_of(request)->status = status;
	record_of(request)->answers++;
	caller_lost(request);
}

void web_reply_start(struct web_request *request, int status, const char *type)
{
	record_of(request)->status = status;
}

static void event_receive(struct record *record, uint32_t event,
			  uint32_t server)
{
	uint64_t software = record->world->servers[server].info.software;

	if (record->last == 0) {
		record->software = software;
		record->stream = record->number;
	}
	record->joined |=
		software != record->software || event != record->last + 1;
	record->last = event;
}

void web_reply_piece(struct web_request *request, const void *data, size_t size)
{
	g_autofree char *text = g_strndup(data, size);
	uint32_t event;
	uint32_t server;

	if (sscanf(text, "id: %u\ndata: %u", &event, &server) == 2)
		event_receive(record_of(request), event, server);
}

size_t web_reply_queued(const struct web_request *request)
{
	return 0;
}

void web_reply_end(struct web_request *request)
{
	record_of(request)->answers++;
	request->ended = true;
}

void web_reply_abort(struct web_request *request)
{
	record_of(request)->status = 0;
	record_of(request)->answers++;
	caller_lost(request);
}

/* ---- callers ---- */

static bool is_stream(const char *path)
{
	return strcmp(path, "/stream/") == 0 || strcmp(path, "/resume/") == 0;
}

static bool world_decode(void *ctx, struct web_request *request,
			 struct caller_request *caller, struct error *err)
{
	*caller = (struct caller_request){
		.method = text_of("POST"),
		.target = text_of(request->path),
		.body = text_of(request->id),
		.limit_usec = 600 * USEC_PER_MSEC,
	};
	g_strlcpy(caller->id, request->id, sizeof(caller->id));
	if (!is_stream(request->path))
		return true;
	caller->limit_usec = 14 * USEC_PER_SEC;
	caller->prompt_tokens = 3000;
	caller->output_max = 72;
	caller->resumes = record_of(request)->resumed;
	caller->resume_after = record_of(request)->before;
	if (caller->resumes)
		(void)snprintf(caller->stream, sizeof(caller->stream), "%u",
			       record_of(request)->stream);
	return true;
}

static const char *path_draw(struct reach_world *world)
{
	if (g_rand_int_range(world->rand, 0, STREAM_EVERY) == 0)
		return g_rand_boolean(world->rand) ? "/stream/" : "/resume/";
	return g_rand_boolean(world->rand) ? "/plain/" : "/once/";
}

static struct instance *instance_draw(struct reach_world *world)
{
	struct instance *instance;

	do
		instance = &world->instances[g_rand_int_range(
			world->rand, 0, (gint32)world->instance_count)];
	while (instance->stopped);
	return instance;
}

static void on_resume(struct timer *timer, void *ctx);

static struct record *record_create(struct reach_world *world,
				    const struct instance *to, const char *path)
{
	struct record *record = g_new0(struct record, 1);

	record->world = world;
	record->number = world->records->len;
	record->instance = to->number;
	record->once =
		strcmp(path, "/once/") == 0 || strcmp(path, "/stream/") == 0;
	record->streams = is_stream(path);
	record->resumable = strcmp(path, "/resume/") == 0;
	record->cut_off = to->cut != CUT_NONE;
	record->in_touch =
		clock_now(world->clock) - to->started_at >= CONTACT_USEC;
	record->attempts = 1;
	timer_init(&record->timer, world->clock, on_resume, record);
	g_ptr_array_add(world->records, record);
	return record;
}

static void request_send(struct reach_world *world, struct record *record,
			 struct instance *to, const char *path)
{
	struct web_request *request = g_new0(struct web_request, 1);

	request->world = world;
	request->number = record->number;
	g_strlcpy(request->path, path, sizeof(request->path));
	(void)snprintf(request->id, sizeof(request->id), "%u", request->number);
	g_ptr_array_add(world->requests, request);
	forward_handle_request(to->forward, request);
}

static void on_resume(struct timer *timer, void *ctx)
{
	const struct record *before = ctx;
	struct reach_world *world = before->world;
	struct instance *to = instance_draw(world);
	struct record *record;

	/* Callers stay in their data centre while it is partitioned. */
	while (world->parted &&
	       to->number % CENTRES != before->instance % CENTRES)
		to = instance_draw(world);
	record = record_create(world, to, "/resume/");

	record->resumed = true;
	record->attempts = before->attempts + 1;
	record->stream = before->stream;
	record->before = record->last = before->last;
	record->software = before->software;
	request_send(world, record, to, "/resume/");
}

static void on_arrival(struct timer *timer, void *ctx)
{
	struct reach_world *world = ctx;
	double gap = (double)USEC_PER_SEC / RATE / world->instance_count;
	struct instance *to = instance_draw(world);
	const char *path = path_draw(world);

	request_send(world, record_create(world, to, path), to, path);
	timer_start(timer, (int64_t)(g_rand_double(world->rand) * 2.0 * gap));
}

/* Instances of a data centre report unreachable servers to each other. */
static void on_reports(struct timer *timer, void *ctx)
{
	struct reach_world *world = ctx;
	struct unreachable_backend reports[REPORTS_MAX];

	for (uint32_t i = 0; i < world->instance_count; i++) {
		uint32_t count;

		if (world->instances[i].stopped)
			continue;
		count = fleet_unreachable(world->instances[i].fleet, reports,
					  REPORTS_MAX);

		for (uint32_t j = i % CENTRES; j < world->instance_count;
		     j += CENTRES)
			for (uint32_t k = 0;
			     j != i && !world->instances[j].stopped &&
			     k < count;
			     k++)
				fleet_merge_unreachable(
					world->instances[j].fleet, i + 1,
					&reports[k]);
	}
	timer_start(timer, REPORT_USEC);
}

/* ---- instances and servers ---- */

static uint32_t count_get(void *ctx)
{
	const struct instance *instance = ctx;

	return instance->world->instance_count;
}

static int64_t interval_get(void *ctx, bool local)
{
	return 0;
}

static bool is_parted(const struct instance *instance)
{
	return instance->world->parted && instance->number % CENTRES == 0;
}

/* The store is on the other side of a partition. */
static int64_t list_age(void *ctx)
{
	const struct instance *instance = ctx;
	const struct reach_world *world = instance->world;

	return is_parted(instance) ? clock_now(world->clock) - world->parted_at
				   : 0;
}

static bool list_read(void *ctx)
{
	return !is_parted(ctx);
}

static uint32_t waiting_get(void *ctx)
{
	return 0;
}

static void load_changed(void *ctx)
{
}

/* ---- the versions that began streams ---- */

static void message_free(struct message *message)
{
	timer_stop(&message->timer);
	g_queue_unlink(&message->world->messages, &message->link);
	g_free(message);
}

static void message_send(struct message *like, uint32_t from, uint32_t to);

static void on_message(struct timer *timer, void *ctx)
{
	struct message *message = ctx;
	struct instance *to = &message->world->instances[message->to];

	if (!to->stopped && message->kind == MESSAGE_RECORD)
		origins_put(to->origins, message->query.stream,
			    message->software);
	if (!to->stopped && message->kind == MESSAGE_ANSWER)
		forward_origin_answered(to->forward, message->query.id,
					message->query.stream,
					&message->answer);
	if (!to->stopped && message->kind == MESSAGE_QUERY) {
		message->kind = MESSAGE_ANSWER;
		forward_origin_answer(to->forward, &message->query,
				      &message->answer);
		message_send(message, message->to, message->from);
	}
	message_free(message);
}

static void message_send(struct message *like, uint32_t from, uint32_t to)
{
	struct reach_world *world = like->world;
	struct message *message;

	if (world->parted && (from % CENTRES == 0) != (to % CENTRES == 0))
		return;
	message = g_memdup2(like, sizeof(*like));
	message->link = (GList){.data = message};
	message->from = from;
	message->to = to;
	g_queue_push_tail_link(&world->messages, &message->link);
	timer_init(&message->timer, world->clock, on_message, message);
	timer_start(&message->timer, CONNECT_USEC);
}

/* Sends to the homes of a stream as gossip does; returns their number. */
static uint32_t homes_send(const struct instance *instance,
			   struct message *message)
{
	struct reach_world *world = instance->world;
	struct origin_homes near = {.stream = message->query.stream};
	struct origin_homes all = near;
	uint32_t sent = 0;

	message->world = world;
	for (uint32_t i = 0; i < world->instance_count; i++) {
		const struct instance *other = &world->instances[i];

		origin_homes_offer(&all, i + 1, other);
		if (strcmp(other->centre, instance->centre) == 0)
			origin_homes_offer(&near, i + 1, other);
	}
	for (uint32_t i = 0; i < 2 * ORIGIN_HOMES; i++) {
		const struct origin_homes *homes =
			i < ORIGIN_HOMES ? &near : &all;
		const struct instance *to = homes->instances[i % ORIGIN_HOMES];

		if (!to || to == instance)
			continue;
		message_send(message, instance->number, to->number);
		sent++;
	}
	return sent;
}

static void origin_began(void *ctx, uint64_t stream, uint64_t software)
{
	struct message message = {
		.kind = MESSAGE_RECORD,
		.query.stream = stream,
		.software = software,
	};

	homes_send(ctx, &message);
}

static uint32_t origin_ask(void *ctx, const struct origin_query *query)
{
	struct message message = {.kind = MESSAGE_QUERY, .query = *query};

	return homes_send(ctx, &message);
}

static void quarantine_changed(void *ctx,
			       const struct request_fingerprint *fingerprint)
{
	struct instance *instance = ctx;

	instance->world->blamed++;
}

static enum permit permit_get(void *ctx, const struct backend *backend,
			      uint64_t id, int64_t *retry_usec)
{
	return PERMIT_GRANTED;
}

/* An instance of the server's data centre, or any, that is not known to have
 * lost its links, as gossip chooses it. */
static bool relay_choose(void *ctx, const struct backend_info *to,
			 char relay[ADDRESS_TEXT_MAX])
{
	const struct instance *instance = ctx;
	const struct reach_world *world = instance->world;
	const char *last =
		relay_peers_last(instance->relay_peers, backend_key(to));
	uint32_t start = (uint32_t)g_rand_int_range(
		world->rand, 0, (gint32)world->instance_count);
	bool found = false;

	if (last) {
		g_strlcpy(relay, last, ADDRESS_TEXT_MAX);
		return true;
	}
	for (uint32_t i = 0; i < world->instance_count; i++) {
		const struct instance *other =
			&world->instances[(start + i) % world->instance_count];
		bool local = strcmp(other->centre, instance->centre) == 0;
		char address[ADDRESS_TEXT_MAX];

		(void)snprintf(address, sizeof(address), "%u", other->number);
		if (other == instance || other->stopped ||
		    (local && fleet_links_lost(other->fleet)) ||
		    !relay_peers_usable(instance->relay_peers, address,
					backend_key(to)))
			continue;
		if (found && strcmp(other->centre, to->data_centre) != 0)
			continue;
		g_strlcpy(relay, address, ADDRESS_TEXT_MAX);
		if (strcmp(other->centre, to->data_centre) == 0)
			return true;
		found = true;
	}
	return found;
}

static void relay_result(void *ctx, const char *relay, uint64_t server,
			 enum relay_failure failure)
{
	const struct instance *instance = ctx;

	relay_peers_record(instance->relay_peers, relay, server, failure);
}

static void on_tick(struct timer *timer, void *ctx)
{
	struct reach_world *world = ctx;
	char relay[ADDRESS_TEXT_MAX];

	for (uint32_t i = 0; i < world->instance_count; i++) {
		struct instance *instance = &world->instances[i];
		const struct backend_info *to = &world->servers[0].info;

		if (instance->stopped)
			continue;
		fleet_set_relays(instance->fleet,
				 relay_choose(instance, to, relay));
	}
	timer_start(timer, TICK_USEC);
}

static void route_add(struct catalog *catalog, const char *prefix,
		      enum route_kind kind, const char *service)
{
	struct catalog_route *route = catalog_add_route(catalog);
	struct route_share share = {id_of(service), 1};

	route->name = g_strdup(prefix + 1);
	route->host = g_strdup("site.example");
	route->prefix = g_strdup(prefix);
	route->kind = kind;
	route->timeout_usec = 10 * USEC_PER_SEC;
	route->target_usec = (kind == ROUTE_STREAM ? 900 : 100) * USEC_PER_MSEC;
	route->gap_usec = 300 * USEC_PER_MSEC;
	route->attempts = 2;
	g_array_append_val(route->shares, share);
}

static struct catalog *world_catalog(void)
{
	struct catalog *catalog = catalog_create(1);

	route_add(catalog, "/plain/", ROUTE_IDEMPOTENT, "plain");
	route_add(catalog, "/once/", ROUTE_ONCE, "plain");
	route_add(catalog, "/stream/", ROUTE_STREAM, "model");
	route_add(catalog, "/resume/", ROUTE_STREAM, "model");
	((struct catalog_route *)catalog->routes->pdata[3])->resumable = true;
	catalog_add_service(catalog, "plain");
	catalog_add_service(catalog, "model")->engine = (struct engine_traits){
		.slots = 12,
		.memory_tokens = MEMORY_TOKENS,
		.result_usec = 800 * USEC_PER_MSEC,
		.reserve_usec = 2 * USEC_PER_SEC,
	};
	catalog->limits.body_bytes = 100;
	catalog_index_routes(catalog);
	return catalog;
}

static void instance_open(struct reach_world *world, uint32_t i)
{
	static const struct budget_settings budget = {
		.ratio = 0.2, .slack = 54, .window_usec = 10 * USEC_PER_SEC};
	static const struct quarantine_settings quarantine = {
		.crash_threshold = 3, .held_max = 4096, .suspects_max = 4096};
	static const struct limit_settings limits = {.policy = LIMIT_COUNTS};
	struct instance *instance = &world->instances[i];
	struct forward_parts parts = {
		.clock = world->clock,
		.rand = world->rand,
		.backends = {world_watch, world_send, world_reserve,
			     world_release, world_release, NULL, world_check,
			     world_read_result, instance},
		.callers = {world_decode, "Key", NULL},
		.instances = count_get,
		.interval = interval_get,
		.list_age = list_age,
		.list_read = list_read,
		.waiting = waiting_get,
		.load_changed = load_changed,
		.quarantine_changed = quarantine_changed,
		.allotment_used = load_changed,
		.permit = permit_get,
		.relay_choose = relay_choose,
		.relay_result = relay_result,
		.origin_began = origin_began,
		.origin_ask = origin_ask,
		.callbacks_ctx = instance,
	};

	instance->world = world;
	instance->number = i;
	instance->stopped = false;
	instance->started_at = clock_now(world->clock);
	(void)snprintf(instance->centre, sizeof(instance->centre), "c%u",
		       i % CENTRES);
	parts.fleet = instance->fleet =
		fleet_create(world->clock, instance->centre);
	instance->relay_peers = relay_peers_create(world->clock);
	parts.budgets = instance->budgets = budgets_create(&budget, 0);
	parts.quarantine = instance->quarantine =
		quarantine_create(&quarantine);
	parts.backpressure = instance->backpressure = backpressure_create();
	parts.limits = instance->limits = limits_create(&limits);
	parts.origins = instance->origins =
		origins_create(world->clock, ORIGINS_MAX);
	parts.counters = instance->counters = counter_set_create();
	fleet_set_backpressure(instance->fleet, instance->backpressure);
	instance->forward = forward_create(&parts);
	forward_set_catalog(instance->forward, world->catalog);
	fleet_snapshot_begin(instance->fleet);
	for (uint32_t j = 0; j < world->server_count; j++)
		fleet_put(instance->fleet, &world->servers[j].info);
	fleet_snapshot_end(instance->fleet);
}

static void instance_close(struct instance *instance)
{
	if (instance->stopped)
		return;
	instance->stopped = true;
	forward_destroy(instance->forward);
	relay_peers_destroy(instance->relay_peers);
	fleet_destroy(instance->fleet);
	budgets_destroy(instance->budgets);
	quarantine_destroy(instance->quarantine);
	backpressure_destroy(instance->backpressure);
	limits_destroy(instance->limits);
	origins_destroy(instance->origins);
	counter_set_destroy(instance->counters);
}

/* One plain server and one prefill server for three instances, three at least,
 * and three times as many decode servers, spread over the data centres. */
static void servers_open(struct reach_world *world)
{
	uint32_t each = MAX(world->instance_count / 3, CENTRES);

	world->server_count = each * 5;
	world->servers = g_new0(struct server, world->server_count);
	for (uint32_t i = 0; i < world->server_count; i++) {
		struct backend_info *info = &world->servers[i].info;

		info->stage = i < each	     ? STAGE_NONE
			      : i < each * 2 ? STAGE_PREFILL
					     : STAGE_DECODE;
		info->slots = info->stage == STAGE_NONE ? 6 : 12;
		info->service =
			id_of(info->stage == STAGE_NONE ? "plain" : "model");
		(void)snprintf(info->id, sizeof(info->id), "s%u", i);
		(void)snprintf(info->address, sizeof(info->address), "s%u", i);
		(void)snprintf(info->data_centre, sizeof(info->data_centre),
			       "c%u", i % CENTRES);
		(void)snprintf(info->software_name, sizeof(info->software_name),
			       "v%u", i / CENTRES % world->versions);
		info->software = id_of(info->software_name);
	}
}

static void record_free(gpointer data)
{
	struct record *record = data;

	timer_stop(&record->timer);
	g_free(record);
}

struct reach_world *reach_world_create(uint32_t instances, guint32 seed)
{
	return reach_world_create_versions(instances, seed, 1);
}

struct reach_world *reach_world_create_versions(uint32_t instances,
						guint32 seed, uint32_t versions)
{
	struct reach_world *world = g_new0(struct reach_world, 1);

	world->clock = clock_create(0);
	clock_advance(world->clock, 60 * USEC_PER_SEC);
	world->rand = g_rand_new_with_seed(seed);
	world->catalog = world_catalog();
	world->requests = g_ptr_array_new_with_free_func(g_free);
	world->records = g_ptr_array_new_with_free_func(record_free);
	world->versions = versions;
	world->instance_count = instances;
	world->instances = g_new0(struct instance, instances);
	servers_open(world);
	for (uint32_t i = 0; i < instances; i++)
		instance_open(world, i);
	timer_init(&world->arrivals, world->clock, on_arrival, world);
	timer_init(&world->reports, world->clock, on_reports, world);
	timer_start(&world->arrivals, 0);
	timer_start(&world->reports, REPORT_USEC);
	timer_init(&world->ticks, world->clock, on_tick, world);
	timer_start(&world->ticks, TICK_USEC);
	return world;
}

void reach_world_destroy(struct reach_world *world)
{
	struct message *message;
	struct call *call;

	timer_stop(&world->arrivals);
	timer_stop(&world->reports);
	timer_stop(&world->ticks);
	for (uint32_t i = 0; i < world->instance_count; i++)
		instance_close(&world->instances[i]);
	while ((call = g_queue_peek_head(&world->calls)))
		call_free(call);
	while ((message = g_queue_peek_head(&world->messages)))
		message_free(message);
	catalog_unref(world->catalog);
	g_ptr_array_unref(world->requests);
	g_ptr_array_unref(world->records);
	g_free(world->instances);
	g_free(world->servers);
	g_rand_free(world->rand);
	clock_destroy(world->clock);
	g_free(world);
}

void reach_world_run(struct reach_world *world, int64_t msec)
{
	clock_advance(world->clock,
		      clock_now(world->clock) + msec * USEC_PER_MSEC);
}

void reach_world_end(struct reach_world *world, int64_t msec)
{
	timer_stop(&world->arrivals);
	reach_world_run(world, msec);
}

/* The open connections of an instance whose links are cut. */
static void calls_cut(struct reach_world *world, struct instance *instance)
{
	GList *next;

	for (GList *link = world->calls.head; link; link = next) {
		struct call *call = link->data;

		next = link->next;
		if (call->from != instance || !call->connected ||
		    !is_cut(instance, call->to) ||
		    instance->cut == CUT_ONLY_NEW)
			continue;
		call->lost = true;
		call->silent = instance->cut == CUT_SILENT;
		timer_start(&call->timer,
			    instance->cut == CUT_SILENT ? call->head_usec : 0);
	}
}

void reach_world_cut_some(struct reach_world *world, uint32_t instance,
			  enum cut cut, uint32_t every)
{
	world->instances[instance].cut = cut;
	world->instances[instance].cut_every = every;
	if (cut != CUT_NONE)
		calls_cut(world, &world->instances[instance]);
}

void reach_world_cut(struct reach_world *world, uint32_t instance, enum cut cut)
{
	reach_world_cut_some(world, instance, cut, 0);
}

uint32_t reach_world_servers(const struct reach_world *world)
{
	return world->server_count;
}

void reach_world_silence(struct reach_world *world, uint32_t server,
			 int64_t msec)
{
	struct server *silent = &world->servers[server];

	silent->silent_until = clock_now(world->clock) + msec * USEC_PER_MSEC;
	for (GList *link = world->calls.head; link; link = link->next) {
		struct call *call = link->data;

		if (call->to == silent && call->connected)
			answer_schedule(call, msec * USEC_PER_MSEC);
	}
}

uint32_t reach_world_repeated_streams(const struct reach_world *world)
{
	uint32_t repeated = 0;

	for (guint i = 0; i < world->records->len; i++) {
		const struct record *record = world->records->pdata[i];

		repeated += record->streams && record->runs > 1;
	}
	return repeated;
}

void reach_world_restart(struct reach_world *world, uint32_t server)
{
	world->servers[server].crashed = false;
}

void reach_world_crash(struct reach_world *world, uint32_t server)
{
	GList *next;

	world->servers[server].crashed = true;
	for (GList *link = world->calls.head; link; link = next) {
		struct call *call = link->data;

		next = link->next;
		if (call->to == &world->servers[server] && call->connected)
			timer_start(&call->timer, 0);
	}
}

uint32_t reach_world_sent(const struct reach_world *world)
{
	return world->records->len;
}

void reach_world_tally(const struct reach_world *world, uint32_t begin,
		       uint32_t end, struct tally *cut_off,
		       struct tally *others)
{
	*cut_off = *others = (struct tally){0};
	for (uint32_t i = begin; i < end; i++) {
		const struct record *record = world->records->pdata[i];
		struct tally *tally = record->cut_off ? cut_off : others;

		tally->sent++;
		tally->served += record->status == 200 && record->answers == 1;
	}
}

uint32_t reach_world_broken(const struct reach_world *world)
{
	uint32_t broken = 0;

	for (guint i = 0; i < world->records->len; i++) {
		const struct record *record = world->records->pdata[i];
		bool denies_run =
			record->status == 503 || record->status == 429;

		broken += record->answers != 1 ||
			  (record->once && record->runs > 1) ||
			  (denies_run && record->runs > 0);
	}
	return broken;
}

uint32_t reach_world_blamed(const struct reach_world *world)
{
	return world->blamed;
}

void reach_world_reset_callers(struct reach_world *world, double share)
{
	guint count = world->requests->len;

	for (guint i = 0; i < count; i++) {
		struct web_request *request = world->requests->pdata[i];

		if (request->ended || !record_of(request)->resumable ||
		    g_rand_double(world->rand) >= share)
			continue;
		record_of(request)->answers++;
		caller_lost(request);
		request->gone(request->gone_ctx);
	}
}

void reach_world_stop(struct reach_world *world, uint32_t instance)
{
	instance_close(&world->instances[instance]);
}

void reach_world_start(struct reach_world *world, uint32_t instance)
{
	instance_open(world, instance);
}

uint32_t reach_world_joined(const struct reach_world *world)
{
	uint32_t joined = 0;

	for (guint i = 0; i < world->records->len; i++) {
		const struct record *record = world->records->pdata[i];

		joined += record->joined;
	}
	return joined;
}

void reach_world_resumed(const struct reach_world *world, uint32_t begin,
			 uint32_t end, struct tally *fresh,
			 struct tally *resumed)
{
	*fresh = *resumed = (struct tally){0};
	for (uint32_t i = begin; i < end; i++) {
		const struct record *record = world->records->pdata[i];
		struct tally *tally = record->resumed ? resumed : fresh;

		if (!record->resumable || !record->in_touch)
			continue;
		tally->sent++;
		tally->served += record->last > record->before;
	}
}

void reach_world_part(struct reach_world *world, bool parted)
{
	world->parted = parted;
	world->parted_at = clock_now(world->clock);
}
