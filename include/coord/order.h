/*
 * order.h - changes the role of runners, by fenced orders under a lease
 *
 * DESCRIPTION
 *	The home of a cell whose pools swap roles wants the lease of the task
 *	id_mix(id_of("roles"), cell). While it holds it, role.h decides each
 *	second. A runner that is to change gets no new work first; when its
 *	grants have ended and it reports no work, it is ordered to change, with
 *	the lease's fencing number. Before each order the engine's role is read,
 *	so that the connection is open and the order leaves in the turn in which
 *	the lease was found valid. An order whose answer was lost is repeated
 *	after the role was read again. The change is over when the engine has
 *	confirmed it and the platform's list names the runner in the other pool.
 *
 *	Whoever has taken the lease first reads each runner's role and orders it
 *	anew as it is: engines that check fencing numbers then refuse what a
 *	former holder sent. Where an engine does not check them, the lease is
 *	taken only after the time that an order under way may need
 *	(ORDER_TIMEOUT_USEC). A refused number or a lost lease ends everything.
 *
 *	The embedder reaches engines and ledger through struct order_ops. Calls
 *	are answered by orders_read_done() and orders_send_done(), never from
 *	within the callback; after cancel() they are not answered.
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
/* How long a runner may need to finish what it has. */
#define ORDER_DRAIN_USEC (600 * USEC_PER_SEC)
/* How long the list may need to show a change before that is warned of. */
#define ORDER_LIST_USEC (60 * USEC_PER_SEC)
/* A runner whose change failed is not chosen again for so long. */
#define ORDER_AVOID_USEC (300 * USEC_PER_SEC)

struct order_runner {
	uint64_t id;
	const char *name;
	enum pool_role role; /* of the pool that the list names */
	bool usable;
	bool empty; /* reports no work */
	int64_t reported_at;
	uint32_t grants;
};

/* Valid until the next call of the callback. */
struct order_cell {
	uint64_t id;
	bool checks_fencing; /* the engines of both pools do */
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
	ORDER_LOST, /* it may have taken effect */
	ORDER_FENCED,
	ORDER_REFUSED, /* it has no effect */
};

struct order_ops {
	/* Walks the cells that this is home to and whose pools swap roles. */
	bool (*cell_next)(void *ctx, uint32_t *cursor, struct order_cell *cell);
	void (*withhold)(void *ctx, uint64_t runner, bool withheld);
	void (*read)(void *ctx, uint64_t runner);
	void (*send)(void *ctx, const struct order *order);
	void (*cancel)(void *ctx, uint64_t runner);
};

struct orders;

/* settings may be NULL. */
struct orders *orders_create(struct clock *clock, const struct owner *self,
			     const struct log_store *store,
			     const struct role_settings *settings,
			     const struct order_ops *ops, void *ctx);
/* Gives up the leases. */
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

/* For the operators' view. */
struct orders_status {
	uint64_t cell;
	bool held;
	uint64_t fence;
	const char *step;   /* "idle", "assert", "drain", "order", "list" */
	const char *runner; /* "" when idle */
	enum pool_role role;
	uint32_t changes;    /* of this instance */
	double need_prefill; /* in runners */
	double need_decode;
};
bool orders_next(const struct orders *orders, uint32_t *cursor,
		 struct orders_status *status);

#endif
