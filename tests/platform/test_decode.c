/* Decoders of the platform's documents: tables of valid and refused input. */
#include <glib.h>
#include <string.h>

#include "../fake/rows.h"
#include "common/error.h"
#include "common/id.h"
#include "common/position.h"
#include "forward/regions.h"
#include "platform/caller.h"
#include "platform/decode.h"
#include "platform/runner.h"
#include "platform/signals.h"
#include "platform/store.h"

#define ROUTE                                                                  \
	"{\"name\":\"r\",\"host\":\"A.example\",\"path_prefix\":\"/p/\","      \
	"\"route_type\":\"streaming\",\"service\":\"s\"}"
#define SERVICE "{\"name\":\"s\"}"
#define HEALTH(path) "{\"name\":\"s\",\"health_path\":" path "}"
/* A configuration with this list of organisations. */
#define TENANTS(list)                                                          \
	"{\"version\":7,\"routes\":[" ROUTE "],\"services\":[" SERVICE         \
	"],\"tenants\":" list "}"
#define CONFIG(routes, services)                                               \
	"{\"version\":7,\"routes\":[" routes "],\"services\":[" services "]}"

struct refused {
	const char *name;
	const char *text;
	const char *reason; /* part of the error's text */
};

static const struct refused configs[] = {
	{"no JSON", "{", "line 1"},
	{"no object", "[]", "version"},
	{"no version", "{\"routes\":[],\"services\":[]}", "version"},
	{"text for version",
	 "{\"version\":\"7\",\"routes\":[],\"services\":[]}", "version"},
	{"no routes", "{\"version\":7,\"services\":[]}", "routes"},
	{"no services", "{\"version\":7,\"routes\":[]}", "services"},
	{"route without name",
	 CONFIG("{\"host\":\"h\",\"path_prefix\":\"/\","
		"\"route_type\":\"idempotent\",\"service\":\"s\"}",
		SERVICE),
	 "routes[0].name"},
	{"route without host",
	 CONFIG(ROUTE ",{\"name\":\"r\",\"path_prefix\":\"/\","
		      "\"route_type\":\"idempotent\",\"service\":\"s\"}",
		SERVICE),
	 "routes[1].host"},
	{"prefix without slash",
	 CONFIG("{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/p\","
		"\"route_type\":\"idempotent\",\"service\":\"s\"}",
		SERVICE),
	 "routes[0].path_prefix"},
	{"no service",
	 CONFIG("{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","
		"\"route_type\":\"idempotent\"}",
		SERVICE),
	 "routes[0].service"},
	{"regions that are no list",
	 CONFIG("{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","
		"\"route_type\":\"idempotent\",\"service\":\"s\","
		"\"allowed_regions\":\"north\"}",
		SERVICE),
	 "routes[0].allowed_regions: not a list"},
	{"region that is no text",
	 CONFIG("{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","
		"\"route_type\":\"idempotent\",\"service\":\"s\","
		"\"allowed_regions\":[\"north\",7]}",
		SERVICE),
	 "routes[0].allowed_regions[1]: not a non-empty string"},
	{"organisation's regions that are no list",
	 TENANTS("[{\"name\":\"a\",\"allowed_regions\":{}}]"),
	 "tenants[0].allowed_regions: not a list"},
	{"empty split",
	 CONFIG("{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","
		"\"route_type\":\"idempotent\",\"traffic_split\":[]}",
		SERVICE),
	 "routes[0].traffic_split"},
	{"negative time",
	 CONFIG("{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","
		"\"route_type\":\"idempotent\",\"service\":\"s\","
		"\"timeout_ms\":-1}",
		SERVICE),
	 "routes[0].timeout_ms"},
	{"text for a number",
	 CONFIG("{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","
		"\"route_type\":\"idempotent\",\"service\":\"s\","
		"\"max_attempts\":\"2\"}",
		SERVICE),
	 "routes[0].max_attempts"},
	{"service without name", CONFIG(ROUTE, "{}"), "services[0].name"},
	{"health path without slash", CONFIG(ROUTE, HEALTH("\"healthz\"")),
	 "services[0].health_path"},
	{"health path with a space", CONFIG(ROUTE, HEALTH("\"/a b\"")),
	 "services[0].health_path"},
	{"health path with a line break",
	 CONFIG(ROUTE, HEALTH("\"/a\\r\\nx: y\"")), "services[0].health_path"},
	{"health path of another type", CONFIG(ROUTE, HEALTH("7")),
	 "services[0].health_path"},
	{"organisations, no list", TENANTS("{}"), "tenants: not a list"},
	{"organisation without name", TENANTS("[{\"api_keys\":[\"k\"]}]"),
	 "tenants[0].name"},
	{"organisation twice", TENANTS("[{\"name\":\"a\"},{\"name\":\"a\"}]"),
	 "tenants[1].name: duplicate name"},
	{"name that no header holds", TENANTS("[{\"name\":\"a\\r\\nb: c\"}]"),
	 "tenants[0].name"},
	{"keys, no list", TENANTS("[{\"name\":\"a\",\"api_keys\":\"k\"}]"),
	 "tenants[0].api_keys: not a list"},
	{"key, no text", TENANTS("[{\"name\":\"a\",\"api_keys\":[\"k\",7]}]"),
	 "tenants[0].api_keys[1]: not a non-empty string"},
	{"key, empty", TENANTS("[{\"name\":\"a\",\"api_keys\":[\"\"]}]"),
	 "tenants[0].api_keys[0]: not a non-empty string"},
	{"key twice, one organisation",
	 TENANTS("[{\"name\":\"a\",\"api_keys\":[\"k\",\"k\"]}]"),
	 "tenants[0].api_keys[1]: duplicate key"},
	{"key twice, two organisations",
	 TENANTS("[{\"name\":\"a\",\"api_keys\":[\"k\"]},"
		 "{\"name\":\"b\",\"api_keys\":[\"k\"]}]"),
	 "tenants[1].api_keys[0]: duplicate key"},
	{"negative rate", TENANTS("[{\"name\":\"a\",\"rate_per_s\":-1}]"),
	 "tenants[0].rate_per_s"},
	{"text for a burst", TENANTS("[{\"name\":\"a\",\"burst\":\"9\"}]"),
	 "tenants[0].burst"},
	{"unknown unit", TENANTS("[{\"name\":\"a\",\"unit\":\"bytes\"}]"),
	 "tenants[0].unit: unknown unit"},
	{"priority, no number",
	 TENANTS("[{\"name\":\"a\",\"priority\":\"x\"}]"),
	 "tenants[0].priority"},
};

