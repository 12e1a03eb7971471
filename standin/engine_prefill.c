#include "standin/engine_prefill.h"

#include <math.h>

#include "common/table.h"
#include "standin/engine_cache.h"

struct fetch {
	struct engine_model *model;
	uint64_t prefill;
	struct transfer transfer;
	fetch_fn fn;
	void *ctx;
};

static void prefill_free(struct prefill *p)
{
	timer_stop(&p->hold_timer);
	g_free(p->blocks);
	table_remove(p->model->prefills, p->handle);
}

/* Frees a result. Its tokens count as wasted if it was not fetched. */
static void result_remove(struct prefill *p)
{
	if (!p->fetched)
		p->model->ledger.wasted_tokens += p->computed;
	p->model->pieces_used -= engine_pieces(p->model, p->job.prompt_tokens);
	prefill_free(p);
}

static void result_expired(struct timer *timer, void *ctx)
{
	struct prefill *p = ctx;

	p->expired = true;
	if (p->fetches == 0)
		result_remove(p);
}

/* Starts the next prompt. from is the scheduled end of the previous one, or the
 * present. */
static void compute_next(struct engine_model *model, int64_t from)
{
	int64_t now = clock_now(model->clock);
	struct prefill *p = g_queue_pop_head(&model->waiting);
	uint32_t found;
	double usec;

	model->computing = p;
	if (!p)
		return;
	found = engine_cache_find(model->cache, p->blocks, p->block_count);
	p->cached = MIN(found * ENGINE_BLOCK_TOKENS, p->job.prompt_tokens - 1);
	p->computed = p->job.prompt_tokens - p->cached;
	p->state = PREFILL_COMPUTING;
	p->compute_started_at = MAX(from, now - ENGINE_CATCHUP_MAX_USEC);
	usec = p->computed * engine_slowdown(model) * USEC_PER_SEC /
	       model->params.prefill_tokens_per_s;
	p->compute_usec = (int64_t)ceil(usec);
	model->pieces_used += engine_pieces(model, p->job.prompt_tokens);
	model->ledger.prefills++;
	engine_request_stats(model, p->job.request)->prefills++;
	timer_start(&model->compute_timer,
		    MAX(p->compute_started_at + p->compute_usec - now, 0));
}

/* Counts the computed tokens and stores the full blocks in the prefix cache. */
static void compute_account(struct prefill *p, uint32_t computed)
{
	struct engine_model *model = p->model;
	uint32_t blocks = (p->cached + computed) / ENGINE_BLOCK_TOKENS;
	bool drop_events = fault_take(&model->faults, ENGINE_EVENT_GAP) != 0;

	p->computed = computed;
	model->ledger.prefill_tokens += computed;
	engine_request_stats(model, p->job.request)->prefill_tokens += computed;
	engine_cache_store(model->cache, p->blocks, MIN(blocks, p->block_count),
			   drop_events);
}

static void compute_done(struct timer *timer, void *ctx)
{
	struct engine_model *model = ctx;
	struct prefill *p = model->computing;

	compute_account(p, p->computed);
	p->state = PREFILL_HELD;
	timer_start(&p->hold_timer, model->params.hold_usec);
	compute_next(model, p->compute_started_at + p->compute_usec);
	p->fn(p->ctx, p);
}

static uint32_t computed_so_far(const struct prefill *p)
{
	int64_t spent = clock_now(p->model->clock) - p->compute_started_at;

	if (spent >= p->compute_usec)
		return p->computed;
	return (uint32_t)((double)p->computed * spent / p->compute_usec);
}

/* Cancels the prompt being computed. The tokens computed so far are wasted. */
static void compute_cancel(struct prefill *p)
{
	struct engine_model *model = p->model;

	timer_stop(&model->compute_timer);
	compute_account(p, computed_so_far(p));
	model->computing = NULL;
	result_remove(p);
	compute_next(model, clock_now(model->clock));
}

static uint32_t priority_of(const GList *l)
{
	return ((const struct prefill *)l->data)->job.priority;
}

static void queue_add(struct engine_model *model, struct prefill *p)
{
	GList *l = model->waiting.head;

	/* Inserts it after all others of the same priority. */
	while (l && priority_of(l) <= p->job.priority)
		l = l->next;
	g_queue_insert_before(&model->waiting, l, p);
	if (!model->computing)
		compute_next(model, clock_now(model->clock));
}

void prefill_setup(struct engine_model *model)
{
	model->prefills =
		table_create(sizeof(struct prefill), ENGINE_OBJECTS_MAX);
	g_queue_init(&model->waiting);
	timer_init(&model->compute_timer, model->clock, compute_done, model);
}

