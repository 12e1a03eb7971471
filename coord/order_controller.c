/*
 * order_controller.c - the steps of a role change while the lease is held
 */
#include "order_private.h"

#include "common/log.h"

#define ATTEMPTS_MAX 10u
#define ASSERT_ATTEMPTS_MAX 4u
/* ORDER_TIMEOUT_USEC is in true time, and the local clock may run fast. */
#define ORDER_EXPIRY_USEC (ORDER_TIMEOUT_USEC + 1 * USEC_PER_SEC)
/* A report taken this long after a change reflects the change. */
#define REPORT_LAG_USEC (2 * USEC_PER_SEC)
/* A runner that has not reported for this time is unreachable. */
#define REPORT_TIMEOUT_USEC (30 * USEC_PER_SEC)

static const char *role_label(enum pool_role role)
{
	return role == POOL_DECODE ? "decode" : "prefill";
}

static int64_t now(const struct controller *ctl)
{
	return clock_now(ctl->orders->clock);
}

static void step_enter(struct controller *ctl, enum change_step step)
{
	ctl->step = step;
	ctl->step_at = now(ctl);
	ctl->order_attempts = 0;
	ctl->failures = 0;
	ctl->acknowledged = false;
}

static void call_cancel(struct controller *ctl)
{
	struct orders *orders = ctl->orders;

	timer_stop(&ctl->send_timer);
	if (ctl->call == CALL_READ || ctl->call == CALL_SEND)
		orders->ops.cancel(orders->ctx, ctl->runner);
	ctl->call = CALL_NONE;
}

static bool is_changing(const struct controller *ctl)
{
	return ctl->step == STEP_DRAIN || ctl->step == STEP_ORDER ||
	       ctl->step == STEP_LIST;
}

/* Ends the change, successful or not. */
static void change_end(struct controller *ctl)
{
	int64_t until =
		ctl->order_attempts ? ctl->sent_at + ORDER_EXPIRY_USEC : 0;

	call_cancel(ctl);
	if (ctl->step == STEP_LIST)
		until = 0; /* a late order would only repeat the role */
	if (is_changing(ctl))
		orders_release(ctl->orders, ctl->runner, until);
	step_enter(ctl, STEP_IDLE);
	ctl->runner = 0;
	ctl->name[0] = '\0';
}

void controller_stop(struct controller *ctl)
{
	change_end(ctl);
	ctl->asserting = false;
	g_array_set_size(ctl->to_assert, 0);
}

void controller_start(struct controller *ctl, uint64_t fence)
{
	controller_stop(ctl);
	ctl->fence = fence;
	role_init(&ctl->role, &ctl->orders->settings);
	ctl->asserting = true;
	step_enter(ctl, STEP_ASSERT);
}

static void change_fail(struct controller *ctl, const char *reason)
{
	struct orders *orders = ctl->orders;
	uint64_t *runner = g_memdup2(&ctl->runner, sizeof(ctl->runner));
	int64_t *until = g_new(int64_t, 1);

	*until = now(ctl) + ORDER_AVOID_USEC;
	g_hash_table_replace(ctl->avoid_until, runner, until);
	orders->stats.failures++;
	log_event(LOG_WARNING, "role_change_failed", LOG_X("cell", ctl->cell),
		  LOG_S("runner", ctl->name),
		  LOG_S("role", role_label(ctl->target_role)),
		  LOG_S("reason", reason));
	change_end(ctl);
}

static void read_start(struct controller *ctl)
{
	struct orders *orders = ctl->orders;

	ctl->call = CALL_READ;
	orders->ops.read(orders->ctx, ctl->runner);
}

static const struct order_runner *runner_find(const struct order_cell *cell,
					      uint64_t id)
{
	for (uint32_t i = 0; i < cell->runner_count; i++) {
		if (cell->runners[i].id == id)
			return &cell->runners[i];
	}
	return NULL;
}

/* Reads the role of the next runner to be asserted, or ends the step. */
static void assert_next(struct controller *ctl)
{
	guint left = ctl->to_assert->len;
	const struct runner_name *next;

	if (left == 0) {
		log_event(LOG_INFO, "roles_asserted", LOG_X("cell", ctl->cell),
			  LOG_D("fence", ctl->fence));
		ctl->asserting = false;
		change_end(ctl);
		return;
	}
	next = &g_array_index(ctl->to_assert, struct runner_name, left - 1);
	ctl->runner = next->id;
	ctl->listed_role = next->role;
	g_strlcpy(ctl->name, next->name, sizeof(ctl->name));
	g_array_set_size(ctl->to_assert, left - 1);
	ctl->order_attempts = 0;
	ctl->failures = 0;
	ctl->acknowledged = false;
	read_start(ctl);
}

static void assert_begin(struct controller *ctl, const struct order_cell *cell)
{
	for (uint32_t i = 0; i < cell->runner_count; i++) {
		struct runner_name item = {
			.id = cell->runners[i].id,
			.role = cell->runners[i].role,
		};

		g_strlcpy(item.name, cell->runners[i].name, sizeof(item.name));
		g_array_append_val(ctl->to_assert, item);
	}
	assert_next(ctl);
}

