#include "world.h"

#include <stdarg.h>
#include <string.h>

#define STATE_DELAY_MAX_USEC (300 * USEC_PER_MSEC)
#define REFUTE_DELAY_MAX_USEC (200 * USEC_PER_MSEC)

int64_t world_range(struct world *world, int64_t low, int64_t high)
{
	return low +
	       (int64_t)(g_rand_double(world->rand) * (double)(high - low));
}

bool world_chance(struct world *world, double p)
{
	return g_rand_double(world->rand) < p;
}

void world_fail(struct world *world, const char *fmt, ...)
{
	va_list args;

	if (world->violation->len > 0)
		return;
	g_string_printf(world->violation, "at %.3f s: ",
			(double)clock_now(world->clock) / USEC_PER_SEC);
	va_start(args, fmt);
	g_string_append_vprintf(world->violation, fmt, args);
	va_end(args);
}

void world_after(struct world *world, int64_t delay, void (*fn)(void *),
		 void *ctx, GDestroyNotify destroy)
{
	call_queue_add(world->call_queue, delay, fn, ctx, destroy);
}

static int index_of(struct world *world, uint64_t id)
{
	for (int i = 0; i < world->count; i++) {
		if (world->instances[i].id == id)
			return i;
	}
	return -1;
}

static void deliver(void *data)
{
	const struct packet *packet = data;
	const struct instance *from = packet->from;
	struct instance *to = packet->to;

	if (!to->up)
		return;
	if (to->paused)
		g_queue_push_tail(
			&to->inbox,
			g_memdup2(packet, sizeof(*packet) + packet->size));
	else
		ledger_receive(to->ledger, from->id, packet->data,
			       packet->size);
}

static void send(void *ctx, uint64_t instance, enum channel channel,
		 const void *payload, size_t size)
{
	struct instance *from = ctx;
	struct world *world = from->world;
	int to = index_of(world, instance);
	struct packet *packet;
	int copies = 1;

	if (to < 0 || channel != CHANNEL_LEDGER)
		return;
	world->messages++;
	world->bytes += size;
	if (to != from->index) {
		if (world->blocked[from->index][to] ||
		    world_chance(world, world->loss_rate))
			return;
		copies += world_chance(world, world->duplicate_rate);
	}
	while (copies-- > 0) {
		packet = packet_create(from, &world->instances[to], channel,
				       payload, size);
		if (size > 0 && world_chance(world, world->corruption_rate))
			packet->data[world_range(world, 0, (int64_t)size)] ^=
				(uint8_t)world_range(world, 1, 256);
		world_after(world,
			    world->extra_delay[from->index][to] +
				    world_range(world, 100, world->delay_max),
			    deliver, packet, g_free);
	}
}

static void poll(struct timer *timer, void *ctx)
{
	engine_poll(ctx);
}

static void send_runners(struct instance *instance)
{
	struct world *world = instance->world;
	struct ledger_runner runners[ENGINES_MAX];

	for (int i = 0; i < world->engine_count; i++) {
		const struct engine *engine = &world->engines[i];

		runners[i] = (struct ledger_runner){
			.id = engine->id,
			.pool = engine->role == POOL_PREFILL ? "prefill"
							     : "decode",
			.data_centre = "hall-a"};
	}
	ledger_runners(instance->ledger, runners, (size_t)world->engine_count);
}

static void config_free(void *data)
{
	struct config *config = data;

	g_free((void *)config->services);
	g_free(config);
}

