/*
 * Instances that lose their links to the backend servers for a while. Three
 * seconds after the cut began, callers of these are to be served at the first
 * attempt at least two thirds as often as callers of the others, or all but ten
 * and one in fifty.
 */
#include <glib.h>

#include "common/log.h"
#include "reach_world.h"

#define CONTACT_MSEC 3000
#define CUT_MSEC 8000
#define STEADY_MSEC 3000
#define SILENCE_MSEC 1500
/* Requests that are served have ended after this time. */
#define ANSWER_MSEC 1000
/* Longest limit of a caller. */
#define END_MSEC 14500

struct scenario {
	const char *name;
	uint32_t instances;
	enum cut cut;
	/* Whether the instance is cut off. */
	bool (*applies)(uint32_t instance, uint32_t instances);
	uint32_t every; /* of reach_world_cut_some(); 0: from all */
};

static bool is_one(uint32_t instance, uint32_t instances)
{
	return instance == 1;
}

static bool is_in_centre(uint32_t instance, uint32_t instances)
{
	return instance % CENTRES == 0;
}

/* All but one of a data centre of three. */
static bool is_neighbour(uint32_t instance, uint32_t instances)
{
	return instance == 0 || instance == CENTRES;
}

/* Four of seven. */
static bool is_in_most(uint32_t instance, uint32_t instances)
{
	return instance * 7 < instances * 4;
}

static bool is_any(uint32_t instance, uint32_t instances)
{
	return true;
}

static void cut_all(struct reach_world *world, const struct scenario *scenario,
		    enum cut cut)
{
	for (uint32_t i = 0; i < scenario->instances; i++)
		if (scenario->applies(i, scenario->instances))
			reach_world_cut_some(world, i, cut, scenario->every);
}

static void share_check(const struct tally *cut_off, const struct tally *others)
{
	uint32_t failed = cut_off->sent - cut_off->served;
	double share = (double)cut_off->served / cut_off->sent;
	double share_others = (double)others->served / MAX(others->sent, 1u);

	g_test_message("cut off %u of %u, others %u of %u", cut_off->served,
		       cut_off->sent, others->served, others->sent);
	/* If all instances are cut off there are no others to compare with. */
	if (failed > 10 + cut_off->sent / 50)
		g_assert_cmpfloat(share, >=,
				  others->sent > 0 ? share_others * 2.0 / 3.0
						   : 2.0 / 3.0);
	g_assert_cmpuint(others->sent - others->served, <=,
			 10 + others->sent / 50);
}

/* Runs for msec and counts what was sent in that time. */
static void tally_run(struct reach_world *world, int64_t msec,
		      struct tally *cut_off, struct tally *others)
{
	uint32_t begin = reach_world_sent(world);
	uint32_t end;

	reach_world_run(world, msec);
	end = reach_world_sent(world);
	reach_world_run(world, ANSWER_MSEC);
	reach_world_tally(world, begin, end, cut_off, others);
}

static void test_cut(gconstpointer data)
{
	const struct scenario *scenario = data;
	struct reach_world *world = reach_world_create(
		scenario->instances, (guint32)g_test_rand_int());
	struct tally cut_off;
	struct tally others;

	reach_world_run(world, STEADY_MSEC);
	cut_all(world, scenario, scenario->cut);
	reach_world_run(world, CONTACT_MSEC);
	tally_run(world, CUT_MSEC, &cut_off, &others);
	share_check(&cut_off, &others);
	cut_all(world, scenario, CUT_NONE);
	reach_world_run(world, CONTACT_MSEC);
	tally_run(world, STEADY_MSEC, &cut_off, &others);
	g_assert_cmpuint(others.sent - others.served, <=,
			 10 + others.sent / 50);
	reach_world_destroy(world);
}

