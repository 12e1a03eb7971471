/*
 * ledgers.h - reads what engines and plain services recorded about calls
 *
 * DESCRIPTION
 *	Reads GET /-/ledger of each address, or GET /ledger where that fails.
 *	Sums are counted from the first reading.
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
/* Reads all ledgers; fn runs once, after each has answered or failed. */
void ledgers_read(struct ledgers *ledgers, ledgers_fn fn, void *ctx);
unsigned int ledgers_count(const struct ledgers *ledgers);
/* Number of ledgers that could not be read in the last reading. */
unsigned int ledgers_unread(const struct ledgers *ledgers);
/* Sum of a counter over all ledgers, since the first reading. */
int64_t ledgers_sum(const struct ledgers *ledgers, const char *field);
/* Sum of a field of a request's entry over the engines. */
int64_t ledgers_request_sum(const struct ledgers *ledgers, const char *id,
			    const char *field);
/* Useful tokens that were computed more than once since the first reading. For
 * each request these are the tokens on all engines but the one with the most.
 */
int64_t ledgers_recomputed(const struct ledgers *ledgers);
/* Number of runs with an idempotency key over the plain services. */
int64_t ledgers_key_runs(const struct ledgers *ledgers, const char *key);
/* Number of streams that held engine memory at the last reading. */
int64_t ledgers_held(const struct ledgers *ledgers);

#endif
