#include <string.h>

#include "common/log.h"
#include "fold_private.h"

/* Notes which record holds the revision in force. */
static void record_located(struct fold *f, uint64_t offset, uint64_t revision)
{
	f->record_offset = offset;
	f->record_revision = revision;
	f->record_read_at = clock_now(f->clock);
}

static void proposal_check(struct fold *f, const struct fold_record *record,
			   struct fold_audit *audit)
{
	struct error err = {.code = RESULT_BAD_CONFIG};

	if (record->revision != f->folded_revision) {
		audit->code = RESULT_STALE_REVISION;
		g_snprintf(audit->reason, sizeof(audit->reason),
			   "based on %" G_GUINT64_FORMAT
			   ", in force is %" G_GUINT64_FORMAT,
			   record->revision, f->folded_revision);
		return;
	}
	if (f->ops.check &&
	    !f->ops.check(f->ctx, record->content, record->size, &err)) {
		audit->code = RESULT_BAD_CONFIG;
		g_strlcpy(audit->reason, err.text, sizeof(audit->reason));
	}
}

static void proposal_fold(struct fold *f, const struct fold_record *record,
			  uint64_t offset, int64_t unix_us)
{
	struct fold_audit audit = {
		.offset = offset + 1,
		.base = record->revision,
		.unix_us = unix_us,
		.content_hash = id_hash(record->content, record->size),
		.size = record->size,
	};

	g_strlcpy(audit.author, record->author, sizeof(audit.author));
	proposal_check(f, record, &audit);
	if (audit.code == RESULT_OK) {
		f->folded_revision = offset + 1;
		record_located(f, offset, f->folded_revision);
		if (f->folded_revision > f->revision)
			fold_put_in_force(f, f->folded_revision, record->author,
					  record->content, record->size);
	}
	audit_add(f, &audit);
}

/* A reappended file may come from an instance with a different check: this one
 * must not put in force what it cannot use. */
static bool reappend_usable(struct fold *f, const struct fold_record *record)
{
	struct error err = {.code = RESULT_BAD_CONFIG};

	if (!f->ops.check ||
	    f->ops.check(f->ctx, record->content, record->size, &err))
		return true;
	log_event(LOG_ERR, "config_unusable",
		  LOG_D("revision", record->revision),
		  LOG_S("reason", err.text));
	return false;
}

static void reappend_fold(struct fold *f, const struct fold_record *record,
			  uint64_t offset)
{
	if (f->base_known && record->revision < f->folded_revision)
		return;
	/* The writer had not read the missing records either, so its revision
	 * is no base for later ones. */
	if (!f->base_known && record->through < f->first_readable)
		return;
	if (record->revision > f->revision) {
		if (!reappend_usable(f, record))
			return;
		fold_put_in_force(f, record->revision, record->author,
				  record->content, record->size);
	}
	/* The revision is the base for the records that were appended after the
	 * writer last read the log. */
	if (!f->base_known)
		fold_set_base(f, record->revision,
			      MIN(record->through, offset));
	else
		f->folded_revision = record->revision;
	if (record->revision == f->folded_revision)
		record_located(f, offset, record->revision);
}

static void record_fold(struct fold *f, uint64_t offset, int64_t unix_us,
			const void *data, size_t size)
{
	struct fold_record record;

	if (!record_decode(f, data, size, &record)) {
		log_event(LOG_WARNING, "config_record_malformed",
			  LOG_D("offset", offset), LOG_D("size", size));
		return;
	}
	apply_seen(f, &record, offset);
	if (record.kind == RECORD_REAPPEND) {
		reappend_fold(f, &record, offset);
		return;
	}
	if (offset >= f->skip_until)
		proposal_fold(f, &record, offset, unix_us);
}

static void pending_add(struct fold *f, const struct log_record *record)
{
	struct fold_pending *p = g_malloc(sizeof(*p) + record->size);

	p->offset = record->offset;
	p->unix_us = record->unix_us;
	p->size = record->size;
	if (record->size)
		memcpy(p->data, record->data, record->size);
	g_queue_push_tail(&f->pending, p);
	if (f->pending.length > FOLD_PENDING_MAX)
		g_free(g_queue_pop_head(&f->pending));
}

