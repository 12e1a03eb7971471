#include "member_private.h"

/* Updates are also pushed between heartbeats: a burst of 8, then one push a
 * second. */
#define PUSH_TOKENS 8.0
#define PUSH_TARGETS 2

static struct peer *update_peer(const struct update *update)
{
	return (struct peer *)update;
}

static struct fact *update_fact(const struct update *update)
{
	return (struct fact *)update;
}

static struct centre *update_centre(const struct update *update)
{
	return (struct centre *)update;
}

/* How often each instance sends an update: proportional to log2 of the number
 * of members, so that all receive it with high probability. */
static uint32_t update_transmissions(struct membership *m)
{
	uint32_t members = ring_members(m)->len;

	return m->settings.fanout * (g_bit_storage(members) + 1);
}

static void push_arm(struct membership *m)
{
	int64_t now = clock_now(m->clock);
	double refill = (double)(now - m->push_refilled_at) / USEC_PER_SEC;

	m->push_refilled_at = now;
	m->push_tokens = MIN(m->push_tokens + refill, PUSH_TOKENS);
	if (m->push_tokens < 1 || timer_running(&m->push_timer))
		return;
	m->push_tokens -= 1;
	timer_start(&m->push_timer, PUSH_DELAY_USEC);
}

void update_add(struct membership *m, struct update *update)
{
	update->transmissions_left = update_transmissions(m);
	update->link.data = update;
	if (update->linked)
		g_queue_unlink(&m->updates, &update->link);
	g_queue_push_head_link(&m->updates, &update->link);
	update->linked = true;
	push_arm(m);
}

void update_remove(struct membership *m, struct update *update)
{
	if (!update->linked)
		return;
	g_queue_unlink(&m->updates, &update->link);
	update->linked = false;
}

static bool update_pack(struct membership *m, const struct update *update,
			const struct peer *to)
{
	const struct peer *p;

	switch (update->kind) {
	case UPDATE_MEMBER:
		p = update_peer(update);
		if (p != to)
			pack_row(m, p, p->send_names);
		return true;
	case UPDATE_FACT:
		pack_fact(m, update_fact(update));
		return true;
	case UPDATE_REACH:
		if (!peer_local(m, to))
			return false;
		pack_reach(m, update_centre(update));
		return true;
	}
	return false;
}

static void updates_pack_pending(struct membership *m, const struct peer *to,
				 bool *any)
{
	guint count = m->updates.length;
	GList *link = m->updates.head;

	while (count-- && wire_size(m) < UPDATE_BYTES_MAX) {
		struct update *update = link->data;

		link = link->next;
		if (!update_pack(m, update, to))
			continue;
		*any = true;
		g_queue_unlink(&m->updates, &update->link);
		update->linked = --update->transmissions_left > 0;
		if (update->linked)
			g_queue_push_tail_link(&m->updates, &update->link);
	}
}

void updates_pack(struct membership *m, const struct peer *to)
{
	bool any = false;

	wire_begin(m);
	if (to->confirmed && (to->level & LEVEL_SUSPECT))
		pack_row(m, to, false);
	updates_pack_pending(m, to, &any);
}

void updates_receive(struct membership *m, const struct peer *from,
		     const struct wire *wire)
{
	/* Messages with many items answer a sync: others have these items
	 * already, so they are not disseminated. */
	bool disseminate = wire->item_count < 8;
	struct item item;

	g_array_set_size(m->unknown, 0);
	for (uint32_t i = 0; i < wire->item_count; i++) {
		if (!item_decode(&wire->items[i], &item)) {
			m->stats.malformed++;
			continue;
		}
		if (item.kind <= ITEM_NAMED &&
		    !row_apply(m, &item, disseminate))
			g_array_append_val(m->unknown, item.id);
		else if (item.kind == ITEM_FACT)
			fact_apply(m, &item, disseminate);
		else if (item.kind == ITEM_REACH && peer_local(m, from))
			reach_apply(m, &item);
	}
	if (!m->unknown->len)
		return;
	wire_begin(m);
	for (guint i = 0; i < m->unknown->len; i++)
		pack_id(m, g_array_index(m->unknown, uint64_t, i));
	wire_send(m, from->view.id, WIRE_REQUEST, 0, 0, 0);
}

void updates_push(struct timer *timer, void *ctx)
{
	struct membership *m = ctx;
	struct peer *first = NULL;

	if (!m->updates.length)
		return;
	digest_push(m);
	for (int i = 0; i < PUSH_TARGETS && m->updates.length; i++) {
		struct peer *to = ring_random(m, first);

		if (!to)
			return;
		first = to;
		updates_pack(m, to);
		wire_send(m, to->view.id, WIRE_HEARTBEAT, 0, 0, 0);
	}
}
