#include "uneven_world.h"

#include <math.h>

#include "common/log.h"

const struct engine_traits uneven_traits = {.slots = 12,
					    .memory_tokens = 26415};

double pace_of(const struct sim *sim, uint32_t i)
{
	const struct server *server = &sim->servers[i];

	if (sim->alike)
		return 1.0;
	return (server->fast ? 0.55 : 1.2) *
	       (server->slow_now ? SLOW_FACTOR : 1.0);
}

static bool chance(struct sim *sim, double part)
{
	return g_rand_double(sim->arrival) < part;
}

/* Log-normal with that mean. */
static double draw(struct sim *sim, double mean, double sigma)
{
	double u = 1.0 - g_rand_double(sim->arrival);
	double normal = sqrt(-2.0 * log(u)) *
			cos(2.0 * G_PI * g_rand_double(sim->arrival));

	return mean * exp(sigma * normal - sigma * sigma / 2.0);
}

static void paces_step(struct sim *sim)
{
	double leave = STEP_MSEC / SLOW_MSEC;
	double enter = leave * SLOW_PART / (1.0 - SLOW_PART);

	for (uint32_t i = 0; i < SERVERS; i++)
		if (chance(sim, sim->servers[i].slow_now ? leave : enter))
			sim->servers[i].slow_now = !sim->servers[i].slow_now;
	speeds_announce(sim, sim->actual, STEP_MSEC / 1000.0);
	for (uint32_t i = 0; i < CENTRES; i++)
		if (sim->step % sim->interval[REMOTE] == 0)
			speeds_announce(sim, sim->speeds[i],
					sim->interval[REMOTE] * STEP_MSEC /
						1000.0);
}

/* ---- views ---- */

static void load_add(struct load_sum *sum, const struct backend_load *load,
		     int times)
{
	sum->requests += times * (int64_t)load->requests;
	sum->decode_tokens += times * (int64_t)load->decode_tokens;
	sum->prefill_tokens += times * (int64_t)load->prefill_tokens;
}

static void announce(struct sim *sim, uint32_t at, enum load_kind kind)
{
	struct instance *instance = &sim->instances[at];

	for (uint32_t i = 0; i < SERVERS; i++) {
		struct load_sum *sum = &sim->sums[at % CENTRES][kind][i];

		load_add(sum, &instance->announced[kind][i], -1);
		instance->announced[kind][i] = instance->backends[i]->own;
		load_add(sum, &instance->announced[kind][i], 1);
	}
}

void view_load(struct sim *sim, uint32_t at)
{
	struct instance *instance = &sim->instances[at];
	uint32_t here = at % CENTRES;

	for (uint32_t i = 0; i < SERVERS; i++) {
		struct load_sum *peers = &instance->backends[i]->peers;

		*peers = sim->sums[here][LOCAL][i];
		load_add(peers, &instance->announced[LOCAL][i], -1);
		for (uint32_t c = 0; c < CENTRES; c++) {
			const struct load_sum *sum = &sim->sums[c][REMOTE][i];

			if (c == here)
				continue;
			peers->requests += sum->requests;
			peers->decode_tokens += sum->decode_tokens;
			peers->prefill_tokens += sum->prefill_tokens;
		}
	}
}

void stream_charge(struct instance *instance, struct stream *stream, bool run,
		   int times)
{
	const struct backend_load load = {
		.requests = 1,
		.decode_tokens = run ? stream->charged : 0,
		.prefill_tokens = run ? 0 : stream->prompt,
	};

	backend_charge(
		instance->backends[run ? stream->decode : stream->prefill],
		&load, times);
}

/* ---- time ---- */

static bool counts(const struct stream *stream)
{
	return stream->arrived >= FROM_MSEC &&
	       stream->arrived < END_MSEC - 2000;
}

static void stream_arrive(struct sim *sim)
{
	struct stream *stream = g_new0(struct stream, 1);
	double output = draw(sim, OUTPUT_MEAN, 0.5);

	stream->instance =
		(uint32_t)g_rand_int_range(sim->arrival, 0, (gint32)sim->count);
	stream->arrived = sim->step * STEP_MSEC;
	stream->prompt =
		(uint32_t)CLAMP(draw(sim, PROMPT_MEAN, 0.4), 200, 9000);
	stream->charged = stream->prompt + (uint32_t)CLAMP(output, 20, 4000);
	stream->left = (double)stream->prompt;
	sim->asked += counts(stream);
	g_queue_push_tail(&sim->instances[stream->instance].waiting, stream);
}

static void instance_step(struct sim *sim, uint32_t at)
{
	GQueue *waiting = &sim->instances[at].waiting;
	int now = sim->step * STEP_MSEC;
	struct stream *stream;

	while ((stream = g_queue_peek_head(waiting))) {
		if (now - stream->arrived >= TARGET_MSEC)
			g_free(stream);
		else if (!stream_place(sim, stream))
			break;
		g_queue_pop_head(waiting);
	}
	for (int kind = 0; kind < KINDS; kind++)
		if ((sim->step + (int)at) % sim->interval[kind] == 0)
			announce(sim, at, kind);
}

