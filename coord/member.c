#include "coord/member.h"

#include <string.h>

#include "common/log.h"
#include "member_private.h"

#define HEARTBEAT_USEC (500 * USEC_PER_MSEC)
#define SUSPECT_USEC (1500 * USEC_PER_MSEC)
#define DEAD_USEC (1500 * USEC_PER_MSEC)
#define DIGEST_USEC (1 * USEC_PER_SEC)
#define FANOUT 3u
#define FANOUT_MAX 16u

static void settings_fill(struct membership_settings *s)
{
	if (s->heartbeat <= 0)
		s->heartbeat = HEARTBEAT_USEC;
	if (s->suspect_after <= 0)
		s->suspect_after = SUSPECT_USEC;
	if (s->dead_after <= 0)
		s->dead_after = DEAD_USEC;
	if (s->digest <= 0)
		s->digest = DIGEST_USEC;
	if (!s->fanout)
		s->fanout = FANOUT;
	s->fanout = MIN(s->fanout, FANOUT_MAX);
	s->heartbeat = MIN(s->heartbeat, G_MAXINT32 / 2);
}

static void self_create(struct membership *m, const struct member *member)
{
	struct member self = *member;

	self.id = id_of(self.name);
	m->self = peer_add(m, &self);
	m->self->view.incarnation = MIN(member->incarnation, INT64_MAX);
	m->self->view.state = MEMBER_ALIVE;
	m->self->confirmed = true;
	m->self->reported = true;
	m->self->send_names = true;
}

struct membership *membership_create(struct clock *clock,
				     const struct member *self,
				     const struct membership_settings *settings,
				     const struct transport *transport,
				     const struct membership_ops *ops,
				     void *ctx)
{
	struct membership *m = g_new0(struct membership, 1);

	m->clock = clock;
	if (settings)
		m->settings = *settings;
	settings_fill(&m->settings);
	m->transport = *transport;
	if (ops)
		m->ops = *ops;
	m->ctx = ctx;
	m->rand = g_rand_new_with_seed(m->settings.seed ^
				       (uint32_t)id_of(self->name));
	m->peers = g_ptr_array_new();
	m->centres = g_ptr_array_new_with_free_func(g_free);
	m->ring = g_ptr_array_new();
	m->index = g_hash_table_new(g_int64_hash, g_int64_equal);
	m->facts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 fact_free);
	m->unknown = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_queue_init(&m->updates);
	msgpack_sbuffer_init(&m->out);
	msgpack_sbuffer_init(&m->items);
	msgpack_zone_init(&m->zone, MSGPACK_ZONE_CHUNK_SIZE);
	timer_init(&m->heartbeat_timer, clock, ring_heartbeat, m);
	timer_init(&m->digest_timer, clock, digest_tick, m);
	timer_init(&m->push_timer, clock, updates_push, m);
	m->push_refilled_at = clock_now(clock);
	self_create(m, self);
	table_changed(m);
	return m;
}

void membership_destroy(struct membership *m)
{
	if (!m)
		return;
	timer_stop(&m->heartbeat_timer);
	timer_stop(&m->digest_timer);
	timer_stop(&m->push_timer);
	g_hash_table_destroy(m->facts);
	g_hash_table_destroy(m->index);
	for (guint i = 0; i < m->peers->len; i++)
		g_free(m->peers->pdata[i]);
	g_ptr_array_free(m->peers, TRUE);
	g_ptr_array_free(m->centres, TRUE);
	g_ptr_array_free(m->ring, TRUE);
	g_array_free(m->unknown, TRUE);
	msgpack_sbuffer_destroy(&m->out);
	msgpack_sbuffer_destroy(&m->items);
	msgpack_zone_destroy(&m->zone);
	g_rand_free(m->rand);
	g_free(m);
}

void membership_start(struct membership *m)
{
	update_add(m, &m->self->update);
	m->heartbeat_at = clock_now(m->clock);
	timer_start(&m->heartbeat_timer,
		    g_rand_int_range(m->rand, 0,
				     (gint32)(m->settings.heartbeat / 4) + 1));
	timer_start(&m->digest_timer,
		    m->settings.heartbeat +
			    g_rand_int_range(m->rand, 0, USEC_PER_SEC / 4));
}

