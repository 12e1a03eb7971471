/* Unit tests of the parts of the forwarding core. */
#include <glib.h>
#include <string.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/id.h"
#include "forward/budget.h"
#include "forward/catalog.h"
#include "forward/events.h"
#include "forward/fleet.h"
#include "forward/place.h"
#include "forward/roles.h"
#include "place_site.h"

/* ---- catalog ---- */

static struct catalog_route *route_add(struct catalog *catalog,
				       const char *host, const char *prefix)
{
	struct catalog_route *route = catalog_add_route(catalog);
	struct route_share share = {id_of("a"), 1};

	route->name = g_strconcat(host, prefix, NULL);
	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	g_array_append_val(route->shares, share);
	return route;
}

static const char *route_name(const struct catalog *catalog, const char *host,
			      const char *path)
{
	const struct catalog_route *route =
		catalog_route(catalog, host, strlen(host), path, strlen(path));

	return route ? route->name : NULL;
}

static void test_routes(void)
{
	static const struct {
		const char *host;
		const char *path;
		const char *name;
	} rows[] = {
		{"a.example", "/x/", "a.example/x/"},
		{"A.Example:8080", "/x/1", "a.example/x/"},
		{"a.example", "/x/y/z", "a.example/x/y/"},
		{"a.example", "/x/yy", "a.example/x/"},
		{"a.example", "/x", NULL},
		{"a.example", "/", NULL},
		{"a.example", "", NULL},
		{"b.example", "/x/", "b.example/"},
		{"b.example", "", NULL},
		{"c.example", "/x/", NULL},
		{"", "/x/", NULL},
	};
	struct catalog *catalog = catalog_create(1);
	g_autofree char *fill = g_strnfill(5000, 'x');
	g_autofree char *long_text = g_strconcat("/x/", fill, NULL);

	route_add(catalog, "a.example", "/x/");
	route_add(catalog, "a.example", "/x/y/");
	route_add(catalog, "b.example", "/");
	catalog_index_routes(catalog);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_assert_cmpstr(route_name(catalog, rows[i].host, rows[i].path),
				==, rows[i].name);
	g_assert_cmpstr(route_name(catalog, "a.example", long_text), ==,
			"a.example/x/");
	g_assert_null(route_name(catalog, long_text, "/x/"));
	catalog_unref(catalog);
}

static void test_split(void)
{
	struct catalog *catalog = catalog_create(1);
	struct catalog_route *route = route_add(catalog, "h", "/");
	struct route_share share = {id_of("b"), 3};

	g_array_append_val(route->shares, share);
	g_assert_cmpuint(route_choose(route, 0.0), ==, id_of("a"));
	g_assert_cmpuint(route_choose(route, 0.24), ==, id_of("a"));
	g_assert_cmpuint(route_choose(route, 0.26), ==, id_of("b"));
	g_assert_cmpuint(route_choose(route, 0.999), ==, id_of("b"));
	catalog_unref(catalog);
}

/* ---- events ---- */

/* However the bytes are split, only complete events are passed on. */
static void test_events(void)
{
	static const char text[] =
		"id: 1\ndata: a\n\n:note\r\nid:22\r\ndata\r\n"
		"\r\nid: x\ndata: c\n\nid: 40\nda";
	const size_t whole = strlen(text) - strlen("id: 40\nda");

	for (size_t step = 1; step <= strlen(text); step++) {
		g_autoptr(GString) out = g_string_new(NULL);
		struct event_cutter cutter;

		event_cutter_init(&cutter);
		for (size_t at = 0; at < strlen(text); at += step) {
			size_t size = MIN(step, strlen(text) - at);
			size_t n;

			g_assert_true(
				event_cutter_feed(&cutter, text + at, size));
			n = event_cutter_complete_bytes(&cutter);
			g_string_append_len(out,
					    (const char *)cutter.rest->data,
					    (gssize)n);
			event_cutter_consume(&cutter, n);
		}
		g_assert_cmpuint(out->len, ==, whole);
		g_assert_true(memcmp(out->str, text, whole) == 0);
		g_assert_cmpuint(cutter.events, ==, 3);
		g_assert_cmpuint(cutter.last_id, ==, 22);
		event_cutter_drop(&cutter);
		g_assert_cmpuint(cutter.rest->len, ==, 0);
		event_cutter_clear(&cutter);
	}
}

