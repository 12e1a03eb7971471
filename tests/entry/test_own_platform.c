/* The platform adapter against a fake platform with scripted answers. */
#include <string.h>

#include <glib.h>

#include "common/log.h"
#include "entry/own_platform.h"
#include "rows.h"
#include "run.h"
#include "web/server.h"

#define CALL_TIMEOUT_USEC (50 * USEC_PER_MSEC)
/* For calls that must still be in flight when the test checks them. A pause of
 * the test process by 80 ms ends a call of CALL_TIMEOUT_USEC. */
#define LONG_CALL_TIMEOUT_USEC (1 * USEC_PER_SEC)
#define LIST_INTERVAL_USEC (20 * USEC_PER_MSEC)

enum behaviour {
	ANSWER,
	ABORT,		/* the answer is aborted after its first bytes */
	HANG,		/* no answer until the call times out */
	NOT_LISTENING,	/* the address refuses connections */
	NOT_CONFIGURED, /* no address is configured */
};

struct fake {
	struct run run;
	struct web_client *client;
	struct web_server *server;
	struct platform *platform;
	enum behaviour behaviour;
	int status;
	const char *body;
	const char *list;	   /* body of GET /instances */
	const char *tag;	   /* its ETag; NULL: none */
	int unchanged;		   /* number of 304 answers */
	uint32_t periods_per_read; /* 0: 1 */
	int reads;
	GString *calls; /* "METHOD path body\n" */
	int hung;
	/* Results passed to the callbacks. */
	int answers;
	enum result_code code;
	uint64_t offset;
	GString *records;
	GString *listed;
	int sweeps;
};

static void call_record(struct fake *fake, const struct web_request *request)
{
	struct web_text method = web_request_method(request);
	struct web_text path = web_request_path(request);
	struct web_text query = web_request_query(request);
	struct web_text body = web_request_body(request);

	g_string_append_printf(fake->calls, "%.*s %.*s%s%.*s %.*s\n",
			       (int)method.size, method.data, (int)path.size,
			       path.data, query.size ? "?" : "",
			       (int)query.size, query.data,
			       (int)MIN(body.size, 400), body.data);
}

static void hung_gone(void *ctx)
{
	((struct fake *)ctx)->hung--;
}

static void on_log(void *ctx, struct web_request *request)
{
	struct fake *fake = ctx;

	call_record(fake, request);
	if (fake->behaviour == HANG) {
		fake->hung++;
		web_request_on_gone(request, hung_gone, fake);
		return;
	}
	if (fake->behaviour == ABORT) {
		web_reply_start(request, fake->status, "application/json");
		web_reply_piece(request, "{\"off", 5);
		web_reply_abort(request);
		return;
	}
	web_reply(request, fake->status, "application/json", fake->body,
		  strlen(fake->body));
}

static bool list_known(const struct fake *fake,
		       const struct web_request *request)
{
	struct web_text known = web_request_header(request, "if-none-match");

	return fake->tag && web_text_is(known, fake->tag);
}

static void on_instances(void *ctx, struct web_request *request)
{
	struct fake *fake = ctx;
	const char *body = "{}";

	if (web_request_method(request).data[0] != 'G') {
		call_record(fake, request);
	} else if (list_known(fake, request)) {
		fake->unchanged++;
		web_reply(request, 304, "application/json", "", 0);
		return;
	} else {
		fake->reads++;
		body = fake->list;
		if (fake->tag)
			web_reply_header(request, "etag", fake->tag);
	}
	web_reply(request, fake->status, "application/json", body,
		  strlen(body));
}

