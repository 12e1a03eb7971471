/*
 * backpressure.h - what backend servers ask of those that send to them
 *
 * DESCRIPTION
 *	A server in need names, in its answers, the requests a second that it
 *	takes from all instances together. The table keeps the latest of what
 *	each life of a server said, whether it was said to this instance or told
 *	by another one.
 *
 *	Answers overtake each other, so one without a limit ends it only when
 *	the last one that named it is BACKPRESSURE_SETTLE_USEC old. Of what
 *	instances tell, the younger goes before the older.
 *
 *	Servers are named by a number that differs for each life. No network and
 *	no clock of its own; times are in microseconds of the caller's clock.
 *	Cost: one look-up a request while any limit is known, none otherwise.
 *
 * RETURN VALUE
 *	backpressure_answer() and backpressure_hear() are true when the limit of
 *	the server is another one than before.
 */
#ifndef COORD_BACKPRESSURE_H
#define COORD_BACKPRESSURE_H

#include <stdbool.h>
#include <stdint.h>

#define BACKPRESSURE_SETTLE_USEC 250000
#define BACKPRESSURE_SERVERS_MAX 4096u
/* The limit of a server that names none. */
#define BACKPRESSURE_UNLIMITED (-1.0)

struct backpressure;

/* What one answer says of the server that gave it. */
struct backpressure_signals {
	bool limited;
	double limit; /* requests a second, if limited */
	/* The answer is that of a request, which would name the limit. */
	bool of_request;
};

/* What is known of a server, as instances tell it. */
struct backpressure_fact {
	uint64_t server;
	double limit; /* requests a second, or BACKPRESSURE_UNLIMITED */
	int64_t age_usec;
};

struct backpressure *backpressure_create(void);
void backpressure_destroy(struct backpressure *table);

/* Takes in what an answer of the server says. */
bool backpressure_answer(struct backpressure *table, int64_t now,
			 uint64_t server,
			 const struct backpressure_signals *signals);
/* Requests a second, or BACKPRESSURE_UNLIMITED. */
double backpressure_limit(const struct backpressure *table, uint64_t server);
/* Servers that name a limit. */
uint32_t backpressure_limited(const struct backpressure *table);

#endif
