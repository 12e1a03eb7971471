/*
 * The version that began a stream, recorded by one instance and asked for by
 * others of its data centre and of others, after instances were killed or a
 * data centre was partitioned.
 */
#include <glib.h>

#include "gossip_world.h"

#define ANSWER_MSEC 200
#define SOFTWARE 77u
#define STREAMS 8u
#define SITE_STREAMS 900u

static void record_send(struct instance *instance, uint64_t stream)
{
	const struct gossip_origin origin = {stream, SOFTWARE};

	gossip_origin_send(instance->gossip, &origin);
}

/* Whether an instance that asks now learns the version. */
static bool is_known(struct instance *instance, uint64_t stream)
{
	const struct origin_query query = {.id = 1, .stream = stream};

	if (origins_get(instance->origins, stream))
		return true;
	instance->software = 0;
	gossip_origin_ask(instance->gossip, &query);
	site_advance(instance->site, ANSWER_MSEC);
	return instance->software == SOFTWARE;
}

static void restart(struct instance *instance)
{
	instance_stop(instance);
	instance_start(instance);
	add_all_peers(instance->site, instance);
}

static struct instance *other(struct site *site, uint32_t centre, uint32_t not )
{
	uint32_t i;

	do
		i = (uint32_t)g_test_rand_int_range(0, (gint32)site->count);
	while (i == not || i % CENTRES != centre);
	return &site->instances[i];
}

static void test_asked(gconstpointer data)
{
	struct site *site = site_open(GPOINTER_TO_UINT(data));

	for (uint64_t stream = 1;
	     stream <= MIN(STREAMS, SITE_STREAMS / site->count); stream++) {
		uint32_t first =
			(uint32_t)g_test_rand_int_range(0, (gint32)site->count);

		record_send(&site->instances[first], stream);
		site_advance(site, ANSWER_MSEC);
		/* The instance that began the stream is killed. */
		restart(&site->instances[first]);
		for (uint32_t centre = 0; centre < CENTRES; centre++)
			if (site->count > 2 * CENTRES ||
			    centre != first % CENTRES)
				g_assert_true(is_known(
					other(site, centre, first), stream));
		site_advance(site, 1000);
	}
	site_close(site);
}

static void test_partitioned(gconstpointer data)
{
	struct site *site = site_open(GPOINTER_TO_UINT(data));

	for (int i = 1; i < CENTRES; i++)
		site->paused[i] = true;
	site_advance(site, 3000);
	for (uint64_t stream = 1; stream <= STREAMS; stream++) {
		record_send(&site->instances[0], stream);
		site_advance(site, ANSWER_MSEC);
		g_assert_true(is_known(other(site, 0, 0), stream));
	}
	site_close(site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/forward/gossip/origins/7", GUINT_TO_POINTER(7),
			     test_asked);
	g_test_add_data_func("/forward/gossip/origins/83", GUINT_TO_POINTER(83),
			     test_asked);
	g_test_add_data_func("/forward/gossip/origins/300",
			     GUINT_TO_POINTER(300), test_asked);
	g_test_add_data_func("/forward/gossip/origins/partitioned",
			     GUINT_TO_POINTER(83), test_partitioned);
	return g_test_run();
}
