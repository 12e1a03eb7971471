#include "request.h"

#include <string.h>
#include <sys/socket.h>

#include "common/clock.h"
#include "linger.h"

/* Largest write passed to h2o, so that a slow caller's progress is visible. */
#define SLICE_BYTES_MAX ((size_t)128 * 1024)
/* A larger buffer is freed rather than reused when it is empty. */
#define REUSE_BYTES_MAX ((size_t)16 * 1024)

static const struct {
	int status;
	const char *reason;
} reasons[] = {
	{200, "OK"},
	{201, "Created"},
	{202, "Accepted"},
	{204, "No Content"},
	{304, "Not Modified"},
	{400, "Bad Request"},
	{401, "Unauthorized"},
	{403, "Forbidden"},
	{404, "Not Found"},
	{405, "Method Not Allowed"},
	{408, "Request Timeout"},
	{409, "Conflict"},
	{412, "Precondition Failed"},
	{413, "Content Too Large"},
	{422, "Unprocessable Content"},
	{429, "Too Many Requests"},
	{500, "Internal Server Error"},
	{501, "Not Implemented"},
	{502, "Bad Gateway"},
	{503, "Service Unavailable"},
	{504, "Gateway Timeout"},
};

static const char *reason_of(int status)
{
	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++)
		if (reasons[i].status == status)
			return reasons[i].reason;
	return "Status";
}

static size_t in_flight_size(const struct web_request *request)
{
	return request->in_flight ? request->in_flight->len - request->offset
				  : 0;
}

static size_t queue_size(const struct web_request *request)
{
	return request->queue ? request->queue->len : 0;
}

/* Moves the queue to in_flight once everything in flight has been sent. */
static void in_flight_refill(struct web_request *request)
{
	GByteArray *sent = request->in_flight;

	if (in_flight_size(request) > 0 || queue_size(request) == 0)
		return;
	request->in_flight = request->queue;
	request->offset = 0;
	request->queue = NULL;
	if (!sent)
		return;
	if (sent->len > REUSE_BYTES_MAX) {
		g_byte_array_unref(sent);
		return;
	}
	g_byte_array_set_size(sent, 0);
	request->queue = sent;
}

size_t reply_kept(const struct web_request *request)
{
	if (!request->ended || request->truncated)
		return 0;
	return (request->in_flight ? request->in_flight->len : 0) +
	       queue_size(request);
}

bool reply_ends_with_connection(const struct web_request *request)
{
	const h2o_req_t *req = request->req;

	return request->sock && req->version < 0x101 && !request->no_body &&
	       req->res.content_length == SIZE_MAX;
}

/* The request must not be used afterwards: h2o may have freed it. */
static void slice_send(struct web_request *request, h2o_send_state_t state)
{
	h2o_req_t *req = request->req;
	h2o_iovec_t vec = {NULL, 0};

	if (request->slice > 0)
		vec = h2o_iovec_init(request->in_flight->data + request->offset,
				     request->slice);
	request->sending = h2o_send_state_is_in_progress(state);
	request->sending_since = clock_now(loop_clock(request->loop));
	if (!request->sending) {
		request->final_sent = true;
		request_unwatch(request);
	}
	if (!request->head_sent) {
		request->head_sent = true;
		h2o_start_response(req, &request->generator);
	}
	if (reply_ends_with_connection(request))
		linger_reset(h2o_socket_get_fd(request->sock),
			     state != H2O_SEND_STATE_FINAL);
	h2o_send(req, &vec, request->slice > 0 ? 1 : 0, state);
}

/* h2o 2.2 would end a truncated answer with a malformed chunk, and send an
 * answer of its own if no head was sent. On HTTP/1 the connection is closed
 * without further bytes instead. The exception is a head that h2o still buffers
 * because no body byte followed: it goes out with that chunk, since the caller
 * would otherwise not see the status. */
static void response_abort(struct web_request *request)
{
	h2o_res_t *res = &request->req->res;

	if (!request->started) {
		res->status = 500;
		res->reason = reason_of(500);
	}
	if (request->sock && (request->head_sent || !request->started) &&
	    !reply_ends_with_connection(request))
		shutdown(h2o_socket_get_fd(request->sock), SHUT_RDWR);
}

static h2o_send_state_t slice_state(const struct web_request *request)
{
	if (!request->ended || queue_size(request) > 0 ||
	    request->slice < in_flight_size(request) ||
	    (request->slice > 0 &&
	     (request->truncated || reply_ends_with_connection(request))))
		return H2O_SEND_STATE_IN_PROGRESS;
	return request->truncated ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
}

