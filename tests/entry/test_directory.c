/*
 * The directory after scripted sweeps of the list and facts. The steps are:
 *	put:NAME:INCARNATION[:leaving]  an entry of the list
 *	swept                           the sweep ends
 *	leave:NAME                      this instance sees the server leave
 *	fact:NAME:INCARNATION           a fact from another instance
 *	forged                          a fact with the key of another server
 *	run:SECONDS
 * expected: the servers as NAME/INCARNATION, with ! for leaving and ? for
 * unlisted, then the number of facts spread.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <msgpack.h>

#include "common/log.h"
#include "entry/directory.h"
#include "entry/entry.h"
#include "fake_coord.h"
#include "rows.h"

struct script {
	const char *name;
	const char *steps;
	const char *expected;
};

static const struct script scripts[] = {
	{"sorted", "put:b:1 put:a:1 put:c:1 swept", "a/1 b/1 c/1 0"},
	{"unlisted", "put:a:1 put:b:1 swept put:b:1 swept", "a/1? b/1 0"},
	{"relisted", "put:a:1 swept swept put:a:1 swept", "a/1 0"},
	{"forgotten", "put:a:1 swept swept run:61 swept", "0"},
	{"kept-a-while", "put:a:1 swept swept run:59 swept", "a/1? 0"},
	{"list-says-leaving", "put:a:1:leaving swept", "a/1! 1"},
	{"leaving-stays", "put:a:1:leaving swept put:a:1 swept", "a/1! 1"},
	{"told-once", "put:a:1 leave:a leave:a leave:a", "a/1! 1"},
	{"replaced", "put:a:1 leave:a put:a:2 swept", "a/2 1"},
	{"replaced-leaves-too", "put:a:1 leave:a put:a:2 leave:a", "a/2! 2"},
	{"older-reading", "put:a:2 put:a:1 swept", "a/2 0"},
	{"fact", "put:a:1 fact:a:1", "a/1! 0"},
	{"fact-first", "fact:a:1 put:a:1", "a/1! 0"},
	{"fact-of-former", "put:a:2 fact:a:1", "a/2 0"},
	{"fact-of-next", "put:a:1 fact:a:2", "a/1! 0"},
	{"fact-of-unknown", "fact:x:1 put:a:1", "a/1 0"},
	{"forged", "put:a:1 forged", "a/1 0"},
	{"unknown-leaves", "leave:x put:a:1", "a/1 0"},
};

struct world {
	struct entry entry;
	int changes;
};

static struct backend backend_named(const char *name, const char *incarnation)
{
	struct backend backend = {
		.id = id_of(name),
		.incarnation = (uint64_t)atoi(incarnation),
		.pool = "p",
		.data_centre = "d",
		.address = "1.1.1.1:1",
		.listed = true,
	};

	g_strlcpy(backend.name, name, sizeof(backend.name));
	return backend;
}

static void fact_give(struct world *world, uint64_t key, uint64_t id,
		      uint64_t incarnation)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, id);
	msgpack_pack_uint64(&packer, incarnation);
	directory_fact(world->entry.directory, key, buffer.data, buffer.size);
	/* Cut short it is no fact. */
	for (size_t size = 0; size < buffer.size; size++)
		directory_fact(world->entry.directory, key + 1, buffer.data,
			       size);
	msgpack_sbuffer_destroy(&buffer);
}

static void step(struct world *world, const char *text)
{
	struct directory *directory = world->entry.directory;
	g_auto(GStrv) part = g_strsplit(text, ":", 4);
	struct backend backend;

	if (strcmp(part[0], "put") == 0) {
		backend = backend_named(part[1], part[2]);
		backend.leaving = part[3] != NULL;
		directory_put(directory, &backend);
	} else if (strcmp(part[0], "swept") == 0) {
		directory_sweep_end(directory);
	} else if (strcmp(part[0], "leave") == 0) {
		directory_mark_leaving(directory, id_of(part[1]));
	} else if (strcmp(part[0], "fact") == 0) {
		uint64_t id = id_of(part[1]);

		fact_give(world, id_mix(id_of("leaving"), id), id,
			  (uint64_t)atoi(part[2]));
	} else if (strcmp(part[0], "forged") == 0) {
		fact_give(world, 4711, id_of("a"), 1);
	} else {
		clock_advance(world->entry.clock,
			      clock_now(world->entry.clock) +
				      atoi(part[1]) * USEC_PER_SEC);
	}
}