static void server_step(struct sim *sim, uint32_t at)
{
	struct server *server = &sim->servers[at];
	double msec = STEP_MSEC / pace_of(sim, at);
	double tokens = msec * PROMPT_PER_MSEC * (at < PREFILLS ? 1.0 : 0.5);
	double output = msec / (4.34 + 0.151 * server->runs->len);
	struct stream *stream;

	for (guint i = server->runs->len; i > 0; i--) {
		stream = server->runs->pdata[i - 1];
		stream->left -= output;
		if (stream->left > 0.0)
			continue;
		server->held -= stream->charged;
		stream_charge(&sim->instances[stream->instance], stream, true,
			      -1);
		g_ptr_array_remove_index_fast(server->runs, i - 1);
		g_free(stream);
	}
	while (tokens > 0.0 && (stream = g_queue_peek_head(&server->prompts))) {
		double done = MIN(tokens, stream->left);

		stream->left -= done;
		tokens -= done;
		if (stream->left > 0.0)
			return;
		g_queue_pop_head(&server->prompts);
		stream_charge(&sim->instances[stream->instance], stream, false,
			      -1);
		stream->left = stream->charged - stream->prompt;
		g_ptr_array_add(sim->servers[stream->decode].runs, stream);
		sim->in_time += counts(stream) &&
				sim->step * STEP_MSEC + 20 - stream->arrived <=
					TARGET_MSEC;
	}
}

static void sim_open(struct sim *sim)
{
	static const char *const centres[CENTRES] = {"a", "b", "c"};

	sim->clock = clock_create(0);
	clock_advance(sim->clock, 100 * USEC_PER_SEC);
	sim->instances = g_new0(struct instance, sim->count);
	for (uint32_t i = 0; i < sim->count; i++)
		sim->instances[i].fleet =
			fleet_create(sim->clock, centres[i % CENTRES]);
	for (uint32_t i = 0; i < CENTRES; i++) {
		sim->speeds[i] = g_new0(struct speeds, 1);
		sim->speeds[i]->keys = sim->keys;
	}
	sim->actual = g_new0(struct speeds, 1);
	sim->actual->keys = sim->keys;
	for (uint32_t s = 0; s < SERVERS; s++) {
		struct backend_info info = {
			.service = SERVICE,
			.stage = s < PREFILLS ? STAGE_PREFILL : STAGE_DECODE,
			.slots = 12,
		};

		g_snprintf(info.id, sizeof(info.id), "s%u", s);
		g_strlcpy(info.address, "127.0.0.1:1", sizeof(info.address));
		g_strlcpy(info.data_centre, centres[s % CENTRES],
			  sizeof(info.data_centre));
		for (uint32_t i = 0; i < sim->count; i++)
			sim->instances[i].backends[s] =
				fleet_put(sim->instances[i].fleet, &info);
		sim->servers[s].fast = s % 4 == 1;
		sim->servers[s].runs = g_ptr_array_new();
		for (uint32_t i = 0; i < CENTRES; i++)
			sim->speeds[i]->mean[s] = pace_of(sim, s);
		sim->keys[s] = backend_key(&info);
	}
}

static void sim_close(struct sim *sim)
{
	for (uint32_t i = 0; i < sim->count; i++) {
		g_queue_clear_full(&sim->instances[i].waiting, g_free);
		fleet_destroy(sim->instances[i].fleet);
	}
	for (uint32_t i = 0; i < SERVERS; i++) {
		g_queue_clear_full(&sim->servers[i].prompts, g_free);
		g_ptr_array_set_free_func(sim->servers[i].runs, g_free);
		g_ptr_array_unref(sim->servers[i].runs);
	}
	for (uint32_t i = 0; i < CENTRES; i++)
		g_free(sim->speeds[i]);
	g_free(sim->actual);
	g_free(sim->instances);
	clock_destroy(sim->clock);
	g_rand_free(sim->rand);
	g_rand_free(sim->arrival);
	g_free(sim);
}

/* Part of the streams whose first event was in time. */
double sim_run(enum way way, uint32_t count, double demand, bool alike,
	       uint32_t seed)
{
	/* As gossip_interval(): a third of the instances is local. */
	uint32_t local = MIN(100 * MAX(count / CENTRES / 6, 1), 1000);
	uint32_t remote = MIN(100 * MAX(count * 2 / CENTRES / 8, 1), 400);
	struct sim *sim = g_new0(struct sim, 1);
	double result;

	log_setup(NULL, "test", LOG_ERR);
	sim->way = way;
	sim->alike = alike;
	sim->count = count;
	sim->per_sec = demand * CAPACITY_PER_SEC;
	sim->interval[LOCAL] = (int)local / STEP_MSEC;
	sim->interval[REMOTE] = (int)remote / STEP_MSEC;
	sim->rand = g_rand_new_with_seed(seed);
	sim->arrival = g_rand_new_with_seed(seed);
	sim_open(sim);
	for (sim->step = 0; sim->step * STEP_MSEC < END_MSEC; sim->step++) {
		double due = sim->per_sec * STEP_MSEC / 1000.0;

		clock_advance(sim->clock, clock_now(sim->clock) +
						  STEP_MSEC * USEC_PER_MSEC);
		paces_step(sim);
		for (int i = 0; i < 8; i++)
			if (chance(sim, due / 8.0))
				stream_arrive(sim);
		for (uint32_t i = 0; i < count; i++)
			instance_step(sim, i);
		for (uint32_t i = 0; i < SERVERS; i++)
			server_step(sim, i);
	}
	result = sim->in_time / (double)MAX(sim->asked, 1);
	sim_close(sim);
	return result;
}
