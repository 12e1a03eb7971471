/* Links between instances in one process over loopback, and raw sockets that
 * connect to them. */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "common/address.h"
#include "common/error.h"
#include "common/log.h"
#include "coord/member.h"
#include "entry/peer_hello.h"
#include "entry/peers.h"
#include "peers_world.h"
#include "rows.h"

static void test_exchange(void)
{
	struct world world;

	world_setup(&world, NULL);
	send_text(&world, 0, 1, "one");
	send_text(&world, 0, 1, "two");
	send_text(&world, 0, 1, "");
	messages_wait(&world, 1, 3);
	g_assert_cmpstr(world.nodes[1].received->str, ==, "a:one a:two a: ");
	send_text(&world, 1, 0, "back");
	messages_wait(&world, 0, 1);
	g_assert_cmpstr(world.nodes[0].received->str, ==, "b:back ");
	/* One write for the hello and one frame for the three messages. The
	 * reply uses the same link. */
	g_assert_cmpint(
		counter_value(&world.nodes[0], "jt_peer_writes_total", NULL),
		==, 2);
	g_assert_cmpint(
		counter_value(&world.nodes[1], "jt_peer_connects_total", NULL),
		==, 0);
	g_assert_cmpint(counter_value(&world.nodes[0],
				      "jt_peer_sent_bytes_total", NULL),
			==,
			counter_value(&world.nodes[1],
				      "jt_peer_received_bytes_total", NULL));
	/* The TCP handshake, four writes and their acknowledgements. */
	peers_counters_update(world.nodes[0].peers);
	g_assert_cmpint(counter_value(&world.nodes[0], "jt_peer_segments_total",
				      "direction=\"sent\""),
			>=, 4);
	g_assert_cmpint(counter_value(&world.nodes[0], "jt_peer_segments_total",
				      "direction=\"received\""),
			>=, 3);
	g_assert_cmpint(world.nodes[0].hellos, ==, 1);
	g_assert_true(peers_flushed(world.nodes[0].peers));
	world_teardown(&world);
}

/* Messages sent within coalesce_usec share a write; a later one does not. */
static void test_coalesce(void)
{
	struct world world;

	world_setup(&world, NULL);
	send_text(&world, 0, 1, "first");
	messages_wait(&world, 1, 1);
	int64_t before =
		counter_value(&world.nodes[0], "jt_peer_writes_total", NULL);

	for (int i = 0; i < 100; i++)
		send_text(&world, 0, 1, "x");
	g_assert_false(peers_flushed(world.nodes[0].peers));
	messages_wait(&world, 1, 101);
	send_text(&world, 0, 1, "y");
	messages_wait(&world, 1, 102);
	g_assert_cmpint(
		counter_value(&world.nodes[0], "jt_peer_writes_total", NULL),
		==, before + 2);
	world_teardown(&world);
}

static void test_self(void)
{
	struct world world;

	world_setup(&world, NULL);
	send_text(&world, 0, 0, "me");
	send_text(&world, 0, 0, "again");
	g_assert_cmpint(world.nodes[0].count, ==, 0);
	g_assert_false(peers_flushed(world.nodes[0].peers));
	messages_wait(&world, 0, 2);
	g_assert_cmpstr(world.nodes[0].received->str, ==, "a:me a:again ");
	g_assert_cmpint(
		counter_value(&world.nodes[0], "jt_peer_connects_total", NULL),
		==, 0);
	world_teardown(&world);
}

static void test_oversize(void)
{
	char *large = g_malloc0(FRAME_MAX + 1);
	struct world world;

	world_setup(&world, NULL);
	send_text(&world, 0, 1, "before");
	peers_send(world.nodes[0].peers, world.nodes[1].id, CHANNEL_LEDGER,
		   large, FRAME_MAX + 1);
	/* Each of the two messages needs a frame of its own. */
	memset(large, 'L', FRAME_MAX);
	for (int i = 0; i < 2; i++)
		peers_send(world.nodes[0].peers, world.nodes[1].id,
			   CHANNEL_LEDGER, large, FRAME_MAX / 2 + 100);
	g_free(large);
	send_text(&world, 0, 1, "after");
	messages_wait(&world, 1, 4);
	g_assert_true(g_str_has_prefix(world.nodes[1].received->str,
				       "a:before a:LLLL"));
	g_assert_true(
		g_str_has_suffix(world.nodes[1].received->str, "a:after "));
	g_assert_cmpint(counter_value(&world.nodes[0], "jt_peer_dropped_total",
				      "reason=\"oversize\""),
			==, 1);
	world_teardown(&world);
}

