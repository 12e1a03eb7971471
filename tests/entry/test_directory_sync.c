/*
 * Exchange of the directory between four instances. 0 and 1 are the readers of
 * their data centre, 3 is in another one. The test delivers or drops all
 * messages. The steps are:
 *	put:N:NAME        instance N reads an entry from the platform
 *	gone:N            instance N reads an empty list
 *	read:N            its read of the list ends
 *	fresh:N           N last read the list now
 *	run:PERIODS       time passes, messages are delivered
 *	lose:PERIODS      time passes, messages are dropped
 *	restart:N         N restarts empty, with a new incarnation
 *	dead:N            N is no longer a member
 * expected: the listed servers of each instance, separated by |.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/log.h"
#include "entry/directory.h"
#include "entry/directory_codec.h"
#include "entry/directory_sync.h"
#include "entry/entry.h"
#include "entry/own_platform.h"
#include "entry/peers.h"
#include "rows.h"

#define NODES 4
#define PERIOD_USEC (1 * USEC_PER_SEC)

struct script {
	const char *name;
	const char *steps;
	const char *expected;
	const char *every; /* directory_sync_every() of each, or NULL */
};

#define KNOWN "read:0 read:1 read:2 read:3 fresh:0 fresh:1 run:12 "

static const struct script scripts[] = {
	{"told", KNOWN "put:0:a read:0 run:1", "a||a|", NULL},
	{"told-by-both", KNOWN "put:0:a put:1:a read:0 read:1 run:1", "a|a|a|",
	 NULL},
	{"asked-after-loss", KNOWN "put:0:a read:0 lose:1 run:22", "a||a|",
	 NULL},
	{"two-losses",
	 KNOWN "put:0:a read:0 lose:1 put:0:a put:0:b read:0 "
	       "lose:1 run:22",
	 "ab||ab|", NULL},
	{"gap-then-told",
	 KNOWN "put:0:a read:0 lose:1 put:0:a put:0:b read:0 "
	       "run:1",
	 "ab||b|", NULL},
	{"unlisted", KNOWN "put:0:a read:0 run:1 gone:0 run:1", "|||", NULL},
	{"unlisted-lost", KNOWN "put:0:a read:0 run:1 gone:0 lose:1 run:22",
	 "|||", NULL},
	{"forgotten",
	 KNOWN "put:0:a read:0 run:1 gone:0 lose:70 put:0:b "
	       "read:0 lose:1 run:22",
	 "b||b|", NULL},
	{"reader-restarts",
	 KNOWN "put:0:a read:0 run:1 restart:0 put:0:b "
	       "read:0 run:25",
	 "b||b|", NULL},
	{"start-without-platform", "put:3:x read:3 run:3", "x|x|x|x", NULL},
	{"first-reading-wins", "put:3:x read:3 run:3 put:0:a read:0 run:2",
	 "a|x|a|x", NULL},
	{"readers-differ", KNOWN "put:0:a read:0 run:1 put:1:b read:1 run:1",
	 "a|b|ab|", NULL},
	{"next-reader", KNOWN "dead:0 put:2:c read:2 run:2", "||c|", NULL},
	{"every-unknown", "run:1", "|||", "1 1 1 1"},
	{"every-fresh", KNOWN "fresh:2 fresh:3", "|||", "1 1 300 1"},
	{"every-through-reader", KNOWN "run:60 fresh:0 fresh:1 run:22", "|||",
	 "1 1 300 1"},
	{"every-stale", KNOWN "run:60", "|||", "1 1 10 1"},
};

struct message {
	uint64_t from;
	uint64_t to;
	GByteArray *bytes;
};

struct node {
	struct world *world;
	struct entry entry;
	struct member self;
	peers_receive_fn receive;
	void *receive_ctx;
	int64_t listed_at;
	bool dead;
};

struct world {
	struct clock *clock;
	struct node nodes[NODES];
	GQueue messages;
};

/* The pointers to membership, peers and platform point to the nodes. */

const struct member *membership_self(const struct membership *membership)
{
	return &((const struct node *)membership)->self;
}

