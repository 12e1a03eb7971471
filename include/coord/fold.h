/*
 * fold.h - the configuration in force, as a fold over the log
 *
 * DESCRIPTION
 *	An operator's file is appended whole with the revision that it is based
 *	on. Every reader folds the log in the same way: a record is accepted
 *	when its base is the revision in force at its offset and its content
 *	passes the check; its own offset plus one is then the revision. So
 *	concurrent operators agree without a lock. A lower revision never
 *	replaces a higher one. Before retention drops the record in force, one
 *	instance reappends it under its revision. Instances exchange (revision,
 *	content) among each other.
 *
 *	The two instances of a data centre with the highest rendezvous weight
 *	read the log. One whose reads fail three times in a row announces that
 *	in a membership fact and stops reading for ten seconds; for each such
 *	instance the next in rank reads as well. All others learn from the
 *	readers: a change is advertised to three peers at once, and each
 *	instance advertises what it has to one peer a second; one that lacks the
 *	content pulls it. Readers advertise to other data centres too, for those
 *	that cannot reach the log.
 *
 *	A reader that starts after retention dropped the record in force takes
 *	the next reappended record or the state of a peer. When it gets neither
 *	within three seconds it assumes the latest base that the remaining
 *	records name.
 */
#ifndef COORD_FOLD_H
#define COORD_FOLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"
#include "coord/log_store.h"
#include "coord/member.h"
#include "coord/transport.h"

#define REVISION_NONE UINT64_C(0)
#define FOLD_AUTHOR_MAX 64
#define FOLD_HISTORY_MAX 256
#define FOLD_REAPPEND_USEC (600 * USEC_PER_SEC)
/* Largest record that the log accepts, and the part of it besides the file. */
#define FOLD_RECORD_MAX (512u << 10)
#define FOLD_RECORD_HEAD 256u

/* One line of the audit trail. */
struct fold_audit {
	/* Offset of the record plus 1: offsets start at 0, revisions at 1. */
	uint64_t offset;
	uint64_t base;
	int64_t unix_us;
	char author[FOLD_AUTHOR_MAX];
	enum result_code code; /* RESULT_OK when accepted */
	char reason[ERROR_TEXT_MAX];
	uint64_t content_hash;
	size_t size;
};

struct fold_ops {
	/* Checks content before it is accepted; must be deterministic. */
	bool (*check)(void *ctx, const void *data, size_t size,
		      struct error *err);
	/* A higher revision is in force. */
	void (*changed)(void *ctx, uint64_t revision, const void *data,
			size_t size);
	void (*audit)(void *ctx, const struct fold_audit *entry);
};

/* code is RESULT_OK, RESULT_STALE_REVISION, RESULT_BAD_CONFIG,
 * RESULT_TOO_LARGE, or an error of the log; revision is the one in force after
 * the record was read back. */
typedef void (*fold_apply_fn)(void *ctx, enum result_code code,
			      uint64_t revision, const char *reason);

struct fold;

struct fold *fold_create(struct clock *clock, struct membership *membership,
			 const struct log_store *store,
			 const struct transport *transport,
			 const struct fold_ops *ops, void *ctx);
void fold_destroy(struct fold *fold);
void fold_start(struct fold *fold);
/* Sets the age at which the record in force is reappended, at most a third of
 * the log's retention. Default FOLD_REAPPEND_USEC. */
void fold_reappend_after(struct fold *fold, int64_t usec);
void fold_receive(struct fold *fold, uint64_t from, const void *data,
		  size_t size);
/* To be called for each membership change. */
void fold_member_changed(struct fold *fold, const struct member *member);
/* Appends the file and answers once the record was read back; an append whose
 * answer was lost is found by its unique tag. After timeout_us the answer is
 * RESULT_LOG_DOWN (not appended) or RESULT_LOG_UNKNOWN. A file that is refused
 * is appended as well, for the audit trail; while the log is down it is refused
 * without an append. fn is called in a later iteration of the event loop,
 * exactly once, but not after fold_destroy(). */
void fold_apply(struct fold *fold, uint64_t base, const char *author,
		const void *data, size_t size, int64_t timeout_us,
		fold_apply_fn fn, void *fn_ctx);
uint64_t fold_revision(const struct fold *fold);
const void *fold_content(const struct fold *fold, size_t *size);
/* Whether this instance currently reads the log. */
bool fold_reading(const struct fold *fold);
size_t fold_history(const struct fold *fold, const struct fold_audit **entries);

#endif
