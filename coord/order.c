#include "order_private.h"

#include <string.h>

#include "common/log.h"

uint64_t controller_task(const struct controller *ctl)
{
	return id_mix(id_of("roles"), ctl->cell);
}

static bool delayed_release_remove(struct orders *orders, uint64_t runner)
{
	for (guint i = 0; i < orders->delayed_releases->len; i++) {
		const struct delayed_release *release = &g_array_index(
			orders->delayed_releases, struct delayed_release, i);

		if (release->runner != runner)
			continue;
		g_array_remove_index_fast(orders->delayed_releases, i);
		return true;
	}
	return false;
}

void orders_withhold(struct orders *orders, uint64_t runner)
{
	if (!delayed_release_remove(orders, runner))
		orders->ops.withhold(orders->ctx, runner, true);
}

void orders_release(struct orders *orders, uint64_t runner, int64_t until)
{
	struct delayed_release release = {.runner = runner, .until = until};

	if (clock_now(orders->clock) < until)
		g_array_append_val(orders->delayed_releases, release);
	else
		orders->ops.withhold(orders->ctx, runner, false);
}

static void delayed_releases_sweep(struct orders *orders, int64_t now)
{
	for (guint i = orders->delayed_releases->len; i > 0; i--) {
		struct delayed_release release =
			g_array_index(orders->delayed_releases,
				      struct delayed_release, i - 1);

		if (now < release.until)
			continue;
		g_array_remove_index_fast(orders->delayed_releases, i - 1);
		orders->ops.withhold(orders->ctx, release.runner, false);
	}
}

static struct controller *controller_of_task(struct orders *orders,
					     uint64_t task)
{
	for (guint i = 0; i < orders->controllers->len; i++) {
		struct controller *ctl = orders->controllers->pdata[i];

		if (controller_task(ctl) == task)
			return ctl;
	}
	return NULL;
}

static void lease_taken(void *ctx, uint64_t task, uint64_t fence)
{
	struct controller *ctl = controller_of_task(ctx, task);

	if (ctl)
		controller_start(ctl, fence);
}

static void lease_lost(void *ctx, uint64_t task)
{
	struct controller *ctl = controller_of_task(ctx, task);

	if (ctl)
		controller_stop(ctl);
}

static void controller_send_timer(struct timer *timer, void *ctx)
{
	controller_send(ctx);
}

static void controller_free(void *data)
{
	struct controller *ctl = data;

	controller_stop(ctl);
	timer_stop(&ctl->send_timer);
	g_array_free(ctl->to_assert, TRUE);
	g_hash_table_destroy(ctl->avoid_until);
	g_free(ctl);
}

static struct controller *controller_create(struct orders *orders,
					    const struct order_cell *cell)
{
	struct controller *ctl = g_new0(struct controller, 1);

	ctl->orders = orders;
	ctl->cell = cell->id;
	ctl->checks_fencing = cell->checks_fencing;
	ctl->to_assert = g_array_new(FALSE, FALSE, sizeof(struct runner_name));
	ctl->avoid_until = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
	timer_init(&ctl->send_timer, orders->clock, controller_send_timer, ctl);
	role_init(&ctl->role, &orders->settings);
	g_ptr_array_add(orders->controllers, ctl);
	return ctl;
}

static struct controller *controller_find(const struct orders *orders,
					  uint64_t cell)
{
	for (guint i = 0; i < orders->controllers->len; i++) {
		struct controller *ctl = orders->controllers->pdata[i];

		if (ctl->cell == cell)
			return ctl;
	}
	return NULL;
}

static void controller_acquire_lease(struct controller *ctl)
{
	struct leases *leases = ctl->orders->leases;

	if (ctl->checks_fencing)
		lease_acquire(leases, controller_task(ctl));
	else
		lease_acquire_unfenced(leases, controller_task(ctl),
				       ORDER_TIMEOUT_USEC);
}

