/*
 * fold_private.h - internal interface of the configuration's fold
 */
#ifndef COORD_FOLD_PRIVATE_H
#define COORD_FOLD_PRIVATE_H

#include <glib.h>
#include <msgpack.h>

#include "coord/fold.h"
#include "coord/log_tail.h"

#define FOLD_FANOUT 3
#define FOLD_TICK_USEC (1 * USEC_PER_SEC)
#define FOLD_PULL_USEC (1 * USEC_PER_SEC)
#define FOLD_BASE_WAIT_USEC (3 * USEC_PER_SEC)
#define FOLD_PENDING_MAX 64u
#define FOLD_AUDITS_SENT FOLD_HISTORY_MAX

enum record_kind {
	RECORD_PROPOSAL = 1,
	RECORD_REAPPEND, /* the file in force again, same revision */
};

/* Identifies one append uniquely. */
struct fold_tag {
	uint64_t instance;
	uint64_t incarnation;
	uint64_t number;
};

struct fold_record {
	enum record_kind kind;
	uint64_t revision; /* base of a proposal, or the reappended revision */
	uint64_t through;  /* the writer had folded all before this offset */
	struct fold_tag tag;
	char author[FOLD_AUTHOR_MAX];
	const void *content;
	size_t size;
};

/* A record read while the revision in force before it is unknown. */
struct fold_pending {
	uint64_t offset;
	int64_t unix_us;
	size_t size;
	unsigned char data[];
};

enum spread_kind {
	SPREAD_ADVERT = 1,
	SPREAD_PULL,
	SPREAD_STATE,
};

struct spread_message {
	enum spread_kind kind;
	uint64_t revision;
	uint64_t audit_next;
	uint64_t through;
	bool has_content;
	const void *content;
	size_t size;
	const msgpack_object *audits;
	uint32_t audit_count;
	bool audit_gap;
};

struct apply {
	struct fold *fold;
	struct apply_append *append; /* in flight */
	struct timer deadline;
	struct timer retry;
	uint32_t attempts;
	struct fold_tag tag;
	uint64_t base;
	msgpack_sbuffer record;
	enum result_code refusal; /* result of the check before the append */
	char reason[ERROR_TEXT_MAX];
	bool found; /* offset of its record is known */
	uint64_t offset;
	bool uncertain; /* it is unknown whether an append was made */
	bool searching; /* reads the log to its end to find the record */
	fold_apply_fn fn;
	void *fn_ctx;
};

struct fold {
	struct clock *clock;
	struct membership *membership;
	struct log_store store;
	struct transport transport;
	struct fold_ops ops;
	void *ctx;
	GRand *rand;
	bool started;

	/* The configuration in force. */
	uint64_t revision;
	void *content;
	size_t size;
	char author[FOLD_AUTHOR_MAX];
	uint64_t through; /* the fold up to this offset gives this revision */

	/* Folded from the log by this instance. */
	struct log_tail *tail;
	bool base_known;	  /* folded_revision is valid */
	uint64_t folded_revision; /* revision at the tail's position */
	uint64_t first_readable;  /* first offset after the last gap */
	uint64_t skip_until; /* peers have folded the records before this */
	int64_t base_unknown_since;
	GQueue pending;

	/* The record that holds the revision in force. */
	uint64_t record_offset;
	uint64_t record_revision;
	int64_t record_read_at;
	uint64_t log_first;
	uint64_t log_next;
	int64_t log_read_at; /* when the last page arrived */
	int64_t reappend_after;
	int64_t record_expiring_since; /* 0 if the record is not expiring */
	int64_t reappend_next;
	struct fold_reappend *reappend; /* append in flight */

	GArray *audits; /* struct fold_audit by offset */
	uint64_t audit_next;
	bool audit_gap; /* entries of records not folded here are missing */
	uint64_t audit_from;  /* the gap begins after this entry */
	uint64_t audit_until; /* and ends before this offset */
	uint32_t audit_pulls;

	bool refused; /* announced: the log refuses this instance */
	int64_t refused_at;

	struct timer tick;
	int64_t pulled_at;
	bool pulling;
	uint32_t round;

	GPtrArray *applies;
	uint64_t tag_counter;

	msgpack_sbuffer out;
	msgpack_zone zone;
	/* A record within a message or page is decoded with its own zone. */
	msgpack_zone record_zone;
};

/* fold_codec.c */
bool record_decode(struct fold *f, const void *data, size_t size,
		   struct fold_record *record);
void record_pack(msgpack_sbuffer *out, const struct fold_record *record);
bool spread_decode(struct fold *f, const void *data, size_t size,
		   struct spread_message *spread);
bool audit_decode(const msgpack_object *object, struct fold_audit *audit);
void audit_pack(msgpack_packer *packer, const struct fold_audit *audit);

/* fold_reader.c */
uint64_t fold_reader_key(void);
/* Whether this instance is one of the readers of its data centre. */
bool fold_is_reader(const struct fold *f);
/* Announces that the log refuses this instance, or that it tries again. */
void fold_refused_update(struct fold *f);

/* fold.c */
void fold_put_in_force(struct fold *f, uint64_t revision, const char *author,
		       const void *content, size_t size);
/* Starts or stops the tail: it runs while this instance is a reader or has
 * appends to read back. */
void fold_tail_update(struct fold *f);
struct fold_tag fold_tag_next(struct fold *f);

/* fold_log.c */
extern const struct log_tail_ops fold_tail_ops;
/* Sets the revision in force at offset through, and folds the records that were
 * held back. */
void fold_set_base(struct fold *f, uint64_t revision, uint64_t through);
/* Assumes a base when none was received for FOLD_BASE_WAIT_USEC. */
void fold_assume_base(struct fold *f);
void fold_pending_clear(struct fold *f);
/* Advances the fold to the revision received from peers. */
void fold_catch_up(struct fold *f);

/* fold_reappend.c */
/* Reappends the file in force when its record is old, expiring or gone. */
void fold_reappend_check(struct fold *f);
void fold_reappend_cancel(struct fold *f);

/* fold_audit.c */
void audit_add(struct fold *f, const struct fold_audit *audit);
/* Records before until were not folded here: pulls their entries from peers. */
void audit_missed(struct fold *f, uint64_t until);
const struct fold_audit *audit_find(const struct fold *f, uint64_t offset);

/* fold_apply.c */
/* Notes the offset of an apply's record when it is read back. */
void apply_seen(struct fold *f, const struct fold_record *record,
		uint64_t offset);
/* Answers the applies whose record was accepted or refused. */
void applies_check(struct fold *f);
/* The log was read to its end. */
void applies_caught_up(struct fold *f);
void applies_clear(struct fold *f);

/* fold_spread.c */
void spread_tick(struct fold *f);
void spread_changed(struct fold *f);
void spread_pull(struct fold *f, uint64_t from);

#endif
