/*
 * site.h - several data centres with a few instances each, on one paused clock
 *
 * DESCRIPTION
 *	Membership and ledger are the real ones; link and runners are fakes. A
 *	request goes through the same choice as in the daemon: by the level of
 *	the own cell, and by what the home says of its key.
 */
#ifndef TESTS_DATA_CENTRES_SITE_H
#define TESTS_DATA_CENTRES_SITE_H

#include <glib.h>

#include "common/clock.h"
#include "coord/ledger_level.h"
#include "later.h"
#include "letter.h"

#define CENTRES_MAX 7
#define INSTANCES_MAX 3
#define RUNNERS 4 /* of each data centre: two prefill, two decode */

struct site_settings {
	uint32_t seed;
	int centres;
	int instances;	    /* instances in a data centre */
	uint32_t queue_max; /* default 200 */
	double remote_ms;   /* latency from and to the last one; default 1.5 */
	bool local_only;	    /* nothing leaves its data centre */
};

enum job_end {
	JOB_OPEN,
	JOB_DONE,
	JOB_REFUSED,
	JOB_DUPLICATE, /* a duplicate in the data centre that was asked last */
};

struct job {
	struct site *site;
	uint64_t request;
	uint64_t key;
	enum request_class class;
	int origin; /* data centre and instance that its caller reached */
	int centre;
	int instance;
	bool here;
	bool follow_redirects; /* goes where the answer says that the key is */
	int redirected_to;     /* the data centre named by the answer, or -1 */
	uint32_t answers;
	enum job_end end;
	enum result_code code;
	int64_t submitted_at;
	int64_t waited; /* until it was granted */
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
	uint32_t down[CENTRES_MAX]; /* bits of runners that do not answer */
	uint32_t unlisted[CENTRES_MAX];
	GPtrArray *jobs;
	struct later *later;
	uint64_t runs; /* grants */
	/* What went between data centres for keys, with all headers. */
	uint64_t key_messages;
	uint64_t key_bytes;
	uint32_t level_changes;	      /* of level or share */
	uint32_t levels[CENTRES_MAX]; /* as the data centre's first sees them */
};

struct site *site_create(const struct site_settings *settings);
void site_destroy(struct site *site);
void site_run(struct site *site, int64_t usec);
void site_kill(struct site *site, int centre, int number);
/* Cuts the data centre off from the others, or joins it to them again. */
void site_cut(struct site *site, int centre, bool cut);
/* Lets the instances read the platform's list again. */
void site_list(struct site *site, int centre);
/* The instance that is home to the cell there, or NULL. */
struct instance *site_home(struct site *site, int centre);
/* The level of a cell as an instance of another data centre, or the own, sees
 * it. */
enum cell_level site_level(struct site *site, int seen_from, int centre);
/* The share of urgent requests that should leave the cell, seen from within. */
uint32_t site_share(struct site *site, int centre);
/* The first data centre, and of it the first instance that is up. */
struct job *site_submit(struct site *site, int centre, const struct job *spec);
/* As a caller does: at a random instance, and on from there. */
struct job *site_call(struct site *site, int centre, const struct job *spec);
const struct config_service *site_service(void);

#endif
