/*
 * Large bodies of many requests do not take more memory than the server may
 * use, and a request that does not fit is answered before its body has arrived.
 *
 * Steps: "open X SIZE" connects and sends a head, with chunks if SIZE is 0;
 * "send X N" and "rest X" send bytes of the body, "close X" closes; "wait" lets
 * the server check what has arrived, "hold" has it answer later, "answer" then;
 * "read X" reads to the end of an answer and writes "X STATUS" to the
 * transcript, with "+" if the connection stays open.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "world.h"

#define BODY_MAX ((size_t)1 << 20)
#define BODIES_MAX (3 * BODY_MAX)
#define CHECK_USEC (20 * USEC_PER_MSEC)
#define PEERS 8
#define CHUNK "8000\r\n" /* 32 KiB */
#define CHUNK_SIZE ((size_t)32 << 10)

struct peer {
	int fd; /* -1: none */
	size_t left;
	bool chunked;
};

struct site {
	struct world *world;
	struct web_server *server;
	struct peer peers[PEERS];
	GQueue held; /* requests */
	bool holds;
	GString *transcript;
};

static const struct {
	const char *name;
	const char *steps;
	const char *transcript;
} cases[] = {
	{"three fit, the fourth is refused before its body has arrived",
	 "open a 1000000; send a 20000; wait; open b 1000000; send b 20000; "
	 "wait; open c 1000000; send c 20000; wait; open d 1000000; "
	 "send d 20000; wait; read d; rest a; rest b; rest c; read a; read b; "
	 "read c",
	 "d 503, a 200+, b 200+, c 200+"},
	{"at once",
	 "open a 1000000; open b 1000000; open c 1000000; "
	 "open d 1000000; open e 1000000; send a 20000; send b 20000; "
	 "send c 20000; send d 20000; send e 20000; wait; read d; "
	 "read e; rest a; read a",
	 "d 503, e 503, a 200+"},
	{"the rest of a refused body is read, and room is found later",
	 "open a 1000000; open b 1000000; open c 1000000; open d 1000000; "
	 "send a 20000; send b 20000; send c 20000; send d 20000; wait; rest "
	 "d; "
	 "read d; rest a; read a; open e 1000000; send e 20000; wait; rest e; "
	 "read e",
	 "d 503, a 200+, e 200+"},
	{"a body that waits for its answer is counted",
	 "hold; open a 1000000; rest a; open b 1000000; rest b; open c "
	 "1000000; "
	 "rest c; wait; open d 1000000; send d 20000; wait; read d; answer; "
	 "read a; read b; read c; open e 1000000; rest e; read e",
	 "d 503, a 200+, b 200+, c 200+, e 200+"},
	{"bodies that arrive within one check",
	 "hold; open a 1000000; open b 1000000; open c 1000000; rest a; rest "
	 "b; "
	 "rest c; open d 1000000; rest d; read d; answer; read a",
	 "d 503+, a 200+"},
	{"callers that disconnect leave their room",
	 "open a 1000000; open b 1000000; open c 1000000; send a 20000; "
	 "send b 20000; send c 20000; wait; close a; close b; wait; "
	 "open d 1000000; open e 1000000; send d 20000; send e 20000; wait; "
	 "rest d; read d; rest e; read e",
	 "d 200+, e 200+"},
	{"refused callers that disconnect",
	 "open a 1000000; open b 1000000; open c 1000000; open d 1000000; "
	 "send a 20000; send b 20000; send c 20000; send d 20000; wait; close "
	 "d; "
	 "wait; rest a; read a",
	 "a 200+"},
	{"chunks take the size of the largest body",
	 "open a 0; open b 0; open c 0; open d 0; send a 32768; send b 32768; "
	 "send c 32768; send d 32768; wait; read d; rest a; read a; open e 0; "
	 "send e 32768; wait; rest e; read e",
	 "d 503, a 200+, e 200+"},
	{"small bodies are not counted",
	 "open a 1000000; open b 1000000; open c 1000000; send a 20000; "
	 "send b 20000; send c 20000; wait; open d 10000; send d 9000; wait; "
	 "rest d; read d",
	 "d 200+"},
	{"too large by itself", "open a 2000000; read a", "a 413"},
};

static void reply(struct web_request *request)
{
	web_reply(request, 200, "text/plain", "ok\n", 3);
}

static void on_request(void *ctx, struct web_request *request)
{
	struct site *site = ctx;

	if (site->holds)
		g_queue_push_tail(&site->held, request);
	else
		reply(request);
}

