/* Datagrams between instances in one process, and from a fake peer that the
 * test implements with raw sockets. */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "common/address.h"
#include "common/error.h"
#include "common/id.h"
#include "common/log.h"
#include "entry/peer_datagram.h"
#include "entry/peer_hello.h"
#include "peers_world.h"
#include "rows.h"

#define FAKE "fake"
#define FAKE_TOKEN 77
/* Payload of a message that is alone in a datagram. */
#define PAYLOAD_MAX 1173

#define SENT "direction=\"sent\""
#define RECEIVED "direction=\"received\""

static const struct peers_settings datagrams_on = {
	.datagrams = true,
	.probe_timeout_usec = 5 * USEC_PER_SEC,
};

static int64_t messages(const struct node *node, const char *direction)
{
	return counter_value(node, "jt_peer_datagram_messages_total",
			     direction);
}

static int64_t dropped(const struct node *node, const char *reason)
{
	g_autofree char *label = g_strdup_printf("reason=\"%s\"", reason);

	return counter_value(node, "jt_peer_datagram_dropped_total", label);
}

static int64_t dropped_all(const struct node *node)
{
	static const char *const reasons[] = {"size",	   "sender",  "token",
					      "malformed", "channel", "busy"};
	int64_t sum = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++)
		sum += dropped(node, reasons[i]);
	return sum;
}

static bool message_sent(void *ctx)
{
	return messages(ctx, SENT) > 0;
}

/* Sends from a to b until a message is sent as a datagram. */
static void datagrams_confirm(struct world *world)
{
	struct node *a = &world->nodes[0];

	for (int i = 0; i < 20 && !message_sent(a); i++) {
		send_text(world, 0, 1, "p");
		run_for(&world->run, 20 * USEC_PER_MSEC);
	}
	g_assert_true(message_sent(a));
	world->nodes[1].count = 0;
	g_string_truncate(world->nodes[1].received, 0);
}

static void test_exchange(void)
{
	struct world world;
	struct node *a = &world.nodes[0];
	struct node *b = &world.nodes[1];

	world_setup(&world, &datagrams_on);
	datagrams_confirm(&world);
	int64_t before = messages(a, SENT);
	int64_t writes = counter_value(a, "jt_peer_writes_total", NULL);
	int64_t datagram_count =
		counter_value(a, "jt_peer_datagrams_total", SENT);

	send_text(&world, 0, 1, "one");
	send_text(&world, 0, 1, "two");
	g_assert_false(peers_flushed(a->peers));
	messages_wait(&world, 1, 2);
	g_assert_true(peers_flushed(a->peers));
	g_assert_cmpstr(b->received->str, ==, "a:one a:two ");
	g_assert_cmpint(messages(a, SENT), ==, before + 2);
	g_assert_cmpint(messages(b, RECEIVED), ==, before + 2);
	g_assert_cmpint(counter_value(a, "jt_peer_datagrams_total", SENT), ==,
			datagram_count + 1);
	g_assert_cmpint(
		counter_value(a, "jt_peer_datagram_bytes_total", SENT), ==,
		counter_value(b, "jt_peer_datagram_bytes_total", RECEIVED));
	g_assert_cmpint(counter_value(a, "jt_peer_writes_total", NULL), ==,
			writes);
	g_assert_cmpint(dropped_all(a) + dropped_all(b), ==, 0);
	world_teardown(&world);
}

/* A message of the largest size is sent as a datagram, one byte more over the
 * link. Both arrive. */
