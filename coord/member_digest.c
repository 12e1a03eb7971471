#include "common/log.h"
#include "member_private.h"

static uint64_t gateway_of(const struct membership *m, const struct centre *of,
			   const struct centre *to, uint32_t rank)
{
	uint64_t key = id_mix(of->id, to->id);
	uint64_t id = home_rank(m, of, key, rank, false);

	/* When all members are leaving, leaving ones serve as gateways. */
	if (!id && !home_rank(m, of, key, 0, false))
		id = home_rank(m, of, key, rank, true);
	return id;
}

static int gateway_rank(const struct membership *m, const struct centre *c)
{
	for (uint32_t rank = 0; rank < 2; rank++) {
		if (gateway_of(m, m->self->centre, c, rank) == m->self->view.id)
			return (int)rank;
	}
	return -1;
}

static struct peer *centre_random(struct membership *m, const struct centre *c)
{
	struct peer *found = NULL;
	int count = 0;

	for (guint i = 0; i < m->peers->len; i++) {
		struct peer *p = m->peers->pdata[i];

		if (p->centre != c || p->forgotten)
			continue;
		count++;
		if (g_rand_int_range(m->rand, 0, count) == 0)
			found = p;
	}
	return found;
}

static int64_t reach_timeout(const struct membership *m)
{
	return m->settings.suspect_after + 2 * m->settings.digest;
}

static bool digest_is_recent(const struct membership *m, const struct centre *c)
{
	return c->digest_seen &&
	       clock_now(m->clock) - c->last_seen <= reach_timeout(m);
}

/* Alternates between the two remote gateways. A data centre that is down has no
 * gateway, since its members count as dead; then a random member is used,
 * because the view of them may be outdated. */
static struct peer *digest_target(struct membership *m, struct centre *c,
				  int rank)
{
	uint32_t remote_rank = ((uint32_t)rank + c->round++) % 2;
	uint64_t id = gateway_of(m, c, m->self->centre, remote_rank);

	if (!id)
		id = gateway_of(m, c, m->self->centre, 0);
	return id ? peer_find(m, id) : centre_random(m, c);
}

static void digest_send(struct membership *m, struct centre *c, int rank)
{
	struct peer *to = digest_target(m, c, rank);
	uint32_t flags = WIRE_DIGEST;

	if (!to)
		return;
	if (!to->confirmed) {
		join_send(m, to);
		return;
	}
	if (digest_is_recent(m, c))
		flags |= WIRE_MUTUAL;
	updates_pack(m, to);
	wire_send(m, to->view.id, WIRE_HEARTBEAT, flags, 0, 0);
}

static void reach_set(struct membership *m, struct centre *c, enum reach reach,
		      uint64_t version)
{
	static const char *const labels[] = {"up", "suspect", "down"};

	if (reach != c->reach)
		log_event(LOG_NOTICE, "data_centre_reach",
			  LOG_S("data_centre", c->name),
			  LOG_S("reach", labels[reach]));
	c->reach = reach;
	c->version = version;
	m->hashes_stale = true;
	for (guint i = 0; i < m->peers->len; i++) {
		struct peer *p = m->peers->pdata[i];

		if (p->centre != c)
			continue;
		if (reach == REACH_UP && p->forgotten &&
		    p->level != LEVEL_DEAD) {
			p->forgotten = false;
			table_changed(m);
		}
		peer_refresh(m, p);
	}
	update_add(m, &c->update);
}

static void reach_evaluate(struct membership *m, struct centre *c)
{
	int64_t now = clock_now(m->clock);
	int64_t silence = now - c->last_mutual;
	enum reach reach = REACH_UP;

	if (silence > reach_timeout(m) + m->settings.dead_after)
		reach = REACH_DOWN;
	else if (silence > reach_timeout(m))
		reach = REACH_SUSPECT;
	/* Only a received digest improves it, see centre_digest_received(). */
	if (reach > c->reach)
		reach_set(m, c, reach, c->version + 1);
}

static void centre_tick(struct membership *m, struct centre *c)
{
	int rank = gateway_rank(m, c);
	int64_t now = clock_now(m->clock);

	if (rank < 0) {
		c->gateway = false;
		return;
	}
	if (!c->gateway)
		c->last_mutual = now;
	c->gateway = true;
	digest_send(m, c, rank);
	if (centre_random(m, c))
		reach_evaluate(m, c);
}

void digest_tick(struct timer *timer, void *ctx)
{
	struct membership *m = ctx;

	timer_start(timer, m->settings.digest);
	for (guint i = 0; i < m->centres->len; i++) {
		struct centre *c = m->centres->pdata[i];

		if (c != m->self->centre)
			centre_tick(m, c);
	}
}

void digest_push(struct membership *m)
{
	for (guint i = 0; i < m->centres->len; i++) {
		struct centre *c = m->centres->pdata[i];

		if (c->gateway && c->reach == REACH_UP)
			digest_send(m, c, gateway_rank(m, c));
	}
}

static void centre_digest_received(struct membership *m, struct centre *c,
				   bool mutual)
{
	c->digest_seen = true;
	c->last_seen = clock_now(m->clock);
	if (!mutual)
		return;
	c->last_mutual = c->last_seen;
	if (c->reach != REACH_UP && gateway_rank(m, c) >= 0)
		reach_set(m, c, REACH_UP, c->version + 1);
}

void digest_receive(struct membership *m, struct peer *from,
		    const struct wire *wire)
{
	struct centre *c = from->centre;
	bool mutual = wire->flags & WIRE_MUTUAL;

	if (c == m->self->centre)
		return;
	centre_digest_received(m, c, mutual);
	for (uint32_t rank = 0; rank < 2; rank++) {
		uint64_t id = gateway_of(m, m->self->centre, c, rank);

		if (!id || id == m->self->view.id)
			continue;
		wire_begin(m);
		wire_send(m, id, WIRE_DIGEST_SEEN, 0, c->id, mutual);
	}
}

void digest_seen_receive(struct membership *m, const struct wire *wire)
{
	struct centre *c = centre_find(m, wire->a);

	if (c && c != m->self->centre)
		centre_digest_received(m, c, wire->b);
}

void reach_apply(struct membership *m, const struct item *item)
{
	struct centre *c = centre_find(m, item->id);

	if (!c || c == m->self->centre)
		return;
	if (item->version < c->version) {
		if (!c->update.linked)
			update_add(m, &c->update);
		return;
	}
	if (item->version == c->version && item->number >= c->reach)
		return;
	reach_set(m, c, item->number, item->version);
}
