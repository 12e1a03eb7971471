#include <string.h>

#include "common/clock.h"
#include "session.h"
#include "web/client.h"
#include "web/loop.h"

#define HEADERS_MAX 16
#define POLL_USEC (20 * USEC_PER_MSEC)
#define BODY_MAX (64u << 20)

struct call {
	struct session *session;
	char *name;
	struct web_call *http;
	GString *head; /* header lines that the transcript shows */
	GString *body;
	int status;
	bool ended;
	bool complete;
	bool hung_up;
};

/* All other headers vary from run to run or are irrelevant to a session. */
static const char *const shown_headers[] = {"content-type",  "jt-outcome",
					    "jt-request-id", "jt-result",
					    "retry-after",   NULL};

static bool header_shown(const char *name)
{
	return g_strv_contains(shown_headers, name);
}

static void call_head(void *ctx, int status, const struct web_header *headers,
		      size_t count)
{
	struct call *call = ctx;

	call->status = status;
	for (size_t i = 0; i < count; i++) {
		char *name =
			g_strndup(headers[i].name.data, headers[i].name.size);

		if (header_shown(name))
			g_string_append_printf(call->head, "%s: %.*s\n", name,
					       (int)headers[i].value.size,
					       headers[i].value.data);
		g_free(name);
	}
}

static void call_body(void *ctx, const void *data, size_t size)
{
	struct call *call = ctx;

	g_string_append_len(call->body, data, (gssize)size);
}

static void call_done(void *ctx, const struct web_result *result)
{
	struct call *call = ctx;

	call->http = NULL;
	call->ended = true;
	call->complete = result->ok;
}

void call_free(void *data)
{
	struct call *call = data;

	if (call->http != NULL)
		web_call_cancel(call->http);
	g_string_free(call->head, TRUE);
	g_string_free(call->body, TRUE);
	g_free(call->name);
	g_free(call);
}

/* Parses leading "name:value" arguments; returns how many there are. */
static size_t headers_parse(int argc, char **argv, struct web_header *headers)
{
	size_t count = 0;

	for (int i = 0; i < argc && count < HEADERS_MAX; i++) {
		char *colon = strchr(argv[i], ':');

		if (strchr("{@", argv[i][0]) != NULL || colon == NULL)
			break;
		headers[count++] = (struct web_header){
			{argv[i], (size_t)(colon - argv[i])},
			{colon + 1, strlen(colon + 1)},
		};
	}
	return count;
}

/* "@FILE" stands for the content of the file; NULL when it cannot be read. */
static char *body_load(const char *text)
{
	char *body = NULL;

	if (*text != '@')
		return g_strdup(text);
	g_file_get_contents(text + 1, &body, NULL, NULL);
	return body;
}

bool http_call(struct session *session, int argc, char **argv)
{
	static const struct web_call_ops ops = {call_head, call_body,
						call_done};
	struct web_header headers[HEADERS_MAX];
	struct web_call_spec spec = {
		.headers = headers,
		.head_usec = SESSION_TIMEOUT_SEC * USEC_PER_SEC,
		.idle_usec = SESSION_TIMEOUT_SEC * USEC_PER_SEC,
	};
	struct call *call;
	char *body;
	int rest;

	if (argc < 5)
		return session_fail(session, "call NAME METHOD ADDRESS PATH "
					     "[HEADER:VALUE...] [BODY]");
	spec.method = argv[2];
	spec.address = argv[3];
	spec.path = argv[4];
	spec.header_count = headers_parse(argc - 5, argv + 5, headers);
	rest = 5 + (int)spec.header_count;
	body = body_load(rest < argc ? argv[rest] : "");
	if (body == NULL)
		return session_fail(session, "%s: cannot read", argv[rest]);
	spec.body = body;
	spec.body_size = strlen(body);
	call = g_new0(struct call, 1);
	call->session = session;
	call->name = g_strdup(argv[1]);
	call->head = g_string_new(NULL);
	call->body = g_string_new(NULL);
	call->http = web_call(session->client, &spec, &ops, call);
	g_hash_table_replace(session->calls, call->name, call);
	g_free(body);
	return true;
}

static struct call *call_find(struct session *session, const char *name)
{
	struct call *call =
		name ? g_hash_table_lookup(session->calls, name) : NULL;

	if (call == NULL)
		session_fail(session, "no call %s", name ? name : "given");
	return call;
}

static bool call_ended(void *ctx)
{
	const struct call *call = ctx;

	return call->ended;
}