static void step_open(struct site *site, struct peer *peer, size_t size)
{
	g_autofree char *framing =
		size ? g_strdup_printf("content-length: %zu", size)
		     : g_strdup("transfer-encoding: chunked");
	g_autofree char *head = g_strdup_printf(
		"POST / HTTP/1.1\r\nhost: a\r\n%s\r\n\r\n", framing);

	peer->fd = raw_connect(web_server_address(site->server));
	peer->left = size;
	peer->chunked = size == 0;
	raw_send(peer->fd, head, strlen(head));
	world_iterate(site->world, 5);
}

static void step_send(struct site *site, struct peer *peer, size_t size)
{
	g_autofree char *zeroes = g_strnfill(size, '0');

	if (peer->chunked) {
		g_assert_cmpuint(size, ==, CHUNK_SIZE);
		raw_push(site->world, peer->fd, CHUNK, strlen(CHUNK));
	}
	raw_push(site->world, peer->fd, zeroes, size);
	if (peer->chunked)
		raw_push(site->world, peer->fd, "\r\n", 2);
	else
		peer->left -= size;
	world_iterate(site->world, 5);
}

static void step_rest(struct site *site, struct peer *peer)
{
	if (peer->chunked)
		raw_push(site->world, peer->fd, "0\r\n\r\n", 5);
	else
		step_send(site, peer, peer->left);
	world_iterate(site->world, 5);
}

static void step_read(struct site *site, struct peer *peer, char name)
{
	GString *got = raw_read_until(site->world, peer->fd, "\r\n\r\n");

	g_assert_true(g_str_has_prefix(got->str, "HTTP/1.1 "));
	if (strstr(got->str, " 503 "))
		g_assert_nonnull(strstr(got->str, "retry-after: 1\r\n"));
	g_string_append_printf(site->transcript, "%s%c %.3s%s",
			       site->transcript->len > 0 ? ", " : "", name,
			       got->str + strlen("HTTP/1.1 "),
			       strstr(got->str, "onnection: close") ? "" : "+");
	g_string_free(got, TRUE);
}

static void step_close(struct peer *peer)
{
	close(peer->fd);
	peer->fd = -1;
}

static void step_answer(struct site *site)
{
	struct web_request *request;

	site->holds = false;
	while ((request = g_queue_pop_head(&site->held)))
		reply(request);
	world_iterate(site->world, 5);
}

static void step_run(struct site *site, const char *step)
{
	char verb[8] = "";
	char name = 'a';
	size_t size = 0;
	struct peer *peer;

	g_assert_cmpint(sscanf(step, "%7s %c %zu", verb, &name, &size), >=, 1);
	peer = &site->peers[name - 'a'];
	if (strcmp(verb, "open") == 0)
		step_open(site, peer, size);
	else if (strcmp(verb, "send") == 0)
		step_send(site, peer, size);
	else if (strcmp(verb, "rest") == 0)
		step_rest(site, peer);
	else if (strcmp(verb, "read") == 0)
		step_read(site, peer, name);
	else if (strcmp(verb, "close") == 0)
		step_close(peer);
	else if (strcmp(verb, "answer") == 0)
		step_answer(site);
	else if (strcmp(verb, "hold") == 0)
		site->holds = true;
	else if (strcmp(verb, "wait") == 0)
		clock_advance(site->world->clock,
			      clock_now(site->world->clock) + CHECK_USEC);
	else
		g_error("unknown step: %s", step);
	world_iterate(site->world, 5);
}

static void case_run(struct world *world, size_t index)
{
	static const struct web_limits limits = {
		.body_bytes = BODY_MAX,
		.bodies_bytes = BODIES_MAX,
		.connections = 64,
		.idle_usec = 5 * USEC_PER_SEC,
		.request_usec = 5 * USEC_PER_SEC,
	};
	g_auto(GStrv) steps = g_strsplit(cases[index].steps, "; ", -1);
	struct error err = {0};
	struct site site = {
		.world = world,
		.held = G_QUEUE_INIT,
		.transcript = g_string_new(NULL),
	};

	g_test_message("case: %s", cases[index].name);
	site.server =
		web_server_create(world->loop, "127.0.0.1:0", &limits, &err);
	web_server_handle(site.server, "/", on_request, &site);
	for (size_t i = 0; i < PEERS; i++)
		site.peers[i].fd = -1;
	for (size_t i = 0; steps[i]; i++)
		step_run(&site, steps[i]);
	g_assert_cmpstr(site.transcript->str, ==, cases[index].transcript);
	for (size_t i = 0; i < PEERS; i++)
		if (site.peers[i].fd >= 0)
			step_close(&site.peers[i]);
	world_iterate(world, 20);
	web_server_destroy(site.server);
	g_string_free(site.transcript, TRUE);
}

static void test_bodies(struct world *world, gconstpointer data)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		case_run(world, i);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/web/bodies", struct world, NULL, world_setup, test_bodies,
		   world_teardown);
	return g_test_run();
}
