/*
 * claim_writer.h - appends claims to the log in groups and decides them from
 *		    the records that it reads back
 *
 * DESCRIPTION
 *	An accepted claim is pending until its record is read, or until its
 *	decide_usec have passed. Each record of any writer is folded, and
 *	decides every claim in it that is pending here. An append that was
 *	certainly refused is repeated after a backoff. When the answer to an
 *	append is lost, its record is recognised by its sequence, and appended
 *	again if it is not read back soon.
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
/* Starts or stops following the log. It stops only when no claim is pending. */
void claim_writer_set_running(struct claim_writer *writer, bool run);
/* Returns CLAIM_REPLY_PENDING when the claim is pending, otherwise the reply to
 * it. */
enum claim_reply_kind claim_writer_submit(struct claim_writer *writer,
					  const struct claim *claim,
					  uint64_t attempt, int64_t decide_usec,
					  struct owner *winner);

#endif