static void flush(void *ctx)
{
	struct web_request *request = ctx;
	h2o_send_state_t state;

	if (request->sending || request->final_sent)
		return;
	in_flight_refill(request);
	request->slice = MIN(in_flight_size(request), SLICE_BYTES_MAX);
	state = slice_state(request);
	if (request->head_sent && request->slice == 0 &&
	    h2o_send_state_is_in_progress(state))
		return;
	if (state == H2O_SEND_STATE_ERROR ||
	    request->req->conn->ctx->shutdown_requested)
		request->req->http1_is_persistent = 0;
	if (state == H2O_SEND_STATE_ERROR)
		response_abort(request);
	slice_send(request, state);
}

static void flush_defer(struct web_request *request)
{
	if (!request->sending && !request->final_sent)
		loop_defer(request->loop, &request->flush, flush, request);
}

void reply_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct web_request *request = (struct web_request *)generator;

	request->sending = false;
	request->offset += request->slice;
	request->slice = 0;
	flush(request);
}

static void reply_end(struct web_request *request, bool truncated)
{
	request->ended = true;
	request->ended_at = clock_now(loop_clock(request->loop));
	request->truncated = truncated;
	flush_defer(request);
}

void reply_drop(struct web_request *request)
{
	/* Keeps the slice that h2o is sending and drops the rest. */
	if (request->queue)
		g_byte_array_set_size(request->queue, 0);
	if (request->in_flight)
		request->offset = request->in_flight->len - request->slice;
	/* Ends a write that is blocked because the caller does not read. */
	if (request->sock && !request->final_sent &&
	    (request->sending || !reply_ends_with_connection(request)))
		shutdown(h2o_socket_get_fd(request->sock), SHUT_RDWR);
	reply_end(request, true);
}

/* Headers that h2o writes itself and that must not be duplicated. */
static bool is_server_header(const char *name)
{
	static const char *const names[] = {
		"connection", "content-length",	   "date",
		"server",     "transfer-encoding",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (g_ascii_strcasecmp(name, names[i]) == 0)
			return true;
	return false;
}

void web_reply_header(struct web_request *request, const char *name,
		      const char *value)
{
	h2o_req_t *req = request->req;
	h2o_iovec_t key;
	h2o_iovec_t text;

	if (request->started || request->ended || is_server_header(name))
		return;
	key = h2o_strdup(&req->pool, name, SIZE_MAX);
	text = h2o_strdup(&req->pool, value, SIZE_MAX);
	h2o_strtolower(key.base, key.len);
	h2o_add_header_by_str(&req->pool, &req->res.headers, key.base, key.len,
			      1, NULL, text.base, text.len);
}

static bool has_no_body(const struct web_request *request)
{
	const h2o_iovec_t *method = &request->req->input.method;
	int status = request->req->res.status;

	return status == 204 || status == 304 ||
	       h2o_memis(method->base, method->len, H2O_STRLIT("HEAD"));
}

static void head_set(struct web_request *request, int status, const char *type)
{
	h2o_req_t *req = request->req;

	if (type)
		web_reply_header(request, "content-type", type);
	req->res.status = status;
	req->res.reason = reason_of(status);
	request->started = true;
	request->no_body = has_no_body(request);
}

static void queue_add(struct web_request *request, const void *data,
		      size_t size)
{
	if (size == 0 || request->no_body)
		return;
	if (!request->queue)
		request->queue = g_byte_array_new();
	g_byte_array_append(request->queue, data, (guint)size);
}

bool web_reply_make_room(struct web_request *request, size_t size)
{
	return replies_make_room(request->replies, size);
}

void web_reply(struct web_request *request, int status, const char *type,
	       const void *body, size_t size)
{
	if (request->started || request->ended)
		return;
	head_set(request, status, type);
	if (status != 204 && status != 304)
		request->req->res.content_length = size;
	queue_add(request, body, size);
	reply_end(request, false);
}

void web_reply_start(struct web_request *request, int status, const char *type)
{
	if (request->started || request->ended)
		return;
	head_set(request, status, type);
	flush_defer(request);
}

void web_reply_piece(struct web_request *request, const void *data, size_t size)
{
	if (!request->started || request->ended)
		return;
	queue_add(request, data, size);
	flush_defer(request);
}

size_t web_reply_queued(const struct web_request *request)
{
	return queue_size(request) + in_flight_size(request);
}

void web_reply_end(struct web_request *request)
{
	if (request->started && !request->ended)
		reply_end(request, false);
}

void web_reply_abort(struct web_request *request)
{
	if (!request->ended)
		reply_end(request, true);
}
