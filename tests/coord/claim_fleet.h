/*
 * claim_fleet.h - six instances in two data centres that claim keys through one
 *		   log
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
struct submission {
	uint32_t instance;
	uint64_t epoch; /* of its node; it differs once the instance was killed
			 */
	uint64_t key;
	struct owner owner;
	int64_t deadline; /* by its node's clock */
	int answers;
	enum result_code code;
	struct owner winner;
	bool late; /* answered after its deadline */
};

struct fleet {
	struct world *world;
	struct fake_log *log;
	struct member members[FAKE_MEMBERS];
	struct instance instances[FAKE_MEMBERS];
	GPtrArray *submissions; /* struct submission */
	int64_t link_delay;
	int drop_percent;
	int duplicate_percent;
	int64_t view_lag;  /* longest delay until a start or crash is seen */
	uint32_t isolated; /* bit i: instance i exchanges no messages with
			      others */
};

struct fleet *fleet_create(uint32_t seed);
void fleet_destroy(struct fleet *fleet);
void fleet_start(struct fleet *fleet, uint32_t i);
void fleet_kill(struct fleet *fleet, uint32_t i);
void fleet_run(struct fleet *fleet, int64_t usec);
/* Submits a claim at instance i. */
struct submission *fleet_submit(struct fleet *fleet, uint32_t i, uint64_t key,
				int64_t timeout);
/* The index of the claim writer of that rank in the data centre of instance i,
 * according to the membership of i. */
uint32_t fleet_writer(const struct fleet *fleet, uint32_t i, uint32_t rank);
/* Checks the answer to every submission against the log and the guarantees of
 * claim.h; returns how many won. An answer may be missing only when the
 * instance was killed. */
int fleet_check(const struct fleet *fleet);

#endif
