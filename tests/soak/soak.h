/*
 * soak.h - real processes, faults from outside them, promises checked
 *
 * DESCRIPTION
 *	A run has a stand-in site and a few forwarding instances, each behind a
 *	proxy towards its callers and one towards the store. Callers of every
 *	kind call all the time; processes are killed, paused, stopped and
 *	restarted, proxies harm connections, servers and the store fail. What
 *	happens when follows from the seed; how the processes interleave does
 *	not, so a seed that failed once may have to be run again and again.
 */
#ifndef TESTS_SOAK_SOAK_H
#define TESTS_SOAK_SOAK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "common/clock.h"
#include "proxy.h"
#include "web/client.h"
#include "web/loop.h"

#define INSTANCES 3
#define STREAM_EVENTS 8
/* A body that ends the server, see tests/platform/site/site.h. */
#define SOAK_CRASH_BODY "ends the server"

enum call_kind {
	KIND_PLAIN,
	KIND_ONCE,
	KIND_STREAM,
	KIND_RESUME,
	KINDS,
};

/* Who calls: with a key of one of two organisations, the second of which asks
 * for more than its allotment; or with none that is known. */
enum caller {
	CALLER_ACME,
	CALLER_BETA,
	CALLER_WRONG_KEY, /* a wrong key, and the name of an organisation */
	CALLER_NO_KEY,
	CALLERS,
};

struct call {
	struct soak *soak;
	enum caller caller;
	char id[40];
	enum call_kind kind;
	struct web_call *web;
	int status;
	GString *body;
	bool complete;
	bool done;
	bool hung_up;
};

struct instance {
	char name[8];
	pid_t pid; /* 0: not running */
	int64_t start_at;
	int64_t wake_at; /* paused until then; 0: running */
	bool stopping;
	bool reloaded;	 /* told to, in this life */
	uint32_t starts; /* that were begun, and are to say so in the log */
	struct proxy *callers;
	struct proxy *store;
};

struct soak {
	const char *build;
	char *folder;
	struct clock *clock;
	struct loop *loop;
	struct web_client *client;
	GRand *rand;
	GRand *caller_rand; /* of its own: kept seeds play as they did */
	int64_t began;
	pid_t site;
	char *site_address;
	struct instance instances[INSTANCES];
	GPtrArray *calls;
	uint64_t version;
	uint32_t faults;
	uint32_t failures;
	int64_t end_at;
	struct timer call_timer;
	struct timer fault_timer;
	struct timer watch_timer;
	/* Of a run with a caller whose request ends servers. */
	bool repeats_enabled;
	uint32_t repeats;
	uint32_t repeats_refused;
	uint32_t all_killed; /* times */
	struct timer repeat_timer;
	/* Of a run with servers that ask for less. */
	bool backpressure_enabled;
	GRand *backpressure_rand;
	struct timer backpressure_timer;
	uint32_t posts_pending; /* calls of site_post() not answered yet */
	bool loop_running;	/* the loop runs */
};

/* process.c */
void soak_start(struct soak *soak);
void soak_stop(struct soak *soak);
void instance_start(struct soak *soak, struct instance *instance);
/* Reaps what ended and starts it again; wakes what was paused. */
void instances_watch(struct soak *soak);
void instance_signal(struct instance *instance, int number);

/* callers.c */
/* Has the site tell callers apart. */
void organisations_configure(struct soak *soak);
/* Fills in what the caller shows of itself; returns how many headers. */
size_t caller_headers(enum caller caller, struct web_header *headers);
const char *caller_name(enum caller caller);
/* Servers saw no key and no wrong name, and no allotment was passed. */
void callers_check(struct soak *soak);

/* calls.c */
void call_start(struct soak *soak, enum call_kind kind, int instance,
		enum caller caller);
enum caller caller_draw(struct soak *soak);
/* Fails the run when a promise was broken. */
void calls_check(struct soak *soak);
void soak_fail(struct soak *soak, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Tells the site's control, without waiting for its answer: also from a timer.
 */
void site_post(struct soak *soak, const char *path, const char *body);
/* Until all that was told is answered. */
void site_post_wait(struct soak *soak);
/* A call to the site's control; the answer's number of that name, or -1. It
 * turns the loop, so no callback of the loop may make it. */
int64_t site_call(struct soak *soak, const char *method, const char *path,
		  const char *body, const char *name);
void soak_loop_run(struct soak *soak, int64_t usec);

/* repeats.c */
void repeats_start(struct soak *soak);
void repeats_check(struct soak *soak);

/* asks.c */
void backpressure_start(struct soak *soak);
/* No server asks for anything any more. */
void backpressure_clear(struct soak *soak);
void backpressure_check(struct soak *soak);

/* faults.c */
void fault_inject(struct soak *soak);
void faults_clear(struct soak *soak);

#endif
