/* Runs requests as the daemon does: prefill, decode, release. */
#include "world.h"

#define PREFILL_DEFAULT_USEC (20 * USEC_PER_MSEC)
#define CANCEL_USEC (10 * USEC_PER_MSEC)
#define PAUSED_POLL_USEC (5 * USEC_PER_MSEC)

static void job_timer(struct timer *timer, void *ctx);

bool job_over(const struct job *job)
{
	return job->state >= JOB_DONE;
}

static struct job *job_find(struct instance *instance, uint64_t request)
{
	struct world *world = instance->world;

	for (guint i = 0; i < world->jobs->len; i++) {
		struct job *job = g_ptr_array_index(world->jobs, i);

		if (job->request == request && job->instance == instance)
			return job;
	}
	return NULL;
}

static void job_end(struct job *job, enum job_state state)
{
	timer_stop(&job->timer);
	job->state = state;
}

static struct ledger_request request_of(struct instance *instance,
					const struct spec *spec)
{
	uint32_t tokens = spec->tokens != 0 ? spec->tokens : 4000;
	int64_t now = clock_now(instance->clock);

	return (struct ledger_request){
		.request = ++instance->world->next_request,
		.service = spec->service != NULL ? spec->service : "model",
		.key = spec->key,
		.fingerprint = spec->fingerprint,
		.idempotent = !spec->not_idempotent,
		.need = {.class = spec->class,
			 .arrived = now,
			 .deadline = spec->timeout != 0 ? now + spec->timeout
							: CLOCK_NEVER,
			 .first_token_by = CLOCK_NEVER,
			 .prompt_tokens = tokens / 2,
			 .output_tokens_max = tokens - tokens / 2,
			 .block_count = spec->block != 0,
			 .blocks = {spec->block}},
	};
}

struct job *app_submit(struct world *world, int index, const struct spec *spec)
{
	struct instance *instance = &world->instances[index];
	struct job *job = g_new0(struct job, 1);
	struct ledger_request request = request_of(instance, spec);

	job->world = world;
	job->instance = instance;
	job->request = request.request;
	job->incarnation = membership_self(instance->membership)->incarnation;
	job->key = spec->key;
	job->class = spec->class;
	job->submitted_at = clock_now(world->clock);
	job->decode_usec = spec->decode_usec != 0 ? spec->decode_usec
						  : 100 * USEC_PER_MSEC;
	job->prefill_usec = spec->prefill_usec != 0 ? spec->prefill_usec
						    : PREFILL_DEFAULT_USEC;
	timer_init(&job->timer, world->clock, job_timer, job);
	g_ptr_array_add(world->jobs, job);
	ledger_submit(instance->ledger, &request);
	return job;
}

static void job_record_answer(struct job *job)
{
	if (job->answers++ > 0)
		world_fail(job->world, "request %lu was answered twice",
			   (unsigned long)job->request);
	job->answered_at = clock_now(job->world->clock);
}

static void app_granted(void *ctx, const struct ledger_grant *grant)
{
	struct instance *instance = ctx;
	struct job *job = job_find(instance, grant->request);

	if (job == NULL || job->state != JOB_SUBMITTED) {
		world_fail(instance->world,
			   "request %lu was granted but is not waiting",
			   (unsigned long)grant->request);
		return;
	}
	job_record_answer(job);
	job->attempt = grant->attempt;
	job->grant = *grant;
	job->incarnation = membership_self(instance->membership)->incarnation;
	job->state = JOB_PREFILL;
	if (job->adopt && grant->prefill == 0) {
		job->adopted = true;
		job->state = JOB_DECODE;
		g_strlcpy(job->stream, job->duplicate.stream,
			  sizeof(job->stream));
		ledger_progress(instance->ledger, job->request, STAGE_DECODE,
				job->stream);
	}
	timer_start(&job->timer,
		    grant->decode != 0 ? job->prefill_usec : job->decode_usec);
}

static void app_refused(void *ctx, const struct ledger_refusal *refusal)
{
	struct job *job = job_find(ctx, refusal->request);

	job_record_answer(job);
	job->refusal = *refusal;
	job_end(job, JOB_REFUSED);
}

static void app_duplicate(void *ctx, const struct ledger_duplicate *duplicate)
{
	struct job *job = job_find(ctx, duplicate->request);

	job->duplicate = *duplicate;
	if (duplicate->state == RECORD_RUNNING && !duplicate->owner_alive &&
	    job->adopt) {
		ledger_adopt(job->instance->ledger, job->request);
		return;
	}
	job_record_answer(job);
	job_end(job, JOB_DUPLICATE);
}