static void cell_visit(struct orders *orders, const struct order_cell *cell)
{
	struct controller *ctl = controller_find(orders, cell->id);

	/* Left to the sweep: the lease wait depends on checks_fencing. */
	if (ctl && ctl->checks_fencing != cell->checks_fencing)
		return;
	if (!ctl)
		ctl = controller_create(orders, cell);
	ctl->visited = true;
	controller_acquire_lease(ctl);
	controller_tick(ctl, cell);
}

/* Removes cells whose home has moved or whose pools have changed. */
static void controllers_sweep(struct orders *orders)
{
	for (guint i = orders->controllers->len; i > 0; i--) {
		struct controller *ctl = orders->controllers->pdata[i - 1];
		bool visited = ctl->visited;

		ctl->visited = false;
		if (visited)
			continue;
		controller_stop(ctl);
		lease_release(orders->leases, controller_task(ctl));
		g_ptr_array_remove_index(orders->controllers, i - 1);
	}
}

static void orders_tick(struct timer *timer, void *ctx)
{
	struct orders *orders = ctx;
	struct order_cell cell;
	uint32_t cursor = 0;

	timer_start(timer, ORDER_TICK_USEC);
	delayed_releases_sweep(orders, clock_now(orders->clock));
	while (orders->ops.cell_next(orders->ctx, &cursor, &cell))
		cell_visit(orders, &cell);
	controllers_sweep(orders);
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
	/* Keeps successive orders to one runner from overtaking each other. */
	if (orders->settings.dwell > 0)
		orders->settings.dwell =
			MAX(orders->settings.dwell, ORDER_TIMEOUT_USEC);
	orders->delayed_releases =
		g_array_new(FALSE, FALSE, sizeof(struct delayed_release));
	orders->controllers = g_ptr_array_new_with_free_func(controller_free);
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
	controllers_sweep(orders);
	g_ptr_array_free(orders->controllers, TRUE);
	delayed_releases_sweep(orders, CLOCK_NEVER);
	g_array_free(orders->delayed_releases, TRUE);
	leases_destroy(orders->leases);
	g_free(orders);
}

static struct controller *controller_of_call(const struct orders *orders,
					     uint64_t runner,
					     enum call_phase call)
{
	for (guint i = 0; i < orders->controllers->len; i++) {
		struct controller *ctl = orders->controllers->pdata[i];

		if (ctl->call == call && ctl->runner == runner)
			return ctl;
	}
	return NULL;
}

void orders_read_done(struct orders *orders, uint64_t runner, bool ok,
		      enum pool_role role)
{
	struct controller *ctl = controller_of_call(orders, runner, CALL_READ);

	if (ctl)
		controller_read_done(ctl, ok, role);
}

void orders_send_done(struct orders *orders, uint64_t runner,
		      enum order_answer answer)
{
	struct controller *ctl = controller_of_call(orders, runner, CALL_SEND);

	if (ctl)
		controller_send_done(ctl, answer);
}

void orders_stats(const struct orders *orders, struct orders_stats *stats)
{
	*stats = orders->stats;
	stats->leases = 0;
	for (guint i = 0; i < orders->controllers->len; i++) {
		const struct controller *ctl = orders->controllers->pdata[i];

		stats->leases +=
			lease_valid(orders->leases, controller_task(ctl), NULL);
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
	const struct controller *ctl;

	if (*cursor >= orders->controllers->len)
		return false;
	ctl = orders->controllers->pdata[(*cursor)++];
	*status = (struct orders_status){
		.cell = ctl->cell,
		.held = lease_valid(orders->leases, controller_task(ctl), NULL),
		.fence = ctl->fence,
		.step = labels[ctl->step],
		.runner = ctl->name,
		.role = ctl->target_role,
		.changes = ctl->changes,
		.need_prefill = ctl->role.need_prefill,
		.need_decode = ctl->role.need_decode,
	};
	return true;
}
