/*
 * losses.h - counts lost requests by cause, from the logs of many instances
 *
 * DESCRIPTION
 *	Each request_end line gives the outcome of one request. Requests that
 *	were not answered completely and in time are counted by cause, by route
 *	and by second. Requests that no route allows are not counted. Times are
 *	in seconds.
 */
#ifndef CTL_LOSSES_H
#define CTL_LOSSES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct error;

enum loss {
	LOSS_NONE,
	LOSS_REFUSED_EARLY,  /* queue too long to meet the deadline */
	LOSS_REFUSED_LATE,   /* deadline passed while it waited */
	LOSS_REFUSED_OTHER,  /* e.g. no configuration, no server, shutdown */
	LOSS_OVER_ALLOTMENT, /* its organisation's allotment is used up */
	LOSS_SERVER_ERROR,   /* a server's error was passed on */
	LOSS_SERVER_LOST,    /* a server failed before or during its answer */
	LOSS_TIME_OVER,	     /* over its time limit */
	LOSS_CALLER_LEFT,
	LOSS_PAUSED,	   /* its stream paused for longer than allowed */
	LOSS_LATE_WAITED,  /* late, mostly from waiting for a server */
	LOSS_LATE_PREFILL, /* late, mostly from the prefill */
	LOSS_LATE_BEGIN,   /* late, mostly from the start of the run */
	LOSS_LATE_ANSWER,  /* late, and not a stream */
	LOSS_UNKNOWN,
	LOSS_COUNT,
};

struct losses {
	uint32_t requests; /* ended requests that a route allows */
	uint32_t lost;
	uint32_t causes[LOSS_COUNT];
	GHashTable *routes;  /* route name to count */
	GHashTable *seconds; /* second since the first line, to count */
	double first_time;   /* time of the first line; 0: none yet */
};

void losses_init(struct losses *losses);
void losses_clear(struct losses *losses);
/* Adds the lines of a file. Files may be added in any order: seconds count from
 * the first line of the first file and are negative before it. */
bool losses_read(struct losses *losses, const char *file, struct error *err);
/* The cause of the loss of one request, from its request_end line. */
enum loss loss_cause(const char *line);
const char *loss_name(enum loss loss);

#endif
