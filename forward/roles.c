#include "forward/roles.h"

#include <math.h>
#include <string.h>

#include "common/id.h"
#include "common/log.h"
#include "coord/lease.h"

#define TICK_USEC (500 * USEC_PER_MSEC)
/* Part of the runners that prefill while no demand is known. With prompts of
 * some 3,000 tokens and answers of some 70, generating takes about four times
 * as long as prefilling. */
#define PREFILL_PART_DEFAULT 0.21
/* Bounds of the prefill capacity, as multiples of the mean demand. More than
 * HEADROOM_MAX stands idle even in bursts of twice the mean; less than
 * HEADROOM_MIN leaves a lasting queue. Between the two nothing changes, because
 * a runner that changes its role serves neither role for some ten seconds. */
#define HEADROOM_MAX 2.4
#define HEADROOM_MIN 1.25
/* With fewer prefill runners, losing one stops the service. Applies to services
 * of at least TOTAL_FOR_PREFILL_MIN runners. */
#define PREFILL_MIN 2u
#define TOTAL_FOR_PREFILL_MIN 5u
/* Decode runners of a software version that a change should leave: only these
 * continue the streams of the version. */
#define VERSION_DECODE_MIN 2u
/* A change must be wanted for this long once there is traffic. It is longer
 * than a series of bursts. */
#define CHANGE_DELAY_USEC (30 * USEC_PER_SEC)
/* Replaces CHANGE_DELAY_USEC when the prefill runners cannot keep up with the
 * mean demand and the queue only grows. It covers servers that are missing from
 * the list for two seconds after the store was unreachable. */
#define OVERLOAD_DELAY_USEC (3 * USEC_PER_SEC)
/* The service is overloaded when the mean demand exceeds the prefill capacity
 * by this factor. With 1.0, a few seconds with a burst among them would count
 * as an overload on a site with enough capacity. */
#define OVERLOAD_RATIO 1.1
/* Averaging time of the mean demand, which is unknown until traffic has lasted
 * this long. A burst of twice the demand for five seconds raises the mean by a
 * sixth. */
#define MEAN_USEC (30 * USEC_PER_SEC)
/* Demand in tokens a second below which there is taken to be no traffic, as in
 * the first seconds, when the demand is not known yet. */
#define DEMAND_MIN 1000.0
/* Added to the time that a change takes, before its runner may be ordered
 * again. Covers orders that are carried out seconds late. */
#define MOVE_MARGIN_USEC (14 * USEC_PER_SEC)
/* Time within which an order arrives or fails: its call times out after two
 * seconds. If an order is carried out later, the next orders follow from
 * the updated list. */
#define ORDER_TIMEOUT_USEC (2500 * USEC_PER_MSEC)
/* Term of the lease. A failed holder is replaced after the term, the safety
 * margin and the time of an order, 7.7 s in all. With the library's default
 * term it would be 24 s, and a service could lack a prefill runner for half a
 * minute. Orders of two holders stay at least 3 s apart. */
#define ROLES_TERM_USEC (3 * USEC_PER_SEC)
/* Time after the start before any change is ordered, since the list of runners
 * may still be incomplete. */
#define SETTLE_USEC (1200 * USEC_PER_MSEC)

struct move {
	uint64_t key;
	enum backend_stage stage;
	int64_t until;
};

struct roles {
	struct roles_parts parts;
	struct leases *leases;
	bool leasing;
	uint64_t task;
	struct timer timer;
	int64_t started;
	GHashTable *moves; /* key to struct move */
	int64_t wanted_since;
	int32_t wanted;	 /* sign of the change wanted */
	double mean_sum; /* demand of the ticks with traffic, decayed */
	double mean_weight;
	uint32_t mean_ticks;
	bool ordering; /* an order is waiting for its answer */
	uint64_t ordered;
	bool destroyed;
};

static uint32_t runners_for(uint32_t total, double rate, double capacity)
{
	uint32_t least = total >= TOTAL_FOR_PREFILL_MIN ? PREFILL_MIN : 1;

	return (uint32_t)CLAMP(ceil(rate / capacity - 0.25), (double)least,
			       floor((double)total / 2.0));
}

