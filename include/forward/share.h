/*
 * share.h - what few instances read of the store, passed on to the others
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
#ifndef FORWARD_SHARE_H
#define FORWARD_SHARE_H

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
#define SHARE_STARTERS 12u

struct share;

/* What an instance tells of its copy. */
struct share_word {
	uint64_t next;	  /* records before it are known */
	uint64_t changed; /* just after the last one that changed anything */
	int64_t age_usec; /* since the copy was sure; negative: never */
};

/* What a record does to those who have the copy. */
enum share_effect {
	SHARE_SAME,    /* it says what was known */
	SHARE_CHANGED, /* it is to be fetched */
	SHARE_REFUSED, /* it is passed over: what was there before stays */
};

struct share_ops {
	/* A whole copy is handed over between begin and end. */
	void (*begin)(void *ctx);
	void (*end)(void *ctx);
	/* A value, or with NULL its end. */
	enum share_effect (*value)(void *ctx, uint64_t offset, const char *key,
				   const void *data, size_t size);
	/* Whether a value says just what the one before it says, which is then
	 * kept. NULL where that is not told cheaply. */
	bool (*repeats)(void *ctx, const void *before, size_t before_size,
			const void *data, size_t size);
};

struct share *share_create(struct clock *clock, const struct feed_store *store,
			   const struct feed_settings *settings,
			   const struct share_ops *ops, void *ctx);
void share_destroy(struct share *share);
/* At a start, once the instances are listed: of those that have nothing yet,
 * the first SHARE_STARTERS by name read the store at once. lower is how many
 * listed names come before this instance's. */
void share_start(struct share *share, uint32_t lower);
/* To be called about every 100 ms: reads the store when it is time. */
void share_tick(struct share *share, const struct reader_place *place);
/* A peer has a copy that is to be fetched: an instance without any does not
 * read the store meanwhile. */
void share_offered(struct share *share);
/* Reads the store now: what is known may be older than thought. */
void share_hurry(struct share *share);
/* Whether this instance reads the store and has no answer from it. */
bool share_failing(const struct share *share);
void share_word(const struct share *share, struct share_word *word);
/* Takes in what a peer told. True when its copy is to be fetched. */
bool share_hear(struct share *share, const struct share_word *word);
/* Offset up to which records are known, for share_pack() at a peer. */
uint64_t share_position(const struct share *share);
/* Appends what has changed since from as MessagePack: [next, changed, age,
 * base,
 * [[key, value, offset], ...], [dropped key, ...]]. base is from, or 0 when all
 * there is follows. */
void share_pack(const struct share *share, uint64_t from, GByteArray *out);
/* About how many bytes share_pack() would append for from. */
size_t share_size(const struct share *share, uint64_t from);
/* Takes what a peer packed; what is older than ours, or begins after it, is
 * dropped. */
bool share_unpack(struct share *share, const void *data, size_t size,
		  struct error *err);

#endif
