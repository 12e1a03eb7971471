/*
 * mirror.h - what few instances read of the store, passed on to the others
 *
 * DESCRIPTION
 *	A share keeps a copy of one keyed stream: the newest value of each key
 *	that counts, and how far it has been read. Instances tell in their
 *	gossip how far that is, how long ago it was sure, and the offset of the
 *	last record that changed anything. From that a peer knows that its own
 *	copy is as good, without a call, or fetches the copy from whoever told.
 *
 *	Which instance reads the store, and when, is decided by reader.h.
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

/* After a start of all instances the first word of a peer comes after 100 ms,
 * and a copy from it later still. So many read the store before that, two calls
 * each: a small site answers its callers 30 ms after such a start, not 210 ms.
 */
#define MIRROR_STARTUP_READERS 12u

struct mirror;

/* What an instance tells of its copy. */
struct mirror_status {
	uint64_t next;	  /* records before it are known */
	uint64_t changed; /* just after the last one that changed anything */
	int64_t age_usec; /* since the copy was sure; negative: never */
};

/* What a record does to those who have the copy. */
enum mirror_effect {
	MIRROR_UNCHANGED, /* it says what was known */
	MIRROR_CHANGED,	  /* it is to be fetched */
	MIRROR_REJECTED,  /* it is passed over: what was there before stays */
};

struct mirror_ops {
	/* A whole copy is handed over between begin and end. */
	void (*begin)(void *ctx);
	void (*end)(void *ctx);
	/* A value, or with NULL its end. */
	enum mirror_effect (*value)(void *ctx, uint64_t offset, const char *key,
				    const void *data, size_t size);
	/* Whether a value says just what the one before it says, which is then
	 * kept. NULL where that is not told cheaply. */
	bool (*repeats)(void *ctx, const void *before, size_t before_size,
			const void *data, size_t size);
};

struct mirror *mirror_create(struct clock *clock,
			     const struct feed_store *store,
			     const struct feed_settings *settings,
			     const struct mirror_ops *ops, void *ctx);
void mirror_destroy(struct mirror *mirror);
/* At a start, once the instances are listed: of those that have nothing yet,
 * the first MIRROR_STARTUP_READERS by name read the store at once. lower is how
 * many listed names come before this instance's. */
void mirror_start(struct mirror *mirror, uint32_t lower);
/* To be called about every 100 ms: reads the store when it is time. */
void mirror_tick(struct mirror *mirror, const struct reader_place *place);
/* A peer has a copy that is to be fetched: an instance without any does not
 * read the store meanwhile. */
void mirror_fetch_pending(struct mirror *mirror);
/* Reads the store now: what is known may be older than thought. */
void mirror_refresh(struct mirror *mirror);
/* Whether this instance reads the store and has no answer from it. */
bool mirror_failing(const struct mirror *mirror);
void mirror_status(const struct mirror *mirror, struct mirror_status *status);
/* Takes in what a peer told. True when its copy is to be fetched. */
bool mirror_merge_status(struct mirror *mirror,
			 const struct mirror_status *status);
/* Offset up to which records are known, for mirror_encode() at a peer. */
uint64_t mirror_position(const struct mirror *mirror);
/* Appends what has changed since from as MessagePack: [next, changed, age,
 * base,
 * [[key, value, offset], ...], [dropped key, ...]]. base is from, or 0 when all
 * there is follows. */
void mirror_encode(const struct mirror *mirror, uint64_t from, GByteArray *out);
/* About how many bytes mirror_encode() would append for from. */
size_t mirror_encoded_size(const struct mirror *mirror, uint64_t from);
/* Takes what a peer packed; what is older than ours, or begins after it, is
 * dropped. */
bool mirror_decode(struct mirror *mirror, const void *data, size_t size,
		   struct error *err);

#endif
