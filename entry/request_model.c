/*
 * Requests for a model: prefill, transfer, decode, and recovery when a step
 * fails. A broken stream is resumed at its offset; new runners are requested
 * and the prefill repeated only when the stream no longer exists.
 */
#include <string.h>

#include "common/log.h"
#include "coord/retry.h"
#include "entry/directory.h"
#include "entry/measures.h"
#include "entry/request.h"

#define RESUMES_MAX 6u
#define RESUME_BASE_USEC (50 * USEC_PER_MSEC)
#define RESUME_MAX_USEC USEC_PER_SEC
#define MODEL_RETRY_BASE_USEC (20 * USEC_PER_MSEC)
#define MODEL_RETRY_MAX_USEC (2 * USEC_PER_SEC)
#define URGENT_ATTEMPTS 4u
#define TRANSFER_TIMEOUT_FACTOR 4
#define TRANSFER_TIMEOUT_MIN_USEC (500 * USEC_PER_MSEC)
#define STREAM_NAME_TIMEOUT_USEC (5 * USEC_PER_SEC)

static const struct engine_ops model_ops;

static void model_decode(struct request *request);

static const struct backend *runner_find(const struct request *request,
					 uint64_t id)
{
	return directory_find(request->entry->directory, id);
}

static struct engine_work model_work(const struct request *request)
{
	return (struct engine_work){
		.request = request->id,
		.attempt = request->grant.attempt,
		.owner = request_owner(request),
		.priority = request->class,
		.prompt_tokens = request->prompt_tokens + request->tokens,
		.output_tokens_max =
			request->output_tokens_max - request->tokens,
		.output_from = request->tokens,
		.prompt = request->prompt->str,
		.prompt_size = request->prompt->len,
		.blocks = request->blocks,
		.block_count = request->block_count,
	};
}

/* Frees the unused result of the prefill and counts its tokens as wasted. */
static void prefill_discard(struct request *request)
{
	const struct backend *runner =
		runner_find(request, request->grant.prefill);

	if (!request->handle[0])
		return;
	if (runner)
		engine_forget(request->entry, runner->address, request->handle);
	request->handle[0] = '\0';
	measures_wasted(request->entry->measures, request->computed_tokens);
	request->computed_tokens = 0;
}

static void call_drop(struct request *request)
{
	engine_drop(request->call);
	request->call = NULL;
}

/* Requests new runners. The home ends the previous attempt's stream, if any. */
void model_reassign(struct request *request)
{
	if (request->call)
		call_drop(request);
	timer_stop(&request->timer);
	prefill_discard(request);
	request->stream[0] = '\0';
	request->state = REQUEST_SUBMITTED;
	ledger_retry(request->entry->ledger, request->id, request->last_code,
		     request->tokens);
}

/* Retries a failed attempt, unless urgent attempts or the deadline ran out. */
static void model_retry(struct request *request, enum result_code code,
			const char *text)
{
	int64_t now = clock_now(request->entry->clock);
	uint32_t attempts = ++request->attempts;

	request->last_code = code;
	log_event(LOG_NOTICE, "attempt_failed", LOG_X("request", request->id),
		  LOG_D("attempt", request->grant.attempt),
		  LOG_S("code", result_label(code)),
		  LOG_D("tokens", request->tokens), LOG_S("text", text));
	if (request->class == CLASS_URGENT && attempts >= URGENT_ATTEMPTS) {
		request_fail(request, code, USEC_PER_SEC, text);
		return;
	}
	if (request->deadline != CLOCK_NEVER && now >= request->deadline) {
		request_fail(request, code, USEC_PER_SEC, text);
		return;
	}
	if (attempts == 1 && requests_may_retry(request)) {
		model_reassign(request);
		return;
	}
	request->state = REQUEST_PAUSED;
	timer_start(&request->timer,
		    retry_backoff(request->entry->rand, attempts,
				  MODEL_RETRY_BASE_USEC, MODEL_RETRY_MAX_USEC));
}

static void model_resume_try(struct request *request)
{
	const struct backend *runner =
		runner_find(request, request->grant.decode);

	request->state = REQUEST_RESUMING;
	if (!runner) {
		model_retry(request, RESULT_STREAM_LOST,
			    "the runner is no longer listed");
		return;
	}
	request->call =
		engine_resume(request->entry, runner->address, request->stream,
			      request->tokens, &model_ops, request);
}

void model_resume(struct request *request, const char *stream)
{
	g_strlcpy(request->stream, stream, sizeof(request->stream));
	request->reached = true;
	model_resume_try(request);
}

