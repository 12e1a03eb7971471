#include "claim_writer.h"

#include "claim_refusals.h"
#include "claim_table.h"
#include "common/log.h"
#include "coord/claim.h"
#include "coord/log_tail.h"
#include "coord/retry.h"

#define GROUP_CLAIMS 2048u
#define GROUPS_MAX 16u
#define WAITING_MAX 65536u
/* How long a record is looked for whose append was not answered. */
#define LOST_USEC (500 * USEC_PER_MSEC)
#define BACKOFF_MAX_USEC (2 * USEC_PER_SEC)

struct waiting {
	struct claim_writer *writer;
	struct claim claim;
	uint64_t serial; /* tells it from a former one of the same claim */
	uint64_t attempt;
	struct timer timer; /* its patience */
	/* Appends that carried it and were not surely refused. */
	uint32_t appends;
};

/* A claim to be appended, for as long as the waiting it is for exists. */
struct queued {
	struct claim claim;
	uint64_t serial;
};

/* An append that was called and not yet found in the log. */
struct group {
	struct claim_writer *writer; /* NULL once the writer is gone */
	uint64_t sequence;
	GArray *claims;	    /* struct queued */
	struct timer timer; /* runs when the answer was lost */
	bool answered;
	bool done; /* read back, refused, or given up */
};

struct claim_writer {
	struct clock *clock;
	struct owner self;
	struct log_store store;
	claim_decided_fn fn;
	void *ctx;
	GRand *rand;
	struct claim_table *table;
	struct claim_refusals *refusals;
	struct log_tail *tail;
	GHashTable *waiting; /* claim id to struct waiting */
	GArray *queue;	     /* struct queued */
	GPtrArray *groups;   /* struct group, not found yet */
	struct claim_record record;
	struct timer timer; /* the next append */
	int64_t next_append;
	uint64_t sequence;
	uint64_t serials;
	uint32_t failures;
	bool running;
	bool caught_up;
};

static void writer_schedule(struct claim_writer *writer)
{
	if (!writer->queue->len || writer->groups->len >= GROUPS_MAX ||
	    timer_running(&writer->timer))
		return;
	timer_start(&writer->timer,
		    writer->next_append - clock_now(writer->clock));
}

/* Stops reading once no one needs it; what is known is kept. */
static void writer_rest(struct claim_writer *writer)
{
	if (writer->running || g_hash_table_size(writer->waiting))
		return;
	log_tail_stop(writer->tail);
	writer->caught_up = false;
}

static void waiting_decide(struct waiting *waiting, enum claim_reply_kind kind,
			   const struct owner *winner)
{
	struct claim_writer *writer = waiting->writer;
	struct claim_id id = waiting->claim.id;
	uint64_t attempt = waiting->attempt;

	g_hash_table_remove(writer->waiting, &id);
	writer->fn(writer->ctx, &id, attempt, kind, winner);
}

static void waiting_expired(struct timer *timer, void *ctx)
{
	struct waiting *waiting = ctx;
	struct claim_writer *writer = waiting->writer;
	const struct owner nobody = {0};
	enum claim_reply_kind kind =
		waiting->appends ? CLAIM_REPLY_UNDECIDED : CLAIM_REPLY_DOWN;

	claim_refusals_add(writer->refusals, clock_now(writer->clock),
			   &waiting->claim.id, waiting->attempt, kind);
	waiting_decide(waiting, kind, &nobody);
	writer_rest(writer);
}

static void waiting_free(void *data)
{
	struct waiting *waiting = data;

	timer_stop(&waiting->timer);
	g_free(waiting);
}

static struct waiting *waiting_find(const struct claim_writer *writer,
				    const struct claim *claim)
{
	struct waiting *waiting =
		g_hash_table_lookup(writer->waiting, &claim->id);

	return waiting && waiting->claim.key == claim->key ? waiting : NULL;
}

static struct waiting *queued_waiting(const struct claim_writer *writer,
				      const struct queued *queued)
{
	struct waiting *waiting = waiting_find(writer, &queued->claim);

	return waiting && waiting->serial == queued->serial ? waiting : NULL;
}

static void group_free(struct group *group)
{
	g_array_unref(group->claims);
	g_free(group);
}

/* Takes the group off the list; it lives on until the append is answered. */
static void group_done(struct group *group)
{
	struct claim_writer *writer = group->writer;

	g_ptr_array_remove(writer->groups, group);
	timer_stop(&group->timer);
	group->done = true;
	if (group->answered)
		group_free(group);
	writer_schedule(writer);
}

/* Queues the group's claims that still wait to be appended again. */
static void group_repeat(struct group *group)
{
	struct claim_writer *writer = group->writer;

	for (guint i = 0; i < group->claims->len; i++) {
		struct queued *queued =
			&g_array_index(group->claims, struct queued, i);

		if (queued_waiting(writer, queued))
			g_array_append_val(writer->queue, *queued);
	}
	group_done(group);
}

/* The record was not read back in time. Should it still come, its claims count
 * once, as they are named by owner and request. */
static void group_lost(struct timer *timer, void *ctx)
{
	group_repeat(ctx);
}

