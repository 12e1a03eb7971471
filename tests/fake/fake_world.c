#include "fake_world.h"

struct post {
	struct node *node;
	uint64_t epoch;
	void (*fn)(void *data);
	void *data;
	GDestroyNotify data_free;
	bool always;
};

struct world *world_create(uint32_t seed)
{
	struct world *world = g_new0(struct world, 1);

	world->clock = clock_create(1700000000 * USEC_PER_SEC);
	world->call_queue = call_queue_create(world->clock);
	world->rand = g_rand_new_with_seed(seed);
	world->nodes = g_ptr_array_new_with_free_func(g_free);
	return world;
}

/* Runs all pending calls first, so that their data is freed. */
void world_destroy(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++)
		node_stop(world->nodes->pdata[i]);
	while (clock_next(world->clock) != CLOCK_NEVER)
		clock_advance(world->clock, clock_next(world->clock));
	call_queue_destroy(world->call_queue);
	clock_destroy(world->clock);
	g_ptr_array_free(world->nodes, TRUE);
	g_rand_free(world->rand);
	g_free(world);
}

struct node *world_add(struct world *world)
{
	struct node *node = g_new0(struct node, 1);

	node->world = world;
	node->rate = 1.0;
	g_queue_init(&node->inbox);
	g_ptr_array_add(world->nodes, node);
	return node;
}

void node_start(struct node *node)
{
	node->clock = clock_create(0);
	node->started = clock_now(node->world->clock);
	node->paused = false;
	node->epoch++;
}

static void post_run(struct post *post)
{
	if (post->always || post->epoch == post->node->epoch)
		post->fn(post->data);
	if (post->data_free)
		post->data_free(post->data);
	g_free(post);
}

static void node_deliver(struct node *node)
{
	struct post *post;

	while ((post = g_queue_pop_head(&node->inbox)))
		post_run(post);
}

void node_stop(struct node *node)
{
	if (!node->clock)
		return;
	node->epoch++;
	node->paused = false;
	node_deliver(node);
	clock_destroy(node->clock);
	node->clock = NULL;
}

static void post_due(void *data)
{
	struct post *post = data;

	if (post->node->paused)
		g_queue_push_tail(&post->node->inbox, post);
	else
		post_run(post);
}

void world_step(struct world *world)
{
	clock_advance(world->clock, clock_now(world->clock) + WORLD_STEP_USEC);
	for (guint i = 0; i < world->nodes->len; i++) {
		struct node *node = world->nodes->pdata[i];
		int64_t age = clock_now(world->clock) - node->started;

		if (!node->clock || node->paused)
			continue;
		if (node->inbox.length &&
		    world_chance(world, world->stale_percent))
			node_deliver(node);
		clock_jump(node->clock, (int64_t)((double)age * node->rate));
		node_deliver(node);
	}
}

int64_t world_draw(struct world *world, int64_t limit)
{
	return (int64_t)(g_rand_double(world->rand) * (double)limit);
}

bool world_chance(struct world *world, int percent)
{
	return g_rand_int_range(world->rand, 0, 100) < percent;
}

void world_post(struct node *node, int64_t delay, void (*fn)(void *data),
		void *data, GDestroyNotify data_free, bool always)
{
	struct post *post = g_new0(struct post, 1);

	post->node = node;
	post->epoch = node->epoch;
	post->fn = fn;
	post->data = data;
	post->data_free = data_free;
	post->always = always;
	call_queue_add(node->world->call_queue, delay, post_due, post, NULL);
}

void node_post(void *node, int64_t delay, void (*fn)(void *data), void *data,
	       GDestroyNotify data_free)
{
	world_post(node, delay, fn, data, data_free, true);
}
