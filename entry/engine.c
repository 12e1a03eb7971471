/*
 * engine.c - client of the engines' HTTP interface (docs/PROTOCOLS.md)
 */
#include "entry/engine.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "common/hex.h"
#include "entry/entry.h"
#include "web/client.h"

#define ANSWER_BYTES_MAX (1u << 20)
#define CANCEL_TIMEOUT_USEC (2 * USEC_PER_SEC)
#define PREFILL_TIMEOUT_USEC (120 * USEC_PER_SEC)
#define DECODE_HEAD_TIMEOUT_USEC (5 * USEC_PER_SEC)
#define TOKEN_TIMEOUT_USEC (10 * USEC_PER_SEC)

struct engine_call {
	struct web_call *call;
	const struct engine_ops *ops;
	void *ctx;
	int status;
	GByteArray *input; /* received bytes not yet decoded */
	bool lines;	   /* the response is a JSON object per line */
	bool started;
	bool ended;
	bool dropped;
	bool in_callback;
	enum result_code end_code;
};

static void call_free(struct engine_call *call)
{
	g_byte_array_unref(call->input);
	g_free(call);
}

static void call_finish(struct engine_call *call, enum result_code code,
			const char *text)
{
	const struct engine_ops *ops = call->ops;
	void *ctx = call->ctx;

	call_free(call);
	ops->done(ctx, code, text);
}

static const char *object_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static uint32_t object_number(const json_t *object, const char *name)
{
	json_int_t n = json_integer_value(json_object_get(object, name));

	return n < 0 || n > UINT32_MAX ? 0 : (uint32_t)n;
}

static void line_decode(struct engine_call *call, const json_t *line)
{
	const json_t *token = json_object_get(line, "t");

	if (json_is_string(token)) {
		call->ops->token(call->ctx, object_number(line, "o"),
				 json_string_value(token),
				 json_string_length(token));
		return;
	}
	if (json_object_get(line, "stream")) {
		call->ops->stream(call->ctx, object_text(line, "stream"));
		return;
	}
	if (json_is_true(json_object_get(line, "started"))) {
		call->started = true;
		call->ops->started(call->ctx);
		return;
	}
	if (json_object_get(line, "end")) {
		call->ended = true;
		call->end_code = RESULT_OK;
		return;
	}
	if (json_object_get(line, "error")) {
		call->ended = true;
		call->end_code = call->started ? RESULT_STREAM_LOST
					       : RESULT_TRANSFER_FAILED;
	}
}

/* Decodes the complete lines received. A callback may drop the call. */
static void lines_decode(struct engine_call *call)
{
	size_t start = 0;

	call->in_callback = true;
	while (!call->dropped && !call->ended) {
		const uint8_t *from = call->input->data + start;
		size_t left = call->input->len - start;
		const uint8_t *end = left ? memchr(from, '\n', left) : NULL;
		json_t *line;

		if (!end)
			break;
		line = json_loadb((const char *)from, (size_t)(end - from), 0,
				  NULL);
		start += (size_t)(end - from) + 1;
		if (line)
			line_decode(call, line);
		json_decref(line);
	}
	call->in_callback = false;
	if (start)
		g_byte_array_remove_range(call->input, 0, (unsigned int)start);
}

static void call_head(void *ctx, int status, const struct web_header *headers,
		      size_t count)
{
	struct engine_call *call = ctx;

	call->status = status;
}

static void call_body(void *ctx, const void *data, size_t size)
{
	struct engine_call *call = ctx;

	if (call->input->len + size > ANSWER_BYTES_MAX) {
		web_call_cancel(call->call);
		call_finish(call, RESULT_BACKEND_FAILED,
			    "engine response exceeds the 1 MiB buffer");
		return;
	}
	g_byte_array_append(call->input, data, (unsigned int)size);
	if (!call->lines || call->status != 200)
		return;
	lines_decode(call);
	if (call->dropped) {
		call_free(call);
		return;
	}
	if (!call->ended)
		return;
	web_call_cancel(call->call);
	call_finish(call, call->end_code, "");
}

static json_t *call_json(const struct engine_call *call)
{
	if (!call->input->len)
		return NULL;
	return json_loadb((const char *)call->input->data, call->input->len, 0,
			  NULL);
}

