/*
 * claim_refusals.h - claims given up of late, so that a late copy of an ask
 *		      is not taken after its answer
 *
 * DESCRIPTION
 *	"Surely not appended" must stay true when a link delays or repeats what
 *	was sent before that answer. Claims are forgotten after one to two times
 *	CLAIM_TIMEOUT_MAX_USEC, when no one waits for their answer any more.
 */
#ifndef COORD_CLAIM_REFUSALS_H
#define COORD_CLAIM_REFUSALS_H

#include <stdbool.h>
#include <stdint.h>

#include "claim_codec.h"

struct claim_refusals;

struct claim_refusals *claim_refusals_create(void);
void claim_refusals_destroy(struct claim_refusals *refusals);
/* kind is CLAIM_REPLY_NOT_APPENDED or CLAIM_REPLY_DECLINED, which hold for asks
 * up to attempt, or CLAIM_REPLY_UNDECIDED, which holds for all. */
void claim_refusals_add(struct claim_refusals *refusals, int64_t now,
			const struct claim_id *id, uint64_t attempt,
			enum claim_reply_kind kind);
/* Whether the ask is one to refuse again, and how. */
bool claim_refusals_find(const struct claim_refusals *refusals,
			 const struct claim_id *id, uint64_t attempt,
			 enum claim_reply_kind *kind);

#endif