int32_t roles_prefill_surplus(uint32_t prefill, uint32_t total, double rate,
			      double capacity)
{
	uint32_t most = runners_for(total, PREFILL_PART_DEFAULT * total, 1.0);
	uint32_t least = most;

	if (total < 2)
		return 0;
	if (rate > 0.0) {
		most = runners_for(total, rate * HEADROOM_MAX, capacity);
		least = runners_for(total, rate * HEADROOM_MIN, capacity);
	}
	if (prefill > most)
		return (int32_t)(prefill - most);
	return prefill < least ? -(int32_t)(least - prefill) : 0;
}

/* The stage of a runner, or the one that it was ordered to change to. */
static enum backend_stage stage_of(struct roles *roles,
				   const struct backend *backend)
{
	const struct move *move =
		g_hash_table_lookup(roles->moves, &backend->key);

	return move ? move->stage : backend->info.stage;
}

static gboolean move_is_over(gpointer key, gpointer value, gpointer data)
{
	const struct move *move = value;
	const struct roles *roles = data;

	return clock_now(roles->parts.clock) >= move->until;
}

/* Counts the runners of a stage by data centre. */
static GHashTable *centres_count(struct roles *roles, const GPtrArray *list,
				 enum backend_stage stage)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < list->len; i++) {
		struct backend *one = list->pdata[i];
		char *centre = one->info.data_centre;
		guint count =
			GPOINTER_TO_UINT(g_hash_table_lookup(counts, centre));

		if (stage_of(roles, one) == stage)
			g_hash_table_insert(counts, centre,
					    GUINT_TO_POINTER(count + 1));
	}
	return counts;
}

/* Other runners of that stage that can continue the streams of this one. */
static uint32_t same_software(struct roles *roles, const GPtrArray *list,
			      const struct backend *backend,
			      enum backend_stage stage)
{
	uint32_t count = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct backend *other = list->pdata[i];

		count += other != backend && !backend_withdrawn(other) &&
			 other->info.software == backend->info.software &&
			 stage_of(roles, other) == stage;
	}
	return count;
}

/* Whether the change leaves enough decode runners of the runner's version for
 * the streams that it has begun. */
static bool keeps_version(struct roles *roles, const GPtrArray *list,
			  const struct backend *backend,
			  enum backend_stage from)
{
	return from != STAGE_DECODE ||
	       same_software(roles, list, backend, from) >= VERSION_DECODE_MIN;
}

/* The runner whose change keeps the data centres most balanced: one from the
 * data centre with most runners of that stage and, among those, the one with
 * the fewest requests. */
static struct backend *runner_choose(struct roles *roles, const GPtrArray *list,
				     enum backend_stage from)
{
	g_autoptr(GHashTable) counts = centres_count(roles, list, from);
	int64_t now = clock_now(roles->parts.clock);
	struct backend *best = NULL;
	bool best_keeps = false;
	uint32_t most = 0;

	for (guint i = 0; i < list->len; i++) {
		struct backend *one = list->pdata[i];
		uint32_t same;
		bool keeps;

		if (stage_of(roles, one) != from || !backend_usable(one, now) ||
		    g_hash_table_contains(roles->moves, &one->key))
			continue;
		same = GPOINTER_TO_UINT(
			g_hash_table_lookup(counts, one->info.data_centre));
		keeps = keeps_version(roles, list, one, from);
		if (best && keeps != best_keeps ? keeps
		    : same != most
			    ? same > most
			    : backend_requests(one) < backend_requests(best)) {
			best_keeps = keeps;
			most = same;
			best = one;
		}
	}
	return best;
}

static void move_cancel(struct roles *roles)
{
	struct backend *backend =
		fleet_find(roles->parts.fleet, roles->ordered);

	if (backend)
		backend->changing_until = 0;
	g_hash_table_remove(roles->moves, &roles->ordered);
}

static void on_ordered(void *ctx, enum order_result result)
{
	struct roles *roles = ctx;

	if (roles->destroyed) {
		g_free(roles);
		return;
	}
	roles->ordering = false;
	log_event(LOG_NOTICE, "role_order_answered", LOG_D("result", result));
	/* The order was not carried out, so the runner may be chosen again. */
	if (result == ORDER_REFUSED)
		move_cancel(roles);
}

