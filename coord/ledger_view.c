#include "ledger_parts.h"

/* Limits of a pass: requests examined, and requests of a class that can't start
 * before the rest of the class is skipped. */
#define SCAN_MAX 64u
#define SCAN_WAITS_MAX 4u
/* A pass that hit SCAN_MAX continues in the next iteration of the loop. */
#define SCAN_CONTINUE_USEC 0

static uint32_t cached_blocks(void *ctx, uint32_t runner,
			      const struct policy_request *request)
{
	struct cell *cell = ctx;

	if (runner >= cell->prefix_depths->len)
		return 0;
	if (cell->prefix_depths_for != request) {
		prefix_match(cell->prefix, request->blocks,
			     request->block_count,
			     (uint32_t *)(void *)cell->prefix_depths->data,
			     cell->prefix_depths->len);
		cell->prefix_depths_for = request;
	}
	return g_array_index(cell->prefix_depths, uint32_t, runner);
}

static double output_tokens(void *ctx, enum request_class class)
{
	const struct cell *cell = ctx;

	return cell->hold_usec[class] / (double)USEC_PER_SEC *
	       cell->decode->decode_tokens_per_s;
}

static int compare_expected_end(const void *a, const void *b)
{
	const struct grant *x = *(struct grant *const *)a;
	const struct grant *y = *(struct grant *const *)b;

	return (x->expected_end > y->expected_end) -
	       (x->expected_end < y->expected_end);
}

static int64_t pieces_free_at(void *ctx, uint32_t index, uint32_t pieces)
{
	const struct cell *cell = ctx;
	const struct policy_runner *view = runner_view(cell, index);
	struct runner *runner = runner_at(cell, index);
	int64_t now = clock_now(cell->ledger->clock);
	uint64_t used = view->granted_pieces;

	if (used + pieces <= view->pieces)
		return now;
	if (!runner->sorted)
		g_ptr_array_sort(runner->grants, compare_expected_end);
	runner->sorted = true;
	for (guint i = 0; i < runner->grants->len; i++) {
		const struct grant *grant =
			g_ptr_array_index(runner->grants, i);

		used -= grant->pieces;
		if (used + pieces <= view->pieces)
			return MAX(grant->expected_end, now);
	}
	return CLOCK_NEVER;
}

void view_fill(struct cell *cell, struct policy_view *view)
{
	view->now = clock_now(cell->ledger->clock);
	view->prefill_pool = cell->prefill;
	view->decode_pool = cell->decode;
	view->runners = (const struct policy_runner *)(void *)cell->view->data;
	view->runner_count = cell->view->len;
	view->waiting =
		(uint32_t)(g_sequence_get_length(cell->lanes[CLASS_URGENT]) +
			   g_sequence_get_length(
				   cell->lanes[CLASS_DEFERRABLE]));
	view->cached_blocks = cached_blocks;
	view->output_tokens = output_tokens;
	view->pieces_free_at = pieces_free_at;
	view->ctx = cell;
}

static int64_t usec_from_seconds(double value)
{
	return (int64_t)(CLAMP(value, 0, 1e6) * (double)USEC_PER_SEC);
}

static int64_t transfer_time(const struct cell *cell, uint32_t tokens)
{
	double bytes = (double)tokens * cell->prefill->kv_bytes_per_token;
	uint64_t out = cell->prefill->link_bytes_per_s;
	uint64_t in = cell->decode->link_bytes_per_s;
	uint64_t rate = out != 0 && (in == 0 || out < in) ? out : in;

	return rate != 0 ? usec_from_seconds(bytes / (double)rate) : 0;
}

/* Accounts for the request on prefill runner and links. Returns the expected
 * start of decode and sets the expected prefill time. */
