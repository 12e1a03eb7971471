/*
 * backpressure.h - what backend servers ask of their clients
 *
 * DESCRIPTION
 *	A server may say in its answers: how many requests a second it takes
 *	from all instances together; that it is leaving; and, when it rejects a
 *	request, for how long the sender is to back off. The table keeps the
 *	latest of these for each life of a server. Limits and leaving are also
 *	learnt from other instances; a backoff concerns one server and one
 *	instance.
 *
 *	Answers arrive out of order, so an answer without a limit ends it only
 *	BACKPRESSURE_SETTLE_USEC after the last one that named it. A server that
 *	is cold has a limit too, for as long as it is; the lower one counts. Of
 *	two facts about a limit the newer one wins. Leaving is final. Of several
 *backoffs the one that ends last counts.
 *
 *	A limit is enforced by one instance, the server's home, which the others
 *	ask before each request: backpressure_grant() is a token bucket that
 *	fills at the limit. It starts empty, so a home that moves or restarts
 *	grants nothing extra. Choosing the home and the messages to it are up to
 *	the embedder.
 *
 *	Servers are identified by a number that differs between lives. No
 *	network and no clock of its own; times are in microseconds of the
 *	caller's clock. Cost: one lookup a request while any limit is known,
 *	none otherwise.
 *
 * RETURN VALUE
 *	backpressure_answer() and backpressure_merge() return what has changed,
 *	as a set of enum backpressure_change. backpressure_grant() returns true
 *	when one request may be sent; otherwise retry_usec says when to ask
 *	again, later for each caller that is told so.
 */
#ifndef COORD_BACKPRESSURE_H
#define COORD_BACKPRESSURE_H

#include <stdbool.h>
#include <stdint.h>

#define BACKPRESSURE_SETTLE_USEC 250000
#define BACKPRESSURE_SERVERS_MAX 4096u
/* Longest that a server is taken for cold by what it says once. */
#define BACKPRESSURE_COLD_MAX_USEC INT64_C(600000000)
/* The limit of a server that names none. */
#define BACKPRESSURE_UNLIMITED (-1.0)

struct backpressure;

/* What one answer says of the server that gave it. */
struct backpressure_signals {
	bool limited;
	double limit; /* requests a second, if limited */
	bool leaving;
	int64_t backoff_usec; /* it wants nothing from this instance; 0: not
			       * said
			       */
	int64_t cold_usec;    /* how long it stays cold; 0: not said */
	/* The answer is to a request and would have named a limit. */
	bool of_request;
};

/* What instances tell each other of a server. */
struct backpressure_fact {
	uint64_t server;
	double limit;	  /* requests a second, or BACKPRESSURE_UNLIMITED */
	int64_t age_usec; /* of the limit */
	bool leaving;
	/* How long it stays cold, and its limit meanwhile; 0: not cold. Only
	 * told with a request for a permit. */
	int64_t cold_usec;
	double cold_limit;
};

enum backpressure_change {
	BACKPRESSURE_LIMIT = 1,
	BACKPRESSURE_LEAVING = 2,
	BACKPRESSURE_BACKOFF = 4,
};

struct backpressure *backpressure_create(void);
void backpressure_destroy(struct backpressure *table);

/* Takes in what an answer of the server says. */
unsigned int backpressure_answer(struct backpressure *table, int64_t now,
				 uint64_t server,
				 const struct backpressure_signals *signals);
/* Takes in what another instance told. */
unsigned int backpressure_merge(struct backpressure *table, int64_t now,
				const struct backpressure_fact *fact);
/* The server is cold until then, with that limit, unless it is known to be so
 * for longer. */
void backpressure_cold(struct backpressure *table, int64_t until,
		       uint64_t server, double limit);
/* Fills in facts that other instances may not know, a further part at each call
 * when there are more than most; returns how many. */
uint32_t backpressure_export(struct backpressure *table, int64_t now,
			     struct backpressure_fact *facts, uint32_t max);
/* What is known of a server, also that it is cold; false when nothing is. */
bool backpressure_find(const struct backpressure *table, int64_t now,
		       uint64_t server, struct backpressure_fact *fact);
/* Requests a second that it has named, or BACKPRESSURE_UNLIMITED. */
double backpressure_limit(const struct backpressure *table, uint64_t server);
bool backpressure_leaving(const struct backpressure *table, uint64_t server);
/* Until when this instance is to back off; 0: not at all. */
int64_t backpressure_backoff(const struct backpressure *table, uint64_t server);
/* Number of servers with a limit. */
uint32_t backpressure_limited(const struct backpressure *table);

/* Takes one token; to be called by the server's home only. */
bool backpressure_grant(struct backpressure *table, int64_t now,
			uint64_t server, int64_t *retry_usec);

/* Drops facts that have expired: limits that ended, and all about servers that
 * lives() does not know, after a minute without news. */
typedef bool (*backpressure_exists_fn)(void *ctx, uint64_t server);
void backpressure_prune(struct backpressure *table, int64_t now,
			backpressure_exists_fn exists, void *ctx);

#endif
