/* A fake of coord/member.h: the test sets each instance's view of the others,
 * after delays that differ by instance. */
#include "world.h"

#include <string.h>

struct membership {
	struct world *world;
	int self;
	struct member view[INSTANCES_MAX];
	GHashTable *facts; /* key to GBytes; not sent to other instances */
};

struct update {
	struct world *world;
	int subject;
	int target;
	uint64_t incarnation;
	enum member_state state;
};

static void member_init(struct member *member, int index, uint64_t incarnation)
{
	memset(member, 0, sizeof(*member));
	g_snprintf(member->name, sizeof(member->name), "instance-%d", index);
	member->id = id_of(member->name);
	member->incarnation = incarnation;
	g_strlcpy(member->data_centre, "hall-a", sizeof(member->data_centre));
}

struct membership *members_create(struct world *world, int index)
{
	struct membership *membership = g_new0(struct membership, 1);

	membership->world = world;
	membership->self = index;
	membership->facts =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)g_bytes_unref);
	for (int i = 0; i < world->count; i++)
		member_init(&membership->view[i], i, 1);
	return membership;
}

void members_destroy(struct membership *membership)
{
	g_hash_table_destroy(membership->facts);
	g_free(membership);
}

const void *membership_fact_find(const struct membership *membership,
				 uint64_t key, size_t *size)
{
	GBytes *value = g_hash_table_lookup(membership->facts, &key);

	return value != NULL ? g_bytes_get_data(value, size) : NULL;
}

void membership_fact_set(struct membership *membership, uint64_t key,
			 uint64_t version, const void *value, size_t size)
{
	g_hash_table_replace(membership->facts, g_memdup2(&key, sizeof(key)),
			     g_bytes_new(value, size));
}

const struct member *membership_self(const struct membership *membership)
{
	return &membership->view[membership->self];
}

const struct member *membership_find(const struct membership *membership,
				     uint64_t id)
{
	for (int i = 0; i < membership->world->count; i++) {
		if (membership->view[i].id == id)
			return &membership->view[i];
	}
	return NULL;
}

const struct member *membership_next(const struct membership *membership,
				     uint32_t *cursor)
{
	if (*cursor >= (uint32_t)membership->world->count)
		return NULL;
	return &membership->view[(*cursor)++];
}

uint64_t membership_home(const struct membership *membership,
			 const char *data_centre, uint64_t key, uint32_t rank)
{
	uint64_t previous = UINT64_MAX;
	const struct member *best;

	for (uint32_t r = 0; r <= rank; r++) {
		uint64_t best_weight = 0;

		best = NULL;
		for (int i = 0; i < membership->world->count; i++) {
			const struct member *m = &membership->view[i];
			uint64_t weight = id_mix(m->id, key);

			if (m->state > MEMBER_SUSPECT || weight >= previous ||
			    (best != NULL && weight <= best_weight))
				continue;
			best = m;
			best_weight = weight;
		}
		previous = best_weight;
		if (best == NULL)
			return 0;
	}
	return best->id;
}

void members_notify(struct instance *instance)
{
	struct membership *membership = instance->membership;

	ledger_member(instance->ledger, membership_self(membership));
}

static void update_apply(void *data)
{
	struct update *update = data;
	struct instance *instance = &update->world->instances[update->target];
	struct member *member;

	if (!instance->up)
		return;
	if (instance->paused) {
		world_after(update->world, 50 * USEC_PER_MSEC, update_apply,
			    g_memdup2(update, sizeof(*update)), g_free);
		return;
	}
	member = &instance->membership->view[update->subject];
	if (update->incarnation < member->incarnation ||
	    (update->incarnation == member->incarnation &&
	     update->state < member->state))
		return;
	member->incarnation = update->incarnation;
	member->state = update->state;
	ledger_member(instance->ledger, member);
}

static uint64_t incarnation_of(struct world *world, int index)
{
	const struct instance *instance = &world->instances[index];

	return instance->membership->view[index].incarnation;
}

void members_announce(struct world *world, int index, enum member_state state,
		      int64_t delay_max)
{
	for (int i = 0; i < world->count; i++) {
		struct update update = {.world = world,
					.subject = index,
					.target = i,
					.incarnation =
						incarnation_of(world, index),
					.state = state};

		if (i == index && state == MEMBER_DEAD)
			continue;
		if (i == index)
			update_apply(&update);
		else
			world_after(world, world_range(world, 0, delay_max),
				    update_apply,
				    g_memdup2(&update, sizeof(update)), g_free);
	}
}

/* Copies the state of each other instance; one that is down or paused is dead.
 */
void members_refresh(struct world *world, int index)
{
	struct membership *membership = world->instances[index].membership;

	for (int i = 0; i < world->count; i++) {
		const struct instance *other = &world->instances[i];

		if (i == index)
			continue;
		membership->view[i] = other->membership->view[i];
		if (!other->up || other->paused)
			membership->view[i].state = MEMBER_DEAD;
	}
}

uint64_t members_raise_incarnation(struct world *world, int index)
{
	struct member *member =
		&world->instances[index].membership->view[index];

	member->state = MEMBER_ALIVE;
	return ++member->incarnation;
}

bool members_split_brain(struct world *world)
{
	for (int i = 0; i < world->count; i++) {
		const struct instance *home = &world->instances[i];

		if (!home->up || home->paused ||
		    !ledger_is_home(home->ledger, world->engines[2].id))
			continue;
		for (int j = 0; j < world->count; j++) {
			const struct instance *other = &world->instances[j];

			if (other->up &&
			    other->membership->view[i].state == MEMBER_DEAD)
				return true;
		}
	}
	return false;
}

bool members_declared_dead(struct world *world, int index, uint64_t incarnation)
{
	for (int i = 0; i < world->count; i++) {
		const struct instance *other = &world->instances[i];
		const struct member *member;

		if (other->membership == NULL)
			continue;
		member = &other->membership->view[index];
		if (member->incarnation > incarnation ||
		    (member->incarnation == incarnation &&
		     member->state == MEMBER_DEAD))
			return true;
	}
	return false;
}
