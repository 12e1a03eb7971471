#include "precedence_model.h"

#include <math.h>
#include <string.h>

#include "common/clock.h"
#include "forward/overload.h"
#include "forward/rates.h"
#include "sched/precedence.h"

#define MEMORY 27890u
#define SLOTS 12u
#define HOLD_MSEC 3000.0
#define PROMPT 3000.0
#define EVENTS 68u
#define FIRST_MSEC 250
#define URGENT 0.07
#define PUMP_MSEC 15
#define BETWEEN_BURSTS 0.8
/* Measured from START; a burst lasts from START for 4 s. */
#define START 2500
#define BURST_MSEC 4000
#define STEADY_MSEC 6000
#define FAIL_AT 4000
#define FAIL_MSEC 2000
#define TICKET_MSEC 2
#define RETRIES_MSEC 10000
#define TRIES 4

static const int targets[2] = {800, 2000};

struct caller {
	int id;
	int arrived;
	uint32_t rank;
	uint32_t tokens;
	int hold;
	double weight;
	bool checked;
	uint32_t tries;
	bool measured;
	uint32_t server; /* while it runs */
	uint32_t instance;
	uint32_t tickets[2]; /* servers where it queues, with WAY_TICKETS */
	int due;	     /* end of a run, or return of a refused caller */
};

struct engine {
	uint32_t tokens;
	uint32_t requests;
};

struct node {
	GArray *waiting; /* struct caller */
	struct engine *own;
	struct engine *others; /* as of the last view */
	int *full_until;
	uint32_t seen_waiting[2]; /* at other instances */
	struct precedence *precedence;
	int claimed; /* id of a caller; 0: none */
	int claimed_at;
	uint32_t claim_servers[PRECEDENCE_SERVERS_MAX];
	uint32_t claim_count;
	uint32_t claim_tokens;
	uint32_t sent_in_sec;
	int phase;
	int away_until;
};

struct datagram {
	int due;
	uint32_t to;
	uint32_t from;
	struct room_claim claim;
};

struct world {
	const struct model *model;
	struct figures *sum;
	GRand *rand;
	int now;
	uint32_t engines;
	struct engine *real;
	struct node *nodes;
	uint32_t count;
	GArray *runs;	 /* struct caller */
	GArray *returns; /* struct caller */
	GQueue datagrams;
	struct engine_rates rates;
	int next_id;
	bool failed;
};

static double size_draw(GRand *rand, double mean, double spread, double most)
{
	double normal = 0.0;

	for (int i = 0; i < 12; i++)
		normal += g_rand_double(rand) - 0.5;
	return CLAMP(mean * exp(spread * normal - spread * spread / 2), 1.0,
		     most);
}

static bool is_away(const struct world *world, const struct node *node)
{
	return world->now < node->away_until &&
	       world->model->failure != FAILURE_PARTITIONED;
}

static bool is_cut(const struct world *world, const struct node *node)
{
	return world->now < node->away_until;
}

static struct overload_caller overload_of(const struct world *world,
					  const struct caller *caller)
{
	bool ranked = world->model->way != WAY_TODAY;

	return (struct overload_caller){
		.arrived = caller->arrived * USEC_PER_MSEC,
		.target_usec = targets[caller->rank] * USEC_PER_MSEC,
		.priority = ranked ? caller->rank : 0,
		.weight = world->model->way == WAY_GLOBAL
				  ? (double)caller->tokens * caller->hold
				  : caller->weight,
	};
}

static gint order_compare(gconstpointer a, gconstpointer b, gpointer world)
{
	const struct overload_caller one = overload_of(world, a);
	const struct overload_caller other = overload_of(world, b);

	return overload_compare(&one, &other);
}

/* ---- claims ---- */

static void claim_deliver(struct world *world, uint32_t from,
			  const struct room_claim *claim)
{
	struct datagram datagram = {world->now + 1, 0, from, *claim};

	for (; datagram.to < world->count; datagram.to++)
		if (datagram.to != from &&
		    !is_cut(world, &world->nodes[from]) &&
		    !is_cut(world, &world->nodes[datagram.to]) &&
		    g_rand_double(world->rand) >= world->model->loss)
			g_queue_push_tail(
				&world->datagrams,
				g_memdup2(&datagram, sizeof(datagram)));
}

