#include "common/log.h"
#include "fold_private.h"

/* One instance appends; each further one waits this much longer, and appends
 * only if the ones before it did not. */
#define STAGGER_OLD_USEC (15 * USEC_PER_SEC)
#define STAGGER_EXPIRING_USEC (2 * USEC_PER_SEC)
#define REAPPEND_RETRY_USEC (5 * USEC_PER_SEC)
#define WINDOW_RECORDS_MIN 32u

/* Context of an append in flight; it may outlive the fold. */
struct fold_reappend {
	struct fold *fold;
};

static bool candidate_known(const GArray *ids, uint64_t id)
{
	for (guint i = 0; i < ids->len; i++) {
		if (g_array_index(ids, uint64_t, i) == id)
			return true;
	}
	return false;
}

/* The number of readers, of all data centres, that precede this instance in
 * rendezvous order for the revision. */
static int reappend_order(struct fold *f)
{
	uint64_t own = membership_self(f->membership)->id;
	uint64_t weight = id_mix(f->revision, own);
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct member *member;
	uint32_t cursor = 0;
	int order = 0;

	while ((member = membership_next(f->membership, &cursor))) {
		for (uint32_t rank = 0; rank < 2; rank++) {
			uint64_t id = membership_home(f->membership,
						      member->data_centre,
						      fold_reader_key(), rank);

			if (!id || candidate_known(ids, id))
				continue;
			g_array_append_val(ids, id);
			order += id_mix(f->revision, id) > weight;
		}
	}
	g_array_free(ids, TRUE);
	return order;
}

/* Whether the record was dropped or is in the oldest eighth of the log. */
static bool record_expiring(const struct fold *f)
{
	uint64_t window = f->log_next - f->log_first;

	if (f->record_offset < f->log_first)
		return true;
	return window >= WINDOW_RECORDS_MIN &&
	       f->record_offset - f->log_first < window / 8;
}

static bool reappend_due(struct fold *f)
{
	int64_t now = clock_now(f->clock);
	int order;

	if (record_expiring(f)) {
		if (!f->record_expiring_since)
			f->record_expiring_since = now;
		order = reappend_order(f);
		return now - f->record_expiring_since >=
		       order * STAGGER_EXPIRING_USEC;
	}
	f->record_expiring_since = 0;
	if (now - f->record_read_at < f->reappend_after)
		return false;
	order = reappend_order(f);
	return now - f->record_read_at - f->reappend_after >=
	       order * STAGGER_OLD_USEC;
}

static void reappend_done(void *ctx, enum result_code code, uint64_t offset)
{
	struct fold_reappend *reappend = ctx;
	struct fold *f = reappend->fold;

	g_free(reappend);
	if (!f)
		return;
	f->reappend = NULL;
	if (code != RESULT_OK)
		log_event(LOG_WARNING, "config_reappend_failed",
			  LOG_S("result", result_label(code)));
}

static void reappend_send(struct fold *f)
{
	struct fold_record record = {
		.kind = RECORD_REAPPEND,
		.revision = f->revision,
		.through = log_tail_position(f->tail),
		.tag = fold_tag_next(f),
		.content = f->content,
		.size = f->size,
	};

	g_strlcpy(record.author, f->author, sizeof(record.author));
	f->reappend = g_new0(struct fold_reappend, 1);
	f->reappend->fold = f;
	msgpack_sbuffer_clear(&f->out);
	record_pack(&f->out, &record);
	log_event(LOG_INFO, "config_reappend", LOG_D("revision", f->revision));
	f->store.append(f->store.ctx, LOG_STREAM_CONFIG, f->out.data,
			f->out.size, reappend_done, f->reappend);
}

void fold_reappend_check(struct fold *f)
{
	int64_t now = clock_now(f->clock);

	/* After a pause the last page read may be outdated. */
	if (now - f->log_read_at > LOG_TAIL_WAIT_USEC + LOG_TAIL_LATE_USEC)
		return;
	if (f->reappend || f->revision == REVISION_NONE || !f->base_known ||
	    f->folded_revision != f->revision || !fold_is_reader(f) ||
	    !log_tail_running(f->tail) || log_tail_failures(f->tail) ||
	    log_tail_position(f->tail) != f->log_next || now < f->reappend_next)
		return;
	if (!reappend_due(f))
		return;
	f->reappend_next = now + REAPPEND_RETRY_USEC;
	reappend_send(f);
}

void fold_reappend_cancel(struct fold *f)
{
	if (f->reappend)
		f->reappend->fold = NULL;
	f->reappend = NULL;
}
