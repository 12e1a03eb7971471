#include "fold_private.h"

/* Index of the first entry at or after offset. */
static guint audit_index(const struct fold *f, uint64_t offset)
{
	guint at = f->audits->len;

	while (at > 0 &&
	       g_array_index(f->audits, struct fold_audit, at - 1).offset >=
		       offset)
		at--;
	return at;
}

const struct fold_audit *audit_find(const struct fold *f, uint64_t offset)
{
	guint at = audit_index(f, offset + 1);
	const struct fold_audit *entry;

	if (at >= f->audits->len)
		return NULL;
	entry = &g_array_index(f->audits, struct fold_audit, at);
	return entry->offset == offset + 1 ? entry : NULL;
}

void audit_add(struct fold *f, const struct fold_audit *audit)
{
	guint at = audit_index(f, audit->offset);

	if (at < f->audits->len &&
	    g_array_index(f->audits, struct fold_audit, at).offset ==
		    audit->offset)
		return;
	if (f->audits->len >= FOLD_HISTORY_MAX && at == 0)
		return;
	g_array_insert_val(f->audits, at, *audit);
	if (f->audits->len > FOLD_HISTORY_MAX)
		g_array_remove_index(f->audits, 0);
	f->audit_next = MAX(f->audit_next, audit->offset);
	if (f->ops.audit)
		f->ops.audit(f->ctx, audit);
}

void audit_missed(struct fold *f, uint64_t until)
{
	if (!f->audit_gap)
		f->audit_from = f->audit_next;
	f->audit_until = MAX(f->audit_until, until);
	f->audit_gap = true;
	f->audit_pulls = 0;
}

size_t fold_history(const struct fold *f, const struct fold_audit **entries)
{
	*entries = (const struct fold_audit *)(const void *)f->audits->data;
	return f->audits->len;
}