static void test_config_refused(gconstpointer data)
{
	const struct refused *row = data;
	struct error err = {0};

	g_assert_null(decode_catalog(row->text, strlen(row->text), &err));
	g_assert_cmpint(err.code, ==, RESULT_BAD_CONFIG);
	g_assert_nonnull(strstr(err.text, row->reason));
}

static void test_config(void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":"
		"\"A.example\",\"path_prefix\":\"/p/\",\"route_type\":"
		"\"streaming\",\"timeout_ms\":14000,\"target_latency_ms\":900,"
		"\"priority\":1,\"traffic_split\":[{\"service\":\"s\","
		"\"weight\":90},{\"service\":\"t\",\"weight\":0}],"
		"\"max_attempts\":2,\"sticky\":true,\"resumable\":true,"
		"\"gap_aim_ms\":300,\"unknown\":{}}],\"services\":[{\"name\":"
		"\"s\",\"health_path\":\"/h\",\"max_connections\":150,"
		"\"engine\":{\"slots\":12,\"kv_tokens\":30222,"
		"\"handle_ttl_s\":0.5,\"switch_s\":6.0,\"hold_ms\":2000.0}}],"
		"\"limits\":{\"max_body_bytes\":1000}}";
	struct error err = {0};
	struct catalog *catalog = decode_catalog(text, strlen(text), &err);
	const struct catalog_route *route;
	const struct catalog_service *service;

	g_assert_cmpstr(err.text, ==, "");
	route = catalog_route(catalog, "a.EXAMPLE", 9, "/p/x", 4);
	service = catalog_service(catalog, id_of("s"));
	g_assert_cmpuint(catalog->version, ==, 7);
	g_assert_cmpuint(catalog->limits.body_bytes, ==, 1000);
	g_assert_cmpint(route->kind, ==, ROUTE_STREAM);
	g_assert_true(route->resumable);
	g_assert_cmpuint(route->shares->len, ==, 1);
	g_assert_cmpint(route->timeout_usec, ==, 14 * USEC_PER_SEC);
	g_assert_cmpint(route->gap_usec, ==, 300 * USEC_PER_MSEC);
	g_assert_cmpuint(service->engine.memory_tokens, ==, 30222);
	g_assert_cmpint(service->engine.result_usec, ==, USEC_PER_SEC / 2);
	catalog_unref(catalog);
}

/* Sums of tokens have 32 bits. */
static void test_large_memory(void)
{
	static const char text[] = CONFIG(
		ROUTE, "{\"name\":\"s\",\"engine\":{\"kv_tokens\":1e12}}");
	struct error err;
	struct catalog *catalog = decode_catalog(text, strlen(text), &err);
	const struct catalog_service *service;

	g_assert_nonnull(catalog);
	service = catalog_service(catalog, id_of("s"));
	g_assert_cmpuint(service->engine.memory_tokens, <=, UINT32_MAX / 2);
	catalog_unref(catalog);
}

/* An unknown route type is decoded as one that must not be retried. */
static void test_unknown_kind(void)
{
	static const char text[] =
		CONFIG("{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","
		       "\"route_type\":\"new\",\"service\":\"s\"}",
		       SERVICE);
	struct error err;
	struct catalog *catalog = decode_catalog(text, strlen(text), &err);

	g_assert_cmpint(catalog_route(catalog, "h", 1, "/", 1)->kind, ==,
			ROUTE_ONCE);
	catalog_unref(catalog);
}

#define ENTRY(state, slots, more)                                              \
	"{\"service\":\"s\",\"state\":\"" state "\",\"zone\":\"z\","           \
	"\"address\":\"1.2.3.4:5\",\"slots\":" slots more "}"

#define ENTRY_AT(address)                                                      \
	"{\"service\":\"s\",\"state\":\"ready\",\"zone\":\"z\",\"slots\":8,"   \
	"\"address\":\"" address "\"}"

