/*
 * world.h - two instances that send orders, and engines with faults
 *
 * DESCRIPTION
 *	The instance `home` is home to the cell. Runners that it does not
 *	withhold get grants. At each step these invariants are checked: one
 *	runner changes at a time, only without a grant; no role is without a
 *	runner; and no engine accepts an out-of-date order.
 */
#ifndef TESTS_ORDER_WORLD_H
#define TESTS_ORDER_WORLD_H

#include "coord/order.h"
#include "fake_log.h"
#include "fake_world.h"

#define INSTANCES 2
#define ENGINES 6u
#define CELL 42

struct engine {
	enum pool_role role;
	enum pool_role listed;
	int64_t changed_at; /* true time */
	uint64_t fence;
	bool unreachable;
	bool ignores_orders;  /* accepts orders, but keeps its role */
	bool busy;	      /* its grants do not end */
	uint32_t lose_orders; /* the next orders that do not arrive */
	uint32_t lose_answers;
	uint32_t grants;
	int64_t grants_end;
	int64_t work_until; /* end of its work by its reports */
	uint32_t orders;    /* accepted */
	uint32_t refused;
};

struct instance {
	struct order_world *world;
	struct node *node;
	struct fake_log_client client;
	struct orders *orders;
	uint64_t incarnation;
	bool withheld[ENGINES];
	int64_t reported[ENGINES];
	struct order_runner view[ENGINES];
	uint64_t last_call; /* answers to earlier ones are ignored */
};

struct order_world {
	struct world *world;
	struct fake_log *log;
	struct node *engine_node;
	struct instance instances[INSTANCES];
	struct engine engines[ENGINES];
	uint32_t home;
	bool checks_fencing;
	bool list_frozen;
	int64_t order_delay;	   /* random, below this */
	int64_t first_order_delay; /* fixed, of the first instance */
	double need_prefill;	   /* in runners */
	double need_decode;
	uint32_t changes;
	int64_t last_change;  /* true time */
	int64_t min_interval; /* between two changes */
};

struct order_world *order_world_create(uint32_t seed, bool checks_fencing);
void order_world_destroy(struct order_world *world);
void instance_start(struct instance *instance);
void instance_kill(struct instance *instance);
void order_world_run(struct order_world *world, int64_t usec);
/* Runs until the condition holds; false if that takes longer than usec. */
bool order_world_until(struct order_world *world, int64_t usec,
		       bool (*condition)(const struct order_world *world));
uint32_t engines_of(const struct order_world *world, enum pool_role role);
uint32_t withheld_count(const struct order_world *world);

#endif