static void test_sizes(void)
{
	static const struct {
		size_t size;
		int count;
		int64_t messages;
		int64_t datagram_count; /* sent, at most */
	} rows[] = {
		{PAYLOAD_MAX, 1, 1, 1}, {PAYLOAD_MAX + 1, 1, 0, 0},
		{PAYLOAD_MAX, 5, 5, 5}, {100, 50, 50, 5},
		{583, 4, 4, 2},		{0, 300, 300, 3},
		{100000, 3, 0, 0},
	};
	struct world world;
	struct node *a = &world.nodes[0];
	char *text = g_malloc0(100000);

	world_setup(&world, &datagrams_on);
	datagrams_confirm(&world);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		int64_t before = messages(a, SENT);
		int64_t datagram_count =
			counter_value(a, "jt_peer_datagrams_total", SENT);

		world.nodes[1].count = 0;
		for (int n = 0; n < rows[i].count; n++)
			peers_send(a->peers, world.nodes[1].id, CHANNEL_LEDGER,
				   text, rows[i].size);
		messages_wait(&world, 1, rows[i].count);
		g_assert_cmpint(messages(a, SENT) - before, ==,
				rows[i].messages);
		g_assert_cmpint(
			counter_value(a, "jt_peer_datagrams_total", SENT) -
				datagram_count,
			<=, rows[i].datagram_count);
	}
	g_assert_cmpint(dropped_all(&world.nodes[1]), ==, 0);
	g_free(text);
	world_teardown(&world);
}

static void test_other_channels(void)
{
	struct world world;
	struct node *a = &world.nodes[0];

	world_setup(&world, &datagrams_on);
	datagrams_confirm(&world);
	int64_t before = messages(a, SENT);

	for (int channel = CHANNEL_MEMBER; channel < CHANNEL_MAX; channel++) {
		if (channel != CHANNEL_LEDGER)
			peers_send(a->peers, world.nodes[1].id,
				   (enum channel)channel, "x", 1);
	}
	int64_t bytes = counter_value(a, "jt_peer_sent_bytes_total", NULL);

	run_for(&world.run, 20 * USEC_PER_MSEC);
	g_assert_cmpint(messages(a, SENT), ==, before);
	g_assert_cmpint(counter_value(a, "jt_peer_sent_bytes_total", NULL), >,
			bytes);
	world_teardown(&world);
}

/* No datagrams when the setting is off on either side, nor messages in
 * datagrams to another data centre. */
static void test_disabled(gconstpointer data)
{
	int row = GPOINTER_TO_INT(data);
	struct world world;

	world_setup(&world, row == 0 ? NULL : &datagrams_on);
	if (row == 1)
		world.settings.datagrams = false;
	if (row == 2)
		world.remote = 1;
	node_stop(&world, 1);
	node_start(&world, 1, 11);
	for (int i = 0; i < 5; i++) {
		send_text(&world, 0, 1, "x");
		send_text(&world, 1, 0, "y");
		run_for(&world.run, 20 * USEC_PER_MSEC);
	}
	for (int i = 0; i < 2; i++) {
		g_assert_cmpint(world.nodes[i].count, ==, 5);
		g_assert_cmpint(messages(&world.nodes[i], SENT), ==, 0);
	}
	if (row < 2)
		g_assert_cmpint(counter_value(&world.nodes[0],
					      "jt_peer_datagrams_total", SENT),
				==, 0);
	world_teardown(&world);
}

/* A message pending for a datagram when the link closes is sent over the next
 * link. */
static void test_link_lost(void)
{
	struct peers_settings settings = {.datagrams = true,
					  .coalesce_usec = 100 * USEC_PER_MSEC};
	struct world world;

	world_setup(&world, &settings);
	for (int i = 0; i < 20 && !message_sent(&world.nodes[0]); i++) {
		send_text(&world, 0, 1, "p");
		run_for(&world.run, 150 * USEC_PER_MSEC);
	}
	g_assert_true(message_sent(&world.nodes[0]));
	int64_t before = messages(&world.nodes[1], RECEIVED);

	world.nodes[1].count = 0;
	send_text(&world, 0, 1, "late");
	node_stop(&world, 1);
	g_assert_true(run_until(&world.run, links_closed, &world));
	node_start(&world, 1, 11);
	messages_wait(&world, 1, 1);
	g_assert_true(
		g_str_has_suffix(world.nodes[1].received->str, "a:late "));
	g_assert_cmpint(messages(&world.nodes[1], RECEIVED), ==, before);
	world_teardown(&world);
}