static void fake_setup_limit(struct fake *fake, enum behaviour behaviour,
			     int64_t call_usec)
{
	struct web_limits limits = {
		.body_bytes = 1u << 20,
		.connections = 16,
		.idle_usec = 5 * USEC_PER_SEC,
		.request_usec = 5 * USEC_PER_SEC,
	};

	*fake = (struct fake){.behaviour = behaviour, .status = 200};
	run_setup(&fake->run);
	fake->client = web_client_create(fake->run.loop);
	fake->server =
		web_server_create(fake->run.loop, "127.0.0.1:0", &limits, NULL);
	g_assert_nonnull(fake->server);
	web_server_handle(fake->server, "/log", on_log, fake);
	web_server_handle(fake->server, "/instances", on_instances, fake);
	fake->calls = g_string_new(NULL);
	fake->records = g_string_new(NULL);
	fake->listed = g_string_new(NULL);
	g_autofree char *address = g_strdup(web_server_address(fake->server));
	if (behaviour == NOT_LISTENING) {
		web_server_destroy(fake->server);
		fake->server = NULL;
	}
	struct platform_settings settings = {
		.address = behaviour == NOT_CONFIGURED ? NULL : address,
		.call_usec = call_usec,
		.list_usec = LIST_INTERVAL_USEC,
		.seed = 1,
	};

	fake->platform = platform_create(fake->run.loop, fake->client,
					 fake->run.counters, &settings);
}

static void fake_setup(struct fake *fake, enum behaviour behaviour)
{
	fake_setup_limit(fake, behaviour, CALL_TIMEOUT_USEC);
}

static void fake_teardown(struct fake *fake)
{
	platform_destroy(fake->platform);
	web_client_destroy(fake->client);
	web_server_destroy(fake->server);
	run_teardown(&fake->run);
	g_string_free(fake->calls, TRUE);
	g_string_free(fake->records, TRUE);
	g_string_free(fake->listed, TRUE);
}

static bool answered(void *ctx)
{
	return ((struct fake *)ctx)->answers > 0;
}

static void on_appended(void *ctx, enum result_code code, uint64_t offset)
{
	struct fake *fake = ctx;

	fake->answers++;
	fake->code = code;
	fake->offset = offset;
}

struct append_case {
	const char *name;
	enum behaviour behaviour;
	int status;
	const char *body;
	enum result_code code;
	bool reached; /* the fake saw the call */
};

static const struct append_case append_cases[] = {
	{"appended", ANSWER, 200, "{\"offset\": 7}", RESULT_OK, true},
	{"no-offset", ANSWER, 200, "{}", RESULT_LOG_UNKNOWN, true},
	{"negative", ANSWER, 200, "{\"offset\": -1}", RESULT_LOG_UNKNOWN, true},
	{"text-offset", ANSWER, 200, "{\"offset\": \"7\"}", RESULT_LOG_UNKNOWN,
	 true},
	{"garbage", ANSWER, 200, "\xff\x01{", RESULT_LOG_UNKNOWN, true},
	{"empty", ANSWER, 200, "", RESULT_LOG_UNKNOWN, true},
	{"other-2xx", ANSWER, 202, "{\"offset\": 7}", RESULT_LOG_UNKNOWN, true},
	{"bad-request", ANSWER, 400, "{}", RESULT_LOG_DOWN, true},
	{"too-large", ANSWER, 413, "{}", RESULT_LOG_DOWN, true},
	{"over-the-rate", ANSWER, 429, "{}", RESULT_LOG_DOWN, true},
	{"defect", ANSWER, 500, "{}", RESULT_LOG_UNKNOWN, true},
	{"bad-gateway", ANSWER, 502, "{}", RESULT_LOG_UNKNOWN, true},
	{"outage", ANSWER, 503, "{}", RESULT_LOG_DOWN, true},
	{"lost-answer", ABORT, 200, "", RESULT_LOG_UNKNOWN, true},
	{"timeout", HANG, 200, "", RESULT_LOG_UNKNOWN, true},
	{"absent", NOT_LISTENING, 200, "", RESULT_LOG_DOWN, false},
	{"no-platform", NOT_CONFIGURED, 200, "", RESULT_LOG_DOWN, false},
};

