#include "call.h"

struct fetch {
	struct web_call *call;
	web_head_fn head; /* may be NULL */
	web_answer_fn fn;
	void *ctx;
	size_t limit;
	int status;
	GByteArray *body;
};

static void fetch_release(void *ctx)
{
	struct fetch *fetch = ctx;

	g_byte_array_unref(fetch->body);
	g_free(fetch);
}

static void on_head(void *ctx, int status, const struct web_header *headers,
		    size_t count)
{
	struct fetch *fetch = ctx;

	fetch->status = status;
	if (fetch->head)
		fetch->head(fetch->ctx, status, headers, count);
}

static void on_body(void *ctx, const void *data, size_t size)
{
	struct fetch *fetch = ctx;

	if (size > fetch->limit - fetch->body->len) {
		call_reject(fetch->call, "the answer is too large");
		return;
	}
	g_byte_array_append(fetch->body, data, (guint)size);
}

static void on_done(void *ctx, const struct web_result *result)
{
	struct fetch *fetch = ctx;

	fetch->fn(fetch->ctx, result, fetch->status, fetch->body->data,
		  fetch->body->len);
}

struct web_call *web_fetch_head(struct web_client *client,
				const struct web_call_spec *spec, size_t limit,
				web_head_fn head, web_answer_fn fn, void *ctx)
{
	static const struct web_call_ops ops = {on_head, on_body, on_done};
	struct fetch *fetch = g_new0(struct fetch, 1);

	fetch->head = head;
	fetch->fn = fn;
	fetch->ctx = ctx;
	fetch->limit = MIN(limit, G_MAXINT);
	fetch->body = g_byte_array_new();
	fetch->call = web_call(client, spec, &ops, fetch);
	fetch->call->release = fetch_release;
	return fetch->call;
}

struct web_call *web_fetch(struct web_client *client,
			   const struct web_call_spec *spec, size_t limit,
			   web_answer_fn fn, void *ctx)
{
	return web_fetch_head(client, spec, limit, NULL, fn, ctx);
}