/* The result code of a call that failed. */
static enum result_code refusal_code(const struct engine_call *call,
				     const struct web_result *result)
{
	if (!result->ok && !result->sent)
		return RESULT_BACKEND_REFUSED;
	if (!result->ok && call->lines && call->status == 200)
		return call->started ? RESULT_STREAM_LOST
				     : RESULT_TRANSFER_FAILED;
	if (!result->ok)
		return result->timed_out ? RESULT_BACKEND_TIMEOUT
					 : RESULT_BACKEND_FAILED;
	if (call->status == 503)
		return RESULT_BACKEND_REFUSED;
	if (call->status == 404)
		return RESULT_NOT_FOUND;
	if (call->status == 502)
		return RESULT_TRANSFER_FAILED;
	return RESULT_BACKEND_FAILED;
}

static void refusal_finish(struct engine_call *call,
			   const struct web_result *result)
{
	char text[ERROR_TEXT_MAX];
	enum result_code code = refusal_code(call, result);
	json_t *json = call_json(call);

	g_strlcpy(text, result->text ? result->text : "", sizeof(text));
	if (json_object_get(json, "refused"))
		g_strlcpy(text, object_text(json, "refused"), sizeof(text));
	json_decref(json);
	call_finish(call, code, text);
}

static void prefilled_finish(struct engine_call *call,
			     const struct engine_prefilled *prefilled)
{
	const struct engine_ops *ops = call->ops;
	void *ctx = call->ctx;

	call_free(call);
	ops->prefilled(ctx, prefilled);
}

static void prefill_done(void *ctx, const struct web_result *result)
{
	struct engine_call *call = ctx;
	struct engine_prefilled prefilled = {0};
	json_t *json;

	if (!result->ok || call->status != 200) {
		refusal_finish(call, result);
		return;
	}
	json = call_json(call);
	g_strlcpy(prefilled.handle, object_text(json, "handle"),
		  sizeof(prefilled.handle));
	prefilled.cached_tokens = object_number(json, "cached_tokens");
	prefilled.computed_tokens = object_number(json, "computed_tokens");
	prefilled.hold_ms = object_number(json, "hold_ms");
	json_decref(json);
	if (!prefilled.handle[0]) {
		call_finish(call, RESULT_BACKEND_FAILED,
			    "engine answered the prefill without a handle");
		return;
	}
	prefilled_finish(call, &prefilled);
}

static void stream_done(void *ctx, const struct web_result *result)
{
	struct engine_call *call = ctx;

	if (call->status == 200 && result->ok) {
		call_finish(call,
			    call->started ? RESULT_STREAM_LOST
					  : RESULT_TRANSFER_FAILED,
			    "engine closed the stream before its end");
		return;
	}
	refusal_finish(call, result);
}

static const struct web_call_ops prefill_call_ops = {
	.head = call_head,
	.body = call_body,
	.done = prefill_done,
};

static const struct web_call_ops stream_call_ops = {
	.head = call_head,
	.body = call_body,
	.done = stream_done,
};

static struct engine_call *call_create(const struct engine_ops *ops, void *ctx,
				       bool lines)
{
	struct engine_call *call = g_new0(struct engine_call, 1);

	call->ops = ops;
	call->ctx = ctx;
	call->lines = lines;
	call->input = g_byte_array_new();
	return call;
}

static json_t *id_json(uint64_t id)
{
	char text[HEX_ID_SIZE];

	return json_string(hex_id(text, id));
}

static json_t *work_json(const struct engine_work *work)
{
	return json_pack("{s:o, s:o, s:o, s:I, s:I, s:I}", "request",
			 id_json(work->request), "owner",
			 id_json(work->owner.instance), "incarnation",
			 id_json(work->owner.incarnation), "attempt",
			 (json_int_t)work->attempt, "priority",
			 (json_int_t)work->priority, "prompt_tokens",
			 (json_int_t)work->prompt_tokens);
}