static void test_append(gconstpointer data)
{
	const struct append_case *row = data;
	const struct log_store *store;
	struct fake fake;

	fake_setup(&fake, row->behaviour);
	fake.status = row->status;
	fake.body = row->body;
	store = platform_log(fake.platform);
	store->append(store->ctx, "claims", "abc", 3, on_appended, &fake);
	g_assert_cmpint(fake.answers, ==, 0);
	g_assert_true(run_until(&fake.run, answered, &fake));
	run_for(&fake.run, 2 * CALL_TIMEOUT_USEC);
	g_assert_cmpint(fake.answers, ==, 1);
	g_assert_cmpstr(result_label(fake.code), ==, result_label(row->code));
	if (row->code == RESULT_OK)
		g_assert_cmpuint(fake.offset, ==, 7);
	g_assert_cmpstr(fake.calls->str, ==,
			row->reached ? "POST /log/claims abc\n" : "");
	g_assert_cmpint(fake.hung, ==, 0);
	fake_teardown(&fake);
}

static void test_append_oversize(void)
{
	g_autofree char *data = g_malloc0(PLATFORM_RECORD_MAX + 1);
	const struct log_store *store;
	struct fake fake;

	fake_setup(&fake, ANSWER);
	store = platform_log(fake.platform);
	store->append(store->ctx, "claims", data, PLATFORM_RECORD_MAX + 1,
		      on_appended, &fake);
	g_assert_true(run_until(&fake.run, answered, &fake));
	g_assert_cmpint(fake.code, ==, RESULT_LOG_DOWN);
	g_assert_cmpstr(fake.calls->str, ==, "");
	fake_teardown(&fake);
}

static void on_page(void *ctx, enum result_code code,
		    const struct log_page *page)
{
	struct fake *fake = ctx;

	fake->answers++;
	fake->code = code;
	if (!page)
		return;
	g_string_append_printf(fake->records, "%u..%u", (unsigned)page->first,
			       (unsigned)page->next);
	for (size_t i = 0; i < page->count; i++)
		g_string_append_printf(fake->records, " %u@%u=%.*s",
				       (unsigned)page->records[i].offset,
				       (unsigned)page->records[i].unix_us,
				       (int)page->records[i].size,
				       (const char *)page->records[i].data);
}

struct read_case {
	const char *name;
	enum behaviour behaviour;
	int status;
	const char *body;
	const char *records; /* NULL: RESULT_LOG_DOWN */
};

static const struct read_case read_cases[] = {
	{"page", ANSWER, 200,
	 "{\"first\": 3, \"next\": 9, \"records\": ["
	 "{\"offset\": 7, \"unix_us\": 5, \"data\": \"YWI=\"},"
	 "{\"offset\": 8, \"unix_us\": 6, \"data\": \"\"}]}",
	 "3..9 7@5=ab 8@6="},
	{"none-yet", ANSWER, 200,
	 "{\"first\": 0, \"next\": 0, \"records\": []}", "0..0"},
	{"no-records", ANSWER, 200, "{\"first\": 0, \"next\": 0}", NULL},
	{"no-data", ANSWER, 200,
	 "{\"first\": 0, \"next\": 1, \"records\": [{\"offset\": 0}]}", NULL},
	{"garbage", ANSWER, 200, "[", NULL},
	{"outage", ANSWER, 503, "{}", NULL},
	{"lost-answer", ABORT, 200, "", NULL},
	{"timeout", HANG, 200, "", NULL},
	{"absent", NOT_LISTENING, 200, "", NULL},
	{"no-platform", NOT_CONFIGURED, 200, "", NULL},
};

