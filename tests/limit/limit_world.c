#include "limit_world.h"

#define STEP_USEC (5 * USEC_PER_MSEC)
#define TELL_USEC (400 * USEC_PER_MSEC)
#define URGENT_USEC (100 * USEC_PER_MSEC)
#define NEAR_USEC (5 * USEC_PER_MSEC)
#define FAR_USEC (10 * USEC_PER_MSEC)
#define TELLERS 2
#define ACCOUNT 1
/* A request's tokens are between these. */
#define UNITS_LEAST 2000
#define UNITS_MOST 11000
/* An entry in a datagram, and the datagram's own share. */
#define ENTRY_BYTES 45

struct world_letter {
	int64_t at;
	uint32_t to;
	struct limit_source source;
	struct limit_entry entry;
};

struct world_use {
	int64_t at;
	double units;
};

static int centre_of(uint32_t instance)
{
	return (int)(instance % WORLD_CENTRES);
}

static struct limit_allotment allotment(const struct world *world)
{
	return (struct limit_allotment){WORLD_RATE * world->rate_part,
					WORLD_BURST * world->rate_part};
}

static void instance_start(struct world *world, uint32_t i, bool may_have_peers)
{
	const struct limit_settings settings = {
		.policy = world->policy,
		.now = world->now,
		.epoch = ++world->starts * 1000,
		.may_have_peers = may_have_peers,
	};

	world->limits[i] = limits_create(&settings);
	world->told_at[i] =
		world->now - g_rand_int_range(world->rand, 0, TELL_USEC);
}

struct world *world_open(enum limit_policy policy, uint32_t count,
			 uint32_t seed)
{
	struct world *world = g_new0(struct world, 1);

	world->rand = g_rand_new_with_seed(seed);
	world->policy = policy;
	world->count = count;
	world->callers = MIN(count, 5);
	world->asked_part = 1.0 / 1.8;
	world->rate_part = 1.0;
	world->centre_cut = -1;
	world->now = 60 * USEC_PER_SEC;
	world->letters = g_array_new(FALSE, FALSE, sizeof(struct world_letter));
	world->uses = g_array_new(FALSE, FALSE, sizeof(struct world_use));
	for (uint32_t i = 0; i < count; i++)
		instance_start(world, i, false);
	return world;
}

void world_close(struct world *world)
{
	for (uint32_t i = 0; i < world->count; i++)
		limits_destroy(world->limits[i]);
	g_array_unref(world->letters);
	g_array_unref(world->uses);
	g_rand_free(world->rand);
	g_free(world);
}

/* What was on its way to a process is lost with it. */
static void letters_lose(struct world *world, uint32_t from, uint32_t to)
{
	for (guint i = world->letters->len; i-- > 0;) {
		const struct world_letter *letter =
			&g_array_index(world->letters, struct world_letter, i);

		if (letter->to >= from && letter->to < to)
			g_array_remove_index(world->letters, i);
	}
}

void world_restart(struct world *world, uint32_t from, uint32_t to)
{
	letters_lose(world, from, to);
	for (uint32_t i = from; i < to; i++) {
		limits_destroy(world->limits[i]);
		instance_start(world, i, true);
		world->alone_until[i] = world->now + world->alone_usec;
	}
}

static bool is_up(const struct world *world, uint32_t i)
{
	return world->now >= world->still_until[i];
}

static bool reaches(const struct world *world, uint32_t from, uint32_t to)
{
	bool cut = centre_of(from) == world->centre_cut;

	if (world->now < MAX(world->alone_until[from], world->alone_until[to]))
		return false;
	return cut == (centre_of(to) == world->centre_cut);
}

