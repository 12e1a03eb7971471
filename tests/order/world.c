#include "world.h"

#include <string.h>

#define LIST_LAG_USEC (1 * USEC_PER_SEC)
#define DECODE_REPORT_LAG_USEC (3 * USEC_PER_SEC)
#define GRANT_USEC (5 * USEC_PER_SEC)
#define CALL_USEC (20 * USEC_PER_MSEC)

/* A call of an instance to an engine, and its answer. */
struct call {
	struct instance *instance;
	struct engine *engine;
	uint64_t incarnation;
	uint64_t number;
	bool is_order;
	struct order order;
	bool ok;
	enum pool_role role;
	enum order_answer answer;
};

static uint64_t engine_id(uint32_t index)
{
	return index + 100;
}

static struct engine *engine_find(struct order_world *world, uint64_t id)
{
	g_assert_cmpuint(id - 100, <, ENGINES);
	return &world->engines[id - 100];
}

static void call_answered(void *data)
{
	const struct call *call = data;
	struct instance *instance = call->instance;
	uint64_t id =
		engine_id((uint32_t)(call->engine - instance->world->engines));

	if (!instance->orders || call->number != instance->last_call)
		return;
	if (call->is_order)
		orders_send_done(instance->orders, id, call->answer);
	else
		orders_read_done(instance->orders, id, call->ok, call->role);
}

static void engine_change(struct order_world *world, struct engine *engine,
			  enum pool_role role, bool from_home)
{
	int64_t now = clock_now(world->world->clock);

	if (engine->ignores_orders || engine->role == role)
		return;
	/* The invariants: no work left, and not the last of its role. Work may
	 * be left if the home moved while the order was under way. */
	if (from_home) {
		g_assert_cmpuint(engine->grants, ==, 0);
		g_assert_cmpint(now, >=, engine->work_until);
	}
	g_assert_cmpuint(engines_of(world, engine->role), >, 1);
	if (world->changes++)
		world->min_interval =
			MIN(world->min_interval, now - world->last_change);
	world->last_change = now;
	engine->role = role;
	engine->changed_at = now;
}

static enum order_answer engine_apply(struct order_world *world,
				      struct engine *engine,
				      const struct order *order, bool from_home)
{
	if (world->checks_fencing && order->fence < engine->fence) {
		engine->refused++;
		return ORDER_FENCED;
	}
	/* An engine that does not check must not get an old order. */
	g_assert_cmpuint(order->fence, >=, engine->fence);
	engine->fence = order->fence;
	engine->orders++;
	engine_change(world, engine, order->role, from_home);
	return ORDER_TAKEN;
}

static bool call_from_home(const struct call *call)
{
	const struct order_world *world = call->instance->world;

	return call->instance == &world->instances[world->home] &&
	       call->incarnation == call->instance->incarnation;
}

static void call_arrived(void *data)
{
	struct call *call = data;
	struct order_world *world = call->instance->world;
	struct engine *engine = call->engine;
	struct call *answer = g_memdup2(call, sizeof(*call));

	answer->ok = !engine->unreachable;
	answer->role = engine->role;
	answer->answer = ORDER_LOST;
	if (call->is_order && engine->lose_orders > 0)
		engine->lose_orders--;
	else if (call->is_order && !engine->unreachable)
		answer->answer = engine_apply(world, engine, &call->order,
					      call_from_home(call));
	if (call->is_order && answer->answer == ORDER_TAKEN &&
	    engine->lose_answers > 0) {
		engine->lose_answers--;
		answer->answer = ORDER_LOST;
	}
	world_post(call->instance->node, CALL_USEC, call_answered, answer,
		   g_free, false);
}

static void call_start(struct instance *instance, uint64_t runner,
		       const struct order *order)
{
	struct order_world *world = instance->world;
	struct call *call = g_new0(struct call, 1);
	int64_t delay = CALL_USEC;

	call->instance = instance;
	call->engine = engine_find(world, runner);
	call->incarnation = instance->incarnation;
	call->number = ++instance->last_call;
	call->is_order = order != NULL;
	if (order)
		call->order = *order;
	if (order && world->order_delay)
		delay = world_draw(world->world, world->order_delay);
	if (order && world->first_order_delay && instance == world->instances)
		delay = world->first_order_delay;
	world_post(world->engine_node, delay, call_arrived, call, g_free, true);
}

static void ops_read(void *ctx, uint64_t runner)
{
	call_start(ctx, runner, NULL);
}

static void ops_send(void *ctx, const struct order *order)
{
	g_assert_cmpuint(order->cell, ==, CELL);
	call_start(ctx, order->runner, order);
}

static void ops_cancel(void *ctx, uint64_t runner)
{
	((struct instance *)ctx)->last_call++;
}

static void ops_withhold(void *ctx, uint64_t runner, bool withheld)
{
	struct instance *instance = ctx;
	uint32_t index = (uint32_t)(engine_find(instance->world, runner) -
				    instance->world->engines);

	g_assert_cmpint(instance->withheld[index], !=, withheld);
	instance->withheld[index] = withheld;
}

