/* Calls of each kind, and the checks of their answers against the site's
 * ledger. */
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

static const struct {
	const char *method;
	const char *path;
	bool stream;
	bool once;
} kinds[KINDS] = {
	[KIND_PLAIN] = {"GET", "/plain/x", false, false},
	[KIND_ONCE] = {"POST", "/once/x", false, true},
	[KIND_STREAM] = {"POST", "/stream/x", true, true},
	[KIND_RESUME] = {"POST", "/resume/x", true, false},
};

void soak_fail(struct soak *soak, const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list args;

	soak->failures++;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	printf("  broken: %s\n", text);
}

static void on_head(void *ctx, int status, const struct web_header *headers,
		    size_t count)
{
	struct call *call = ctx;

	call->status = status;
}

static void on_body(void *ctx, const void *data, size_t size)
{
	struct call *call = ctx;

	g_string_append_len(call->body, data, (gssize)size);
}

static void on_done(void *ctx, const struct web_result *result)
{
	struct call *call = ctx;

	call->complete = result->ok;
	call->done = true;
	call->web = NULL;
}

static struct web_header header(const char *name, const char *value)
{
	return (struct web_header){{name, strlen(name)},
				   {value, strlen(value)}};
}

uint32_t call_events(const struct call *call)
{
	uint32_t events = 0;

	for (const char *at = call->body->str; (at = strstr(at, "\n\n")); at++)
		events++;
	return events;
}

const char *call_version(const struct call *call)
{
	static char version[8];
	const char *at = strchr(call->body->str, '.');

	g_strlcpy(version, at ? at + 1 : "", sizeof(version));
	version[strcspn(version, "\n")] = '\0';
	return version;
}

static void call_send(struct soak *soak, enum call_kind kind, int instance,
		      enum caller caller, const struct call *before)
{
	static const struct web_call_ops ops = {on_head, on_body, on_done};
	struct call *call = g_new0(struct call, 1);
	struct web_header headers[8];
	char after[16];
	char prompt[64];
	struct web_call_spec spec = {
		.address = proxy_address(soak->instances[instance].callers),
		.method = kinds[kind].method,
		.path = call->path,
		.host = {"site.example", 12},
		.headers = headers,
		.head_usec = 6 * USEC_PER_SEC,
		.idle_usec = 6 * USEC_PER_SEC,
		.fresh = g_rand_boolean(soak->rand) && !soak->framing_enabled,
	};

	call->soak = soak;
	call->kind = kind;
	call->caller = caller;
	call->body = g_string_new(NULL);
	(void)g_snprintf(call->id, sizeof(call->id), "%s.c%u",
			 caller_name(caller), soak->calls->len);
	/* Crashes are not attributed to one repeated request. */
	(void)g_snprintf(call->path, sizeof(call->path),
			 soak->framing_enabled ? "%s?%u" : "%s",
			 kinds[kind].path, soak->calls->len);
	headers[0] = header("request-id", call->id);
	headers[1] = header("deadline-ms", "5000");
	headers[2] =
		header(kinds[kind].stream ? "token-count" : "x-none", "100,50");
	spec.header_count = 3 + caller_headers(caller, headers + 3);
	if (soak->parts_enabled && kinds[kind].stream) {
		(void)snprintf(prompt, sizeof(prompt),
			       SOAK_FIRST_PART ",b%d:30,c%u:10", (int)kind,
			       soak->calls->len);
		headers[spec.header_count++] = header("prefix-hash", prompt);
	}
	if (before) {
		call->before = before->before ? before->before : before;
		call->after = before->after + call_events(before);
		(void)snprintf(after, sizeof(after), "%u", call->after);
		headers[spec.header_count++] = header("last-event-id", after);
		headers[spec.header_count++] =
			header("resumes", call->before->id);
	}
	g_ptr_array_add(soak->calls, call);
	call->web = web_call(soak->client, &spec, &ops, call);
}

void call_start(struct soak *soak, enum call_kind kind, int instance,
		enum caller caller)
{
	call_send(soak, kind, instance, caller, NULL);
}

void call_resume(struct soak *soak, const struct call *before, int instance)
{
	call_send(soak, before->kind, instance, before->caller, before);
}

