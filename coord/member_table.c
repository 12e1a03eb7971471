#include <string.h>

#include "common/log.h"
#include "member_private.h"

static guint peer_index(const struct membership *m, uint64_t id)
{
	guint low = 0;
	guint high = m->peers->len;

	while (low < high) {
		guint middle = (low + high) / 2;
		const struct peer *p = m->peers->pdata[middle];

		if (p->view.id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

struct peer *peer_find(const struct membership *m, uint64_t id)
{
	return g_hash_table_lookup(m->index, &id);
}

struct centre *centre_find(const struct membership *m, uint64_t id)
{
	for (guint i = 0; i < m->centres->len; i++) {
		struct centre *c = m->centres->pdata[i];

		if (c->id == id)
			return c;
	}
	return NULL;
}

static gint centre_order(gconstpointer a, gconstpointer b)
{
	const struct centre *const *x = a;
	const struct centre *const *y = b;

	return (*x)->id < (*y)->id ? -1 : (*x)->id > (*y)->id;
}

struct centre *centre_get(struct membership *m, const char *name)
{
	struct centre *c = centre_find(m, id_of(name));

	if (c)
		return c;
	if (m->centres->len >= CENTRES_MAX) {
		log_event(LOG_WARNING, "data_centres_full",
			  LOG_S("data_centre", name));
		return NULL;
	}
	c = g_new0(struct centre, 1);
	c->id = id_of(name);
	c->update.kind = UPDATE_REACH;
	c->last_seen = clock_now(m->clock);
	c->last_mutual = c->last_seen;
	g_strlcpy(c->name, name, sizeof(c->name));
	g_ptr_array_add(m->centres, c);
	g_ptr_array_sort(m->centres, centre_order);
	return c;
}

bool peer_local(const struct membership *m, const struct peer *p)
{
	return p->centre == m->self->centre;
}

bool peer_is_live(const struct peer *p)
{
	return p->confirmed && !p->forgotten && p->level != LEVEL_DEAD;
}

void table_changed(struct membership *m)
{
	m->ring_stale = true;
	m->hashes_stale = true;
	m->last_change = clock_now(m->clock);
}

void peer_set_names(struct membership *m, struct peer *p,
		    const struct member *member)
{
	struct centre *c = centre_get(m, member->data_centre);

	if (!c)
		return;
	p->centre = c;
	g_strlcpy(p->view.name, member->name, MEMBER_NAME_MAX);
	g_strlcpy(p->view.data_centre, member->data_centre, MEMBER_NAME_MAX);
	g_strlcpy(p->view.peer_address, member->peer_address,
		  MEMBER_ADDRESS_MAX);
	g_strlcpy(p->view.http_address, member->http_address,
		  MEMBER_ADDRESS_MAX);
}

struct peer *peer_add(struct membership *m, const struct member *member)
{
	struct peer *p;

	if (m->peers->len >= PEERS_MAX) {
		log_event(LOG_WARNING, "members_full",
			  LOG_S("name", member->name));
		return NULL;
	}
	p = g_new0(struct peer, 1);
	p->update.kind = UPDATE_MEMBER;
	p->view.state = MEMBER_DEAD;
	p->view.id = member->id;
	p->state_since = clock_now(m->clock);
	p->hinted_at = p->state_since;
	p->last_seen = p->state_since;
	peer_set_names(m, p, member);
	if (!p->centre) {
		g_free(p);
		return NULL;
	}
	g_ptr_array_insert(m->peers, (gint)peer_index(m, member->id), p);
	g_hash_table_insert(m->index, &p->view.id, p);
	return p;
}

static enum member_state peer_state(const struct peer *p)
{
	if (!peer_is_live(p) || p->centre->reach == REACH_DOWN)
		return MEMBER_DEAD;
	if (p->leaving)
		return MEMBER_LEAVING;
	if (p->level & LEVEL_SUSPECT || p->centre->reach == REACH_SUSPECT)
		return MEMBER_SUSPECT;
	return MEMBER_ALIVE;
}

static void peer_report(struct membership *m, struct peer *p,
			enum member_state state)
{
	enum member_state old = p->view.state;
	bool reported = p->reported;

	p->view.state = state;
	p->reported = true;
	if (m->ops.changed)
		m->ops.changed(m->ctx, &p->view, reported ? &old : NULL);
}

void peer_refresh(struct membership *m, struct peer *p)
{
	enum member_state state = peer_state(p);

	if (state != p->view.state)
		peer_report(m, p, state);
}

/* Deaths declared while others held this instance dead were seen from its side
 * of a partition only: the state of those peers is requested again. */
static void dead_peers_reset(struct membership *m)
{
	for (guint i = 0; i < m->peers->len; i++) {
		struct peer *p = m->peers->pdata[i];

		if (!peer_local(m, p) || p->level != LEVEL_DEAD)
			continue;
		p->level = 0;
		p->confirmed = false;
		p->join_attempts = 0;
		update_remove(m, &p->update);
	}
}

void incarnation_raise(struct membership *m, uint64_t above)
{
	struct peer *self = m->self;

	self->view.incarnation = MAX(above, self->view.incarnation) + 1;
	self->level = 0;
	self->send_names = true;
	m->uncertain = false;
	m->stats.refuted++;
	dead_peers_reset(m);
	table_changed(m);
	update_add(m, &self->update);
	log_event(LOG_WARNING, "incarnation_raised",
		  LOG_S("name", self->view.name),
		  LOG_D("incarnation", self->view.incarnation));
	if (m->ops.refuted)
		m->ops.refuted(m->ctx, self->view.incarnation);
}

static void self_merge(struct membership *m, const struct item *row)
{
	struct peer *self = m->self;

	if (row->version < self->view.incarnation)
		return;
	if (row->version > self->view.incarnation ||
	    row->number >= LEVEL_DEAD - 2) {
		incarnation_raise(m, row->version);
		return;
	}
	if (row->number <= self->level)
		return;
	self->level = ((uint32_t)row->number | LEVEL_SUSPECT) + 1;
	self->send_names = false;
	table_changed(m);
	update_add(m, &self->update);
}

static bool row_newer(const struct peer *p, const struct item *row)
{
	if (row->version != p->view.incarnation)
		return row->version > p->view.incarnation;
	return !p->confirmed || row->number > p->level;
}

static void text_copy(char *to, const struct text *text)
{
	memcpy(to, text->data, text->size);
	to[text->size] = '\0';
}

static void row_to_member(const struct item *row, struct member *member)
{
	memset(member, 0, sizeof(*member));
	member->id = row->id;
	text_copy(member->name, &row->names[0]);
	text_copy(member->data_centre, &row->names[1]);
	text_copy(member->peer_address, &row->names[2]);
	text_copy(member->http_address, &row->names[3]);
}

static void row_store(struct membership *m, struct peer *p,
		      const struct item *row)
{
	bool is_new_incarnation = row->version > p->view.incarnation;

	if (is_new_incarnation && p->view.state != MEMBER_DEAD)
		peer_report(m, p, MEMBER_DEAD);
	p->view.incarnation = row->version;
	p->level = row->number;
	p->leaving = row->leaving;
	p->send_names = is_new_incarnation || !p->confirmed;
	p->confirmed = true;
	p->state_since = clock_now(m->clock);
	if (p->level != LEVEL_DEAD)
		p->forgotten = false;
	if (!(p->level & LEVEL_SUSPECT))
		p->last_seen = p->state_since;
	peer_refresh(m, p);
	table_changed(m);
}

bool row_apply(struct membership *m, const struct item *row, bool disseminate)
{
	struct peer *p = peer_find(m, row->id);
	struct member member;

	if (p == m->self) {
		self_merge(m, row);
		return true;
	}
	if (row->kind == ITEM_NAMED)
		row_to_member(row, &member);
	if (!p) {
		if (row->number == LEVEL_DEAD)
			return true;
		if (row->kind != ITEM_NAMED)
			return false;
		p = peer_add(m, &member);
		if (!p)
			return true;
	}
	if (!row_newer(p, row))
		return true;
	/* A new incarnation may have another address: the names are needed. */
	if (row->kind != ITEM_NAMED && row->number != LEVEL_DEAD &&
	    p->confirmed && row->version > p->view.incarnation)
		return false;
	if (row->kind == ITEM_NAMED)
		peer_set_names(m, p, &member);
	row_store(m, p, row);
	if (disseminate)
		update_add(m, &p->update);
	return true;
}

void peer_set_level(struct membership *m, struct peer *p, uint32_t level)
{
	p->level = level;
	p->state_since = clock_now(m->clock);
	p->send_names = false;
	peer_refresh(m, p);
	table_changed(m);
	update_add(m, &p->update);
}

static uint64_t peer_hash(const struct peer *p)
{
	uint64_t version = (uint64_t)p->level << 1 | p->leaving;

	return id_mix(id_mix(p->view.id, p->view.incarnation), version);
}

void hashes_update(struct membership *m)
{
	if (!m->hashes_stale)
		return;
	m->hashes_stale = false;
	for (guint i = 0; i < m->centres->len; i++)
		((struct centre *)m->centres->pdata[i])->hash = 0;
	for (guint i = 0; i < m->peers->len; i++) {
		const struct peer *p = m->peers->pdata[i];

		if (peer_is_live(p))
			p->centre->hash ^= peer_hash(p);
	}
	m->view_hash = m->facts_hash;
	m->reach_hash = 0;
	for (guint i = 0; i < m->centres->len; i++) {
		const struct centre *c = m->centres->pdata[i];
		uint64_t reach = c->version << 2 | c->reach;

		if (c->hash)
			m->view_hash ^= id_mix(c->id, c->hash);
		if (c->version)
			m->reach_hash ^= id_mix(c->id, reach);
	}
}

/* Reachability of data centres is shared within a data centre only. */
uint64_t view_hash_for(struct membership *m, uint64_t id)
{
	const struct peer *p = peer_find(m, id);

	hashes_update(m);
	if (!p || !peer_local(m, p))
		return m->view_hash;
	return m->view_hash ^ m->reach_hash;
}

static bool peer_unlisted(const struct membership *m, const struct peer *p,
			  int64_t now)
{
	return m->last_hint_at - p->hinted_at > FORGET_UNLISTED_USEC &&
	       now - p->state_since > FORGET_UNLISTED_USEC;
}

static bool peer_forgettable(const struct membership *m, const struct peer *p,
			     int64_t now)
{
	if (p == m->self || p->forgotten || p->view.state != MEMBER_DEAD)
		return false;
	if (peer_unlisted(m, p, now))
		return true;
	return p->level == LEVEL_DEAD &&
	       now - p->state_since > FORGET_DEAD_USEC;
}

static void peer_remove(struct membership *m, guint at)
{
	struct peer *p = m->peers->pdata[at];

	update_remove(m, &p->update);
	g_hash_table_remove(m->index, &p->view.id);
	g_ptr_array_remove_index(m->peers, at);
	g_free(p);
}

void table_sweep(struct membership *m)
{
	int64_t now = clock_now(m->clock);

	for (guint i = m->peers->len; i-- > 0;) {
		struct peer *p = m->peers->pdata[i];

		if (p->forgotten && now - p->state_since > TOMBSTONE_USEC) {
			peer_remove(m, i);
			table_changed(m);
		} else if (peer_forgettable(m, p, now)) {
			p->forgotten = true;
			p->state_since = now;
			update_remove(m, &p->update);
			table_changed(m);
		}
	}
}