static int64_t placement_book(struct cell *cell,
			      const struct policy_request *need,
			      const struct placement *placement,
			      int64_t *prefill_time)
{
	struct policy_runner *p = runner_view(cell, placement->prefill);
	struct policy_runner *d = runner_view(cell, placement->decode);
	int64_t now = clock_now(cell->ledger->clock);
	uint32_t cached = PREFIX_BLOCK_TOKENS *
			  cached_blocks(cell, placement->prefill, need);
	uint32_t tokens =
		need->prompt_tokens > cached ? need->prompt_tokens - cached : 0;
	double rate = MAX(p->prefill_tokens_per_s, 1.0);
	int64_t transfer = transfer_time(cell, need->prompt_tokens);
	int64_t decode_start;

	cell->cached_tokens += need->prompt_tokens - tokens;
	*prefill_time = usec_from_seconds(tokens / rate);
	p->busy_until = MAX(p->busy_until, now) + *prefill_time;
	decode_start = MAX(p->busy_until, MAX(p->link_until, d->link_until)) +
		       transfer;
	p->link_until = decode_start;
	d->link_until = decode_start;
	p->link_free = MAX(p->link_free, now) + transfer;
	d->link_free = MAX(d->link_free, now) + transfer;
	for (uint32_t i = 0; i < need->block_count; i++)
		prefix_store(cell->prefix, placement->prefill, need->blocks[i]);
	cell->prefix_depths_for = NULL;
	return decode_start;
}

static int64_t decode_time(const struct cell *cell,
			   const struct policy_request *need, uint32_t decode)
{
	double rate = MAX(runner_view(cell, decode)->decode_tokens_per_s, 1.0);
	int64_t most = usec_from_seconds(need->output_tokens_max / rate);

	if (cell->hold_usec[need->class] <= 0)
		return most;
	return MIN(most, (int64_t)cell->hold_usec[need->class]);
}

/* No policy can reserve memory that is already granted. */
static bool placement_valid(const struct cell *cell,
			    const struct policy_request *need,
			    const struct placement *placement)
{
	const struct policy_runner *decode;

	if (placement->prefill >= cell->view->len ||
	    placement->decode >= cell->view->len)
		return false;
	decode = runner_view(cell, placement->decode);
	if (runner_view(cell, placement->prefill)->role != POOL_PREFILL ||
	    decode->role != POOL_DECODE)
		return false;
	return !placement->reserve ||
	       decode->granted_pieces + need->pieces <= decode->pieces;
}

static void request_start(struct cell *cell, struct pending *pending,
			  const struct placement *placement)
{
	const struct policy_request *need = &pending->need;
	struct tag holder = pending->holder;
	int64_t prefill_time;
	int64_t end = placement_book(cell, need, placement, &prefill_time) +
		      decode_time(cell, need, placement->decode);
	struct grant *grant;

	pending_grant(pending, placement->prefill, placement->decode);
	grant = grant_find(cell, &holder.owner, holder.request);
	grant->expected_end = end;
	prefill_assign(grant, prefill_time);
	runner_at(cell, grant->decode)->sorted = false;
}

/* Whether the role has another usable runner. */
static bool other_usable(const struct cell *cell, uint32_t index)
{
	enum pool_role role = runner_view(cell, index)->role;

	for (guint i = 0; i < cell->view->len; i++) {
		const struct policy_runner *r = runner_view(cell, i);

		if (i != index && r->usable && r->role == role)
			return true;
	}
	return false;
}

/* Shows the policy the runners of the failed attempt as not usable. */
static enum verdict place_avoiding(struct cell *cell, struct policy_view *view,
				   struct pending *pending,
				   struct placement *placement)
{
	struct ledger *ledger = cell->ledger;
	uint32_t hidden[2] = {RUNNER_NONE, RUNNER_NONE};
	enum verdict verdict;

	for (int i = 0; i < 2; i++) {
		uint32_t index = runner_index(cell, pending->avoid[i]);

		if (index == RUNNER_NONE || !runner_view(cell, index)->usable ||
		    view->now >= pending->avoid_until ||
		    !other_usable(cell, index))
			continue;
		runner_view(cell, index)->usable = false;
		hidden[i] = index;
	}
	verdict = ledger->policy->place(ledger->policy_state, view,
					&pending->need, placement);
	for (int i = 0; i < 2; i++) {
		if (hidden[i] == RUNNER_NONE)
			continue;
		runner_refresh(cell, hidden[i]);
		placement->retry_at =
			MIN(placement->retry_at, pending->avoid_until);
	}
	return verdict;
}

struct pass {
	struct cell *cell;
	struct policy_view view;
	GSequenceIter *position[CLASS_COUNT];
	uint32_t wait_counts[CLASS_COUNT];
	int64_t next_scan_at;
};

