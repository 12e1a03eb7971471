#include "load/call.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "load/answer.h"
#include "load/targets.h"
#include "web/client.h"

#define HEADERS_MAX 8
#define COMPLETIONS_PATH "/v1/completions"
/* Delay of a retry after a broken connection, and minimum after a refusal. */
#define RETRY_DELAY_MIN_USEC (50 * USEC_PER_MSEC)

struct load_call {
	struct call_env env;
	const struct call_plan *plan;
	call_fn fn;
	void *ctx;
	struct web_call *http; /* NULL between attempts */
	struct answer answer;
	struct call_result result;
	struct timer retry;
	struct timer hang_up;
	int64_t started;
	const char *target;
};

static const char *const verdict_labels[CALL_VERDICT_COUNT] = {
	[CALL_WHOLE] = "whole",	    [CALL_REFUSED] = "refused",
	[CALL_BROKEN] = "broken",   [CALL_WRONG] = "wrong",
	[CALL_HUNG_UP] = "hung-up", [CALL_UNANSWERED] = "unanswered",
};

const char *call_verdict_label(enum call_verdict verdict)
{
	return verdict_labels[verdict];
}

static void call_free(struct load_call *call)
{
	timer_stop(&call->retry);
	timer_stop(&call->hang_up);
	if (call->http != NULL)
		web_call_cancel(call->http);
	answer_clear(&call->answer);
	g_free(call);
}

void call_cancel(struct load_call *call)
{
	call_free(call);
}

static int gap_compare(const void *a, const void *b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x > *y) - (*x < *y);
}

static int64_t gaps_quantile(GArray *gaps, double q)
{
	guint at = (guint)(q * gaps->len);

	if (gaps->len == 0)
		return -1;
	g_array_sort(gaps, gap_compare);
	return g_array_index(gaps, int64_t, MIN(at, gaps->len - 1));
}

static void call_end(struct load_call *call, enum call_verdict verdict)
{
	struct call_result *result = &call->result;
	struct answer *answer = &call->answer;
	int64_t now = clock_now(call->env.clock);

	result->verdict = verdict;
	result->code = answer->code;
	result->outcome = answer->outcome;
	result->total_usec = now - call->started;
	result->between_tokens_usec = gaps_quantile(answer->gaps, 0.95);
	result->first_token_usec =
		answer->first_token_at < 0
			? -1
			: answer->first_token_at - call->started;
	g_strlcpy(result->request_id, answer->request_id, CALL_ID_MAX);
	call->fn(call->ctx, call->plan, result);
	call_free(call);
}

/* Returns the delay before the next attempt in microseconds; -1: no retry. */
static int64_t retry_delay(const struct load_call *call,
			   enum call_verdict verdict, bool sent)
{
	const struct load_kind *kind = call->plan->kind;
	const struct answer *answer = &call->answer;

	if (!call->env.retry || call->result.attempts > kind->retries)
		return -1;
	if (verdict == CALL_BROKEN && (kind->key || !sent))
		return RETRY_DELAY_MIN_USEC;
	if (verdict == CALL_REFUSED && answer->retry_after >= 0 &&
	    (answer->outcome == OUTCOME_NOT_RUN || kind->key))
		return MAX(answer->retry_after * USEC_PER_SEC,
			   RETRY_DELAY_MIN_USEC);
	return -1;
}

static void attempt_done(void *ctx, const struct web_result *result)
{
	struct load_call *call = ctx;
	enum call_verdict verdict = answer_verdict(&call->answer, result->ok);
	int64_t delay = retry_delay(call, verdict, result->sent);
	bool not_run = call->answer.has_outcome &&
		       call->answer.outcome == OUTCOME_NOT_RUN;

	call->http = NULL;
	if (result->sent && !not_run)
		call->result.may_have_run = true;
	if (delay < 0)
		call_end(call, verdict);
	else
		timer_start(&call->retry, delay);
}

