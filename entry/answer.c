/* Formats answers to callers: JSON, server-sent events, plain HTTP. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "common/hex.h"
#include "common/json_text.h"
#include "entry/request.h"

#define TYPE_JSON "application/json"
#define TYPE_EVENTS "text/event-stream"
#define SLOW_CALLER_BYTES (4u << 20)

static void reply_result_headers(struct web_request *web, uint64_t id,
				 enum outcome outcome, enum result_code code)
{
	char text[HEX_ID_SIZE];
	char number[16];

	web_reply_header(web, "jt-request-id", hex_id(text, id));
	web_reply_header(web, "jt-outcome", outcome_label(outcome));
	snprintf(number, sizeof(number), "%d", (int)code);
	web_reply_header(web, "jt-result", number);
}

static void error_print(GString *out, uint64_t id, enum result_code code,
			enum outcome outcome, const char *text)
{
	char hex[HEX_ID_SIZE];

	g_string_append_printf(
		out, "{\"error\":{\"code\":%d,\"type\":\"%s\",\"message\":",
		(int)code, result_label(code));
	json_text_append(out, text, strlen(text));
	g_string_append_printf(out,
			       ",\"outcome\":\"%s\",\"request_id\":\"%s\"}}",
			       outcome_label(outcome), hex_id(hex, id));
}

void answer_error(struct web_request *web, uint64_t id, enum result_code code,
		  enum outcome outcome, int64_t retry_after_usec,
		  const char *text)
{
	GString *body = g_string_new(NULL);
	char seconds[24];

	reply_result_headers(web, id, outcome, code);
	if (retry_after_usec > 0) {
		snprintf(seconds, sizeof(seconds), "%lld",
			 (long long)((retry_after_usec + USEC_PER_SEC - 1) /
				     USEC_PER_SEC));
		web_reply_header(web, "retry-after", seconds);
	}
	error_print(body, id, code, outcome, text);
	g_string_append_c(body, '\n');
	web_reply(web, result_status(code), TYPE_JSON, body->str, body->len);
	g_string_free(body, TRUE);
}

static void head_print(GString *out, const struct request *request,
		       const char *object)
{
	char hex[HEX_ID_SIZE];

	g_string_append_printf(out,
			       "{\"id\":\"%s-%s\",\"object\":\"%s\",\"model\":",
			       request->chat ? "chatcmpl" : "cmpl",
			       hex_id(hex, request->id), object);
	json_text_append(out, request->model, strlen(request->model));
}

/* One server-sent event; text NULL: the last one, with finish_reason. */
static void event_print(GString *out, const struct request *request,
			const char *text, size_t size)
{
	g_string_append(out, "data: ");
	head_print(out, request,
		   request->chat ? "chat.completion.chunk" : "text_completion");
	g_string_append(out, ",\"choices\":[{\"index\":0,");
	g_string_append(out, request->chat ? "\"delta\":{" : "\"text\":");
	if (request->chat && text)
		g_string_append(out, "\"content\":");
	if (text)
		json_text_append(out, text, size);
	else if (!request->chat)
		g_string_append(out, "\"\"");
	if (request->chat)
		g_string_append_c(out, '}');
	g_string_append_printf(out, ",\"finish_reason\":%s}]}\n\n",
			       text ? "null" : "\"stop\"");
}

static void completion_print(GString *out, const struct request *request)
{
	head_print(out, request,
		   request->chat ? "chat.completion" : "text_completion");
	g_string_append(out, ",\"choices\":[{\"index\":0,");
	g_string_append(out, request->chat ? "\"message\":{\"role\":"
					     "\"assistant\",\"content\":"
					   : "\"text\":");
	json_text_append(out, request->text->str, request->text->len);
	if (request->chat)
		g_string_append_c(out, '}');
	g_string_append_printf(
		out,
		",\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%u,"
		"\"completion_tokens\":%u,\"total_tokens\":%u}}\n",
		request->prompt_tokens, request->tokens,
		request->prompt_tokens + request->tokens);
}

static void reply_start(struct reply *reply)
{
	if (reply->started)
		return;
	reply->started = true;
	reply_result_headers(reply->web, reply->request->id, OUTCOME_RUN,
			     RESULT_OK);
	web_reply_header(reply->web, "cache-control", "no-store");
	web_reply_start(reply->web, 200, TYPE_EVENTS);
}

void answer_token(struct request *request, const char *text, size_t size)
{
	GString *event = NULL;
	GList *next;

	for (GList *at = request->replies.head; at; at = next) {
		struct reply *reply = at->data;

		next = at->next;
		if (!reply->stream)
			continue;
		if (!event) {
			event = g_string_sized_new(256);
			event_print(event, request, text, size);
		}
		reply_start(reply);
		web_reply_piece(reply->web, event->str, event->len);
	}
	if (event)
		g_string_free(event, TRUE);
}

bool answer_too_slow(const struct reply *reply)
{
	return reply->started &&
	       web_reply_queued(reply->web) > SLOW_CALLER_BYTES;
}

void answer_catch_up(struct reply *reply)
{
	const struct request *request = reply->request;
	GString *event;

	if (!reply->stream || !request->text || !request->text->len)
		return;
	event = g_string_new(NULL);
	event_print(event, request, request->text->str, request->text->len);
	reply_start(reply);
	web_reply_piece(reply->web, event->str, event->len);
	g_string_free(event, TRUE);
}

static void finish_stream(struct reply *reply)
{
	GString *event = g_string_new(NULL);

	reply_start(reply);
	event_print(event, reply->request, NULL, 0);
	g_string_append(event, "data: [DONE]\n\n");
	web_reply_piece(reply->web, event->str, event->len);
	web_reply_end(reply->web);
	g_string_free(event, TRUE);
}

static void finish_plain(struct reply *reply)
{
	const struct request *request = reply->request;
	const GPtrArray *headers = request->answer_headers;
	const char *type = "application/octet-stream";

	reply_result_headers(reply->web, request->id, OUTCOME_RUN, RESULT_OK);
	for (unsigned int i = 0; i + 1 < headers->len; i += 2) {
		const char *name = headers->pdata[i];
		const char *value = headers->pdata[i + 1];

		if (strcmp(name, "content-type") == 0)
			type = value;
		else
			web_reply_header(reply->web, name, value);
	}
	web_reply(reply->web, request->status, type, request->answer_body->str,
		  request->answer_body->len);
}

void answer_finish(struct reply *reply)
{
	const struct request *request = reply->request;
	GString *body;

	if (request->service.kind == SERVICE_PLAIN) {
		finish_plain(reply);
		return;
	}
	if (reply->stream) {
		finish_stream(reply);
		return;
	}
	body = g_string_new(NULL);
	completion_print(body, request);
	reply_result_headers(reply->web, request->id, OUTCOME_RUN, RESULT_OK);
	web_reply(reply->web, 200, TYPE_JSON, body->str, body->len);
	g_string_free(body, TRUE);
}

void answer_fail(struct reply *reply, enum result_code code,
		 int64_t retry_after_usec, const char *text)
{
	const struct request *request = reply->request;
	enum outcome outcome = request_outcome(request, code);
	GString *event;

	if (!reply->started) {
		answer_error(reply->web, request->id, code, outcome,
			     retry_after_usec, text);
		return;
	}
	if (!reply->stream) {
		web_reply_abort(reply->web);
		return;
	}
	event = g_string_new("data: ");
	error_print(event, request->id, code, outcome, text);
	g_string_append(event, "\n\n");
	web_reply_piece(reply->web, event->str, event->len);
	web_reply_end(reply->web);
	g_string_free(event, TRUE);
}
