/*
 * world.h - a few instances with a ledger each, over a link that misbehaves
 *
 * DESCRIPTION
 *	Each instance has a paused clock of its own, so that it can stand still
 *	while the others go on. Engines, link and membership are small fakes on
 *	the world's clock. All choices come from one seeded generator.
 */
#ifndef TESTS_LEDGER_WORLD_H
#define TESTS_LEDGER_WORLD_H

#include <glib.h>

#include "common/clock.h"
#include "coord/ledger.h"
#include "later.h"
#include "letter.h"

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

/* What a caller asks for; zeros take the defaults. */
struct spec {
	const char *service; /* default "model" */
	uint64_t key;
	uint64_t fingerprint;
	enum request_class class;
	uint32_t tokens;     /* default 4,000: two pieces */
	int64_t decode_usec; /* default 100 ms */
	int64_t prefill;     /* default 20 ms */
	int64_t timeout;     /* to the deadline; 0: none */
	uint64_t block;	     /* first block of the prompt; 0: none */
	bool not_idempotent;
};

/* A request of a caller at one instance. */
struct job {
	struct world *world;
	struct instance *instance;
	uint64_t request;
	uint64_t incarnation; /* of the instance when it was asked */
	uint64_t key;
	enum request_class class;
	enum job_state state;
	uint32_t answers; /* granted at first, refused or duplicate */
	uint32_t attempt;
	uint32_t fail_times; /* attempts that the engine cuts */
	int64_t submitted_at;
	int64_t answered_at;
	int64_t decode_usec;
	int64_t prefill;
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
	uint32_t stale; /* of it, by owners that others held dead already */
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
	GQueue inbox; /* deliveries that wait while paused */
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
	bool cut[INSTANCES_MAX][INSTANCES_MAX]; /* one way */
	int64_t extra_delay[INSTANCES_MAX][INSTANCES_MAX];
	double loss_rate;
	double duplicate_rate;
	double corruption_rate; /* of messages with one byte changed */
	struct ledger_settings settings;
	int64_t poll; /* between two polls of a runner */
	int64_t delay_max;
	int64_t split_brain_until; /* see invariants.c */
	uint32_t split_brains;
	uint64_t messages;
	uint64_t bytes;
	struct later *later;
	GString *violation; /* of the first invariant that did not hold */
};

/* world.c */
struct world *world_create(uint32_t seed, int instances, const char *policy,
			   uint32_t queue_max);
void world_destroy(struct world *world);
/* Lets all come to rest, checks the invariants, and destroys it. */
void world_end(struct world *world);
void world_run(struct world *world, int64_t usec);
/* Runs until the condition holds, for five seconds at most. */
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
void world_block(struct world *world, int a, int b, bool cut);
/* Restarts all with settings; for the start of a test. */
void world_restart_all(struct world *world,
		       const struct ledger_settings *settings);
/* Puts another policy in force at all instances. */
void world_configure(struct world *world, const char *policy,
		     uint32_t queue_max);
struct instance *world_home(struct world *world);
int64_t world_range(struct world *world, int64_t low, int64_t high);
bool world_chance(struct world *world, double p);
void world_fail(struct world *world, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* members.c: every instance's view of who lives. */
struct membership *members_create(struct world *world, int index);
void members_destroy(struct membership *membership);
/* Tells all instances, each after a while of its own. */
void members_announce(struct world *world, int index, enum member_state state,
		      int64_t delay_max);
void members_refresh(struct world *world, int index);
uint64_t members_raise_incarnation(struct world *world, int index);
bool members_declared_dead(struct world *world, int index,
			   uint64_t incarnation);
/* A home that lives under a new incarnation while others hold it dead. */
bool members_split_brain(struct world *world);
void members_notify(struct instance *instance);

/* engine.c */
void engine_init(struct world *world, int index, enum pool_role role,
		 uint32_t pieces);
void engine_clear(struct engine *engine);
struct engine *engine_find(struct world *world, uint64_t id);
/* A stream as the engine keeps it. */
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

/* app.c: what the daemon does with a request. */
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
