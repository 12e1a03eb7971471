/* Reserves decode memory before prefill starts, and starts a prefill only when
 * its runner is free soon. docs/design/ledger.md gives the reasons. */
#include <glib.h>
#include <math.h>

#include "common/clock.h"
#include "place.h"
#include "policies.h"

#define TIME_MS_MAX 3.6e6

static const struct policy_param reserve_params[] = {
	{"ahead_ms", 0, TIME_MS_MAX, 20,
	 "a prefill starts so long before its runner is free"},
	{"ageing_ms", 0, TIME_MS_MAX, 5000,
	 "after this wait a deferrable request may be owed memory"},
	{"hold_ms", 0, TIME_MS_MAX, 250,
	 "after this wait a request holds a runner for itself"},
	{"deferrable_share", 0.001, 1, 0.1,
	 "share of urgent memory that deferrable requests are owed"},
	{"late_ms", 0, TIME_MS_MAX, 600000,
	 "a deferrable request that has missed its target goes behind those "
	 "that arrive so much later"},
	{"credit_pieces", 1, 1e6, 32, "pieces of memory owed at most"},
};

/* Requests that may hold a runner at the same time: the heads of the queues. */
#define HOLDS_MAX 2u

/* Ranks are ordered by band, and by time within a band. */
#define BAND ((int64_t)1 << 60)
#define BAND_OWED (-2 * BAND)
#define BAND_URGENT (-BAND)
#define BAND_LATE 0
#define BAND_DEFERRABLE BAND

struct reserve {
	int64_t ahead;	/* a prefill starts this long before its runner is free
			 */
	int64_t ageing; /* wait after which a deferrable request may be owed
			   memory */
	int64_t hold;	/* wait after which a request holds a runner */
	int64_t late;	/* added to the arrival of a late deferrable request */
	double share; /* fraction of the pieces of urgent requests that is owed
			 to deferrable ones */
	double credit_max;
	double credit; /* pieces owed to deferrable requests */
};

static int64_t ms(const struct config_policy *settings, const char *name)
{
	return (int64_t)(policy_value(&policy_reserve, settings, name) *
			 (double)USEC_PER_MSEC);
}

static void *reserve_create(const struct config_policy *settings,
			    struct error *err)
{
	struct reserve *rs;

	if (settings != NULL && !policy_check(settings, err))
		return NULL;
	rs = g_new0(struct reserve, 1);
	rs->ahead = ms(settings, "ahead_ms");
	rs->ageing = ms(settings, "ageing_ms");
	rs->hold = ms(settings, "hold_ms");
	rs->late = ms(settings, "late_ms");
	rs->share = policy_value(&policy_reserve, settings, "deferrable_share");
	rs->credit_max =
		policy_value(&policy_reserve, settings, "credit_pieces");
	return rs;
}

static uint32_t uncached_tokens(const struct policy_view *view, uint32_t runner,
				const struct policy_request *request)
{
	uint64_t cached = 0;

	if (request->block_count > 0)
		cached = (uint64_t)PREFIX_BLOCK_TOKENS *
			 view->cached_blocks(view->ctx, runner, request);
	return cached < request->prompt_tokens
		       ? request->prompt_tokens - (uint32_t)cached
		       : 0;
}

static int64_t prefill_time(const struct policy_view *view, uint32_t runner,
			    const struct policy_request *request)
{
	double rate = view->runners[runner].prefill_tokens_per_s;

	if (rate <= 0)
		return 0;
	return (int64_t)(uncached_tokens(view, runner, request) / rate *
			 (double)USEC_PER_SEC);
}

static int64_t transfer_time(const struct policy_view *view,
			     const struct policy_request *request)
{
	uint64_t bytes = (uint64_t)request->prompt_tokens *
			 view->prefill_pool->kv_bytes_per_token;
	uint64_t out = view->prefill_pool->link_bytes_per_s;
	uint64_t in = view->decode_pool->link_bytes_per_s;
	uint64_t rate = out != 0 && (in == 0 || out < in) ? out : in;

	if (rate == 0)
		return 0;
	return (int64_t)((double)bytes / (double)rate * (double)USEC_PER_SEC);
}

/* Shortest time to the first token: the whole prompt may be cached, but must be
 * transferred. */