static void claim_send(struct world *world, uint32_t at, uint32_t server,
		       int64_t usec)
{
	struct node *node = &world->nodes[at];
	int64_t now = world->now * USEC_PER_MSEC;
	struct room_claim claim = {(uint64_t)node->claimed, 0, server + 1,
				   node->claim_tokens, usec};

	if (world->model->failure == FAILURE_GONE)
		claim.server += 1000000;
	precedence_claim(node->precedence, now, &claim, 0);
	if (!precedence_send(node->precedence, now))
		return;
	node->sent_in_sec++;
	world->sum->claims++;
	claim_deliver(world, at, &claim);
}

static void claim_withdraw(struct world *world, uint32_t at)
{
	struct node *node = &world->nodes[at];

	for (uint32_t i = 0; node->claimed && i < node->claim_count; i++)
		claim_send(world, at, node->claim_servers[i], 0);
	node->claimed = 0;
}

static bool has(const uint32_t *servers, uint32_t count, uint32_t server)
{
	for (uint32_t i = 0; i < count; i++)
		if (servers[i] == server)
			return true;
	return false;
}

static void claim_renew(struct world *world, uint32_t at,
			const struct caller *caller)
{
	struct node *node = &world->nodes[at];
	int64_t now = world->now * USEC_PER_MSEC;
	uint64_t loads[PRECEDENCE_SERVERS_MAX];
	uint32_t best[PRECEDENCE_SERVERS_MAX];
	uint32_t most = precedence_servers(caller->tokens, MEMORY);
	uint32_t count = 0;

	if ((node->claimed == caller->id &&
	     world->now - node->claimed_at < PRECEDENCE_RENEW_USEC / 1000) ||
	    !precedence_useful(node->precedence, now, caller->rank))
		return;
	for (uint32_t i = 0; i < world->engines; i++) {
		uint64_t load = node->own[i].tokens + node->others[i].tokens +
				precedence_contended(node->precedence, now,
						     i + 1, caller->rank,
						     (uint64_t)caller->id);

		uint32_t k = count;

		while (k > 0 && loads[k - 1] > load)
			k--;
		if (k == most)
			continue;
		count = MIN(count + 1, most);
		for (uint32_t n = count - 1; n > k; n--) {
			loads[n] = loads[n - 1];
			best[n] = best[n - 1];
		}
		loads[k] = load;
		best[k] = i;
	}
	if (node->claimed && node->claimed != caller->id)
		claim_withdraw(world, at);
	for (uint32_t i = 0; node->claimed && i < node->claim_count; i++)
		if (!has(best, count, node->claim_servers[i]))
			claim_send(world, at, node->claim_servers[i], 0);
	node->claimed = caller->id;
	node->claimed_at = world->now;
	node->claim_tokens = caller->tokens;
	node->claim_count = count;
	for (uint32_t i = 0; i < count; i++) {
		node->claim_servers[i] = best[i];
		claim_send(world, at, best[i], PRECEDENCE_CLAIM_USEC);
	}
}

/* ---- placing ---- */

static bool run_start(struct world *world, uint32_t at, uint32_t server,
		      struct caller caller, int delay)
{
	struct engine *real = &world->real[server];

	if (real->tokens + caller.tokens > MEMORY || real->requests >= SLOTS)
		return false;
	real->tokens += caller.tokens;
	real->requests++;
	world->nodes[at].own[server].tokens += caller.tokens;
	world->nodes[at].own[server].requests++;
	caller.server = server;
	caller.instance = at;
	caller.due = world->now + caller.hold + delay;
	g_array_append_val(world->runs, caller);
	if (caller.measured &&
	    world->now + delay + FIRST_MSEC - caller.arrived <=
		    targets[caller.rank])
		world->sum->in_time[caller.rank]++;
	return true;
}

static bool has_room(const struct world *world, const struct node *node,
		     uint32_t server, const struct caller *caller, bool due)
{
	double unseen = MAX((double)world->model->view_msec - 100.0, 0) / 150.0;
	const struct engine *own = &node->own[server];
	const struct engine *others = &node->others[server];
	struct precedence_room claimed = {0, 0};
	uint32_t tokens = own->tokens + others->tokens;
	uint32_t requests = own->requests + others->requests;

	if (world->now < node->full_until[server])
		return false;
	if (world->model->way == WAY_CLAIMS)
		claimed = precedence_claimed(node->precedence,
					     world->now * USEC_PER_MSEC,
					     server + 1, caller->rank, due);
	return tokens + claimed.tokens +
			       MIN(caller->tokens * (1.0 + unseen), MEMORY) <=
		       MEMORY &&
	       requests + claimed.requests + unseen < SLOTS;
}