static struct web_call *post(struct entry *entry, const char *address,
			     const char *path, json_t *body, int64_t head_usec,
			     const struct web_call_ops *ops, void *ctx)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct web_call_spec spec = {
		.address = address,
		.method = "POST",
		.path = path,
		.body = text,
		.body_size = strlen(text),
		.head_usec = head_usec,
		.idle_usec = TOKEN_TIMEOUT_USEC,
	};
	struct web_call *call = web_call(entry->client, &spec, ops, ctx);

	free(text);
	json_decref(body);
	return call;
}

struct engine_call *engine_prefill(struct entry *entry, const char *address,
				   const struct engine_work *work,
				   const struct engine_ops *ops, void *ctx)
{
	struct engine_call *call = call_create(ops, ctx, false);
	json_t *body = work_json(work);
	json_t *blocks = json_array();

	for (uint32_t i = 0; i < work->block_count; i++)
		json_array_append_new(blocks, id_json(work->blocks[i]));
	json_object_set_new(body, "blocks", blocks);
	json_object_set_new(body, "prompt",
			    json_stringn(work->prompt, work->prompt_size));
	call->call = post(entry, address, "/prefill", body,
			  PREFILL_TIMEOUT_USEC, &prefill_call_ops, call);
	return call;
}

struct engine_call *engine_decode(struct entry *entry, const char *address,
				  const struct engine_work *work,
				  const char *source, const char *handle,
				  const struct engine_ops *ops, void *ctx)
{
	struct engine_call *call = call_create(ops, ctx, true);
	json_t *body = work_json(work);

	json_object_set_new(body, "output_tokens_max",
			    json_integer(work->output_tokens_max));
	json_object_set_new(body, "output_from",
			    json_integer(work->output_from));
	json_object_set_new(body, "source", json_string(source));
	json_object_set_new(body, "handle", json_string(handle));
	call->call = post(entry, address, "/decode", body,
			  DECODE_HEAD_TIMEOUT_USEC, &stream_call_ops, call);
	return call;
}

struct engine_call *engine_resume(struct entry *entry, const char *address,
				  const char *stream, uint32_t offset,
				  const struct engine_ops *ops, void *ctx)
{
	struct engine_call *call = call_create(ops, ctx, true);
	char path[LEDGER_STREAM_MAX + 32];
	struct web_call_spec spec = {
		.address = address,
		.method = "GET",
		.path = path,
		.head_usec = DECODE_HEAD_TIMEOUT_USEC,
		.idle_usec = TOKEN_TIMEOUT_USEC,
	};

	call->started = true;
	snprintf(path, sizeof(path), "/streams/%s?offset=%u", stream, offset);
	call->call = web_call(entry->client, &spec, &stream_call_ops, call);
	return call;
}

void engine_drop(struct engine_call *call)
{
	if (!call)
		return;
	web_call_cancel(call->call);
	call->dropped = true;
	if (!call->in_callback)
		call_free(call);
}

struct cancel {
	engine_cancel_fn fn;
	void *ctx;
};

static void cancel_answered(void *ctx, const struct web_result *result,
			    int status, const void *body, size_t size)
{
	struct cancel cancel = *(struct cancel *)ctx;

	g_free(ctx);
	if (cancel.fn)
		cancel.fn(cancel.ctx,
			  result->ok && (status == 200 || status == 404));
}

static void delete_call(struct entry *entry, const char *address,
			const char *kind, const char *name, engine_cancel_fn fn,
			void *ctx)
{
	struct cancel *cancel = g_new0(struct cancel, 1);
	char path[LEDGER_STREAM_MAX + 32];
	struct web_call_spec spec = {
		.address = address,
		.method = "DELETE",
		.path = path,
		.head_usec = CANCEL_TIMEOUT_USEC,
	};

	cancel->fn = fn;
	cancel->ctx = ctx;
	snprintf(path, sizeof(path), "/%s/%s", kind, name);
	web_fetch(entry->client, &spec, ANSWER_BYTES_MAX, cancel_answered,
		  cancel);
}

void engine_cancel(struct entry *entry, const char *address, const char *stream,
		   engine_cancel_fn fn, void *ctx)
{
	delete_call(entry, address, "streams", stream, fn, ctx);
}

void engine_forget(struct entry *entry, const char *address, const char *handle)
{
	delete_call(entry, address, "handles", handle, NULL, NULL);
}
