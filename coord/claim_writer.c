#include "claim_writer.h"

#include "claim_refusals.h"
#include "claim_table.h"
#include "common/log.h"
#include "coord/claim.h"
#include "coord/log_tail.h"
#include "coord/retry.h"

#define GROUP_CLAIMS 2048u
#define GROUPS_MAX 16u
#define PENDING_MAX 65536u
/* Time to read back a record when the answer to its append was lost. */
#define READ_BACK_USEC (500 * USEC_PER_MSEC)
#define BACKOFF_MAX_USEC (2 * USEC_PER_SEC)

struct pending_claim {
	struct claim_writer *writer;
	struct claim claim;
	uint64_t serial; /* tells it from later ones of the same claim */
	uint64_t attempt;
	struct timer timer; /* expires after decide_usec */
	/* Appends that contain it and were not certainly refused. */
	uint32_t appends;
};

/* A claim to be appended, unless its pending claim has ended. */
struct queued {
	struct claim claim;
	uint64_t serial;
};

/* An append that was not read back yet. */
struct group {
	struct claim_writer *writer; /* NULL once the writer was destroyed */
	uint64_t sequence;
	GArray *claims;	    /* struct queued */
	struct timer timer; /* runs once the answer was lost */
	bool answered;
	bool done; /* read back, refused, or queued again */
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
	GHashTable *pending; /* claim id to struct pending_claim */
	GArray *queue;	     /* struct queued */
	GPtrArray *groups;   /* struct group, not read back yet */
	struct claim_record record;
	struct timer timer; /* fires at next_append */
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

/* Stops reading the log when this instance is no writer and no claim is
 * pending; keeps the table. */
static void writer_stop_if_idle(struct claim_writer *writer)
{
	if (writer->running || g_hash_table_size(writer->pending))
		return;
	log_tail_stop(writer->tail);
	writer->caught_up = false;
}

static void pending_decide(struct pending_claim *pending,
			   enum claim_reply_kind kind,
			   const struct owner *winner)
{
	struct claim_writer *writer = pending->writer;
	struct claim_id id = pending->claim.id;
	uint64_t attempt = pending->attempt;

	g_hash_table_remove(writer->pending, &id);
	writer->fn(writer->ctx, &id, attempt, kind, winner);
}

static void pending_timed_out(struct timer *timer, void *ctx)
{
	struct pending_claim *pending = ctx;
	struct claim_writer *writer = pending->writer;
	const struct owner nobody = {0};
	enum claim_reply_kind kind = pending->appends
					     ? CLAIM_REPLY_UNDECIDED
					     : CLAIM_REPLY_NOT_APPENDED;

	claim_refusals_add(writer->refusals, clock_now(writer->clock),
			   &pending->claim.id, pending->attempt, kind);
	pending_decide(pending, kind, &nobody);
	writer_stop_if_idle(writer);
}

static void pending_free(void *data)
{
	struct pending_claim *pending = data;

	timer_stop(&pending->timer);
	g_free(pending);
}

static struct pending_claim *pending_find(const struct claim_writer *writer,
					  const struct claim *claim)
{
	struct pending_claim *pending =
		g_hash_table_lookup(writer->pending, &claim->id);

	return pending && pending->claim.key == claim->key ? pending : NULL;
}

static struct pending_claim *
queued_find_pending(const struct claim_writer *writer,
		    const struct queued *queued)
{
	struct pending_claim *pending = pending_find(writer, &queued->claim);

	return pending && pending->serial == queued->serial ? pending : NULL;
}

static void group_free(struct group *group)
{
	g_array_unref(group->claims);
	g_free(group);
}

/* Removes the group from the list. It is freed once its append is answered. */
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

/* Queues the claims of the group that are still pending for another append. */
static void group_requeue(struct group *group)
{
	struct claim_writer *writer = group->writer;

	for (guint i = 0; i < group->claims->len; i++) {
		struct queued *queued =
			&g_array_index(group->claims, struct queued, i);

		if (queued_find_pending(writer, queued))
			g_array_append_val(writer->queue, *queued);
	}
	group_done(group);
}

/* The record was not read back in time. If it appears later, its claims still
 * count once, as they are identified by owner and request. */
static void group_timed_out(struct timer *timer, void *ctx)
{
	group_requeue(ctx);
}

/* The log certainly has not appended the group. */
static void group_refused(struct group *group)
{
	struct claim_writer *writer = group->writer;

	for (guint i = 0; i < group->claims->len; i++) {
		struct pending_claim *pending = queued_find_pending(
			writer,
			&g_array_index(group->claims, struct queued, i));

		if (pending)
			pending->appends--;
	}
	group_requeue(group);
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
		timer_start(&group->timer, READ_BACK_USEC);
	writer_schedule(writer);
}

/* Moves the claims that are still pending from the queue into a group. */
static struct group *group_create(struct claim_writer *writer)
{
	struct group *group = g_new0(struct group, 1);
	guint count = MIN(writer->queue->len, GROUP_CLAIMS);