static bool place_once(struct world *world, uint32_t at,
		       const struct caller *caller, bool *again)
{
	struct node *node = &world->nodes[at];
	const struct overload_caller waits = overload_of(world, caller);
	bool due = overload_is_due(&waits, world->now * USEC_PER_MSEC,
				   FIRST_MSEC * 1000.0);
	double spread =
		0.02 *
		(1.0 + MAX((double)world->model->view_msec - 100.0, 0) / 20.0);
	double lowest = 1e9;
	uint32_t best = UINT32_MAX;

	for (uint32_t i = 0; i < world->engines; i++) {
		double cost =
			(double)(node->own[i].tokens + node->others[i].tokens) /
			MEMORY;

		if (cost >= lowest || !has_room(world, node, i, caller, due))
			continue;
		if (world->model->way == WAY_CLAIMS)
			cost += (double)precedence_contended(
					node->precedence,
					world->now * USEC_PER_MSEC, i + 1,
					caller->rank, (uint64_t)caller->id) /
				MEMORY;
		if (cost >= lowest)
			continue;
		cost += spread * g_rand_double(world->rand);
		if (cost >= lowest)
			continue;
		lowest = cost;
		best = i;
	}
	if (best == UINT32_MAX)
		return false;
	world->sum->places++;
	if (run_start(world, at, best, *caller, 0))
		return true;
	world->sum->refusals++;
	node->full_until[best] = world->now + (int)world->model->view_msec;
	*again = true;
	return false;
}

/* A reservation that a server refuses is tried at others, 2 to 4 ms later
 * each. */
static bool place(struct world *world, uint32_t at, const struct caller *caller)
{
	bool again = true;

	for (int i = 0; again && i < TRIES; i++) {
		again = false;
		if (place_once(world, at, caller, &again))
			return true;
	}
	return false;
}

static uint32_t waiting_before(const struct world *world,
			       const struct node *node, uint32_t rank)
{
	uint32_t count = node->waiting->len;
	bool all = world->model->way == WAY_TODAY;

	for (guint i = 0; !all && i < node->waiting->len; i++)
		count -= g_array_index(node->waiting, struct caller, i).rank >
			 rank;
	for (uint32_t i = 0; i < 2; i++)
		count += all || i <= rank ? node->seen_waiting[i] : 0;
	return count;
}

/* The time in which the queue drains and a random part of the same length; at
 * least 0.5 s and at most a third of the caller's remaining time. */
static int64_t retry_drained_usec(GRand *rand, double queue, int64_t left_usec)
{
	double drained =
		queue * (1.0 + g_rand_double(rand)) * (double)USEC_PER_SEC;

	return MAX((int64_t)MIN(drained, (double)left_usec / 3),
		   500 * USEC_PER_MSEC);
}

static void refuse(struct world *world, struct caller caller, double queue)
{

	const int64_t patience = 4 * USEC_PER_SEC;
	int64_t usec;

	if (caller.tries + 1 >= world->model->tries)
		return;
	usec = world->model->retry_drained
		       ? retry_drained_usec(world->rand, queue, patience)
		       : overload_retry_usec(world->rand);
	caller.tries++;
	caller.due = world->now + (int)(usec / USEC_PER_MSEC);
	g_array_append_val(world->returns, caller);
}

static double queue_sec(const struct world *world, const struct node *node,
			const struct caller *caller)
{
	double places = world->engines * (double)MEMORY / caller->tokens;

	return overload_queue_sec(waiting_before(world, node, caller->rank),
				  places);
}

static bool drop(struct world *world, const struct node *node,
		 struct caller *caller)
{
	struct overload_caller waits = overload_of(world, caller);
	int64_t now = world->now * USEC_PER_MSEC;
	bool late = !overload_meets_target(&waits, now, FIRST_MSEC * 1000.0);
	double queue;

