/*
 * unread.c - streams whose callers read too slowly
 *
 * DESCRIPTION
 *	Bytes that callers have not read yet are buffered in memory. A caller
 *	with more than UNREAD_MAX unread bytes is disconnected; above
 *	UNREAD_TOTAL_MAX of all callers, the one with the most is. A caller can
 *	tell that its stream is truncated, and no caller slows a server down.
 */
#include "request.h"

#include "common/log.h"

#define UNREAD_MAX ((size_t)1 << 20)
#define UNREAD_TOTAL_MAX ((size_t)16 << 20)

static void unread_set(struct request *request, size_t size)
{
	request->forward->unread += size - request->unread;
	request->unread = size;
}

/* The request with the most unread bytes. Refreshes the counts of all. */
static struct request *unread_find_largest(struct forward *forward)
{
	struct request *largest = NULL;
	struct request *request;
	uint32_t cursor = 0;
	uint64_t handle;

	while ((request = table_next(forward->requests, &cursor, &handle))) {
		if (request->unread == 0)
			continue;
		unread_set(request, web_reply_queued(request->web));
		if (!largest || request->unread > largest->unread)
			largest = request;
	}
	return largest;
}

static void disconnect_slow(struct request *request)
{
	log_event(LOG_NOTICE, "caller_reads_slowly",
		  LOG_S("request", request->caller.id),
		  LOG_D("unread", request->unread),
		  LOG_D("unread_all", request->forward->unread));
	request_abort(request, "caller reads too slowly");
}

void request_unread_update(struct request *request)
{
	struct forward *forward = request->forward;
	struct request *largest;

	unread_set(request, web_reply_queued(request->web));
	if (request->unread > UNREAD_MAX) {
		disconnect_slow(request);
		return;
	}
	if (forward->unread <= UNREAD_TOTAL_MAX)
		return;
	/* The recorded total may be out of date; the search refreshes it. */
	largest = unread_find_largest(forward);
	if (largest && forward->unread > UNREAD_TOTAL_MAX)
		disconnect_slow(largest);
}

void request_unread_clear(struct request *request)
{
	unread_set(request, 0);
}