static void order_send(struct roles *roles, struct backend *backend,
		       enum backend_stage stage,
		       const struct catalog_service *service, uint64_t fence)
{
	const struct backend_ops *ops = &roles->parts.backends;
	struct move *move = g_new0(struct move, 1);
	struct stage_order order = {
		.to = &backend->info,
		.stage = stage,
		.holder = roles->parts.name,
		.fence = fence,
	};

	move->key = backend->key;
	move->stage = stage;
	move->until = clock_now(roles->parts.clock) +
		      service->engine.switch_usec + MOVE_MARGIN_USEC;
	g_hash_table_replace(roles->moves, &move->key, move);
	backend->changing_until = move->until;
	roles->ordering = true;
	roles->ordered = move->key;
	log_event(LOG_NOTICE, "role_order", LOG_S("backend", backend->info.id),
		  LOG_S("stage", stage == STAGE_DECODE ? "decode" : "prefill"),
		  LOG_D("fence", fence));
	ops->order(ops->ctx, &order, on_ordered, roles);
}

struct stages {
	uint32_t prefill;
	uint32_t total;
};

static struct stages stages_count(struct roles *roles, const GPtrArray *list)
{
	int64_t now = clock_now(roles->parts.clock);
	struct stages stages = {0};

	for (guint i = 0; i < list->len; i++) {
		const struct backend *backend = list->pdata[i];
		enum backend_stage stage = stage_of(roles, backend);

		/* A changing runner counts in its new role. */
		if (stage == STAGE_NONE || backend_withdrawn(backend) ||
		    now < backend->reported_until ||
		    backend_path(backend, now) == PATH_NONE)
			continue;
		stages.total++;
		stages.prefill += stage == STAGE_PREFILL;
	}
	return stages;
}

static void mean_update(struct roles *roles)
{
	double rate = roles->parts.ops.demand(roles->parts.ctx);
	double kept = 1.0 - (double)TICK_USEC / (double)MEAN_USEC;

	if (rate < DEMAND_MIN)
		return;
	roles->mean_sum = roles->mean_sum * kept + rate;
	roles->mean_weight = roles->mean_weight * kept + 1.0;
	roles->mean_ticks++;
}

static double mean_demand(const struct roles *roles)
{
	return roles->mean_sum / MAX(roles->mean_weight, 1.0);
}

/* Prompt tokens a second of one prefill runner. A fixed rate below
 * that of the engines would turn too many servers into prefill servers in a
 * burst. */
static double prefill_rate(const struct roles *roles)
{
	return roles->parts.ops.prefill_rate(roles->parts.ctx);
}

static bool is_overloaded(const struct roles *roles, struct stages stages)
{
	return roles->mean_ticks >= MEAN_USEC / TICK_USEC &&
	       stages.prefill * prefill_rate(roles) * OVERLOAD_RATIO <
		       mean_demand(roles);
}

/* Number of runners that should become decode runners; if negative, that many
 * should become prefill runners. */
static int32_t change_wanted(struct roles *roles, struct stages stages)
{
	double rate = roles->parts.ops.demand(roles->parts.ctx);

	if (rate < DEMAND_MIN)
		rate = 0.0;
	return roles_prefill_surplus(stages.prefill, stages.total, rate,
				     prefill_rate(roles));
}

static bool lacks_spare(struct stages stages)
{
	return stages.total >= TOTAL_FOR_PREFILL_MIN &&
	       (stages.prefill < PREFILL_MIN || stages.prefill == stages.total);
}

/* How long a change must have been wanted: zero without traffic, or when a
 * stage has so few runners that the loss of one could leave it empty. */
static int64_t change_delay(struct roles *roles, struct stages stages,
			    int32_t change)
{
	if (lacks_spare(stages) ||
	    roles->parts.ops.demand(roles->parts.ctx) < DEMAND_MIN)
		return 0;
	if (change < 0 && is_overloaded(roles, stages))
		return OVERLOAD_DELAY_USEC;
	return CHANGE_DELAY_USEC;
}

static bool is_due(struct roles *roles, struct stages stages, int32_t change)
{
	int64_t now = clock_now(roles->parts.clock);
	int32_t direction = (change > 0) - (change < 0);

	if (direction != roles->wanted) {
		roles->wanted = direction;
		roles->wanted_since = now;
		log_event(LOG_INFO, "role_change_wanted",
			  LOG_D("to_decode", change),
			  LOG_D("prefill", stages.prefill),
			  LOG_D("runners", stages.total),
			  LOG_D("demand", (int64_t)roles->parts.ops.demand(
						  roles->parts.ctx)),
			  LOG_D("mean_demand", (int64_t)mean_demand(roles)));
	}
	return direction != 0 &&
	       now - roles->wanted_since >= change_delay(roles, stages, change);
}

static void lease_drop(struct roles *roles)
{
	if (!roles->leasing)
		return;
	lease_release(roles->leases, roles->task);
	leases_destroy(roles->leases);
	roles->leases = NULL;
	roles->leasing = false;
}

