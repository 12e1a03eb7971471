#include "world.h"

#include <string.h>

/* A call to be made at a node once the node is not paused. */
struct delivery {
	struct node *node;
	void (*fn)(void *data);
	void *data;
	GDestroyNotify destroy;
};

static int64_t random_between(struct world *w, int64_t low, int64_t high)
{
	return low >= high ? low
			   : g_rand_int_range(w->rand, (gint32)low,
					      (gint32)high + 1);
}

static bool chance(struct world *w, int per_thousand)
{
	return per_thousand > 0 &&
	       g_rand_int_range(w->rand, 0, 1000) < per_thousand;
}

static void delivery_run(struct delivery *delivery)
{
	delivery->fn(delivery->data);
	delivery->destroy(delivery->data);
	g_free(delivery);
}

static void delivery_arrive(void *data)
{
	struct delivery *delivery = data;

	if (delivery->node->paused)
		g_queue_push_tail(&delivery->node->queued, delivery);
	else
		delivery_run(delivery);
}

static struct delivery *delivery_create(struct node *node,
					void (*fn)(void *data), void *data,
					GDestroyNotify destroy)
{
	struct delivery *delivery = g_new0(struct delivery, 1);

	*delivery = (struct delivery){node, fn, data, destroy};
	return delivery;
}

static void node_deliver_later(void *node, int64_t delay,
			       void (*fn)(void *data), void *data,
			       GDestroyNotify destroy)
{
	call_queue_add(((struct node *)node)->world->call_queue, delay,
		       delivery_arrive,
		       delivery_create(node, fn, data, destroy), NULL);
}

static void packet_deliver(void *data)
{
	const struct packet *packet = data;
	const struct node *from = packet->from;
	const struct node *to = packet->to;

	if (to->up && packet->channel == CHANNEL_MEMBER)
		membership_receive(to->membership, from->self.id, packet->data,
				   packet->size);
	if (to->up && packet->channel == CHANNEL_CONFIG && to->fold)
		fold_receive(to->fold, from->self.id, packet->data,
			     packet->size);
}

static void packet_arrive(void *data)
{
	struct packet *packet = data;
	const struct node *from = packet->from;
	struct node *to = packet->to;

	if (!to->up || to->world->cut[from->index][to->index]) {
		g_free(packet);
		return;
	}
	to->received_bytes += packet->size + WIRE_HEADERS;
	delivery_arrive(delivery_create(to, packet_deliver, packet, g_free));
}

static void packet_send(struct node *from, struct node *to,
			enum channel channel, const void *data, size_t size)
{
	struct world *w = from->world;

	call_queue_add(w->call_queue,
		       random_between(w, w->delay_min, w->delay_max),
		       packet_arrive,
		       packet_create(from, to, channel, data, size), NULL);
}

static void node_send(void *ctx, uint64_t instance, enum channel channel,
		      const void *payload, size_t size)
{
	struct node *from = ctx;
	struct world *w = from->world;

	from->bytes += size + WIRE_HEADERS;
	from->by_channel[channel] += size + WIRE_HEADERS;
	from->messages++;
	for (int i = 0; i < w->count; i++) {
		struct node *to = w->nodes[i];

		if (to->self.id != instance)
			continue;
		if (w->cut[from->index][i] || chance(w, w->drop))
			return;
		packet_send(from, to, channel, payload, size);
		if (chance(w, w->duplicate))
			packet_send(from, to, channel, payload, size);
	}
}

static void node_changed(void *ctx, const struct member *member,
			 const enum member_state *old)
{
	struct node *node = ctx;
	struct world *w = node->world;

	g_assert_true(!old || *old != member->state ||
		      member->state == MEMBER_ALIVE);
	for (int i = 0; i < w->count; i++) {
		if (w->nodes[i]->self.id != member->id)
			continue;
		g_assert_cmpuint(member->incarnation, >=, node->highest[i]);
		node->highest[i] = member->incarnation;
	}
	if (node->fold)
		fold_member_changed(node->fold, member);
}