/* When the UDP port is in use, messages are sent over the link. */
static void test_port_taken(void)
{
	struct world world;
	struct sockaddr_storage storage;
	socklen_t size;
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	world_setup(&world, &datagrams_on);
	node_stop(&world, 1);
	g_assert_true(
		address_parse(world.nodes[1].address, &storage, &size, NULL));
	g_assert_cmpint(bind(fd, (struct sockaddr *)&storage, size), ==, 0);
	node_start(&world, 1, 11);
	for (int i = 0; i < 5; i++) {
		send_text(&world, 0, 1, "x");
		run_for(&world.run, 10 * USEC_PER_MSEC);
	}
	messages_wait(&world, 1, 5);
	g_assert_cmpint(
		counter_value(&world.nodes[0], "jt_peer_datagrams_total", SENT),
		==, 0);
	close(fd);
	world_teardown(&world);
}

/* A fake peer of instance a. */
struct fake {
	struct world *world;
	struct frame_reader *reader;
	int tcp;
	int udp;
	struct sockaddr_storage to;
	socklen_t to_size;
	char address[ADDRESS_TEXT_MAX];
	uint64_t token; /* of datagrams to instance a */
	bool answers;
	int by_link;
	int by_datagram;
	int probes;
};

static void fake_send(struct fake *fake, const void *data, size_t size)
{
	g_assert_cmpint(sendto(fake->udp, data, size, 0,
			       (struct sockaddr *)&fake->to, fake->to_size),
			==, (ssize_t)size);
}

static void fake_message(struct fake *fake, uint64_t sender, uint64_t token,
			 enum channel channel, const void *data, size_t size)
{
	struct frame_writer *writer = frame_writer_create();
	GByteArray *out = g_byte_array_new();

	frame_writer_add(writer, channel, data, size, NULL);
	datagram_encode(sender, token, writer, out);
	fake_send(fake, out->data, out->len);
	g_byte_array_unref(out);
	frame_writer_destroy(writer);
}

static void link_message(void *ctx, enum channel channel, const void *payload,
			 size_t size)
{
	struct fake *fake = ctx;
	struct member member;

	if (channel == CHANNEL_HELLO)
		g_assert_true(hello_decode(&member, &fake->token, payload, size,
					   NULL));
	else
		fake->by_link++;
}

static void datagram_message(void *ctx, enum channel channel,
			     const void *payload, size_t size)
{
	struct fake *fake = ctx;

	if (channel != CHANNEL_HELLO) {
		fake->by_datagram++;
		return;
	}
	g_assert_cmpuint(size, ==, 1);
	fake->probes++;
	if (fake->answers)
		fake_message(fake, id_of(FAKE), fake->token, CHANNEL_HELLO,
			     "\1", 1);
}

static void fake_read(struct fake *fake)
{
	char data[2000];
	struct datagram datagram;
	ssize_t got;

	got = recv(fake->tcp, data, sizeof(data), MSG_DONTWAIT);
	if (got > 0)
		g_assert_true(frame_reader_feed(fake->reader, data, (size_t)got,
						NULL));
	while ((got = recv(fake->udp, data, sizeof(data), MSG_DONTWAIT)) >= 0) {
		g_assert_true(
			datagram_decode(&datagram, data, (size_t)got, NULL));
		g_assert_cmpuint(datagram.sender, ==, id_of("a"));
		g_assert_cmpuint(datagram.token, ==, FAKE_TOKEN);
		g_assert_true(
			datagram_read(&datagram, datagram_message, fake, NULL));
	}
}

static bool fake_linked(void *ctx)
{
	struct fake *fake = ctx;

	fake_read(fake);
	return fake->token != 0;
}