static void test_event_too_large(void)
{
	g_autofree char *text = g_strnfill(EVENT_BYTES_MAX, 'x');
	struct event_cutter cutter;

	event_cutter_init(&cutter);
	g_assert_true(event_cutter_feed(&cutter, text, EVENT_BYTES_MAX));
	g_assert_false(event_cutter_feed(&cutter, "x", 1));
	event_cutter_clear(&cutter);
}

/* ---- budget ---- */

static uint32_t budget_drain(struct budgets *budgets, int64_t now,
			     uint32_t instances)
{
	uint32_t taken = 0;

	while (budget_take(budgets, 1, now, instances))
		taken++;
	return taken;
}

/* In any window, the sends of all instances stay within the allowance. */
static void test_budget(void)
{
	const struct budget_settings settings = {0.2, 54, 10 * USEC_PER_SEC};
	struct budgets *budgets = budgets_create(&settings, -10 * USEC_PER_SEC);
	uint32_t first = budget_drain(budgets, USEC_PER_SEC, 7);

	g_assert_cmpuint(first, >=, 5);
	g_assert_cmpuint(first * 7, <=, 54);
	g_assert_cmpuint(budget_drain(budgets, 9 * USEC_PER_SEC, 7), ==, 0);
	g_assert_cmpuint(budget_drain(budgets, 13 * USEC_PER_SEC, 7), ==,
			 first);
	for (int i = 0; i < 100; i++)
		budget_request(budgets, 1, 13 * USEC_PER_SEC);
	g_assert_cmpuint(budget_drain(budgets, 13 * USEC_PER_SEC, 7), <=, 20);
	/* Each service has a separate budget. */
	g_assert_true(budget_take(budgets, 2, 13 * USEC_PER_SEC, 7));
	budgets_destroy(budgets);
}

/* After a restart of all instances, the slack may be used up already. */
static void test_budget_restart(void)
{
	const struct budget_settings settings = {0.2, 54, 10 * USEC_PER_SEC};
	struct budgets *budgets = budgets_create(&settings, 5 * USEC_PER_SEC);

	g_assert_cmpuint(budget_drain(budgets, 5 * USEC_PER_SEC, 1), ==, 0);
	g_assert_cmpuint(budget_drain(budgets, 6 * USEC_PER_SEC, 1), <=, 5);
	g_assert_cmpuint(budget_drain(budgets, 10 * USEC_PER_SEC, 7), <=, 4);
	budgets_destroy(budgets);
}

/* Checks the allowance over every window of a random schedule. */
static void test_budget_windows(void)
{
	const struct budget_settings settings = {0.2, 54, 10 * USEC_PER_SEC};
	struct budgets *budgets = budgets_create(&settings, -10 * USEC_PER_SEC);
	g_autoptr(GArray) sends = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GRand *rand = g_rand_new_with_seed(11);
	int64_t now = 0;

	for (int i = 0; i < 20000; i++) {
		now += g_rand_int_range(rand, 0, 20000);
		if (g_rand_boolean(rand))
			budget_request(budgets, 1, now);
		if (budget_take(budgets, 1, now, 7))
			g_array_append_val(sends, now);
	}
	for (guint from = 0, i = 0; i < sends->len; i++) {
		int64_t at = g_array_index(sends, int64_t, i);

		while (g_array_index(sends, int64_t, from) <=
		       at - 10 * USEC_PER_SEC)
			from++;
		/* About 50 requests a second: 100 sends for 500 requests, and a
		 * seventh of the slack. */
		g_assert_cmpuint(i - from + 1, <=, 110 + 8);
	}
	g_rand_free(rand);
	budgets_destroy(budgets);
}

/* ---- fleet and placing ---- */