static void test_read(gconstpointer data)
{
	const struct read_case *row = data;
	const struct log_store *store;
	struct fake fake;

	fake_setup(&fake, row->behaviour);
	fake.status = row->status;
	fake.body = row->body;
	store = platform_log(fake.platform);
	store->read(store->ctx, "config", 7, 1000, 20 * USEC_PER_MSEC, on_page,
		    &fake);
	g_assert_cmpint(fake.answers, ==, 0);
	g_assert_true(run_until(&fake.run, answered, &fake));
	g_assert_cmpint(fake.answers, ==, 1);
	g_assert_cmpint(fake.code, ==,
			row->records ? RESULT_OK : RESULT_LOG_DOWN);
	g_assert_cmpstr(fake.records->str, ==,
			row->records ? row->records : "");
	if (fake.calls->len > 0)
		g_assert_cmpstr(fake.calls->str, ==,
				"GET /log/config?from=7&max=32&wait_ms=20 \n");
	fake_teardown(&fake);
}

/* platform_destroy() aborts the calls in flight. Each callback must run exactly
 * once, since the caller frees its state there. */
static void test_destroy(void)
{
	for (int reads = 0; reads < 2; reads++) {
		const struct log_store *store;
		struct fake fake;

		fake_setup_limit(&fake, HANG, LONG_CALL_TIMEOUT_USEC);
		store = platform_log(fake.platform);
		if (reads)
			store->read(store->ctx, "claims", 0, 1, 0, on_page,
				    &fake);
		else
			store->append(store->ctx, "claims", "x", 1, on_appended,
				      &fake);
		run_for(&fake.run, 5 * USEC_PER_MSEC);
		g_assert_cmpint(fake.answers, ==, 0);
		platform_destroy(fake.platform);
		fake.platform = NULL;
		g_assert_cmpint(fake.answers, ==, 1);
		g_assert_cmpint(fake.code, ==,
				reads ? RESULT_LOG_DOWN : RESULT_LOG_UNKNOWN);
		run_for(&fake.run, LONG_CALL_TIMEOUT_USEC + CALL_TIMEOUT_USEC);
		g_assert_cmpint(fake.answers, ==, 1);
		g_assert_cmpint(fake.hung, ==, 0);
		fake_teardown(&fake);
	}
}

/* The list. */

static void on_member(void *ctx, const struct member *member)
{
	struct fake *fake = ctx;

	g_string_append_printf(
		fake->listed, "member %s %s %s %s %u%s\n", member->name,
		member->data_centre, member->http_address, member->peer_address,
		(unsigned)member->incarnation,
		member->state == MEMBER_LEAVING ? " leaving" : "");
}

static void on_backend(void *ctx, const struct backend *backend)
{
	struct fake *fake = ctx;

	g_string_append_printf(fake->listed, "backend %s %s %s %s %u%s\n",
			       backend->name, backend->pool,
			       backend->data_centre, backend->address,
			       (unsigned)backend->incarnation,
			       backend->leaving ? " leaving" : "");
}

static void on_read_complete(void *ctx)
{
	struct fake *fake = ctx;

	fake->sweeps++;
	g_string_append(fake->listed, "swept\n");
}

static uint32_t on_periods_per_read(void *ctx)
{
	const struct fake *fake = ctx;

	return fake->periods_per_read ? fake->periods_per_read : 1;
}

static const struct platform_list_ops list_ops = {
	.member = on_member,
	.backend = on_backend,
	.read_complete = on_read_complete,
	.periods_per_read = on_periods_per_read,
};

static const struct platform_self self = {
	.name = "e1",
	.data_centre = "d1",
	.address = "1.1.1.1:1",
	.peer_address = "1.1.1.1:2",
	.admin_address = "1.1.1.1:3",
	.incarnation = 10,
};

#define ITEM(kind, name, rest)                                                 \
	"{\"name\":\"" name "\",\"kind\":\"" kind                              \
	"\",\"data_centre\":\"d1\",\"address\":\"1.1.1.1:1\"," rest "}"
