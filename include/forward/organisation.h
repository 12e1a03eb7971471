/*
 * organisation.h - who may call: the organisations of a configuration and
 * their keys
 *
 * DESCRIPTION
 *	Keys are kept as SHA-256 digests only, so none can leak from here into a
 *	log line or to a peer. A look-up is one hash probe and a comparison that
 *	takes the same time wherever two digests differ.
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
	uint32_t priority; /* goes before a route's; 0 is the highest */
	struct limit_allotment allotment;
	bool by_tokens;	     /* units are tokens, else requests */
	double plain_tokens; /* of a request that tells no tokens */
	GArray *regions;     /* region_set, or NULL */
};

struct organisations;

struct organisations *organisations_create(void);
void organisations_destroy(struct organisations *all);
/* NULL when one of that name is there already. Zeroed but for name and id. */
struct organisation *organisation_add(struct organisations *all,
				      const char *name);
/* False when the key is there already, of whichever organisation. */
bool organisation_add_key(struct organisations *all,
			  struct organisation *organisation, const char *key,
			  size_t size);
uint32_t organisations_count(const struct organisations *all);
/* Whose key it is; NULL when it is nobody's. */
const struct organisation *organisation_of_key(const struct organisations *all,
					       const char *key, size_t size);
const struct organisation *organisation_find(const struct organisations *all,
					     uint64_t id);
/* What a request takes from its allotment; tokens is 0 when it tells none. */
double organisation_units(const struct organisation *organisation,
			  uint64_t tokens);

#endif
