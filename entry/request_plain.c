/*
 * Requests for a plain service: method, headers, status and body are passed
 * through, without hop-by-hop and jt-* headers. A call is retried only when the
 * request is idempotent or certainly did not run.
 */
#include <stdio.h>
#include <string.h>

#include "common/hex.h"
#include "common/log.h"
#include "coord/retry.h"
#include "entry/directory.h"
#include "entry/plain.h"
#include "entry/request.h"

#define CALL_HEAD_TIMEOUT_USEC (30 * USEC_PER_SEC)
#define ANSWER_BYTES_MAX (4u << 20)
#define RETRY_BASE_USEC (10 * USEC_PER_MSEC)
#define RETRY_MAX_USEC USEC_PER_SEC
#define ATTEMPTS_MAX 4u

static const char *const hop_headers[] = {
	"connection", "content-length",	   "host",    "keep-alive", "te",
	"trailer",    "transfer-encoding", "upgrade",
};

bool plain_header_dropped(struct web_text name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_headers); i++)
		if (strlen(hop_headers[i]) == name.size &&
		    memcmp(hop_headers[i], name.data, name.size) == 0)
			return true;
	return false;
}

static bool is_own_header(struct web_text name)
{
	return name.size > 3 && memcmp(name.data, "jt-", 3) == 0;
}

void plain_headers_copy(GPtrArray *to, const struct web_header *headers,
			size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct web_text name = headers[i].name;
		struct web_text value = headers[i].value;

		if (plain_header_dropped(name) || is_own_header(name))
			continue;
		g_ptr_array_add(to, g_strndup(name.data, name.size));
		g_ptr_array_add(to, g_strndup(value.data, value.size));
	}
}

static bool header_is(const struct web_header *header, const char *name,
		      const char *value)
{
	return web_text_is(header->name, name) &&
	       web_text_is(header->value, value);
}

/* A refusal by a server that states that the call did not run. */
static bool says_not_run(int status, const struct web_header *headers,
			 size_t count)
{
	if (status != 503)
		return false;
	for (size_t i = 0; i < count; i++)
		if (header_is(&headers[i], "jt-not-run", "1"))
			return true;
	return false;
}

static void call_head(void *ctx, int status, const struct web_header *headers,
		      size_t count)
{
	struct request *request = ctx;

	request->status = status;
	request->refused = says_not_run(status, headers, count);
	g_ptr_array_set_size(request->answer_headers, 0);
	plain_headers_copy(request->answer_headers, headers, count);
	g_string_truncate(request->answer_body, 0);
}

static void call_body(void *ctx, const void *data, size_t size)
{
	struct request *request = ctx;

	if (request->answer_body->len + size > ANSWER_BYTES_MAX) {
		request->too_long = true;
		return;
	}
	g_string_append_len(request->answer_body, data, (gssize)size);
}

static void server_release(struct request *request, enum plain_result use)
{
	uint64_t id = request->server;

	request->server = 0;
	if (id)
		plain_release(request->entry->requests->plain, id, use);
}

/* Retries after a backoff, or fails the request. */
static void call_retry(struct request *request, enum result_code code,
		       const char *text)
{
	uint32_t attempts = ++request->attempts;
	bool repeatable = request->idempotent || !request->reached;

	request->last_code = code;
	log_event(LOG_NOTICE, "attempt_failed", LOG_X("request", request->id),
		  LOG_S("service", request->service.name),
		  LOG_D("attempt", attempts), LOG_S("code", result_label(code)),
		  LOG_S("text", text));
	if (!repeatable || attempts >= ATTEMPTS_MAX ||
	    !requests_may_retry(request)) {
		request_fail(request, code, USEC_PER_SEC, text);
		return;
	}
	request->state = REQUEST_CALLING;
	timer_start(&request->timer,
		    retry_backoff(request->entry->rand, attempts,
				  RETRY_BASE_USEC, RETRY_MAX_USEC));
}

static enum result_code failure_code(const struct web_result *result)
{
	if (!result->sent)
		return RESULT_BACKEND_REFUSED;
	return result->timed_out ? RESULT_BACKEND_TIMEOUT
				 : RESULT_BACKEND_FAILED;
}

