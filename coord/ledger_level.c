/*
 * Load level of a cell. The home measures it and announces changes as a fact.
 * It controls the share of urgent requests sent to other data centres: enough
 * to bring the wait down, but not all, which would overload the free cells.
 */
#include "ledger_parts.h"

#include <string.h>

#include "coord/ledger_level.h"

#define CHECK_USEC (100 * USEC_PER_MSEC)
/* A cell is full after this time without a usable runner of a role. */
#define ROLE_MISSING_USEC (1 * USEC_PER_SEC)
/* Number of urgent requests examined for the longest wait. */
#define WAIT_SCAN_MAX 64u

/* A cell stays busy until no urgent request has waited for this time. */
#define BUSY_USEC (2 * USEC_PER_SEC)
/* Shorter periods of waiting are bursts and are not announced. */
#define BURST_USEC (500 * USEC_PER_MSEC)
/* Minimum time between raises, so that the last one takes effect first. */
#define SHARE_RAISE_USEC (2 * USEC_PER_SEC)
/* Target load; it falls with the wait, down to the minimum, so that a backlog
 * is worked off. */
#define LOAD_TARGET 0.9
#define LOAD_TARGET_MIN 0.75
#define CATCH_UP_USEC (8 * USEC_PER_SEC)
/* Some urgent requests always stay: they may not be the cause of the wait. */
#define SHARE_MAX (CELL_LOAD_SHARE_ALL * 3 / 4)

/* The share is lowered by one after this time of low waits. */
#define SHARE_LOWER_USEC (5 * USEC_PER_SEC)
#define LOW_WAIT_DIVISOR 4 /* a wait below 1/4 of the bound is low */

static bool role_usable(const struct cell *cell, enum pool_role role)
{
	for (guint i = 0; i < cell->view->len; i++) {
		const struct policy_runner *r = runner_view(cell, i);

		if (r->usable && r->role == role)
			return true;
	}
	return false;
}

/* Changes only after ROLE_MISSING_USEC of contrary checks. */
static bool role_missing(struct cell *cell, int64_t now)
{
	struct level *level = &cell->level;
	bool usable = role_usable(cell, POOL_PREFILL) &&
		      role_usable(cell, POOL_DECODE);

	if (usable != level->role_missing)
		level->role_agreed_at = now;
	else if (now - level->role_agreed_at >= ROLE_MISSING_USEC)
		level->role_missing = !usable;
	return level->role_missing;
}

/* Hysteresis: a full queue counts as full until a quarter of it is free. */
static bool queue_full(const struct cell *cell, enum cell_level current)
{
	const struct ledger *ledger = cell->ledger;

	for (guint i = 0; i < ledger->services->len; i++) {
		const struct service *service =
			g_ptr_array_index(ledger->services, i);
		uint32_t limit = service->config->queue_max;

		if (service->cell != cell || limit == 0)
			continue;
		if (current == CELL_FULL)
			limit = MAX(limit - limit / 4, 1);
		if (service->waiting >= limit)
			return true;
	}
	return false;
}

static int64_t urgent_wait(const struct cell *cell, int64_t now)
{
	GSequenceIter *iter =
		g_sequence_get_begin_iter(cell->lanes[CLASS_URGENT]);
	int64_t longest = 0;

	for (guint i = 0; i < WAIT_SCAN_MAX && !g_sequence_iter_is_end(iter);
	     i++) {
		const struct pending *pending = g_sequence_get(iter);

		longest = MAX(longest, now - pending->need.arrived);
		iter = g_sequence_iter_next(iter);
	}
	return longest;
}

/* Stores the wait and returns the one measured a second before. */
static int64_t wait_record(struct level *level, int64_t wait)
{
	int64_t wait_before = level->history[level->history_next];

	level->history[level->history_next] = wait;
	level->history_next = (level->history_next + 1) % LEVEL_HISTORY;
	return wait_before;
}

/* Fraction of the other data centres that accept requests now. */
static double free_fraction(const struct cell *cell)
{
	const struct ledger *ledger = cell->ledger;
	const struct config *config = ledger->config;
	const char *here = membership_self(ledger->membership)->data_centre;
	double free_count = 0;

	for (size_t i = 0; i < config->data_centre_count; i++) {
		const char *name = config->data_centres[i].name;
		uint64_t cell_there = cell_id_of_pools(cell->prefill_pool,
						       cell->decode_pool, name);

		if (strcmp(name, here) != 0 &&
		    cell_load_get(ledger->membership, cell_there) == CELL_FREE)
			free_count++;
	}
	return config->data_centre_count > 1
		       ? free_count / (double)(config->data_centre_count - 1)
		       : 0;
}

/* In a FIFO queue the longest wait grows by (load - 1) seconds per second. This
 * gives the load if all requests stayed, and the share that reaches the target
 * if all other data centres accept their part. While some do not, a larger
 * share would overload them later. */
static uint32_t share_for(const struct cell *cell, uint32_t share, int64_t wait,
			  int64_t wait_before)
{
	double seconds = (double)LEVEL_HISTORY * CHECK_USEC;
	double load = 1 + MAX((double)(wait - wait_before) / seconds, 0);
	double target = MAX(LOAD_TARGET - (double)wait / CATCH_UP_USEC,
			    LOAD_TARGET_MIN);
	double leaving =
		(double)share / CELL_LOAD_SHARE_ALL * free_fraction(cell);
	double total_load = load / (1 - leaving);
	double share_needed =
		(1 - target / total_load) * CELL_LOAD_SHARE_ALL + 0.5;

	return CLAMP((uint32_t)share_needed, share, SHARE_MAX);
}

