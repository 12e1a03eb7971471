#include "lease_trial.h"

/* An order under way to the engine. */
struct order {
	struct trial *trial;
	uint64_t fence;
};

static void holder_taken(void *ctx, uint64_t task, uint64_t fence)
{
	struct holder *holder = ctx;
	struct trial *trial = holder->trial;
	uint64_t owner = id_mix((uint64_t)(holder - trial->holders),
				holder->incarnation);

	g_assert_cmpuint(task, ==, TASK);
	g_assert_false(holder->held);
	if (owner == trial->fence_owner)
		g_assert_cmpuint(fence, >=, trial->fence);
	else
		g_assert_cmpuint(fence, >, trial->fence);
	trial->fence = fence;
	trial->fence_owner = owner;
	trial->taken++;
	holder->held = true;
}

static void holder_lost(void *ctx, uint64_t task)
{
	struct holder *holder = ctx;

	g_assert_true(holder->held);
	holder->held = false;
}

static const struct lease_ops holder_ops = {holder_taken, holder_lost};

/* An engine that does not check fencing numbers must get no old order. */
static void order_arrived(void *data)
{
	struct order *order = data;
	struct engine *engine = &order->trial->engine;

	if (engine->checks_fencing && order->fence < engine->fence) {
		engine->refused++;
		return;
	}
	g_assert_cmpuint(order->fence, >=, engine->fence);
	engine->fence = order->fence;
	engine->orders++;
}

static void order_send(struct trial *trial, uint64_t fence)
{
	struct order *order = g_new0(struct order, 1);

	*order = (struct order){trial, fence};
	/* The engine's node is the one after the holders' and never stops. */
	world_post(trial->world->nodes->pdata[HOLDERS],
		   world_draw(trial->world, ORDER_TIMEOUT), order_arrived,
		   order, g_free, true);
}

void holder_acquire(struct holder *holder)
{
	holder->wants = true;
	if (holder->trial->engine.checks_fencing)
		lease_acquire(holder->leases, TASK);
	else
		lease_acquire_unfenced(holder->leases, TASK, ORDER_TIMEOUT);
}

void holder_start(struct holder *holder)
{
	struct trial *trial = holder->trial;
	struct log_store store = fake_log_store(&holder->client);
	struct owner self = {(uint64_t)(holder - trial->holders) + 1,
			     ++holder->incarnation};

	node_start(holder->node);
	holder->held = false;
	holder->leases = leases_create(holder->node->clock, &self, &store,
				       &holder_ops, holder);
	holder_acquire(holder);
}

void holder_kill(struct holder *holder)
{
	leases_destroy(holder->leases);
	holder->leases = NULL;
	node_stop(holder->node);
}

void holder_release(struct holder *holder)
{
	lease_release(holder->leases, TASK);
	holder->wants = false;
	holder->held = false;
}

struct trial *trial_create(uint32_t seed)
{
	struct trial *trial = g_new0(struct trial, 1);

	trial->world = world_create(seed);
	trial->log =
		fake_log_create(trial->world->clock, trial->world->call_queue,
				trial->world->rand);
	for (uint32_t i = 0; i < HOLDERS; i++) {
		struct holder *holder = &trial->holders[i];

		holder->trial = trial;
		holder->node = world_add(trial->world);
		holder->client = (struct fake_log_client){
			trial->log, node_post, holder->node, false, false};
	}
	node_start(world_add(trial->world));
	return trial;
}

void trial_destroy(struct trial *trial)
{
	for (uint32_t i = 0; i < HOLDERS; i++) {
		if (trial->holders[i].leases)
			holder_kill(&trial->holders[i]);
	}
	world_destroy(trial->world);
	fake_log_destroy(trial->log);
	g_free(trial);
}

/* Checks the invariant. A paused holder cannot act, so it does not count. */
int trial_check_holders(const struct trial *trial, uint32_t *holder_index)
{
	uint64_t fence;
	int valid = 0;

	for (uint32_t i = 0; i < HOLDERS; i++) {
		const struct holder *holder = &trial->holders[i];

		if (!holder->leases || holder->node->paused ||
		    !lease_valid(holder->leases, TASK, &fence))
			continue;
		g_assert_true(holder->held);
		valid++;
		if (holder_index)
			*holder_index = i;
	}
	g_assert_cmpint(valid, <=, 1);
	return valid;
}

void trial_step(struct trial *trial)
{
	uint64_t fence;

	world_step(trial->world);
	trial_check_holders(trial, NULL);
	for (uint32_t i = 0; i < HOLDERS; i++) {
		struct holder *holder = &trial->holders[i];

		if (holder->leases && !holder->node->paused &&
		    lease_valid(holder->leases, TASK, &fence) &&
		    world_chance(trial->world, 2))
			order_send(trial, fence);
	}
}

void trial_run(struct trial *trial, int64_t usec)
{
	int64_t end = clock_now(trial->world->clock) + usec;

	while (clock_now(trial->world->clock) < end)
		trial_step(trial);
}