#define SELF_PUT(state)                                                        \
	"PUT /instances/e1 {\"name\":\"e1\",\"kind\":\"entry\",\"pool\":\"\"," \
	"\"data_centre\":\"d1\",\"address\":\"1.1.1.1:1\","                    \
	"\"peer_address\":\"1.1.1.1:2\",\"admin_address\":\"1.1.1.1:3\","      \
	"\"incarnation\":\"000000000000000a\",\"state\":\"" state "\"}\n"
#define SELF_ITEM(state)                                                       \
	ITEM("entry", "e1",                                                    \
	     "\"peer_address\":\"1.1.1.1:2\","                                 \
	     "\"incarnation\":\"000000000000000a\",\"state\":\"" state "\"")

static bool swept_once(void *ctx)
{
	return ((struct fake *)ctx)->sweeps > 0;
}

static bool swept_thrice(void *ctx)
{
	return ((struct fake *)ctx)->sweeps > 2;
}

static void test_list(void)
{
	struct fake fake;

	fake_setup(&fake, ANSWER);
	fake.list = "{\"instances\": [" SELF_ITEM("live") "," ITEM(
		"entry", "e2",
		"\"peer_address\":\"2.2.2.2:2\","
		"\"incarnation\":"
		"\"0000000000000005\",\"state\":"
		"\"leaving\"") "," ITEM("runner", "r1",
					"\"pool\":"
					"\"p\","
					"\"incarnation"
					"\":"
					"\"00000000000"
					"00006\"") "," ITEM("server", "s1",
							    "\"pool\":"
							    "\"q\","
							    "\"state\":"
							    "\"leaving"
							    "\"") "," ITEM("moo"
									   "n",
									   "x",
									   "\"p"
									   "ool"
									   "\":"
									   "\"q"
									   "\"") "," ITEM("runner",
											  "no-pool",
											  "\"state\":\"live\"") ", 17, null,"
														"{\"name\": 3, \"kind\": \"entry\"}]}";
	platform_list_start(fake.platform, &self, &list_ops, &fake);
	g_assert_cmpint(platform_listed_at(fake.platform), ==, -1);
	g_assert_true(run_until(&fake.run, swept_once, &fake));
	g_assert_cmpstr(fake.listed->str, ==,
			"member e2 d1 1.1.1.1:1 2.2.2.2:2 5 leaving\n"
			"backend r1 p d1 1.1.1.1:1 6\n"
			"backend s1 q d1 1.1.1.1:1 0 leaving\n"
			"swept\n");
	g_assert_cmpint(run_counter(&fake.run, "jt_list_malformed_total", NULL),
			==, 5);
	g_assert_cmpint(platform_listed_at(fake.platform), >=, 0);
	/* The list has the up-to-date own entry: it is registered only once. */
	g_assert_true(run_until(&fake.run, swept_thrice, &fake));
	g_assert_cmpstr(fake.calls->str, ==, SELF_PUT("live"));
	/* A leaving instance registers again until the list shows it. */
	g_string_truncate(fake.calls, 0);
	platform_leave(fake.platform);
	fake.sweeps = 0;
	g_assert_true(run_until(&fake.run, swept_once, &fake));
	g_assert_true(g_str_has_prefix(fake.calls->str, SELF_PUT("leaving")));
	fake.list = "{\"instances\": [" SELF_ITEM("leaving") "]}";
	fake.sweeps = 0;
	g_assert_true(run_until(&fake.run, swept_thrice, &fake));
	g_string_truncate(fake.calls, 0);
	fake.sweeps = 0;
	g_assert_true(run_until(&fake.run, swept_thrice, &fake));
	g_assert_cmpstr(fake.calls->str, ==, "");
	fake_teardown(&fake);
}

static bool unchanged_thrice(void *ctx)
{
	return ((struct fake *)ctx)->unchanged > 2;
}

static bool read_twice(void *ctx)
{
	return ((struct fake *)ctx)->sweeps > 1;
}

