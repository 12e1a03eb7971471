/* The callers and the daemon: routing, answer and end of each request. */
#include "calls.h"

#include <string.h>

#define WORK_USEC (200 * USEC_PER_MSEC)

static struct job *job_find(const struct site *site, uint64_t request)
{
	g_assert_cmpuint(request, <=, site->jobs->len);
	return g_ptr_array_index(site->jobs, request - 1);
}

static void job_finish(struct job *job, enum job_end end)
{
	g_assert_cmpint(job->end, ==, JOB_OPEN);
	job->end = end;
}

static void job_release(struct timer *timer, void *ctx)
{
	struct job *job = ctx;
	struct instance *at = &job->site->instances[job->centre][job->instance];

	job_finish(job, JOB_DONE);
	if (at->up)
		ledger_release(at->ledger, job->request, RELEASE_DONE);
}

static void on_granted(void *ctx, const struct ledger_grant *grant)
{
	struct instance *instance = ctx;
	struct site *site = instance->site;
	struct job *job = job_find(site, grant->request);

	g_assert_false(job->granted);
	job->granted = true;
	job->answers++;
	job->waited = clock_now(site->clock) - job->submitted_at;
	site->runs++;
	timer_start(&job->timer, job->work);
}

static int centre_of(const char *name)
{
	for (int i = 0; i < CENTRES_MAX; i++)
		if (strcmp(site_names[i], name) == 0)
			return i;
	return -1;
}

/* Forwards to a random instance of the data centre; false if unreachable. */
static bool job_forward(struct job *job, int centre)
{
	struct site *site = job->site;
	int from = job->centre;
	int number = g_rand_int_range(site->rand, 0, site->settings.instances);

	if (site->cut[from] || site->cut[centre] ||
	    !site->instances[centre][number].up || job->no_redirect)
		return false;
	job->no_redirect = true;
	job->centre = centre;
	job->instance = number;
	site_submit_after(site, job, site_delay(site, from, centre));
	return true;
}

/* As request_spill() in the daemon. */
static bool job_spill(struct job *job, bool refused)
{
	struct site *site = job->site;
	const struct instance *at =
		&site->instances[job->centre][job->instance];
	uint64_t key = job->key ? job->key : id_mix(job->request, 1);
	const char *target;
	uint32_t share;

	ledger_level(at->ledger, site_service()->name, &share);
	if (site->settings.local_only || job->no_redirect ||
	    (!refused && !cell_load_redirects(share, job->class, key)))
		return false;
	if (refused || share >= CELL_LOAD_SHARE_ALL)
		target = cell_load_pick_least_loaded(
			at->membership, &site->config, site_service(),
			CELL_FULL, key);
	else
		target = cell_load_pick_by_key(at->membership, &site->config,
					       site_service(), key);
	return target && job_forward(job, centre_of(target));
}

static void on_refused(void *ctx, const struct ledger_refusal *refusal)
{
	const struct instance *instance = ctx;
	struct job *job = job_find(instance->site, refusal->request);

	if (refusal->code == RESULT_QUEUE_FULL && job->follow_redirects &&
	    job_spill(job, true))
		return;
	job->answers++;
	job->code = refusal->code;
	job_finish(job, JOB_REFUSED);
}

static void on_duplicate(void *ctx, const struct ledger_duplicate *duplicate)
{
	const struct instance *instance = ctx;
	struct job *job = job_find(instance->site, duplicate->request);

	if (duplicate->state != RECORD_ELSEWHERE) {
		job->answers++;
		job_finish(job, JOB_DUPLICATE);
		return;
	}
	g_assert_false(job->no_redirect);
	job->redirected_to = centre_of(duplicate->data_centre);
	g_assert_cmpint(job->redirected_to, >=, 0);
	g_assert_cmpint(job->redirected_to, !=, job->centre);
	if (!job->follow_redirects) {
		job->answers++;
		job_finish(job, JOB_DUPLICATE);
	} else if (!job_forward(job, job->redirected_to)) {
		job->no_redirect = true;
		calls_submit(job);
	}
}

static void on_revoked(void *ctx, uint64_t request, uint32_t attempt)
{
	const struct instance *instance = ctx;
	struct job *job = job_find(instance->site, request);

	timer_stop(&job->timer);
	if (job->end == JOB_OPEN)
		job_finish(job, JOB_REFUSED);
}

static void on_cancel(void *ctx, uint64_t runner, const char *stream)
{
}

static void on_homes_changed(void *ctx)
{
}

const struct ledger_ops calls_ops = {
	.granted = on_granted,
	.refused = on_refused,
	.duplicate = on_duplicate,
	.revoked = on_revoked,
	.cancel = on_cancel,
	.homes_changed = on_homes_changed,
};

void calls_submit(struct job *job)
{
	struct instance *at = &job->site->instances[job->centre][job->instance];
	struct ledger_request request = {
		.request = job->request,
		.service = site_service()->name,
		.key = job->key,
		.fingerprint = 1,
		.idempotent = true,
		.no_redirect = job->no_redirect,
		.need = {.class = job->class,
			 .arrived = job->submitted_at,
			 .deadline = CLOCK_NEVER,
			 .first_token_by = CLOCK_NEVER,
			 .prompt_tokens = 1000,
			 .output_tokens_max = 1000},
	};

	if (at->up)
		ledger_submit(at->ledger, &request);
}

static struct job *job_create(struct site *site, int centre,
			      const struct job *spec)
{
	struct job *job = g_memdup2(spec, sizeof(*spec));

	job->site = site;
	g_ptr_array_add(site->jobs, job);
	job->request = site->jobs->len;
	job->origin = centre;
	job->centre = centre;
	job->redirected_to = -1;
	job->submitted_at = clock_now(site->clock);
	job->work = job->work ? job->work : WORK_USEC;
	timer_init(&job->timer, site->clock, job_release, job);
	return job;
}

struct job *site_submit(struct site *site, int centre, const struct job *spec)
{
	struct job *job = job_create(site, centre, spec);

	while (!site->instances[centre][job->instance].up)
		job->instance++;
	calls_submit(job);
	return job;
}

struct job *site_call(struct site *site, int centre, const struct job *spec)
{
	struct job *job = job_create(site, centre, spec);

	job->instance =
		g_rand_int_range(site->rand, 0, site->settings.instances);
	job->follow_redirects = true;
	if (!job_spill(job, false))
		calls_submit(job);
	return job;
}
