/*
 * organisation.h - the organisations of a configuration and their API keys
 *
 * DESCRIPTION
 *	Only SHA-256 digests of keys are kept, so no key can leak from here into
 *	a log line or to a peer. A look-up is a hash table look-up with a
 *	constant-time comparison of digests.
 */
#ifndef FORWARD_ORGANISATION_H
#define FORWARD_ORGANISATION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coord/limit.h"

struct organisation {
	char *name;
	uint64_t id; /* id_of(name) */
	bool has_priority;
	uint32_t priority; /* overrides the route's; 0 is the highest */
	struct limit_allotment allotment;
	bool by_tokens;	     /* units are tokens, otherwise requests */
	double plain_tokens; /* units of a request without token counts */
	GArray *regions;     /* region_set, or NULL */
};

struct organisations;

struct organisations *organisations_create(void);
void organisations_destroy(struct organisations *all);
/* Adds an organisation with name and id set and all else zero; NULL when the
 * name exists. */
struct organisation *organisation_add(struct organisations *all,
				      const char *name);
/* False when any organisation has the key already. */
bool organisation_add_key(struct organisations *all,
			  struct organisation *organisation, const char *key,
			  size_t size);
uint32_t organisations_count(const struct organisations *all);
/* Calls fn with each organisation, in any order. */
void organisations_each(const struct organisations *all,
			void (*fn)(void *ctx,
				   const struct organisation *organisation),
			void *ctx);
/* The organisation that has the key; NULL when none has. */
const struct organisation *organisation_of_key(const struct organisations *all,
					       const char *key, size_t size);
const struct organisation *organisation_find(const struct organisations *all,
					     uint64_t id);
/* Units that a request takes from the allotment; tokens is 0 for a request
 * without token counts. */
double organisation_units(const struct organisation *organisation,
			  uint64_t tokens);

#endif
