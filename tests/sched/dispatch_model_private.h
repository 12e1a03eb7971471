/*
 * dispatch_model_private.h - state of the model of dispatch_model.h
 */
#ifndef TESTS_DISPATCH_MODEL_PRIVATE_H
#define TESTS_DISPATCH_MODEL_PRIVATE_H

#include <glib.h>

#include "common/clock.h"
#include "dispatch_model.h"
#include "sched/dispatch.h"
#include "sched/patience.h"

#define INSTANCES 60
#define SERVERS 3
#define SLOTS 6u
#define QUEUE 24u
#define WORK_USEC 30000.0
#define SLOW_PACE 2.5
#define SLOW_PART 0.15
#define SLOW_USEC 600000.0
#define ONE_WAY_USEC 1400
#define LIMIT_USEC 1500000
#define DISPATCHERS 2
#define TICK_USEC 5000
/* Time until other instances notice that one is gone. */
#define STALE_USEC 2500000
#define FROZEN_USEC 2000000
#define CUT_OFF_USEC 3000000
#define DRAINING_USEC 300000
#define DONE_LOST_PART 0.2
#define LOST_PART 0.1
#define REPEAT_USEC 10000

struct call {
	uint64_t id;
	uint32_t instance;
	uint32_t dispatcher; /* that was asked */
	int64_t arrived;
	int64_t target_usec;
	int64_t asked_at;
	int64_t sent_at;
	bool waiting; /* for an answer of the dispatcher */
	bool granted;
	bool ended;
	uint32_t asks;
	uint32_t server;
	uint32_t tried; /* bit per server */
	uint32_t runs;
	struct timer patience;
};

struct server {
	uint32_t running;
	GQueue queue; /* struct call */
	double pace;
	bool withdrawn;
};

struct instance {
	uint32_t own[SERVERS];
	uint32_t told[SERVERS]; /* as announced last */
	struct patience patience;
	bool dead;
};

struct dispatcher {
	struct dispatch *dispatch;
	uint32_t instance;
	bool dead;
	bool draining;
	int64_t frozen_until;
};

struct model {
	const struct model_setup *setup;
	struct model_result *result;
	struct clock *clock;
	GRand *rand;
	GRand *arrivals; /* and paces: the same in runs that are compared */
	struct server servers[SERVERS];
	struct instance instances[INSTANCES];
	struct dispatcher dispatchers[DISPATCHERS];
	uint32_t current; /* dispatcher of all instances */
	int64_t cut_from;
	int64_t cut_until;
	GPtrArray *calls;
	GPtrArray *events;
};

/* A message, or anything else that happens later. */
struct event {
	struct timer timer;
	struct model *model;
	struct call *call;
	void (*fn)(struct event *event);
	uint32_t index;
	struct dispatch_call request;
	struct dispatch_answer answer;
	struct dispatch_end end;
	struct server_load load;
	bool refused;
	bool returned;
};

/* The context of a dispatcher's callbacks. */
struct seat {
	struct model *model;
	uint32_t index;
};

/* dispatch_model_servers.c */
int64_t model_now(const struct model *model);
struct event *model_event(struct model *model, int64_t delay,
			  void (*fn)(struct event *event), struct call *call,
			  uint32_t index);
/* Whether a datagram between the two is lost, and how long it takes. */
bool model_loses(struct model *model, uint32_t dispatcher, uint32_t instance);
int64_t model_way(const struct model *model, uint32_t dispatcher,
		  uint32_t instance);
/* A frozen process handles what it received when it continues. */
bool model_postpone(struct event *event);
/* Tells the dispatcher that the call, or its wait, has ended. */
void model_done(struct model *model, const struct call *call, int64_t usec,
		const struct server_load *load, bool refused);
void model_end(struct model *model, struct call *call);
void model_send(struct model *model, struct call *call, uint32_t server);
/* Places the call by the loads that its instance knows. */
void model_direct(struct model *model, struct call *call);

/* dispatch_model_calls.c */
extern const struct dispatch_ops model_ops; /* with a struct seat */
void model_start(struct model *model, struct call *call);
void model_servers(struct model *model, struct dispatch *dispatch);
void model_silent(struct timer *timer, void *ctx);

#endif
