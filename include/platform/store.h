/*
 * store.h - client of the platform's store
 *
 * DESCRIPTION
 *	Implements keyed streams for feeds (forward/feed.h) and the log of the
 *	coordination library (coord/log_store.h). Stream X is the store's topic
 *	"keyed.X" for the former and "X" for the latter; each topic has one
 *	partition, 0. The client keeps no data and never retries a call.
 */
#ifndef PLATFORM_STORE_H
#define PLATFORM_STORE_H

#include "coord/log_store.h"
#include "forward/feed.h"
#include "web/client.h"

struct store;

/* client and address must outlive the store. */
struct store *store_create(struct web_client *client, const char *address);
void store_destroy(struct store *store);
struct feed_store store_feeds(struct store *store);
struct log_store store_log(struct store *store);
/* Sets a key of a keyed stream; value NULL deletes it. */
typedef void (*store_put_fn)(void *ctx, enum result_code code);
void store_put(struct store *store, const char *stream, const char *key,
	       const char *value, store_put_fn fn, void *ctx);

/* Decodes the answer to a read; exposed for tests. page->records also holds
 * copies of the keys and is freed with g_free(). */
bool store_read_keyed(const void *data, size_t size, uint64_t from,
		      struct feed_page *page, struct error *err);
/* Calls fn with a page of a snapshot of that era, leaving out malformed items.
 * Returns false without calling fn if the answer is not a page. Exposed for
 * tests. */
bool store_read_snapshot(const void *data, size_t size, uint64_t era,
			 feed_page_fn fn, void *ctx);

#endif