static bool name_valid(const char *text, size_t max)
{
	size_t size = strnlen(text, max);

	return size > 0 && size < max;
}

void membership_hint(struct membership *m, const struct member *member)
{
	struct member hint = *member;
	struct peer *p;

	if (!name_valid(hint.name, MEMBER_NAME_MAX) ||
	    !name_valid(hint.data_centre, MEMBER_NAME_MAX))
		return;
	hint.id = id_of(hint.name);
	m->last_hint_at = clock_now(m->clock);
	p = peer_find(m, hint.id);
	if (p == m->self)
		return;
	if (!p) {
		p = peer_add(m, &hint);
		if (!p)
			return;
	}
	p->hinted_at = m->last_hint_at;
	if (p->view.state != MEMBER_DEAD)
		return;
	if (strcmp(p->view.peer_address, hint.peer_address) != 0 ||
	    strcmp(p->view.http_address, hint.http_address) != 0) {
		peer_set_names(m, p, &hint);
		p->join_attempts = 0;
	}
	if (!p->forgotten)
		return;
	p->forgotten = false;
	p->state_since = m->last_hint_at;
	peer_refresh(m, p);
	table_changed(m);
}

void membership_leave(struct membership *m)
{
	enum member_state old = m->self->view.state;

	if (m->self->leaving)
		return;
	m->self->leaving = true;
	m->self->level += 2;
	m->self->send_names = false;
	m->self->view.state = MEMBER_LEAVING;
	table_changed(m);
	update_add(m, &m->self->update);
	if (m->ops.changed)
		m->ops.changed(m->ctx, &m->self->view, &old);
}

/* When two sides of a partition declared each other dead, the smaller one
 * yields, so that an isolated instance does not make all others raise their
 * incarnations. */
static bool side_yields(struct membership *m, const struct peer *from,
			const struct wire *wire)
{
	GPtrArray *ring = ring_members(m);
	const struct peer *lowest = ring->pdata[0];

	if (!from || from->level != LEVEL_DEAD || !from->confirmed)
		return true;
	if (wire->a != ring->len)
		return wire->a > ring->len;
	return wire->b < lowest->view.id;
}

static void declared_dead_receive(struct membership *m, struct peer *from,
				  const struct wire *wire)
{
	struct item row;

	if (!wire->item_count || !item_decode(&wire->items[0], &row) ||
	    row.kind != ITEM_ROW || row.id != m->self->view.id ||
	    row.version < m->self->view.incarnation)
		return;
	if (side_yields(m, from, wire))
		row_apply(m, &row, false);
	else
		peer_notify(m, from);
}

/* A join carries the sender's row, which adds an unknown sender. */
static struct peer *sender_find(struct membership *m, uint64_t from,
				const struct wire *wire)
{
	struct peer *p = peer_find(m, from);
	struct item row;

	if (wire->kind != WIRE_ROWS || !wire->item_count ||
	    !item_decode(&wire->items[0], &row) || row.kind != ITEM_NAMED ||
	    row.id != from)
		return p;
	if (p && p->confirmed && p->level == LEVEL_DEAD &&
	    row.version <= p->view.incarnation)
		return p;
	row_apply(m, &row, true);
	return peer_find(m, from);
}

static void self_send(struct membership *m, uint64_t to)
{
	wire_begin(m);
	pack_row(m, m->self, true);
	wire_send(m, to, WIRE_ROWS, 0, 0, 0);
}

/* Requests the row of an unknown sender. A request is answered with the own
 * row instead: two instances that do not know each other would otherwise send
 * requests without end. */
static void sender_request_names(struct membership *m, uint64_t from,
				 const struct wire *wire)
{
	if (wire->kind == WIRE_REQUEST) {
		self_send(m, from);
		return;
	}
	wire_begin(m);
	pack_id(m, from);
	wire_send(m, from, WIRE_REQUEST, 0, 0, 0);
}