static void test_place_plain(void)
{
	struct site site;
	struct backend *local;
	struct backend *remote;

	site_open(&site);
	g_assert_null(place_plain(&site.place));
	local = site_add(&site, "local", STAGE_NONE, "here");
	remote = site_add(&site, "remote", STAGE_NONE, "there");
	g_assert_true(place_plain(&site.place) == local);
	local->own.requests = 2;
	g_assert_true(place_plain(&site.place) == remote);
	remote->peers.requests = 4;
	g_assert_true(place_plain(&site.place) == local);
	remote->peers.requests = 0;
	local->own.requests = 0;
	backend_failed(local, site.place.now);
	g_assert_true(place_plain(&site.place) == remote);
	site_wait(&site, 20 * USEC_PER_SEC);
	g_assert_true(place_plain(&site.place) == local);
	local->info.leaving = true;
	backend_unreachable(remote, site.place.now);
	g_assert_null(place_plain(&site.place));
	site_wait(&site, 3 * USEC_PER_SEC);
	g_assert_true(place_plain(&site.place) == remote);
	site_close(&site);
}

static void test_place_engines(void)
{
	static const struct engine_traits engine = {.slots = 4,
						    .memory_tokens = 1000};
	struct site site;
	struct backend *d1;
	struct backend *d2;
	struct backend *p1;
	struct backend *p2;

	site_open(&site);
	d1 = site_add(&site, "d1", STAGE_DECODE, "here");
	d2 = site_add(&site, "d2", STAGE_DECODE, "there");
	p1 = site_add(&site, "p1", STAGE_PREFILL, "here");
	p2 = site_add(&site, "p2", STAGE_PREFILL, "there");
	g_assert_true(place_decode(&site.place, &engine, 500) == d1);
	d1->own.decode_tokens = 501;
	g_assert_true(place_decode(&site.place, &engine, 500) == d2);
	d2->peers.requests = 4;
	g_assert_null(place_decode(&site.place, &engine, 500));
	d1->own.decode_tokens = 0;
	d1->full_until = site.place.now + 1;
	g_assert_null(place_decode(&site.place, &engine, 500));
	/* The result stays within the data centre unless its queue is
	 * longer. */
	g_assert_true(place_prefill(&site.place, d1) == p1);
	g_assert_true(place_prefill(&site.place, d2) == p2);
	p1->peers.prefill_tokens = 5000;
	g_assert_true(place_prefill(&site.place, d1) == p2);
	/* A decode server prefills the prompt itself when the queue is long,
	 * unless it has as many tokens to prefill already. */
	g_assert_true(place_prompt(&site.place, d1, 1000, 4000) == p2);
	p2->own.prefill_tokens = 4500;
	g_assert_null(place_prompt(&site.place, d1, 1000, 4000));
	g_assert_true(place_prompt(&site.place, d1, 1000, 5000) == p1);
	d1->own.prefill_tokens = 2000;
	g_assert_true(place_prompt(&site.place, d1, 1000, 4000) == p1);
	site_close(&site);
}

static void test_limited_engine_runs_less(void)
{
	static const struct engine_traits engine = {.memory_tokens = 10000};
	const struct backpressure_signals limit = {.limited = true,
						   .limit = 1.0};
	struct backpressure *table = backpressure_create();
	struct site site;
	struct backend *d1;

	site_open(&site);
	site.place.backpressure = table;
	d1 = site_add(&site, "d1", STAGE_DECODE, "here");
	site_add(&site, "d2", STAGE_DECODE, "here");
	site_add(&site, "p1", STAGE_PREFILL, "here");
	g_assert_cmpfloat(place_decode_capacity(&site.place, &engine, 1000), ==,
			  20.0);
	backpressure_answer(table, 1, d1->key, &limit);
	g_assert_cmpfloat(place_decode_capacity(&site.place, &engine, 1000), ==,
			  13.5);
	d1->backoff_until = site.place.now + 1;
	g_assert_cmpfloat(place_decode_capacity(&site.place, &engine, 1000), ==,
			  10.0);
	backpressure_destroy(table);
	site_close(&site);
}

static void test_fleet_snapshot(void)
{
	struct site site;
	uint64_t handle;

	site_open(&site);
	handle = site_add(&site, "one", STAGE_NONE, "here")->handle;
	site_add(&site, "two", STAGE_NONE, "here");
	fleet_snapshot_begin(site.fleet);
	site_add(&site, "two", STAGE_DECODE, "here");
	fleet_snapshot_end(site.fleet);
	g_assert_null(fleet_get(site.fleet, handle));
	g_assert_null(fleet_find(site.fleet, id_of("one")));
	g_assert_cmpuint(fleet_service(site.fleet, 1)->len, ==, 1);
	/* The same id, listed again, is a new server. */
	g_assert_true(site_add(&site, "one", STAGE_NONE, "here")->handle !=
		      handle);
	fleet_remove(site.fleet, "one");
	fleet_remove(site.fleet, "one");
	g_assert_cmpuint(fleet_all(site.fleet)->len, ==, 1);
	site_close(&site);
}

