/*
 * world.h - simulated instances with a ledger each, over an unreliable network
 *
 * DESCRIPTION
 *	Each instance has its own simulated clock, so that one can be paused
 *	while the others run. Engines, network and membership are fakes on the
 *	world's clock. All random choices come from one seeded generator.
 */
#ifndef TESTS_LEDGER_WORLD_H
#define TESTS_LEDGER_WORLD_H

#include <glib.h>

#include "call_queue.h"
#include "common/clock.h"
#include "coord/ledger.h"
#include "packet.h"

#define INSTANCES_MAX 4
#define ENGINES_MAX 4

enum job_state {
	JOB_SUBMITTED,
	JOB_PREFILL,
	JOB_DECODE,
	JOB_CANCELLING,
	JOB_DONE,
	JOB_REFUSED,
	JOB_DUPLICATE,
	JOB_WITHDRAWN,
	JOB_REVOKED,
	JOB_LOST, /* its instance died */
};

/* A caller's request; a field of 0 takes the default. */
struct spec {
	const char *service; /* default "model" */
	uint64_t key;
	uint64_t fingerprint;
	enum request_class class;
	uint32_t tokens;      /* default 4,000: two pieces */
	int64_t decode_usec;  /* default 100 ms */
	int64_t prefill_usec; /* default 20 ms */
	int64_t timeout;      /* to the deadline; 0: none */
	uint64_t block;	      /* first block of the prompt; 0: none */
	bool not_idempotent;
};

/* A request of a caller at one instance. */
struct job {
	struct world *world;
	struct instance *instance;
	uint64_t request;
	uint64_t incarnation; /* of the instance at submission or grant */
	uint64_t key;
	enum request_class class;
	enum job_state state;
	uint32_t answers; /* first grant, refusal or duplicate */
	uint32_t attempt;
	uint32_t fail_times; /* attempts that end with a lost stream */
	int64_t submitted_at;
	int64_t answered_at;
	int64_t decode_usec;
	int64_t prefill_usec;
	bool adopt; /* takes over the stream of a dead owner */
	bool adopted;
	struct ledger_grant grant;
	struct ledger_refusal refusal;
	struct ledger_duplicate duplicate;
	char stream[LEDGER_STREAM_MAX];
	struct timer timer;
};

struct engine {
	struct world *world;
	uint64_t id;
	enum pool_role role;
	uint32_t pieces;
	uint32_t used;
	uint32_t stale; /* of used: by owners already declared dead */
	uint32_t refused;
	uint32_t next_stream;
	bool leaving;
	bool ignores_cancel;
	GHashTable *streams;
};

struct instance {
	struct world *world;
	int index;
	uint64_t id;
	struct clock *clock;
	struct membership *membership;
	struct ledger *ledger;
	bool up;
	bool paused;
	GQueue inbox; /* messages received while paused */
	struct timer poll;
};

struct world {
	struct clock *clock;
	GRand *rand;
	const struct config *config;
	GPtrArray *configs;
	struct instance instances[INSTANCES_MAX];
	int count;
	struct engine engines[ENGINES_MAX];
	int engine_count;
	GPtrArray *jobs;
	uint64_t next_request;
	bool blocked[INSTANCES_MAX][INSTANCES_MAX]; /* from, to */
	int64_t extra_delay[INSTANCES_MAX][INSTANCES_MAX];
	double loss_rate;
	double duplicate_rate;
	double corruption_rate; /* of messages with one byte changed */
	struct ledger_settings settings;
	int64_t poll_interval; /* between polls of a runner */
	int64_t delay_max;
	int64_t split_brain_until; /* invariants are not checked until then */
	uint32_t split_brains;
	uint64_t messages;
	uint64_t bytes;
	struct call_queue *call_queue;
	GString *violation; /* of the first invariant that did not hold */
};

/* world.c */
struct world *world_create(uint32_t seed, int instances, const char *policy,
			   uint32_t queue_max);
void world_destroy(struct world *world);
/* Runs for 20 s, by which all requests must have ended, checks the invariants
 * and destroys the world. */
void world_end(struct world *world);
void world_run(struct world *world, int64_t usec);
/* Runs until the condition holds; fails after five seconds. */
#define world_until(world, condition)                                          \
	do {                                                                   \
		for (int i_ = 0; i_ < 100000 && !(condition); i_++)            \
			world_run(world, 50);                                  \
		g_assert_true(condition);                                      \
	} while (0)
/* Calls fn once after delay on the world's clock. */
void world_after(struct world *world, int64_t delay, void (*fn)(void *),
		 void *ctx, GDestroyNotify destroy);
void world_kill(struct world *world, int index);
void world_restart(struct world *world, int index);
void world_pause(struct world *world, int index);
void world_resume(struct world *world, int index);
void world_leave(struct world *world, int index);
/* Drops messages in one direction. */
void world_block(struct world *world, int from, int to, bool blocked);
/* Restarts all instances with settings; for the start of a test. */
void world_restart_all(struct world *world,
		       const struct ledger_settings *settings);
/* Applies another policy at all instances. */
void world_configure(struct world *world, const char *policy,
		     uint32_t queue_max);
struct instance *world_home(struct world *world);
int64_t world_range(struct world *world, int64_t low, int64_t high);
bool world_chance(struct world *world, double p);
void world_fail(struct world *world, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* members.c: each instance's view of the membership. */
struct membership *members_create(struct world *world, int index);
void members_destroy(struct membership *membership);
/* Announces the state to all instances, each after its own random delay. */
void members_announce(struct world *world, int index, enum member_state state,
		      int64_t delay_max);
void members_refresh(struct world *world, int index);
uint64_t members_raise_incarnation(struct world *world, int index);
bool members_declared_dead(struct world *world, int index,
			   uint64_t incarnation);
/* Whether a running home is dead in the view of another instance. */
bool members_split_brain(struct world *world);
void members_notify(struct instance *instance);

/* engine.c */
void engine_init(struct world *world, int index, enum pool_role role,
		 uint32_t pieces);
void engine_clear(struct engine *engine);
struct engine *engine_find(struct world *world, uint64_t id);
struct engine_stream {
	struct ledger_stream entry;
	bool stale;
};
/* False when it is full or leaving. */
bool engine_open(struct engine *engine, const struct job *job, uint32_t pieces,
		 char *stream);
bool engine_has(const struct engine *engine, const char *stream);
void engine_close(struct engine *engine, const char *stream);
void engine_poll(struct instance *instance);
void engine_cancel(struct instance *instance, uint64_t runner,
		   const char *stream);

/* app.c: runs requests as the daemon does. */
extern const struct ledger_ops app_ops;
struct job *app_submit(struct world *world, int index, const struct spec *spec);
void app_withdraw(struct job *job);
void app_cancel(struct job *job);
void app_instance_died(struct instance *instance);
bool job_over(const struct job *job);

/* invariants.c */
void invariants_always(struct world *world);
void invariants_end(struct world *world);

#endif