struct event_wait {
	const struct call *call;
	int64_t count;
};

static bool events_received(void *ctx)
{
	struct event_wait *wait = ctx;
	const char *at = wait->call->body->str;
	int64_t count = 0;

	while ((at = strstr(at, "data: ")) != NULL) {
		at += strlen("data: ");
		count++;
	}
	return count >= wait->count || wait->call->ended;
}

/* await NAME N: waits until N events have arrived. */
bool http_await(struct session *session, int argc, char **argv)
{
	struct event_wait wait = {.call = call_find(session, argv[1])};

	if (wait.call == NULL || argc < 3)
		return false;
	wait.count = g_ascii_strtoll(argv[2], NULL, 10);
	if (!session_wait_until(session, events_received, &wait) ||
	    wait.call->ended)
		return session_fail(session, "%s: too few events", argv[1]);
	return true;
}

/* Shows the concatenated text of the events, independent of how the text was
 * split, followed by all other lines. */
static void events_show(struct session *session, const char *body)
{
	GString *text = g_string_new("text: ");
	char **lines = g_strsplit(body, "\n", -1);

	for (char **line = lines; *line != NULL; line++) {
		json_t *json = NULL;
		json_t *choice;
		const char *piece;

		if (g_str_has_prefix(*line, "data: "))
			json = json_loads(*line + strlen("data: "), 0, NULL);
		choice = json_array_get(json_object_get(json, "choices"), 0);
		piece = json_string_value(json_object_get(choice, "text"));
		if (piece != NULL)
			g_string_append(text, piece);
		else if (**line != '\0')
			g_string_append_printf(text, "\n%s", *line);
		json_decref(json);
	}
	session_show(session, text->str);
	g_strfreev(lines);
	g_string_free(text, TRUE);
}

/* answer NAME [text]: shows the complete answer, or with "text" the joined text
 * of a stream. */
bool http_answer(struct session *session, int argc, char **argv)
{
	struct call *call = call_find(session, argv[1]);
	char *status;

	if (call == NULL)
		return false;
	if (!session_wait_until(session, call_ended, call))
		return session_fail(session, "%s is not answered", argv[1]);
	status = g_strdup_printf("status %d%s", call->status,
				 call->complete ? "" : ", not whole");
	session_show(session, status);
	g_free(status);
	session_show(session, call->head->str);
	if (argc > 2 && strcmp(argv[2], "text") == 0)
		events_show(session, call->body->str);
	else
		session_show(session, call->body->str);
	return true;
}

static int text_compare(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* answers NAME...: shows statuses and headers, sorted, since the calls end in
 * any order. */
bool http_answers(struct session *session, int argc, char **argv)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	bool ok = true;

	for (int i = 1; ok && i < argc; i++) {
		struct call *call = call_find(session, argv[i]);

		ok = call != NULL &&
		     session_wait_until(session, call_ended, call);
		if (ok)
			g_ptr_array_add(lines,
					g_strdup_printf("status %d\n%s",
							call->status,
							call->head->str));
	}
	g_ptr_array_sort(lines, text_compare);
	for (guint i = 0; i < lines->len; i++)
		session_show(session, g_ptr_array_index(lines, i));
	g_ptr_array_free(lines, TRUE);
	return ok || session_fail(session, "not all are answered");
}

bool http_hang_up(struct session *session, int argc, char **argv)
{
	struct call *call = call_find(session, argv[1]);

	if (call == NULL)
		return false;
	if (call->http == NULL)
		return session_fail(session, "%s has ended", argv[1]);
	web_call_cancel(call->http);
	call->http = NULL;
	call->ended = true;
	return true;
}

struct fetch {
	json_t *json;
	bool ended;
};

static void fetch_answered(void *ctx, const struct web_result *result,
			   int status, const void *body, size_t size)
{
	struct fetch *fetch = ctx;

	fetch->ended = true;
	if (result->ok)
		fetch->json = json_loadb(body, size, 0, NULL);
}

static bool fetch_ended(void *ctx)
{
	const struct fetch *fetch = ctx;

	return fetch->ended;
}

static json_t *fetch(struct session *session, const char *method,
		     const char *address, const char *path, const char *body)
{
	struct web_call_spec spec = {
		.method = method,
		.address = address,
		.path = path,
		.body = body,
		.body_size = strlen(body),
		.head_usec = 5 * USEC_PER_SEC,
	};
	struct fetch fetch = {0};

	web_fetch(session->client, &spec, BODY_MAX, fetch_answered, &fetch);
	while (!fetch.ended)
		session_wait_until(session, fetch_ended, &fetch);
	return fetch.json;
}

