/*
 * events.h - splits a text/event-stream at event boundaries
 *
 * DESCRIPTION
 *	Takes bytes in pieces of any size and returns complete events only, so
 *	that the stream of another server can continue after them. Keeps the id
 *	of the last complete event for that. Events are not changed.
 *
 *	A server that resumes a stream goes on after an id. Its events up to
 *	that id, and those before its first id, are not passed on: they are of
 *	a run that began anew.
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

/* Largest incomplete event that is buffered. */
#define EVENT_BYTES_MAX (256u << 10)

/* Where another server can continue. */
enum event_position {
	EVENTS_NONE,	   /* at the beginning: no data was relayed */
	EVENTS_NUMBERED,   /* after the event last_id */
	EVENTS_UNNUMBERED, /* nowhere: the last event has no usable id */
};

struct event_cutter {
	GByteArray *rest; /* unsent bytes, from an event boundary on */
	size_t scanned;	  /* bytes of complete events at the start of rest */
	enum event_position position; /* of the last complete event */
	uint64_t last_id;
	uint64_t events; /* complete events so far */
	bool resumes;	 /* the server goes on after that event */
	uint64_t after;
	bool is_numbered; /* the server has sent an id */
	bool began_anew;  /* it has sent an event that is not after it */
};

void event_cutter_init(struct event_cutter *cutter);
void event_cutter_clear(struct event_cutter *cutter);
/* Begins the stream of a server, which resumes after an event or not. */
void event_cutter_begin(struct event_cutter *cutter, bool resumes,
			uint64_t after);
/* Appends bytes; false when an event would exceed EVENT_BYTES_MAX. */
bool event_cutter_feed(struct event_cutter *cutter, const void *data,
		       size_t size);
/* Bytes of complete events at the start of rest; 0 when there are none, or none
 * before the one that sets began_anew. */
size_t event_cutter_complete_bytes(struct event_cutter *cutter);
/* Removes that many bytes, which have been relayed. */
void event_cutter_consume(struct event_cutter *cutter, size_t size);
/* Drops what is left of a stream that has ended. */
void event_cutter_drop(struct event_cutter *cutter);

#endif
