/*
 * invariants.h - what must hold of membership and configuration, in one place
 *
 * Each check returns NULL, or a text that says what is wrong, to be freed.
 */
#ifndef TESTS_MEMBER_INVARIANTS_H
#define TESTS_MEMBER_INVARIANTS_H

#include "world.h"

#define FACTS 4

/* What the test itself knows of facts: the newest version set of each. */
struct truth {
	uint64_t facts[FACTS];
};

/* After healing: all that are up see each other as they are, those that are
 * not as dead, agree on homes and facts, and are sure that they live. */
char *members_settled(struct world *world, const struct truth *truth);
/* At any time: nobody shows an incarnation that its owner never had. */
char *members_true(struct world *world);

/* No exchange feeds itself: what a node sent since its start stays within a
 * burst and a rate. */
char *traffic_bounded(struct world *world);

/* One call of fold_apply(). */
struct attempt {
	uint64_t base;
	char content[32];
	int64_t deadline;
	bool answered;
	bool dropped; /* its instance ended first */
	int by;	      /* index of the node */
	enum result_code code;
	uint64_t revision;
};

/* Everything that any instance said about the configuration. */
struct chronicle {
	struct world *world;
	GHashTable *judged; /* offset -> struct fold_audit */
	GPtrArray *attempts;
	char *problem; /* the first broken promise */
	uint64_t took; /* changes seen */
};

struct chronicle *chronicle_create(struct world *world);
void chronicle_destroy(struct chronicle *chronicle);
/* Starts the node's fold, watched. */
void chronicle_start(struct chronicle *chronicle, struct node *node);
void chronicle_stop(struct node *node);
struct attempt *chronicle_apply(struct chronicle *chronicle, struct node *node,
				uint64_t base, const char *content,
				int64_t timeout);
/* At any time. */
char *chronicle_holds(struct chronicle *chronicle);
/* After healing: besides, all have the same in force, the last accepted. */
char *chronicle_settled(struct chronicle *chronicle);

#endif