static void changed(void *ctx)
{
	((struct world *)ctx)->changes++;
}

static void world_setup(struct world *world)
{
	*world = (struct world){0};
	fake_coord_setup();
	world->entry.clock = clock_create(0);
	world->entry.counters = counter_set_create();
	world->entry.membership = (struct membership *)world; /* not NULL */
	world->entry.directory = directory_create(&world->entry);
	directory_on_changed(world->entry.directory, changed, world);
}

static void world_teardown(struct world *world)
{
	directory_destroy(world->entry.directory);
	counter_set_destroy(world->entry.counters);
	clock_destroy(world->entry.clock);
	fake_coord_teardown();
}

static void world_print(const struct world *world, GString *out)
{
	const struct backend *backend;
	uint32_t cursor = 0;
	int facts = 0;

	while ((backend = directory_next(world->entry.directory, &cursor)))
		g_string_append_printf(out, "%s/%u%s%s ", backend->name,
				       (unsigned)backend->incarnation,
				       backend->leaving ? "!" : "",
				       backend->listed ? "" : "?");
	for (const char *at = fake_coord.events->str; (at = strstr(at, "fact"));
	     at++)
		facts++;
	g_string_append_printf(out, "%d", facts);
}

static void test_script(gconstpointer data)
{
	const struct script *script = data;
	g_auto(GStrv) steps = g_strsplit(script->steps, " ", -1);
	GString *out = g_string_new(NULL);
	struct world world;

	world_setup(&world);
	for (char **text = steps; *text; text++)
		step(&world, *text);
	world_print(&world, out);
	g_assert_cmpstr(out->str, ==, script->expected);
	g_string_free(out, TRUE);
	world_teardown(&world);
}

/* A change published by one instance is applied by another. */
static void test_spread(void)
{
	struct world world;
	struct world other;

	world_setup(&world);
	step(&world, "put:a:3");
	step(&world, "leave:a");
	g_assert_cmpuint(fake_coord.version, ==, 3);
	GByteArray *value = g_byte_array_ref(fake_coord.value);
	uint64_t key = fake_coord.key;

	world_teardown(&world);
	world_setup(&other);
	step(&other, "put:a:3");
	directory_fact(other.entry.directory, key, value->data, value->len);
	g_assert_true(
		directory_find(other.entry.directory, id_of("a"))->leaving);
	g_byte_array_unref(value);
	world_teardown(&other);
}

/* Several changes give one callback, in a later iteration of the event loop,
 * and no change gives none. */
static void test_notify(void)
{
	struct world world;

	world_setup(&world);
	step(&world, "run:0");
	g_assert_cmpint(world.changes, ==, 1);
	step(&world, "put:a:1");
	step(&world, "put:b:1");
	step(&world, "swept");
	g_assert_cmpint(world.changes, ==, 1);
	step(&world, "run:0");
	g_assert_cmpint(world.changes, ==, 2);
	step(&world, "put:a:1");
	step(&world, "put:b:1");
	step(&world, "swept");
	step(&world, "run:1");
	g_assert_cmpint(world.changes, ==, 2);
	step(&world, "leave:a");
	step(&world, "run:1");
	g_assert_cmpint(world.changes, ==, 3);
	world_teardown(&world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_EMERG);
	ROWS_ADD("/directory/", scripts, test_script);
	g_test_add_func("/directory/spread", test_spread);
	g_test_add_func("/directory/told", test_notify);
	return g_test_run();
}
