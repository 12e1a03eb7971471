/*
 * events.h - cuts a stream of events at event boundaries
 *
 * DESCRIPTION
 *	Bytes of a text/event-stream go in as they come; what comes out ends
 *	with a whole event, so that another server's stream can be joined on.
 *	The id of the last whole event is kept for that. Events are not changed.
 *
 * SEE ALSO
 *	HTML Standard, "Server-sent events"
 */
#ifndef FORWARD_EVENTS_H
#define FORWARD_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Largest part of an event that is kept while its end has not come. */
#define EVENT_BYTES_MAX (256u << 10)

struct event_cutter {
	GByteArray *rest; /* begins at a boundary */
	size_t scanned;	  /* bytes of rest that hold no boundary */
	uint64_t last_id;
	bool has_id;
	uint64_t events; /* whole ones so far */
};

void event_cutter_init(struct event_cutter *cutter);
void event_cutter_clear(struct event_cutter *cutter);
/* Takes bytes in; false when an event grows beyond EVENT_BYTES_MAX. */
bool event_cutter_feed(struct event_cutter *cutter, const void *data,
		       size_t size);
/* Bytes of whole events at the beginning of rest; 0 when there are none. */
size_t event_cutter_whole(struct event_cutter *cutter);
/* Drops them once they have been sent on. */
void event_cutter_take(struct event_cutter *cutter, size_t size);
/* Drops the beginning of an event whose end will not come. */
void event_cutter_drop(struct event_cutter *cutter);

#endif
