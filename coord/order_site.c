/*
 * order_site.c - the steps of one cell while its lease is held
 */
#include "order_private.h"

#include "common/log.h"

#define TRIES_MAX 10u
#define ASSERTS_MAX 4u
/* A report that is so much younger than a change shows it. */
/* The true time of an order's timeout, by a clock that may run fast. */
#define ORDER_LATE_USEC (ORDER_TIMEOUT_USEC + 1 * USEC_PER_SEC)
#define SETTLE_USEC (2 * USEC_PER_SEC)
/* A runner that has not reported for so long is gone. */
#define SILENT_USEC (30 * USEC_PER_SEC)

static const char *role_label(enum pool_role role)
{
	return role == POOL_DECODE ? "decode" : "prefill";
}

static int64_t now(const struct site *site)
{
	return clock_now(site->orders->clock);
}

static void step_enter(struct site *site, enum site_step step)
{
	site->step = step;
	site->step_at = now(site);
	site->sends = 0;
	site->failures = 0;
	site->acknowledged = false;
}

static void call_drop(struct site *site)
{
	struct orders *orders = site->orders;

	timer_stop(&site->turn);
	if (site->call == CALL_READ || site->call == CALL_SEND)
		orders->ops.cancel(orders->ctx, site->runner);
	site->call = CALL_NONE;
}

static bool changing(const struct site *site)
{
	return site->step == STEP_DRAIN || site->step == STEP_ORDER ||
	       site->step == STEP_LIST;
}

/* Lets the runner go, changed or not. */
static void change_end(struct site *site)
{
	int64_t until = site->sends ? site->sent_at + ORDER_LATE_USEC : 0;

	call_drop(site);
	if (site->step == STEP_LIST)
		until = 0; /* an order that is late changes nothing */
	if (changing(site))
		orders_release(site->orders, site->runner, until);
	step_enter(site, STEP_IDLE);
	site->runner = 0;
	site->name[0] = '\0';
}

void site_stop(struct site *site)
{
	change_end(site);
	site->asserting = false;
	g_array_set_size(site->asserts, 0);
}

void site_take(struct site *site, uint64_t fence)
{
	site_stop(site);
	site->fence = fence;
	role_init(&site->role, &site->orders->settings);
	site->asserting = true;
	step_enter(site, STEP_ASSERT);
}

static void change_fail(struct site *site, const char *reason)
{
	struct orders *orders = site->orders;
	uint64_t *runner = g_memdup2(&site->runner, sizeof(site->runner));
	int64_t *until = g_new(int64_t, 1);

	*until = now(site) + ORDER_AVOID_USEC;
	g_hash_table_replace(site->avoid, runner, until);
	orders->stats.failures++;
	log_event(LOG_WARNING, "role_change_failed", LOG_X("cell", site->cell),
		  LOG_S("runner", site->name),
		  LOG_S("role", role_label(site->target)),
		  LOG_S("reason", reason));
	change_end(site);
}

