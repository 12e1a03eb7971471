/*
 * lease_trial.h - three instances that want one task, and an engine
 *
 * DESCRIPTION
 *	At each step of the true time at most one running instance may hold a
 *	valid lease, fencing numbers must rise with each new holder, and an
 *	engine that does not check them must get no out-of-date order. Holders
 *	send orders at random; an order arrives within ORDER_TIMEOUT.
 */
#ifndef TESTS_LEASE_TRIAL_H
#define TESTS_LEASE_TRIAL_H

#include "coord/lease.h"
#include "fake_log.h"
#include "fake_world.h"

#define HOLDERS 3u
#define TASK 5u
#define ORDER_TIMEOUT (6 * USEC_PER_SEC)

struct engine {
	bool checks_fencing;
	uint64_t fence; /* the highest received */
	int64_t orders;
	int64_t refused;
};

struct trial;

struct holder {
	struct trial *trial;
	struct node *node;
	struct fake_log_client client;
	struct leases *leases; /* NULL while down */
	uint64_t incarnation;
	bool held; /* according to the callbacks */
	bool wants;
};

struct trial {
	struct world *world;
	struct fake_log *log;
	struct holder holders[HOLDERS];
	struct engine engine;
	uint64_t fence; /* the highest taken */
	uint64_t fence_owner;
	int taken;
};

struct trial *trial_create(uint32_t seed);
void trial_destroy(struct trial *trial);
void trial_step(struct trial *trial);
void trial_run(struct trial *trial, int64_t usec);
/* The number of valid leases now, 0 or 1. The holder's index goes to
 * *holder_index if that is not NULL. */
int trial_check_holders(const struct trial *trial, uint32_t *holder_index);

void holder_start(struct holder *holder);
void holder_kill(struct holder *holder);
void holder_acquire(struct holder *holder);
void holder_release(struct holder *holder);

#endif
