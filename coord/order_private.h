/*
 * order_private.h - one cell's lease and the change under way, for order*.c
 */
#ifndef COORD_ORDER_PRIVATE_H
#define COORD_ORDER_PRIVATE_H

#include <glib.h>

#include "coord/lease.h"
#include "coord/order.h"

enum site_step {
	STEP_IDLE,
	STEP_ASSERT, /* orders each runner as it is, after taking the lease */
	STEP_DRAIN,  /* the runner finishes what it has */
	STEP_ORDER,
	STEP_LIST, /* until the list shows the change */
};

enum site_call {
	CALL_NONE,
	CALL_READ,
	CALL_TURN, /* the order leaves in the next turn */
	CALL_SEND,
};

struct runner_name {
	uint64_t id;
	enum pool_role role; /* as listed */
	char name[64];
};

/* An order to it may be under way though nothing is done with it any more. */
struct linger {
	uint64_t runner;
	int64_t until;
};

struct site {
	struct orders *orders;
	uint64_t cell;
	bool checks_fencing;
	bool seen;
	uint64_t fence;
	struct role role;
	enum site_step step;
	int64_t step_at;
	enum site_call call;
	struct timer turn;
	uint64_t runner;
	char name[64];
	enum pool_role listed; /* when its change or assertion began */
	enum pool_role target;
	bool acknowledged; /* the last order was answered */
	uint32_t changes;
	uint32_t sends;
	int64_t sent_at;
	uint32_t failures;
	bool asserting;
	GArray *asserts;   /* struct runner_name, yet to be asserted */
	GHashTable *avoid; /* runner to the time when it may be chosen */
};

struct orders {
	struct clock *clock;
	struct leases *leases;
	struct order_ops ops;
	void *ctx;
	struct role_settings settings;
	GPtrArray *sites;
	GArray *lingers; /* struct linger: withheld until then */
	struct timer tick;
	struct orders_stats stats;
};

/* Lets a runner go, at once or when no order to it can be under way. */
void orders_release(struct orders *orders, uint64_t runner, int64_t until);
void orders_withhold(struct orders *orders, uint64_t runner);
uint64_t site_task(const struct site *site);
/* The lease begins and ends. */
void site_take(struct site *site, uint64_t fence);
void site_stop(struct site *site);
void site_tick(struct site *site, const struct order_cell *cell);
void site_send(struct site *site);
void site_read_done(struct site *site, bool ok, enum pool_role role);
void site_send_done(struct site *site, enum order_answer answer);

#endif