/* Merges the sender's state; false when the message must be dropped. */
static bool sender_check(struct membership *m, struct peer *p,
			 const struct wire *wire)
{
	struct item row = {
		.kind = ITEM_ROW,
		.id = p->view.id,
		.version = wire->incarnation,
		.number = wire->level,
		.leaving = wire->flags & WIRE_LEAVING,
	};

	if (p->confirmed && (wire->incarnation < p->view.incarnation ||
			     (wire->incarnation == p->view.incarnation &&
			      p->level == LEVEL_DEAD))) {
		m->stats.from_dead++;
		peer_notify(m, p);
		return false;
	}
	if (!row_apply(m, &row, true)) {
		sender_request_names(m, p->view.id, wire);
		return false;
	}
	p->last_seen = clock_now(m->clock);
	p->probed = false;
	if (p->forgotten) {
		p->forgotten = false;
		p->state_since = p->last_seen;
		peer_refresh(m, p);
		table_changed(m);
	}
	if (p->level & LEVEL_SUSPECT && wire->level < p->level)
		peer_notify(m, p);
	return true;
}

static void heartbeat_receive(struct membership *m, struct peer *p,
			      const struct wire *wire)
{
	updates_receive(m, p, wire);
	if (wire->flags & WIRE_DIGEST)
		digest_receive(m, p, wire);
	sync_check(m, p->view.id, wire);
}

static void rows_receive(struct membership *m, struct peer *p,
			 const struct wire *wire)
{
	uint64_t id = p->view.id;

	updates_receive(m, p, wire);
	if (!(wire->flags & WIRE_JOIN))
		return;
	self_send(m, id);
	sync_start(m, id);
}

static void wire_dispatch(struct membership *m, struct peer *p,
			  const struct wire *wire)
{
	uint64_t from = p->view.id;

	switch (wire->kind) {
	case WIRE_HEARTBEAT:
		heartbeat_receive(m, p, wire);
		break;
	case WIRE_PING:
		probe_ping(m, wire, from);
		break;
	case WIRE_ACK:
		updates_receive(m, p, wire);
		probe_ack(m, wire, from);
		break;
	case WIRE_SYNC:
		sync_hashes(m, from, wire);
		break;
	case WIRE_KEYS:
		sync_keys(m, from, wire);
		break;
	case WIRE_ROWS:
		rows_receive(m, p, wire);
		break;
	case WIRE_REQUEST:
		sync_request(m, from, wire);
		break;
	case WIRE_DIGEST_SEEN:
		digest_seen_receive(m, wire);
		break;
	case WIRE_KIND_MAX:
		break;
	}
}

void membership_receive(struct membership *m, uint64_t from, const void *data,
			size_t size)
{
	struct wire wire;
	struct peer *p;

	m->stats.received++;
	if (from == m->self->view.id)
		return;
	if (!wire_decode(m, data, size, &wire)) {
		m->stats.malformed++;
		return;
	}
	p = peer_find(m, from);
	if (wire.flags & WIRE_DECLARED_DEAD) {
		declared_dead_receive(m, p, &wire);
		return;
	}
	p = sender_find(m, from, &wire);
	if (!p) {
		sender_request_names(m, from, &wire);
		return;
	}
	if (sender_check(m, p, &wire))
		wire_dispatch(m, p, &wire);
}

void membership_stats(const struct membership *m,
		      struct membership_stats *stats)
{
	*stats = m->stats;
}

const struct member *membership_self(const struct membership *m)
{
	return &m->self->view;
}

const struct member *membership_find(const struct membership *m, uint64_t id)
{
	const struct peer *p = peer_find(m, id);

	return p && !p->forgotten ? &p->view : NULL;
}

const struct member *membership_next(const struct membership *m,
				     uint32_t *cursor)
{
	while (*cursor < m->peers->len) {
		const struct peer *p = m->peers->pdata[(*cursor)++];

		if (!p->forgotten)
			return &p->view;
	}
	return NULL;
}
