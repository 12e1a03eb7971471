#include "coord/lease.h"

#include <glib.h>

#include "common/log.h"
#include "common/position.h"
#include "coord/log_tail.h"
#include "coord/retry.h"
#include "lease_fold.h"

/* Leaves time for two retries of a renewal before the lease expires. */
#define RENEWALS_PER_TERM 3
#define RETRY_BASE_USEC (500 * USEC_PER_MSEC)
#define VOID_RETRY_BASE_USEC (100 * USEC_PER_MSEC)
#define RETRY_MAX_USEC (4 * USEC_PER_SEC)
/* Records read at the start. A lease may have been taken in an earlier record,
 * so a taker waits a full term. */
#define HISTORY_RECORDS 512u
/* Tasks tracked from the log before lease_acquire() is called for them. */
#define TASKS_MAX 4096u
#define ORDER_TIMEOUT_MAX_USEC (3600 * USEC_PER_SEC)

struct lease {
	struct leases *leases;
	uint64_t task;
	struct lease_state state;
	bool wanted;
	bool owned; /* the last valid record is by this instance */
	bool held;  /* taken() was called, and lost() was not since */
	bool wait_start_pending; /* wait_start is set in the next iteration */
	uint64_t fence;
	int64_t expires_at;
	int64_t wait_start; /* when another instance's record was last read */
	int64_t append_at;  /* earliest time of the next append */
	int64_t order_timeout;
	uint32_t attempts; /* appends since a record was read back */
	struct timer timer;
	struct timer hold_timer;
};

struct leases {
	struct clock *clock;
	int64_t term;
	struct owner self;
	struct log_store store;
	struct lease_ops ops;
	void *ctx;
	GRand *rand;
	struct log_tail *tail;
	GHashTable *tasks; /* task to struct lease */
	uint64_t known_from;
	bool caught_up;	    /* the end of the stream was reached once */
	bool tasks_skipped; /* records of tasks beyond TASKS_MAX were ignored */
};

static bool is_self(const struct leases *leases, const struct owner *owner)
{
	return owner->instance == leases->self.instance &&
	       owner->incarnation == leases->self.incarnation;
}

static void lease_lose(struct lease *lease)
{
	struct leases *leases = lease->leases;

	timer_stop(&lease->hold_timer);
	if (!lease->held)
		return;
	lease->held = false;
	log_event(LOG_NOTICE, "lease_lost", LOG_X("task", lease->task),
		  LOG_D("fence", lease->fence));
	leases->ops.lost(leases->ctx, lease->task);
}

/* Begins or ends holding the lease. The clock shows the start of an iteration
 * of the event loop, and the process may have been paused between that and
 * reading the record, so holding begins in the iteration after it. */
static void lease_hold_timer(struct timer *timer, void *ctx)
{
	struct lease *lease = ctx;
	struct leases *leases = lease->leases;
	int64_t now = clock_now(leases->clock);

	if (!lease->wanted || !lease->owned || now >= lease->expires_at) {
		lease_lose(lease);
		return;
	}
	timer_start(&lease->hold_timer, lease->expires_at - now);
	if (lease->held)
		return;
	lease->held = true;
	log_event(LOG_NOTICE, "lease_taken", LOG_X("task", lease->task),
		  LOG_D("fence", lease->fence));
	leases->ops.taken(leases->ctx, lease->task, lease->fence);
}

/* The result is ignored: appends are retried until a record is read back. */
static void append_done(void *ctx, enum result_code code, uint64_t offset)
{
}

static void lease_append(struct lease *lease, enum lease_action action)
{
	struct leases *leases = lease->leases;
	struct lease_record record = {
		.task = lease->task,
		.holder = leases->self,
		.action = action,
		.after = log_tail_position(leases->tail),
		.fence = action == LEASE_TAKE ? 0 : lease->fence,
		.sent = (uint64_t)clock_now(leases->clock),
	};
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	lease_record_pack(&buffer, &record);
	leases->store.append(leases->store.ctx, LOG_STREAM_LEASES, buffer.data,
			     buffer.size, append_done, NULL);
	msgpack_sbuffer_destroy(&buffer);
}

static void lease_attempt(struct lease *lease, enum lease_action action)
{
	struct leases *leases = lease->leases;
	int64_t delay = retry_backoff(leases->rand, lease->attempts,
				      RETRY_BASE_USEC, RETRY_MAX_USEC);

	lease->attempts++;
	lease->append_at = clock_now(leases->clock) + delay;
	timer_start(&lease->timer, delay);
	lease_append(lease, action);
}

