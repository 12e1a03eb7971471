/*
 * dispatch.c - the queue of dispatch.h: servers, calls and their order
 */
#include "dispatch_private.h"

/* Mean time of a call before the first was measured. */
#define MEAN_START_USEC 20000.0

static guint call_hash(gconstpointer data)
{
	const struct dispatch_call *call = data;

	return (guint)(call->from ^ call->from >> 32 ^
		       call->id * UINT64_C(0x9e3779b97f4a7c15) >> 32);
}

static gboolean call_equal(gconstpointer a, gconstpointer b)
{
	const struct dispatch_call *one = a;
	const struct dispatch_call *other = b;

	return one->from == other->from && one->id == other->id;
}

struct dispatch *dispatch_create(const struct dispatch_ops *ops, void *ctx)
{
	struct dispatch *dispatch = g_new0(struct dispatch, 1);

	dispatch->ops = *ops;
	dispatch->ctx = ctx;
	dispatch->servers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	dispatch->grants =
		g_hash_table_new_full(call_hash, call_equal, NULL, g_free);
	dispatch->organisations = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
	dispatch->queue = g_ptr_array_new_with_free_func(g_free);
	dispatch->mean_usec = MEAN_START_USEC;
	return dispatch;
}

void dispatch_destroy(struct dispatch *dispatch)
{
	if (!dispatch)
		return;
	g_ptr_array_unref(dispatch->queue);
	g_hash_table_destroy(dispatch->grants);
	g_hash_table_destroy(dispatch->organisations);
	g_hash_table_destroy(dispatch->servers);
	g_free(dispatch);
}

uint32_t dispatch_queued(const struct dispatch *dispatch)
{
	return dispatch->queue->len;
}

uint32_t dispatch_outstanding(const struct dispatch *dispatch)
{
	return g_hash_table_size(dispatch->grants);
}

/* ---- servers ---- */

void dispatch_set_server(struct dispatch *dispatch, uint64_t key,
			 uint32_t slots, bool usable)
{
	struct dispatch_server *server =
		g_hash_table_lookup(dispatch->servers, &key);

	if (!server) {
		server = g_new0(struct dispatch_server, 1);
		server->key = key;
		server->pace = 1.0;
		g_hash_table_insert(dispatch->servers, &server->key, server);
	}
	server->slots = MAX(slots, 1);
	server->usable = usable;
	server->listed = true;
}

void dispatch_sweep(struct dispatch *dispatch)
{
	struct dispatch_server *server;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, dispatch->servers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&server)) {
		bool listed = server->listed;

		server->listed = false;
		if (listed)
			continue;
		server->usable = false;
		if (server->outstanding == 0)
			g_hash_table_iter_remove(&iter);
	}
}

/* ---- the queue ---- */

static gint waiting_compare(gconstpointer a, gconstpointer b)
{
	const struct dispatch_waiting *one = *(struct dispatch_waiting **)a;
	const struct dispatch_waiting *other = *(struct dispatch_waiting **)b;

	if (one->call.urgency != other->call.urgency)
		return one->call.urgency < other->call.urgency ? -1 : 1;
	if (one->recent < other->recent || one->recent > other->recent)
		return one->recent < other->recent ? -1 : 1;
	/* In order of arrival, calls with a short target would be refused for
	 * those with a longer one that could still wait. */
	if (one->leave_at != other->leave_at)
		return one->leave_at < other->leave_at ? -1 : 1;
	return one->order < other->order ? -1 : 1;
}

static void queue_sort(struct dispatch *dispatch, int64_t now)
{
	if (dispatch->sorted)
		return;
	dispatch->sorted = true;
	for (guint i = 0; i < dispatch->queue->len; i++) {
		struct dispatch_waiting *waiting = dispatch->queue->pdata[i];

		waiting->recent = dispatch_share_of(dispatch, now,
						    waiting->call.organisation);
	}
	g_ptr_array_sort(dispatch->queue, waiting_compare);
}

static void waiting_answer(struct dispatch *dispatch, guint index,
			   struct dispatch_answer *answer)
{
	struct dispatch_waiting *waiting =
		g_ptr_array_steal_index(dispatch->queue, index);

	dispatch->ops.answered(dispatch->ctx, &waiting->call, answer);
	g_free(waiting);
}

static void waiting_refuse(struct dispatch *dispatch,
			   const struct dispatch_capacity *capacity,
			   guint index)
{
	struct dispatch_answer answer = {
		.result = DISPATCH_REFUSED,
		.usec = dispatch_retry(dispatch, capacity),
	};

	waiting_answer(dispatch, index, &answer);
}

/* Whether the call can be in time with that many before it, and its caller
 * waits as long. */
static bool waiting_in_time(const struct dispatch_capacity *capacity,
			    int64_t now, const struct dispatch_waiting *waiting,
			    uint32_t before)
{
	double wait = dispatch_wait(capacity, before);

	return (double)now + wait <= (double)waiting->leave_at &&
	       dispatch_in_time(capacity, wait, waiting->target_at - now);
}

/* Grants a server to the call. One that would be late there, but not at a
 * faster server, waits; a late one is granted if no other call waits. */
static bool waiting_grant(struct dispatch *dispatch, int64_t now,
			  const struct dispatch_waiting *waiting, bool alone,
			  struct dispatch_answer *answer)
{
	struct dispatch_server *server = dispatch_choose(
		dispatch, now, &waiting->call, false, &answer->terms);
	double end;
	bool late;