/* The log surely has not taken the group. */
static void group_refused(struct group *group)
{
	struct claim_writer *writer = group->writer;

	for (guint i = 0; i < group->claims->len; i++) {
		struct waiting *waiting = queued_waiting(
			writer,
			&g_array_index(group->claims, struct queued, i));

		if (waiting)
			waiting->appends--;
	}
	group_repeat(group);
}

static void writer_failed(struct claim_writer *writer, enum result_code code)
{
	int64_t delay = retry_backoff(writer->rand, writer->failures,
				      CLAIM_GROUP_USEC, BACKOFF_MAX_USEC);

	if (!writer->failures)
		log_event(LOG_WARNING, "claim_append_failed",
			  LOG_S("result", result_label(code)));
	writer->failures++;
	writer->next_append = clock_now(writer->clock) + delay;
	timer_stop(&writer->timer);
}

static void append_answered(void *ctx, enum result_code code, uint64_t offset)
{
	struct group *group = ctx;
	struct claim_writer *writer = group->writer;

	if (!writer || group->done) {
		group_free(group);
		return;
	}
	group->answered = true;
	if (code == RESULT_OK) {
		writer->failures = 0;
		log_tail_retry_now(writer->tail);
		return;
	}
	writer_failed(writer, code);
	if (code == RESULT_LOG_DOWN)
		group_refused(group);
	else
		timer_start(&group->timer, LOST_USEC);
	writer_schedule(writer);
}

/* Moves the claims that still wait from the queue into a group. */
static struct group *group_create(struct claim_writer *writer)
{
	struct group *group = g_new0(struct group, 1);
	guint count = MIN(writer->queue->len, GROUP_CLAIMS);

	group->writer = writer;
	group->sequence = ++writer->sequence;
	group->claims = g_array_new(FALSE, FALSE, sizeof(struct queued));
	timer_init(&group->timer, writer->clock, group_lost, group);
	for (guint i = 0; i < count; i++) {
		struct queued *queued =
			&g_array_index(writer->queue, struct queued, i);
		struct waiting *waiting = queued_waiting(writer, queued);

		if (!waiting)
			continue;
		waiting->appends++;
		g_array_append_val(group->claims, *queued);
	}
	g_array_remove_range(writer->queue, 0, count);
	return group;
}

static void group_pack(const struct group *group, msgpack_sbuffer *out)
{
	struct claim_record record = {
		.writer = group->writer->self,
		.sequence = group->sequence,
		.claims = g_array_new(FALSE, FALSE, sizeof(struct claim)),
	};

	for (guint i = 0; i < group->claims->len; i++)
		g_array_append_val(
			record.claims,
			g_array_index(group->claims, struct queued, i).claim);
	claim_record_pack(out, &record);
	g_array_unref(record.claims);
}

static void writer_append(struct timer *timer, void *ctx)
{
	struct claim_writer *writer = ctx;
	struct group *group = group_create(writer);
	msgpack_sbuffer buffer;

	if (!group->claims->len) {
		group_free(group);
		writer_schedule(writer);
		return;
	}
	writer->next_append = clock_now(writer->clock) + CLAIM_GROUP_USEC;
	g_ptr_array_add(writer->groups, group);
	writer_schedule(writer);
	msgpack_sbuffer_init(&buffer);
	group_pack(group, &buffer);
	writer->store.append(writer->store.ctx, LOG_STREAM_CLAIMS, buffer.data,
			     buffer.size, append_answered, group);
	msgpack_sbuffer_destroy(&buffer);
}

static enum claim_reply_kind verdict_reply(enum claim_verdict verdict)
{
	switch (verdict) {
	case CLAIM_WON:
		return CLAIM_REPLY_WON;
	case CLAIM_LOST:
		return CLAIM_REPLY_LOST;
	case CLAIM_UNSURE:
	case CLAIM_NEW:
		break;
	}
	return CLAIM_REPLY_UNDECIDED;
}

static void writer_find_group(struct claim_writer *writer,
			      const struct claim_record *record)
{
	if (record->writer.instance != writer->self.instance ||
	    record->writer.incarnation != writer->self.incarnation)
		return;
	for (guint i = 0; i < writer->groups->len; i++) {
		struct group *group = writer->groups->pdata[i];

		if (group->sequence == record->sequence) {
			group_done(group);
			return;
		}
	}
}

static void tail_record(void *ctx, const struct log_record *log_record)
{
	struct claim_writer *writer = ctx;
	struct claim_record *record = &writer->record;

	if (!claim_record_unpack(record, log_record->data, log_record->size)) {
		log_event(LOG_WARNING, "claim_record_malformed",
			  LOG_D("offset", log_record->offset));
		return;
	}
	for (guint i = 0; i < record->claims->len; i++) {
		struct claim *claim =
			&g_array_index(record->claims, struct claim, i);
		struct owner winner = {0};
		enum claim_verdict verdict = claim_table_fold(
			writer->table, claim, log_record->unix_us, &winner);
		struct waiting *waiting = waiting_find(writer, claim);

		if (waiting)
			waiting_decide(waiting, verdict_reply(verdict),
				       &winner);
	}
	writer_find_group(writer, record);
}

