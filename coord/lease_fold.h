/*
 * lease_fold.h - the records of the stream "leases", and who holds what
 *
 * DESCRIPTION
 *	A record says up to which offset its author had read the stream. It is
 *	valid when no record of its task, valid or not, lies between there and
 *	itself: its author then knew all that came before. So each reader judges
 *	a record by the records around it, and those who began to read at
 *	different offsets agree. A record that reaches back beyond what a reader
 *	has read is unclear to it: maybe held, never its own.
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
	uint64_t after; /* first offset that its author had not read */
	uint64_t fence; /* 0 in LEASE_TAKE: it is the offset plus one */
	uint64_t sent;	/* by its author's own clock, in microseconds */
};

enum lease_verdict {
	LEASE_VOID,
	LEASE_UNCLEAR,
	LEASE_VALID,
};

/* What one reader knows of a task. */
struct lease_state {
	uint64_t known_from; /* all of its records from this offset on */
	uint64_t next;	     /* offset of its last record, plus one; 0: none */
	bool released;	     /* released, and not taken since */
};

void lease_record_pack(msgpack_sbuffer *out, const struct lease_record *record);
bool lease_record_unpack(struct lease_record *record, const void *data,
			 size_t size);
enum lease_verdict lease_fold(struct lease_state *state,
			      const struct lease_record *record,
			      uint64_t offset);

#endif