static struct backend *incarnation_put(struct site *site, int64_t started_ms)
{
	struct backend_info info = {
		.id = "one",
		.address = "127.0.0.1:1",
		.data_centre = "here",
		.service = 1,
		.slots = 4,
		.started_ms = started_ms,
	};

	return fleet_put(site->fleet, &info);
}

/* A restarted server inherits no state from its earlier incarnation, and
 * updates of that incarnation do not restore it. */
static void test_fleet_incarnations(void)
{
	struct site site;
	struct backend *backend;
	uint64_t handle;
	uint64_t key;

	site_open(&site);
	backend = incarnation_put(&site, 5000);
	handle = backend->handle;
	key = backend->key;
	backend->own.requests = 3;
	backend->peers.decode_tokens = 9000;
	backend_unreachable(backend, site.place.now);
	backend_run_refused(backend, site.place.now);
	backend = incarnation_put(&site, 6000);
	g_assert_null(fleet_get(site.fleet, handle));
	g_assert_null(fleet_find(site.fleet, key));
	g_assert_cmpuint(backend_requests(backend), ==, 0);
	g_assert_cmpuint(backend_decode_tokens(backend), ==, 0);
	g_assert_cmpuint(backend->refusals, ==, 0);
	g_assert_true(backend_usable(backend, site.place.now));
	g_assert_true(backend->key != key);
	handle = backend->handle;
	g_assert_null(incarnation_put(&site, 5000));
	g_assert_true(fleet_find_id(site.fleet, "one")->handle == handle);
	/* A snapshot with the old entry does not remove the server. */
	fleet_snapshot_begin(site.fleet);
	g_assert_null(incarnation_put(&site, 5000));
	fleet_snapshot_end(site.fleet);
	g_assert_true(fleet_find_id(site.fleet, "one")->handle == handle);
	/* Nor does the earlier incarnation return after the later one left. */
	fleet_remove(site.fleet, "one");
	g_assert_null(incarnation_put(&site, 5000));
	g_assert_cmpuint(fleet_all(site.fleet)->len, ==, 0);
	g_assert_nonnull(incarnation_put(&site, 6000));
	g_assert_cmpint(fleet_started_ms(site.fleet, "one"), ==, 6000);
	site_close(&site);
}

/* ---- roles ---- */