	if (!late && (caller->checked || !overload_check_due(&waits, now)))
		return false;
	caller->checked = true;
	queue = queue_sec(world, node, caller);
	waits.weight = caller->weight;
	if (!late &&
	    !overload_misses_target(&waits, now, FIRST_MSEC * 1000.0, queue))
		return false;
	refuse(world, *caller, queue);
	return true;
}

static bool holds_back(const struct world *world, const struct node *node,
		       uint32_t rank)
{
	return world->model->way == WAY_HOLD_BACK && rank > 0 &&
	       waiting_before(world, node, rank - 1) > 0;
}

static void pump(struct world *world, uint32_t at)
{
	struct node *node = &world->nodes[at];
	uint32_t blocked = UINT32_MAX;
	bool claimed = false;

	for (guint i = node->waiting->len; i-- > 0;) {
		struct caller *caller =
			&g_array_index(node->waiting, struct caller, i);
		int id = caller->id;

		if (!drop(world, node, caller))
			continue;
		if (node->claimed == id)
			claim_withdraw(world, at);
		g_array_remove_index(node->waiting, i);
	}
	g_array_sort_with_data(node->waiting, order_compare, world);
	for (guint i = 0; i < node->waiting->len;) {
		const struct caller caller =
			g_array_index(node->waiting, struct caller, i);

		if (blocked != UINT32_MAX && caller.rank <= blocked) {
			i++;
		} else if (world->model->way != WAY_TICKETS &&
			   !holds_back(world, node, caller.rank) &&
			   place(world, at, &caller)) {
			if (node->claimed == caller.id)
				claim_withdraw(world, at);
			g_array_remove_index(node->waiting, i);
		} else {
			if (world->model->way == WAY_CLAIMS && !claimed)
				claim_renew(world, at, &caller);
			claimed = true;
			blocked = world->model->way == WAY_TODAY ? 1
								 : caller.rank;
			i++;
		}
	}
}

/* ---- tickets at the homes of servers ---- */

static void tickets_take(struct world *world, const struct node *node,
			 struct caller *caller)
{
	double lowest[2] = {1e9, 1e9};

	for (uint32_t i = 0; i < world->engines; i++) {
		double load = node->own[i].tokens + node->others[i].tokens +
			      MEMORY * 0.3 * g_rand_double(world->rand);

		if (load < lowest[0]) {
			lowest[1] = lowest[0];
			caller->tickets[1] = caller->tickets[0];
			lowest[0] = load;
			caller->tickets[0] = i;
		} else if (load < lowest[1]) {
			lowest[1] = load;
			caller->tickets[1] = i;
		}
	}
}

/* The home of each server places the best request that queues there. */
static void tickets_serve(struct world *world)
{
	for (uint32_t server = 0; server < world->engines; server++) {
		struct caller *best = NULL;
		uint32_t at = 0;
		guint index = 0;

		for (uint32_t n = 0; n < world->count; n++) {
			GArray *waiting = world->nodes[n].waiting;

			for (guint i = 0; i < waiting->len; i++) {
				struct caller *one = &g_array_index(
					waiting, struct caller, i);

				if ((one->tickets[0] != server &&
				     one->tickets[1] != server) ||
				    (best &&
				     order_compare(one, best, world) >= 0))
					continue;
				best = one;
				at = n;
				index = i;
			}
		}
		if (best && run_start(world, at, server, *best, TICKET_MSEC))
			g_array_remove_index(world->nodes[at].waiting, index);
	}
}

/* ---- time ---- */

static void caller_add(struct world *world, struct caller caller)
{
	uint32_t at = (uint32_t)g_rand_int_range(world->rand, 0,
						 (gint32)world->count);
	struct node *node = &world->nodes[at];

	caller.id = ++world->next_id;
	caller.arrived = world->now;
	caller.checked = false;
	if (is_away(world, node))
		return;
	precedence_seen(node->precedence, world->now * USEC_PER_MSEC,
			caller.rank);
	if (world->model->way == WAY_TICKETS)
		tickets_take(world, node, &caller);
	else if (!holds_back(world, node, caller.rank) &&
		 place(world, at, &caller))
		return;
	g_array_append_val(node->waiting, caller);
	pump(world, at);
}

static int measure_end(const struct model *model)
{
	return START + (model->burst ? BURST_MSEC : STEADY_MSEC);
}