/* The connection to the stream broke: resumes at the next offset. */
static void model_stream_broken(struct request *request, const char *text)
{
	struct requests *requests = request->entry->requests;

	if (request->resumes >= RESUMES_MAX) {
		model_retry(request, RESULT_STREAM_LOST, text);
		return;
	}
	requests->resumes->value++;
	request->state = REQUEST_RESUMING;
	if (request->resumes++ == 0) {
		model_resume_try(request);
		return;
	}
	timer_start(&request->timer,
		    retry_backoff(request->entry->rand, request->resumes,
				  RESUME_BASE_USEC, RESUME_MAX_USEC));
}

static void model_prefilled(void *ctx, const struct engine_prefilled *result)
{
	struct request *request = ctx;
	struct measures *measures = request->entry->measures;

	request->call = NULL;
	request->reached = true;
	g_strlcpy(request->handle, result->handle, sizeof(request->handle));
	request->handle_until = clock_now(request->entry->clock) +
				result->hold_ms * USEC_PER_MSEC;
	request->computed_tokens = result->computed_tokens;
	measures_prefill(measures, result->computed_tokens,
			 result->cached_tokens);
	model_decode(request);
}

static void stream_cancelled(void *ctx, bool confirmed)
{
	struct request *request = ctx;

	request->state = REQUEST_CANCELLING;
	request_release(request,
			confirmed ? RELEASE_CANCELLED : RELEASE_FAILED);
	request_destroy(request);
}

static void model_stream(void *ctx, const char *stream)
{
	struct request *request = ctx;

	g_strlcpy(request->stream, stream, sizeof(request->stream));
	if (request->state == REQUEST_CANCELLING) {
		timer_stop(&request->timer);
		call_drop(request);
		cancel_stream(request->entry, request->grant.decode, stream,
			      stream_cancelled, request);
		return;
	}
	ledger_progress(request->entry->ledger, request->id, STAGE_TRANSFER,
			stream);
}

static void model_started(void *ctx)
{
	struct request *request = ctx;

	timer_stop(&request->timer);
	request->state = REQUEST_DECODE;
	request->handle[0] = '\0';
	request->computed_tokens = 0;
	ledger_progress(request->entry->ledger, request->id, STAGE_DECODE,
			request->stream);
}

static void slow_callers_drop(struct request *request)
{
	GList *next;

	for (GList *at = request->replies.head; at; at = next) {
		struct reply *reply = at->data;

		next = at->next;
		if (answer_too_slow(reply))
			reply_abort(reply);
	}
}

static void model_token(void *ctx, uint32_t offset, const char *text,
			size_t size)
{
	struct request *request = ctx;
	int64_t now = clock_now(request->entry->clock);

	if (offset != request->tokens) {
		request->entry->requests->late_pieces->value++;
		if (offset < request->tokens)
			return;
		call_drop(request);
		model_stream_broken(request,
				    "a token is missing from the stream");
		return;
	}
	if (request->state == REQUEST_RESUMING)
		request->state = REQUEST_DECODE;
	if (request->first_token_at < 0)
		request->first_token_at = now;
	else
		request_record_gap(request, now - request->last_token_at);
	request->last_token_at = now;
	request->tokens++;
	g_string_append_len(request->text, text, (gssize)size);
	answer_token(request, text, size);
	slow_callers_drop(request);
}

static void cancelling_done(struct request *request, enum result_code code)
{
	timer_stop(&request->timer);
	request_release(request, code == RESULT_BACKEND_REFUSED
					 ? RELEASE_CANCELLED
					 : RELEASE_FAILED);
	request_destroy(request);
}

/* Retries a failed transfer while the source still holds the KV cache. */
static void transfer_failed(struct request *request, enum result_code code,
			    const char *text)
{
	int64_t now = clock_now(request->entry->clock);

	request->stream[0] = '\0';
	if (code == RESULT_TRANSFER_FAILED && now < request->handle_until &&
	    request->resumes++ < RESUMES_MAX) {
		model_decode(request);
		return;
	}
	model_retry(request, code, text);
}

static void model_done(void *ctx, enum result_code code, const char *text)
{
	struct request *request = ctx;
	enum request_state state = request->state;

	request->call = NULL;
	timer_stop(&request->timer);
	if (code != RESULT_BACKEND_REFUSED && code != RESULT_NOT_FOUND)
		request->reached = true;
	if (state == REQUEST_CANCELLING) {
		cancelling_done(request, code);
		return;
	}
	if (code == RESULT_OK) {
		request_complete(request);
		return;
	}
	if (state == REQUEST_PREFILL) {
		model_retry(request, code, text);
		return;
	}
	if (state == REQUEST_TRANSFER) {
		transfer_failed(request, code, text);
		return;
	}
	if (code == RESULT_NOT_FOUND) {
		model_retry(request, RESULT_STREAM_LOST, text);
		return;
	}
	model_stream_broken(request, text);
}