static void test_roles_change(void)
{
	static const struct {
		uint32_t prefill;
		uint32_t total;
		double rate;
		int32_t change;
	} rows[] = {
		/* Without demand, a fixed fraction. */
		{0, 0, 0, 0},
		{1, 1, 0, 0},
		{1, 2, 0, 0},
		{2, 4, 0, 1},
		{3, 9, 0, 1},
		{5, 14, 0, 2},
		{17, 48, 0, 7},
		{1, 14, 0, -2},
		/* Nothing changes within the band. */
		{2, 9, 33000, 0},
		{3, 9, 33000, 0},
		{3, 14, 42000, 0},
		{2, 14, 42000, 0},
		/* Sustained demand moves runners in either direction. */
		{5, 14, 42000, 2},
		{2, 9, 80000, -1},
		{2, 14, 500000, -5},
		{10, 48, 60000, 5},
		/* Prefill keeps a minimum, and at most half of the runners. */
		{2, 5, 500000, 0},
		{1, 9, 1, -1},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_assert_cmpint(roles_prefill_surplus(rows[i].prefill,
						      rows[i].total,
						      rows[i].rate, 33000.0),
				==, rows[i].change);
}

/* A server ordered to another role gets no requests until it has changed. */
static void test_changing(void)
{
	struct site site;
	struct backend *d1;

	site_open(&site);
	d1 = site_add(&site, "d1", STAGE_DECODE, "here");
	d1->changing_until = site.place.now + USEC_PER_SEC;
	g_assert_false(backend_usable(d1, site.place.now));
	site_add(&site, "d1", STAGE_PREFILL, "here");
	g_assert_true(backend_usable(d1, site.place.now));
	site_close(&site);
}

/* One request probes a server that could not be reached. */
static void test_probe(void)
{
	struct site site;
	struct backend *s1;

	site_open(&site);
	s1 = site_add(&site, "s1", STAGE_NONE, "here");
	backend_unreachable(s1, site.place.now);
	g_assert_null(place_plain(&site.place));
	site_wait(&site, USEC_PER_SEC / 2);
	g_assert_true(place_plain(&site.place) == s1);
	backend_claim_probe(s1, site.place.now);
	g_assert_null(place_plain(&site.place));
	backend_reached(s1);
	g_assert_true(place_plain(&site.place) == s1);
	site_close(&site);
}

/* A server that grants reservations and then refuses the runs is avoided; one
 * request probes it, and it is used again once a run has started. */
static void test_refusals(void)
{
	struct site site;
	struct backend *one;

	site_open(&site);
	one = site_add(&site, "one", STAGE_DECODE, "here");
	backend_run_refused(one, site.place.now);
	backend_run_started(one);
	backend_run_refused(one, site.place.now);
	g_assert_false(backend_refusing(one));
	g_assert_true(backend_usable(one, site.place.now));
	backend_run_refused(one, site.place.now);
	g_assert_true(backend_refusing(one));
	g_assert_false(backend_usable(one, site.place.now));
	backend_reached(one);
	g_assert_false(backend_usable(one, site.place.now));
	site_wait(&site, 1 * USEC_PER_SEC);
	g_assert_true(backend_usable(one, site.place.now));
	backend_claim_probe(one, site.place.now);
	g_assert_false(backend_usable(one, site.place.now));
	backend_run_started(one);
	g_assert_true(backend_usable(one, site.place.now));
	backend_run_refused(one, site.place.now);
	backend_run_refused(one, site.place.now);
	/* A listed change of role ends it. */
	site_add(&site, "one", STAGE_PREFILL, "here");
	g_assert_true(backend_usable(one, site.place.now));
	site_close(&site);
}

/* An invalid entry cannot mark a server as cold for ever. */
static void test_cold(void)
{
	struct site site;
	struct backend *one;

	site_open(&site);
	one = site_add(&site, "one", STAGE_NONE, "here");
	g_assert_false(backend_set_cold(one, site.place.now, 0));
	g_assert_false(backend_cold(one, site.place.now));
	g_assert_true(backend_set_cold(one, site.place.now, 3 * USEC_PER_SEC));
	g_assert_false(backend_set_cold(one, site.place.now, 3 * USEC_PER_SEC));
	g_assert_true(backend_cold(one, site.place.now));
	site_wait(&site, 3 * USEC_PER_SEC);
	g_assert_false(backend_cold(one, site.place.now));
	g_assert_true(backend_set_cold(one, site.place.now, INT64_C(1) << 50));
	site_wait(&site, BACKPRESSURE_COLD_MAX_USEC);
	g_assert_false(backend_cold(one, site.place.now));
	site_close(&site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/catalog/routes", test_routes);
	g_test_add_func("/forward/catalog/split", test_split);
	g_test_add_func("/forward/events/pieces", test_events);
	g_test_add_func("/forward/events/too-large", test_event_too_large);
	g_test_add_func("/forward/budget/allowance", test_budget);
	g_test_add_func("/forward/budget/restart", test_budget_restart);
	g_test_add_func("/forward/budget/windows", test_budget_windows);
	g_test_add_func("/forward/place/plain", test_place_plain);
	g_test_add_func("/forward/place/limited-engine-runs-less",
			test_limited_engine_runs_less);
	g_test_add_func("/forward/place/engines", test_place_engines);
	g_test_add_func("/forward/fleet/snapshot", test_fleet_snapshot);
	g_test_add_func("/forward/roles/change", test_roles_change);
	g_test_add_func("/forward/fleet/incarnations", test_fleet_incarnations);
	g_test_add_func("/forward/fleet/changing", test_changing);
	g_test_add_func("/forward/fleet/probe", test_probe);
	g_test_add_func("/forward/fleet/refusals", test_refusals);
	g_test_add_func("/forward/fleet/cold", test_cold);
	return g_test_run();
}