/* When both sides connect at once, no message is lost, duplicated or reordered,
 * and one link remains. */
static void test_both_connect(void)
{
	for (int round = 0; round < 40; round++) {
		struct world world;
		GString *want = g_string_new(NULL);

		world_setup(&world, NULL);
		for (int i = 0; i < 100; i++) {
			g_autofree char *text = g_strdup_printf("%d", i);

			send_text(&world, round % 2, !(round % 2), text);
			send_text(&world, !(round % 2), round % 2, text);
			g_string_append_printf(want, "b:%d ", i);
			if (i == 50)
				run_for(&world.run,
					round * 100); /* microseconds */
		}
		messages_wait(&world, 0, 100);
		messages_wait(&world, 1, 100);
		run_for(&world.run, 20 * USEC_PER_MSEC);
		g_assert_cmpint(world.nodes[0].count, ==, 100);
		g_assert_cmpint(world.nodes[1].count, ==, 100);
		g_assert_cmpstr(world.nodes[0].received->str, ==, want->str);
		g_assert_cmpuint(peers_links(world.nodes[0].peers), ==, 1);
		g_assert_cmpuint(peers_links(world.nodes[1].peers), ==, 1);
		g_string_free(want, TRUE);
		world_teardown(&world);
	}
}

static void test_restarted_peer(void)
{
	struct world world;

	world_setup(&world, NULL);
	send_text(&world, 0, 1, "old");
	messages_wait(&world, 1, 1);
	node_stop(&world, 1);
	g_assert_true(run_until(&world.run, links_closed, &world));
	node_start(&world, 1, 11);
	send_text(&world, 0, 1, "new");
	messages_wait(&world, 1, 2);
	g_assert_cmpstr(world.nodes[1].received->str, ==, "a:old a:new ");
	/* A hello of the former incarnation is refused. */
	node_stop(&world, 1);
	g_assert_true(run_until(&world.run, links_closed, &world));
	node_start(&world, 1, 10);
	send_text(&world, 0, 1, "stale");
	send_text(&world, 1, 0, "stale");
	run_for(&world.run, 100 * USEC_PER_MSEC);
	g_assert_cmpint(world.nodes[0].count, ==, 0);
	g_assert_cmpint(world.nodes[1].count, ==, 2);
	g_assert_cmpint(
		counter_value(&world.nodes[0], "jt_peer_refused_total", NULL),
		>, 0);
	world_teardown(&world);
}

/* No message reaches an instance that has taken over the address of the
 * intended one. */
static void test_address_moved(void)
{
	struct world world;

	world_setup(&world, NULL);
	world.override_id = world.nodes[1].id;
	world.override_address = world.nodes[2].address;
	send_text(&world, 0, 1, "for b");
	run_for(&world.run, 50 * USEC_PER_MSEC);
	g_assert_cmpint(world.nodes[1].count, ==, 0);
	g_assert_cmpint(world.nodes[2].count, ==, 0);
	g_assert_cmpint(
		counter_value(&world.nodes[0], "jt_peer_refused_total", NULL),
		>, 0);
	world.override_id = 0;
	send_text(&world, 0, 1, "again");
	messages_wait(&world, 1, 1);
	g_assert_cmpstr(world.nodes[1].received->str, ==, "a:again ");
	world_teardown(&world);
}