static int64_t min_time(const struct policy_view *view,
			const struct policy_request *request)
{
	return transfer_time(view, request);
}

static bool is_owed(const struct reserve *rs, const struct policy_view *view,
		    const struct policy_request *request)
{
	double need = fmin(request->pieces, rs->credit_max);

	return view->now - request->arrived >= rs->ageing && rs->credit >= need;
}

/* Expected time to the first token, for a request that waits for another one of
 * its size at the prefill runner and has nothing cached. */
static int64_t expected_time(const struct policy_view *view,
			     const struct policy_request *request)
{
	double rate = view->prefill_pool->prefill_tokens_per_s;
	double prefill = rate > 0 ? request->prompt_tokens / rate : 0;

	return (int64_t)(2 * prefill * (double)USEC_PER_SEC) +
	       transfer_time(view, request);
}

/* In a long overload a queue in order of arrival serves every request too late,
 * so those that can still meet their target go first. */
static int64_t deferrable_rank(const struct reserve *rs,
			       const struct policy_view *view,
			       const struct policy_request *request)
{
	int64_t by = request->first_token_by;

	if (is_owed(rs, view, request))
		return BAND_OWED + request->arrived;
	if (by != CLOCK_NEVER && view->now + expected_time(view, request) > by)
		return BAND_DEFERRABLE + request->arrived + rs->late;
	return BAND_DEFERRABLE + request->arrived;
}

static int64_t reserve_rank(void *state, const struct policy_view *view,
			    const struct policy_request *request)
{
	const struct reserve *rs = state;
	int64_t by = request->first_token_by;

	if (request->class != CLASS_URGENT)
		return deferrable_rank(rs, view, request);
	if (by == CLOCK_NEVER)
		by = request->deadline;
	if (by == CLOCK_NEVER)
		return BAND_URGENT + request->arrived;
	if (view->now + min_time(view, request) > by)
		return BAND_LATE + by;
	return BAND_URGENT + by;
}

/* Chooses, of the prefill runners that are free soon, the one that would finish
 * first; a cached prefix saves its prefill time. *free_at is when the first
 * runner is free. */
static uint32_t choose_prefill(const struct reserve *rs,
			       const struct policy_view *view,
			       const struct policy_request *request,
			       int64_t *free_at)
{
	uint32_t best = RUNNER_NONE;
	int64_t best_end = CLOCK_NEVER;

	*free_at = CLOCK_NEVER;
	for (uint32_t i = 0; i < view->runner_count; i++) {
		const struct policy_runner *r = &view->runners[i];
		int64_t start, end;

		if (!runner_takes(r, POOL_PREFILL))
			continue;
		start = MAX(r->busy_until, view->now);
		*free_at = MIN(*free_at, start);
		if (start > view->now + rs->ahead)
			continue;
		end = MAX(start + prefill_time(view, i, request),
			  r->link_until);
		if (end >= best_end)
			continue;
		best = i;
		best_end = end;
	}
	return best;
}

static bool fits(const struct policy_runner *r,
		 const struct policy_request *request)
{
	if (r->granted_pieces + request->pieces > r->pieces)
		return false;
	return r->slots == 0 || r->granted_running < r->slots;
}

/* Chooses the decode runner with the most free memory; of equal ones the one
 * whose link is free first. */
static uint32_t choose_decode(const struct policy_view *view,
			      const struct policy_request *request)
{
	uint32_t best = RUNNER_NONE;

	for (uint32_t i = 0; i < view->runner_count; i++) {
		const struct policy_runner *r = &view->runners[i];
		const struct policy_runner *b;
		uint32_t left, best_left;

		if (!runner_takes(r, POOL_DECODE) || r->held ||
		    !fits(r, request))
			continue;
		if (best == RUNNER_NONE) {
			best = i;
			continue;
		}
		b = &view->runners[best];
		left = r->pieces - r->granted_pieces;
		best_left = b->pieces - b->granted_pieces;
		if (left > best_left ||
		    (left == best_left && r->link_until < b->link_until))
			best = i;
	}
	return best;
}

static uint32_t count_held(const struct policy_view *view)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < view->runner_count; i++)
		count += view->runners[i].held;
	return count;
}

