/*
 * ledgers.h - what the engines and plain services say really happened
 *
 * DESCRIPTION
 *	Reads GET /-/ledger, or where there is none GET /ledger, of each
 *	address. Sums are those since the first reading.
 */
#ifndef LOAD_LEDGERS_H
#define LOAD_LEDGERS_H

#include <glib.h>
#include <stdint.h>

struct ledgers;
struct web_client;

typedef void (*ledgers_fn)(void *ctx);

struct ledgers *ledgers_create(struct web_client *client,
			       const char *const *addresses,
			       unsigned int count);
void ledgers_destroy(struct ledgers *ledgers);
/* Reads all; fn runs once, when each has answered or failed to. */
void ledgers_read(struct ledgers *ledgers, ledgers_fn fn, void *ctx);
unsigned int ledgers_count(const struct ledgers *ledgers);
/* How many failed in the last reading. */
unsigned int ledgers_unread(const struct ledgers *ledgers);
/* Sum of a number over the engines, since the first reading. */
int64_t ledgers_sum(const struct ledgers *ledgers, const char *field);
/* Sum over the engines of a field of a request's entry. */
int64_t ledgers_request(const struct ledgers *ledgers, const char *id,
			const char *field);
/* Useful tokens of a request on all engines but the one that gives most, summed
 * over the requests, since the first reading: they were computed again. */
int64_t ledgers_repeated(const struct ledgers *ledgers);
/* Runs under a key over the plain services. */
int64_t ledgers_key(const struct ledgers *ledgers, const char *key);
/* Streams that hold engine memory now. */
int64_t ledgers_held(const struct ledgers *ledgers);

#endif