static void app_revoked(void *ctx, uint64_t request, uint32_t attempt)
{
	struct job *job = job_find(ctx, request);

	if (job == NULL || job_over(job))
		return;
	job_end(job, JOB_REVOKED);
}

static void app_homes_changed(void *ctx)
{
}

static void app_cancel_stream(void *ctx, uint64_t runner, const char *stream)
{
	engine_cancel(ctx, runner, stream);
}

const struct ledger_ops app_ops = {
	.granted = app_granted,
	.refused = app_refused,
	.duplicate = app_duplicate,
	.revoked = app_revoked,
	.cancel = app_cancel_stream,
	.homes_changed = app_homes_changed,
};

static void job_retry(struct job *job, enum result_code why)
{
	job->state = JOB_SUBMITTED;
	job->answers = 0;
	job->stream[0] = '\0';
	ledger_retry(job->instance->ledger, job->request, why, 0);
}

static void start_decode(struct job *job, struct engine *engine)
{
	ledger_progress(job->instance->ledger, job->request, STAGE_TRANSFER,
			NULL);
	if (!engine_open(engine, job, job->grant.pieces, job->stream)) {
		if (engine->stale == 0 && !engine->leaving &&
		    clock_now(job->world->clock) >=
			    job->world->split_brain_until &&
		    !members_declared_dead(job->world, job->instance->index,
					   job->incarnation))
			world_fail(
				job->world,
				"an engine had no memory for a granted stream");
		job_retry(job, RESULT_BACKEND_REFUSED);
		return;
	}
	job->state = JOB_DECODE;
	ledger_progress(job->instance->ledger, job->request, STAGE_DECODE,
			job->stream);
	timer_start(&job->timer, job->decode_usec);
}

static void end_decode(struct job *job, struct engine *engine)
{
	if (!engine_has(engine, job->stream)) {
		job_retry(job, RESULT_STREAM_LOST);
		return;
	}
	if (job->fail_times > 0) {
		job->fail_times--;
		job_retry(job, RESULT_STREAM_LOST);
		return;
	}
	engine_close(engine, job->stream);
	job_end(job, JOB_DONE);
	ledger_release(job->instance->ledger, job->request, RELEASE_DONE);
}

static void end_cancel(struct job *job, struct engine *engine)
{
	if (engine->ignores_cancel ||
	    world_chance(job->world, job->world->loss_rate)) {
		timer_start(&job->timer, CANCEL_USEC);
		return;
	}
	engine_close(engine, job->stream);
	job_end(job, JOB_WITHDRAWN);
	ledger_release(job->instance->ledger, job->request, RELEASE_CANCELLED);
}

static void job_timer(struct timer *timer, void *ctx)
{
	struct job *job = ctx;
	struct engine *engine = engine_find(job->world, job->grant.decode);

	if (job->instance->paused) {
		timer_start(timer, PAUSED_POLL_USEC);
		return;
	}
	if (job->state == JOB_PREFILL && engine != NULL) {
		start_decode(job, engine);
	} else if (job->state == JOB_PREFILL) {
		job_end(job, JOB_DONE);
		ledger_release(job->instance->ledger, job->request,
			       RELEASE_DONE);
	} else if (job->state == JOB_DECODE) {
		end_decode(job, engine);
	} else if (job->state == JOB_CANCELLING) {
		end_cancel(job, engine);
	}
}

void app_withdraw(struct job *job)
{
	ledger_withdraw(job->instance->ledger, job->request);
	job_end(job, JOB_WITHDRAWN);
}

/* The caller disconnects, at any stage of the request. */
void app_cancel(struct job *job)
{
	if (job_over(job) || job->state == JOB_CANCELLING)
		return;
	if (job->state == JOB_SUBMITTED) {
		app_withdraw(job);
		return;
	}
	if (job->state == JOB_PREFILL) {
		job_end(job, JOB_WITHDRAWN);
		ledger_release(job->instance->ledger, job->request,
			       RELEASE_NOT_RUN);
		return;
	}
	job->state = JOB_CANCELLING;
	timer_start(&job->timer, CANCEL_USEC);
}

void app_instance_died(struct instance *instance)
{
	for (guint i = 0; i < instance->world->jobs->len; i++) {
		struct job *job = g_ptr_array_index(instance->world->jobs, i);

		if (job->instance == instance && !job_over(job))
			job_end(job, JOB_LOST);
	}
}