static void fake_connect(struct fake *fake, uint64_t incarnation)
{
	struct member self = {.incarnation = incarnation};
	struct frame_writer *writer = frame_writer_create();
	GByteArray *hello = g_byte_array_new();
	GByteArray *frame = g_byte_array_new();

	g_strlcpy(self.name, FAKE, sizeof(self.name));
	g_strlcpy(self.data_centre, "d1", sizeof(self.data_centre));
	g_strlcpy(self.peer_address, fake->address, sizeof(self.peer_address));
	hello_encode(&self, FAKE_TOKEN, hello);
	frame_writer_add(writer, CHANNEL_HELLO, hello->data, hello->len, NULL);
	frame_writer_take(writer, frame);
	fake->token = 0;
	fake->reader = frame_reader_create(link_message, fake);
	fake->tcp = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(
		connect(fake->tcp, (struct sockaddr *)&fake->to, fake->to_size),
		==, 0);
	g_assert_cmpint(send(fake->tcp, frame->data, frame->len, MSG_NOSIGNAL),
			==, (ssize_t)frame->len);
	g_assert_true(run_until(&fake->world->run, fake_linked, fake));
	g_byte_array_unref(frame);
	g_byte_array_unref(hello);
	frame_writer_destroy(writer);
}

static void fake_disconnect(struct fake *fake)
{
	close(fake->tcp);
	frame_reader_destroy(fake->reader);
}

static void fake_setup(struct fake *fake, struct world *world)
{
	struct sockaddr_storage own;
	socklen_t size;

	*fake = (struct fake){.world = world};
	g_assert_true(address_parse(world->nodes[0].address, &fake->to,
				    &fake->to_size, NULL));
	g_assert_true(address_parse("127.0.0.1:0", &own, &size, NULL));
	fake->udp = socket(AF_INET, SOCK_DGRAM, 0);
	g_assert_cmpint(bind(fake->udp, (struct sockaddr *)&own, size), ==, 0);
	g_assert_cmpint(getsockname(fake->udp, (struct sockaddr *)&own, &size),
			==, 0);
	address_print(&own, fake->address);
	world->override_id = id_of(FAKE);
	world->override_address = fake->address;
	fake_connect(fake, 10);
}

static void fake_teardown(struct fake *fake)
{
	fake_disconnect(fake);
	close(fake->udp);
}

struct fault {
	const char *name;
	const char *reason; /* NULL when accepted */
	bool own_sender;
	bool own_token;
	const char *body;
	size_t size;
	int accepted;
	int times;
};

#define BODY(text) text, sizeof(text) - 1

static const char long_body[DATAGRAM_MAX - DATAGRAM_HEADER + 1] = {0};

static const struct fault faults[] = {
	{"good", NULL, true, true, BODY("\x92\x03\xc4\x02hi"), 1, 1},
	{"two-messages", NULL, true, true,
	 BODY("\x94\x03\xc4\x02hi\x03\xc4\x02ho"), 2, 1},
	{"duplicate", NULL, true, true, BODY("\x92\x03\xc4\x02hi"), 2, 2},
	{"wrong-token", "token", true, false, BODY("\x92\x03\xc4\x02hi"), 0, 1},
	{"unknown-sender", "sender", false, true, BODY("\x92\x03\xc4\x02hi"), 0,
	 1},
	{"no-body", "size", true, true, BODY(""), 0, 1},
	{"truncated", "malformed", true, true, BODY("\x92\x03\xc4\x02h"), 0, 1},
	{"second-truncated", "malformed", true, true,
	 BODY("\x94\x03\xc4\x02hi\x03\xc4\x02h"), 0, 1},
	{"rest", "malformed", true, true, BODY("\x92\x03\xc4\x02hi!"), 0, 1},
	{"over-long", "size", true, true, long_body, sizeof(long_body), 0, 1},
	{"garbage", "malformed", true, true, BODY("GET / HTTP/1.1\r\n\r\n"), 0,
	 1},
	{"zeros", "malformed", true, true, long_body, sizeof(long_body) - 1, 0,
	 1},
	{"deep", "malformed", true, true,
	 BODY("\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91"), 0, 1},
	{"huge-count", "malformed", true, true, BODY("\xdd\xff\xff\xff\xfe"), 0,
	 1},
	{"other-channel", "channel", true, true, BODY("\x92\x02\xc4\x02hi"), 0,
	 1},
	{"no-channel", "malformed", true, true, BODY("\x92\x63\xc4\x02hi"), 0,
	 1},
};