/* Chooses the decode runner whose memory is expected to be free first. */
static uint32_t choose_held(const struct policy_view *view,
			    const struct policy_request *request)
{
	uint32_t best = RUNNER_NONE;
	int64_t best_at = CLOCK_NEVER;

	for (uint32_t i = 0; i < view->runner_count; i++) {
		const struct policy_runner *r = &view->runners[i];
		int64_t at;

		if (!runner_takes(r, POOL_DECODE) || r->held ||
		    r->pieces < request->pieces)
			continue;
		at = view->pieces_free_at(view->ctx, i, request->pieces);
		if (best != RUNNER_NONE && at >= best_at)
			continue;
		best = i;
		best_at = at;
	}
	return best;
}

/* Delay of a prefill so that its result is still kept when the links are free.
 * Half of the time for which it is kept is reserved for errors of the
 * estimates.
 */
static int64_t link_delay(const struct policy_view *view,
			  const struct policy_request *request,
			  const struct placement *placement)
{
	const struct policy_runner *p = &view->runners[placement->prefill];
	const struct policy_runner *d = &view->runners[placement->decode];
	int64_t keep = (int64_t)view->prefill_pool->hold_ms * USEC_PER_MSEC / 2;
	int64_t ready = MAX(p->busy_until, view->now) +
			prefill_time(view, placement->prefill, request);
	int64_t wait = MAX(p->link_free, d->link_free) - ready - keep;

	if (view->prefill_pool->hold_ms == 0)
		return 0;
	return MAX(wait, 0);
}

static enum verdict refuse(struct placement *placement, enum result_code code,
			   int64_t retry_after)
{
	placement->code = code;
	placement->retry_after = retry_after;
	return VERDICT_REFUSE;
}

static enum verdict wait_for_memory(const struct reserve *rs,
				    const struct policy_view *view,
				    const struct policy_request *request,
				    struct placement *placement)
{
	int64_t waited = view->now - request->arrived;

	placement->retry_at = CLOCK_NEVER;
	if (waited < rs->hold) {
		placement->retry_at = request->arrived + rs->hold;
		return VERDICT_WAIT;
	}
	if (count_held(view) >= HOLDS_MAX)
		return VERDICT_WAIT;
	placement->hold = choose_held(view, request);
	if (placement->hold == RUNNER_NONE)
		placement->retry_at = view->now + PLACE_RETRY_USEC;
	return VERDICT_WAIT;
}

static void credit_update(struct reserve *rs, const struct policy_view *view,
			  const struct policy_request *request)
{
	if (request->class == CLASS_URGENT)
		rs->credit += rs->share * request->pieces;
	else if (is_owed(rs, view, request))
		rs->credit -= request->pieces;
	rs->credit = CLAMP(rs->credit, 0, rs->credit_max);
}

static enum verdict reserve_place(void *state, const struct policy_view *view,
				  const struct policy_request *request,
				  struct placement *placement)
{
	struct reserve *rs = state;
	int64_t free_at;

	placement->reserve = true;
	placement->hold = RUNNER_NONE;
	if (view->now + min_time(view, request) > request->deadline)
		return refuse(placement, RESULT_DEADLINE, USEC_PER_SEC);
	placement->decode = choose_decode(view, request);
	if (placement->decode == RUNNER_NONE)
		return wait_for_memory(rs, view, request, placement);
	placement->prefill = choose_prefill(rs, view, request, &free_at);
	if (placement->prefill != RUNNER_NONE) {
		int64_t wait = link_delay(view, request, placement);

		if (wait > 0) {
			placement->retry_at = view->now + wait;
			return VERDICT_WAIT;
		}
		credit_update(rs, view, request);
		return VERDICT_START;
	}
	placement->retry_at = free_at == CLOCK_NEVER
				      ? view->now + PLACE_RETRY_USEC
				      : free_at - rs->ahead;
	return VERDICT_WAIT;
}

const struct policy_ops policy_reserve = {
	.name = "reserve",
	.summary = "decode memory reserved before prefill starts",
	.params = reserve_params,
	.param_count = G_N_ELEMENTS(reserve_params),
	.create = reserve_create,
	.destroy = g_free,
	.rank = reserve_rank,
	.place = reserve_place,
};