	group->writer = writer;
	group->sequence = ++writer->sequence;
	group->claims = g_array_new(FALSE, FALSE, sizeof(struct queued));
	timer_init(&group->timer, writer->clock, group_timed_out, group);
	for (guint i = 0; i < count; i++) {
		struct queued *queued =
			&g_array_index(writer->queue, struct queued, i);
		struct pending_claim *pending =
			queued_find_pending(writer, queued);

		if (!pending)
			continue;
		pending->appends++;
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
	claim_record_encode(out, &record);
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

static void writer_complete_group(struct claim_writer *writer,
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

	if (!claim_record_decode(record, log_record->data, log_record->size)) {
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
		struct pending_claim *pending = pending_find(writer, claim);

		if (pending)
			pending_decide(pending, verdict_reply(verdict),
				       &winner);
	}
	writer_complete_group(writer, record);
}

static void tail_page(void *ctx, const struct log_page *page)
{
	struct claim_writer *writer = ctx;

	if (log_tail_position(writer->tail) == page->next)
		writer->caught_up = true;
	writer_stop_if_idle(writer);
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
	writer->pending = g_hash_table_new_full(claim_id_hash, claim_id_equal,
						NULL, pending_free);
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
	g_hash_table_destroy(writer->pending);
	g_array_unref(writer->queue);
	g_array_unref(writer->record.claims);
	claim_table_destroy(writer->table);
	claim_refusals_destroy(writer->refusals);
	g_rand_free(writer->rand);
	g_free(writer);
}

void claim_writer_set_running(struct claim_writer *writer, bool run)
{
	writer->running = run;
	if (run && !log_tail_running(writer->tail))
		log_tail_start(writer->tail, log_tail_position(writer->tail));
	writer_stop_if_idle(writer);
}

/* Finds the decision on a claim whose key is in the table already. */
static bool writer_find_decision(const struct claim_writer *writer,
				 const struct claim *claim,
				 enum claim_reply_kind *reply,
				 struct owner *winner)
{
	enum claim_verdict verdict =
		claim_table_find(writer->table, claim, winner);

	*reply = verdict_reply(verdict);
	return verdict != CLAIM_NEW;
}

static struct pending_claim *pending_add(struct claim_writer *writer,
					 const struct claim *claim)
{
	struct pending_claim *pending = g_new0(struct pending_claim, 1);
	struct queued queued = {*claim, ++writer->serials};

	pending->writer = writer;
	pending->claim = *claim;
	pending->serial = queued.serial;
	timer_init(&pending->timer, writer->clock, pending_timed_out, pending);
	g_hash_table_insert(writer->pending, &pending->claim.id, pending);
	g_array_append_val(writer->queue, queued);
	writer_schedule(writer);
	return pending;
}

/* Whether another claim can be accepted. */
static bool writer_accepts_new(const struct claim_writer *writer)
{
	return writer->running && writer->caught_up &&
	       claim_table_accepts_new(writer->table) &&
	       g_hash_table_size(writer->pending) < PENDING_MAX;
}

enum claim_reply_kind claim_writer_submit(struct claim_writer *writer,
					  const struct claim *claim,
					  uint64_t attempt, int64_t decide_usec,
					  struct owner *winner)
{
	struct pending_claim *pending = pending_find(writer, claim);
	enum claim_reply_kind reply;

	if (pending) {
		if (attempt <= pending->attempt)
			return CLAIM_REPLY_PENDING;
	} else {
		if (writer->caught_up &&
		    writer_find_decision(writer, claim, &reply, winner))
			return reply;
		if (claim_refusals_find(writer->refusals, &claim->id, attempt,
					&reply))
			return reply;
		if (!writer_accepts_new(writer)) {
			claim_refusals_add(writer->refusals,
					   clock_now(writer->clock), &claim->id,
					   attempt, CLAIM_REPLY_DECLINED);
			return CLAIM_REPLY_DECLINED;
		}
		pending = pending_add(writer, claim);
	}
	pending->attempt = attempt;
	timer_start(&pending->timer, decide_usec);
	return CLAIM_REPLY_PENDING;
}
