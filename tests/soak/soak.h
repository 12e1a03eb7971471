/*
 * soak.h - randomised soak: real processes under injected faults
 *
 * DESCRIPTION
 *	A run has a stand-in site and several forwarding instances, each with
 *	one proxy towards its callers and one towards the store. Callers of each
 *	kind send requests throughout the run. Processes are killed, paused,
 *	stopped and restarted, proxies disturb connections, servers and the
 *	store fail. At the end the guarantees to callers and servers are
 *	checked. The seed determines the sequence of faults but not how the
 *	processes interleave, so a failure may need several runs of its seed to
 *	reproduce.
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

/* soak-large has more of both. */
#ifndef INSTANCES
#define INSTANCES 3
#define SERVERS_A_STAGE 2
#endif
#define STREAM_EVENTS 8
/* Body of a request that crashes its server, see tests/platform/site/site.h. */
#define SOAK_CRASH_BODY "ends the server"
/* A part of prompts that does the same, and one that sound ones have too. */
#define SOAK_CRASH_PART "dead:30"
#define SOAK_CRASH_LATER_PART "dead2:30"
#define SOAK_FIRST_PART "aa:60"

enum call_kind {
	KIND_PLAIN,
	KIND_ONCE,
	KIND_STREAM,
	KIND_RESUME,
	KINDS,
};

/* Callers with a key of one of two organisations, of which beta requests more
 * than its allotment, and callers without a valid key. */
enum caller {
	CALLER_ACME,
	CALLER_BETA,
	CALLER_WRONG_KEY, /* sends an unknown key and an organisation's name */
	CALLER_NO_KEY,
	CALLERS,
};

struct call {
	struct soak *soak;
	enum caller caller;
	char id[40];
	char path[24];
	enum call_kind kind;
	struct web_call *web;
	int status;
	GString *body;
	bool complete;
	bool done;
	bool hung_up;
	/* The attempt with the first event of the stream that this one resumes,
	 * or NULL, and the last event received before. */
	const struct call *before;
	uint32_t after;
	bool resumed; /* by a later attempt */
};

struct instance {
	char name[8];
	pid_t pid; /* 0: not running */
	int64_t start_at;
	int64_t wake_at; /* paused until then; 0: running */
	bool stopping;
	bool reloaded;	  /* SIGHUP was sent since the last start */
	uint32_t starts;  /* starts that are expected in the log */
	char address[32]; /* for callers, without the proxy */
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
	GRand *caller_rand; /* separate, so that the sequences of kept seeds do
			     * not change */
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
	/* For runs with a caller whose request crashes servers. */
	bool repeats_enabled;
	bool parts_enabled; /* only a part of their prompts is the same */
	uint32_t part_form; /* of their prompts, see repeats.c */
	uint32_t repeats;
	uint32_t repeats_refused;
	uint32_t all_killed; /* times that all instances were killed at once */
	struct timer repeat_timer;
	/* For runs with servers that apply backpressure. */
	bool backpressure_enabled;
	GRand *backpressure_rand;
	struct timer backpressure_timer;
	/* For runs with servers of several software versions. */
	bool versions_enabled;
	GRand *version_rand;
	struct timer change_timer;
	struct timer resume_timer;
	/* For runs with a store that comes back from old copies. */
	bool drills_enabled;
	bool dispatch_enabled; /* a dispatcher grants plain calls their servers
				*/
	GRand *drill_rand;
	uint32_t drills; /* steps */
	struct timer drill_timer;
	/* For runs with servers that change the framing of their answers. */
	bool framing_enabled;
	GRand *framing_rand;
	struct timer framing_timer;
	bool stops_enabled;	/* planned stops, and no other faults */
	uint32_t posts_pending; /* calls of site_post() without an answer */
	bool loop_running;
};

/* process.c */
void soak_start(struct soak *soak);
void soak_stop(struct soak *soak);
void instance_start(struct soak *soak, struct instance *instance);
/* Reaps and restarts instances that ended, and resumes paused ones whose time
 * has come. */
void instances_watch(struct soak *soak);
void instance_signal(struct instance *instance, int number);

/* callers.c */
/* Configures the organisations and their keys at the site. */
void organisations_configure(struct soak *soak);
/* Sets the headers that identify the caller; returns their number. */
size_t caller_headers(enum caller caller, struct web_header *headers);
const char *caller_name(enum caller caller);
/* Fails the run when a server received a key or a wrong organisation, or an
 * allotment was exceeded. */
void callers_check(struct soak *soak);

/* calls.c */
void call_start(struct soak *soak, enum call_kind kind, int instance,
		enum caller caller);
enum caller caller_draw(struct soak *soak);
/* Resumes a broken stream at that instance. */
void call_resume(struct soak *soak, const struct call *before, int instance);
/* Whole events received, and the version in the first of them. */
uint32_t call_events(const struct call *call);
const char *call_version(const struct call *call);
/* Fails the run when a guarantee was violated. */
void calls_check(struct soak *soak);
void soak_fail(struct soak *soak, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Sends a control call to the site without waiting for the answer; may be
 * called from a timer. */
void site_post(struct soak *soak, const char *path, const char *body);
/* Waits until all calls of site_post() are answered. */
void site_post_wait(struct soak *soak);
/* Makes a control call to the site and returns the number of that name in the
 * answer, or -1. It runs the loop, so it must not be called from a callback. */
int64_t site_call(struct soak *soak, const char *method, const char *path,
		  const char *body, const char *name);
/* Runs the loop for that time; not from a callback of the loop. */
void soak_loop_run(struct soak *soak, int64_t usec);

/* repeats.c */
void repeats_start(struct soak *soak);
void repeats_check(struct soak *soak);

/* versions.c */
/* Sets the versions of the first starts. */
void versions_set(struct soak *soak);
void versions_start(struct soak *soak);
void versions_check(struct soak *soak);

/* drills.c */
void drills_start(struct soak *soak);
void drills_check(struct soak *soak);

/* framing.c */
void framing_start(struct soak *soak);
/* Restores links and time limits, and ends faults. */
void framing_clear(struct soak *soak);
/* All servers answer without a length. */
void framing_remove(struct soak *soak);
void framing_print(struct soak *soak);
/* Whether the instance's links to the servers are cut as the file says. */
bool framing_is_cut_off(const struct soak *soak,
			const struct instance *instance);
char *framing_links_file(const struct soak *soak);

/* stops.c */
struct stops;
struct stops *stops_start(struct soak *soak, uint32_t seed);
/* Also frees it. */
void stops_check(struct stops *stops);

/* asks.c */
void backpressure_start(struct soak *soak);
/* Removes the limits and backoffs of all servers and restarts them. */
void backpressure_clear(struct soak *soak);
void backpressure_check(struct soak *soak);

/* faults.c */
void fault_inject(struct soak *soak);
void faults_clear(struct soak *soak);

#endif