/* Time from wait_start until no other instance can hold the lease. */
static int64_t lease_wait_usec(const struct lease *lease)
{
	int64_t order_wait = 0;

	/* The timeout is in true time, and the local clock may run fast. */
	if (lease->order_timeout)
		order_wait = lease->order_timeout + lease->order_timeout / 16 +
			     LEASE_MARGIN_USEC;
	if (lease->state.released)
		return order_wait;
	if (!lease->state.next && !lease->state.known_from)
		return 0; /* never held */
	return lease->leases->term + LEASE_MARGIN_USEC + order_wait;
}

/* Appends a record if one is due, or starts the timer until then. */
static void lease_schedule(struct lease *lease)
{
	struct leases *leases = lease->leases;
	int64_t now = clock_now(leases->clock);
	int64_t due = lease->append_at;

	if (!lease->wanted || !leases->caught_up || lease->wait_start_pending)
		return;
	if (!lease->owned)
		due = MAX(due, lease->wait_start + lease_wait_usec(lease));
	if (now < due)
		timer_start(&lease->timer, due - now);
	else
		lease_attempt(lease, lease->owned ? LEASE_RENEW : LEASE_TAKE);
}

static void lease_timer(struct timer *timer, void *ctx)
{
	struct lease *lease = ctx;

	if (lease->wait_start_pending)
		lease->wait_start = clock_now(timer->clock);
	lease->wait_start_pending = false;
	lease_schedule(lease);
}

/* The wait is counted from the next iteration, as the clock may be behind the
 * reading of the record (see lease_hold_timer()). */
static void lease_restart_wait(struct lease *lease)
{
	lease->owned = false;
	lease_lose(lease);
	lease->wait_start_pending = true;
	timer_start(&lease->timer, 0);
}

static void lease_extend(struct lease *lease, int64_t sent)
{
	int64_t end = sent + lease->leases->term - LEASE_MARGIN_USEC;

	lease->owned = true;
	lease->wait_start_pending = false;
	lease->expires_at = MAX(lease->expires_at, end);
	lease->append_at = sent + lease->leases->term / RENEWALS_PER_TERM;
	timer_start(&lease->hold_timer, 0);
	lease_schedule(lease);
}

/* The own record is void, as a record of another instance precedes it. */
static void lease_retry_void(struct lease *lease)
{
	struct leases *leases = lease->leases;

	lease->append_at = clock_now(leases->clock) +
			   retry_backoff(leases->rand, 0, VOID_RETRY_BASE_USEC,
					 RETRY_MAX_USEC);
	lease_schedule(lease);
}

/* Handles a record of this instance that was read back. */
static void lease_own_record(struct lease *lease,
			     const struct lease_record *record,
			     enum lease_verdict verdict, uint64_t offset)
{
	lease->attempts = 0;
	if (verdict == LEASE_VOID) {
		lease_retry_void(lease);
		return;
	}
	if (verdict == LEASE_UNCLEAR || record->action == LEASE_RELEASE ||
	    (record->action == LEASE_RENEW && !lease->owned)) {
		lease_restart_wait(lease);
		return;
	}
	if (record->action == LEASE_TAKE) {
		lease->fence = offset + 1;
		lease->expires_at = 0;
	}
	lease_extend(lease, (int64_t)record->sent);
}

static void lease_destroy(void *data)
{
	struct lease *lease = data;

	timer_stop(&lease->timer);
	timer_stop(&lease->hold_timer);
	g_free(lease);
}

static struct lease *lease_add(struct leases *leases, uint64_t task)
{
	struct lease *lease = g_new0(struct lease, 1);

	lease->leases = leases;
	lease->task = task;
	lease->state.known_from = leases->tasks_skipped
					  ? log_tail_position(leases->tail)
					  : leases->known_from;
	timer_init(&lease->timer, leases->clock, lease_timer, lease);
	timer_init(&lease->hold_timer, leases->clock, lease_hold_timer, lease);
	g_hash_table_insert(leases->tasks, &lease->task, lease);
	lease_restart_wait(lease);
	return lease;
}

static struct lease *lease_find(const struct leases *leases, uint64_t task)
{
	return g_hash_table_lookup(leases->tasks, &task);
}