static void test_unreachable(void)
{
	struct world world;

	world_setup(&world, NULL);
	node_stop(&world, 1);
	send_text(&world, 0, 1, "nobody");
	peers_send(world.nodes[0].peers, 4711, CHANNEL_LEDGER, "x", 1);
	run_for(&world.run, 20 * USEC_PER_MSEC);
	g_assert_cmpint(counter_value(&world.nodes[0], "jt_peer_dropped_total",
				      "reason=\"unreachable\""),
			==, 1);
	g_assert_cmpint(counter_value(&world.nodes[0], "jt_peer_dropped_total",
				      "reason=\"unknown\""),
			==, 1);
	node_start(&world, 1, 11);
	send_text(&world, 0, 1, "somebody");
	messages_wait(&world, 1, 1);
	g_assert_cmpstr(world.nodes[1].received->str, ==, "a:somebody ");
	world_teardown(&world);
}

static void test_queue_bound(void)
{
	struct peers_settings settings = {.queue_bytes_max = 1000};
	char text[100];
	struct world world;

	memset(text, 'x', sizeof(text));
	world_setup(&world, &settings);
	for (int i = 0; i < 20; i++)
		peers_send(world.nodes[0].peers, world.nodes[1].id,
			   CHANNEL_LEDGER, text, sizeof(text));
	int64_t dropped = counter_value(
		&world.nodes[0], "jt_peer_dropped_total", "reason=\"full\"");

	g_assert_cmpint(dropped, >, 10);
	messages_wait(&world, 1, 20 - (int)dropped);
	world_teardown(&world);
}

static void test_idle(void)
{
	struct peers_settings settings = {.idle_usec = 20 * USEC_PER_MSEC};
	struct world world;

	world_setup(&world, &settings);
	send_text(&world, 0, 1, "one");
	messages_wait(&world, 1, 1);
	g_assert_cmpuint(peers_links(world.nodes[0].peers), ==, 1);
	g_assert_true(run_until(&world.run, links_closed, &world));
	send_text(&world, 1, 0, "two");
	messages_wait(&world, 0, 1);
	world_teardown(&world);
}

/* Malformed input closes its socket and leaves other links open. */

struct raw_case {
	const char *name;
	const char *bytes;
	size_t size;
};

#define RAW(name, text)                                                        \
	{                                                                      \
		name, text, sizeof(text) - 1                                   \
	}

static const struct raw_case raw_cases[] = {
	RAW("http", "GET / HTTP/1.1\r\nhost: x\r\n\r\n"),
	RAW("empty-frame", "\0\0\0\0"),
	RAW("huge-frame", "\x7f\xff\xff\xff"),
	RAW("not-an-array", "\0\0\0\1\x01"),
	RAW("odd-array", "\0\0\0\2\x91\x01"),
	RAW("unknown-channel", "\0\0\0\5\x92\x63\xc4\x01x"),
	RAW("message-before-hello", "\0\0\0\6\x92\x03\xc4\x02hi"),
	RAW("hello-of-no-fields", "\0\0\0\5\x92\x01\xc4\x01\x90"),
	RAW("hello-of-version-2", "\0\0\0\xf\x92\x01\xc4\xb\x95\x02\xa1z\x01"
				  "\xa1"
				  "d\xa2pa"),
	RAW("hello-of-empty-name", "\0\0\0\xe\x92\x01\xc4\xa\x95\x01\xa0\x01"
				   "\xa1"
				   "d\xa2pa"),
	RAW("hello-of-own-name", "\0\0\0\xf\x92\x01\xc4\xb\x95\x01\xa1"
				 "a\x01\xa1"
				 "d\xa2pa"),
};

struct raw {
	int fd;
	bool closed;
};

