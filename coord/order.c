#include "order_private.h"

#include <string.h>

#include "common/log.h"

uint64_t site_task(const struct site *site)
{
	return id_mix(id_of("roles"), site->cell);
}

static bool linger_remove(struct orders *orders, uint64_t runner)
{
	for (guint i = 0; i < orders->lingers->len; i++) {
		if (g_array_index(orders->lingers, struct linger, i).runner !=
		    runner)
			continue;
		g_array_remove_index_fast(orders->lingers, i);
		return true;
	}
	return false;
}

void orders_withhold(struct orders *orders, uint64_t runner)
{
	if (!linger_remove(orders, runner))
		orders->ops.withhold(orders->ctx, runner, true);
}

void orders_release(struct orders *orders, uint64_t runner, int64_t until)
{
	struct linger linger = {.runner = runner, .until = until};

	if (clock_now(orders->clock) < until)
		g_array_append_val(orders->lingers, linger);
	else
		orders->ops.withhold(orders->ctx, runner, false);
}

static void lingers_sweep(struct orders *orders, int64_t now)
{
	for (guint i = orders->lingers->len; i > 0; i--) {
		struct linger linger =
			g_array_index(orders->lingers, struct linger, i - 1);

		if (now < linger.until)
			continue;
		g_array_remove_index_fast(orders->lingers, i - 1);
		orders->ops.withhold(orders->ctx, linger.runner, false);
	}
}

static struct site *site_of_task(struct orders *orders, uint64_t task)
{
	for (guint i = 0; i < orders->sites->len; i++) {
		struct site *site = orders->sites->pdata[i];

		if (site_task(site) == task)
			return site;
	}
	return NULL;
}

static void lease_taken(void *ctx, uint64_t task, uint64_t fence)
{
	struct site *site = site_of_task(ctx, task);

	if (site)
		site_take(site, fence);
}

static void lease_lost(void *ctx, uint64_t task)
{
	struct site *site = site_of_task(ctx, task);

	if (site)
		site_stop(site);
}

static void site_turn(struct timer *timer, void *ctx)
{
	site_send(ctx);
}

static void site_free(void *data)
{
	struct site *site = data;

	site_stop(site);
	timer_stop(&site->turn);
	g_array_free(site->asserts, TRUE);
	g_hash_table_destroy(site->avoid);
	g_free(site);
}

static struct site *site_create(struct orders *orders,
				const struct order_cell *cell)
{
	struct site *site = g_new0(struct site, 1);

	site->orders = orders;
	site->cell = cell->id;
	site->checks_fencing = cell->checks_fencing;
	site->asserts = g_array_new(FALSE, FALSE, sizeof(struct runner_name));
	site->avoid = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    g_free);
	timer_init(&site->turn, orders->clock, site_turn, site);
	role_init(&site->role, &orders->settings);
	g_ptr_array_add(orders->sites, site);
	return site;
}

static struct site *site_find(const struct orders *orders, uint64_t cell)
{
	for (guint i = 0; i < orders->sites->len; i++) {
		struct site *site = orders->sites->pdata[i];

		if (site->cell == cell)
			return site;
	}
	return NULL;
}

static void site_want(struct site *site)
{
	struct leases *leases = site->orders->leases;

	if (site->checks_fencing)
		lease_acquire(leases, site_task(site));
	else
		lease_acquire_unfenced(leases, site_task(site),
				       ORDER_TIMEOUT_USEC);
}

static void cell_visit(struct orders *orders, const struct order_cell *cell)
{
	struct site *site = site_find(orders, cell->id);

	/* Another wait belongs to the other kind of engine. */
	if (site && site->checks_fencing != cell->checks_fencing)
		return;
	if (!site)
		site = site_create(orders, cell);
	site->seen = true;
	site_want(site);
	site_tick(site, cell);
}

/* Cells that this is no longer home to, or whose pools changed. */
static void sites_sweep(struct orders *orders)
{
	for (guint i = orders->sites->len; i > 0; i--) {
		struct site *site = orders->sites->pdata[i - 1];
		bool seen = site->seen;

		site->seen = false;
		if (seen)
			continue;
		site_stop(site);
		lease_release(orders->leases, site_task(site));
		g_ptr_array_remove_index(orders->sites, i - 1);
	}
}

