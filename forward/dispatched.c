/*
 * dispatched.c - plain calls for which a dispatcher chooses the server
 *
 * DESCRIPTION
 *	A call that has not been sent yet asks the dispatcher of its service
 *	(sched/dispatch.h) and waits for a grant. Without an answer in time, or
 *	from an instance that is not the dispatcher, it is placed by this
 *	instance. Each question and each grant is ended by one call_done().
 */
#include "request.h"

#include "common/id.h"
#include "common/log.h"
#include "sched/patience.h"

/* Questions of one call: one, and one more after a grant that cannot be used.
 */
#define ASKS_MAX 2u
/* How long after a server has stated its pace its service is dispatched:
 * longer than pauses between calls of a service in use. */
#define STATED_USEC (30 * USEC_PER_SEC)

struct dispatched_service {
	uint64_t id;
	struct patience patience;
	int64_t stated_until;
};

struct dispatched_services {
	GHashTable *services; /* id to struct dispatched_service */
	GHashTable *asks;     /* id to handle of the request */
	uint64_t last_ask;
	struct counter *granted;
	struct counter *refused;
	struct counter *silent;
};

struct ask {
	uint64_t id;
	uint64_t request;
};

struct dispatched_services *dispatched_create(struct forward *forward)
{
	struct counter_set *set = forward->parts.counters;
	struct dispatched_services *services =
		g_new0(struct dispatched_services, 1);

	services->services = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	services->asks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	/* A dispatcher may still hold grants of an earlier start. */
	services->last_ask = id_mix(forward->parts.keyed_hash_secret, 0);
	if (!forward->parts.call_request)
		return services;
	services->granted = counter_get(set, "jt_calls_granted_total",
					"Plain calls granted a server", NULL);
	services->refused =
		counter_get(set, "jt_calls_refused_total",
			    "Plain calls refused by a dispatcher", NULL);
	services->silent = counter_get(
		set, "jt_dispatcher_silent_total",
		"Questions that no dispatcher answered in time", NULL);
	return services;
}

void dispatched_destroy(struct dispatched_services *services)
{
	g_hash_table_destroy(services->services);
	g_hash_table_destroy(services->asks);
	g_free(services);
}

void forward_set_plain_queue(struct forward *forward, enum plain_queue queue)
{
	forward->parts.plain_queue = queue;
}

static struct dispatched_service *service_get(const struct request *request)
{
	GHashTable *services = request->forward->dispatched->services;
	struct dispatched_service *service =
		g_hash_table_lookup(services, &request->service->id);

	if (service)
		return service;
	service = g_new0(struct dispatched_service, 1);
	service->id = request->service->id;
	g_hash_table_insert(services, &service->id, service);
	return service;
}

void dispatched_note(const struct request *request,
		     const struct server_load *load)
{
	if (!request->forward->parts.call_request || !load->known ||
	    load->pace <= 0.0)
		return;
	service_get(request)->stated_until = request_now(request) + STATED_USEC;
}

bool request_is_dispatched(const struct request *request)
{
	const struct forward_parts *parts = &request->forward->parts;

	if (!parts->call_request || parts->plain_queue == PLAIN_QUEUE_OFF)
		return false;
	return parts->plain_queue == PLAIN_QUEUE_ON ||
	       request->catalog->ranked ||
	       request_now(request) < service_get(request)->stated_until;
}

static int64_t target_left(const struct request *request)
{
	return request->arrived + request->route->target_usec -
	       request_now(request);
}

/* ---- ends ---- */

static void done_send(const struct forward *forward, uint64_t dispatcher,
		      const struct call_done *done)
{
	const struct forward_parts *parts = &forward->parts;

	parts->call_done(parts->callbacks_ctx, dispatcher, done);
}

/* Forgets the question and fills in its end. */
static struct call_done ask_close(struct request *request)
{
	struct dispatched *dispatched = &request->dispatched;
	const struct call_done done = {
		.service = request->service->id,
		.server = dispatched->server,
		.end.id = dispatched->ask,
	};

	timer_stop(&dispatched->timer);
	g_hash_table_remove(request->forward->dispatched->asks,
			    &dispatched->ask);
	dispatched->ask = 0;
	dispatched->server = 0;
	return done;
}

void dispatched_end(struct request *request, const struct backend_end *end)
{
	const struct answer *answer = &request->answer;
	struct call_done done;

	if (answer->has_head && !answer->head.mismatched)
		dispatched_note(request, &answer->head.load);
	if (request->dispatched.ask == 0)
		return;
	done = ask_close(request);
	if (answer->has_head && !answer->head.mismatched) {
		done.end.load = answer->head.load;
		done.end.refused = answer->head.not_run;
		if (end->complete && !answer->too_large)
			done.end.usec =
				request_now(request) - request->placed_at;
	}
	done_send(request->forward, request->dispatched.dispatcher, &done);
}

void dispatched_drop(struct request *request)
{
	struct call_done done;

	if (request->dispatched.ask == 0)
		return;
	done = ask_close(request);
	done_send(request->forward, request->dispatched.dispatcher, &done);
}

/* ---- questions ---- */

static void on_silent(struct timer *timer, void *ctx)
{
	struct request *request = ctx;
	struct dispatched *dispatched = &request->dispatched;

	request->forward->dispatched->silent->value++;
	log_event(LOG_NOTICE, "dispatcher_silent",
		  LOG_S("request", request->caller.id),
		  LOG_S("service", request->service->name),
		  LOG_X("dispatcher", dispatched->dispatcher),
		  LOG_D("ms", (request_now(request) - dispatched->asked_at) /
				      USEC_PER_MSEC));
	patience_silent(&service_get(request)->patience, request_now(request));
	dispatched->asks = ASKS_MAX;
	dispatched_drop(request);
	plain_start(request);
}

