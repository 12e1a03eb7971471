/*
 * site.h - a few data centres with instances, on one simulated clock
 *
 * DESCRIPTION
 *	Membership and ledger are real; link and runners are fakes. Requests are
 *	routed as in the daemon: by the load level of the local cell, and by the
 *	home's answer about the idempotency key.
 */
#ifndef TESTS_DATA_CENTRES_SITE_H
#define TESTS_DATA_CENTRES_SITE_H

#include <glib.h>

#include "call_queue.h"
#include "common/clock.h"
#include "coord/ledger_level.h"
#include "packet.h"

#define CENTRES_MAX 7
#define INSTANCES_MAX 3
#define RUNNERS 4 /* per data centre: two prefill, two decode */

struct site_settings {
	uint32_t seed;
	int centres;
	int instances;	    /* per data centre */
	uint32_t queue_max; /* default 200 */
	double remote_ms;   /* latency to the last data centre; default 1.5 */
	bool local_only;    /* no request leaves its data centre */
};

enum job_end {
	JOB_OPEN,
	JOB_DONE,
	JOB_REFUSED,
	JOB_DUPLICATE, /* according to the last data centre */
};

struct job {
	struct site *site;
	uint64_t request;
	uint64_t key;
	enum request_class class;
	int origin; /* data centre that its caller reached */
	int centre;
	int instance;
	bool no_redirect;
	bool follow_redirects; /* to the data centre that has the key */
	int redirected_to;     /* data centre, or -1 */
	uint32_t answers;
	enum job_end end;
	enum result_code code;
	int64_t submitted_at;
	int64_t waited; /* until granted */
	int64_t work;
	bool granted;
	struct timer timer;
};

struct instance {
	struct site *site;
	int centre;
	int number;
	uint64_t id;
	bool up;
	struct membership *membership;
	struct ledger *ledger;
	struct timer poll;
};

struct site {
	struct clock *clock;
	GRand *rand;
	struct site_settings settings;
	struct config config;
	struct instance instances[CENTRES_MAX][INSTANCES_MAX];
	bool cut[CENTRES_MAX];	    /* from all other data centres */
	uint32_t down[CENTRES_MAX]; /* bit mask of unreachable runners */
	uint32_t unlisted[CENTRES_MAX];
	GPtrArray *jobs;
	struct call_queue *call_queue;
	uint64_t runs; /* grants */
	/* Announcements of keys, with all headers. */
	uint64_t key_messages;
	uint64_t key_bytes;
	uint32_t level_changes;	      /* of level or share */
	uint32_t levels[CENTRES_MAX]; /* at the first instance there */
};

struct site *site_create(const struct site_settings *settings);
void site_destroy(struct site *site);
void site_run(struct site *site, int64_t usec);
void site_kill(struct site *site, int centre, int number);
/* Cuts the data centre off from the others, or reconnects it. */
void site_cut(struct site *site, int centre, bool cut);
/* Passes the platform's list to the instances of the data centre again. */
void site_list(struct site *site, int centre);
/* The home of the cell in the data centre, or NULL. */
struct instance *site_home(struct site *site, int centre);
/* The load level of a cell, as known in the data centre seen_from. */
enum cell_level site_level(struct site *site, int seen_from, int centre);
/* The share of urgent requests that should leave the cell, as known locally. */
uint32_t site_share(struct site *site, int centre);
/* Submits a job at spec->instance, or at the next instance that is up. */
struct job *site_submit(struct site *site, int centre, const struct job *spec);
/* Submits a job at a random instance and routes it as the daemon does. */
struct job *site_call(struct site *site, int centre, const struct job *spec);
const struct config_service *site_service(void);

#endif
