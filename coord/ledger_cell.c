#include "ledger_parts.h"

#include <string.h>

#include "coord/cell_load.h"

/* A settling home asks those it has not heard of so many times. */
#define SETTLE_STEPS 8

static void settle_timer(struct timer *timer, void *ctx);
static void scan_timer(struct timer *timer, void *ctx);

guint tag_hash(const void *key)
{
	const struct tag *tag = key;

	return (guint)(tag->owner.instance ^ tag->owner.incarnation * 31 ^
		       tag->request * UINT64_C(0x9e3779b97f4a7c15) >> 32);
}

gboolean tag_equal(const void *a, const void *b)
{
	const struct tag *x = a;
	const struct tag *y = b;

	return x->request == y->request && owner_equal(&x->owner, &y->owner);
}

bool owner_equal(const struct owner *a, const struct owner *b)
{
	return a->instance == b->instance && a->incarnation == b->incarnation;
}

bool owner_alive(const struct ledger *ledger, const struct owner *owner)
{
	const struct member *member =
		membership_find(ledger->membership, owner->instance);

	if (member == NULL)
		return false;
	if (member->incarnation != owner->incarnation)
		return owner->incarnation > member->incarnation;
	return member->state != MEMBER_DEAD;
}

struct service *service_find(const struct ledger *ledger, uint32_t id)
{
	for (guint i = 0; i < ledger->services->len; i++) {
		struct service *service =
			g_ptr_array_index(ledger->services, i);

		if (service->id == id)
			return service;
	}
	return NULL;
}

struct cell *cell_find(const struct ledger *ledger, uint64_t id)
{
	for (guint i = 0; i < ledger->cells->len; i++) {
		struct cell *cell = g_ptr_array_index(ledger->cells, i);

		if (cell->id == id)
			return cell;
	}
	return NULL;
}

uint64_t cell_id_of(struct ledger *ledger, const char *prefill_pool,
		    const char *decode_pool)
{
	const struct member *self = membership_self(ledger->membership);

	return cell_id_of_pools(prefill_pool, decode_pool, self->data_centre);
}

struct cell *cell_create(struct ledger *ledger, uint64_t id,
			 const char *prefill_pool, const char *decode_pool)
{
	struct cell *cell = g_new0(struct cell, 1);

	cell->ledger = ledger;
	cell->id = id;
	cell->prefill_pool = g_strdup(prefill_pool);
	cell->decode_pool = g_strdup(decode_pool);
	timer_init(&cell->settle, ledger->clock, settle_timer, cell);
	timer_init(&cell->scan, ledger->clock, scan_timer, cell);
	cell->announcers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, announcer_destroy);
	cell->fresh = g_ptr_array_new();
	for (int class = 0; class < CLASS_COUNT; class ++)
		cell->lanes[class] = g_sequence_new(NULL);
	cell->asks = g_hash_table_new(tag_hash, tag_equal);
	cell->grants = g_hash_table_new(tag_hash, tag_equal);
	cell->orphans =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	cell->view = g_array_new(FALSE, TRUE, sizeof(struct policy_runner));
	cell->runners = g_ptr_array_new_with_free_func(runner_destroy);
	cell->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	cell->prefix = prefix_create();
	cell->depth = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	cell->grant_counts = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	records_init(cell);
	replica_init(cell);
	announce_init(cell);
	level_init(cell);
	remote_init(cell);
	return cell;
}

void cell_destroy(struct cell *cell)
{
	if (cell->is_home)
		home_stop(cell);
	announce_stop(cell);
	remote_clear(cell);
	records_clear(cell);
	replica_clear(cell);
	g_ptr_array_free(cell->announce.chunks, TRUE);
	g_hash_table_destroy(cell->records);
	g_array_free(cell->replication.dirty, TRUE);
	g_hash_table_destroy(cell->announcers);
	g_ptr_array_free(cell->fresh, TRUE);
	for (int class = 0; class < CLASS_COUNT; class ++)
		g_sequence_free(cell->lanes[class]);
	g_hash_table_destroy(cell->asks);
	g_hash_table_destroy(cell->grants);
	g_ptr_array_free(cell->orphans, TRUE);
	g_hash_table_destroy(cell->by_id);
	g_ptr_array_free(cell->runners, TRUE);
	g_array_free(cell->view, TRUE);
	prefix_destroy(cell->prefix);
	g_array_free(cell->depth, TRUE);
	g_array_free(cell->grant_counts, TRUE);
	g_free(cell->prefill_pool);
	g_free(cell->decode_pool);
	g_free(cell);
}

static void scan_timer(struct timer *timer, void *ctx)
{
	queue_scan(ctx);
}