void dispatched_init(struct request *request)
{
	timer_init(&request->dispatched.timer, request->forward->parts.clock,
		   on_silent, request);
}

static void ask_fill(const struct request *request, struct call_request *ask)
{
	const struct dispatched *dispatched = &request->dispatched;

	*ask = (struct call_request){
		.service = request->service->id,
		.call = {
			.id = request->forward->dispatched->last_ask,
			.urgency = request_urgency(request),
			.organisation = request->organisation
						? request->organisation->id
						: 0,
			.target_usec = target_left(request),
			.limit_usec = request_time_left(request),
			.avoid_count = dispatched->avoid_count,
		}};
	for (uint32_t i = 0; i < dispatched->avoid_count; i++)
		ask->call.avoid[i] = dispatched->avoid[i];
}

static void ask_record(struct request *request)
{
	struct dispatched_services *services = request->forward->dispatched;
	struct dispatched *dispatched = &request->dispatched;
	struct ask *ask = g_new0(struct ask, 1);

	ask->id = services->last_ask;
	ask->request = request->handle;
	g_hash_table_insert(services->asks, &ask->id, ask);
	dispatched->ask = ask->id;
	dispatched->server = 0;
	dispatched->asked_at = request_now(request);
	dispatched->asks++;
	timer_start(&dispatched->timer,
		    patience_first(&service_get(request)->patience,
				   target_left(request)));
}

static void grant_return(struct request *request)
{
	struct dispatched *dispatched = &request->dispatched;

	if (dispatched->ask == 0)
		return;
	if (dispatched->server && dispatched->avoid_count < DISPATCH_AVOID_MAX)
		dispatched->avoid[dispatched->avoid_count++] =
			dispatched->server;
	dispatched_drop(request);
}

bool dispatched_start(struct request *request)
{
	const struct forward_parts *parts = &request->forward->parts;
	struct call_request ask;

	grant_return(request);
	if (request->sends > 0 || request->runs > 0 ||
	    request->dispatched.asks >= ASKS_MAX ||
	    !request_is_dispatched(request) || target_left(request) <= 0 ||
	    !patience_may_ask(&service_get(request)->patience,
			      request_now(request)))
		return false;
	request->forward->dispatched->last_ask++;
	ask_fill(request, &ask);
	if (!parts->call_request(parts->callbacks_ctx, &ask,
				 &request->dispatched.dispatcher))
		return false;
	ask_record(request);
	return true;
}

/* ---- answers ---- */

static void call_granted(struct request *request,
			 const struct call_answer *answer)
{
	const struct forward *forward = request->forward;
	struct backend *backend =
		fleet_find(forward->parts.fleet, answer->server);

	timer_stop(&request->dispatched.timer);
	request->dispatched.server = answer->server;
	patience_answered(&service_get(request)->patience, answer->usec);
	forward->dispatched->granted->value++;
	log_event(LOG_INFO, "call_granted",
		  LOG_S("request", request->caller.id),
		  LOG_D("ask", answer->id),
		  LOG_S("backend", backend ? backend->info.id : ""),
		  LOG_D("queued_ms", answer->usec / USEC_PER_MSEC),
		  LOG_D("asks", request->dispatched.asks));
	plain_granted(request, backend);
}

static void call_refused(struct request *request,
			 const struct call_answer *answer)
{
	(void)ask_close(request);
	patience_answered(&service_get(request)->patience, -1);
	request->forward->dispatched->refused->value++;
	log_event(LOG_INFO, "call_refused",
		  LOG_S("request", request->caller.id),
		  LOG_D("ask", answer->id),
		  LOG_D("target_left_ms", target_left(request) / USEC_PER_MSEC),
		  LOG_D("retry_ms", answer->usec / USEC_PER_MSEC));
	request_refuse(request, RESULT_QUEUE_FULL, answer->usec);
}

/* The dispatcher is reached, so the call waits for the slot. */
static void call_queued(struct request *request)
{
	struct dispatched *dispatched = &request->dispatched;
	int64_t waited = request_now(request) - dispatched->asked_at;
	int64_t longest =
		patience_longest(target_left(request) + waited) - waited;

	patience_answered(&service_get(request)->patience, -1);
	timer_start(&dispatched->timer, MAX(longest, 0));
}

static void call_returned(struct request *request)
{
	(void)ask_close(request);
	patience_answered(&service_get(request)->patience, -1);
	request->dispatched.asks = ASKS_MAX;
	plain_start(request);
}

void forward_call_answered(struct forward *forward, uint64_t dispatcher,
			   const struct call_answer *answer)
{
	const struct ask *ask =
		g_hash_table_lookup(forward->dispatched->asks, &answer->id);
	struct request *request =
		ask ? table_get(forward->requests, ask->request) : NULL;
	const struct call_done unused = {
		.service = answer->service,
		.server = answer->server,
		.end.id = answer->id,
	};

	if (!request || request->dispatched.dispatcher != dispatcher) {
		if (answer->result == CALL_GRANTED)
			done_send(forward, dispatcher, &unused);
		return;
	}
	/* A repeated datagram. */
	if (request->dispatched.server != 0)
		return;
	switch (answer->result) {
	case CALL_GRANTED:
		call_granted(request, answer);
		break;
	case CALL_REFUSED:
		call_refused(request, answer);
		break;
	case CALL_QUEUED:
		call_queued(request);
		break;
	case CALL_NOT_DISPATCHER:
		call_returned(request);
		break;
	}
}