static void assert_tick(struct controller *ctl, const struct order_cell *cell)
{
	if (now(ctl) - ctl->step_at < REPORT_LAG_USEC || ctl->call != CALL_NONE)
		return;
	if (!ctl->runner)
		assert_begin(ctl, cell);
	else if (ctl->failures + ctl->order_attempts >= ASSERT_ATTEMPTS_MAX)
		assert_next(ctl); /* unreachable runners get no work */
	else
		read_start(ctl);
}

static bool is_avoided(const struct controller *ctl, uint64_t runner)
{
	const int64_t *until = g_hash_table_lookup(ctl->avoid_until, &runner);

	return until && now(ctl) < *until;
}

/* The usable runner of the role with the fewest grants. */
static const struct order_runner *runner_choose(const struct controller *ctl,
						const struct order_cell *cell,
						enum pool_role role)
{
	const struct order_runner *best = NULL;

	for (uint32_t i = 0; i < cell->runner_count; i++) {
		const struct order_runner *r = &cell->runners[i];

		if (!r->usable || r->role != role || is_avoided(ctl, r->id))
			continue;
		if (!best || r->grants < best->grants)
			best = r;
	}
	return best;
}

static void change_start(struct controller *ctl, const struct order_cell *cell,
			 enum role_move move)
{
	enum pool_role from =
		move == ROLE_TO_DECODE ? POOL_PREFILL : POOL_DECODE;
	const struct order_runner *runner = runner_choose(ctl, cell, from);

	if (!runner)
		return;
	ctl->runner = runner->id;
	g_strlcpy(ctl->name, runner->name, sizeof(ctl->name));
	ctl->listed_role = from;
	ctl->target_role = from == POOL_PREFILL ? POOL_DECODE : POOL_PREFILL;
	step_enter(ctl, STEP_DRAIN);
	orders_withhold(ctl->orders, ctl->runner);
	log_event(LOG_NOTICE, "role_change_started", LOG_X("cell", ctl->cell),
		  LOG_S("runner", ctl->name),
		  LOG_S("role", role_label(ctl->target_role)),
		  LOG_F("need_prefill", ctl->role.need_prefill),
		  LOG_F("need_decode", ctl->role.need_decode),
		  LOG_D("prefill", cell->load.prefill),
		  LOG_D("decode", cell->load.decode));
}

/* Whether the role keeps a usable runner without the one that changes. */
static bool has_other_usable(const struct controller *ctl,
			     const struct order_cell *cell, enum pool_role role)
{
	for (uint32_t i = 0; i < cell->runner_count; i++) {
		const struct order_runner *r = &cell->runners[i];

		if (r->id != ctl->runner && r->usable && r->role == role)
			return true;
	}
	return false;
}

static void drain_tick(struct controller *ctl, const struct order_cell *cell)
{
	const struct order_runner *runner = runner_find(cell, ctl->runner);
	int64_t waited = now(ctl) - ctl->step_at;

	if (!runner || (waited > REPORT_TIMEOUT_USEC &&
			now(ctl) - runner->reported_at > REPORT_TIMEOUT_USEC))
		change_fail(ctl, "gone");
	else if (!has_other_usable(ctl, cell, runner->role))
		change_fail(ctl, "the last of its role");
	else if (runner->grants == 0 && runner->empty &&
		 runner->reported_at > ctl->step_at + REPORT_LAG_USEC)
		step_enter(ctl, STEP_ORDER);
	else if (waited > ORDER_DRAIN_USEC)
		change_fail(ctl, "still busy");
}

static void order_tick(struct controller *ctl)
{
	if (ctl->call != CALL_NONE)
		return;
	if (ctl->failures >= ATTEMPTS_MAX)
		change_fail(ctl, "no answer");
	else
		read_start(ctl);
}

/* The engine has changed its role; waits for the list to show it. */
static void list_begin(struct controller *ctl)
{
	if (!is_changing(ctl))
		orders_withhold(ctl->orders, ctl->runner);
	step_enter(ctl, STEP_LIST);
}

static void list_end(struct controller *ctl)
{
	bool asserting = ctl->asserting;

	change_end(ctl);
	if (!asserting)
		return;
	step_enter(ctl, STEP_ASSERT);
	assert_next(ctl);
}

/* No other change begins meanwhile, as the number of runners of each role is
 * not known until the list shows the change. */
static void list_wait(struct controller *ctl)
{
	if (now(ctl) - ctl->step_at <
	    (int64_t)(ctl->failures + 1) * ORDER_LIST_USEC)
		return;
	if (ctl->failures++ == 0)
		ctl->orders->stats.failures++;
	log_event(LOG_WARNING, "role_not_listed", LOG_X("cell", ctl->cell),
		  LOG_S("runner", ctl->name),
		  LOG_S("role", role_label(ctl->target_role)));
}