static const struct refused entries[] = {
	{"no JSON", "x", "line 1"},
	{"empty", "{}", "entry.service"},
	{"no state", "{\"service\":\"s\"}", "entry.state"},
	{"no address", "{\"service\":\"s\",\"state\":\"ready\"}",
	 "entry.address"},
	{"no data centre",
	 "{\"service\":\"s\",\"state\":\"ready\",\"address\":\"1.2.3.4:5\"}",
	 "entry.zone"},
	{"address too long",
	 "{\"service\":\"s\",\"state\":\"ready\",\"zone\":\"z\",\"address\":"
	 "\"1234567890123456789012345678901234567890123456789012345678901234\""
	 "}",
	 "entry.address"},
	/* Entries that a writer other than the server may have made. */
	{"entry is a string", "\"ready\"", "line 1"},
	{"entry is a list", "[]", "entry.service"},
	{"number for service",
	 "{\"service\":7,\"state\":\"ready\",\"zone\":\"z\","
	 "\"address\":\"1.2.3.4:5\",\"slots\":8}",
	 "entry.service"},
	{"unknown state", ENTRY("ready2", "8", ""), "entry.state"},
	{"slots as text", ENTRY("ready", "\"8\"", ""), "entry.slots"},
	{"no slots", ENTRY("ready", "null", ""), "entry.slots"},
	{"slots of 0", ENTRY("ready", "0", ""), "entry.slots"},
	{"fraction of a slot", ENTRY("ready", "1.5", ""), "entry.slots"},
	{"slots beyond 32 bits", ENTRY("ready", "1099511627776", ""),
	 "entry.slots"},
	{"slots whose multiples exceed 32 bits",
	 ENTRY("ready", "2147483648", ""), "entry.slots"},
	{"unknown stage", ENTRY("ready", "8", ",\"stage\":\"embed\""),
	 "entry.stage"},
	{"stage of another type", ENTRY("ready", "8", ",\"stage\":1"),
	 "entry.stage"},
	{"born as text", ENTRY("ready", "8", ",\"born\":\"17\""), "entry.born"},
	{"born as a fraction", ENTRY("ready", "8", ",\"born\":17.5"),
	 "entry.born"},
	{"born null", ENTRY("ready", "8", ",\"born\":null"), "entry.born"},
	{"born negative", ENTRY("ready", "8", ",\"born\":-1"), "entry.born"},
	{"count as text", ENTRY("ready", "8", ",\"sequence\":\"4\""),
	 "entry.sequence"},
	{"version of another type", ENTRY("ready", "8", ",\"version\":[]"),
	 "entry.version"},
	{"models of another type", ENTRY("ready", "8", ",\"models\":{}"),
	 "entry.models"},
	{"cold as text", ENTRY("ready", "8", ",\"cold_remaining_ms\":\"0\""),
	 "entry.cold_remaining_ms"},
	{"no port",
	 "{\"service\":\"s\",\"state\":\"ready\",\"zone\":\"z\","
	 "\"address\":\"1.2.3.4\",\"slots\":8}",
	 "entry.address"},
	{"port 0", ENTRY_AT("1.2.3.4:0"), "entry.address"},
	{"port 0 of IPv6", ENTRY_AT("[::1]:0"), "entry.address"},
	{"port beyond 16 bits", ENTRY_AT("1.2.3.4:65536"), "entry.address"},
	{"port far beyond", ENTRY_AT("1.2.3.4:99999999999"), "entry.address"},
	{"negative port", ENTRY_AT("1.2.3.4:-1"), "entry.address"},
};

static void test_entry_refused(gconstpointer data)
{
	const struct refused *row = data;
	struct backend_info info;
	struct error err = {0};

	g_assert_false(
		decode_backend("i", row->text, strlen(row->text), &info, &err));
	g_assert_nonnull(strstr(err.text, row->reason));
}

/* An id that no header can carry would fail all requests to the server. */
static void test_unsendable_id(void)
{
	static const char *const ids[] = {"i-1\r\nx: y", "i\t1", "i\x7f"};
	static const char entry[] = ENTRY("ready", "8", "");
	struct backend_info info;

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		struct error err;

		g_assert_false(decode_backend(ids[i], entry, strlen(entry),
					      &info, &err));
		g_assert_nonnull(strstr(err.text, "server id"));
	}
}

static void software_decode(const char *version, struct backend_info *info)
{
	g_autofree char *text = g_strdup_printf(
		ENTRY("ready", "8", "%s%s%s"), version ? ",\"version\":\"" : "",
		version ? version : "", version ? "\"" : "");
	struct error err;

	g_assert_true(decode_backend("i-1", text, strlen(text), info, &err));
}

static void test_software(void)
{
	char first[120];
	char second[120];
	struct backend_info a;
	struct backend_info b;

	memset(first, 'v', sizeof(first));
	first[sizeof(first) - 1] = '\0';
	memcpy(second, first, sizeof(first));
	second[sizeof(second) - 2] = 'w';
	software_decode(first, &a);
	software_decode(second, &b);
	g_assert_cmpuint(a.software, !=, b.software);
	software_decode("1", &a);
	software_decode("2", &b);
	g_assert_cmpuint(a.software, !=, b.software);
	g_assert_cmpstr(a.software_name, ==, "1");
	g_assert_false(backend_info_same(&a, &b));
	software_decode(NULL, &a);
	software_decode("", &b);
	g_assert_cmpuint(a.software, ==, b.software);
}