	if (!server)
		return false;
	end = (double)now + answer->terms.wait_usec + answer->terms.run_usec +
	      DISPATCH_TRANSIT_USEC;
	late = end > (double)waiting->target_at;
	if (late)
		server = alone ? dispatch_choose(dispatch, now, &waiting->call,
						 true, &answer->terms)
			       : NULL;
	if (!server || now >= waiting->limit_at)
		return false;
	answer->usec = now - waiting->arrived;
	dispatch_grant_add(dispatch, now, server, &waiting->call, late, answer);
	return true;
}

/* Handles a backlog: grants free places in order, and refuses what can no
 * longer be in time behind the calls before it. */
static void queue_serve(struct dispatch *dispatch, int64_t now)
{
	struct dispatch_capacity capacity;
	guint i = 0;

	if (dispatch->queue->len == 0)
		return;
	queue_sort(dispatch, now);
	dispatch_capacity_of(dispatch, now, &capacity);
	while (i < dispatch->queue->len) {
		const struct dispatch_waiting *waiting =
			dispatch->queue->pdata[i];
		struct dispatch_answer answer = {0};

		if (capacity.free > 0 &&
		    waiting_grant(dispatch, now, waiting,
				  dispatch->queue->len == 1, &answer)) {
			waiting_answer(dispatch, i, &answer);
			dispatch_capacity_of(dispatch, now, &capacity);
		} else if (!waiting_in_time(&capacity, now, waiting, i)) {
			waiting_refuse(dispatch, &capacity, i);
		} else {
			i++;
		}
	}
}

static struct dispatch_waiting *waiting_create(struct dispatch *dispatch,
					       int64_t now,
					       const struct dispatch_call *call)
{
	struct dispatch_waiting *waiting = g_new0(struct dispatch_waiting, 1);
	double most = DISPATCH_WAIT_PART * (double)call->target_usec;

	waiting->call = *call;
	waiting->arrived = now;
	waiting->target_at = now + call->target_usec;
	waiting->limit_at = now + call->limit_usec;
	waiting->leave_at = now + MIN((int64_t)most, DISPATCH_WAIT_USEC);
	waiting->order = dispatch->next_order++;
	waiting->recent = dispatch_share_of(dispatch, now, call->organisation);
	return waiting;
}

/* Calls in the queue that are served before this one. */
static uint32_t queued_before(const struct dispatch *dispatch,
			      const struct dispatch_waiting *waiting)
{
	uint32_t before = 0;

	for (guint i = 0; i < dispatch->queue->len; i++)
		before += waiting_compare(&dispatch->queue->pdata[i],
					  &waiting) < 0;
	return before;
}

static bool known_answer(const struct dispatch *dispatch,
			 const struct dispatch_call *call,
			 struct dispatch_answer *answer)
{
	const struct dispatch_grant *grant =
		g_hash_table_lookup(dispatch->grants, call);

	*answer = (struct dispatch_answer){.result = DISPATCH_WAITING};
	if (grant) {
		answer->result = DISPATCH_GRANTED;
		answer->server = grant->server;
		answer->usec = grant->waited_usec;
		return true;
	}
	for (guint i = 0; i < dispatch->queue->len; i++)
		if (call_equal(dispatch->queue->pdata[i], call))
			return true;
	return false;
}

enum dispatch_result dispatch_request(struct dispatch *dispatch, int64_t now,
				      const struct dispatch_call *call,
				      struct dispatch_answer *answer)
{
	struct dispatch_capacity capacity;
	struct dispatch_waiting *waiting;
	uint32_t before;

	if (known_answer(dispatch, call, answer))
		return answer->result;
	waiting = waiting_create(dispatch, now, call);
	before = queued_before(dispatch, waiting);
	dispatch_capacity_of(dispatch, now, &capacity);
	if (before < capacity.free &&
	    waiting_grant(dispatch, now, waiting, dispatch->queue->len == 0,
			  answer)) {
		g_free(waiting);
		return answer->result;
	}
	if (dispatch->queue->len >= DISPATCH_QUEUE_MAX ||
	    !waiting_in_time(&capacity, now, waiting, before)) {
		answer->result = DISPATCH_REFUSED;
		answer->usec = dispatch_retry(dispatch, &capacity);
		g_free(waiting);
		return answer->result;
	}
	answer->usec = (int64_t)dispatch_wait(&capacity, before);
	g_ptr_array_add(dispatch->queue, waiting);
	dispatch->sorted = false;
	return answer->result;
}

static void queue_remove(struct dispatch *dispatch,
			 const struct dispatch_call *call)
{
	for (guint i = 0; i < dispatch->queue->len; i++) {
		if (!call_equal(dispatch->queue->pdata[i], call))
			continue;
		g_ptr_array_remove_index(dispatch->queue, i);
		return;
	}
}

void dispatch_done(struct dispatch *dispatch, int64_t now,
		   const struct dispatch_end *end)
{
	const struct dispatch_call call = {.from = end->from, .id = end->id};

	if (!dispatch_grant_end(dispatch, now, end))
		queue_remove(dispatch, &call);
	queue_serve(dispatch, now);
}

void dispatch_tick(struct dispatch *dispatch, int64_t now)
{
	dispatch_leases_expire(dispatch, now);
	queue_serve(dispatch, now);
}

void dispatch_flush(struct dispatch *dispatch)
{
	while (dispatch->queue->len > 0) {
		struct dispatch_waiting *waiting = g_ptr_array_steal_index(
			dispatch->queue, dispatch->queue->len - 1);

		dispatch->ops.returned(dispatch->ctx, &waiting->call);
		g_free(waiting);
	}
}
