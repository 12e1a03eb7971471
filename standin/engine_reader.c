#include "standin/engine_reader.h"

#include <jansson.h>
#include <string.h>

#include "common/model_text.h"
#include "standin/engine_stream.h"
#include "standin/reply.h"
#include "web/client.h"

#define NDJSON "application/x-ndjson"
#define KV_FETCH_TIMEOUT_USEC (3600 * USEC_PER_SEC)
#define KV_ANSWER_MAX_BYTES 4096
/* No tokens are sent to a reader with more unsent bytes than this. */
#define QUEUED_MAX_BYTES (256 * 1024)
#define LINE_MAX_SIZE 48

/* The HTTP request of a caller that reads a stream. */
struct reader {
	struct stream *stream;
	struct web_request *request;
};

/* The call to the engine that holds a stream's KV cache. */
struct kv_fetch {
	struct stream *stream;
	struct web_call *call;
};

/* Lines are cut off at 255 bytes. None below is longer: the longest parts are
 * a stream's name and an error text. */
static void reader_line(struct reader *reader, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
static void reader_line(struct reader *reader, const char *fmt, ...)
{
	char line[256];
	va_list args;

	va_start(args, fmt);
	g_vsnprintf(line, sizeof(line), fmt, args);
	va_end(args);
	web_reply_piece(reader->request, line, strlen(line));
}

static void reader_started(void *ctx)
{
	reader_line(ctx, "{\"started\": true}\n");
}

static bool reader_tokens(void *ctx, const struct stream *stream, uint32_t from,
			  uint32_t to)
{
	struct reader *reader = ctx;
	char text[MODEL_TOKEN_SIZE + 1];
	char lines[64 * LINE_MAX_SIZE];
	size_t used = 0;

	if (web_reply_queued(reader->request) > QUEUED_MAX_BYTES)
		return false;
	for (uint32_t k = from; k < to; k++) {
		model_token(stream->prompt, k, text);
		used += (size_t)g_snprintf(lines + used, LINE_MAX_SIZE,
					   "{\"o\": %u, \"t\": \"%s\"}\n", k,
					   text);
		if (used <= sizeof(lines) - LINE_MAX_SIZE && k + 1 < to)
			continue;
		web_reply_piece(reader->request, lines, used);
		used = 0;
	}
	return true;
}

static void reader_ended(void *ctx, const char *reason, uint32_t tokens)
{
	struct reader *reader = ctx;

	reader_line(reader, "{\"end\": \"%s\", \"tokens\": %u}\n", reason,
		    tokens);
	web_reply_end(reader->request);
	g_free(reader);
}

static void reader_disconnect(void *ctx, const char *text)
{
	struct reader *reader = ctx;

	if (text) {
		reader_line(reader, "{\"error\": \"%s\"}\n", text);
		web_reply_end(reader->request);
	} else {
		web_reply_abort(reader->request);
	}
	g_free(reader);
}

static const struct stream_ops reader_ops = {
	.started = reader_started,
	.tokens = reader_tokens,
	.ended = reader_ended,
	.disconnected = reader_disconnect,
};

static void reader_gone(void *ctx)
{
	struct reader *reader = ctx;

	stream_detach(reader->stream);
	g_free(reader);
}

static struct reader *reader_create(struct stream *stream,
				    struct web_request *request)
{
	struct reader *reader = g_new0(struct reader, 1);

	reader->stream = stream;
	reader->request = request;
	web_request_on_gone(request, reader_gone, reader);
	web_reply_start(request, 200, NDJSON);
	return reader;
}

static void kv_fetch_abort(void *ctx)
{
	struct kv_fetch *fetch = ctx;

	if (fetch->call)
		web_call_cancel(fetch->call);
	g_free(fetch);
}

static bool kv_read(const void *body, size_t size, struct engine_kv *kv)
{
	json_t *root = json_loadb(body, size, 0, NULL);
	json_int_t length = 0;
	json_t *prompt = NULL;
	bool ok;

	ok = json_unpack(root, "{s:o, s:I}", "prompt", &prompt, "length",
			 &length) == 0 &&
	     id_from_json(prompt, &kv->prompt) && length >= 0 &&
	     length <= UINT32_MAX;
	kv->length = (uint32_t)length;
	json_decref(root);
	return ok;
}

static void kv_fetch_done(void *ctx, const struct web_result *result,
			  int status, const void *body, size_t size)
{
	struct kv_fetch *fetch = ctx;
	struct stream *stream = fetch->stream;
	struct engine_kv kv = {0};

	g_free(fetch);
	if (!result->ok)
		stream_fail(stream, "the source does not answer");
	else if (status != 200 || !kv_read(body, size, &kv))
		stream_fail(stream, "the source holds no such result");
	else
		stream_fetched(stream, &kv);
}

static void kv_fetch_start(struct kv_fetch *fetch, struct web_client *client,
			   const char *source, const char *name)
{
	char *path = g_strconcat("/handles/", name, NULL);
	struct web_call_spec spec = {
		.address = source,
		.method = "GET",
		.path = path,
		.head_usec = KV_FETCH_TIMEOUT_USEC,
	};

	fetch->call = web_fetch(client, &spec, KV_ANSWER_MAX_BYTES,
				kv_fetch_done, fetch);
	g_free(path);
}

void reader_decode(struct engine_model *model, struct web_client *client,
		   const struct engine_job *job, const char *source,
		   const char *name, struct web_request *request)
{
	struct kv_fetch *fetch = g_new0(struct kv_fetch, 1);
	enum engine_refusal refusal;
	struct stream *stream;
	struct reader *reader;

	stream = stream_reserve(model, job, kv_fetch_abort, fetch, &refusal);
	if (!stream) {
		g_free(fetch);
		reply_refused(request, engine_refusal_name(refusal));
		return;
	}
	fetch->stream = stream;
	kv_fetch_start(fetch, client, source, name);
	reader = reader_create(stream, request);
	reader_line(reader, "{\"stream\": \"%s\"}\n", stream->name);
	stream_attach(stream, job->output_from, true, &reader_ops, reader);
}

void reader_resume(struct stream *stream, uint32_t offset,
		   struct web_request *request)
{
	struct reader *reader = reader_create(stream, request);

	stream_attach(stream, offset, false, &reader_ops, reader);
}
