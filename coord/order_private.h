/*
 * order_private.h - one cell's lease and the change under way, for order*.c
 */
#ifndef COORD_ORDER_PRIVATE_H
#define COORD_ORDER_PRIVATE_H

#include <glib.h>

#include "coord/lease.h"
#include "coord/order.h"

enum change_step {
	STEP_IDLE,
	STEP_ASSERT, /* orders each runner as it is, after taking the lease */
	STEP_DRAIN,  /* the runner finishes what it has */
	STEP_ORDER,
	STEP_LIST, /* until the list shows the change */
};

enum call_phase {
	CALL_NONE,
	CALL_READ,
	CALL_SEND_NEXT, /* the order leaves in the next turn */
	CALL_SEND,
};

struct runner_name {
	uint64_t id;
	enum pool_role role; /* as listed */
	char name[64];
};

/* An order to it may be under way though nothing is done with it any more. */
struct delayed_release {
	uint64_t runner;
	int64_t until;
};

struct controller {
	struct orders *orders;
	uint64_t cell;
	bool checks_fencing;
	bool visited;
	uint64_t fence;
	struct role role;
	enum change_step step;
	int64_t step_at;
	enum call_phase call;
	struct timer send_timer;
	uint64_t runner;
	char name[64];
	enum pool_role listed_role; /* when its change or assertion began */
	enum pool_role target_role;
	bool acknowledged; /* the last order was answered */
	uint32_t changes;
	uint32_t order_attempts;
	int64_t sent_at;
	uint32_t failures;
	bool asserting;
	GArray *to_assert;	 /* struct runner_name, yet to be asserted */
	GHashTable *avoid_until; /* runner to the time when it may be chosen */
};

struct orders {
	struct clock *clock;
	struct leases *leases;
	struct order_ops ops;
	void *ctx;
	struct role_settings settings;
	GPtrArray *controllers;
	GArray *delayed_releases; /* struct delayed_release: withheld until then
				   */
	struct timer tick;
	struct orders_stats stats;
};

/* Lets a runner go, at once or when no order to it can be under way. */
void orders_release(struct orders *orders, uint64_t runner, int64_t until);
void orders_withhold(struct orders *orders, uint64_t runner);
uint64_t controller_task(const struct controller *ctl);
/* The lease begins and ends. */
void controller_start(struct controller *ctl, uint64_t fence);
void controller_stop(struct controller *ctl);
void controller_tick(struct controller *ctl, const struct order_cell *cell);
void controller_send(struct controller *ctl);
void controller_read_done(struct controller *ctl, bool ok, enum pool_role role);
void controller_send_done(struct controller *ctl, enum order_answer answer);

#endif
