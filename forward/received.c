/*
 * received.c - bounds the memory that servers' answers take
 *
 * DESCRIPTION
 *	Answers are buffered until they are complete, events until they are.
 *	An answer that cannot be used is given up as it arrives.
 *	Beyond RECEIVED_TOTAL_MAX bytes of all requests, the call with the most
 *	is given up: its connection is closed, its server has failed, and its
 *	request is retried or ends as after any failed call.
 */
#include "request.h"

#include "common/log.h"

/* Three plain answers of the largest size, in buffers of 8 MiB each. With it an
 * instance of 88 MB has room for what callers have not read (unread.c), for the
 * sockets' buffers of 200 answers (13 MB), and for itself (about 20 MB). */
#define RECEIVED_TOTAL_MAX ((size_t)24 << 20)

/* GByteArray allocates powers of two. */
static size_t array_bytes(const GByteArray *array)
{
	size_t bytes = 1;

	if (!array || array->len == 0)
		return 0;
	while (bytes < array->len)
		bytes <<= 1;
	return bytes;
}

static void received_set(struct request *request, size_t size)
{
	struct forward *forward = request->forward;

	forward->received += size - request->received;
	forward->answer_bytes->value = (int64_t)forward->received;
	request->received = size;
}

static void received_refresh(struct request *request)
{
	const struct answer *answer = &request->answer;
	size_t size = answer->head_bytes + array_bytes(answer->body) +
		      array_bytes(request->cutter.rest);

	received_set(request, size);
}

/* Of the requests with a call in progress. Refreshes the counts of all. */
static struct request *received_find_largest(struct forward *forward)
{
	struct request *largest = NULL;
	struct request *request;
	uint32_t cursor = 0;
	uint64_t handle;

	while ((request = table_next(forward->requests, &cursor, &handle))) {
		received_refresh(request);
		if (request->call && request->received > 0 &&
		    (!largest || request->received > largest->received))
			largest = request;
	}
	return largest;
}

static void answer_reject(struct request *request, const char *why)
{
	const struct backend_end end = {
		.connected = true,
		.rejected = true,
		.text = why,
	};

	web_call_cancel(request->call);
	request->call = NULL;
	request->call_done(request, &end);
}

void request_received_update(struct request *request)
{
	struct forward *forward = request->forward;
	struct request *largest;

	received_refresh(request);
	if (request->answer.too_large) {
		answer_reject(request, "answer too large");
		return;
	}
	if (request->cutter.began_anew) {
		answer_reject(request, "stream began anew");
		return;
	}
	if (forward->received <= RECEIVED_TOTAL_MAX)
		return;
	/* The recorded total may be out of date; the search refreshes it. */
	largest = received_find_largest(forward);
	if (largest && forward->received > RECEIVED_TOTAL_MAX)
		answer_reject(largest, "answers of all requests too large");
}

void request_received_clear(struct request *request)
{
	received_set(request, 0);
}

static void unframed_log(const struct request *request)
{
	request->forward->answers_unframed->value++;
	log_event(LOG_INFO, "answer_unframed",
		  LOG_S("request", request->caller.id),
		  LOG_S("backend", request->target.id),
		  LOG_S("relay", request->relay),
		  LOG_D("status", request->answer.head.status),
		  LOG_D("events", (int64_t)request->cutter.events),
		  LOG_D("last_id", (int64_t)request->cutter.last_id));
}

void request_received_end(const struct request *request,
			  const struct backend_end *end)
{
	if (end->unframed)
		unframed_log(request);
	if (!end->rejected)
		return;
	request->forward->answers_rejected->value++;
	log_event(LOG_NOTICE, "answer_rejected",
		  LOG_S("request", request->caller.id),
		  LOG_S("backend", request->target.id),
		  LOG_S("relay", request->relay),
		  LOG_D("received", request->received),
		  LOG_D("received_all", request->forward->received),
		  LOG_S("why", end->text));
}
