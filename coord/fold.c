#include "coord/fold.h"

#include <string.h>

#include "common/log.h"
#include "fold_private.h"

struct fold_tag fold_tag_next(struct fold *f)
{
	const struct member *self = membership_self(f->membership);

	return (struct fold_tag){
		.instance = self->id,
		.incarnation = self->incarnation,
		.number = ++f->tag_counter,
	};
}

void fold_put_in_force(struct fold *f, uint64_t revision, const char *author,
		       const void *content, size_t size)
{
	void *old = f->content;

	f->revision = revision;
	f->content = g_malloc(size + 1);
	if (size)
		memcpy(f->content, content, size);
	((char *)f->content)[size] = '\0';
	f->size = size;
	g_strlcpy(f->author, author, sizeof(f->author));
	f->through = MAX(f->through, revision);
	f->record_offset = revision - 1;
	f->record_revision = revision;
	f->record_read_at = clock_now(f->clock);
	f->record_expiring_since = 0;
	log_event(LOG_NOTICE, "config_in_force", LOG_D("revision", revision),
		  LOG_S("author", author), LOG_D("size", size));
	if (f->ops.changed)
		f->ops.changed(f->ctx, revision, f->content, size);
	g_free(old);
	spread_changed(f);
}

void fold_tail_update(struct fold *f)
{
	bool wanted = f->applies->len > 0 || fold_is_reader(f);
	uint64_t from = log_tail_position(f->tail);

	if (!f->started || wanted == log_tail_running(f->tail))
		return;
	if (!wanted) {
		log_tail_stop(f->tail);
		return;
	}
	if (f->revision != REVISION_NONE && f->through > from) {
		fold_pending_clear(f);
		f->base_known = true;
		f->folded_revision = f->revision;
		f->skip_until = 0;
		from = f->through;
	}
	log_tail_start(f->tail, from);
}

static void fold_tick(struct timer *timer, void *ctx)
{
	struct fold *f = ctx;

	timer_start(timer, FOLD_TICK_USEC);
	fold_refused_update(f);
	fold_tail_update(f);
	fold_assume_base(f);
	fold_reappend_check(f);
	spread_tick(f);
}

struct fold *fold_create(struct clock *clock, struct membership *membership,
			 const struct log_store *store,
			 const struct transport *transport,
			 const struct fold_ops *ops, void *ctx)
{
	const struct member *self = membership_self(membership);
	uint32_t seed = (uint32_t)id_mix(self->id, self->incarnation);
	struct fold *f = g_new0(struct fold, 1);

	f->clock = clock;
	f->membership = membership;
	f->store = *store;
	f->transport = *transport;
	if (ops)
		f->ops = *ops;
	f->ctx = ctx;
	f->rand = g_rand_new_with_seed(seed);
	f->base_known = true;
	f->reappend_after = FOLD_REAPPEND_USEC;
	f->tail = log_tail_create(clock, store, LOG_STREAM_CONFIG, seed,
				  &fold_tail_ops, f);
	f->audits = g_array_new(FALSE, FALSE, sizeof(struct fold_audit));
	f->applies = g_ptr_array_new();
	g_queue_init(&f->pending);
	timer_init(&f->tick, clock, fold_tick, f);
	msgpack_sbuffer_init(&f->out);
	msgpack_zone_init(&f->zone, MSGPACK_ZONE_CHUNK_SIZE);
	msgpack_zone_init(&f->record_zone, MSGPACK_ZONE_CHUNK_SIZE);
	return f;
}

void fold_destroy(struct fold *f)
{
	if (!f)
		return;
	timer_stop(&f->tick);
	applies_clear(f);
	fold_reappend_cancel(f);
	fold_pending_clear(f);
	log_tail_destroy(f->tail);
	g_ptr_array_free(f->applies, TRUE);
	g_array_free(f->audits, TRUE);
	msgpack_sbuffer_destroy(&f->out);
	msgpack_zone_destroy(&f->zone);
	msgpack_zone_destroy(&f->record_zone);
	g_rand_free(f->rand);
	g_free(f->content);
	g_free(f);
}

void fold_start(struct fold *f)
{
	f->started = true;
	fold_tail_update(f);
	timer_start(&f->tick, g_rand_int_range(f->rand, 0, FOLD_TICK_USEC));
}

void fold_reappend_after(struct fold *f, int64_t usec)
{
	f->reappend_after = MAX(usec, FOLD_TICK_USEC);
}

void fold_member_changed(struct fold *f, const struct member *member)
{
	if (!f->started)
		return;
	fold_tail_update(f);
	/* A new instance pulls from the first peer that becomes alive. */
	if (f->revision == REVISION_NONE && member->state == MEMBER_ALIVE &&
	    member->id != membership_self(f->membership)->id)
		spread_pull(f, member->id);
}

uint64_t fold_revision(const struct fold *f)
{
	return f->revision;
}

const void *fold_content(const struct fold *f, size_t *size)
{
	if (size)
		*size = f->size;
	return f->content;
}

bool fold_reading(const struct fold *f)
{
	return log_tail_running(f->tail);
}