GPtrArray *cell_asks(const struct cell *cell)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, cell->asks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	return list;
}

void cell_wake(struct cell *cell)
{
	if (cell->is_home && cell->settled)
		timer_start(&cell->scan, 0);
}

/* The n-th member of this data centre that is not dead, its own included. */
static const struct member *neighbour(const struct ledger *ledger,
				      uint32_t *cursor)
{
	const struct member *self = membership_self(ledger->membership);
	const struct member *member;

	while ((member = membership_next(ledger->membership, cursor)) != NULL) {
		if (member->state != MEMBER_DEAD &&
		    strcmp(member->data_centre, self->data_centre) == 0)
			return member;
	}
	return NULL;
}

static bool heard(const struct cell *cell, const struct member *member)
{
	const struct announcer *announcer =
		g_hash_table_lookup(cell->announcers, &member->id);

	return announcer != NULL && announcer->complete &&
	       announcer->incarnation >= member->incarnation;
}

void cell_member_died(struct cell *cell, const struct member *member)
{
	if (cell->is_home && !heard(cell, member))
		runners_invalidate(cell);
}

void cell_settle_check(struct cell *cell)
{
	const struct member *member;
	uint32_t cursor = 0;

	if (!cell->is_home || cell->settled)
		return;
	while ((member = neighbour(cell->ledger, &cursor)) != NULL) {
		if (!heard(cell, member))
			return;
	}
	home_settled(cell);
}

static void solicit(struct cell *cell)
{
	const struct member *member;
	uint32_t cursor = 0;

	while ((member = neighbour(cell->ledger, &cursor)) != NULL) {
		if (!heard(cell, member))
			announce_unknown_send(cell, member->id,
					      member->incarnation, 0);
	}
}

static void settle_step(struct cell *cell)
{
	solicit(cell);
	timer_start(&cell->settle,
		    cell->ledger->settings.settle / SETTLE_STEPS);
}

static void settle_timer(struct timer *timer, void *ctx)
{
	struct cell *cell = ctx;

	if (clock_now(cell->ledger->clock) >= cell->settle_by)
		home_settled(cell);
	else
		settle_step(cell);
}

/* When all members are leaving, those that leave serve each other. */
static uint64_t leaving_home(const struct ledger *ledger, uint64_t key,
			     uint32_t rank)
{
	uint64_t best[2] = {0, 0};
	uint64_t weight[2] = {0, 0};
	const struct member *member;
	uint32_t cursor = 0;

	while ((member = neighbour(ledger, &cursor)) != NULL) {
		uint64_t w = id_mix(member->id, key);

		if (best[0] == 0 || w > weight[0]) {
			best[1] = best[0];
			weight[1] = weight[0];
			best[0] = member->id;
			weight[0] = w;
		} else if (best[1] == 0 || w > weight[1]) {
			best[1] = member->id;
			weight[1] = w;
		}
	}
	return best[rank];
}

static uint64_t home_of(const struct ledger *ledger, uint64_t key,
			uint32_t rank)
{
	const struct member *self = membership_self(ledger->membership);
	uint64_t first =
		membership_home(ledger->membership, self->data_centre, key, 0);

	if (first == 0)
		return leaving_home(ledger, key, rank);
	if (rank == 0)
		return first;
	return membership_home(ledger->membership, self->data_centre, key,
			       rank);
}

static uint64_t incarnation_of(const struct ledger *ledger, uint64_t id)
{
	const struct member *member = membership_find(ledger->membership, id);

	return member != NULL ? member->incarnation : 0;
}

static void mark_moved(struct cell *cell)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, cell->ledger->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct item *item = value;

		if (item->cell == cell)
			item->moved = true;
	}
}

void cell_rehome(struct cell *cell)
{
	struct ledger *ledger = cell->ledger;
	uint64_t home = home_of(ledger, cell->id, 0);
	uint64_t replica = home_of(ledger, cell->id, 1);
	uint64_t incarnation = incarnation_of(ledger, home);
	bool moved =
		home != cell->home || incarnation != cell->home_incarnation;
	bool is_home = home == ledger->self;
	bool was_home = cell->is_home;

	if (!moved && replica == cell->replica)
		return;
	cell->home = home;
	cell->home_incarnation = incarnation;
	if (moved && was_home)
		home_stop(cell);
	if (moved && is_home) {
		home_start(cell);
		cell->settle_by =
			clock_now(ledger->clock) + ledger->settings.settle;
		settle_step(cell);
	}
	if (replica != cell->replica || moved) {
		cell->replica = replica;
		replica_restart(cell);
	}
	if (moved) {
		mark_moved(cell);
		announce_start(cell);
	}
	if (was_home != is_home)
		ledger->ops.homes(ledger->ctx);
}
