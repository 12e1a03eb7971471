/*
 * order.h - changes the role of runners by fenced orders under a lease
 *
 * DESCRIPTION
 *	The home of a cell whose pools swap roles acquires the lease of the task
 *	id_mix(id_of("roles"), cell). While it holds the lease, role.h decides
 *	each second whether a runner should change. That runner is first
 *	withheld from new work. Once its grants have ended and it reports no
 *	work, it is sent an order with the lease's fencing number. Before each
 *	order the role of the engine is read: this opens the connection, so that
 *	the order leaves in the iteration of the event loop in which the lease
 *	was found valid. If the answer to an order is lost, the role is read
 *	again and the order repeated. The change is complete when the engine has
 *	confirmed it and the platform's list shows the runner in the other pool.
 *
 *	A new holder first reads each runner's role and orders that same role:
 *	engines that check fencing numbers then refuse late orders of the former
 *	holder. For engines that do not check them, the lease is taken only once
 *	an earlier order can no longer take effect (ORDER_TIMEOUT_USEC). A
 *	refused fencing number or a lost lease ends the change under way.
 *
 *	Engines and ledger are reached through struct order_ops. The embedder
 *	answers read() and send() by orders_read_done() and orders_send_done(),
 *	never from within the callback, and not at all after cancel().
 *
 * SEE ALSO
 *	coord/lease.h, coord/role.h, docs/design/roles.md
 */
#ifndef COORD_ORDER_H
#define COORD_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/id.h"
#include "config/config.h"
#include "coord/log_store.h"
#include "coord/role.h"

/* An order takes effect within this time of being sent, or never. */
#define ORDER_TIMEOUT_USEC (5 * USEC_PER_SEC)
#define ORDER_TICK_USEC (1 * USEC_PER_SEC)
/* Limit on the time in which a runner finishes its work. */
#define ORDER_DRAIN_USEC (600 * USEC_PER_SEC)
/* Time until a change missing from the list is logged as a warning. */
#define ORDER_LIST_USEC (60 * USEC_PER_SEC)
/* Time during which a runner whose change failed is not chosen again. */
#define ORDER_AVOID_USEC (300 * USEC_PER_SEC)

struct order_runner {
	uint64_t id;
	const char *name;
	enum pool_role role; /* of its pool in the platform's list */
	bool usable;
	bool empty; /* reports no work */
	int64_t reported_at;
	uint32_t grants;
};

/* Valid until the next call of cell_next(). */
struct order_cell {
	uint64_t id;
	bool checks_fencing; /* all engines of both pools check fences */
	struct role_load load;
	const struct order_runner *runners;
	uint32_t runner_count;
};

struct order {
	uint64_t cell;
	uint64_t runner;
	enum pool_role role;
	uint64_t fence;
};

enum order_answer {
	ORDER_TAKEN,
	ORDER_LOST, /* no answer: it may have taken effect */
	ORDER_FENCED,
	ORDER_REFUSED, /* the order has no effect */
};

struct order_ops {
	/* Walks the cells with this home whose pools swap roles. */
	bool (*cell_next)(void *ctx, uint32_t *cursor, struct order_cell *cell);
	void (*withhold)(void *ctx, uint64_t runner, bool withheld);
	void (*read)(void *ctx, uint64_t runner);
	void (*send)(void *ctx, const struct order *order);
	void (*cancel)(void *ctx, uint64_t runner);
};

struct orders;

/* settings may be NULL, for the defaults. */
struct orders *orders_create(struct clock *clock, const struct owner *self,
			     const struct log_store *store,
			     const struct role_settings *settings,
			     const struct order_ops *ops, void *ctx);
/* Releases the leases. */
void orders_destroy(struct orders *orders);
void orders_read_done(struct orders *orders, uint64_t runner, bool ok,
		      enum pool_role role);
void orders_send_done(struct orders *orders, uint64_t runner,
		      enum order_answer answer);

struct orders_stats {
	uint64_t sent;
	uint64_t lost;
	uint64_t fenced;
	uint64_t refused;
	uint64_t changes;
	uint64_t failures;
	uint32_t leases; /* held now */
};

void orders_stats(const struct orders *orders, struct orders_stats *stats);

/* The state of one cell, for status pages. */
struct orders_status {
	uint64_t cell;
	bool held;
	uint64_t fence;
	const char *step;   /* "idle", "assert", "drain", "order", "list" */
	const char *runner; /* "" when idle */
	enum pool_role role;
	uint32_t changes;    /* made by this instance */
	double need_prefill; /* in runners */
	double need_decode;
};
bool orders_next(const struct orders *orders, uint32_t *cursor,
		 struct orders_status *status);

#endif