static const struct config *make_config(struct world *world, const char *policy,
					uint32_t queue_max)
{
	static const struct config_pool pools[] = {
		{.name = "prefill",
		 .role = POOL_PREFILL,
		 .piece_tokens = 2048,
		 .kv_bytes_per_token = 1000,
		 .link_bytes_per_s = 1000000000,
		 .prefill_tokens_per_s = 200000},
		{.name = "decode",
		 .role = POOL_DECODE,
		 .piece_tokens = 2048,
		 .pieces = 8,
		 .kv_bytes_per_token = 1000,
		 .link_bytes_per_s = 1000000000,
		 .decode_tokens_per_s = 10000},
		{.name = "servers", .role = POOL_PLAIN},
	};
	struct config_service *services = g_new0(struct config_service, 2);
	struct config *config = g_new0(struct config, 1);

	services[0] = (struct config_service){.name = "model",
					      .kind = SERVICE_MODEL,
					      .prefill_pool = "prefill",
					      .decode_pool = "decode",
					      .queue_max = queue_max,
					      .record_ms = 30000};
	services[1] = (struct config_service){.name = "plain",
					      .kind = SERVICE_PLAIN,
					      .pool = "servers",
					      .record_ms = 30000};
	config->pools = pools;
	config->pool_count = G_N_ELEMENTS(pools);
	config->services = services;
	config->service_count = 2;
	config->policy.name = policy;
	g_ptr_array_add(world->configs, config);
	return config;
}

static void instance_start(struct world *world, int index)
{
	struct instance *instance = &world->instances[index];
	struct transport transport = {.send = send, .ctx = instance};

	instance->up = true;
	instance->paused = false;
	instance->ledger =
		ledger_create(instance->clock, instance->membership,
			      &world->settings, &transport, &app_ops, instance);
	ledger_configure(instance->ledger, world->config, NULL);
	send_runners(instance);
	timer_init(&instance->poll, instance->clock, poll, instance);
	timer_start(&instance->poll, 1 + index * USEC_PER_MSEC);
}

struct world *world_create(uint32_t seed, int instances, const char *policy,
			   uint32_t queue_max)
{
	struct world *world = g_new0(struct world, 1);

	world->clock = clock_create(0);
	world->rand = g_rand_new_with_seed(seed);
	world->configs = g_ptr_array_new_with_free_func(config_free);
	world->config = make_config(world, policy, queue_max);
	world->count = instances;
	world->jobs = g_ptr_array_new_with_free_func(g_free);
	world->call_queue = call_queue_create(world->clock);
	world->violation = g_string_new(NULL);
	world->delay_max = 3 * USEC_PER_MSEC;
	world->poll_interval = 100 * USEC_PER_MSEC;
	world->engine_count = ENGINES_MAX;
	for (int i = 0; i < ENGINES_MAX; i++)
		engine_init(world, i, i < 2 ? POOL_PREFILL : POOL_DECODE, 8);
	for (int i = 0; i < instances; i++) {
		struct instance *instance = &world->instances[i];

		instance->world = world;
		instance->index = i;
		instance->clock = clock_create(0);
		instance->membership = members_create(world, i);
		instance->id = membership_self(instance->membership)->id;
	}
	for (int i = 0; i < instances; i++)
		instance_start(world, i);
	return world;
}

static void instance_stop(struct instance *instance)
{
	timer_stop(&instance->poll);
	ledger_destroy(instance->ledger);
	instance->ledger = NULL;
	instance->up = false;
	g_queue_clear_full(&instance->inbox, g_free);
}

void world_restart_all(struct world *world,
		       const struct ledger_settings *settings)
{
	world->settings = *settings;
	for (int i = 0; i < world->count; i++) {
		instance_stop(&world->instances[i]);
		instance_start(world, i);
	}
}

void world_destroy(struct world *world)
{
	for (guint i = 0; i < world->jobs->len; i++)
		timer_stop(&((struct job *)g_ptr_array_index(world->jobs, i))
				    ->timer);
	call_queue_destroy(world->call_queue);
	for (int i = 0; i < world->count; i++) {
		struct instance *instance = &world->instances[i];

		if (instance->up)
			instance_stop(instance);
		members_destroy(instance->membership);
		clock_destroy(instance->clock);
	}
	for (int i = 0; i < world->engine_count; i++)
		engine_clear(&world->engines[i]);
	g_ptr_array_free(world->jobs, TRUE);
	g_ptr_array_free(world->configs, TRUE);
	g_string_free(world->violation, TRUE);
	g_rand_free(world->rand);
	clock_destroy(world->clock);
	g_free(world);
}

