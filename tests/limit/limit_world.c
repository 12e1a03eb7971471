#include "limit_world.h"

#define STEP_USEC (5 * USEC_PER_MSEC)
#define SEND_USEC (400 * USEC_PER_MSEC)
#define URGENT_USEC (100 * USEC_PER_MSEC)
#define LOCAL_DELAY_USEC (5 * USEC_PER_MSEC)
#define REMOTE_DELAY_USEC (10 * USEC_PER_MSEC)
#define SENDERS_PER_CENTRE 2
#define ACCOUNT 1
/* Range of a request's tokens. */
#define UNITS_MIN 2000
#define UNITS_MAX 11000
/* Size of an entry in a datagram, with its part of the datagram's header. */
#define ENTRY_BYTES 45

struct world_message {
	int64_t at;
	uint32_t to;
	struct limit_source source;
	struct limit_entry entry;
};

struct admitted_request {
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
	world->sent_at[i] =
		world->now - g_rand_int_range(world->rand, 0, SEND_USEC);
}

struct world *world_open(enum limit_policy policy, uint32_t count,
			 uint32_t seed)
{
	struct world *world = g_new0(struct world, 1);

	world->rand = g_rand_new_with_seed(seed);
	world->policy = policy;
	world->count = count;
	world->callers = MIN(count, 5);
	world->requested_part = 1.0 / 1.8;
	world->rate_part = 1.0;
	world->centre_partitioned = -1;
	world->now = 60 * USEC_PER_SEC;
	world->messages =
		g_array_new(FALSE, FALSE, sizeof(struct world_message));
	world->admitted_requests =
		g_array_new(FALSE, FALSE, sizeof(struct admitted_request));
	for (uint32_t i = 0; i < count; i++)
		instance_start(world, i, false);
	return world;
}

void world_close(struct world *world)
{
	for (uint32_t i = 0; i < world->count; i++)
		limits_destroy(world->limits[i]);
	g_array_unref(world->messages);
	g_array_unref(world->admitted_requests);
	g_rand_free(world->rand);
	g_free(world);
}

/* Drops the messages in flight to processes that stop. */
static void messages_drop(struct world *world, uint32_t from, uint32_t to)
{
	for (guint i = world->messages->len; i-- > 0;) {
		const struct world_message *message = &g_array_index(
			world->messages, struct world_message, i);

		if (message->to >= from && message->to < to)
			g_array_remove_index(world->messages, i);
	}
}

void world_restart(struct world *world, uint32_t from, uint32_t to)
{
	messages_drop(world, from, to);
	for (uint32_t i = from; i < to; i++) {
		limits_destroy(world->limits[i]);
		instance_start(world, i, true);
		world->isolated_until[i] = world->now + world->isolated_usec;
	}
}

static bool is_up(const struct world *world, uint32_t i)
{
	return world->now >= world->paused_until[i];
}

static bool reaches(const struct world *world, uint32_t from, uint32_t to)
{
	bool partitioned = centre_of(from) == world->centre_partitioned;

	if (world->now <
	    MAX(world->isolated_until[from], world->isolated_until[to]))
		return false;
	return partitioned == (centre_of(to) == world->centre_partitioned);
}

static void messages_send(struct world *world, uint32_t from, bool sums)
{
	uint32_t instances_per_centre = MAX(world->count / WORLD_CENTRES, 1u);
	struct limit_entry entry;
	struct world_message message = {
		.source = {from + 1, sums ? (uint64_t)centre_of(from) + 1 : 0},
	};

	if (limit_export(world->limits[from], world->now, sums, &entry, 1) == 0)
		return;
	message.entry = entry;
	message.at = world->now + (sums ? REMOTE_DELAY_USEC : LOCAL_DELAY_USEC);
	for (uint32_t to = 0; to < world->count; to++) {
		bool is_local = centre_of(to) == centre_of(from);

		if (to == from || is_local == sums || !reaches(world, from, to))
			continue;
		/* Two instances of each data centre send to an instance of
		 * another one. */
		if (sums &&
		    (from / WORLD_CENTRES + to) % instances_per_centre >=
			    SENDERS_PER_CENTRE)
			continue;
		message.to = to;
		g_array_append_val(world->messages, message);
		world->bytes += ENTRY_BYTES;
	}
}

static void instance_send(struct world *world, uint32_t i)
{
	bool urgent = limit_urgent(world->limits[i]);
	int64_t since = world->now - world->sent_at[i];

	if (since < SEND_USEC && !(urgent && since >= URGENT_USEC))
		return;
	world->sent_at[i] = world->now;
	messages_send(world, i, false);
	messages_send(world, i, true);
	limit_exported(world->limits[i]);
}

static void messages_deliver(struct world *world)
{
	const struct limit_allotment current = allotment(world);

	for (guint i = world->messages->len; i-- > 0;) {
		struct world_message message =
			g_array_index(world->messages, struct world_message, i);

		if (message.at > world->now || !is_up(world, message.to))
			continue;
		limit_merge(world->limits[message.to], world->now,
			    &message.source, &message.entry, &current);
		g_array_remove_index(world->messages, i);
	}
}

static void request_arrive(struct world *world, uint32_t i)
{
	struct limit_refusal refusal;
	struct limit_request request = {
		.account = ACCOUNT,
		.allotment = allotment(world),
		.units = g_rand_int_range(world->rand, UNITS_MIN, UNITS_MAX),
		.sharers = world->count,
	};
	struct admitted_request use = {world->now, request.units};

	world->requested += request.units;
	if (!is_up(world, i) ||
	    !limit_take(world->limits[i], world->now, &request, &refusal))
		return;
	world->admitted += request.units;
	g_array_append_val(world->admitted_requests, use);
}

static void requests_arrive_at(struct world *world, uint32_t i, double expected)
{
	while (expected > 0.0) {
		if (g_rand_double(world->rand) < expected)
			request_arrive(world, i);
		expected -= 1.0;
	}
}

/* Callers send requests at random times, at equal average rates. */
static void requests_arrive(struct world *world)
{
	double units = (UNITS_MIN + UNITS_MAX) / 2.0;
	double expected = world->requested_part * WORLD_RATE / units *
			  ((double)STEP_USEC / (double)USEC_PER_SEC) /
			  world->callers;

	for (uint32_t i = 0; i < world->callers; i++)
		requests_arrive_at(world, i, expected);
}

void world_run(struct world *world, int64_t msec)
{
	int64_t end = world->now + msec * USEC_PER_MSEC;

	while (world->now < end) {
		world->now += STEP_USEC;
		messages_deliver(world);
		requests_arrive(world);
		for (uint32_t i = 0; i < world->count; i++)
			if (is_up(world, i))
				instance_send(world, i);
	}
}

double world_max_admitted(const struct world *world)
{
	double max = 0.0;
	double sum = 0.0;
	guint from = 0;

	for (guint to = 0; to < world->admitted_requests->len; to++) {
		const struct admitted_request *last = &g_array_index(
			world->admitted_requests, struct admitted_request, to);

		sum += last->units;
		while (last->at - g_array_index(world->admitted_requests,
						struct admitted_request, from)
					  .at >
		       WORLD_WINDOW_SEC * USEC_PER_SEC)
			sum -= g_array_index(world->admitted_requests,
					     struct admitted_request, from++)
				       .units;
		max = MAX(max, sum);
	}
	return max;
}

double world_allowed(const struct world *world)
{
	const struct limit_allotment current = allotment(world);

	return current.rate * WORLD_WINDOW_SEC + current.burst;
}
