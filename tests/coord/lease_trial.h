/*
 * lease_trial.h - three instances that want one task, and an engine
 *
 * DESCRIPTION
 *	Each step checks that at this instant of the true time at most one
 *	running instance holds a valid lease, that fencing numbers rise with
 *	each holder, and that an engine which does not check them gets no order
 *	that is out of date. Holders send orders at random while they hold; an
 *	order is up to ORDER_TIMEOUT on its way.
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
	bool checks_fencing; /* fencing numbers */
	uint64_t fence;	     /* the highest taken_after */
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
	bool held; /* by the callbacks */
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
/* How many hold a valid lease now: 0 or 1; its index goes to holder, which may
 * be NULL. */
int trial_check_holders(const struct trial *trial, uint32_t *holder);

void holder_start(struct holder *holder);
void holder_kill(struct holder *holder);
void holder_acquire(struct holder *holder);
void holder_release(struct holder *holder);

#endif
