/*
 * backpressure.h - what backend servers ask of those that send to them
 *
 * DESCRIPTION
 *	A server says of itself, in its answers: the requests a second that it
 *	takes from all instances together, if it is in need; that it leaves; and
 *	for how long it wants nothing from the one that it turned away. The
 *	table keeps the latest of what each life of a server said. Limits and
 *	leaving are also told by other instances; rest is between a server and
 *	one instance.
 *
 *	Answers overtake each other, so one without a limit ends it only when
 *	the last one that named it is BACKPRESSURE_SETTLE_USEC old. Of what
 *	instances tell, the younger goes before the older. Leaving is for good.
 *	Of several rests the longest holds.
 *
 *	backpressure_grant() is asked for each request by one instance for all,
 *	the home of the server: a token bucket that fills at the limit. It is
 *	empty when an instance begins to count, so that a home that moves, or
 *	starts again, adds nothing. Which instance that is, and how the others
 *	ask it, is the embedder's matter; whoever may not be asked grants
 *	nothing.
 *
 *	Servers are named by a number that differs for each life. No network and
 *	no clock of its own; times are in microseconds of the caller's clock.
 *	Cost: one look-up a request while any limit is known, none otherwise.
 *
 * RETURN VALUE
 *	backpressure_answer() and backpressure_hear() return what is another
 *than before, as a set of enum backpressure_change. backpressure_grant() is
 *true when one request may be sent; otherwise retry_usec says when to ask
 *again, later for each that is told so.
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
	bool leaving;
	int64_t rest_usec; /* it wants nothing from this instance; 0: not said
			    */
	/* The answer is that of a request, which would name the limit. */
	bool of_request;
};

/* What is known of a server, as instances tell it. */
struct backpressure_fact {
	uint64_t server;
	double limit;	  /* requests a second, or BACKPRESSURE_UNLIMITED */
	int64_t age_usec; /* of the limit */
	bool leaving;
};

enum backpressure_change {
	BACKPRESSURE_LIMIT = 1,
	BACKPRESSURE_LEAVING = 2,
	BACKPRESSURE_REST = 4,
};

struct backpressure *backpressure_create(void);
void backpressure_destroy(struct backpressure *table);

/* Takes in what an answer of the server says. */
unsigned int backpressure_answer(struct backpressure *table, int64_t now,
				 uint64_t server,
				 const struct backpressure_signals *signals);
/* Takes in what another instance told. */
unsigned int backpressure_hear(struct backpressure *table, int64_t now,
			       const struct backpressure_fact *fact);
/* Fills facts that others may not know, in turn when there are more than most;
 * returns how many. */
uint32_t backpressure_tell(struct backpressure *table, int64_t now,
			   struct backpressure_fact *facts, uint32_t most);
/* What is known of a server; false when nothing is. */
bool backpressure_find(const struct backpressure *table, int64_t now,
		       uint64_t server, struct backpressure_fact *fact);
/* Requests a second, or BACKPRESSURE_UNLIMITED. */
double backpressure_limit(const struct backpressure *table, uint64_t server);
bool backpressure_leaving(const struct backpressure *table, uint64_t server);
/* Until when it wants nothing from this instance; 0 when it did not say so. */
int64_t backpressure_rest(const struct backpressure *table, uint64_t server);
/* Servers that name a limit. */
uint32_t backpressure_limited(const struct backpressure *table);

/* Takes one request off what the server takes. */
bool backpressure_grant(struct backpressure *table, int64_t now,
			uint64_t server, int64_t *retry_usec);

/* Drops what nobody needs any more: ended limits, and those of servers that
 * lives() does not know and that nobody was told of for a minute. */
typedef bool (*backpressure_lives_fn)(void *ctx, uint64_t server);
void backpressure_prune(struct backpressure *table, int64_t now,
			backpressure_lives_fn lives, void *ctx);

#endif