static bool number_compare(int64_t value, const char *op, int64_t other)
{
	if (strcmp(op, "==") == 0)
		return value == other;
	if (strcmp(op, ">=") == 0)
		return value >= other;
	return strcmp(op, "<=") == 0 && value <= other;
}

static int64_t fetch_sum(struct session *session, const char *addresses,
			 const char *path, const char *query)
{
	char **list = g_strsplit(addresses, ",", -1);
	int64_t sum = 0;

	for (char **address = list; *address != NULL; address++) {
		json_t *json = fetch(session, "GET", *address, path, "");

		sum += query_number(json, query);
		json_decref(json);
	}
	g_strfreev(list);
	return sum;
}

static bool timer_expired(void *ctx)
{
	const struct timer *timer = ctx;

	return !timer_running(timer);
}

static void timer_noop(struct timer *timer, void *ctx)
{
}

static void poll_pause(struct session *session)
{
	struct timer timer;

	timer_init(&timer, session->clock, timer_noop, NULL);
	timer_start(&timer, POLL_USEC);
	session_wait_until(session, timer_expired, &timer);
}

/* poll ADDRESS,... PATH QUERY ==|>=|<= NUMBER: waits until the sum over all
 * addresses satisfies the comparison. */
bool http_poll(struct session *session, int argc, char **argv)
{
	int64_t end =
		clock_now(session->clock) + SESSION_TIMEOUT_SEC * USEC_PER_SEC;
	int64_t wanted;
	int64_t value;

	if (argc != 6)
		return session_fail(session, "poll ADDRESS,... PATH QUERY "
					     "==|>=|<= NUMBER");
	wanted = g_ascii_strtoll(argv[5], NULL, 10);
	for (;;) {
		value = fetch_sum(session, argv[1], argv[2], argv[3]);
		if (number_compare(value, argv[4], wanted))
			return true;
		if (clock_now(session->clock) > end)
			return session_fail(session, "%s is %" G_GINT64_FORMAT,
					    argv[3], value);
		poll_pause(session);
	}
}

/* set METHOD ADDRESS PATH [BODY]: a call that must be answered with a JSON
 * object without a member "error". */
bool http_set(struct session *session, int argc, char **argv)
{
	json_t *json;
	bool ok;

	if (argc < 4)
		return session_fail(session, "set METHOD ADDRESS PATH [BODY]");
	json = fetch(session, argv[1], argv[2], argv[3],
		     argc > 4 ? argv[4] : "");
	ok = json_is_object(json) && json_object_get(json, "error") == NULL;
	json_decref(json);
	return ok || session_fail(session, "%s is refused", argv[3]);
}

/* read NAME ADDRESS,... PATH QUERY: sets a variable to the sum over all
 * addresses. */
bool http_read(struct session *session, int argc, char **argv)
{
	if (argc != 5)
		return session_fail(session,
				    "read NAME ADDRESS,... PATH QUERY");
	g_hash_table_replace(
		session->variables, g_strdup(argv[1]),
		g_strdup_printf("%" G_GINT64_FORMAT,
				fetch_sum(session, argv[2], argv[3], argv[4])));
	return true;
}

/* Whether all addresses return an equal member; false when it is missing. */
static bool members_equal(struct session *session, const char *addresses,
			  const char *path, const char *member)
{
	char **list = g_strsplit(addresses, ",", -1);
	json_t *first = NULL;
	bool same = true;

	for (char **address = list; same && *address != NULL; address++) {
		json_t *json = fetch(session, "GET", *address, path, "");
		json_t *value = json_object_get(json, member);

		same = value != NULL &&
		       (first == NULL || json_equal(first, value));
		if (first == NULL)
			first = json_incref(value);
		json_decref(json);
	}
	json_decref(first);
	g_strfreev(list);
	return same;
}

/* same ADDRESS,... PATH MEMBER: waits until the member is equal at all
 * addresses. */
bool http_same(struct session *session, int argc, char **argv)
{
	int64_t end =
		clock_now(session->clock) + SESSION_TIMEOUT_SEC * USEC_PER_SEC;

	if (argc != 4)
		return session_fail(session, "same ADDRESS,... PATH MEMBER");
	while (!members_equal(session, argv[1], argv[2], argv[3])) {
		if (clock_now(session->clock) > end)
			return session_fail(session, "%s differs", argv[3]);
		poll_pause(session);
	}
	return true;
}
