#include "member_private.h"

static void ping_send(struct membership *m, uint64_t to, uint64_t target,
		      uint64_t origin)
{
	wire_begin(m);
	wire_send(m, to, WIRE_PING, 0, target, origin);
}

/* Probes directly and through a few others, in case only the link between the
 * two instances is down. */
static void probe_send(struct membership *m, struct peer *p)
{
	uint64_t own = m->self->view.id;
	struct peer *last = p;

	p->probed = true;
	ping_send(m, p->view.id, p->view.id, own);
	for (uint32_t i = 0; i < m->settings.fanout; i++) {
		struct peer *helper = ring_random(m, last);

		if (!helper || helper == p)
			continue;
		ping_send(m, helper->view.id, p->view.id, own);
		last = helper;
	}
}

static void probe_watched(struct membership *m, struct peer *p, int64_t silence)
{
	bool probed = p->probed;

	if (silence <= m->settings.suspect_after * 2 / 3)
		return;
	probe_send(m, p);
	if (probed && silence > m->settings.suspect_after)
		peer_set_level(m, p, p->level | LEVEL_SUSPECT);
}

/* Members that watch the suspect declare it dead first. The others do so only
 * after twice the time. */
static void probe_suspect(struct membership *m, struct peer *p, int64_t silence)
{
	int64_t suspected = clock_now(m->clock) - p->state_since;
	int64_t limit = m->settings.dead_after;
	bool probed = p->probed;

	if (p->watched || suspected > limit)
		probe_send(m, p);
	if (!p->watched)
		limit *= 2;
	if (probed && suspected > limit && silence > m->settings.suspect_after)
		peer_set_level(m, p, LEVEL_DEAD);
}

static void uncertain_tick(struct membership *m)
{
	if (!m->uncertain)
		return;
	if (clock_now(m->clock) - m->uncertain_since <=
	    m->settings.dead_after) {
		probe_watchers(m);
		return;
	}
	if (m->confirmations)
		m->uncertain = false;
	else
		incarnation_raise(m, 0);
}

void probe_tick(struct membership *m)
{
	int64_t now = clock_now(m->clock);

	for (guint i = 0; i < m->peers->len; i++) {
		struct peer *p = m->peers->pdata[i];
		int64_t silence = now - p->last_seen;

		if (p == m->self || !peer_local(m, p) || !peer_is_live(p))
			continue;
		if (p->level & LEVEL_SUSPECT)
			probe_suspect(m, p, silence);
		else if (p->watched)
			probe_watched(m, p, silence);
	}
	uncertain_tick(m);
}

void probe_ping(struct membership *m, const struct wire *wire, uint64_t from)
{
	struct peer *target;

	if (wire->a == m->self->view.id) {
		updates_pack(m, peer_find(m, from));
		wire_send(m, from, WIRE_ACK, 0, wire->a, wire->b);
		return;
	}
	target = peer_find(m, wire->a);
	if (!target || wire->b != from || !peer_local(m, target))
		return;
	ping_send(m, target->view.id, wire->a, from);
}

static void ack_forward(struct membership *m, const struct wire *wire,
			const struct peer *subject)
{
	wire_begin(m);
	pack_row(m, subject, false);
	wire_send(m, wire->b, WIRE_ACK, 0, wire->a, wire->b);
}

void probe_ack(struct membership *m, const struct wire *wire, uint64_t from)
{
	struct peer *subject = peer_find(m, wire->a);
	struct item item;

	if (!subject)
		return;
	if (wire->b != m->self->view.id) {
		if (wire->a == from && peer_find(m, wire->b))
			ack_forward(m, wire, subject);
		return;
	}
	if (wire->a == from) {
		if (m->uncertain && !subject->confirmed_alive) {
			subject->confirmed_alive = true;
			probe_confirmed(m);
		}
		return;
	}
	if (!wire->item_count || !item_decode(&wire->items[0], &item) ||
	    item.id != wire->a || item.version < subject->view.incarnation)
		return;
	subject->last_seen = clock_now(m->clock);
	subject->probed = false;
}

/* Probes the members that watch this instance: they are the first to declare
 * it dead. */
void probe_watchers(struct membership *m)
{
	GPtrArray *ring = ring_members(m);
	uint32_t sent = 0;
	guint own;

	if (!g_ptr_array_find(ring, m->self, &own))
		return;
	for (guint i = 1; i < ring->len && sent < m->settings.fanout; i++) {
		struct peer *p = ring->pdata[(own + i) % ring->len];

		ping_send(m, p->view.id, p->view.id, m->self->view.id);
		sent++;
	}
}

void probe_confirmed(struct membership *m)
{
	guint others = ring_members(m)->len - 1;

	if (++m->confirmations >= MIN(m->settings.fanout, others))
		m->uncertain = false;
}

void membership_paused(struct membership *m, int64_t gap_us)
{
	int64_t now = clock_now(m->clock);

	/* Nothing could be received during the pause, so all silence timers
	 * start again. */
	for (guint i = 0; i < m->peers->len; i++) {
		struct peer *p = m->peers->pdata[i];

		p->last_seen = now;
		p->confirmed_alive = false;
		if (p->level & LEVEL_SUSPECT && p->level != LEVEL_DEAD)
			p->state_since = now;
	}
	for (guint i = 0; i < m->centres->len; i++) {
		struct centre *c = m->centres->pdata[i];

		c->last_seen = now;
		c->last_mutual = now;
	}
	if (gap_us < m->settings.suspect_after || ring_members(m)->len < 2)
		return;
	m->uncertain = true;
	m->uncertain_since = now;
	m->confirmations = 0;
	probe_watchers(m);
}

bool membership_certain(const struct membership *m)
{
	return !m->uncertain;
}
