/*
 * claim_fleet.h - six instances in two data centres that claim keys of one log
 */
#ifndef TESTS_CLAIM_FLEET_H
#define TESTS_CLAIM_FLEET_H

#include "coord/claim.h"
#include "fake_log.h"
#include "fake_member.h"
#include "fake_world.h"

struct fleet;

struct instance {
	struct fleet *fleet;
	uint32_t index;
	struct node *node;
	struct fake_log_client client;
	struct membership membership;
	struct claims *claims; /* NULL while down */
};

/* One call of claims_submit(); its request is its index plus one. */
struct take {
	uint32_t instance;
	uint64_t epoch; /* of its node: another means that it was killed */
	uint64_t key;
	struct owner owner;
	int64_t deadline; /* by its node's clock */
	int answers;
	enum result_code code;
	struct owner winner;
	bool late; /* answered past its deadline */
};

struct fleet {
	struct world *world;
	struct fake_log *log;
	struct member members[FAKE_MEMBERS];
	struct instance instances[FAKE_MEMBERS];
	GPtrArray *takes; /* struct take */
	int64_t link_delay;
	int drop_percent;
	int double_percent;
	int64_t view_lag; /* most by which news of a death or start comes late
			   */
	uint32_t cut;	  /* bit i: instance i hears and reaches no other */
};

struct fleet *fleet_create(uint32_t seed);
void fleet_destroy(struct fleet *fleet);
void fleet_start(struct fleet *fleet, uint32_t i);
void fleet_kill(struct fleet *fleet, uint32_t i);
void fleet_run(struct fleet *fleet, int64_t usec);
/* The take is answered in its time, unless its instance is killed. */
struct take *fleet_take(struct fleet *fleet, uint32_t i, uint64_t key,
			int64_t timeout);
/* The index of the instance that is the claim writer of that rank where
 * instance i is, as i sees it. */
uint32_t fleet_writer(const struct fleet *fleet, uint32_t i, uint32_t rank);
/* Checks every take against the log and the promises of claim.h; returns how
 * many won. */
int fleet_check(const struct fleet *fleet);

#endif