const struct member *membership_next(const struct membership *membership,
				     uint32_t *cursor)
{
	const struct world *world = ((const struct node *)membership)->world;

	while (*cursor < NODES) {
		const struct node *node = &world->nodes[(*cursor)++];

		if (!node->dead)
			return &node->self;
	}
	return NULL;
}

uint64_t membership_home(const struct membership *membership,
			 const char *data_centre, uint64_t key, uint32_t rank)
{
	const struct member *member;
	uint32_t cursor = 0;

	while ((member = membership_next(membership, &cursor))) {
		if (strcmp(member->data_centre, data_centre) == 0 &&
		    rank-- == 0)
			return member->id;
	}
	return 0;
}

void membership_fact_set(struct membership *membership, uint64_t key,
			 uint64_t version, const void *value, size_t size)
{
}

void peers_handler_set(struct peers *peers, enum channel channel,
		       peers_receive_fn fn, void *ctx)
{
	struct node *node = (struct node *)peers;

	g_assert_cmpint(channel, ==, CHANNEL_DIRECTORY);
	node->receive = fn;
	node->receive_ctx = ctx;
}

void peers_send(struct peers *peers, uint64_t instance, enum channel channel,
		const void *payload, size_t size)
{
	struct node *node = (struct node *)peers;
	struct message *message = g_new0(struct message, 1);

	message->from = node->self.id;
	message->to = instance;
	message->bytes = g_byte_array_new();
	g_byte_array_append(message->bytes, payload, (guint)size);
	g_queue_push_tail(&node->world->messages, message);
}

int64_t platform_listed_at(const struct platform *platform)
{
	return ((const struct node *)platform)->listed_at;
}

static void node_start(struct world *world, int i, uint64_t incarnation)
{
	struct node *node = &world->nodes[i];
	struct entry *entry = &node->entry;

	node->world = world;
	node->listed_at = -1;
	node->self.id = (uint64_t)i + 1;
	node->self.incarnation = incarnation;
	g_strlcpy(node->self.data_centre, i == 3 ? "d2" : "d1",
		  sizeof(node->self.data_centre));
	*entry = (struct entry){
		.clock = world->clock,
		.rand = g_rand_new_with_seed((guint32)i),
		.counters = counter_set_create(),
		.membership = (struct membership *)node,
		.peers = (struct peers *)node,
		.platform = (struct platform *)node,
		.incarnation = incarnation,
	};
	entry->settings.list_usec = PERIOD_USEC;
	entry->settings.data_centre = node->self.data_centre;
	entry->directory = directory_create(entry);
	entry->directory_sync = directory_sync_create(entry);
}

static void node_stop(struct world *world, int i)
{
	struct entry *entry = &world->nodes[i].entry;

	directory_sync_destroy(entry->directory_sync);
	directory_destroy(entry->directory);
	counter_set_destroy(entry->counters);
	g_rand_free(entry->rand);
}

static void message_free(void *data)
{
	struct message *message = data;

	g_byte_array_unref(message->bytes);
	g_free(message);
}

static void messages_deliver(struct world *world, bool lose)
{
	struct message *message;

	while ((message = g_queue_pop_head(&world->messages))) {
		struct node *node = &world->nodes[message->to - 1];

		if (!lose && !node->dead && node->receive)
			node->receive(node->receive_ctx, message->from,
				      message->bytes->data,
				      message->bytes->len);
		message_free(message);
	}
}

static void world_run(struct world *world, int periods, bool lose)
{
	for (int i = 0; i < 10 * periods; i++) {
		clock_advance(world->clock,
			      clock_now(world->clock) + PERIOD_USEC / 10);
		messages_deliver(world, lose);
		messages_deliver(world, lose);
	}
}

static void put(struct node *node, const char *name)
{
	struct backend backend = {
		.id = id_of(name),
		.incarnation = 1,
		.pool = "p",
		.data_centre = "d1",
		.address = "1.1.1.1:1",
		.listed = true,
	};

	g_strlcpy(backend.name, name, sizeof(backend.name));
	directory_put(node->entry.directory, &backend);
}

