/*
 * claim_writer.h - appends claims to the log in groups, and decides them by
 *		    what it reads back
 *
 * DESCRIPTION
 *	A claim that is taken waits until its record was read, or until its
 *	patience ends. Each record read is folded, whoever wrote it, and decides
 *	every claim in it that waits here. An append that was surely refused is
 *	repeated after a backoff; one whose answer was lost is looked for by its
 *	sequence, and repeated when it is not read back soon.
 */
#ifndef COORD_CLAIM_WRITER_H
#define COORD_CLAIM_WRITER_H

#include <stdbool.h>
#include <stdint.h>

#include "claim_codec.h"
#include "common/clock.h"
#include "coord/log_store.h"

/* kind is never CLAIM_REPLY_PENDING here. */
typedef void (*claim_decided_fn)(void *ctx, const struct claim_id *id,
				 uint64_t attempt, enum claim_reply_kind kind,
				 const struct owner *winner);

struct claim_writer;

struct claim_writer *claim_writer_create(struct clock *clock,
					 const struct owner *self,
					 const struct log_store *store,
					 uint32_t keys_max, claim_decided_fn fn,
					 void *ctx);
void claim_writer_destroy(struct claim_writer *writer);
/* Begins or ends to follow the log; claims that wait are decided first. */
void claim_writer_set_running(struct claim_writer *writer, bool run);
/* Returns CLAIM_REPLY_PENDING when the claim waits, else its decision. */
enum claim_reply_kind claim_writer_submit(struct claim_writer *writer,
					  const struct claim *claim,
					  uint64_t attempt, int64_t decide_usec,
					  struct owner *winner);

#endif