static void tail_page(void *ctx, const struct log_page *page)
{
	struct claim_writer *writer = ctx;

	if (log_tail_position(writer->tail) == page->next)
		writer->caught_up = true;
	writer_rest(writer);
}

static void tail_gap(void *ctx, uint64_t expected, uint64_t first)
{
	if (expected)
		log_event(LOG_WARNING, "claim_log_gap",
			  LOG_D("expected", expected), LOG_D("first", first));
}

struct claim_writer *claim_writer_create(struct clock *clock,
					 const struct owner *self,
					 const struct log_store *store,
					 uint32_t keys_max, claim_decided_fn fn,
					 void *ctx)
{
	static const struct log_tail_ops ops = {
		.record = tail_record,
		.gap = tail_gap,
		.page = tail_page,
	};
	struct claim_writer *writer = g_new0(struct claim_writer, 1);
	uint32_t seed = (uint32_t)id_mix(self->instance, self->incarnation);

	writer->clock = clock;
	writer->self = *self;
	writer->store = *store;
	writer->fn = fn;
	writer->ctx = ctx;
	writer->rand = g_rand_new_with_seed(seed);
	writer->table = claim_table_create(keys_max);
	writer->refusals = claim_refusals_create();
	writer->tail = log_tail_create(clock, store, LOG_STREAM_CLAIMS, seed,
				       &ops, writer);
	writer->waiting = g_hash_table_new_full(claim_id_hash, claim_id_equal,
						NULL, waiting_free);
	writer->queue = g_array_new(FALSE, FALSE, sizeof(struct queued));
	writer->groups = g_ptr_array_new();
	writer->record.claims = g_array_new(FALSE, FALSE, sizeof(struct claim));
	timer_init(&writer->timer, clock, writer_append, writer);
	return writer;
}

void claim_writer_destroy(struct claim_writer *writer)
{
	if (!writer)
		return;
	timer_stop(&writer->timer);
	log_tail_destroy(writer->tail);
	for (guint i = 0; i < writer->groups->len; i++) {
		struct group *group = writer->groups->pdata[i];

		group->writer = NULL;
		timer_stop(&group->timer);
		if (group->answered)
			group_free(group);
	}
	g_ptr_array_free(writer->groups, TRUE);
	g_hash_table_destroy(writer->waiting);
	g_array_unref(writer->queue);
	g_array_unref(writer->record.claims);
	claim_table_destroy(writer->table);
	claim_refusals_destroy(writer->refusals);
	g_rand_free(writer->rand);
	g_free(writer);
}

void claim_writer_run(struct claim_writer *writer, bool run)
{
	writer->running = run;
	if (run && !log_tail_running(writer->tail))
		log_tail_start(writer->tail, log_tail_position(writer->tail));
	writer_rest(writer);
}

/* A claim that need not be appended, as its key is known already. */
static bool writer_known(const struct claim_writer *writer,
			 const struct claim *claim,
			 enum claim_reply_kind *reply, struct owner *winner)
{
	enum claim_verdict verdict =
		claim_table_find(writer->table, claim, winner);

	*reply = verdict_reply(verdict);
	return verdict != CLAIM_NEW;
}

static struct waiting *waiting_add(struct claim_writer *writer,
				   const struct claim *claim)
{
	struct waiting *waiting = g_new0(struct waiting, 1);
	struct queued queued = {*claim, ++writer->serials};

	waiting->writer = writer;
	waiting->claim = *claim;
	waiting->serial = queued.serial;
	timer_init(&waiting->timer, writer->clock, waiting_expired, waiting);
	g_hash_table_insert(writer->waiting, &waiting->claim.id, waiting);
	g_array_append_val(writer->queue, queued);
	writer_schedule(writer);
	return waiting;
}

/* Whether a claim that does not wait yet may be appended. */
static bool writer_open(const struct claim_writer *writer)
{
	return writer->running && writer->caught_up &&
	       claim_table_open(writer->table) &&
	       g_hash_table_size(writer->waiting) < WAITING_MAX;
}

enum claim_reply_kind claim_writer_take(struct claim_writer *writer,
					const struct claim *claim,
					uint64_t attempt, int64_t patience_us,
					struct owner *winner)
{
	struct waiting *waiting = waiting_find(writer, claim);
	enum claim_reply_kind reply;

	if (waiting) {
		if (attempt <= waiting->attempt)
			return CLAIM_REPLY_PENDING;
	} else {
		if (writer->caught_up &&
		    writer_known(writer, claim, &reply, winner))
			return reply;
		if (claim_refusals_find(writer->refusals, &claim->id, attempt,
					&reply))
			return reply;
		if (!writer_open(writer)) {
			claim_refusals_add(writer->refusals,
					   clock_now(writer->clock), &claim->id,
					   attempt, CLAIM_REPLY_ELSEWHERE);
			return CLAIM_REPLY_ELSEWHERE;
		}
		waiting = waiting_add(writer, claim);
	}
	waiting->attempt = attempt;
	timer_start(&waiting->timer, patience_us);
	return CLAIM_REPLY_PENDING;
}
