/*
 * losses.h - what callers lost, and why, from the logs of many instances
 *
 * DESCRIPTION
 *	Each line request_end tells how one request ended. Those that were not
 *	answered whole and in time are counted by cause, by route and by second.
 *	Requests that no route allows are not counted. Times in seconds.
 */
#ifndef CTL_LOSSES_H
#define CTL_LOSSES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct error;

enum loss {
	LOSS_NONE,
	LOSS_REFUSED_EARLY, /* the queue was too long to be in time */
	LOSS_REFUSED_LATE,  /* it waited in vain */
	LOSS_REFUSED_OTHER, /* no configuration, no server, the process stops */
	LOSS_OVER_ALLOTMENT, /* its organisation had used up its allotment */
	LOSS_SERVER_ERROR,   /* a server's own error was passed on */
	LOSS_SERVER_LOST, /* a server broke off, or failed without an answer */
	LOSS_TIME_OVER,	  /* its time limit came first */
	LOSS_CALLER_LEFT,
	LOSS_PAUSED,	     /* the stream paused for longer than allowed */
	LOSS_WAITED,	     /* late: most of the time went into waiting */
	LOSS_PREFILL_QUEUED, /* late: most of it into the prefill */
	LOSS_BEGAN_LATE,     /* late: most of it into the start of the run */
	LOSS_ANSWERED_LATE,  /* late: a plain call */
	LOSS_UNKNOWN,
	LOSS_COUNT,
};

struct losses {
	uint32_t requests; /* ended, and allowed by a route */
	uint32_t lost;
	uint32_t causes[LOSS_COUNT];
	GHashTable *routes;  /* name to its count */
	GHashTable *seconds; /* since the first line of all, to its count */
	double first;	     /* time of that line; 0: none yet */
};

void losses_init(struct losses *losses);
void losses_clear(struct losses *losses);
/* Adds the lines of a file. Files may be given in any order; seconds count from
 * the first line of the first file. */
bool losses_read(struct losses *losses, const char *file, struct error *err);
/* The cause that one line of a log tells, for an ended request. */
enum loss loss_of(const char *line);
const char *loss_name(enum loss loss);

#endif