static void on_lease_taken(void *ctx, uint64_t task, uint64_t fence)
{
	log_event(LOG_NOTICE, "role_lease_taken", LOG_D("fence", fence));
}

static void on_lease_lost(void *ctx, uint64_t task)
{
	log_event(LOG_NOTICE, "role_lease_lost");
}

static void lease_request(struct roles *roles)
{
	static const struct lease_ops ops = {on_lease_taken, on_lease_lost};
	struct owner self = {id_of(roles->parts.name), roles->parts.boot};

	roles->leases = leases_create(roles->parts.clock, &self,
				      &roles->parts.log, &ops, roles);
	leases_set_term(roles->leases, ROLES_TERM_USEC);
	lease_acquire_unfenced(roles->leases, roles->task, ORDER_TIMEOUT_USEC);
	roles->leasing = true;
}

static void service_tick(struct roles *roles,
			 const struct catalog_service *service)
{
	const GPtrArray *list = fleet_service(roles->parts.fleet, service->id);
	struct stages stages;
	int32_t change;
	struct backend *backend;
	uint64_t fence;

	if (!list || service->engine.memory_tokens == 0)
		return;
	stages = stages_count(roles, list);
	change = change_wanted(roles, stages);
	if (!is_due(roles, stages, change))
		return;
	backend = runner_choose(roles, list,
				change > 0 ? STAGE_PREFILL : STAGE_DECODE);
	if (!backend)
		return;
	if (!lease_valid(roles->leases, roles->task, &fence) || roles->ordering)
		return;
	order_send(roles, backend, change > 0 ? STAGE_DECODE : STAGE_PREFILL,
		   service, fence);
	/* Changes for an overload follow each other without a new delay. */
	stages.prefill += change < 0;
	if (change > 0 || !is_overloaded(roles, stages))
		roles->wanted_since = clock_now(roles->parts.clock);
}

static void services_tick(struct roles *roles)
{
	const struct catalog *catalog =
		roles->parts.ops.catalog(roles->parts.ctx);
	GHashTableIter iter;
	struct catalog_service *service;

	if (!catalog)
		return;
	g_hash_table_iter_init(&iter, catalog->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service))
		service_tick(roles, service);
}

static void on_tick(struct timer *timer, void *ctx)
{
	struct roles *roles = ctx;
	int64_t now = clock_now(roles->parts.clock);

	timer_start(timer, TICK_USEC);
	g_hash_table_foreach_remove(roles->moves, move_is_over, roles);
	if (now - roles->started < SETTLE_USEC)
		return;
	mean_update(roles);
	/* A new lease becomes valid only after 7.7 s, because orders of an
	 * earlier holder may still arrive. So it is held before an order is
	 * due. This costs one call a second, by one instance of the site. */
	if (!roles->parts.ops.decides(roles->parts.ctx)) {
		lease_drop(roles);
		return;
	}
	if (!roles->leasing)
		lease_request(roles);
	services_tick(roles);
}

struct roles *roles_create(const struct roles_parts *parts)
{
	struct roles *roles = g_new0(struct roles, 1);

	roles->parts = *parts;
	roles->task = id_of("roles");
	roles->moves = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	roles->started = clock_now(parts->clock);
	timer_init(&roles->timer, parts->clock, on_tick, roles);
	timer_start(&roles->timer, TICK_USEC);
	return roles;
}

void roles_destroy(struct roles *roles)
{
	if (!roles)
		return;
	timer_stop(&roles->timer);
	lease_drop(roles);
	g_hash_table_destroy(roles->moves);
	roles->destroyed = true;
	/* While an order is pending, on_ordered() frees roles later. */
	if (!roles->ordering)
		g_free(roles);
}

uint32_t roles_pending_changes(const struct roles *roles,
			       struct backend_change *changes, uint32_t max)
{
	int64_t now = clock_now(roles->parts.clock);
	const struct move *move;
	GHashTableIter iter;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, roles->moves);
	while (count < max &&
	       g_hash_table_iter_next(&iter, NULL, (gpointer *)&move)) {
		const struct backend *backend =
			fleet_find(roles->parts.fleet, move->key);

		if (!backend || backend->info.stage == move->stage ||
		    now >= move->until)
			continue;
		changes[count++] = (struct backend_change){
			move->key, move->stage, move->until - now};
	}
	return count;
}