static bool raw_closed(void *ctx)
{
	struct raw *raw = ctx;
	char bytes[256];
	ssize_t got = recv(raw->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	return got == 0 || (got < 0 && errno != EAGAIN);
}

static int raw_connect(const char *address)
{
	struct sockaddr_storage storage;
	socklen_t size;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_true(address_parse(address, &storage, &size, NULL));
	g_assert_cmpint(connect(fd, (struct sockaddr *)&storage, size), ==, 0);
	return fd;
}

static void test_raw(gconstpointer data)
{
	const struct raw_case *row = data;
	struct world world;

	world_setup(&world, NULL);
	send_text(&world, 1, 0, "one");
	messages_wait(&world, 0, 1);
	struct raw raw = {.fd = raw_connect(world.nodes[0].address)};

	g_assert_cmpint(send(raw.fd, row->bytes, row->size, MSG_NOSIGNAL), ==,
			(ssize_t)row->size);
	g_assert_true(run_until(&world.run, raw_closed, &raw));
	send_text(&world, 1, 0, "two");
	messages_wait(&world, 0, 2);
	g_assert_cmpstr(world.nodes[0].received->str, ==, "b:one b:two ");
	close(raw.fd);
	world_teardown(&world);
}

/* A connection that sends no hello is closed after connect_usec. */
static void test_silent(void)
{
	struct peers_settings settings = {.connect_usec = 20 * USEC_PER_MSEC};
	struct world world;

	world_setup(&world, &settings);
	struct raw raw = {.fd = raw_connect(world.nodes[0].address)};

	g_assert_true(run_until(&world.run, raw_closed, &raw));
	close(raw.fd);
	world_teardown(&world);
}

/* A connection beyond links_max is closed at once. */
static void test_links_bound(void)
{
	struct peers_settings settings = {.links_max = 2};
	struct raw raws[3];
	struct world world;

	world_setup(&world, &settings);
	for (int i = 0; i < 3; i++)
		raws[i].fd = raw_connect(world.nodes[0].address);
	g_assert_true(run_until(&world.run, raw_closed, &raws[2]));
	g_assert_cmpint(
		counter_value(&world.nodes[0], "jt_peer_refused_total", NULL),
		==, 1);
	for (int i = 0; i < 3; i++)
		close(raws[i].fd);
	world_teardown(&world);
}

/* A hello and a message that arrive byte by byte. */
static void test_fragments(void)
{
	static const char hello[] = "\0\0\0\x13\x92\x01\xc4\x0f\x95\x01\xa1"
				    "c\x0b\xa1"
				    "d\xa7"
				    "1.1.1.1";
	static const char message[] = "\0\0\0\6\x92\x03\xc4\x02hi";
	struct world world;

	world_setup(&world, NULL);
	int fd = raw_connect(world.nodes[0].address);

	for (size_t i = 0; i < sizeof(hello) - 1; i++) {
		g_assert_cmpint(send(fd, &hello[i], 1, MSG_NOSIGNAL), ==, 1);
		run_for(&world.run, 0);
	}
	for (size_t i = 0; i < sizeof(message) - 1; i++) {
		g_assert_cmpint(send(fd, &message[i], 1, MSG_NOSIGNAL), ==, 1);
		run_for(&world.run, 0);
	}
	messages_wait(&world, 0, 1);
	g_assert_cmpstr(world.nodes[0].received->str, ==, "c:hi ");
	close(fd);
	world_teardown(&world);
}

static void test_listen_error(void)
{
	struct peers_ops ops = {.address = node_address};
	struct world world;
	struct error err = {0};

	world_setup(&world, NULL);
	struct peers_settings settings = {
		.name = "z",
		.data_centre = "d1",
		.listen = world.nodes[0].address,
	};

	g_assert_null(peers_create(world.run.loop, world.run.counters,
				   &settings, &ops, &world.nodes[0], &err));
	g_assert_cmpint(err.code, ==, RESULT_IO);
	g_assert_nonnull(strstr(err.text, world.nodes[0].address));
	world_teardown(&world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_EMERG);
	g_test_add_func("/peers/exchange", test_exchange);
	g_test_add_func("/peers/coalesce", test_coalesce);
	g_test_add_func("/peers/self", test_self);
	g_test_add_func("/peers/oversize", test_oversize);
	g_test_add_func("/peers/both-connect", test_both_connect);
	g_test_add_func("/peers/restarted-peer", test_restarted_peer);
	g_test_add_func("/peers/address-moved", test_address_moved);
	g_test_add_func("/peers/unreachable", test_unreachable);
	g_test_add_func("/peers/queue-bound", test_queue_bound);
	g_test_add_func("/peers/idle", test_idle);
	g_test_add_func("/peers/silent", test_silent);
	g_test_add_func("/peers/links-bound", test_links_bound);
	g_test_add_func("/peers/fragments", test_fragments);
	g_test_add_func("/peers/listen-error", test_listen_error);
	ROWS_ADD("/peers/raw/", raw_cases, test_raw);
	return g_test_run();
}