static int64_t next_event(const struct world *world, int64_t until)
{
	int64_t next = MIN(until, clock_next(world->clock));

	for (int i = 0; i < world->count; i++) {
		const struct instance *instance = &world->instances[i];

		if (instance->up && !instance->paused)
			next = MIN(next, clock_next(instance->clock));
	}
	return MAX(next, clock_now(world->clock));
}

void world_run(struct world *world, int64_t usec)
{
	int64_t until = clock_now(world->clock) + usec;

	while (clock_now(world->clock) < until) {
		int64_t now = next_event(world, until);

		clock_advance(world->clock, now);
		for (int i = 0; i < world->count; i++) {
			struct instance *instance = &world->instances[i];

			if (instance->up && !instance->paused)
				clock_advance(instance->clock, now);
		}
		invariants_always(world);
	}
}

void world_kill(struct world *world, int index)
{
	struct instance *instance = &world->instances[index];

	if (!instance->up)
		return;
	app_instance_died(instance);
	instance_stop(instance);
	members_announce(world, index, MEMBER_DEAD, STATE_DELAY_MAX_USEC);
}

void world_restart(struct world *world, int index)
{
	struct instance *instance = &world->instances[index];

	if (instance->up)
		return;
	clock_advance(instance->clock, clock_now(world->clock));
	members_raise_incarnation(world, index);
	members_refresh(world, index);
	instance_start(world, index);
	members_announce(world, index, MEMBER_ALIVE, STATE_DELAY_MAX_USEC);
}

void world_pause(struct world *world, int index)
{
	struct instance *instance = &world->instances[index];

	if (!instance->up || instance->paused)
		return;
	instance->paused = true;
	members_announce(world, index, MEMBER_DEAD, STATE_DELAY_MAX_USEC);
}

static void refute_death(void *data)
{
	struct instance *instance = data;

	if (!instance->up || instance->paused)
		return;
	members_raise_incarnation(instance->world, instance->index);
	members_notify(instance);
	members_announce(instance->world, instance->index, MEMBER_ALIVE,
			 STATE_DELAY_MAX_USEC);
}

void world_resume(struct world *world, int index)
{
	struct instance *instance = &world->instances[index];
	struct packet *packet;

	if (!instance->up || !instance->paused)
		return;
	instance->paused = false;
	clock_advance(instance->clock, clock_now(world->clock));
	while ((packet = g_queue_pop_head(&instance->inbox)) != NULL) {
		deliver(packet);
		g_free(packet);
	}
	world_after(world, world_range(world, 0, REFUTE_DELAY_MAX_USEC),
		    refute_death, instance, NULL);
}

void world_leave(struct world *world, int index)
{
	if (world->instances[index].up)
		members_announce(world, index, MEMBER_LEAVING,
				 STATE_DELAY_MAX_USEC);
}

void world_block(struct world *world, int from, int to, bool blocked)
{
	world->blocked[from][to] = blocked;
}

void world_configure(struct world *world, const char *policy,
		     uint32_t queue_max)
{
	const struct config *config = make_config(world, policy, queue_max);
	const struct config *former = world->config;

	world->config = config;
	for (int i = 0; i < world->count; i++) {
		if (world->instances[i].up)
			ledger_configure(world->instances[i].ledger, config,
					 NULL);
	}
	g_ptr_array_remove(world->configs, (void *)former);
}

struct instance *world_home(struct world *world)
{
	for (int i = 0; i < world->count; i++) {
		struct instance *instance = &world->instances[i];

		if (instance->up &&
		    ledger_is_home(instance->ledger, world->engines[2].id))
			return instance;
	}
	return NULL;
}

void world_end(struct world *world)
{
	world_run(world, 20 * USEC_PER_SEC);
	invariants_end(world);
	g_assert_cmpstr(world->violation->str, ==, "");
	world_destroy(world);
}
