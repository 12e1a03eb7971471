/* Requests to a backend server, and the heads of its answers. */
#include <string.h>

#include "../web/script.h"
#include "../web/world.h"
#include "platform/runner.h"

#define CALLER_HEADERS_MAX 100
#define ANSWER_HEADERS 150

struct answer {
	int done;
	size_t header_count;
};

static void on_head(void *ctx, const struct backend_head *head)
{
	struct answer *answer = ctx;

	answer->header_count = head->header_count;
}

static void on_body(void *ctx, const void *data, size_t size)
{
}

static void on_done(void *ctx, const struct backend_end *end)
{
	struct answer *answer = ctx;

	g_assert_true(end->complete);
	answer->done = 1;
}

static const struct send_events events = {on_head, on_body, on_done};

/* The headers "x-0" on, of a caller. */
static struct web_header *headers_create(size_t count)
{
	struct web_header *headers = g_new0(struct web_header, count);

	for (size_t i = 0; i < count; i++) {
		char *name = g_strdup_printf("x-%zu", i);

		headers[i].name = (struct web_text){name, strlen(name)};
		headers[i].value = (struct web_text){"v", 1};
	}
	return headers;
}

static void headers_free(struct web_header *headers, size_t count)
{
	for (size_t i = 0; i < count; i++)
		g_free((char *)headers[i].name.data);
	g_free(headers);
}

static GString *answer_create(int header_count)
{
	GString *text =
		g_string_new("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n");

	for (int i = 0; i < header_count; i++)
		g_string_append_printf(text, "y-%d: v\r\n", i);
	g_string_append(text, "\r\n");
	return text;
}

/* Sends a resumed run with that many headers of the caller. */
static void run_send(struct world *world, struct script *script, size_t count,
		     const GString *text, struct answer *answer)
{
	struct runners *runners = runners_create(world->client, world->clock);
	struct backend_ops ops = runners_ops(runners);
	struct backend_info info = {.id = "i-1"};
	struct web_header *headers = headers_create(count);
	struct caller_request caller = {
		.id = "r-1",
		.method = {"POST", 4},
		.target = {"/a", 2},
		.headers = headers,
		.header_count = count,
		.organisation = "o-1",
	};
	struct send_spec spec = {
		.caller = &caller,
		.link = {.to = &info},
		.left_usec = 7 * USEC_PER_SEC,
		.kv_address = "127.0.0.1:9",
		.kv_handle = "k1",
		.hold = "h1",
		.resumes = true,
		.resume_after = 8,
	};

	g_strlcpy(info.address, script->address, sizeof(info.address));
	ops.send(ops.ctx, &spec, &events, answer);
	while (!script_receive(script, CONN_KEEP))
		world_iterate(world, 1);
	raw_send(script->fd, text->str, text->len);
	world_run(world, &answer->done);
	headers_free(headers, count);
	runners_destroy(runners);
}

/* What the router tells a server arrives, however many headers the caller
 * sends. */
static void test_many_headers(struct world *world, gconstpointer data)
{
	static const char *const lines[] = {
		"\r\ntenant: o-1\r\n",
		"\r\ndeadline-ms: 7000\r\n",
		"\r\nexpect-instance: i-1\r\n",
		"\r\nlast-event-id: 8\r\n",
		"\r\nhold: h1\r\n",
		"\r\nkv-source: 127.0.0.1:9/k1\r\n",
	};
	g_autoptr(GString) text = answer_create(0);
	struct script script;

	script_setup(&script);
	for (size_t count = 0; count <= CALLER_HEADERS_MAX; count++) {
		struct answer answer = {0};

		run_send(world, &script, count, text, &answer);
		for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
			g_assert_nonnull(strstr(script.request, lines[i]));
		for (size_t i = 0; i < count; i++) {
			g_autofree char *line =
				g_strdup_printf("\r\nx-%zu: v\r\n", i);

			g_assert_nonnull(strstr(script.request, line));
		}
	}
	script_teardown(&script);
}

/* No header of an answer is left out. */
static void test_answer_headers(struct world *world, gconstpointer data)
{
	g_autoptr(GString) text = answer_create(ANSWER_HEADERS);
	struct answer answer = {0};
	struct script script;

	script_setup(&script);
	run_send(world, &script, 0, text, &answer);
	g_assert_cmpuint(answer.header_count, ==, ANSWER_HEADERS);
	script_teardown(&script);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/platform/runner/many-headers", struct world, NULL,
		   world_setup, test_many_headers, world_teardown);
	g_test_add("/platform/runner/answer-headers", struct world, NULL,
		   world_setup, test_answer_headers, world_teardown);
	return g_test_run();
}