static void letters_send(struct world *world, uint32_t from, bool sums)
{
	uint32_t each = MAX(world->count / WORLD_CENTRES, 1u);
	struct limit_entry entry;
	struct world_letter letter = {
		.source = {from + 1, sums ? (uint64_t)centre_of(from) + 1 : 0},
	};

	if (limit_export(world->limits[from], world->now, sums, &entry, 1) == 0)
		return;
	letter.entry = entry;
	letter.at = world->now + (sums ? FAR_USEC : NEAR_USEC);
	for (uint32_t to = 0; to < world->count; to++) {
		bool near = centre_of(to) == centre_of(from);

		if (to == from || near == sums || !reaches(world, from, to))
			continue;
		/* Of each data centre two tell an instance elsewhere. */
		if (sums && (from / WORLD_CENTRES + to) % each >= TELLERS)
			continue;
		letter.to = to;
		g_array_append_val(world->letters, letter);
		world->bytes += ENTRY_BYTES;
	}
}

static void instance_tell(struct world *world, uint32_t i)
{
	bool urgent = limit_urgent(world->limits[i]);
	int64_t since = world->now - world->told_at[i];

	if (since < TELL_USEC && !(urgent && since >= URGENT_USEC))
		return;
	world->told_at[i] = world->now;
	letters_send(world, i, false);
	letters_send(world, i, true);
	limit_exported(world->limits[i]);
}

static void letters_deliver(struct world *world)
{
	const struct limit_allotment in_force = allotment(world);

	for (guint i = world->letters->len; i-- > 0;) {
		struct world_letter letter =
			g_array_index(world->letters, struct world_letter, i);

		if (letter.at > world->now || !is_up(world, letter.to))
			continue;
		limit_merge(world->limits[letter.to], world->now,
			    &letter.source, &letter.entry, &in_force);
		g_array_remove_index(world->letters, i);
	}
}

static void request_come(struct world *world, uint32_t i)
{
	struct limit_refusal refusal;
	struct limit_request request = {
		.account = ACCOUNT,
		.allotment = allotment(world),
		.units = g_rand_int_range(world->rand, UNITS_LEAST, UNITS_MOST),
		.sharers = world->count,
	};
	struct world_use use = {world->now, request.units};

	world->asked += request.units;
	if (!is_up(world, i) ||
	    !limit_take(world->limits[i], world->now, &request, &refusal))
		return;
	world->admitted += request.units;
	g_array_append_val(world->uses, use);
}

static void requests_come_to(struct world *world, uint32_t i, double expected)
{
	while (expected > 0.0) {
		if (g_rand_double(world->rand) < expected)
			request_come(world, i);
		expected -= 1.0;
	}
}

/* Callers ask at random, all alike on average. */
static void requests_come(struct world *world)
{
	double units = (UNITS_LEAST + UNITS_MOST) / 2.0;
	double expected = world->asked_part * WORLD_RATE / units *
			  ((double)STEP_USEC / (double)USEC_PER_SEC) /
			  world->callers;

	for (uint32_t i = 0; i < world->callers; i++)
		requests_come_to(world, i, expected);
}

void world_run(struct world *world, int64_t msec)
{
	int64_t end = world->now + msec * USEC_PER_MSEC;

	while (world->now < end) {
		world->now += STEP_USEC;
		letters_deliver(world);
		requests_come(world);
		for (uint32_t i = 0; i < world->count; i++)
			if (is_up(world, i))
				instance_tell(world, i);
	}
}

double world_most(const struct world *world)
{
	double most = 0.0;
	double sum = 0.0;
	guint from = 0;

	for (guint to = 0; to < world->uses->len; to++) {
		const struct world_use *last =
			&g_array_index(world->uses, struct world_use, to);

		sum += last->units;
		while (last->at - g_array_index(world->uses, struct world_use,
						from)
					  .at >
		       WORLD_WINDOW_SEC * USEC_PER_SEC)
			sum -= g_array_index(world->uses, struct world_use,
					     from++)
				       .units;
		most = MAX(most, sum);
	}
	return most;
}

double world_allowed(const struct world *world)
{
	const struct limit_allotment in_force = allotment(world);

	return in_force.rate * WORLD_WINDOW_SEC + in_force.burst;
}