static uint32_t share_raise(struct cell *cell, uint32_t share, int64_t wait,
			    int64_t wait_before, int64_t now)
{
	struct level *level = &cell->level;

	if (now - level->raised_at < SHARE_RAISE_USEC || wait < wait_before)
		return share;
	level->raised_at = now;
	return share_for(cell, share, wait, wait_before);
}

static uint32_t share_lower(struct cell *cell, uint32_t share, int64_t now)
{
	struct level *level = &cell->level;

	if (share == 0 || now - level->low_wait_since < SHARE_LOWER_USEC)
		return share;
	level->low_wait_since = now;
	return share - 1;
}

/* The new share, from the current waits of urgent requests. */
static uint32_t share_next(struct cell *cell, uint32_t share, int64_t now)
{
	struct level *level = &cell->level;
	int64_t wait = urgent_wait(cell, now);
	int64_t wait_before = wait_record(level, wait);
	bool is_waiting = wait >= CELL_LOAD_BUSY_WAIT_USEC / LOW_WAIT_DIVISOR;

	if (is_waiting != level->is_waiting) {
		level->is_waiting = is_waiting;
		level->waiting_changed_at = now;
		level->low_wait_since = now;
	}
	if (!is_waiting)
		return share_lower(cell, share, now);
	if (wait <= CELL_LOAD_BUSY_WAIT_USEC ||
	    now - level->waiting_changed_at < BURST_USEC)
		return share;
	level->busy = true;
	return share_raise(cell, share, wait, wait_before, now);
}

static bool level_is_busy(struct level *level, int64_t now)
{
	if (!level->is_waiting && now - level->waiting_changed_at >= BUSY_USEC)
		level->busy = false;
	return level->busy;
}

static uint32_t share_to_announce(const struct level *level)
{
	return level->role_missing ? CELL_LOAD_SHARE_ALL : level->share;
}

static void level_announce(struct cell *cell, enum cell_level level,
			   uint32_t share, int64_t now)
{
	static const char *const names[] = {[CELL_FREE] = "free",
					    [CELL_BUSY] = "busy",
					    [CELL_FULL] = "full"};
	struct ledger *ledger = cell->ledger;

	cell->level.announced_at = now;
	cell_load_set(ledger->membership, cell->id, level, share,
		      (uint64_t)clock_unix(ledger->clock));
	log_event(LOG_INFO, "cell_level", LOG_X("cell", cell->id),
		  LOG_S("level", names[level]), LOG_D("share", share));
}

/* Compares with the fact itself, not with the last announcement: another home
 * may have set it, or it may have expired. */
static void level_check(struct cell *cell)
{
	struct level *level = &cell->level;
	const struct membership *membership = cell->ledger->membership;
	int64_t now = clock_now(cell->ledger->clock);
	enum cell_level current = cell_load_get(membership, cell->id);
	uint32_t share = cell_load_share(membership, cell->id);
	enum cell_level next;

	level->share = share_next(cell, level->share, now);
	next = level_is_busy(level, now) ? CELL_BUSY : CELL_FREE;
	if (queue_full(cell, current))
		next = CELL_FULL;
	if (role_missing(cell, now))
		next = CELL_FULL;
	if (level->announced_at + CELL_LOAD_INTERVAL_USEC > now)
		return;
	if (next != current || share != share_to_announce(level))
		level_announce(cell, next, share_to_announce(level), now);
}

static void level_timer(struct timer *timer, void *ctx)
{
	struct cell *cell = ctx;

	if (cell->decode != NULL)
		level_check(cell);
	timer_start(timer, CHECK_USEC);
}

void level_init(struct cell *cell)
{
	timer_init(&cell->level.timer, cell->ledger->clock, level_timer, cell);
}

/* A new home continues from the share that the previous one announced. */
void level_start(struct cell *cell)
{
	const struct membership *membership = cell->ledger->membership;
	struct level *level = &cell->level;
	int64_t now = clock_now(cell->ledger->clock);
	uint32_t share = cell_load_share(membership, cell->id);

	level->role_missing = false;
	level->share = share < CELL_LOAD_SHARE_ALL ? share : 0;
	level->announced_at = now;
	level->role_agreed_at = now;
	level->is_waiting = false;
	level->busy = false;
	level->waiting_changed_at = now;
	level->low_wait_since = now;
	level->raised_at = now;
	memset(level->history, 0, sizeof(level->history));
	timer_start(&level->timer, CHECK_USEC);
}

void level_stop(struct cell *cell)
{
	timer_stop(&cell->level.timer);
}

static bool role_listed(const struct cell *cell, enum pool_role role)
{
	for (guint i = 0; i < cell->view->len; i++) {
		const struct runner *runner = runner_at(cell, i);

		if (runner->in_list && !runner->list_leaving &&
		    runner_view(cell, i)->role == role)
			return true;
	}
	return false;
}

enum cell_level ledger_level(const struct ledger *ledger, const char *name,
			     uint32_t *share)
{
	const struct service *service =
		name != NULL ? service_find(ledger, (uint32_t)id_of(name))
			     : NULL;
	const struct cell *cell;

	*share = 0;
	if (service == NULL || service->plain)
		return CELL_FREE;
	cell = service->cell;
	*share = CELL_LOAD_SHARE_ALL;
	if (ledger->runner_list->len > 0 && (!role_listed(cell, POOL_PREFILL) ||
					     !role_listed(cell, POOL_DECODE)))
		return CELL_FULL;
	*share = cell_load_share(ledger->membership, cell->id);
	return cell_load_get(ledger->membership, cell->id);
}