static void view_fill(struct instance *instance, struct order_cell *cell,
		      uint32_t i)
{
	static const char *const names[] = {"e0", "e1", "e2", "e3", "e4", "e5"};
	const struct engine *engine = &instance->world->engines[i];
	bool usable = !engine->unreachable && !instance->withheld[i];

	if (!engine->unreachable)
		instance->reported[i] = clock_now(instance->node->clock);
	instance->view[i] = (struct order_runner){
		.id = engine_id(i),
		.name = names[i],
		.role = engine->listed,
		.usable = usable,
		.empty = clock_now(instance->world->world->clock) >=
			 engine->work_until,
		.reported_at = instance->reported[i],
		.grants = engine->grants,
	};
	cell->load.prefill += usable && engine->listed == POOL_PREFILL;
	cell->load.decode += usable && engine->listed == POOL_DECODE;
}

static bool ops_cell_next(void *ctx, uint32_t *cursor, struct order_cell *cell)
{
	struct instance *instance = ctx;
	struct order_world *world = instance->world;

	if ((*cursor)++ > 0 || &world->instances[world->home] != instance)
		return false;
	*cell = (struct order_cell){
		.id = CELL,
		.checks_fencing = world->checks_fencing,
		.load = {.prompt_tokens_per_s = world->need_prefill,
			 .output_tokens_per_s = world->need_decode,
			 .prefill_tokens_per_s = 1,
			 .decode_tokens_per_s = 1},
		.runners = instance->view,
		.runner_count = ENGINES,
	};
	for (uint32_t i = 0; i < ENGINES; i++)
		view_fill(instance, cell, i);
	return true;
}

void instance_start(struct instance *instance)
{
	static const struct order_ops ops = {
		ops_cell_next, ops_withhold, ops_read, ops_send, ops_cancel,
	};
	struct order_world *world = instance->world;
	struct log_store store = fake_log_store(&instance->client);
	struct owner self = {(uint64_t)(instance - world->instances) + 1,
			     ++instance->incarnation};

	node_start(instance->node);
	memset(instance->withheld, 0, sizeof(instance->withheld));
	memset(instance->reported, 0, sizeof(instance->reported));
	instance->orders = orders_create(instance->node->clock, &self, &store,
					 NULL, &ops, instance);
}

/* As by SIGKILL: the outage keeps it from releasing its lease. */
void instance_kill(struct instance *instance)
{
	struct fake_log *log = instance->world->log;
	bool outage = log->outage;

	log->outage = true;
	orders_destroy(instance->orders);
	log->outage = outage;
	instance->orders = NULL;
	node_stop(instance->node);
}

struct order_world *order_world_create(uint32_t seed, bool checks_fencing)
{
	struct order_world *world = g_new0(struct order_world, 1);

	world->world = world_create(seed);
	world->log =
		fake_log_create(world->world->clock, world->world->call_queue,
				world->world->rand);
	world->checks_fencing = checks_fencing;
	world->min_interval = CLOCK_NEVER;
	world->engine_node = world_add(world->world);
	node_start(world->engine_node);
	for (uint32_t i = 0; i < ENGINES; i++)
		world->engines[i].role = world->engines[i].listed =
			i < ENGINES / 2 ? POOL_PREFILL : POOL_DECODE;
	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct instance *instance = &world->instances[i];

		instance->world = world;
		instance->node = world_add(world->world);
		instance->client = (struct fake_log_client){
			.log = world->log,
			.post = node_post,
			.node = instance->node,
		};
		instance_start(instance);
	}
	return world;
}

void order_world_destroy(struct order_world *world)
{
	for (uint32_t i = 0; i < INSTANCES; i++) {
		if (world->instances[i].orders)
			instance_kill(&world->instances[i]);
	}
	world_destroy(world->world);
	fake_log_destroy(world->log);
	g_free(world);
}

uint32_t engines_of(const struct order_world *world, enum pool_role role)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < ENGINES; i++)
		count += world->engines[i].role == role;
	return count;
}

uint32_t withheld_count(const struct order_world *world)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < ENGINES; i++)
		count += world->instances[world->home].withheld[i];
	return count;
}

/* Gives each runner that the home does not withhold one grant at a time. */
static void engine_assign_work(struct order_world *world, uint32_t i)
{
	const struct instance *home = &world->instances[world->home];
	struct engine *engine = &world->engines[i];
	int64_t now = clock_now(world->world->clock);

	if (engine->listed != engine->role && !world->list_frozen &&
	    now - engine->changed_at > LIST_LAG_USEC)
		engine->listed = engine->role;
	if (now >= engine->grants_end && !engine->busy)
		engine->grants = 0;
	if (engine->grants || engine->unreachable || home->withheld[i] ||
	    engine->listed != engine->role || !home->orders ||
	    home->node->paused)
		return;
	engine->grants = 1;
	engine->grants_end = now + GRANT_USEC;
	/* A prefill ends before its grant, a decode may report work after it.
	 */
	engine->work_until =
		engine->role == POOL_PREFILL
			? now + GRANT_USEC / 2
			: engine->grants_end + DECODE_REPORT_LAG_USEC;
}

static void order_world_step(struct order_world *world)
{
	world_step(world->world);
	for (uint32_t i = 0; i < ENGINES; i++)
		engine_assign_work(world, i);
	g_assert_cmpuint(withheld_count(world), <=, 1);
}

void order_world_run(struct order_world *world, int64_t usec)
{
	int64_t end = clock_now(world->world->clock) + usec;

	while (clock_now(world->world->clock) < end)
		order_world_step(world);
}

bool order_world_until(struct order_world *world, int64_t usec,
		       bool (*condition)(const struct order_world *world))
{
	int64_t end = clock_now(world->world->clock) + usec;

	while (!condition(world)) {
		if (clock_now(world->world->clock) >= end)
			return false;
		order_world_step(world);
	}
	return true;
}
