#include "load/answer.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"

#define BODY_BYTES_MAX (16u << 20)
#define EVENT_PREFIX "data: "

void answer_init(struct answer *answer, const struct call_plan *plan,
		 const struct clock *clock)
{
	*answer = (struct answer){
		.plan = plan,
		.clock = clock,
		.buffer = g_string_new(NULL),
		.gaps = g_array_new(FALSE, FALSE, sizeof(int64_t)),
		.first_token_at = -1,
		.retry_after = -1,
		.outcome = OUTCOME_UNKNOWN,
	};
	text_check_init(&answer->check, plan->text_hash, plan->output_tokens);
}

void answer_clear(struct answer *answer)
{
	g_string_free(answer->buffer, TRUE);
	g_array_free(answer->gaps, TRUE);
}

static bool outcome_parse(const char *text, enum outcome *outcome)
{
	for (int i = OUTCOME_NOT_RUN; text && i <= OUTCOME_RUN; i++) {
		if (strcmp(outcome_label((enum outcome)i), text) != 0)
			continue;
		*outcome = (enum outcome)i;
		return true;
	}
	return false;
}

static void header_parse(struct answer *answer, const struct web_header *header)
{
	char *value = g_strndup(header->value.data, header->value.size);

	if (web_text_is(header->name, "jt-request-id"))
		g_strlcpy(answer->request_id, value, CALL_ID_MAX);
	else if (web_text_is(header->name, "jt-result"))
		answer->code = atoi(value);
	else if (web_text_is(header->name, "retry-after"))
		answer->retry_after = atoi(value);
	else if (web_text_is(header->name, "jt-outcome"))
		answer->has_outcome = outcome_parse(value, &answer->outcome);
	else if (web_text_is(header->name, "content-type"))
		answer->event_stream =
			g_str_has_prefix(value, "text/event-stream");
	g_free(value);
}

void answer_head(struct answer *answer, int status,
		 const struct web_header *headers, size_t count)
{
	answer->status = status;
	for (size_t i = 0; i < count; i++)
		header_parse(answer, &headers[i]);
}

static void tokens_record(struct answer *answer, uint32_t tokens)
{
	int64_t now = clock_now(answer->clock);
	int64_t gap;

	for (uint32_t i = 0; i < tokens; i++) {
		gap = now - answer->last_token_at;
		if (answer->first_token_at < 0)
			answer->first_token_at = now;
		else
			g_array_append_val(answer->gaps, gap);
		answer->last_token_at = now;
	}
}

static void text_handle(struct answer *answer, const char *text)
{
	if (text == NULL)
		return;
	if (answer->finished)
		answer->check.wrong = true;
	tokens_record(answer,
		      text_check_feed(&answer->check, text, strlen(text)));
}

/* Returns the text of a completion or chat completion, or of a chunk of one. */
static const char *choice_text(const json_t *json)
{
	json_t *choice = json_array_get(json_object_get(json, "choices"), 0);
	json_t *text = json_object_get(choice, "text");

	if (text == NULL)
		text = json_object_get(json_object_get(choice, "delta"),
				       "content");
	if (text == NULL)
		text = json_object_get(json_object_get(choice, "message"),
				       "content");
	return json_string_value(text);
}

static void error_parse(struct answer *answer, const json_t *error)
{
	const char *outcome =
		json_string_value(json_object_get(error, "outcome"));
	int code = (int)json_integer_value(json_object_get(error, "code"));

	if (code != 0)
		answer->code = code;
	if (outcome_parse(outcome, &answer->outcome))
		answer->has_outcome = true;
}

static void event_handle(struct answer *answer, const char *data, size_t size)
{
	json_t *json;
	json_t *error;

	if (size == strlen("[DONE]") && memcmp(data, "[DONE]", size) == 0) {
		answer->check.wrong |= answer->finished;
		answer->finished = true;
		return;
	}
	json = json_loadb(data, size, 0, NULL);
	error = json_object_get(json, "error");
	if (error != NULL) {
		answer->failed = true;
		error_parse(answer, error);
	} else if (json == NULL) {
		answer->check.wrong = true;
	} else {
		text_handle(answer, choice_text(json));
	}
	json_decref(json);
}