static void orders_tick(struct timer *timer, void *ctx)
{
	struct orders *orders = ctx;
	struct order_cell cell;
	uint32_t cursor = 0;

	timer_start(timer, ORDER_TICK_USEC);
	lingers_sweep(orders, clock_now(orders->clock));
	while (orders->ops.cell_next(orders->ctx, &cursor, &cell))
		cell_visit(orders, &cell);
	sites_sweep(orders);
}

struct orders *orders_create(struct clock *clock, const struct owner *self,
			     const struct log_store *store,
			     const struct role_settings *settings,
			     const struct order_ops *ops, void *ctx)
{
	static const struct lease_ops lease_ops = {
		.taken = lease_taken,
		.lost = lease_lost,
	};
	struct orders *orders = g_new0(struct orders, 1);

	orders->clock = clock;
	orders->ops = *ops;
	orders->ctx = ctx;
	if (settings)
		orders->settings = *settings;
	/* Orders to a runner for one role and the other never cross. */
	if (orders->settings.dwell > 0)
		orders->settings.dwell =
			MAX(orders->settings.dwell, ORDER_TIMEOUT_USEC);
	orders->lingers = g_array_new(FALSE, FALSE, sizeof(struct linger));
	orders->sites = g_ptr_array_new_with_free_func(site_free);
	orders->leases = leases_create(clock, self, store, &lease_ops, orders);
	timer_init(&orders->tick, clock, orders_tick, orders);
	timer_start(&orders->tick, ORDER_TICK_USEC);
	return orders;
}

void orders_destroy(struct orders *orders)
{
	if (!orders)
		return;
	timer_stop(&orders->tick);
	sites_sweep(orders);
	g_ptr_array_free(orders->sites, TRUE);
	lingers_sweep(orders, CLOCK_NEVER);
	g_array_free(orders->lingers, TRUE);
	leases_destroy(orders->leases);
	g_free(orders);
}

static struct site *site_of_call(const struct orders *orders, uint64_t runner,
				 enum site_call call)
{
	for (guint i = 0; i < orders->sites->len; i++) {
		struct site *site = orders->sites->pdata[i];

		if (site->call == call && site->runner == runner)
			return site;
	}
	return NULL;
}

void orders_read_done(struct orders *orders, uint64_t runner, bool ok,
		      enum pool_role role)
{
	struct site *site = site_of_call(orders, runner, CALL_READ);

	if (site)
		site_read_done(site, ok, role);
}

void orders_send_done(struct orders *orders, uint64_t runner,
		      enum order_answer answer)
{
	struct site *site = site_of_call(orders, runner, CALL_SEND);

	if (site)
		site_send_done(site, answer);
}

void orders_stats(const struct orders *orders, struct orders_stats *stats)
{
	*stats = orders->stats;
	stats->leases = 0;
	for (guint i = 0; i < orders->sites->len; i++) {
		const struct site *site = orders->sites->pdata[i];

		stats->leases +=
			lease_valid(orders->leases, site_task(site), NULL);
	}
}

bool orders_next(const struct orders *orders, uint32_t *cursor,
		 struct orders_status *status)
{
	static const char *const labels[] = {
		[STEP_IDLE] = "idle",	[STEP_ASSERT] = "assert",
		[STEP_DRAIN] = "drain", [STEP_ORDER] = "order",
		[STEP_LIST] = "list",
	};
	const struct site *site;

	if (*cursor >= orders->sites->len)
		return false;
	site = orders->sites->pdata[(*cursor)++];
	*status = (struct orders_status){
		.cell = site->cell,
		.held = lease_valid(orders->leases, site_task(site), NULL),
		.fence = site->fence,
		.step = labels[site->step],
		.runner = site->name,
		.role = site->target,
		.changes = site->changes,
		.need_prefill = site->role.prefill,
		.need_decode = site->role.decode,
	};
	return true;
}