static void on_answer(void *ctx, const struct web_result *result, int status,
		      const void *body, size_t size)
{
	json_t **answer = ctx;

	*answer = json_loadb(body ? body : "", size, 0, NULL);
	if (!*answer)
		*answer = json_object();
}

static void on_posted(void *ctx, const struct web_result *result, int status,
		      const void *body, size_t size)
{
	struct soak *soak = ctx;

	soak->posts_pending--;
	if (result->ok && status != 200)
		soak_fail(soak, "a control call is answered with %d", status);
}

void site_post(struct soak *soak, const char *path, const char *body)
{
	const struct web_call_spec spec = {
		.address = soak->site_address,
		.method = "POST",
		.path = path,
		.body = body,
		.body_size = strlen(body),
	};

	soak->posts_pending++;
	web_fetch(soak->client, &spec, 1 << 16, on_posted, soak);
}

void site_post_wait(struct soak *soak)
{
	while (soak->posts_pending > 0)
		soak_loop_run(soak, USEC_PER_MSEC);
}

int64_t site_call(struct soak *soak, const char *method, const char *path,
		  const char *body, const char *name)
{
	struct web_call_spec spec = {
		.address = soak->site_address,
		.method = method,
		.path = path,
		.body = body,
		.body_size = body ? strlen(body) : 0,
	};
	json_t *answer = NULL;
	const json_t *value;
	int64_t number = -1;

	web_fetch(soak->client, &spec, 1 << 16, on_answer, &answer);
	while (!answer)
		soak_loop_run(soak, USEC_PER_MSEC);
	value = name ? json_object_get(answer, name) : NULL;
	if (json_is_integer(value))
		number = json_integer_value(value);
	json_decref(answer);
	return number;
}

/* A complete answer must be exactly that of its request, an interrupted stream
 * a prefix of it. */
static void answer_check(struct soak *soak, const struct call *call)
{
	g_autofree char *expected = NULL;

	if (kinds[call->kind].stream) {
		GString *text = g_string_new(NULL);
		const char *version = call_version(call);

		for (int i = (int)call->after + 1; i <= STREAM_EVENTS; i++)
			g_string_append_printf(
				text, "id: %d\ndata: t%d%s%s\n\n", i, i,
				version[0] ? "." : "", version);
		expected = g_string_free(text, FALSE);
	} else {
		expected = g_strdup_printf("%s %s \n", kinds[call->kind].method,
					   call->path);
	}
	if (call->complete && strcmp(call->body->str, expected) != 0)
		soak_fail(soak, "%s: not its whole answer: %s", call->id,
			  call->body->str);
	if (!call->complete && kinds[call->kind].stream &&
	    strncmp(call->body->str, expected, call->body->len) != 0)
		soak_fail(soak, "%s: pieces out of order: %s", call->id,
			  call->body->str);
}

static bool is_known(const struct call *call)
{
	return call->caller == CALLER_ACME || call->caller == CALLER_BETA;
}

static void call_check(struct soak *soak, const struct call *call)
{
	g_autofree char *path = g_strdup_printf("/site/ledger?id=%s", call->id);
	int64_t runs = site_call(soak, "GET", path, NULL, "of_id");

	if (!call->done && !call->hung_up)
		soak_fail(soak, "%s: never ended", call->id);
	if (kinds[call->kind].once && runs > 1)
		soak_fail(soak, "%s: ran %d times", call->id, (int)runs);
	if ((call->status == 503 || call->status == 429) && runs > 0)
		soak_fail(soak, "%s: refused as not run, and ran", call->id);
	if (call->status == 404 || call->status == 400)
		soak_fail(soak, "%s: denied with %d", call->id, call->status);
	if (is_known(call) && call->status == 401)
		soak_fail(soak, "%s: denied with 401", call->id);
	if (!is_known(call) && (runs > 0 || call->status == 200))
		soak_fail(soak, "%s: ran without a known key", call->id);
	if (call->status == 200)
		answer_check(soak, call);
}

void calls_check(struct soak *soak)
{
	for (guint i = 0; i < soak->calls->len; i++)
		call_check(soak, soak->calls->pdata[i]);
	if (site_call(soak, "GET", "/site/ledger", NULL, "running") != 0)
		soak_fail(soak, "servers still work for nobody");
	if (site_call(soak, "GET", "/site/ledger", NULL, "held") != 0)
		soak_fail(soak, "engine memory is still held");
	callers_check(soak);
}
