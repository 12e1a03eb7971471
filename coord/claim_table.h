/*
 * claim_table.h - who claimed which key first, folded from the log
 *
 * DESCRIPTION
 *	Every reader that folds the same records comes to the same verdicts. A
 *	claim loses when an earlier claim of its key, won or lost, lies less
 *	than CLAIM_KEEP_USEC before it by the log's time: whether it does so
 *	depends on these two records only, so a reader that lacks still earlier
 *	ones agrees.
 */
#ifndef COORD_CLAIM_TABLE_H
#define COORD_CLAIM_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "claim_codec.h"

enum claim_verdict {
	CLAIM_WON,
	CLAIM_LOST,
	CLAIM_UNSURE, /* the table was too full to remember all keys */
	CLAIM_NEW,    /* found by claim_table_find() only: no claim yet */
};

struct claim_table;

/* Remembers at most max keys. */
struct claim_table *claim_table_create(uint32_t max);
void claim_table_destroy(struct claim_table *table);
/* Folds the next claim in log order; winner is filled in unless unsure. */
enum claim_verdict claim_table_fold(struct claim_table *table,
				    const struct claim *claim, int64_t unix_us,
				    struct owner *winner);
/* The verdict on a claim as far as folded. */
enum claim_verdict claim_table_find(const struct claim_table *table,
				    const struct claim *claim,
				    struct owner *winner);
uint32_t claim_table_size(const struct claim_table *table);
/* Whether new keys can be remembered, and old ones are all known. */
bool claim_table_accepts_new(const struct claim_table *table);

#endif