static const struct scenario scenarios[] = {
	{"one-reset", 7, CUT_RESET, is_one, 0},
	{"one-silent", 7, CUT_SILENT, is_one, 0},
	{"one-only-new", 7, CUT_ONLY_NEW, is_one, 0},
	{"neighbours-reset", 7, CUT_RESET, is_neighbour, 0},
	{"neighbours-silent", 7, CUT_SILENT, is_neighbour, 0},
	{"centre-reset", 7, CUT_RESET, is_in_centre, 0},
	{"centre-silent", 7, CUT_SILENT, is_in_centre, 0},
	{"centre-only-new", 7, CUT_ONLY_NEW, is_in_centre, 0},
	{"most-reset", 7, CUT_RESET, is_in_most, 0},
	{"most-silent", 7, CUT_SILENT, is_in_most, 0},
	{"most-some-servers", 7, CUT_SILENT, is_in_most, 7},
	{"all-some-servers", 7, CUT_RESET, is_any, 3},
	{"all-some-servers-silent", 7, CUT_SILENT, is_any, 3},
	{"centre-reset", 83, CUT_RESET, is_in_centre, 0},
	{"most-silent", 83, CUT_SILENT, is_in_most, 0},
	{"most-some-servers", 83, CUT_RESET, is_in_most, 14},
	{"all-some-servers", 83, CUT_SILENT, is_any, 5},
	{"centre-silent", 300, CUT_SILENT, is_in_centre, 0},
	{"most-reset", 300, CUT_RESET, is_in_most, 0},
};

/* All requests end, and none breaks a promise, when links go and come back. */
static void test_promises(gconstpointer data)
{
	struct reach_world *world = reach_world_create(
		GPOINTER_TO_UINT(data), (guint32)g_test_rand_int());

	for (int i = 0; i < 20; i++) {
		uint32_t one = (uint32_t)g_test_rand_int_range(
			0, (gint32)GPOINTER_TO_UINT(data));

		reach_world_cut(world, one,
				(enum cut)g_test_rand_int_range(0, CUT_MODES));
		reach_world_run(world, g_test_rand_int_range(1, 1500));
	}
	for (uint32_t i = 0; i < GPOINTER_TO_UINT(data); i++)
		reach_world_cut(world, i, CUT_NONE);
	reach_world_end(world, END_MSEC);
	g_assert_cmpuint(reach_world_broken(world), ==, 0);
	reach_world_destroy(world);
}

/* No request may be blamed for a server that only its instance cannot reach. */
static void test_blame(void)
{
	struct reach_world *world =
		reach_world_create(7, (guint32)g_test_rand_int());

	reach_world_run(world, STEADY_MSEC);
	for (uint32_t i = 0; i < 4; i++)
		reach_world_cut(world, i, CUT_RESET);
	reach_world_run(world, CUT_MSEC);
	g_assert_cmpuint(reach_world_blamed(world), ==, 0);
	reach_world_destroy(world);
}

/* A sound server may fall silent for a second or so: streams there go on, no
 * request is blamed, and it gets work again soon after. */
static void test_silence(void)
{
	struct reach_world *world =
		reach_world_create(7, (guint32)g_test_rand_int());
	uint32_t begin;
	struct tally cut_off;
	struct tally others;

	reach_world_run(world, STEADY_MSEC);
	for (int i = 0; i < 12; i++) {
		uint32_t servers = reach_world_servers(world);

		reach_world_silence(world, servers - 1 - (uint32_t)i % 9,
				    SILENCE_MSEC);
		reach_world_run(world, SILENCE_MSEC + 500);
	}
	g_assert_cmpuint(reach_world_repeated_streams(world), ==, 0);
	g_assert_cmpuint(reach_world_blamed(world), ==, 0);
	begin = reach_world_sent(world);
	reach_world_run(world, STEADY_MSEC);
	reach_world_tally(world, begin, reach_world_sent(world), &cut_off,
			  &others);
	g_assert_cmpuint(others.sent - others.served, <=,
			 10 + others.sent / 50);
	reach_world_end(world, END_MSEC);
	g_assert_cmpuint(reach_world_broken(world), ==, 0);
	reach_world_destroy(world);
}

int main(int argc, char **argv)
{
	struct clock *clock = clock_create(0);
	int status;

	g_test_init(&argc, &argv, NULL);
	log_setup(clock, "test", LOG_ERR);
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		g_autofree char *path = g_strdup_printf(
			"/forward/reach/cut/%u/%s", scenarios[i].instances,
			scenarios[i].name);

		g_test_add_data_func(path, &scenarios[i], test_cut);
	}
	g_test_add_data_func("/forward/reach/promises/7", GUINT_TO_POINTER(7),
			     test_promises);
	g_test_add_data_func("/forward/reach/promises/83", GUINT_TO_POINTER(83),
			     test_promises);
	g_test_add_func("/forward/reach/silence", test_silence);
	g_test_add_func("/forward/reach/blame", test_blame);
	status = g_test_run();
	clock_destroy(clock);
	return status;
}
