/*
 * uneven_world.h - streams on engines of unequal speed, without network
 *
 * DESCRIPTION
 *	One quarter of the servers takes 0.55 of the usual time, the others 1.2,
 *	and 15% of all take 2.5 times as long for 600 ms at a time. Each
 *	instance has its own view of the fleet, and learns loads and speeds when
 *	they are announced, at the interval of gossip.h. A stream without room
 *	waits at its instance, and is dropped once its target has passed.
 *	Simulated in steps of STEP_MSEC.
 */
#ifndef TESTS_FORWARD_UNEVEN_WORLD_H
#define TESTS_FORWARD_UNEVEN_WORLD_H

#include <glib.h>

#include "common/clock.h"
#include "forward/place.h"

#define SERVICE 1u
#define CENTRES 3u
#define PREFILLS 13u
#define SERVERS 89u
#define INSTANCES_MAX 300u
#define STEP_MSEC 10
#define END_MSEC 20000
#define FROM_MSEC 4000
#define TARGET_MSEC 900
#define PROMPT_MEAN 3000.0
#define OUTPUT_MEAN 640.0
#define PROMPT_PER_MSEC 33.0
#define SLOW_MSEC 600.0
#define SLOW_PART 0.15
#define SLOW_FACTOR 2.5
/* Tokens that a prefill server processes in 0.45 of the target. */
#define AHEAD_MAX 13365u
/* Streams a second that the servers can serve: of prompts, with the mean speed
 * of the servers, 13 x 33,000 x 0.98 / 3,000. */
#define CAPACITY_PER_SEC 140.0

extern const struct engine_traits uneven_traits;

enum way {
	WAY_TODAY,    /* load without speeds */
	WAY_REQUESTS, /* least requests x factor */
	WAY_TIME,     /* place.c with speeds as announced */
	WAY_TWO,      /* the better of two servers at random */
	WAY_TRUE,     /* place.c with speeds as they are */
	WAY_COUNT,
};

/* The speeds that a data centre, or an oracle, knows. Stands in for
 * sched/speed.c, whose estimates have errors of their own. */
struct speeds {
	const uint64_t *keys;
	double mean[SERVERS];	/* half-life 10 s */
	double stated[SERVERS]; /* as last announced */
	int64_t stated_at;
};

enum load_kind {
	LOCAL,
	REMOTE,
	KINDS
};

struct stream {
	uint32_t instance;
	int arrived;
	uint32_t prompt;
	uint32_t charged; /* decode tokens */
	double left;	  /* of the step: prompt or output tokens */
	uint32_t decode;
	uint32_t prefill; /* SERVERS: none */
};

struct server {
	bool fast;
	bool slow_now;
	uint32_t held;	 /* decode tokens */
	GQueue prompts;	 /* struct stream */
	GPtrArray *runs; /* struct stream */
};

struct instance {
	struct fleet *fleet;
	struct backend *backends[SERVERS];
	struct backend_load announced[KINDS][SERVERS];
	GQueue waiting; /* struct stream */
};

struct sim {
	enum way way;
	bool alike;
	uint32_t count;
	double per_sec;
	int interval[KINDS]; /* in steps */
	struct clock *clock;
	GRand *rand;	/* of placement */
	GRand *arrival; /* of requests and paces, the same for all ways */
	uint64_t keys[SERVERS];
	struct server servers[SERVERS];
	struct instance *instances;
	struct load_sum sums[CENTRES][KINDS][SERVERS];
	struct speeds *speeds[CENTRES]; /* as announced */
	struct speeds *actual;
	int step;
	uint32_t asked;
	uint32_t in_time;
};

/* Defined by the test: the announcement of the current paces, after sec
 * seconds, and the placing of a stream; false when there is no room for it, as
 * far as known or in fact. */
void speeds_announce(struct sim *sim, struct speeds *speeds, double sec);
bool stream_place(struct sim *sim, struct stream *stream);

double pace_of(const struct sim *sim, uint32_t i);
/* Sets the loads that the instance knows of others. */
void view_load(struct sim *sim, uint32_t at);
/* Adds the load of the run or of the prompt to this instance's, times. */
void stream_charge(struct instance *instance, struct stream *stream, bool run,
		   int times);
/* Part of the streams whose first event was in time. */
double sim_run(enum way way, uint32_t count, double demand, bool alike,
	       uint32_t seed);

#endif