static void test_newer(void)
{
	static const struct {
		const char *before;
		const char *after;
		bool newer;
	} rows[] = {
		{ENTRY("ready", "8", ",\"sequence\":4"),
		 ENTRY("ready", "8", ",\"sequence\":5"), true},
		{ENTRY("ready", "8", ",\"sequence\":5"),
		 ENTRY("draining", "8", ",\"sequence\":5"), false},
		{ENTRY("draining", "8", ",\"sequence\":15"),
		 ENTRY("ready", "8", ",\"sequence\":9"), false},
		/* A later start counts its heartbeats from the beginning. */
		{ENTRY("ready", "8", ",\"born\":7,\"sequence\":15"),
		 ENTRY("ready", "8", ",\"born\":8,\"sequence\":1"), true},
		{ENTRY("ready", "8", ",\"born\":8,\"sequence\":1"),
		 ENTRY("ready", "8", ",\"born\":7,\"sequence\":15"), false},
		{"{not JSON", ENTRY("ready", "8", ",\"sequence\":1"), true},
		{ENTRY("ready", "8", ",\"sequence\":1"), "{not JSON", false},
		{ENTRY("ready", "8", ",\"sequence\":1"),
		 ENTRY("ready", "8", ""), false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_assert_cmpint(decode_backend_newer(
					rows[i].before, strlen(rows[i].before),
					rows[i].after, strlen(rows[i].after)),
				==, rows[i].newer);
}

static void test_outdated(void)
{
	static const struct {
		const char *before;
		const char *after;
		bool outdated;
	} rows[] = {
		{ENTRY("draining", "8", ",\"sequence\":8"),
		 ENTRY("ready", "8", ",\"sequence\":5"), true},
		{ENTRY("ready", "8", ",\"sequence\":5"),
		 ENTRY("draining", "8", ",\"sequence\":8"), false},
		{ENTRY("draining", "8", ",\"sequence\":8"),
		 ENTRY("ready", "8", ",\"sequence\":8"), false},
		/* Entries that differ in their number only. */
		{ENTRY("ready", "8", ",\"sequence\":8"),
		 ENTRY("ready", "8", ",\"sequence\":5"), true},
		{ENTRY("ready", "8", ",\"sequence\":10"),
		 ENTRY("ready", "8", ",\"sequence\":9"), true},
		{ENTRY("ready", "8", ",\"sequence\":9"),
		 ENTRY("ready", "8", ",\"sequence\":10"), false},
		{ENTRY("ready", "8", ",\"sequence\":9"),
		 ENTRY("ready", "8", ",\"sequence\":9"), false},
		/* Another start counts on its own. */
		{ENTRY("draining", "8", ",\"born\":7,\"sequence\":15"),
		 ENTRY("ready", "8", ",\"born\":8,\"sequence\":1"), false},
		{ENTRY("draining", "8", ",\"born\":8,\"sequence\":15"),
		 ENTRY("ready", "8", ",\"born\":7,\"sequence\":1"), false},
		{ENTRY("draining", "8", ",\"sequence\":8"),
		 ENTRY("ready", "8", ""), false},
		{ENTRY("draining", "8", ""),
		 ENTRY("ready", "8", ",\"sequence\":5"), false},
		{ENTRY("draining", "8", ",\"sequence\":8"), "{not JSON", false},
		{"{not JSON", ENTRY("ready", "8", ",\"sequence\":5"), false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_assert_cmpint(decode_backend_outdated(
					rows[i].before, strlen(rows[i].before),
					rows[i].after, strlen(rows[i].after)),
				==, rows[i].outdated);
}

static void on_era_page(void *ctx, enum result_code code,
			const struct feed_page *page)
{
	*(struct feed_page *)ctx = *page;
	g_assert_cmpuint(page->records[0].offset, ==, position_make(3, 6));
}

/* Offsets become positions of the answer's era. */
static void test_positions(void)
{
	static const char snapshot[] =
		"{\"items\":[{\"key\":\"k\",\"value\":\"dg==\",\"offset\":6}],"
		"\"more_pages\":false,\"end\":9}";
	static const unsigned char read[] = {0, 0, 0, 0, 0, 0,	 0,  7,
					     0, 0, 0, 0, 0, 0,	 0,  2,
					     0, 0, 0, 3, 1, 'k', 'v'};
	struct feed_page page;
	struct error err;

	g_assert_true(store_read_snapshot(snapshot, strlen(snapshot), 3,
					  on_era_page, &page));
	g_assert_cmpuint(page.next, ==, position_make(3, 9));
	g_assert_true(store_read_keyed(read, sizeof(read), position_make(3, 6),
				       &page, &err));
	g_assert_false(page.gap);
	g_assert_cmpuint(page.next, ==, position_make(3, 7));
	g_assert_cmpuint(page.end, ==, position_make(3, 7));
	g_assert_cmpuint(page.records[0].offset, ==, position_make(3, 6));
	g_free((void *)page.records);
	g_assert_cmpuint(position_make(3, 0), >, position_make(2, 1 << 30));
}

static void test_entry(void)
{
	static const char text[] =
		"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		"\"slots\":12,\"state\":\"draining\",\"stage\":\"decode\","
		"\"born\":1764700000123,\"cold_remaining_ms\":1500,\"new\":[]}";
	struct backend_info info;
	struct error err;

	g_assert_true(decode_backend("i-1", text, strlen(text), &info, &err));
	g_assert_cmpstr(info.id, ==, "i-1");
	g_assert_cmpstr(info.data_centre, ==, "z");
	g_assert_true(info.leaving);
	g_assert_cmpint(info.stage, ==, STAGE_DECODE);
	g_assert_cmpuint(info.slots, ==, 12);
	g_assert_cmpint(info.started_ms, ==, 1764700000123);
	g_assert_cmpint(info.cold_usec, ==, 1500 * USEC_PER_MSEC);
}

struct repeat {
	const char *name;
	const char *before;
	const char *text;
	bool same;
};

#define HEARTBEAT(number, rest)                                                \
	"{\"service\":\"s\",\"sequence\":" number ",\"state\":\"" rest "\"}"

static const struct repeat repeat_rows[] = {
	{"number", HEARTBEAT("7", "ready"), HEARTBEAT("8", "ready"), true},
	{"longer number", HEARTBEAT("9", "ready"), HEARTBEAT("10", "ready"),
	 true},
	{"state", HEARTBEAT("7", "ready"), HEARTBEAT("8", "draining"), false},
	{"state of the same size", HEARTBEAT("7", "ready"),
	 HEARTBEAT("8", "reads"), false},
	{"before the number", HEARTBEAT("7", "ready"),
	 "{\"service\":\"t\",\"sequence\":8,\"state\":\"ready\"}", false},
	{"no number", HEARTBEAT("7", "ready"), HEARTBEAT("", "ready"), false},
	{"negative", HEARTBEAT("7", "ready"), HEARTBEAT("-8", "ready"), false},
	{"text", HEARTBEAT("7", "ready"), HEARTBEAT("\"8\"", "ready"), false},
	{"fraction", HEARTBEAT("7", "ready"), HEARTBEAT("8.5", "ready"), false},
	{"without", "{\"service\":\"s\"}", "{\"service\":\"s\"}", false},
	{"empty", "", "", false},
	{"cut off", HEARTBEAT("7", "ready"),
	 "{\"service\":\"s\",\"sequence\":7", false},
};

static void test_repeat(gconstpointer data)
{
	const struct repeat *row = data;

	g_assert_cmpint(decode_backend_repeats(row->before, strlen(row->before),
					       row->text, strlen(row->text)),
			==, row->same);
}

struct evacuation {
	const char *name;
	const char *key;
	const char *data_centre; /* NULL: not an evacuation */
};

static const struct evacuation evacuation_rows[] = {
	{"one", "evacuate/north-a", "north-a"},
	{"no data centre", "evacuate/", NULL},
	{"no slash", "evacuate", NULL},
	{"configuration", "config", NULL},
	{"other", "evacuated/north-a", NULL},
	{"empty", "", NULL},
	{"too long",
	 "evacuate/"
	 "0123456789012345678901234567890123456789012345678901234567890123",
	 NULL},
};

static void test_evacuation(gconstpointer data)
{
	const struct evacuation *row = data;
	char data_centre[BACKEND_TEXT_MAX];

	g_assert_cmpint(decode_evacuation(row->key, data_centre), ==,
			row->data_centre != NULL);
	if (row->data_centre)
		g_assert_cmpstr(data_centre, ==, row->data_centre);
}

static void test_regions(void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":["
		"{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/a/\","
		"\"route_type\":\"idempotent\",\"service\":\"s\","
		"\"allowed_regions\":[\"north\",\"east\"]},"
		"{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/b/\","
		"\"route_type\":\"idempotent\",\"service\":\"s\","
		"\"allowed_regions\":[]}],\"services\":[" SERVICE
		"],\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"k\"],"
		"\"allowed_regions\":[\"north\",\"west\"]}]}";
	struct error err = {0};
	struct catalog *catalog = decode_catalog(text, strlen(text), &err);
	const struct region_limits any = {NULL, NULL};
	struct region_limits limits;

	g_assert_cmpstr(err.text, ==, "");
	limits.of_route = catalog_route(catalog, "h", 1, "/a/", 3)->regions;
	limits.of_organisation =
		organisation_of_key(catalog->organisations, "k", 1)->regions;
	g_assert_null(catalog_route(catalog, "h", 1, "/b/", 3)->regions);
	g_assert_true(regions_limited(&limits));
	g_assert_true(regions_allow(&limits, id_of("north")));
	g_assert_false(regions_allow(&limits, id_of("east")));
	g_assert_false(regions_allow(&limits, id_of("west")));
	g_assert_false(regions_allow(&limits, 0));
	g_assert_false(regions_limited(&any));
	g_assert_true(regions_allow(&any, 0));
	catalog_unref(catalog);
}

static void test_organisations(void)
{
	static const char text[] = TENANTS(
		"[{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":0,"
		"\"unit\":\"token_count\",\"plain_tokens\":200,"
		"\"rate_per_s\":47000.5,\"burst\":1e5},"
		"{\"name\":\"b\",\"api_keys\":[\"k3\"]}]");
	struct error err = {0};
	struct catalog *catalog = decode_catalog(text, strlen(text), &err);
	const struct organisation *one;
	const struct organisation *other;

	g_assert_cmpstr(err.text, ==, "");
	one = organisation_of_key(catalog->organisations, "k2", 2);
	other = organisation_of_key(catalog->organisations, "k3", 2);
	g_assert_cmpstr(one->name, ==, "a");
	g_assert_true(one->has_priority);
	g_assert_cmpuint(one->priority, ==, 0);
	g_assert_cmpfloat(one->allotment.rate, ==, 47000.5);
	g_assert_cmpfloat(one->allotment.burst, ==, 1e5);
	g_assert_cmpfloat(organisation_units(one, 0), ==, 200);
	g_assert_cmpfloat(organisation_units(one, 5070), ==, 5070);
	g_assert_false(other->has_priority);
	g_assert_cmpfloat(other->allotment.rate, ==, 0);
	g_assert_cmpfloat(organisation_units(other, 5070), ==, 1);
	g_assert_null(organisation_of_key(catalog->organisations, "k", 1));
	g_assert_null(organisation_of_key(catalog->organisations, "", 0));
	catalog_unref(catalog);
}

/* ---- callers ---- */

struct tokens {
	const char *name;
	const char *text;
	bool good;
	uint32_t prompt;
	uint32_t output;
};

static const struct tokens token_rows[] = {
	{"both", "1460,80", true, 1460, 80},
	{"zero", "0,0", true, 0, 0},
	{"one", "1460", false, 0, 0},
	{"empty", "", false, 0, 0},
	{"no first", ",80", false, 0, 0},
	{"no second", "80,", false, 0, 0},
	{"three", "1,2,3", false, 0, 0},
	{"sign", "-1,2", false, 0, 0},
	{"space", "1, 2", false, 0, 0},
	{"too large", "99999999999999999999,2", false, 0, 0},
};

static void test_tokens(gconstpointer data)
{
	const struct tokens *row = data;
	uint32_t prompt = 0;
	uint32_t output = 0;

	g_assert_true(platform_tokens_read(
			      (struct web_text){row->text, strlen(row->text)},
			      &prompt, &output) == row->good);
	if (!row->good)
		return;
	g_assert_cmpuint(prompt, ==, row->prompt);
	g_assert_cmpuint(output, ==, row->output);
}

struct prompt {
	const char *name;
	const char *text;
	const char *parts; /* separated by spaces */
};

static const struct prompt prompts[] = {
	{"three", "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
	 "5c1e07a2 91bd3f06 e4402b7d"},
	{"one", "5c1e07a2:800", "5c1e07a2"},
	{"empty", "", ""},
	{"without tokens", "a,b,c", "a b c"},
	{"last is empty", "a:1,b:2,", "a b"},
	{"empty parts", ",:1,,a:1,b:1", "a b"},
};

static void test_prompt(gconstpointer data)
{
	const struct prompt *row = data;
	struct web_text parts[PROMPT_PARTS_MAX];
	bool has_more = true;
	uint32_t count = platform_parts_read(
		(struct web_text){row->text, strlen(row->text)}, parts,
		&has_more);
	g_autoptr(GString) joined = g_string_new(NULL);

	for (uint32_t i = 0; i < count; i++) {
		if (i > 0)
			g_string_append_c(joined, ' ');
		g_string_append_len(joined, parts[i].data,
				    (gssize)parts[i].size);
	}
	g_assert_cmpstr(joined->str, ==, row->parts);
	g_assert_false(has_more);
}

static void test_prompt_bounded(void)
{
	g_autoptr(GString) text = g_string_new(NULL);
	struct web_text parts[PROMPT_PARTS_MAX];

	for (uint32_t i = 1; i <= 2 * PROMPT_PARTS_MAX; i++) {
		bool has_more;

		g_string_append_printf(text, "%s%x:1", i > 1 ? "," : "", i);
		g_assert_cmpuint(
			platform_parts_read(
				(struct web_text){text->str, text->len}, parts,
				&has_more),
			==, MIN(i, PROMPT_PARTS_MAX));
		g_assert_cmpint(has_more, ==, i > PROMPT_PARTS_MAX);
	}
}

/* ---- the store ---- */

static void test_keyed(void)
{
	static const unsigned char bytes[] = {
		0, 0, 0, 0, 0, 0,    0,	  11,	    /* end */
		0, 0, 0, 0, 0, 0,    0,	  3,	    /* first retained */
		0, 0, 0, 4, 1, 'k',  'v', 'w',	    /* a value is set */
		0, 0, 0, 2, 1, 'k',		    /* and deleted */
		0, 0, 0, 1, 0,			    /* ignored: no key */
		0, 0, 0, 5, 3, 'k',  0,	  'x', 'v', /* ignored: NUL in key */
		0, 0, 0, 3, 1, 0xff, 'v',	    /* ignored: key not UTF-8 */
		0, 0, 0, 9, 1, 'c',		    /* truncated */
	};
	struct feed_page page;
	struct error err;

	g_assert_true(store_read_keyed(bytes, sizeof(bytes), 5, &page, &err));
	g_assert_cmpuint(page.count, ==, 2);
	g_assert_cmpuint(page.next, ==, 10);
	g_assert_cmpuint(page.end, ==, 11);
	g_assert_false(page.gap);
	g_assert_cmpstr(page.records[0].key, ==, "k");
	g_assert_cmpuint(page.records[0].offset, ==, 5);
	g_assert_cmpmem(page.records[0].value, page.records[0].size, "vw", 2);
	g_assert_null(page.records[1].value);
	g_free((void *)page.records);
	g_assert_true(store_read_keyed(bytes, sizeof(bytes), 2, &page, &err));
	g_assert_true(page.gap);
	g_free((void *)page.records);
	g_assert_false(store_read_keyed(bytes, 15, 2, &page, &err));
}

/* Offsets beyond those of an era would show as another era. */
static void test_offset_of_another_era(void)
{
	static const unsigned char end[16] = {0, 0, 1};
	static const unsigned char first[16] = {0, 0, 0, 0, 0, 0, 0, 0, 0x80};
	struct feed_page page;
	struct error err;

	g_assert_false(store_read_keyed(end, sizeof(end), 0, &page, &err));
	g_assert_false(store_read_keyed(first, sizeof(first), 0, &page, &err));
}

struct snapshot_seen {
	uint32_t calls;
	GString *keys;
	char more[16];
};

static void on_snapshot(void *ctx, enum result_code code,
			const struct feed_page *page)
{
	struct snapshot_seen *seen = ctx;

	seen->calls++;
	for (size_t i = 0; i < page->count; i++)
		g_string_append_printf(seen->keys, "%s@%d ",
				       page->records[i].key,
				       (int)page->records[i].offset);
	g_strlcpy(seen->more, page->more ? page->more : "", sizeof(seen->more));
}

struct snapshot_row {
	const char *name;
	const char *text;
	const char *keys; /* NULL: no page */
	const char *more;
};

#define ITEM(key, offset)                                                      \
	"{\"key\":\"" key "\",\"value\":\"dg==\",\"offset\":" offset "}"
#define PAGE(items, more) "{\"items\":[" items "],\"end\":9" more "}"

static const struct snapshot_row snapshots[] = {
	{"good", PAGE(ITEM("a", "1") "," ITEM("b", "2"), ""), "a@1 b@2 ", ""},
	{"one is no object", PAGE("7," ITEM("b", "2"), ""), "b@2 ", ""},
	{"one has no key", PAGE("{\"offset\":1}," ITEM("b", "2"), ""), "b@2 ",
	 ""},
	{"one has no offset", PAGE(ITEM("a", "\"x\"") "," ITEM("b", "2"), ""),
	 "b@2 ", ""},
	{"a key with a NUL",
	 PAGE(ITEM("b\\u0000c", "1") "," ITEM("b", "2"), ""), "b@2 ", ""},
	{"bytes that are no text",
	 PAGE(ITEM("\xff", "1") "," ITEM("b", "2"), ""), "\xef\xbf\xbd@1 b@2 ",
	 ""},
	{"the last one is broken, and more follow",
	 PAGE(ITEM("a", "1") "," ITEM("z", "null"), ",\"more_pages\":true"),
	 "a@1 ", "z"},
	{"a negative offset", PAGE(ITEM("a", "-1") "," ITEM("b", "2"), ""),
	 "b@2 ", ""},
	{"an offset of another era",
	 PAGE(ITEM("a", "1099511627776") "," ITEM("b", "2"), ""), "b@2 ", ""},
	{"no end", "{\"items\":[]}", NULL, ""},
	{"a negative end", "{\"items\":[],\"end\":-1}", NULL, ""},
	{"an end of another era", "{\"items\":[],\"end\":1099511627776}", NULL,
	 ""},
	{"an end as a fraction", "{\"items\":[],\"end\":1.5}", NULL, ""},
	{"items that are no list", "{\"items\":{},\"end\":9}", NULL, ""},
	{"more without a key", PAGE("", ",\"more_pages\":true"), "", ""},
	{"malformed base64",
	 PAGE("{\"key\":\"a\",\"value\":\"%%\",\"offset\":1}", ""), "a@1 ", ""},
	{"no JSON", "{", NULL, ""},
};

/* A malformed item must not hide the others. */
static void test_snapshot(gconstpointer data)
{
	const struct snapshot_row *row = data;
	struct snapshot_seen seen = {.keys = g_string_new(NULL)};

	g_assert_true(store_read_snapshot(row->text, strlen(row->text), 0,
					  on_snapshot,
					  &seen) == (row->keys != NULL));
	g_assert_cmpuint(seen.calls, ==, row->keys ? 1 : 0);
	g_assert_cmpstr(seen.keys->str, ==, row->keys ? row->keys : "");
	g_assert_cmpstr(seen.more, ==, row->more);
	g_string_free(seen.keys, TRUE);
}

/* ---- backpressure signals ---- */

struct limit_row {
	const char *name;
	const char *value;
	double limit; /* negative: the value is ignored */
};

static const struct limit_row limit_rows[] = {
	{"integer", "5", 5.0},
	{"decimal", "8.9", 8.9},
	{"zero", "0", 0.0},
	{"empty", "", -1.0},
	{"negative", "-1", -1.0},
	{"no number", "many", -1.0},
	{"exponent", "1e3", -1.0},
	{"not a number", "nan", -1.0},
	{"infinite", "inf", -1.0},
	{"two decimal points", "1.2.3", -1.0},
	{"unit", "5/s", -1.0},
	{"huge", "99999999999999999999999999999999", -1.0},
	{"only a decimal point", ".", -1.0},
};

/* The answers arrive at 08:49:37 on the date in the rows. */
#define ARRIVED_UNIX_SEC INT64_C(784111777)

static void signals_read(int status, const char *name, const char *value,
			 struct backpressure_signals *signals)
{
	const struct web_header headers[] = {
		{{"server-signature", 16}, {"s", 1}},
		{{name, strlen(name)}, {value, strlen(value)}},
	};
	const struct signals_answer answer = {
		.status = status,
		.unix_usec = ARRIVED_UNIX_SEC * USEC_PER_SEC,
		.headers = headers,
		.count = G_N_ELEMENTS(headers),
	};

	platform_signals_read(&answer, signals);
}

static void test_limit(const void *data)
{
	const struct limit_row *row = data;
	struct backpressure_signals signals;

	signals_read(200, "server-limit", row->value, &signals);
	g_assert_cmpint(signals.limited, ==, row->limit >= 0.0);
	if (signals.limited)
		g_assert_cmpfloat(signals.limit, ==, row->limit);
	g_assert_false(signals.leaving);
	g_assert_cmpint(signals.backoff_usec, ==, 0);
}

struct backoff_row {
	const char *name;
	int status;
	const char *value;
	int64_t msec;
};

static const struct backoff_row backoff_rows[] = {
	{"seconds", 503, "3", 3000},
	{"fraction", 503, "0.25", 250},
	{"nothing", 503, "0", 0},
	{"date", 503, "Sun, 06 Nov 1994 08:49:41 GMT", 4000},
	{"date in the past", 503, "Sun, 06 Nov 1994 08:49:30 GMT", 0},
	{"date far in the future", 503, "Sun, 06 Nov 2094 08:49:37 GMT",
	 300000},
	{"no date", 503, "Sun, 06 Nov 1994", 0},
	{"other zone", 503, "Sun, 06 Nov 1994 08:49:41 CET", 0},
	{"huge", 503, "99999999999", 300000},
	{"negative", 503, "-3", 0},
	{"no number", 503, "soon", 0},
	{"not a number", 503, "nan", 0},
	{"empty", 503, "", 0},
	{"for the caller", 429, "3", 0},
	{"after a success", 200, "3", 0},
};

static void test_backoff(const void *data)
{
	const struct backoff_row *row = data;
	struct backpressure_signals signals;

	signals_read(row->status, "retry-after", row->value, &signals);
	g_assert_cmpint(signals.backoff_usec, ==, row->msec * USEC_PER_MSEC);
}

static void test_cold(void)
{
	struct backpressure_signals signals;

	signals_read(200, "cold-ms", "2500", &signals);
	g_assert_cmpint(signals.cold_usec, ==, 2500 * USEC_PER_MSEC);
	signals_read(503, "cold-ms", "0.5", &signals);
	g_assert_cmpint(signals.cold_usec, ==, 500);
	signals_read(200, "cold-ms", "soon", &signals);
	g_assert_cmpint(signals.cold_usec, ==, 0);
	signals_read(200, "cold-ms", "999999999999", &signals);
	g_assert_cmpint(signals.cold_usec, ==, BACKPRESSURE_COLD_MAX_USEC);
}

static void test_leaving(void)
{
	struct backpressure_signals signals;

	signals_read(200, "server-leaving", "1", &signals);
	g_assert_true(signals.leaving);
	signals_read(503, "server-leaving", "1", &signals);
	g_assert_true(signals.leaving);
	signals_read(200, "server-leaving", "0", &signals);
	g_assert_false(signals.leaving);
	signals_read(200, "server-leaving", "", &signals);
	g_assert_false(signals.leaving);
}

/* ---- fuzz ---- */

/* Seeded mutations of valid documents must not be read past their end. */
static void test_fuzz(void)
{
	static const char *const seeds[] = {
		CONFIG(ROUTE, SERVICE),
		"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		"\"slots\":12,\"state\":\"ready\",\"stage\":\"decode\"}",
		"{\"handle\":\"3fa0\",\"tokens\":14,\"version\":1}",
	};
	GRand *rand = g_rand_new_with_seed(21);

	for (int i = 0; i < 20000; i++) {
		const char *seed = seeds[i % (int)G_N_ELEMENTS(seeds)];
		size_t size = strlen(seed);
		g_autofree char *text = g_strndup(seed, size);
		struct backend_info info;
		struct backpressure_signals signals;
		struct feed_page page;
		struct error err;
		char handle[16];

		for (int k = g_rand_int_range(rand, 0, 4); k > 0; k--)
			text[g_rand_int_range(rand, 0, (gint32)size)] =
				(char)g_rand_int_range(rand, 0, 256);
		catalog_unref(decode_catalog(text, size, &err));
		(void)decode_backend("i", text, size, &info, &err);
		(void)runner_text_read(text, size, "handle", handle,
				       sizeof(handle));
		signals_read(503, i % 2 ? "retry-after" : "server-limit", text,
			     &signals);
		if (store_read_keyed(text, size, 0, &page, &err))
			g_free((void *)page.records);
	}
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ROWS_ADD("/platform/config/", configs, test_config_refused);
	ROWS_ADD("/platform/entry/", entries, test_entry_refused);
	ROWS_ADD("/platform/snapshot/", snapshots, test_snapshot);
	ROWS_ADD("/platform/repeat/", repeat_rows, test_repeat);
	ROWS_ADD("/platform/evacuation/", evacuation_rows, test_evacuation);
	ROWS_ADD("/platform/tokens/", token_rows, test_tokens);
	ROWS_ADD("/platform/prompt/", prompts, test_prompt);
	g_test_add_func("/platform/prompt/bounded", test_prompt_bounded);
	g_test_add_func("/platform/config/large-memory", test_large_memory);
	g_test_add_func("/platform/offset-of-another-era",
			test_offset_of_another_era);
	g_test_add_func("/platform/entry/unsendable-id", test_unsendable_id);
	ROWS_ADD("/platform/limit/", limit_rows, test_limit);
	ROWS_ADD("/platform/backoff/", backoff_rows, test_backoff);
	g_test_add_func("/platform/leaving", test_leaving);
	g_test_add_func("/platform/cold", test_cold);
	g_test_add_func("/platform/regions", test_regions);
	g_test_add_func("/platform/organisations", test_organisations);
	g_test_add_func("/platform/config", test_config);
	g_test_add_func("/platform/unknown-kind", test_unknown_kind);
	g_test_add_func("/platform/entry", test_entry);
	g_test_add_func("/platform/software", test_software);
	g_test_add_func("/platform/newer", test_newer);
	g_test_add_func("/platform/outdated", test_outdated);
	g_test_add_func("/platform/positions", test_positions);
	g_test_add_func("/platform/keyed", test_keyed);
	g_test_add_func("/platform/fuzz", test_fuzz);
	return g_test_run();
}
