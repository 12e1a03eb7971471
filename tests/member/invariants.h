/*
 * invariants.h - invariants of membership and configuration
 *
 * Each check returns NULL, or a text that describes the violation, to be freed
 * by the caller.
 */
#ifndef TESTS_MEMBER_INVARIANTS_H
#define TESTS_MEMBER_INVARIANTS_H

#include "world.h"

#define FACTS 4

/* The newest version that the test set of each fact. */
struct expected_facts {
	uint64_t facts[FACTS];
};

/* After recovery: nodes that are up have the right view of all others, agree on
 * homes and facts, and none is uncertain whether it is alive. */
char *members_settled(struct world *world,
		      const struct expected_facts *expected_facts);
/* At any time: no node shows an incarnation that its owner never had. */
char *incarnations_valid(struct world *world);

/* No exchange of messages sustains itself: the number that a node sent stays
 * within a burst and a rate. */
char *traffic_bounded(struct world *world);

/* One call of fold_apply(). */
struct attempt {
	uint64_t base;
	char content[32];
	int64_t deadline;
	bool answered;
	bool dropped; /* its instance stopped before the answer */
	int node_index;
	enum result_code code;
	uint64_t revision;
};

/* Records the audits and answers of all instances, and checks them. */
struct checker {
	struct world *world;
	GHashTable *verdicts; /* offset -> struct fold_audit */
	GPtrArray *attempts;
	char *problem;	  /* the first violation */
	uint64_t changes; /* reported by all instances */
};

struct checker *checker_create(struct world *world);
void checker_destroy(struct checker *checker);
/* Creates the node's fold and records what it reports. */
void checker_start(struct checker *checker, struct node *node);
void checker_stop(struct node *node);
struct attempt *checker_apply(struct checker *checker, struct node *node,
			      uint64_t base, const char *content,
			      int64_t timeout);
/* At any time. */
char *checker_check(struct checker *checker);
/* After recovery: also that all instances have the last accepted revision in
 * force and that every attempt was answered. */
char *checker_check_settled(struct checker *checker);

#endif