static void caller_arrive(struct world *world)
{
	struct caller caller = {
		.rank = g_rand_double(world->rand) >= URGENT,
		.tokens = EVENTS +
			  (uint32_t)size_draw(world->rand, PROMPT, 0.5, 11000),
		.hold = (int)size_draw(world->rand, HOLD_MSEC, 0.3, 9000),
	};
	double cost = stream_cost(caller.tokens - EVENTS, EVENTS);

	if (world->rates.cost.samples == 0)
		median_init(&world->rates.cost, cost);
	median_add(&world->rates.cost, cost);
	caller.weight = engine_rates_weight(&world->rates, cost);
	caller.measured =
		world->now >= START && world->now < measure_end(world->model);
	if (caller.measured)
		world->sum->callers[caller.rank]++;
	caller_add(world, caller);
}

static void runs_end(struct world *world)
{
	for (guint i = world->runs->len; i-- > 0;) {
		const struct caller run =
			g_array_index(world->runs, struct caller, i);
		struct node *node = &world->nodes[run.instance];

		if (run.due > world->now)
			continue;
		world->real[run.server].tokens -= run.tokens;
		world->real[run.server].requests--;
		node->own[run.server].tokens -= run.tokens;
		node->own[run.server].requests--;
		g_array_remove_index_fast(world->runs, i);
		if (node->waiting->len > 0 && !is_away(world, node))
			pump(world, run.instance);
	}
}

static void returns_arrive(struct world *world)
{
	for (guint i = world->returns->len; i-- > 0;) {
		struct caller caller =
			g_array_index(world->returns, struct caller, i);

		if (caller.due > world->now)
			continue;
		g_array_remove_index_fast(world->returns, i);
		caller_add(world, caller);
	}
}

static void view_take(struct world *world, uint32_t at)
{
	struct node *node = &world->nodes[at];
	int64_t now = world->now * USEC_PER_MSEC;

	if (is_cut(world, node))
		return;
	for (uint32_t i = 0; i < world->engines; i++) {
		if (g_rand_double(world->rand) < world->model->loss)
			continue;
		node->others[i].tokens =
			world->real[i].tokens - node->own[i].tokens;
		node->others[i].requests =
			world->real[i].requests - node->own[i].requests;
	}
	memset(node->seen_waiting, 0, sizeof(node->seen_waiting));
	for (uint32_t n = 0; n < world->count; n++) {
		const GArray *waiting = world->nodes[n].waiting;

		for (guint i = 0; n != at && i < waiting->len; i++)
			node->seen_waiting[g_array_index(waiting, struct caller,
							 i)
						   .rank]++;
	}
	for (uint32_t i = 0; i < 2; i++)
		if (node->seen_waiting[i] > 0)
			precedence_seen(node->precedence, now, i);
}

static void datagrams_receive(struct world *world)
{
	struct datagram *datagram;

	while ((datagram = g_queue_peek_head(&world->datagrams)) &&
	       datagram->due <= world->now) {
		struct node *node = &world->nodes[datagram->to];

		if (!is_away(world, node))
			precedence_claim(node->precedence,
					 world->now * USEC_PER_MSEC,
					 &datagram->claim, datagram->from + 1);
		g_free(g_queue_pop_head(&world->datagrams));
	}
}

/* Memory that the requests that wait could use now. */
static void idle_measure(struct world *world)
{
	double waiting = 0.0;
	double idle = 0.0;
	uint32_t least = UINT32_MAX;

	for (uint32_t n = 0; n < world->count; n++) {
		const struct node *node = &world->nodes[n];

		for (guint i = 0;
		     !is_away(world, node) && i < node->waiting->len; i++) {
			uint32_t tokens =
				g_array_index(node->waiting, struct caller, i)
					.tokens;

			waiting += tokens;
			least = MIN(least, tokens);
		}
	}
	for (uint32_t i = 0; i < world->engines; i++) {
		uint32_t free_tokens = MEMORY - world->real[i].tokens;

		if (free_tokens >= least && world->real[i].requests < SLOTS)
			idle += free_tokens;
	}
	world->sum->idle += MIN(idle, waiting) / MEMORY / world->engines;
	world->sum->samples++;
}

