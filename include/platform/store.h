/*
 * store.h - the platform's store: calls and records as bytes
 *
 * DESCRIPTION
 *	The one client for the store. It offers the tables that the product's
 *	parts ask for: keyed streams for feeds (forward/feed.h) and the log of
 *	the coordination library (coord/log_store.h). A stream called X is the
 *	store's topic "keyed.X" for the former, "X" for the latter; all have one
 *	partition, 0. It keeps no state and repeats nothing.
 */
#ifndef PLATFORM_STORE_H
#define PLATFORM_STORE_H

#include "coord/log_store.h"
#include "forward/feed.h"
#include "web/client.h"

struct store;

/* client and address must outlive it. */
struct store *store_create(struct web_client *client, const char *address);
void store_destroy(struct store *store);
struct feed_store store_feeds(struct store *store);
struct log_store store_log(struct store *store);
/* Sets or, with value NULL, drops a key of a keyed stream. */
typedef void (*store_put_fn)(void *ctx, enum result_code code);
void store_put(struct store *store, const char *stream, const char *key,
	       const char *value, store_put_fn fn, void *ctx);

/* Records of a read's answer; exposed for tests. page->records is an array to
 * be freed with g_free(), keys are copied into it. */
bool store_read_keyed(const void *data, size_t size, uint64_t from,
		      struct feed_page *page, struct error *err);
/* Calls fn with a page of a snapshot, without the items that are none; false,
 * and fn is not called, when the answer is no page. Exposed for tests. */
bool store_read_snapshot(const void *data, size_t size, feed_page_fn fn,
			 void *ctx);

#endif