static bool datagrams_received(void *ctx)
{
	const struct node *node = ctx;

	return counter_value(node, "jt_peer_datagrams_total", RECEIVED) >=
	       node->expected;
}

static void datagrams_wait(struct world *world, int expected)
{
	world->nodes[0].expected = expected;
	g_assert_true(
		run_until(&world->run, datagrams_received, &world->nodes[0]));
}

static void test_fault(gconstpointer data)
{
	const struct fault *row = data;
	struct world world;
	struct node *a = &world.nodes[0];
	struct fake fake;
	uint64_t header[2];
	GByteArray *bytes = g_byte_array_new();

	world_setup(&world, &datagrams_on);
	fake_setup(&fake, &world);
	header[0] = GUINT64_TO_BE(id_of(FAKE) ^ !row->own_sender);
	header[1] = GUINT64_TO_BE(fake.token ^ !row->own_token);
	g_byte_array_append(bytes, (const guint8 *)header, sizeof(header));
	g_byte_array_append(bytes, (const guint8 *)row->body, (guint)row->size);
	for (int i = 0; i < row->times; i++)
		fake_send(&fake, bytes->data, bytes->len);
	datagrams_wait(&world, row->times);
	g_assert_cmpint(a->count, ==, row->accepted);
	g_assert_cmpint(dropped_all(a), ==, row->reason ? 1 : 0);
	if (row->reason)
		g_assert_cmpint(dropped(a, row->reason), ==, 1);
	/* The link stays open and valid datagrams are still accepted. */
	fake_message(&fake, id_of(FAKE), fake.token, CHANNEL_LEDGER, "ok", 2);
	datagrams_wait(&world, row->times + 1);
	g_assert_cmpint(a->count, ==, row->accepted + 1);
	g_assert_cmpuint(peers_links(a->peers), ==, 1);
	g_byte_array_unref(bytes);
	fake_teardown(&fake);
	world_teardown(&world);
}

/* Datagrams without a body, from 0 bytes to the header alone. */
static void test_short(void)
{
	static const char bytes[DATAGRAM_HEADER] = {0};
	struct world world;
	struct fake fake;

	world_setup(&world, &datagrams_on);
	fake_setup(&fake, &world);
	for (size_t size = 0; size <= DATAGRAM_HEADER; size++)
		fake_send(&fake, bytes, size);
	datagrams_wait(&world, DATAGRAM_HEADER + 1);
	g_assert_cmpint(dropped(&world.nodes[0], "size"), ==,
			DATAGRAM_HEADER + 1);
	fake_teardown(&fake);
	world_teardown(&world);
}

/* A token is invalid once its link is closed, also after a reconnect. */
static void test_old_token(void)
{
	struct world world;
	struct node *a = &world.nodes[0];
	struct fake fake;

	world_setup(&world, &datagrams_on);
	fake_setup(&fake, &world);
	uint64_t old = fake.token;

	fake_disconnect(&fake);
	g_assert_true(run_until(&world.run, links_closed, &world));
	fake_message(&fake, id_of(FAKE), old, CHANNEL_LEDGER, "x", 1);
	datagrams_wait(&world, 1);
	g_assert_cmpint(dropped(a, "sender"), ==, 1);
	fake_connect(&fake, 11);
	g_assert_cmpuint(fake.token, !=, old);
	fake_message(&fake, id_of(FAKE), old, CHANNEL_LEDGER, "x", 1);
	datagrams_wait(&world, 2);
	g_assert_cmpint(dropped(a, "token"), ==, 1);
	g_assert_cmpint(a->count, ==, 0);
	fake_teardown(&fake);
	world_teardown(&world);
}

