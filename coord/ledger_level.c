/*
 * How busy a cell is. The home measures it and spreads it as a fact when it
 * changes. What it controls is the share of urgent requests that leave: as many
 * as bring the wait down, not all, or the free cells would be next to be busy.
 */
#include "ledger_parts.h"

#include <string.h>

#include "coord/ledger_level.h"

#define CHECK_USEC (100 * USEC_PER_MSEC)
/* A role without a usable runner for so long makes the cell full. */
#define UNMANNED_USEC (1 * USEC_PER_SEC)
/* Urgent requests that are looked at for the one that has waited longest. */
#define LOOK_MAX 64u

/* A cell is busy until urgent requests have not waited for so long. */
#define BUSY_USEC (2 * USEC_PER_SEC)
/* A wait that is over sooner is a burst, of which nothing is told. */
#define BURST_USEC (500 * USEC_PER_MSEC)
/* Until a new share shows in the queue, it is not raised again. */
#define RAISE_USEC (2 * USEC_PER_SEC)
/* The load that is aimed at: less, the more there is to catch up with. */
#define LOAD_AIM 0.9
#define LOAD_AIM_MIN 0.75
#define CATCH_UP_USEC (8 * USEC_PER_SEC)
/* Of what is urgent, some stays: it may be that it is not what makes it wait.
 */
#define SHARE_MAX (CELL_LOAD_SHARE_ALL * 3 / 4)

/* The share falls by one after such a calm. */
#define CALM_USEC (5 * USEC_PER_SEC)
#define CALM_PART 4 /* a wait below this part of the bound is calm */

static bool role_usable(const struct cell *cell, enum pool_role role)
{
	for (guint i = 0; i < cell->view->len; i++) {
		const struct policy_runner *r = runner_view(cell, i);

		if (r->usable && r->role == role)
			return true;
	}
	return false;
}

/* Either way it must have been so for a while. */
static bool unmanned(struct cell *cell, int64_t now)
{
	struct level *level = &cell->level;
	bool usable = role_usable(cell, POOL_PREFILL) &&
		      role_usable(cell, POOL_DECODE);

	if (usable != level->unmanned)
		level->manned_since = now;
	else if (now - level->manned_since >= UNMANNED_USEC)
		level->unmanned = !usable;
	return level->unmanned;
}

/* A full queue stays so until a quarter of it is gone. */
static bool queue_full(const struct cell *cell, enum cell_level current)
{
	const struct ledger *ledger = cell->ledger;

	for (guint i = 0; i < ledger->services->len; i++) {
		const struct service *service =
			g_ptr_array_index(ledger->services, i);
		uint32_t most = service->config->queue_max;

		if (service->cell != cell || most == 0)
			continue;
		if (current == CELL_FULL)
			most = MAX(most - most / 4, 1);
		if (service->waiting >= most)
			return true;
	}
	return false;
}

static int64_t urgent_wait(const struct cell *cell, int64_t now)
{
	GSequenceIter *iter =
		g_sequence_get_begin_iter(cell->lanes[CLASS_URGENT]);
	int64_t longest = 0;

	for (guint i = 0; i < LOOK_MAX && !g_sequence_iter_is_end(iter); i++) {
		const struct waiting *waiting = g_sequence_get(iter);

		longest = MAX(longest, now - waiting->need.arrived);
		iter = g_sequence_iter_next(iter);
	}
	return longest;
}

/* Keeps the waits of the last second, one a check. */
static int64_t wait_note(struct level *level, int64_t wait)
{
	int64_t before = level->history[level->at];

	level->history[level->at] = wait;
	level->at = (level->at + 1) % LEVEL_WAITS;
	return before;
}

/* Of the data centres that requests leave for, the part that takes them now. */
static double open_part(const struct cell *cell)
{
	const struct ledger *ledger = cell->ledger;
	const struct config *config = ledger->config;
	const char *here = membership_self(ledger->membership)->data_centre;
	double open = 0;

	for (size_t i = 0; i < config->data_centre_count; i++) {
		const char *name = config->data_centres[i].name;
		uint64_t there = cell_id_of_pools(cell->prefill_pool,
						  cell->decode_pool, name);

		if (strcmp(name, here) != 0 &&
		    cell_load_get(ledger->membership, there) == CELL_FREE)
			open++;
	}
	return config->data_centre_count > 1
		       ? open / (double)(config->data_centre_count - 1)
		       : 0;
}

/* In a queue that is served in order, the wait of the oldest grows a second by
 * load - 1 seconds. From that follows the load if all stayed, and the share
 * that would bring it to the aim if the others took theirs: while they do not,
 * a larger one would only overrun them later. */