void fold_pending_clear(struct fold *f)
{
	struct fold_pending *p;

	while ((p = g_queue_pop_head(&f->pending)))
		g_free(p);
}

void fold_set_base(struct fold *f, uint64_t revision, uint64_t through)
{
	GQueue pending = f->pending;
	struct fold_pending *p;

	g_queue_init(&f->pending);
	f->base_known = true;
	f->folded_revision = revision;
	f->skip_until = through;
	if (f->audit_gap)
		audit_missed(f, through);
	while ((p = g_queue_pop_head(&pending))) {
		record_fold(f, p->offset, p->unix_us, p->data, p->size);
		g_free(p);
	}
}

/* The base of a record was in force when its author read it. The latest base
 * from before the remaining records is the best estimate. */
static uint64_t pending_base(struct fold *f)
{
	uint64_t base = f->revision;

	for (GList *l = f->pending.head; l; l = l->next) {
		const struct fold_pending *p = l->data;
		struct fold_record record;

		if (record_decode(f, p->data, p->size, &record) &&
		    record.kind == RECORD_PROPOSAL &&
		    record.revision <= f->first_readable)
			base = MAX(base, record.revision);
	}
	return base;
}

void fold_assume_base(struct fold *f)
{
	uint64_t base;

	if (f->base_known || !log_tail_running(f->tail) ||
	    clock_now(f->clock) - f->base_unknown_since < FOLD_BASE_WAIT_USEC ||
	    log_tail_position(f->tail) != f->log_next)
		return;
	base = pending_base(f);
	log_event(LOG_WARNING, "config_base_lost", LOG_D("taken", base),
		  LOG_D("first", f->first_readable));
	fold_set_base(f, base, f->first_readable);
	applies_check(f);
}

void fold_catch_up(struct fold *f)
{
	uint64_t position = log_tail_position(f->tail);

	if (!f->base_known) {
		if (f->revision != REVISION_NONE &&
		    f->through >= f->first_readable)
			fold_set_base(f, f->revision, f->through);
		return;
	}
	if (f->folded_revision >= f->revision || position < f->through)
		return;
	/* The fold gives a lower revision than peers had at this offset: the
	 * log lost records. A revision never decreases. */
	log_event(LOG_WARNING, "config_fold_behind",
		  LOG_D("folded", f->folded_revision),
		  LOG_D("revision", f->revision));
	f->folded_revision = f->revision;
}

static void tail_record(void *ctx, const struct log_record *record)
{
	struct fold *f = ctx;
	struct fold_record decoded;

	if (f->base_known) {
		record_fold(f, record->offset, record->unix_us, record->data,
			    record->size);
		return;
	}
	if (record_decode(f, record->data, record->size, &decoded) &&
	    decoded.kind == RECORD_REAPPEND)
		record_fold(f, record->offset, record->unix_us, record->data,
			    record->size);
	else
		pending_add(f, record);
}

static void tail_gap(void *ctx, uint64_t expected, uint64_t first)
{
	struct fold *f = ctx;

	log_event(LOG_WARNING, "config_log_gap", LOG_D("expected", expected),
		  LOG_D("first", first));
	fold_pending_clear(f);
	audit_missed(f, first);
	f->base_known = false;
	f->first_readable = first;
	f->skip_until = 0;
	f->base_unknown_since = clock_now(f->clock);
	fold_catch_up(f);
}

static void tail_page(void *ctx, const struct log_page *page)
{
	struct fold *f = ctx;
	uint64_t position = log_tail_position(f->tail);

	f->log_first = page->first;
	f->log_next = page->next;
	f->log_read_at = clock_now(f->clock);
	fold_catch_up(f);
	if (f->base_known && f->folded_revision == f->revision)
		f->through = MAX(f->through, position);
	applies_check(f);
	if (position == page->next) {
		fold_assume_base(f);
		applies_caught_up(f);
	}
	fold_tail_update(f);
}

const struct log_tail_ops fold_tail_ops = {
	.record = tail_record,
	.gap = tail_gap,
	.page = tail_page,
};