static void node_fact(void *ctx, uint64_t key, uint64_t version,
		      const void *value, size_t size)
{
	struct node *node = ctx;
	const uint64_t *known;

	if (key < G_N_ELEMENTS(node->facts)) {
		g_assert_cmpuint(version, >, node->facts[key]);
		node->facts[key] = version;
		return;
	}
	known = g_hash_table_lookup(node->other_facts, &key);
	if (known)
		g_assert_cmpuint(version, >, *known);
	g_hash_table_replace(node->other_facts, g_memdup2(&key, sizeof(key)),
			     g_memdup2(&version, sizeof(version)));
}

static void node_refuted(void *ctx, uint64_t incarnation)
{
	struct node *node = ctx;

	g_assert_cmpuint(incarnation, >, node->self.incarnation);
	node->self.incarnation = incarnation;
	node->refuted++;
}

struct world *world_create(uint32_t seed)
{
	struct world *w = g_new0(struct world, 1);

	w->seed = seed;
	w->rand = g_rand_new_with_seed(seed);
	w->clock = clock_create(UNIX_ZERO);
	w->delay_min = 500;
	w->delay_max = 3000;
	w->call_queue = call_queue_create(w->clock);
	w->log = fake_log_create(w->clock, w->call_queue, w->rand);
	w->log->fixed_delay = 1 * USEC_PER_MSEC;
	w->log->delay = 19 * USEC_PER_MSEC;
	w->log->outage_at_arrival = true;
	return w;
}

static void queue_deliver(struct node *node)
{
	struct delivery *delivery;

	while ((delivery = g_queue_pop_head(&node->queued)))
		delivery_run(delivery);
}

/* Delivers everything in flight first, so that the modules free their contexts.
 */
void world_destroy(struct world *w)
{
	for (int i = 0; i < w->count; i++) {
		node_kill(w->nodes[i]);
		w->nodes[i]->client.silent = false;
	}
	while (clock_next(w->clock) != CLOCK_NEVER)
		clock_advance(w->clock, clock_next(w->clock));
	for (int i = 0; i < w->count; i++) {
		g_hash_table_unref(w->nodes[i]->other_facts);
		g_free(w->nodes[i]);
	}
	fake_log_destroy(w->log);
	call_queue_destroy(w->call_queue);
	clock_destroy(w->clock);
	g_rand_free(w->rand);
	g_free(w);
}

struct node *world_add(struct world *w, const char *data_centre)
{
	struct node *node = g_new0(struct node, 1);
	struct member *self = &node->self;

	node->other_facts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free);
	g_assert_cmpint(w->count, <, WORLD_MAX);
	node->world = w;
	node->index = w->count;
	g_queue_init(&node->queued);
	node->client = (struct fake_log_client){
		.log = w->log, .post = node_deliver_later, .node = node};
	g_snprintf(self->name, sizeof(self->name), "entry-%03d", w->count);
	g_strlcpy(self->data_centre, data_centre, sizeof(self->data_centre));
	g_snprintf(self->peer_address, sizeof(self->peer_address),
		   "10.20.%d.%d:7400", w->count / 200, w->count % 200 + 10);
	g_snprintf(self->http_address, sizeof(self->http_address),
		   "10.20.%d.%d:8400", w->count / 200, w->count % 200 + 10);
	self->id = id_of(self->name);
	w->nodes[w->count++] = node;
	return node;
}

void world_fill(struct world *w, int centres, int each)
{
	for (int i = 0; i < centres; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "hall-%c", 'a' + i);
		for (int j = 0; j < each; j++)
			world_add(w, name);
	}
}

struct transport node_transport(struct node *node)
{
	return (struct transport){.send = node_send, .ctx = node};
}

