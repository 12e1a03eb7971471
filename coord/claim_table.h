/*
 * claim_table.h - the first claim of each key, folded from the log
 *
 * DESCRIPTION
 *	All readers that fold the same records reach the same verdicts. A claim
 *	loses when an earlier claim of its key, won or lost, is less than
 *	CLAIM_KEEP_USEC older by the log's time. This depends on these two
 *	records only, so a reader that lacks earlier ones reaches the same
 *	verdict.
 */
#ifndef COORD_CLAIM_TABLE_H
#define COORD_CLAIM_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "claim_codec.h"

enum claim_verdict {
	CLAIM_WON,
	CLAIM_LOST,
	CLAIM_UNSURE, /* the table was full, so an earlier claim may be missing
		       */
	CLAIM_NEW,    /* from claim_table_find() only: no claim yet */
};

struct claim_table;

/* max: keys that the table holds. */
struct claim_table *claim_table_create(uint32_t max);
void claim_table_destroy(struct claim_table *table);
/* Folds the next claim in log order. winner is not set when the table is full.
 */
enum claim_verdict claim_table_fold(struct claim_table *table,
				    const struct claim *claim, int64_t unix_us,
				    struct owner *winner);
/* The verdict by the claims folded so far. */
enum claim_verdict claim_table_find(const struct claim_table *table,
				    const struct claim *claim,
				    struct owner *winner);
uint32_t claim_table_size(const struct claim_table *table);
/* Whether the table has room for a new key, and is missing none. */
bool claim_table_accepts_new(const struct claim_table *table);

#endif