static void fake_exchange(struct fake *fake)
{
	peers_send(fake->world->nodes[0].peers, id_of(FAKE), CHANNEL_LEDGER,
		   "x", 1);
	run_for(&fake->world->run, 10 * USEC_PER_MSEC);
	fake_read(fake);
	run_for(&fake->world->run, 10 * USEC_PER_MSEC);
}

/* A network that drops datagrams, then delivers them, then drops them again. */
static void test_lost(void)
{
	struct peers_settings settings = {
		.datagrams = true,
		.probe_interval_usec = 100 * USEC_PER_MSEC,
		.probe_timeout_usec = 200 * USEC_PER_MSEC,
	};
	struct world world;
	struct fake fake;
	int sent = 0;

	world_setup(&world, &settings);
	fake_setup(&fake, &world);
	for (; sent < 20; sent++)
		fake_exchange(&fake);
	g_assert_cmpint(fake.by_datagram, ==, 0);
	g_assert_cmpint(fake.by_link, ==, 20);
	g_assert_cmpint(fake.probes, >=, 2);
	fake.answers = true;
	for (; sent < 200 && fake.by_datagram < 20; sent++)
		fake_exchange(&fake);
	g_assert_cmpint(fake.by_datagram, ==, 20);
	/* Probes are sent only every probe_interval_usec, and no message is
	 * lost. */
	g_assert_cmpint(fake.by_datagram + fake.by_link, ==, sent);
	fake.answers = false;
	int by_link = fake.by_link;

	for (int i = 0; i < 200 && fake.by_link == by_link; i++)
		fake_exchange(&fake);
	g_assert_cmpint(fake.by_link, ==, by_link + 1);
	int by_datagram = fake.by_datagram;

	for (int i = 0; i < 5; i++)
		fake_exchange(&fake);
	g_assert_cmpint(fake.by_link, ==, by_link + 6);
	g_assert_cmpint(fake.by_datagram, ==, by_datagram);
	fake_teardown(&fake);
	world_teardown(&world);
}

/* An answer without a pending probe does not enable datagrams, and malformed
 * probes are ignored. */
static void test_unsolicited(void)
{
	struct world world;
	struct fake fake;

	world_setup(&world, &datagrams_on);
	fake_setup(&fake, &world);
	fake_message(&fake, id_of(FAKE), fake.token, CHANNEL_HELLO, "\1", 1);
	fake_message(&fake, id_of(FAKE), fake.token, CHANNEL_HELLO, "", 0);
	fake_message(&fake, id_of(FAKE), fake.token, CHANNEL_HELLO, "\1\1", 2);
	fake_message(&fake, id_of(FAKE), fake.token, CHANNEL_HELLO, "\2", 1);
	datagrams_wait(&world, 4);
	fake_exchange(&fake);
	g_assert_cmpint(fake.by_link, ==, 1);
	g_assert_cmpint(fake.by_datagram, ==, 0);
	g_assert_cmpint(dropped_all(&world.nodes[0]), ==, 0);
	fake_teardown(&fake);
	world_teardown(&world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_EMERG);
	g_test_add_func("/datagrams/exchange", test_exchange);
	g_test_add_func("/datagrams/sizes", test_sizes);
	g_test_add_func("/datagrams/other-channels", test_other_channels);
	g_test_add_data_func("/datagrams/off", GINT_TO_POINTER(0),
			     test_disabled);
	g_test_add_data_func("/datagrams/off-there", GINT_TO_POINTER(1),
			     test_disabled);
	g_test_add_data_func("/datagrams/data-centres", GINT_TO_POINTER(2),
			     test_disabled);
	g_test_add_func("/datagrams/link-lost", test_link_lost);
	g_test_add_func("/datagrams/port-taken", test_port_taken);
	g_test_add_func("/datagrams/short", test_short);
	g_test_add_func("/datagrams/old-token", test_old_token);
	g_test_add_func("/datagrams/lost", test_lost);
	g_test_add_func("/datagrams/unasked", test_unsolicited);
	ROWS_ADD("/datagrams/fault/", faults, test_fault);
	return g_test_run();
}
