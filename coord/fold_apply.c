#include <string.h>

#include "coord/retry.h"
#include "fold_private.h"

#define RETRY_BASE_USEC (200 * USEC_PER_MSEC)
#define RETRY_MAX_USEC (2 * USEC_PER_SEC)

/* Context of an append in flight; it may outlive the apply. */
struct apply_append {
	struct apply *apply;
};

static void apply_send(struct apply *a);

static void apply_free(struct apply *a)
{
	if (a->append)
		a->append->apply = NULL;
	timer_stop(&a->deadline);
	timer_stop(&a->retry);
	msgpack_sbuffer_destroy(&a->record);
	g_free(a);
}

static void apply_answer(struct apply *a, enum result_code code,
			 const char *reason)
{
	struct fold *f = a->fold;
	fold_apply_fn fn = a->fn;
	void *ctx = a->fn_ctx;
	char text[ERROR_TEXT_MAX];

	g_strlcpy(text, reason, sizeof(text));
	g_ptr_array_remove(f->applies, a);
	apply_free(a);
	fold_tail_update(f);
	fn(ctx, code, f->revision, text);
}

static bool apply_check(struct apply *a)
{
	const struct fold_audit *audit;

	if (!a->found)
		return false;
	audit = audit_find(a->fold, a->offset);
	if (!audit)
		return false;
	if (audit->code == RESULT_OK && a->fold->revision < audit->offset)
		return false;
	apply_answer(a, audit->code, audit->reason);
	return true;
}

/* Answers remove applies from the list, and callers may add new ones. */
void applies_check(struct fold *f)
{
	for (guint i = f->applies->len; i-- > 0;) {
		if (i < f->applies->len)
			apply_check(f->applies->pdata[i]);
	}
}

static bool tag_equal(const struct fold_tag *a, const struct fold_tag *b)
{
	return a->instance == b->instance && a->incarnation == b->incarnation &&
	       a->number == b->number;
}

/* Only the first record with the tag counts; a second one, from a retried
 * append, is refused as stale. */
void apply_seen(struct fold *f, const struct fold_record *record,
		uint64_t offset)
{
	if (record->kind != RECORD_PROPOSAL)
		return;
	for (guint i = 0; i < f->applies->len; i++) {
		struct apply *a = f->applies->pdata[i];

		if (!tag_equal(&a->tag, &record->tag))
			continue;
		if (a->found && a->offset <= offset)
			continue;
		a->found = true;
		a->offset = offset;
	}
}

static void apply_retry(struct apply *a)
{
	int64_t delay = retry_backoff(a->fold->rand, a->attempts++,
				      RETRY_BASE_USEC, RETRY_MAX_USEC);

	timer_start(&a->retry, delay);
}

static void append_done(void *ctx, enum result_code code, uint64_t offset)
{
	struct apply_append *append = ctx;
	struct apply *a = append->apply;
	struct fold *f;

	g_free(append);
	if (!a)
		return;
	f = a->fold;
	a->append = NULL;
	if (code == RESULT_OK) {
		if (!a->found || offset < a->offset) {
			a->found = true;
			a->offset = offset;
		}
		log_tail_retry_now(f->tail);
		apply_check(a);
		return;
	}
	if (code == RESULT_LOG_DOWN) {
		apply_retry(a);
		return;
	}
	/* Reading the log to its end shows whether it was appended. */
	a->uncertain = true;
	a->searching = true;
	if (log_tail_running(f->tail))
		log_tail_start(f->tail, log_tail_position(f->tail));
}

void applies_caught_up(struct fold *f)
{
	for (guint i = 0; i < f->applies->len; i++) {
		struct apply *a = f->applies->pdata[i];

		if (!a->searching)
			continue;
		a->searching = false;
		if (!a->found)
			apply_retry(a);
	}
}

static void apply_send(struct apply *a)
{
	struct fold *f = a->fold;

	a->append = g_new0(struct apply_append, 1);
	a->append->apply = a;
	f->store.append(f->store.ctx, LOG_STREAM_CONFIG, a->record.data,
			a->record.size, append_done, a->append);
}

static void apply_retry_timer(struct timer *timer, void *ctx)
{
	struct apply *a = ctx;

	if (!a->found)
		apply_send(a);
}

static void apply_deadline(struct timer *timer, void *ctx)
{
	struct apply *a = ctx;
	bool possibly_appended = a->uncertain || a->found || a->append;

	if (a->refusal != RESULT_OK)
		apply_answer(a, a->refusal, a->reason);
	else if (possibly_appended)
		apply_answer(a, RESULT_LOG_UNKNOWN,
			     "the log did not confirm whether the file was "
			     "appended");
	else
		apply_answer(a, RESULT_LOG_DOWN, "the log accepted no record");
}

static bool refusal_set(struct apply *a, enum result_code code,
			const char *reason)
{
	a->refusal = code;
	g_strlcpy(a->reason, reason, sizeof(a->reason));
	return false;
}

/* Checks the file before the append. False when it must not be appended; other
 * refusals are kept for the case that the log is down. */
static bool apply_precheck(struct apply *a, const void *data, size_t size)
{
	struct fold *f = a->fold;
	struct error err = {.code = RESULT_BAD_CONFIG};

	if (size > FOLD_RECORD_MAX - FOLD_RECORD_HEAD || (size && !data))
		return refusal_set(a, RESULT_TOO_LARGE,
				   "the file is too large");
	if (f->ops.check && !f->ops.check(f->ctx, data, size, &err))
		refusal_set(a, RESULT_BAD_CONFIG, err.text);
	else if (a->base < f->revision)
		refusal_set(a, RESULT_STALE_REVISION,
			    "a later revision is in force");
	return true;
}

void fold_apply(struct fold *f, uint64_t base, const char *author,
		const void *data, size_t size, int64_t timeout_us,
		fold_apply_fn fn, void *fn_ctx)
{
	struct apply *a = g_new0(struct apply, 1);
	struct fold_record record = {
		.kind = RECORD_PROPOSAL,
		.revision = base,
		.content = data,
		.size = size,
	};

	a->fold = f;
	a->base = base;
	a->tag = fold_tag_next(f);
	a->fn = fn;
	a->fn_ctx = fn_ctx;
	msgpack_sbuffer_init(&a->record);
	timer_init(&a->deadline, f->clock, apply_deadline, a);
	timer_init(&a->retry, f->clock, apply_retry_timer, a);
	g_ptr_array_add(f->applies, a);
	if (!apply_precheck(a, data, size)) {
		timer_start(&a->deadline, 0);
		return;
	}
	record.tag = a->tag;
	g_strlcpy(record.author, author ? author : "", sizeof(record.author));
	record_pack(&a->record, &record);
	timer_start(&a->deadline, MAX(timeout_us, 0));
	fold_tail_update(f);
	apply_send(a);
}

void applies_clear(struct fold *f)
{
	for (guint i = 0; i < f->applies->len; i++)
		apply_free(f->applies->pdata[i]);
	g_ptr_array_set_size(f->applies, 0);
}
