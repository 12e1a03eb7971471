#include "replies.h"

#include "common/clock.h"
#include "common/log.h"
#include "request.h"

/* Callers have this long to read an answer before it makes room for others. */
#define READ_MIN_USEC (10 * USEC_PER_SEC)

/* Of the answers that are kept, the one that ended first, if that was at least
 * READ_MIN_USEC ago. Adds up all of them. */
static struct web_request *oldest_find(const struct replies *replies,
				       size_t *kept)
{
	int64_t until = clock_now(replies->clock) - READ_MIN_USEC;
	struct web_request *oldest = NULL;

	*kept = 0;
	for (GList *link = replies->requests->head; link; link = link->next) {
		struct web_request *request = link->data;
		size_t bytes = reply_kept(request);

		*kept += bytes;
		if (bytes > BODY_SMALL_MAX && request->ended_at <= until &&
		    (!oldest || request->ended_at < oldest->ended_at))
			oldest = request;
	}
	return oldest;
}

bool replies_make_room(const struct replies *replies, size_t size)
{
	struct web_request *oldest;
	size_t kept;

	if (replies->max == 0 || size <= BODY_SMALL_MAX)
		return true;
	oldest = oldest_find(replies, &kept);
	while (kept > 0 && kept + size > replies->max && oldest) {
		log_event(LOG_NOTICE, "answer_unread",
			  LOG_D("bytes", (int64_t)reply_kept(oldest)),
			  LOG_D("kept", (int64_t)kept));
		request_hang_up(oldest);
		oldest = oldest_find(replies, &kept);
	}
	return kept == 0 || kept + size <= replies->max;
}