/* An unchanged list (304) has no body and counts as read. */
static void test_list_unchanged(void)
{
	struct fake fake;

	fake_setup(&fake, ANSWER);
	fake.list = "{\"instances\": [" SELF_ITEM("live") "]}";
	fake.tag = "\"one\"";
	platform_list_start(fake.platform, &self, &list_ops, &fake);
	g_assert_true(run_until(&fake.run, swept_once, &fake));
	int64_t first = platform_listed_at(fake.platform);

	g_assert_true(run_until(&fake.run, unchanged_thrice, &fake));
	g_assert_cmpint(fake.sweeps, ==, 1);
	g_assert_cmpint(fake.reads, ==, 1);
	g_assert_cmpint(platform_listed_at(fake.platform), >, first);
	g_assert_cmpstr(fake.calls->str, ==, SELF_PUT("live"));
	g_assert_cmpint(
		run_counter(&fake.run, "jt_list_read_failures_total", NULL), ==,
		0);
	fake.tag = "\"two\"";
	g_assert_true(run_until(&fake.run, read_twice, &fake));
	g_assert_cmpint(fake.sweeps, ==, 2);
	fake_teardown(&fake);
}

/* The list is read once in periods_per_read periods. */
static void test_list_every(void)
{
	struct fake fake;

	fake_setup(&fake, ANSWER);
	fake.periods_per_read = 1000;
	fake.list = "{\"instances\": [" SELF_ITEM("live") "]}";
	platform_list_start(fake.platform, &self, &list_ops, &fake);
	run_for(&fake.run, 10 * LIST_INTERVAL_USEC);
	g_assert_cmpint(fake.reads, ==, 0);
	fake.periods_per_read = 2;
	g_assert_true(run_until(&fake.run, swept_thrice, &fake));
	g_assert_cmpint(fake.reads, ==, 3);
	fake_teardown(&fake);
}

static bool put_twice(void *ctx)
{
	const char *first = strstr(((struct fake *)ctx)->calls->str, "PUT");

	return first && strstr(first + 1, "PUT");
}

static bool list_failed(void *ctx)
{
	struct fake *fake = ctx;

	return run_counter(&fake->run, "jt_list_read_failures_total", NULL) > 1;
}

/* An empty list counts as read. An unreadable one does not, so read_complete is
 * not called. */
static void test_list_faults(void)
{
	static const char *const unreadable[] = {"", "[]", "{}",
						 "{\"instances\": 3}"};
	struct fake fake;

	fake_setup(&fake, ANSWER);
	fake.list = "{\"instances\": []}";
	platform_list_start(fake.platform, &self, &list_ops, &fake);
	g_assert_true(run_until(&fake.run, put_twice, &fake));
	g_assert_cmpint(fake.sweeps, >, 0);
	fake_teardown(&fake);
	for (size_t i = 0; i < G_N_ELEMENTS(unreadable) + 1; i++) {
		fake_setup(&fake, ANSWER);
		fake.list = i ? unreadable[i - 1] : "{\"instances\": []}";
		fake.status = i ? 200 : 503;
		platform_list_start(fake.platform, &self, &list_ops, &fake);
		g_assert_true(run_until(&fake.run, list_failed, &fake));
		g_assert_cmpstr(fake.listed->str, ==, "");
		fake_teardown(&fake);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, "test", LOG_EMERG);
	ROWS_ADD("/platform/append/", append_cases, test_append);
	ROWS_ADD("/platform/read/", read_cases, test_read);
	g_test_add_func("/platform/append/oversize", test_append_oversize);
	g_test_add_func("/platform/destroy", test_destroy);
	g_test_add_func("/platform/list", test_list);
	g_test_add_func("/platform/list-unchanged", test_list_unchanged);
	g_test_add_func("/platform/list-every", test_list_every);
	g_test_add_func("/platform/list-faults", test_list_faults);
	return g_test_run();
}