struct prefill *prefill_start(struct engine_model *model,
			      const struct engine_job *job,
			      const struct engine_kv *kv,
			      const uint64_t *blocks, uint32_t block_count,
			      prefill_fn fn, void *ctx,
			      enum engine_refusal *refusal)
{
	struct prefill *p = NULL;
	uint64_t handle;

	*refusal = engine_admit(model, ENGINE_PREFILL);
	if (*refusal != ENGINE_ACCEPTED)
		return NULL;
	if (g_queue_get_length(&model->waiting) < model->params.queue)
		p = table_add(model->prefills, &handle);
	if (!p) {
		*refusal = ENGINE_FULL;
		return NULL;
	}
	p->model = model;
	p->handle = handle;
	p->job = *job;
	p->job.prompt_tokens = MAX(job->prompt_tokens, 1);
	p->kv = *kv;
	p->kv.bytes = p->job.prompt_tokens * model->params.kv_bytes_per_token;
	p->blocks = g_memdup2(blocks, block_count * sizeof(*blocks));
	p->block_count = block_count;
	p->fn = fn;
	p->ctx = ctx;
	timer_init(&p->hold_timer, model->clock, result_expired, p);
	queue_add(model, p);
	return p;
}

bool prefill_cancel(struct engine_model *model, uint64_t handle)
{
	struct prefill *p = table_get(model->prefills, handle);

	if (!p)
		return false;
	if (!p->fetched)
		engine_request_stats(model, p->job.request)->cancelled++;
	if (p->state == PREFILL_COMPUTING) {
		compute_cancel(p);
	} else if (p->state == PREFILL_WAITING) {
		g_queue_remove(&model->waiting, p);
		prefill_free(p);
	} else if (p->fetches > 0) {
		p->expired = true;
	} else {
		result_remove(p);
	}
	return true;
}

uint64_t prefill_queue_tokens(const struct engine_model *model)
{
	const struct prefill *p = model->computing;
	uint64_t tokens = p ? p->computed - computed_so_far(p) : 0;

	for (GList *l = model->waiting.head; l; l = l->next)
		tokens += ((struct prefill *)l->data)->job.prompt_tokens;
	return tokens;
}

void prefill_teardown(struct engine_model *model)
{
	struct prefill *p;
	uint32_t cursor = 0;
	uint64_t handle;

	timer_stop(&model->compute_timer);
	g_queue_clear(&model->waiting);
	while ((p = table_next(model->prefills, &cursor, &handle)))
		prefill_free(p);
	table_destroy(model->prefills);
}

static void fetch_done(void *ctx)
{
	struct fetch *fetch = ctx;
	struct engine_model *model = fetch->model;
	struct prefill *p = table_get(model->prefills, fetch->prefill);
	struct request_stats *stats =
		engine_request_stats(model, p->job.request);
	struct engine_kv kv = p->kv;

	if (!p->fetched && stats->useful_tokens > 0)
		model->ledger.wasted_tokens += p->computed;
	else if (!p->fetched)
		stats->useful_tokens = p->computed;
	p->fetched = true;
	if (--p->fetches == 0)
		result_remove(p);
	fetch->fn(fetch->ctx, &kv);
	g_free(fetch);
}

struct fetch *fetch_start(struct engine_model *model, const char *name,
			  fetch_fn fn, void *ctx)
{
	uint64_t handle = engine_name_read(model, 'p', name);
	struct prefill *p = table_get(model->prefills, handle);
	struct fetch *fetch;
	bool stalled;

	if (!p || p->state != PREFILL_HELD || p->expired || p->fetched)
		return NULL;
	fetch = g_new0(struct fetch, 1);
	fetch->model = model;
	fetch->prefill = handle;
	fetch->fn = fn;
	fetch->ctx = ctx;
	p->fetches++;
	stalled = fault_take(&model->faults, ENGINE_STALL_TRANSFER) != 0;
	engine_link_start(model->link, &fetch->transfer,
			  p->kv.bytes * engine_slowdown(model), stalled,
			  fetch_done, fetch);
	return fetch;
}

void fetch_cancel(struct fetch *fetch)
{
	struct engine_model *model = fetch->model;
	struct prefill *p = table_get(model->prefills, fetch->prefill);

	engine_link_stop(model->link, &fetch->transfer);
	if (--p->fetches == 0 && (p->expired || p->fetched))
		result_remove(p);
	g_free(fetch);
}