static void call_done(void *ctx, const struct web_result *result)
{
	struct request *request = ctx;
	uint64_t server = request->server;

	request->web_call = NULL;
	if (result->ok && request->refused) {
		directory_mark_leaving(request->entry->directory, server);
		server_release(request, PLAIN_UNKNOWN);
		call_retry(request, RESULT_BACKEND_REFUSED,
			   "the server refused the call as not run");
		return;
	}
	if (!result->ok) {
		request->reached |= result->sent;
		server_release(request, PLAIN_FAILURE);
		call_retry(request, failure_code(result), result->text);
		return;
	}
	request->reached = true;
	server_release(request, PLAIN_SUCCESS);
	if (request->too_long) {
		request_fail(request, RESULT_BACKEND_FAILED, 0,
			     "the server's answer is too long");
		return;
	}
	request_complete(request);
}

static const struct web_call_ops call_ops = {
	.head = call_head,
	.body = call_body,
	.done = call_done,
};

static struct web_text text_of(const char *text)
{
	return (struct web_text){.data = text, .size = strlen(text)};
}

void plain_call(struct request *request)
{
	const struct backend *backend =
		directory_find(request->entry->directory, request->server);
	/* A call to this address fails at once. */
	static const char unlisted[] = "0.0.0.0:0";
	size_t count = request->headers->len / 2;
	struct web_header *headers = g_new0(struct web_header, count + 1);
	char id[HEX_ID_SIZE];
	struct web_call_spec spec = {
		.address = backend ? backend->address : unlisted,
		.method = request->method->str,
		.path = request->path->str,
		.headers = headers,
		.header_count = count + 1,
		.body = request->body->str,
		.body_size = request->body->len,
		.head_usec = CALL_HEAD_TIMEOUT_USEC,
		.fresh = !request->idempotent,
	};

	for (size_t i = 0; i < count; i++) {
		headers[i].name = text_of(request->headers->pdata[2 * i]);
		headers[i].value = text_of(request->headers->pdata[2 * i + 1]);
	}
	headers[count].name = text_of("jt-request-id");
	headers[count].value = text_of(hex_id(id, request->id));
	request->state = REQUEST_CALLING;
	request->refused = false;
	request->too_long = false;
	request->web_call =
		web_call(request->entry->client, &spec, &call_ops, request);
	g_free(headers);
}

/*
 * The request holds a slot at a server. A non-idempotent request claims its key
 * only now: a request refused by a full queue must not use up its key.
 */
void plain_start(struct request *request, uint64_t server)
{
	timer_stop(&request->timer);
	request->server = server;
	if (request->idempotent || !request->key || request->claimed) {
		plain_call(request);
		return;
	}
	request_claim(request);
}

static int64_t time_left(const struct request *request)
{
	if (request->deadline == CLOCK_NEVER)
		return CALL_HEAD_TIMEOUT_USEC;
	return request->deadline - clock_now(request->entry->clock);
}

void plain_run(struct request *request)
{
	struct plain *plain = request->entry->requests->plain;
	int64_t left = time_left(request);
	bool any;
	uint64_t server;

	if (left <= 0) {
		request_fail(request, RESULT_DEADLINE, USEC_PER_SEC,
			     "the deadline passed before a server was free");
		return;
	}
	server = plain_acquire(plain, request, &any);
	request->state = REQUEST_CALLING;
	if (server) {
		plain_start(request, server);
		return;
	}
	if (!any && directory_is_loaded(request->entry->directory)) {
		request_fail(request, RESULT_NO_BACKEND, USEC_PER_SEC,
			     "the service has no server to call");
		return;
	}
	if (!plain_enqueue(plain, request)) {
		request_fail(request, RESULT_QUEUE_FULL, USEC_PER_SEC,
			     "the service's queue is full");
		return;
	}
	timer_start(&request->timer, left);
}

/* The retry backoff, or the wait in the queue, is over. */
void plain_timer(struct request *request)
{
	struct plain *plain = request->entry->requests->plain;

	if (!request->queued) {
		plain_run(request);
		return;
	}
	plain_dequeue(plain, request);
	request_fail(request, RESULT_DEADLINE, USEC_PER_SEC,
		     "the deadline passed before a server was free");
}

void plain_drop(struct request *request)
{
	plain_dequeue(request->entry->requests->plain, request);
	if (request->web_call) {
		web_call_cancel(request->web_call);
		request->web_call = NULL;
		request->reached = true;
	}
	server_release(request, PLAIN_UNKNOWN);
}

/*
 * No caller is left. A request with a key continues if it was sent or is not
 * idempotent: the answer is kept for a repeat of the key. Others are cancelled.
 */
void plain_cancel(struct request *request)
{
	if (request->key && (request->web_call || !request->idempotent))
		return;
	plain_drop(request);
	request_release(request,
			request->reached ? RELEASE_FAILED : RELEASE_NOT_RUN);
	request_destroy(request);
}