static void list_tick(struct controller *ctl, const struct order_cell *cell)
{
	const struct order_runner *runner = runner_find(cell, ctl->runner);

	if (!runner || now(ctl) - runner->reported_at > REPORT_TIMEOUT_USEC) {
		log_event(LOG_WARNING, "role_change_failed",
			  LOG_X("cell", ctl->cell), LOG_S("runner", ctl->name),
			  LOG_S("role", role_label(ctl->target_role)),
			  LOG_S("reason", "gone"));
		list_end(ctl);
	} else if (runner->role == ctl->target_role) {
		ctl->orders->stats.changes += !ctl->asserting;
		ctl->changes += !ctl->asserting;
		log_event(LOG_NOTICE, "role_changed", LOG_X("cell", ctl->cell),
			  LOG_S("runner", ctl->name),
			  LOG_S("role", role_label(ctl->target_role)),
			  LOG_D("fence", ctl->fence));
		list_end(ctl);
	} else {
		list_wait(ctl);
	}
}

void controller_tick(struct controller *ctl, const struct order_cell *cell)
{
	struct role_load load = cell->load;
	enum role_move move;

	if (!lease_valid(ctl->orders->leases, controller_task(ctl), NULL))
		return;
	load.moving = ctl->step != STEP_IDLE;
	move = role_tick(&ctl->role, now(ctl), &load);
	if (ctl->step == STEP_ASSERT)
		assert_tick(ctl, cell);
	else if (ctl->step == STEP_DRAIN)
		drain_tick(ctl, cell);
	else if (ctl->step == STEP_ORDER)
		order_tick(ctl);
	else if (ctl->step == STEP_LIST)
		list_tick(ctl, cell);
	else if (move != ROLE_STAY)
		change_start(ctl, cell, move);
}

void controller_read_done(struct controller *ctl, bool ok, enum pool_role role)
{
	ctl->call = CALL_NONE;
	if (!ok) {
		ctl->failures++;
		return;
	}
	if (ctl->step == STEP_ASSERT) {
		ctl->target_role = role;
	} else if (ctl->acknowledged && role == ctl->target_role) {
		list_begin(ctl);
		return;
	} else if (ctl->acknowledged &&
		   now(ctl) - ctl->sent_at < REPORT_LAG_USEC) {
		return;
	} else if (ctl->order_attempts >= ATTEMPTS_MAX) {
		change_fail(ctl, "keeps its role");
		return;
	}
	ctl->call = CALL_SEND_NEXT;
	timer_start(&ctl->send_timer, 0);
}

void controller_send(struct controller *ctl)
{
	struct orders *orders = ctl->orders;
	struct order order = {
		.cell = ctl->cell,
		.runner = ctl->runner,
		.role = ctl->target_role,
	};

	ctl->call = CALL_NONE;
	if (!lease_valid(orders->leases, controller_task(ctl), &order.fence))
		return;
	ctl->call = CALL_SEND;
	ctl->order_attempts++;
	ctl->sent_at = now(ctl);
	ctl->acknowledged = false;
	orders->stats.sent++;
	orders->ops.send(orders->ctx, &order);
	log_event(LOG_NOTICE, "role_order", LOG_X("cell", ctl->cell),
		  LOG_S("runner", ctl->name),
		  LOG_S("role", role_label(ctl->target_role)),
		  LOG_D("fence", order.fence),
		  LOG_D("try", ctl->order_attempts),
		  LOG_S("reason",
			ctl->step == STEP_ASSERT ? "assert" : "change"));
}

static void answer_log(const struct controller *ctl, enum order_answer answer)
{
	static const char *const labels[] = {
		[ORDER_TAKEN] = "taken",
		[ORDER_LOST] = "lost",
		[ORDER_FENCED] = "fenced",
		[ORDER_REFUSED] = "refused",
	};

	log_event(LOG_NOTICE, "role_order_answer", LOG_X("cell", ctl->cell),
		  LOG_S("runner", ctl->name), LOG_D("fence", ctl->fence),
		  LOG_S("answer", labels[answer]));
}

void controller_send_done(struct controller *ctl, enum order_answer answer)
{
	struct orders *orders = ctl->orders;

	ctl->call = CALL_NONE;
	answer_log(ctl, answer);
	if (answer == ORDER_TAKEN) {
		ctl->acknowledged = true;
		if (ctl->step == STEP_ASSERT &&
		    ctl->target_role != ctl->listed_role)
			list_begin(ctl);
		else if (ctl->step == STEP_ASSERT)
			assert_next(ctl);
	} else if (answer == ORDER_LOST) {
		orders->stats.lost++;
	} else if (answer == ORDER_REFUSED) {
		orders->stats.refused++;
		ctl->failures++;
	} else {
		/* The engine has seen a later holder: the lease is void. */
		orders->stats.fenced++;
		controller_stop(ctl);
		lease_release(orders->leases, controller_task(ctl));
	}
}