static void events_parse(struct answer *answer)
{
	GString *buffer = answer->buffer;
	size_t prefix = strlen(EVENT_PREFIX);
	char *line = buffer->str;
	char *end;
	size_t size;

	while ((end = strchr(line, '\n')) != NULL) {
		size = (size_t)(end - line);
		if (size > prefix && memcmp(line, EVENT_PREFIX, prefix) == 0)
			event_handle(answer, line + prefix, size - prefix);
		line = end + 1;
	}
	g_string_erase(buffer, 0, line - buffer->str);
}

void answer_body(struct answer *answer, const void *data, size_t size)
{
	if (answer->buffer->len + size > BODY_BYTES_MAX) {
		answer->check.wrong = true;
		return;
	}
	g_string_append_len(answer->buffer, data, (gssize)size);
	if (answer->status == 200 && answer->event_stream)
		events_parse(answer);
}

/* A plain service echoes the body and counts the runs with the same key. */
static bool echo_check(const struct answer *answer, const json_t *json)
{
	const struct load_kind *kind = answer->plan->kind;
	const char *body = json_string_value(json_object_get(json, "body"));
	int64_t ran = json_integer_value(json_object_get(json, "ran"));

	if (ran < 1 || (kind->non_idempotent && ran != 1))
		return false;
	return body != NULL && strcmp(body, answer->plan->text) == 0;
}

static bool body_check(struct answer *answer)
{
	GString *buffer = answer->buffer;
	json_t *json = json_loadb(buffer->str, buffer->len, 0, NULL);
	bool ok;

	if (answer->plan->kind->model != NULL) {
		text_handle(answer, choice_text(json));
		ok = text_check_complete(&answer->check);
	} else {
		ok = echo_check(answer, json);
	}
	json_decref(json);
	return ok;
}

static enum call_verdict refusal_verdict(struct answer *answer)
{
	GString *buffer = answer->buffer;
	json_t *json = json_loadb(buffer->str, buffer->len, 0, NULL);
	json_t *error = json_object_get(json, "error");

	error_parse(answer, error);
	json_decref(json);
	return CALL_REFUSED;
}

/* Logs the state of a wrong answer with the first bytes of the buffer. */
static void wrong_answer_log(const struct answer *answer)
{
	char start[64];

	g_strlcpy(start, answer->buffer->str, sizeof(start));
	log_event(LOG_WARNING, "wrong_answer", LOG_S("key", answer->plan->key),
		  LOG_S("kind", answer->plan->kind->name),
		  LOG_S("request", answer->request_id),
		  LOG_D("status", answer->status),
		  LOG_D("events", answer->event_stream),
		  LOG_D("finished", answer->finished),
		  LOG_D("tokens", answer->check.tokens),
		  LOG_D("expected", answer->check.expected),
		  LOG_S("rest", start));
}

static enum call_verdict answer_classify(struct answer *answer, bool ok)
{
	if (answer->status != 0 && answer->status != 200)
		return ok ? refusal_verdict(answer) : CALL_BROKEN;
	if (answer->check.wrong)
		return CALL_WRONG;
	if (!ok || answer->failed || answer->status == 0)
		return CALL_BROKEN;
	if (answer->event_stream != answer->plan->kind->stream)
		return CALL_WRONG;
	if (!answer->event_stream)
		return body_check(answer) ? CALL_WHOLE : CALL_WRONG;
	if (!answer->finished)
		return CALL_BROKEN;
	return text_check_complete(&answer->check) ? CALL_WHOLE : CALL_WRONG;
}

enum call_verdict answer_verdict(struct answer *answer, bool ok)
{
	enum call_verdict verdict = answer_classify(answer, ok);

	if (verdict == CALL_WRONG)
		wrong_answer_log(answer);
	return verdict;
}