static void failure_start(struct world *world)
{
	enum failure failure = world->model->failure;

	if (world->failed || world->now < FAIL_AT || failure < FAILURE_KILLED ||
	    failure > FAILURE_PARTITIONED)
		return;
	for (uint32_t n = 0; n < world->count && !world->failed; n++) {
		struct node *node = &world->nodes[n];

		if (!node->claimed)
			continue;
		world->failed = true;
		node->away_until = failure == FAILURE_KILLED
					   ? G_MAXINT
					   : world->now + FAIL_MSEC;
		if (failure == FAILURE_KILLED)
			g_array_set_size(node->waiting, 0);
	}
}

static void flood(struct world *world)
{
	if (world->model->failure != FAILURE_FLOOD || world->now % 50)
		return;
	for (uint32_t i = 0; i < world->engines; i++) {
		const struct room_claim claim = {i + 1, 0, i + 1, MEMORY,
						 PRECEDENCE_CLAIM_USEC};

		claim_deliver(world, 0, &claim);
	}
}

static void step(struct world *world)
{
	const struct model *model = world->model;
	bool burst = world->now >= START && world->now < measure_end(model);
	double capacity =
		world->engines * MEMORY / (PROMPT + EVENTS) / HOLD_MSEC;
	double expected = capacity * (model->burst && !burst ? BETWEEN_BURSTS
							     : model->demand);

	datagrams_receive(world);
	failure_start(world);
	flood(world);
	runs_end(world);
	returns_arrive(world);
	while (expected > 0.0) {
		if (g_rand_double(world->rand) < expected)
			caller_arrive(world);
		expected -= 1.0;
	}
	for (uint32_t i = 0; i < world->count; i++) {
		struct node *node = &world->nodes[i];
		int every = world->count == 1 ? 1 : PUMP_MSEC;

		if ((world->now + node->phase) % (int)model->view_msec == 0)
			view_take(world, i);
		if (node->waiting->len > 0 && !is_away(world, node) &&
		    (world->now + node->phase) % every == 0)
			pump(world, i);
		if (world->now % 1000 == 0) {
			world->sum->claims_max =
				MAX(world->sum->claims_max, node->sent_in_sec);
			node->sent_in_sec = 0;
		}
	}
	if (model->way == WAY_TICKETS)
		tickets_serve(world);
	if (burst && world->now % 10 == 0)
		idle_measure(world);
}

static void world_open(struct world *world)
{
	uint32_t engines = world->engines;

	world->real = g_new0(struct engine, engines);
	world->nodes = g_new0(struct node, world->count);
	world->runs = g_array_new(FALSE, FALSE, sizeof(struct caller));
	world->returns = g_array_new(FALSE, FALSE, sizeof(struct caller));
	g_queue_init(&world->datagrams);
	for (uint32_t i = 0; i < world->count; i++) {
		struct node *node = &world->nodes[i];

		node->waiting =
			g_array_new(FALSE, FALSE, sizeof(struct caller));
		node->own = g_new0(struct engine, engines);
		node->others = g_new0(struct engine, engines);
		node->full_until = g_new0(int, engines);
		node->precedence = precedence_create();
		node->phase = g_rand_int_range(world->rand, 0, 3000);
	}
}

static void world_close(struct world *world)
{
	for (uint32_t i = 0; i < world->count; i++) {
		struct node *node = &world->nodes[i];

		g_array_unref(node->waiting);
		g_free(node->own);
		g_free(node->others);
		g_free(node->full_until);
		precedence_destroy(node->precedence);
	}
	g_queue_clear_full(&world->datagrams, g_free);
	g_array_unref(world->runs);
	g_array_unref(world->returns);
	g_free(world->real);
	g_free(world->nodes);
	g_rand_free(world->rand);
}

void model_run(const struct model *model, struct figures *sum)
{
	struct world world = {
		.model = model,
		.sum = sum,
		.rand = g_rand_new_with_seed(model->seed),
		.engines = model->instances * 71 / 60,
		.count = model->way == WAY_GLOBAL ? 1 : model->instances,
	};
	/* Callers that retry are waited for. */
	int end = measure_end(model) + targets[1] +
		  (model->tries > 1 ? RETRIES_MSEC : 0);

	world_open(&world);
	for (; world.now < end; world.now++)
		step(&world);
	sum->instance_sec += (double)world.count * end / 1000.0;
	world_close(&world);
}

double figures_in_time(const struct figures *figures)
{
	return (figures->in_time[0] + figures->in_time[1]) /
	       (figures->callers[0] + figures->callers[1]);
}
