/*
 * lease_fold.h - the records of the stream "leases", and which are valid
 *
 * DESCRIPTION
 *	A record contains the offset up to which its author had read the stream.
 *	It is valid when no other record of its task, valid or void, lies
 *	between that offset and the record itself: its author then knew all
 *	earlier records. Readers that begin at different offsets therefore reach
 *	the same verdict. When a record's author had read only up to an offset
 *	before the reader's first, the reader cannot judge the record: it is
 *	unclear, and may be another holder's lease, but never the reader's.
 */
#ifndef COORD_LEASE_FOLD_H
#define COORD_LEASE_FOLD_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/id.h"

enum lease_action {
	LEASE_TAKE,
	LEASE_RENEW,
	LEASE_RELEASE,
	LEASE_ACTION_COUNT,
};

/* [task, holder's instance, incarnation, action, after, fence, sent] */
struct lease_record {
	uint64_t task;
	struct owner holder;
	enum lease_action action;
	uint64_t after; /* first offset its author had not read */
	uint64_t fence; /* 0 in LEASE_TAKE: its offset plus one */
	uint64_t sent;	/* microseconds, by its author's clock */
};

enum lease_verdict {
	LEASE_VOID,
	LEASE_UNCLEAR,
	LEASE_VALID,
};

/* The state of a task as one reader knows it. */
struct lease_state {
	uint64_t known_from; /* all records from this offset on were read */
	uint64_t next;	     /* offset of its last record plus one; 0: none */
	bool released;	     /* released, and not taken since */
};

void lease_record_pack(msgpack_sbuffer *out, const struct lease_record *record);
bool lease_record_unpack(struct lease_record *record, const void *data,
			 size_t size);
enum lease_verdict lease_fold(struct lease_state *state,
			      const struct lease_record *record,
			      uint64_t offset);

#endif