static uint32_t share_for(const struct cell *cell, uint32_t share, int64_t wait,
			  int64_t before)
{
	double seconds = (double)LEVEL_WAITS * CHECK_USEC;
	double load = 1 + MAX((double)(wait - before) / seconds, 0);
	double aim = MAX(LOAD_AIM - (double)wait / CATCH_UP_USEC, LOAD_AIM_MIN);
	double left = (double)share / CELL_LOAD_SHARE_ALL * open_part(cell);
	double all = load / (1 - left);
	double leaves = (1 - aim / all) * CELL_LOAD_SHARE_ALL + 0.5;

	return CLAMP((uint32_t)leaves, share, SHARE_MAX);
}

static uint32_t share_raise(struct cell *cell, uint32_t share, int64_t wait,
			    int64_t before, int64_t now)
{
	struct level *level = &cell->level;

	if (now - level->raised < RAISE_USEC || wait < before)
		return share;
	level->raised = now;
	return share_for(cell, share, wait, before);
}

static uint32_t share_lower(struct cell *cell, uint32_t share, int64_t now)
{
	struct level *level = &cell->level;

	if (share == 0 || now - level->calm_since < CALM_USEC)
		return share;
	level->calm_since = now;
	return share - 1;
}

/* What the share should be by what urgent requests wait. */
static uint32_t share_next(struct cell *cell, uint32_t share, int64_t now)
{
	struct level *level = &cell->level;
	int64_t wait = urgent_wait(cell, now);
	int64_t before = wait_note(level, wait);
	bool waits = wait >= CELL_LOAD_BUSY_WAIT_USEC / CALM_PART;

	if (waits != level->waits) {
		level->waits = waits;
		level->waits_since = now;
		level->calm_since = now;
	}
	if (!waits)
		return share_lower(cell, share, now);
	if (wait <= CELL_LOAD_BUSY_WAIT_USEC ||
	    now - level->waits_since < BURST_USEC)
		return share;
	level->busy = true;
	return share_raise(cell, share, wait, before, now);
}

static bool busy(struct level *level, int64_t now)
{
	if (!level->waits && now - level->waits_since >= BUSY_USEC)
		level->busy = false;
	return level->busy;
}

static uint32_t share_said(const struct level *level)
{
	return level->unmanned ? CELL_LOAD_SHARE_ALL : level->share;
}

static void level_say(struct cell *cell, enum cell_level level, uint32_t share,
		      int64_t now)
{
	static const char *const names[] = {[CELL_FREE] = "free",
					    [CELL_BUSY] = "busy",
					    [CELL_FULL] = "full"};
	struct ledger *ledger = cell->ledger;

	cell->level.said = now;
	cell_load_set(ledger->membership, cell->id, level, share,
		      (uint64_t)clock_unix(ledger->clock));
	log_event(LOG_INFO, "cell_level", LOG_X("cell", cell->id),
		  LOG_S("level", names[level]), LOG_D("share", share));
}

/* The fact itself says what was said last: another home may have set it, or it
 * was dropped for its age. */
static void level_check(struct cell *cell)
{
	struct level *level = &cell->level;
	const struct membership *membership = cell->ledger->membership;
	int64_t now = clock_now(cell->ledger->clock);
	enum cell_level current = cell_load_get(membership, cell->id);
	uint32_t share = cell_load_share(membership, cell->id);
	enum cell_level next;

	level->share = share_next(cell, level->share, now);
	next = busy(level, now) ? CELL_BUSY : CELL_FREE;
	if (queue_full(cell, current))
		next = CELL_FULL;
	if (unmanned(cell, now))
		next = CELL_FULL;
	if (level->said + CELL_LOAD_INTERVAL_USEC > now)
		return;
	if (next != current || share != share_said(level))
		level_say(cell, next, share_said(level), now);
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

/* A new home goes on from what the former one said. */
void level_start(struct cell *cell)
{
	const struct membership *membership = cell->ledger->membership;
	struct level *level = &cell->level;
	int64_t now = clock_now(cell->ledger->clock);
	uint32_t share = cell_load_share(membership, cell->id);

	level->unmanned = false;
	level->share = share < CELL_LOAD_SHARE_ALL ? share : 0;
	level->said = now;
	level->manned_since = now;
	level->waits = false;
	level->busy = false;
	level->waits_since = now;
	level->calm_since = now;
	level->raised = now;
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

		if (runner->known && !runner->list_leaving &&
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
	if (ledger->list->len > 0 && (!role_listed(cell, POOL_PREFILL) ||
				      !role_listed(cell, POOL_DECODE)))
		return CELL_FULL;
	*share = cell_load_share(ledger->membership, cell->id);
	return cell_load_get(ledger->membership, cell->id);
}
