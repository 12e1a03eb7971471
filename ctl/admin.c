#include "ctl/admin.h"

#include <glib.h>
#include <string.h>

#include "common/clock.h"
#include "web/client.h"
#include "web/loop.h"

#define ANSWER_MAX_BYTES (64u << 20)
/* A daemon answers an apply only after reading it back from the log. */
#define HEAD_TIMEOUT_USEC (15 * USEC_PER_SEC)
#define STATUS_OK 200

struct call {
	struct loop *loop;
	bool ok;
	bool sent;
	int status;
	bool timed_out;
	GString *body;
};

static void on_answer(void *ctx, const struct web_result *result, int status,
		      const void *body, size_t size)
{
	struct call *call = ctx;

	call->ok = result->ok;
	call->sent = result->sent;
	call->status = status;
	call->timed_out = result->timed_out;
	if (body)
		g_string_append_len(call->body, body, (gssize)size);
	loop_stop(call->loop);
}

/* The result code in the answer, else one derived from the HTTP status. */
static enum result_code answer_code(const json_t *answer, int status)
{
	enum result_code code = (enum result_code)object_number(answer, "code");

	if (code != RESULT_OK && strcmp(result_label(code), "unknown") != 0)
		return code;
	if (status == result_status(RESULT_STALE_REVISION))
		return RESULT_STALE_REVISION;
	if (status == result_status(RESULT_BAD_CONFIG))
		return RESULT_BAD_CONFIG;
	return RESULT_IO;
}

static json_t *answer_read(const struct call *call, const char *address,
			   struct error *err)
{
	json_t *answer = json_loadb(call->body->str, call->body->len, 0, NULL);
	const char *text = object_text(answer, "error");

	if (call->status == STATUS_OK && json_is_object(answer))
		return answer;
	if (call->status == STATUS_OK)
		error_set(err, RESULT_IO, "%s: the answer is not JSON",
			  address);
	else if (*text)
		error_set(err, answer_code(answer, call->status), "%s", text);
	else
		error_set(err, answer_code(answer, call->status),
			  "%s: status %d", address, call->status);
	json_decref(answer);
	return NULL;
}

static void call_run(struct ctl *ctl, const char *address,
		     const struct admin_request *request, struct call *call)
{
	struct web_call_spec spec = {
		.address = address,
		.method = request->method,
		.path = request->path,
		.body = request->body,
		.body_size = request->body_size,
		.head_usec = HEAD_TIMEOUT_USEC,
		.fresh = true,
	};

	web_fetch(ctl->client, &spec, ANSWER_MAX_BYTES, on_answer, call);
	loop_run(ctl->loop);
}

static const char *failure_text(const struct call *call)
{
	if (call->timed_out)
		return "no answer in time";
	if (call->sent)
		return "the connection broke before the answer ended";
	return "cannot connect";
}

/* Sets err. Returns whether the next address may be tried: a POST that may have
 * reached the daemon is not repeated. */
static bool failure_report(const struct call *call, const char *address,
			   const struct admin_request *request,
			   struct error *err)
{
	const char *reason = failure_text(call);

	if (call->sent && strcmp(request->method, "GET") != 0) {
		error_set(err, RESULT_LOG_UNKNOWN, "%s: %s; see jtctl history",
			  address, reason);
		return false;
	}
	error_set(err, RESULT_IO, "%s: %s", address, reason);
	return true;
}

json_t *admin_call(struct ctl *ctl, const char *addresses,
		   const struct admin_request *request, struct error *err)
{
	g_auto(GStrv) list = g_strsplit(addresses, ",", 0);
	json_t *answer = NULL;
	bool next = true;

	error_set(err, RESULT_USAGE, "no admin address");
	for (char **address = list; *address && next; address++) {
		struct call call = {.loop = ctl->loop,
				    .body = g_string_new(NULL)};

		call_run(ctl, *address, request, &call);
		if (call.ok) {
			answer = answer_read(&call, *address, err);
			next = false;
		} else {
			next = failure_report(&call, *address, request, err);
		}
		g_string_free(call.body, TRUE);
	}
	return answer;
}

json_t *admin_get(struct ctl *ctl, const char *addresses, const char *path,
		  struct error *err)
{
	struct admin_request request = {.method = "GET", .path = path};

	return admin_call(ctl, addresses, &request, err);
}

const char *object_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

json_int_t object_number(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}