static void step(struct world *world, const char *text)
{
	g_auto(GStrv) part = g_strsplit(text, ":", 3);
	const char *verb = part[0] ? part[0] : "";
	int n = verb[0] && part[1] ? atoi(part[1]) : 0;

	if (strcmp(verb, "run") == 0 || strcmp(verb, "lose") == 0) {
		world_run(world, n, verb[0] == 'l');
		return;
	}
	g_assert_cmpint(n, <, NODES);
	struct node *node = &world->nodes[n];

	if (strcmp(verb, "put") == 0) {
		put(node, part[2]);
	} else if (strcmp(verb, "read") == 0 || strcmp(verb, "gone") == 0) {
		directory_sweep_end(node->entry.directory);
	} else if (strcmp(verb, "fresh") == 0) {
		node->listed_at = clock_now(world->clock);
	} else if (strcmp(verb, "dead") == 0) {
		node->dead = true;
	} else if (strcmp(verb, "restart") == 0) {
		node_stop(world, n);
		node_start(world, n, node->self.incarnation + 1);
	}
}

static void world_print(const struct world *world, GString *listed,
			GString *every)
{
	for (int i = 0; i < NODES; i++) {
		const struct entry *entry = &world->nodes[i].entry;
		const struct backend *backend;
		uint32_t cursor = 0;

		g_string_append(listed, i ? "|" : "");
		while ((backend = directory_next(entry->directory, &cursor)))
			g_string_append(listed,
					backend->listed ? backend->name : "");
		g_string_append_printf(
			every, "%s%u", i ? " " : "",
			directory_sync_every(entry->directory_sync));
	}
}

static void world_setup(struct world *world)
{
	*world = (struct world){.clock = clock_create(0)};
	g_queue_init(&world->messages);
	/* Ages are only accepted below the clock's time. */
	clock_advance(world->clock, 1000 * PERIOD_USEC);
	for (int i = 0; i < NODES; i++)
		node_start(world, i, 10);
}

static void world_teardown(struct world *world)
{
	for (int i = 0; i < NODES; i++)
		node_stop(world, i);
	g_queue_clear_full(&world->messages, message_free);
	clock_destroy(world->clock);
}

static void test_script(gconstpointer data)
{
	const struct script *script = data;
	g_auto(GStrv) steps = g_strsplit(script->steps, " ", -1);
	GString *listed = g_string_new(NULL);
	GString *every = g_string_new(NULL);
	struct world world;

	world_setup(&world);
	for (char **text = steps; *text; text++)
		step(&world, *text);
	world_print(&world, listed, every);
	g_assert_cmpstr(listed->str, ==, script->expected);
	if (script->every)
		g_assert_cmpstr(every->str, ==, script->every);
	g_string_free(listed, TRUE);
	g_string_free(every, TRUE);
	world_teardown(&world);
}

/* A message that is cut short, or has one byte changed, is taken whole or not
 * at all, and ends nothing. */
static void test_malformed(void)
{
	GByteArray *bytes = g_byte_array_new();
	struct directory_update news = {.epoch = 5, .until = 2, .whole = true};
	struct world world;

	world_setup(&world);
	put(&world.nodes[0], "abc");
	directory_update_encode(&news, world.nodes[0].entry.directory, bytes);
	struct node *node = &world.nodes[2];

	for (guint size = 0; size < bytes->len; size++)
		node->receive(node->receive_ctx, 1, bytes->data, size);
	g_assert_false(directory_is_loaded(node->entry.directory));
	for (guint i = 0; i < bytes->len; i++) {
		guint8 kept = bytes->data[i];

		for (int bit = 0; bit < 8; bit++) {
			bytes->data[i] = kept ^ (guint8)(1 << bit);
			node->receive(node->receive_ctx, 1, bytes->data,
				      bytes->len);
		}
		bytes->data[i] = kept;
	}
	node->receive(node->receive_ctx, 1, bytes->data, bytes->len);
	g_assert_nonnull(directory_find(node->entry.directory, id_of("abc")));
	g_byte_array_unref(bytes);
	world_teardown(&world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_EMERG);
	ROWS_ADD("/directory-sync/", scripts, test_script);
	g_test_add_func("/directory-sync/malformed", test_malformed);
	return g_test_run();
}