static void read_start(struct site *site)
{
	struct orders *orders = site->orders;

	site->call = CALL_READ;
	orders->ops.read(orders->ctx, site->runner);
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

/* The next runner to be asserted; after the last one the step ends. */
static void assert_next(struct site *site)
{
	guint left = site->asserts->len;
	const struct runner_name *next;

	if (left == 0) {
		log_event(LOG_INFO, "roles_asserted", LOG_X("cell", site->cell),
			  LOG_D("fence", site->fence));
		site->asserting = false;
		change_end(site);
		return;
	}
	next = &g_array_index(site->asserts, struct runner_name, left - 1);
	site->runner = next->id;
	site->listed = next->role;
	g_strlcpy(site->name, next->name, sizeof(site->name));
	g_array_set_size(site->asserts, left - 1);
	site->sends = 0;
	site->failures = 0;
	site->acknowledged = false;
	read_start(site);
}

static void assert_begin(struct site *site, const struct order_cell *cell)
{
	for (uint32_t i = 0; i < cell->runner_count; i++) {
		struct runner_name item = {
			.id = cell->runners[i].id,
			.role = cell->runners[i].role,
		};

		g_strlcpy(item.name, cell->runners[i].name, sizeof(item.name));
		g_array_append_val(site->asserts, item);
	}
	assert_next(site);
}

static void assert_tick(struct site *site, const struct order_cell *cell)
{
	if (now(site) - site->step_at < SETTLE_USEC || site->call != CALL_NONE)
		return;
	if (!site->runner)
		assert_begin(site, cell);
	else if (site->failures + site->sends >= ASSERTS_MAX)
		assert_next(site); /* it does not answer, and gets no work */
	else
		read_start(site);
}

static bool avoided(const struct site *site, uint64_t runner)
{
	const int64_t *until = g_hash_table_lookup(site->avoid, &runner);

	return until && now(site) < *until;
}

/* The one with least work. */
static const struct order_runner *runner_choose(const struct site *site,
						const struct order_cell *cell,
						enum pool_role role)
{
	const struct order_runner *best = NULL;

	for (uint32_t i = 0; i < cell->runner_count; i++) {
		const struct order_runner *r = &cell->runners[i];

		if (!r->usable || r->role != role || avoided(site, r->id))
			continue;
		if (!best || r->grants < best->grants)
			best = r;
	}
	return best;
}

static void change_start(struct site *site, const struct order_cell *cell,
			 enum role_move move)
{
	enum pool_role from =
		move == ROLE_TO_DECODE ? POOL_PREFILL : POOL_DECODE;
	const struct order_runner *runner = runner_choose(site, cell, from);

	if (!runner)
		return;
	site->runner = runner->id;
	g_strlcpy(site->name, runner->name, sizeof(site->name));
	site->listed = from;
	site->target = from == POOL_PREFILL ? POOL_DECODE : POOL_PREFILL;
	step_enter(site, STEP_DRAIN);
	orders_withhold(site->orders, site->runner);
	log_event(LOG_NOTICE, "role_change_started", LOG_X("cell", site->cell),
		  LOG_S("runner", site->name),
		  LOG_S("role", role_label(site->target)),
		  LOG_F("need_prefill", site->role.prefill),
		  LOG_F("need_decode", site->role.decode),
		  LOG_D("prefill", cell->load.prefill),
		  LOG_D("decode", cell->load.decode));
}

/* The runner of its role that would be left. */
static bool other_usable(const struct site *site, const struct order_cell *cell,
			 enum pool_role role)
{
	for (uint32_t i = 0; i < cell->runner_count; i++) {
		const struct order_runner *r = &cell->runners[i];

		if (r->id != site->runner && r->usable && r->role == role)
			return true;
	}
	return false;
}

static void drain_tick(struct site *site, const struct order_cell *cell)
{
	const struct order_runner *runner = runner_find(cell, site->runner);
	int64_t waited = now(site) - site->step_at;

	if (!runner || (waited > SILENT_USEC &&
			now(site) - runner->reported_at > SILENT_USEC))
		change_fail(site, "gone");
	else if (!other_usable(site, cell, runner->role))
		change_fail(site, "the last of its role");
	else if (runner->grants == 0 && runner->empty &&
		 runner->reported_at > site->step_at + SETTLE_USEC)
		step_enter(site, STEP_ORDER);
	else if (waited > ORDER_DRAIN_USEC)
		change_fail(site, "still busy");
}

static void order_tick(struct site *site)
{
	if (site->call != CALL_NONE)
		return;
	if (site->failures >= TRIES_MAX)
		change_fail(site, "no answer");
	else
		read_start(site);
}

/* The engine has the role, the list does not show it yet. */
static void list_begin(struct site *site)
{
	if (!changing(site))
		orders_withhold(site->orders, site->runner);
	step_enter(site, STEP_LIST);
}

static void list_end(struct site *site)
{
	bool asserting = site->asserting;

	change_end(site);
	if (!asserting)
		return;
	step_enter(site, STEP_ASSERT);
	assert_next(site);
}

/* Until the list shows it nobody knows how many there are of each role, so
 * nothing else is begun. */
static void list_wait(struct site *site)
{
	if (now(site) - site->step_at <
	    (int64_t)(site->failures + 1) * ORDER_LIST_USEC)
		return;
	if (site->failures++ == 0)
		site->orders->stats.failures++;
	log_event(LOG_WARNING, "role_not_listed", LOG_X("cell", site->cell),
		  LOG_S("runner", site->name),
		  LOG_S("role", role_label(site->target)));
}

static void list_tick(struct site *site, const struct order_cell *cell)
{
	const struct order_runner *runner = runner_find(cell, site->runner);

	if (!runner || now(site) - runner->reported_at > SILENT_USEC) {
		log_event(LOG_WARNING, "role_change_failed",
			  LOG_X("cell", site->cell),
			  LOG_S("runner", site->name),
			  LOG_S("role", role_label(site->target)),
			  LOG_S("reason", "gone"));
		list_end(site);
	} else if (runner->role == site->target) {
		site->orders->stats.changes += !site->asserting;
		site->changes += !site->asserting;
		log_event(LOG_NOTICE, "role_changed", LOG_X("cell", site->cell),
			  LOG_S("runner", site->name),
			  LOG_S("role", role_label(site->target)),
			  LOG_D("fence", site->fence));
		list_end(site);
	} else {
		list_wait(site);
	}
}

void site_tick(struct site *site, const struct order_cell *cell)
{
	struct role_load load = cell->load;
	enum role_move move;

	if (!lease_valid(site->orders->leases, site_task(site), NULL))
		return;
	load.moving = site->step != STEP_IDLE;
	move = role_tick(&site->role, now(site), &load);
	if (site->step == STEP_ASSERT)
		assert_tick(site, cell);
	else if (site->step == STEP_DRAIN)
		drain_tick(site, cell);
	else if (site->step == STEP_ORDER)
		order_tick(site);
	else if (site->step == STEP_LIST)
		list_tick(site, cell);
	else if (move != ROLE_STAY)
		change_start(site, cell, move);
}

void site_read_done(struct site *site, bool ok, enum pool_role role)
{
	site->call = CALL_NONE;
	if (!ok) {
		site->failures++;
		return;
	}
	if (site->step == STEP_ASSERT) {
		site->target = role;
	} else if (site->acknowledged && role == site->target) {
		list_begin(site);
		return;
	} else if (site->acknowledged &&
		   now(site) - site->sent_at < SETTLE_USEC) {
		return;
	} else if (site->sends >= TRIES_MAX) {
		change_fail(site, "keeps its role");
		return;
	}
	site->call = CALL_TURN;
	timer_start(&site->turn, 0);
}

void site_send(struct site *site)
{
	struct orders *orders = site->orders;
	struct order order = {
		.cell = site->cell,
		.runner = site->runner,
		.role = site->target,
	};

	site->call = CALL_NONE;
	if (!lease_valid(orders->leases, site_task(site), &order.fence))
		return;
	site->call = CALL_SEND;
	site->sends++;
	site->sent_at = now(site);
	site->acknowledged = false;
	orders->stats.sent++;
	orders->ops.send(orders->ctx, &order);
	log_event(LOG_NOTICE, "role_order", LOG_X("cell", site->cell),
		  LOG_S("runner", site->name),
		  LOG_S("role", role_label(site->target)),
		  LOG_D("fence", order.fence), LOG_D("try", site->sends),
		  LOG_S("reason",
			site->step == STEP_ASSERT ? "assert" : "change"));
}

static void answer_log(const struct site *site, enum order_answer answer)
{
	static const char *const labels[] = {
		[ORDER_TAKEN] = "taken",
		[ORDER_LOST] = "lost",
		[ORDER_FENCED] = "fenced",
		[ORDER_REFUSED] = "refused",
	};

	log_event(LOG_NOTICE, "role_order_answer", LOG_X("cell", site->cell),
		  LOG_S("runner", site->name), LOG_D("fence", site->fence),
		  LOG_S("answer", labels[answer]));
}

void site_send_done(struct site *site, enum order_answer answer)
{
	struct orders *orders = site->orders;

	site->call = CALL_NONE;
	answer_log(site, answer);
	if (answer == ORDER_TAKEN) {
		site->acknowledged = true;
		if (site->step == STEP_ASSERT && site->target != site->listed)
			list_begin(site);
		else if (site->step == STEP_ASSERT)
			assert_next(site);
	} else if (answer == ORDER_LOST) {
		orders->stats.lost++;
	} else if (answer == ORDER_REFUSED) {
		orders->stats.refused++;
		site->failures++;
	} else {
		/* A later holder has been there: this lease is none. */
		orders->stats.fenced++;
		site_stop(site);
		lease_release(orders->leases, site_task(site));
	}
}
