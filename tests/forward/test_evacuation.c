/* Nothing new is sent to the servers of an evacuated data centre. */
#include <glib.h>

#include "place_site.h"

static void test_plain(void)
{
	struct site site;
	struct backend *local;
	struct backend *remote;

	site_open(&site);
	local = site_add(&site, "local", STAGE_NONE, "here");
	remote = site_add(&site, "remote", STAGE_NONE, "there");
	g_assert_true(fleet_evacuate(site.fleet, "here", true));
	g_assert_false(fleet_evacuate(site.fleet, "here", true));
	g_assert_true(place_plain(&site.place) == remote);
	g_assert_false(backend_usable(local, site.place.now));
	g_assert_cmpint(backend_available_at(local, site.place.now), ==, -1);
	g_assert_true(fleet_evacuate(site.fleet, "there", true));
	g_assert_null(place_plain(&site.place));
	g_assert_false(fleet_service_reachable(site.fleet, SITE_SERVICE));
	g_assert_true(fleet_evacuate(site.fleet, "here", false));
	g_assert_false(fleet_evacuate(site.fleet, "here", false));
	g_assert_true(place_plain(&site.place) == local);
	site_close(&site);
}

static void test_engines(void)
{
	static const struct engine_traits engine = {.slots = 4,
						    .memory_tokens = 1000};
	struct site site;
	struct backend *d2;
	struct backend *p2;

	site_open(&site);
	site_add(&site, "d1", STAGE_DECODE, "here");
	site_add(&site, "p1", STAGE_PREFILL, "here");
	d2 = site_add(&site, "d2", STAGE_DECODE, "there");
	p2 = site_add(&site, "p2", STAGE_PREFILL, "there");
	g_assert_cmpfloat(place_decode_capacity(&site.place, &engine, 500), ==,
			  4.0);
	fleet_evacuate(site.fleet, "here", true);
	g_assert_true(place_decode(&site.place, &engine, 500) == d2);
	g_assert_true(place_prefill(&site.place, d2) == p2);
	g_assert_cmpfloat(place_decode_capacity(&site.place, &engine, 500), ==,
			  2.0);
	site_close(&site);
}

/* Servers that are listed later, or move there, are withdrawn as well. */
static void test_listed_later(void)
{
	struct site site;
	struct backend *server;

	site_open(&site);
	fleet_evacuate(site.fleet, "there", true);
	server = site_add(&site, "s", STAGE_NONE, "there");
	g_assert_true(backend_withdrawn(server));
	g_assert_false(backend_leaving(server));
	server = site_add(&site, "s", STAGE_NONE, "here");
	g_assert_false(backend_withdrawn(server));
	server = site_add(&site, "s", STAGE_NONE, "there");
	g_assert_true(backend_withdrawn(server));
	site_close(&site);
}

/* A full list ends the evacuations that it lacks; an interrupted one ends none.
 */
static void test_whole_list(void)
{
	struct site site;
	struct backend *one;
	struct backend *two;

	site_open(&site);
	one = site_add(&site, "one", STAGE_NONE, "here");
	two = site_add(&site, "two", STAGE_NONE, "there");
	fleet_evacuate(site.fleet, "here", true);
	fleet_evacuate(site.fleet, "there", true);
	fleet_evacuations_begin(site.fleet);
	g_assert_true(backend_withdrawn(one));
	fleet_evacuations_begin(site.fleet);
	g_assert_false(fleet_evacuate(site.fleet, "there", true));
	fleet_evacuations_end(site.fleet);
	g_assert_false(backend_withdrawn(one));
	g_assert_true(backend_withdrawn(two));
	site_close(&site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/evacuation/plain", test_plain);
	g_test_add_func("/forward/evacuation/engines", test_engines);
	g_test_add_func("/forward/evacuation/listed-later", test_listed_later);
	g_test_add_func("/forward/evacuation/whole-list", test_whole_list);
	return g_test_run();
}