static void tail_record(void *ctx, const struct log_record *log_record)
{
	struct leases *leases = ctx;
	struct lease_record record;
	enum lease_verdict verdict;
	struct lease *lease;

	if (!lease_record_unpack(&record, log_record->data, log_record->size)) {
		log_event(LOG_WARNING, "lease_record_malformed",
			  LOG_D("offset", position_offset(log_record->offset)));
		return;
	}
	lease = lease_find(leases, record.task);
	if (!lease && g_hash_table_size(leases->tasks) >= TASKS_MAX) {
		leases->tasks_skipped = true;
		return;
	}
	if (!lease)
		lease = lease_add(leases, record.task);
	verdict = lease_fold(&lease->state, &record, log_record->offset);
	if (is_self(leases, &record.holder))
		lease_own_record(lease, &record, verdict, log_record->offset);
	else if (verdict != LEASE_VOID)
		lease_restart_wait(lease);
}

/* The list is a copy, since lost() may acquire further tasks. */
static void leases_restart_waits(struct leases *leases)
{
	GList *tasks = g_hash_table_get_values(leases->tasks);

	for (GList *link = tasks; link; link = link->next)
		lease_restart_wait(link->data);
	g_list_free(tasks);
}

/* Records before first have not been read. */
static void leases_forget_before(struct leases *leases, uint64_t first)
{
	GHashTableIter iter;
	void *value;

	leases->known_from = first;
	g_hash_table_iter_init(&iter, leases->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lease *lease = value;

		lease->state.known_from = first;
		lease->state.released = false;
	}
	leases_restart_waits(leases);
}

static void tail_gap(void *ctx, uint64_t expected, uint64_t first)
{
	leases_forget_before(ctx, first);
}

/* Skips all but the last HISTORY_RECORDS records of a long stream. */
static void tail_page(void *ctx, const struct log_page *page)
{
	struct leases *leases = ctx;
	uint64_t left = page->next - log_tail_position(leases->tail);

	if (leases->caught_up)
		return;
	if (left > HISTORY_RECORDS) {
		log_tail_start(leases->tail, page->next - HISTORY_RECORDS);
		leases_forget_before(leases, page->next - HISTORY_RECORDS);
		return;
	}
	if (left)
		return;
	leases->caught_up = true;
	leases_restart_waits(leases);
}

struct leases *leases_create(struct clock *clock, const struct owner *self,
			     const struct log_store *store,
			     const struct lease_ops *ops, void *ctx)
{
	static const struct log_tail_ops tail_ops = {
		.record = tail_record,
		.gap = tail_gap,
		.page = tail_page,
	};
	struct leases *leases = g_new0(struct leases, 1);
	uint32_t seed = (uint32_t)id_mix(self->instance, self->incarnation);

	leases->clock = clock;
	leases->term = LEASE_TERM_USEC;
	leases->self = *self;
	leases->store = *store;
	leases->ops = *ops;
	leases->ctx = ctx;
	leases->rand = g_rand_new_with_seed(seed);
	leases->tail = log_tail_create(clock, store, LOG_STREAM_LEASES, seed,
				       &tail_ops, leases);
	leases->tasks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      lease_destroy);
	return leases;
}

void leases_set_term(struct leases *leases, int64_t term_us)
{
	leases->term = MAX(term_us, 2 * LEASE_MARGIN_USEC);
}

void leases_destroy(struct leases *leases)
{
	if (!leases)
		return;
	log_tail_destroy(leases->tail);
	g_hash_table_destroy(leases->tasks);
	g_rand_free(leases->rand);
	g_free(leases);
}

void lease_acquire(struct leases *leases, uint64_t task)
{
	lease_acquire_unfenced(leases, task, 0);
}

void lease_acquire_unfenced(struct leases *leases, uint64_t task,
			    int64_t order_timeout_us)
{
	struct lease *lease = lease_find(leases, task);

	if (!log_tail_running(leases->tail))
		log_tail_start(leases->tail, 0);
	if (!lease)
		lease = lease_add(leases, task);
	if (lease->wanted)
		return;
	lease->wanted = true;
	lease->order_timeout =
		CLAMP(order_timeout_us, 0, ORDER_TIMEOUT_MAX_USEC);
	lease_schedule(lease);
}

void lease_release(struct leases *leases, uint64_t task)
{
	struct lease *lease = lease_find(leases, task);
	bool held;

	if (!lease || !lease->wanted)
		return;
	held = lease_valid(leases, task, NULL);
	lease->wanted = false;
	lease->held = false;
	lease_restart_wait(lease);
	if (held)
		lease_append(lease, LEASE_RELEASE);
}

bool lease_valid(const struct leases *leases, uint64_t task, uint64_t *fence)
{
	const struct lease *lease = lease_find(leases, task);

	if (!lease || !lease->wanted || !lease->held ||
	    clock_now(leases->clock) >= lease->expires_at)
		return false;
	if (fence)
		*fence = lease->fence;
	return true;
}