static const struct engine_ops model_ops = {
	.prefilled = model_prefilled,
	.stream = model_stream,
	.started = model_started,
	.token = model_token,
	.done = model_done,
};

static uint64_t link_rate_min(uint64_t a, uint64_t b)
{
	if (!a || (b && b < a))
		return b;
	return a;
}

/* Time after which a transfer counts as stalled. */
static int64_t transfer_timeout(const struct request *request)
{
	const struct config *config = request->entry->config;
	const struct config_pool *from =
		config_pool(config, request->service.prefill_pool);
	const struct config_pool *to =
		config_pool(config, request->service.decode_pool);
	uint64_t rate = link_rate_min(from ? from->link_bytes_per_s : 0,
				      to ? to->link_bytes_per_s : 0);
	uint64_t bytes;

	if (!from || !rate)
		return TRANSFER_TIMEOUT_MIN_USEC * TRANSFER_TIMEOUT_FACTOR;
	bytes = (uint64_t)from->kv_bytes_per_token *
		(request->prompt_tokens + request->tokens);
	return TRANSFER_TIMEOUT_MIN_USEC +
	       TRANSFER_TIMEOUT_FACTOR *
		       (int64_t)((double)bytes / (double)rate * USEC_PER_SEC);
}

static void model_decode(struct request *request)
{
	const struct backend *from =
		runner_find(request, request->grant.prefill);
	const struct backend *to = runner_find(request, request->grant.decode);
	struct engine_work work = model_work(request);

	request->state = REQUEST_TRANSFER;
	if (!from || !to) {
		model_retry(request, RESULT_NO_BACKEND,
			    "the runner is no longer listed");
		return;
	}
	request->call =
		engine_decode(request->entry, to->address, &work, from->address,
			      request->handle, &model_ops, request);
	timer_start(&request->timer, transfer_timeout(request));
}

void model_run(struct request *request)
{
	const struct backend *runner =
		runner_find(request, request->grant.prefill);
	struct engine_work work = model_work(request);

	request->state = REQUEST_PREFILL;
	request->resumes = 0;
	if (!runner) {
		model_retry(request, RESULT_NO_BACKEND,
			    "the runner is no longer listed");
		return;
	}
	ledger_progress(request->entry->ledger, request->id, STAGE_PREFILL, "");
	request->call = engine_prefill(request->entry, runner->address, &work,
				       &model_ops, request);
}

/* Stalled transfer, backoff before a resume, or timeout of a cancellation. */
void model_timer(struct request *request)
{
	switch (request->state) {
	case REQUEST_TRANSFER:
		call_drop(request);
		request->reached = true;
		if (request->stream[0])
			cancel_stream(request->entry, request->grant.decode,
				      request->stream, NULL, NULL);
		transfer_failed(request, RESULT_TRANSFER_FAILED,
				"the transfer stalled");
		return;
	case REQUEST_RESUMING:
		model_resume_try(request);
		return;
	case REQUEST_CANCELLING:
		call_drop(request);
		cancelling_done(request, RESULT_BACKEND_TIMEOUT);
		return;
	default:
		return;
	}
}

void model_revoked(struct request *request)
{
	call_drop(request);
	request->reached = true;
	request->stream[0] = '\0';
	request_fail(request, RESULT_LEASE_LOST, USEC_PER_SEC,
		     "this instance lost its grant; send the request again");
}

void model_cancel(struct request *request)
{
	enum request_state state = request->state;

	request->entry->requests->cancels->value++;
	prefill_discard(request);
	timer_stop(&request->timer);
	request->state = REQUEST_CANCELLING;
	if (state == REQUEST_CLAIMING)
		return;
	if (request->stream[0]) {
		call_drop(request);
		cancel_stream(request->entry, request->grant.decode,
			      request->stream, stream_cancelled, request);
		return;
	}
	/* The engine may have reserved memory for a stream whose name has not
	 * arrived yet. */
	if (state == REQUEST_TRANSFER && request->call) {
		timer_start(&request->timer, STREAM_NAME_TIMEOUT_USEC);
		return;
	}
	call_drop(request);
	request_release(request, RELEASE_CANCELLED);
	request_destroy(request);
}
