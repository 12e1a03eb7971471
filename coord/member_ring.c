#include "member_private.h"

GPtrArray *ring_members(struct membership *m)
{
	if (!m->ring_stale)
		return m->ring;
	m->ring_stale = false;
	g_ptr_array_set_size(m->ring, 0);
	for (guint i = 0; i < m->peers->len; i++) {
		struct peer *p = m->peers->pdata[i];

		if (peer_local(m, p) && peer_is_live(p))
			g_ptr_array_add(m->ring, p);
	}
	return m->ring;
}

struct peer *ring_random(struct membership *m, const struct peer *excluded)
{
	GPtrArray *ring = ring_members(m);
	guint start;

	if (ring->len < 2)
		return NULL;
	start = (guint)g_rand_int_range(m->rand, 0, (gint32)ring->len);
	for (guint i = 0; i < ring->len; i++) {
		struct peer *p = ring->pdata[(start + i) % ring->len];

		if (p != m->self && p != excluded)
			return p;
	}
	return NULL;
}

static bool peer_suspect(const struct peer *p)
{
	return p->level & LEVEL_SUSPECT;
}

static void heartbeat_send(struct membership *m, const struct peer *to)
{
	updates_pack(m, to);
	wire_send(m, to->view.id, WIRE_HEARTBEAT, 0, 0, 0);
}

static guint ring_index(const GPtrArray *ring, const struct peer *p)
{
	for (guint i = 0; i < ring->len; i++) {
		if (ring->pdata[i] == p)
			return i;
	}
	return 0;
}

/* Suspects get a heartbeat too, which carries the suspicion to them, but do not
 * count towards the fanout: the members after them watch this one instead. */
static void heartbeat_successors(struct membership *m)
{
	GPtrArray *ring = ring_members(m);
	guint own = ring_index(ring, m->self);
	uint32_t sent = 0;

	for (guint i = 1; i < ring->len && sent < m->settings.fanout; i++) {
		struct peer *p = ring->pdata[(own + i) % ring->len];

		heartbeat_send(m, p);
		if (!peer_suspect(p))
			sent++;
		if (i >= 3 * m->settings.fanout)
			break;
	}
}

/* One more heartbeat to a random member carries updates across the ring. */
static void heartbeat_random(struct membership *m)
{
	struct peer *p;

	if (ring_members(m)->len <= m->settings.fanout + 1)
		return;
	p = ring_random(m, NULL);
	if (p)
		heartbeat_send(m, p);
}

/* Watches the predecessors, up to the fanout: they send heartbeats to this
 * instance. */
static void watch_update(struct membership *m)
{
	GPtrArray *ring = ring_members(m);
	guint own = ring_index(ring, m->self);
	int64_t now = clock_now(m->clock);
	uint32_t live_count = 0;

	for (guint i = 1; i < ring->len; i++) {
		struct peer *p = ring->pdata[(own + ring->len - i) % ring->len];
		bool watched = live_count < m->settings.fanout;

		if (watched && !p->watched)
			p->last_seen = MAX(p->last_seen, now);
		p->watched = watched;
		if (!peer_suspect(p))
			live_count++;
	}
}

void join_send(struct membership *m, struct peer *p)
{
	wire_begin(m);
	pack_row(m, m->self, true);
	if (p->confirmed)
		pack_row(m, p, false);
	p->join_sent_at = clock_now(m->clock);
	p->join_attempts++;
	wire_send(m, p->view.id, WIRE_ROWS, WIRE_JOIN, 0, 0);
}

static bool join_due(const struct membership *m, const struct peer *p)
{
	int64_t wait = m->settings.heartbeat << MIN(p->join_attempts, 5u);

	return !p->join_attempts || clock_now(m->clock) - p->join_sent_at >=
					    MIN(wait, JOIN_BACKOFF_MAX_USEC);
}

/* Sends joins to members known only from hints: those of the local data centre,
 * and remote ones only while no other local member is known. */
static void join_candidates(struct membership *m)
{
	bool alone = ring_members(m)->len < 2;
	uint32_t sent = 0;

	for (guint i = 0; i < m->peers->len; i++) {
		struct peer *p = m->peers->pdata[i];

		if (p->confirmed || p->forgotten || p == m->self)
			continue;
		if (!peer_local(m, p) && !alone)
			continue;
		if (!join_due(m, p))
			continue;
		join_send(m, p);
		if (++sent >= m->settings.fanout)
			return;
	}
}

static bool peer_declared_dead(const struct membership *m, const struct peer *p)
{
	return peer_local(m, p) && p->level == LEVEL_DEAD && p->confirmed &&
	       !p->forgotten;
}

/* After a partition within the data centre each side has declared the other
 * dead. The members of a side together send about one join to the other side
 * per heartbeat period. */
static void join_declared_dead(struct membership *m)
{
	guint members = ring_members(m)->len;
	struct peer *found = NULL;
	int count = 0;

	if (members > 1 && g_rand_int_range(m->rand, 0, (gint32)members) != 0)
		return;
	for (guint i = 0; i < m->peers->len; i++) {
		struct peer *p = m->peers->pdata[i];

		if (!peer_declared_dead(m, p))
			continue;
		count++;
		if (g_rand_int_range(m->rand, 0, count) == 0)
			found = p;
	}
	if (found)
		join_send(m, found);
}

void peer_notify(struct membership *m, struct peer *p)
{
	GPtrArray *ring = ring_members(m);
	int64_t now = clock_now(m->clock);
	bool is_dead = p->level == LEVEL_DEAD;
	const struct peer *lowest = ring->pdata[0];

	if (now - p->notified_at < m->settings.heartbeat / 2 && p->notified_at)
		return;
	p->notified_at = now;
	wire_begin(m);
	pack_row(m, p, false);
	wire_send(m, p->view.id, WIRE_HEARTBEAT,
		  is_dead ? WIRE_DECLARED_DEAD : 0, is_dead ? ring->len : 0,
		  is_dead ? lowest->view.id : 0);
}

void ring_heartbeat(struct timer *timer, void *ctx)
{
	struct membership *m = ctx;
	int64_t period = m->settings.heartbeat;
	int64_t gap = clock_now(m->clock) - m->heartbeat_at;

	m->heartbeat_at = clock_now(m->clock);
	if (gap > m->settings.suspect_after)
		membership_paused(m, gap);
	timer_start(timer, period - period / 16 +
				   g_rand_int_range(m->rand, 0,
						    (gint32)(period / 8) + 1));
	if (clock_now(m->clock) - m->swept_at >= USEC_PER_SEC) {
		m->swept_at = clock_now(m->clock);
		table_sweep(m);
		facts_sweep(m);
	}
	watch_update(m);
	probe_tick(m);
	heartbeat_successors(m);
	heartbeat_random(m);
	join_candidates(m);
	join_declared_dead(m);
}