static void attempt_head(void *ctx, int status,
			 const struct web_header *headers, size_t count)
{
	struct load_call *call = ctx;

	answer_head(&call->answer, status, headers, count);
}

static void attempt_body(void *ctx, const void *data, size_t size)
{
	struct load_call *call = ctx;

	answer_body(&call->answer, data, size);
}

struct header_list {
	struct web_header headers[HEADERS_MAX];
	size_t count;
};

static void header_add(struct header_list *list, const char *name,
		       const char *value)
{
	if (value == NULL)
		return;
	list->headers[list->count++] = (struct web_header){
		.name = {name, strlen(name)},
		.value = {value, strlen(value)},
	};
}

static char *body_make(const struct call_plan *plan, bool exact)
{
	uint32_t max_tokens = exact ? plan->output_tokens : plan->max_tokens;
	json_t *json;
	char *text;
	char *body;

	if (plan->kind->model == NULL)
		return g_strdup(plan->text);
	json = json_pack("{s:s, s:s, s:I, s:b}", "model", plan->kind->model,
			 "prompt", plan->text, "max_tokens",
			 (json_int_t)max_tokens, "stream", plan->kind->stream);
	text = json_dumps(json, JSON_COMPACT);
	body = g_strdup(text);
	free(text);
	json_decref(json);
	return body;
}

static void attempt_send(struct load_call *call)
{
	static const struct web_call_ops ops = {
		.head = attempt_head,
		.body = attempt_body,
		.done = attempt_done,
	};
	const struct call_plan *plan = call->plan;
	const struct load_kind *kind = plan->kind;
	struct header_list list = {0};
	struct web_call_spec spec = {0};
	char deadline[16];
	char *body = body_make(plan, call->env.exact);

	g_snprintf(deadline, sizeof(deadline), "%u", kind->deadline_ms);
	header_add(&list, "content-type", "application/json");
	header_add(&list, "x-request-id", plan->key);
	header_add(&list, "idempotency-key", kind->key ? plan->key : NULL);
	header_add(&list, "jt-class", kind->class);
	header_add(&list, "jt-deadline-ms",
		   kind->deadline_ms > 0 ? deadline : NULL);
	header_add(&list, "jt-idempotent",
		   kind->non_idempotent ? "false" : NULL);
	spec.address = call->target;
	spec.method = kind->method != NULL ? kind->method : "POST";
	spec.path = kind->model != NULL ? COMPLETIONS_PATH : kind->path;
	spec.headers = list.headers;
	spec.header_count = list.count;
	spec.body = body;
	spec.body_size = strlen(body);
	spec.head_usec = call->env.timeout_usec;
	spec.idle_usec = call->env.timeout_usec;
	call->result.attempts++;
	call->http = web_call(call->env.client, &spec, &ops, call);
	g_free(body);
}

static void retry_due(struct timer *timer, void *ctx)
{
	struct load_call *call = ctx;

	answer_clear(&call->answer);
	answer_init(&call->answer, call->plan, call->env.clock);
	call->target = targets_pick(call->env.targets, call->target);
	attempt_send(call);
}

static void hang_up_due(struct timer *timer, void *ctx)
{
	call_end(ctx, CALL_HUNG_UP);
}

struct load_call *call_start(const struct call_env *env,
			     const struct call_plan *plan, call_fn fn,
			     void *ctx)
{
	struct load_call *call = g_new0(struct load_call, 1);

	call->env = *env;
	call->plan = plan;
	call->fn = fn;
	call->ctx = ctx;
	call->started = clock_now(env->clock);
	call->target = targets_pick(env->targets, NULL);
	timer_init(&call->retry, env->clock, retry_due, call);
	timer_init(&call->hang_up, env->clock, hang_up_due, call);
	if (plan->hang_up_usec > 0)
		timer_start(&call->hang_up, plan->hang_up_usec);
	answer_init(&call->answer, plan, env->clock);
	attempt_send(call);
	return call;
}