void node_start(struct node *node)
{
	static const struct membership_ops ops = {
		.changed = node_changed,
		.fact = node_fact,
		.refuted = node_refuted,
	};
	const struct transport transport = node_transport(node);
	struct world *w = node->world;
	struct membership_settings settings = w->settings;

	g_assert_false(node->up);
	node->clock = clock_create(UNIX_ZERO);
	clock_jump(node->clock, clock_now(w->clock));
	settings.seed = w->seed;
	node->self.incarnation =
		(uint64_t)(clock_unix(w->clock) - w->clock_behind);
	node->membership = membership_create(node->clock, &node->self,
					     &settings, &transport, &ops, node);
	memset(node->highest, 0, sizeof(node->highest));
	memset(node->facts, 0, sizeof(node->facts));
	g_hash_table_remove_all(node->other_facts);
	node->leaving = false;
	node->up = true;
	if (w->started)
		w->started(node);
	membership_start(node->membership);
}

void node_kill(struct node *node)
{
	if (!node->up)
		return;
	if (node->world->stopping)
		node->world->stopping(node);
	node->up = false;
	node->paused = false;
	queue_deliver(node);
	membership_destroy(node->membership);
	clock_destroy(node->clock);
}

void node_pause(struct node *node)
{
	if (node->paused || !node->up)
		return;
	node->paused = true;
	node->paused_at = clock_now(node->world->clock);
}

void node_resume(struct node *node)
{
	int64_t now = clock_now(node->world->clock);

	if (!node->paused)
		return;
	node->paused = false;
	clock_jump(node->clock, now);
	membership_paused(node->membership, now - node->paused_at);
	queue_deliver(node);
}

void node_hint(struct node *node)
{
	struct world *w = node->world;

	for (int i = 0; i < w->count; i++) {
		if (w->nodes[i]->up)
			membership_hint(node->membership, &w->nodes[i]->self);
	}
}

void world_start(struct world *w)
{
	for (int i = 0; i < w->count; i++)
		node_start(w->nodes[i]);
	for (int i = 0; i < w->count; i++)
		node_hint(w->nodes[i]);
}

static int64_t world_next(const struct world *w)
{
	int64_t next = clock_next(w->clock);

	for (int i = 0; i < w->count; i++) {
		const struct node *node = w->nodes[i];

		if (node->up && !node->paused)
			next = MIN(next, clock_next(node->clock));
	}
	return next;
}

/* Nodes without a due timer advance first, so that they receive messages at the
 * present time, then the network, then all nodes by index. The order is the
 * same in each run. */
static void world_step(struct world *w, int64_t now)
{
	for (int i = 0; i < w->count; i++) {
		struct node *node = w->nodes[i];

		if (node->up && !node->paused && clock_next(node->clock) > now)
			clock_advance(node->clock, now);
	}
	clock_advance(w->clock, now);
	for (int i = 0; i < w->count; i++) {
		struct node *node = w->nodes[i];

		if (node->up && !node->paused)
			clock_advance(node->clock, now);
	}
}

void world_run(struct world *w, int64_t usec)
{
	int64_t end = clock_now(w->clock) + usec;

	while (world_next(w) <= end)
		world_step(w, MAX(world_next(w), clock_now(w->clock)));
	world_step(w, end);
}

bool node_in(const struct node *node, const char *data_centre)
{
	return !strcmp(node->self.data_centre, data_centre);
}

void world_partition(struct world *w, const char *a, const char *b, bool cut)
{
	for (int i = 0; i < w->count; i++) {
		for (int j = 0; j < w->count; j++) {
			if (!node_in(w->nodes[i], a) ||
			    !node_in(w->nodes[j], b))
				continue;
			w->cut[i][j] = cut;
			w->cut[j][i] = cut;
		}
	}
}

void world_heal(struct world *w)
{
	memset(w->cut, 0, sizeof(w->cut));
	w->drop = 0;
	w->duplicate = 0;
}

const struct member *node_view(const struct node *node,
			       const struct node *other)
{
	return membership_find(node->membership, other->self.id);
}
