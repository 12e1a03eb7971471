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
struct expected_facts {
	uint64_t facts[FACTS];
};

/* After healing: all that are up see each other as they are, those that are
 * not as dead, agree on homes and facts, and are sure that they live. */
char *members_settled(struct world *world,
		      const struct expected_facts *expected_facts);
/* At any time: nobody shows an incarnation that its owner never had. */
char *incarnations_valid(struct world *world);

/* No exchange feeds itself: what a node sent since its start stays within a
 * burst and a rate. */
char *traffic_bounded(struct world *world);

/* One call of fold_apply(). */
struct attempt {
	uint64_t base;
	char content[32];
	int64_t deadline;
	bool answered;
	bool dropped;	/* its instance ended first */
	int node_index; /* index of the node */
	enum result_code code;
	uint64_t revision;
};

/* Everything that any instance said about the configuration. */
struct checker {
	struct world *world;
	GHashTable *verdicts; /* offset -> struct fold_audit */
	GPtrArray *attempts;
	char *problem;	  /* the first broken promise */
	uint64_t changes; /* changes seen */
};

struct checker *checker_create(struct world *world);
void checker_destroy(struct checker *checker);
/* Starts the node's fold, watched. */
void checker_start(struct checker *checker, struct node *node);
void checker_stop(struct node *node);
struct attempt *checker_apply(struct checker *checker, struct node *node,
			      uint64_t base, const char *content,
			      int64_t timeout);
/* At any time. */
char *checker_check(struct checker *checker);
/* After healing: besides, all have the same in force, the last accepted. */
char *checker_check_settled(struct checker *checker);

#endif