static struct pending *lane_head(const struct pass *pass, int class)
{
	if (g_sequence_iter_is_end(pass->position[class]) ||
	    pass->wait_counts[class] >= SCAN_WAITS_MAX)
		return NULL;
	return g_sequence_get(pass->position[class]);
}

static int64_t rank_of(GSequenceIter *iter)
{
	const struct pending *pending = g_sequence_get(iter);

	return pending->rank;
}

/* Ranks may rise while requests wait: a head whose rank has risen is sorted
 * back into the lane and the next one is examined. */
static struct pending *lane_head_reranked(struct pass *pass, int class)
{
	struct ledger *ledger = pass->cell->ledger;
	struct pending *head;

	for (uint32_t i = 0; i < SCAN_MAX; i++) {
		GSequenceIter *next;
		int64_t rank;

		head = lane_head(pass, class);
		if (head == NULL)
			return NULL;
		rank = ledger->policy->rank(ledger->policy_state, &pass->view,
					    &head->need);
		if (rank <= head->rank) {
			head->rank = rank;
			return head;
		}
		next = g_sequence_iter_next(pass->position[class]);
		if (g_sequence_iter_is_end(next) || rank_of(next) >= rank) {
			head->rank = rank;
			return head;
		}
		pass->position[class] = next;
		lane_rank(pass->cell, head, rank);
	}
	return lane_head(pass, class);
}

static struct pending *pass_next(struct pass *pass)
{
	struct pending *best = NULL;

	for (int class = 0; class < CLASS_COUNT; class ++) {
		struct pending *head = lane_head_reranked(pass, class);

		if (head != NULL && (best == NULL || head->rank < best->rank))
			best = head;
	}
	return best;
}

static void pass_count_wait(struct pass *pass, int class,
			    const struct placement *placement)
{
	struct cell *cell = pass->cell;

	pass->wait_counts[class]++;
	pass->next_scan_at = MIN(pass->next_scan_at, placement->retry_at);
	if (placement->hold < cell->view->len)
		runner_view(cell, placement->hold)->held = true;
}

static void pass_place(struct pass *pass, struct pending *pending)
{
	struct cell *cell = pass->cell;
	int class = pending->need.class;
	struct placement placement = {.prefill = RUNNER_NONE,
				      .decode = RUNNER_NONE,
				      .retry_at = CLOCK_NEVER,
				      .hold = RUNNER_NONE,
				      .code = RESULT_QUEUE_FULL};
	enum verdict verdict;

	pass->position[class] = g_sequence_iter_next(pending->lane_position);
	verdict = place_avoiding(cell, &pass->view, pending, &placement);
	if (verdict == VERDICT_START &&
	    placement_valid(cell, &pending->need, &placement))
		request_start(cell, pending, &placement);
	else if (verdict == VERDICT_REFUSE)
		pending_refuse(pending, placement.code,
			       MAX(placement.retry_after,
				   queue_time(cell, &pending->need)));
	else
		pass_count_wait(pass, class, &placement);
}

static void pass_end(struct pass *pass)
{
	struct cell *cell = pass->cell;

	for (guint i = 0; i < cell->view->len; i++)
		runner_view(cell, i)->held = false;
	if (pass->next_scan_at != CLOCK_NEVER && !timer_running(&cell->scan))
		timer_start(&cell->scan,
			    MAX(pass->next_scan_at - pass->view.now, 0));
}

void queue_scan(struct cell *cell)
{
	struct pass pass = {.cell = cell, .next_scan_at = CLOCK_NEVER};
	struct pending *pending;
	uint32_t seen = 0;

	if (!cell->is_home || !cell->settled || cell->decode == NULL)
		return;
	timer_stop(&cell->scan);
	cell->prefix_depths_for = NULL;
	view_fill(cell, &pass.view);
	for (int class = 0; class < CLASS_COUNT; class ++)
		pass.position[class] =
			g_sequence_get_begin_iter(cell->lanes[class]);
	while (seen++ < SCAN_MAX && (pending = pass_next(&pass)) != NULL)
		pass_place(&pass, pending);
	if (seen > SCAN_MAX)
		pass.next_scan_at = pass.view.now + SCAN_CONTINUE_USEC;
	pass_end(&pass);
}
