#include "stream.h"

#include <string.h>

#define STARTS_PER_STEP 20
#define STEP_USEC (5 * USEC_PER_MSEC)

struct stream {
	struct streams *streams;
	struct web_call *call;
	int status;
	bool begun;
};

struct streams {
	struct bench *bench;
	const char *address;
	char *body;
	struct timer timer;
	struct stream *list;
	unsigned int size;
	unsigned int started;
	struct stream_counts counts;
};

static void stream_start(struct stream *stream);

static void on_head(void *ctx, int status, const struct web_header *headers,
		    size_t count)
{
	struct stream *stream = ctx;

	stream->status = status;
}

/* Counts line ends: a token is an event, which ends with an empty line. */
static void on_body(void *ctx, const void *data, size_t size)
{
	struct stream *stream = ctx;
	const char *at = data;
	const char *end = at + size;
	uint64_t lines = 0;

	while ((at = memchr(at, '\n', (size_t)(end - at)))) {
		at++;
		lines++;
	}
	stream->streams->counts.tokens += lines;
	if (!stream->begun)
		stream->streams->counts.begun++;
	stream->begun = true;
}

static void on_done(void *ctx, const struct web_result *result)
{
	struct stream *stream = ctx;

	stream->call = NULL;
	if (!result->ok || stream->status != 200)
		stream->streams->counts.failed++;
	stream_start(stream);
}

static void stream_start(struct stream *stream)
{
	static const struct web_call_ops ops = {on_head, on_body, on_done};
	const struct web_call_spec spec = {
		.address = stream->streams->address,
		.method = "POST",
		.path = "/v1/completions",
		.body = stream->streams->body,
		.body_size = strlen(stream->streams->body),
		.head_usec = 60 * USEC_PER_SEC,
		.idle_usec = 60 * USEC_PER_SEC,
	};

	stream->status = 0;
	stream->call =
		web_call(stream->streams->bench->client, &spec, &ops, stream);
}

static void on_step(struct timer *timer, void *ctx)
{
	struct streams *streams = ctx;

	for (int i = 0; i < STARTS_PER_STEP; i++) {
		struct stream *stream = &streams->list[streams->started];

		if (streams->started == streams->size)
			return;
		streams->started++;
		streams->counts.open++;
		stream->streams = streams;
		stream_start(stream);
	}
	timer_start(timer, STEP_USEC);
}

struct streams *streams_open(struct bench *bench, const char *address,
			     unsigned int count, unsigned int tokens)
{
	struct streams *streams = g_new0(struct streams, 1);

	streams->bench = bench;
	streams->address = address;
	streams->body = g_strdup_printf("{\"model\":\"bench\",\"prompt\":"
					"\"@100 x\",\"max_tokens\":%u,"
					"\"stream\":true}",
					tokens);
	streams->list = g_new0(struct stream, count);
	streams->size = count;
	timer_init(&streams->timer, bench->clock, on_step, streams);
	timer_start(&streams->timer, 0);
	return streams;
}

void streams_count(const struct streams *streams, struct stream_counts *counts)
{
	*counts = streams->counts;
	/* An event has two line ends. */
	counts->tokens /= 2;
}

void streams_close(struct streams *streams)
{
	timer_stop(&streams->timer);
	for (unsigned int i = 0; i < streams->size; i++)
		if (streams->list[i].call)
			web_call_cancel(streams->list[i].call);
	g_free(streams->list);
	g_free(streams->body);
	g_free(streams);
}
