/*
 * backpressure.h - limits, drains and backoffs that backend servers signal
 *
 * DESCRIPTION
 *	A server may signal in its answers: how many requests a second it
 *	accepts from all instances together; that it is leaving; and, when it
 *	rejects a request, for how long the sender is to back off. The table
 *	keeps the latest of these for each server process. Limits and leaving
 *	are also merged from other instances; a backoff applies to one server
 *	and one instance.
 *
 *	Answers arrive out of order, so an answer without a limit removes the
 *	limit only BACKPRESSURE_SETTLE_USEC after the last answer that had one.
 *	A server also has a limit while it is cold; the lower of the two
 *	applies. Of two facts about a limit the newer one wins. Leaving is
 *	final. Of several backoffs the one that ends last applies.
 *
 *	A limit is enforced by one instance, the server's home, from which the
 *	others request a permit before each request: backpressure_grant() is a
 *	token bucket that fills at the limit. It starts empty, so a home that
 *	moves or restarts grants nothing extra. The embedder chooses the home
 *	and sends the messages to it.
 *
 *	A server is identified by a number that changes when it restarts. The
 *	module has no network and no clock; times are in microseconds of the
 *	caller's clock. Cost: one lookup a request while any limit is known,
 *	otherwise none.
 *
 * RETURN VALUE
 *	backpressure_answer() and backpressure_merge() return a set of enum
 *	backpressure_change. backpressure_grant() returns true when one request
 *	may be sent; otherwise retry_usec is the delay until the next attempt,
 *	longer for each caller that is denied.
 */
#ifndef COORD_BACKPRESSURE_H
#define COORD_BACKPRESSURE_H

#include <stdbool.h>
#include <stdint.h>

#define BACKPRESSURE_SETTLE_USEC 250000
#define BACKPRESSURE_SERVERS_MAX 4096u
/* Longest time for which one signal makes a server cold. */
#define BACKPRESSURE_COLD_MAX_USEC INT64_C(600000000)
/* The limit of a server that has signalled none. */
#define BACKPRESSURE_UNLIMITED (-1.0)

struct backpressure;

/* The signals in one answer of a server. */
struct backpressure_signals {
	bool limited;
	double limit; /* requests a second, if limited */
	bool leaving;
	int64_t backoff_usec; /* for this instance; 0: none */
	int64_t cold_usec;    /* how long it stays cold; 0: not signalled */
	/* The answer is to a request, so it would have carried a limit. */
	bool of_request;
};

/* The state of a server that instances exchange. */
struct backpressure_fact {
	uint64_t server;
	double limit;	  /* requests a second, or BACKPRESSURE_UNLIMITED */
	int64_t age_usec; /* of the limit */
	bool leaving;
	/* How long it stays cold, and its limit until then; 0: not cold. Sent
	 * only with a request for a permit. */
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

/* Applies the signals in an answer of the server. */
unsigned int backpressure_answer(struct backpressure *table, int64_t now,
				 uint64_t server,
				 const struct backpressure_signals *signals);
/* Merges a fact that another instance sent. */
unsigned int backpressure_merge(struct backpressure *table, int64_t now,
				const struct backpressure_fact *fact);
/* Makes the server cold until the given time, with the given limit, unless it
 * is known to be cold for longer. */
void backpressure_cold(struct backpressure *table, int64_t until,
		       uint64_t server, double limit);
/* Copies at most max facts that other instances may not know, from where the
 * last call stopped; returns how many. */
uint32_t backpressure_export(struct backpressure *table, int64_t now,
			     struct backpressure_fact *facts, uint32_t max);
/* Copies the state of a server, including cold_usec; returns false when the
 * server is unknown. */
bool backpressure_find(const struct backpressure *table, int64_t now,
		       uint64_t server, struct backpressure_fact *fact);
/* The limit that it signalled, in requests a second, or BACKPRESSURE_UNLIMITED.
 */
double backpressure_limit(const struct backpressure *table, uint64_t server);
bool backpressure_leaving(const struct backpressure *table, uint64_t server);
/* Until when this instance is to back off; 0: no backoff. */
int64_t backpressure_backoff(const struct backpressure *table, uint64_t server);
/* Number of servers with a limit. */
uint32_t backpressure_limited(const struct backpressure *table);

/* Takes one token; only the server's home may call it. */
bool backpressure_grant(struct backpressure *table, int64_t now,
			uint64_t server, int64_t *retry_usec);

/* Drops servers whose facts have expired, and servers for which exists() is
 * false and that were not updated for a minute. */
typedef bool (*backpressure_exists_fn)(void *ctx, uint64_t server);
void backpressure_prune(struct backpressure *table, int64_t now,
			backpressure_exists_fn exists, void *ctx);

#endif
