/*
 * order_private.h - the controller of one cell, for order.c and
 * order_controller.c
 */
#ifndef COORD_ORDER_PRIVATE_H
#define COORD_ORDER_PRIVATE_H

#include <glib.h>

#include "coord/lease.h"
#include "coord/order.h"

enum change_step {
	STEP_IDLE,
	STEP_ASSERT, /* orders each runner its present role, as a new holder */
	STEP_DRAIN,  /* the runner finishes its work */
	STEP_ORDER,
	STEP_LIST, /* waits until the list shows the change */
};

enum call_phase {
	CALL_NONE,
	CALL_READ,
	CALL_SEND_NEXT, /* the order is sent in the next iteration */
	CALL_SEND,
};

struct runner_name {
	uint64_t id;
	enum pool_role role; /* as listed */
	char name[64];
};

/* A runner still withheld after its change, as an order may be under way. */
struct delayed_release {
	uint64_t runner;
	int64_t until;
};

/* Changes the roles of one cell while this instance is its home. */
struct controller {
	struct orders *orders;
	uint64_t cell;
	bool checks_fencing;
	bool visited; /* by cell_next() in this tick */
	uint64_t fence;
	struct role role;
	enum change_step step;
	int64_t step_at;
	enum call_phase call;
	struct timer send_timer;
	uint64_t runner;
	char name[64];
	enum pool_role listed_role; /* when the change or assertion began */
	enum pool_role target_role;
	bool acknowledged; /* the last order was accepted */
	uint32_t changes;
	uint32_t order_attempts;
	int64_t sent_at;
	uint32_t failures;
	bool asserting;	   /* also while STEP_LIST interrupts STEP_ASSERT */
	GArray *to_assert; /* struct runner_name */
	GHashTable *avoid_until; /* runner to time */
};

struct orders {
	struct clock *clock;
	struct leases *leases;
	struct order_ops ops;
	void *ctx;
	struct role_settings settings;
	GPtrArray *controllers;
	GArray *delayed_releases; /* struct delayed_release */
	struct timer tick;
	struct orders_stats stats;
};

/* Ends withholding a runner from new work, at once or at the time until. */
void orders_release(struct orders *orders, uint64_t runner, int64_t until);
void orders_withhold(struct orders *orders, uint64_t runner);
uint64_t controller_task(const struct controller *ctl);
/* Called when the lease is acquired (start) and when it ends (stop). */
void controller_start(struct controller *ctl, uint64_t fence);
void controller_stop(struct controller *ctl);
void controller_tick(struct controller *ctl, const struct order_cell *cell);
void controller_send(struct controller *ctl);
void controller_read_done(struct controller *ctl, bool ok, enum pool_role role);
void controller_send_done(struct controller *ctl, enum order_answer answer);

#endif
