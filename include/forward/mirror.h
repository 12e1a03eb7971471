/*
 * mirror.h - local read-only copies of keyed streams, passed between instances
 *
 * DESCRIPTION
 *	A mirror holds a copy of one keyed stream of the store: the newest valid
 *	value of each key, and the offset up to which the stream has been read.
 *	Only a few instances read the store. Each instance announces in its
 *	gossip how far its copy reaches, how long ago it was known to be
 *	complete, and the offset of the last record that changed anything. A
 *	peer that has this record already knows from the announcement that its
 *	own copy is current, without a call. Otherwise it fetches the copy, or
 *	the changes since its own, from the instance that announced it.
 *
 *	Offsets are positions (common/position.h), so a copy of a later era of
 *	the store is newer than any of an earlier one. Snapshots of a new era
 *	are merged with the copy for some seconds, because the store may have
 *	come back with values that are older than these: the newer value of a
 *	key stays, what was dropped stays dropped unless it was written since,
 *	and what is missing is kept until its writer had time to write it again.
 *
 *	reader.h decides which instances read the store, and when.
 */
#ifndef FORWARD_MIRROR_H
#define FORWARD_MIRROR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"
#include "forward/feed.h"
#include "forward/reader.h"

/* Instances that read the store at once after a start. When all instances start
 * together, the first status of a peer arrives after 100 ms and a copy later
 * still. Twelve early readers, with two calls each, let a small site answer its
 * callers 30 ms after such a start instead of 210 ms. */
#define MIRROR_STARTUP_READERS 12u

struct mirror;

/* State of its copy that an instance announces to its peers. */
struct mirror_status {
	uint64_t next;	  /* position up to which records are known */
	uint64_t changed; /* position just after the last record that changed
			     anything */
	int64_t age_usec; /* since the copy was known to be complete; negative:
			     it never was */
};

/* The effect of a record on the copies of peers. */
enum mirror_effect {
	MIRROR_UNCHANGED, /* same content as before: peers need not fetch it */
	MIRROR_CHANGED,	  /* new content: peers must fetch it */
	MIRROR_REJECTED,  /* ignored: the previous value stays */
};

struct mirror_ops {
	/* A whole copy is delivered between begin and end. */
	void (*begin)(void *ctx);
	void (*end)(void *ctx);
	/* A new value of the key; data is NULL when the key was dropped. */
	enum mirror_effect (*value)(void *ctx, uint64_t offset, const char *key,
				    const void *data, size_t size);
	/* Whether a value has the same content as the previous one. It is not
	 * delivered then. NULL where no cheap test exists. */
	bool (*repeats)(void *ctx, const void *before, size_t before_size,
			const void *data, size_t size);
	/* Whether a value was written after the previous one of its key. NULL
	 * where values do not tell: then the store's is taken, unless value()
	 * rejects it. */
	bool (*newer)(void *ctx, const void *before, size_t before_size,
		      const void *data, size_t size);
	/* Whether a value is valid and was written by the same writer before
	 * the previous one of its key. The store may carry out a write seconds
	 * late, after newer ones; such a value is ignored. NULL where values do
	 * not tell. */
	bool (*outdated)(void *ctx, const char *key, const void *before,
			 size_t before_size, const void *data, size_t size);
	/* The copy is known to be complete up to a later time. May be NULL. */
	void (*synced)(void *ctx);
	/* Keys were written and dropped without being delivered, or may have
	 * been: the copy was not followed. May be NULL. */
	void (*missed)(void *ctx);
};

struct mirror *mirror_create(struct clock *clock,
			     const struct feed_store *store,
			     const struct feed_settings *settings,
			     const struct mirror_ops *ops, void *ctx);
void mirror_destroy(struct mirror *mirror);
/* To be called once the list of instances has been read. Among the instances
 * without a copy, the first MIRROR_STARTUP_READERS by name read the store at
 * once. lower is the number of listed names that sort before this instance's
 * name. */
void mirror_start(struct mirror *mirror, uint32_t lower);
/* To be called about every 100 ms. Reads the store when reader_is_due() says
 * so. */
void mirror_tick(struct mirror *mirror, const struct reader_place *place);
/* Notes that a newer copy is available at a peer. An instance without a copy
 * does not read the store in the meantime. */
void mirror_fetch_pending(struct mirror *mirror);
/* Reads the store now, because the copy may be older than assumed. */
void mirror_refresh(struct mirror *mirror);
/* Reads the changes since the last read, unless a read is in progress. */
void mirror_poll(struct mirror *mirror);
/* Whether the last read of the store failed. */
bool mirror_failing(const struct mirror *mirror);
void mirror_status(const struct mirror *mirror, struct mirror_status *status);
/* Merges the status of a peer. Returns true when the copy of the peer must be
 * fetched. */
bool mirror_merge_status(struct mirror *mirror,
			 const struct mirror_status *status);
/* Position up to which records are known, to be passed to mirror_encode() at a
 * peer. */
uint64_t mirror_position(const struct mirror *mirror);
/* Appends the changes since offset from as MessagePack: [next, changed, age,
 * base, [[key, value, offset], ...], [dropped key, ...]]. base equals from, or
 * is 0 when the whole copy follows. */
void mirror_encode(const struct mirror *mirror, uint64_t from, GByteArray *out);
/* Approximate number of bytes that mirror_encode() would append. */
size_t mirror_encoded_size(const struct mirror *mirror, uint64_t from);
/* Applies a copy or a delta encoded by a peer. Data that is older than this
 * copy, or that starts after it, is ignored. Returns false when it is
 * malformed. */
bool mirror_decode(struct mirror *mirror, const void *data, size_t size,
		   struct error *err);

#endif
