/*
 * site.h - a stand-in for the users' platform: its store and its servers
 *
 * DESCRIPTION
 *	One process with a store and a few backend servers on loopback. It
 *	speaks only what a forwarding process uses, and keeps a ledger of what
 *	ran, so that a test can check the promises from the servers' side.
 *	Faults are set through its control address:
 *
 *
 *	POST /site/fault   {"server": "d1", "fault": NAME, "count": N}; reset
 *			   (before the answer), error (500), busy (503, not
 *			   run), silent, cut (midway), unsigned
 *	POST /site/state   {"server": "d1", "state": "ready"}, or "draining",
 *			   "gone", "mute" (writes no more to the store),
 *			   "again" (ready, started anew under its id)
 *	POST /site/entry   {"key": KEY, "value": TEXT, "topic": NAME}; as
 *			   another writer's; among the servers by default
 *	POST /site/config  {"version": N, "timeout_ms": N, "extra": "/x/",
 *			   "tenants": [...]}; the route /open/ is public;
 *			   tenants stay as they are where none are given.
 *			   With tenants each request is to bear the name of
 *			   the one that its id begins with, up to a dot, or
 *			   none where that is "nobody"
 *	POST /site/store   {"state": "up"}, or "down", "forget"
 *	POST /site/limit   {"server": "s1", "per_s": N}: it names that many
 *			   requests a second in its answers; none below 0
 *	POST /site/leaving {"server": "s1"}: it says in its answers that it
 *			   leaves; its entry stays as it is
 *	POST /site/backoff	   {"server": "p1", "sec": N}: it turns all
 *requests away and asks for so much rest; none at 0. Judged as if there were
 *one instance GET  /site/ledger?id=ID runs of that request; all runs, repeats,
 *what is still held, servers that ended
 *
 *	A request whose body holds ENDS_SERVER ends the server that begins to
 *	run it, with all that runs there. The server is back after half a
 *	second, at another address, in a new life.
 */
#ifndef TESTS_PLATFORM_SITE_H
#define TESTS_PLATFORM_SITE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "web/loop.h"
#include "web/server.h"

#define ENDS_SERVER "ends the server"

enum stage {
	STAGE_PLAIN,
	STAGE_PREFILL,
	STAGE_DECODE,
};

enum fault {
	FAULT_NONE,
	FAULT_RESET,
	FAULT_ERROR,
	FAULT_BUSY,
	FAULT_SILENT,
	FAULT_CUT,
	FAULT_UNSIGNED,
	FAULT_END, /* the server ends */
	FAULT_COUNT,
};

struct site;

struct server {
	struct site *site;
	char *name;
	char *id;
	enum stage stage;
	struct web_server *web; /* NULL while it is down */
	struct timer back;
	enum fault fault;
	uint32_t fault_count;
	bool draining;
	bool gone;
	bool mute;
	int64_t born; /* Unix milliseconds; small, so that logs are alike */
	uint64_t beats;
	uint32_t running;
	double limit; /* requests a second that it names; below 0: none */
	int64_t limited_at;
	GArray *arrivals; /* int64_t, since the limit binds */
	bool leaving_by_answer;
	int64_t said_leaving_at; /* first; 0: not yet */
	double backoff_sec;	 /* that it asks for; 0: none */
	int64_t backoff_from;
	int64_t backoff_until;
	uint32_t backoff_arrivals;
};

struct ledger {
	GHashTable *runs; /* request id to number of runs */
	uint32_t total;
	uint32_t repeats;    /* runs of a request that had run */
	uint32_t after_gone; /* arrivals at a server long after it left */
	uint32_t prefills;
	uint32_t holds; /* outstanding */
	uint32_t results;
	uint32_t orders;
	uint32_t ended;	     /* servers */
	uint32_t strangers;  /* arrivals that name another organisation */
	uint32_t secrets;    /* arrivals that bear a key */
	uint32_t over_limit; /* arrivals beyond what a server's limit allows */
	uint32_t after_leaving; /* arrivals long after a server said that */
	uint32_t in_backoff;	/* arrivals at servers in backoff */
	GHashTable *units; /* organisation to tokens that ran, as pointers */
};

struct record {
	char *key;
	char *value; /* NULL: dropped */
};

struct topic {
	char *name;
	GPtrArray *records; /* struct record */
	uint64_t first;	    /* offset of records[0] */
};

struct site {
	struct clock *clock;
	struct loop *loop;
	struct web_server *control;
	GPtrArray *servers;
	GHashTable *topics;
	GHashTable *taken; /* holds and results by name, to when they end */
	struct ledger ledger;
	uint64_t names;
	uint64_t version;
	int64_t timeout_msec;
	char *extra;
	json_t *tenants; /* NULL: callers are not told apart */
	bool down;
	int64_t event_usec;
	uint32_t events;
	struct timer beat;
};

/* site_store.c */
void store_serve(struct site *site);
void store_put(struct site *site, const char *topic, const char *key,
	       const char *value);
/* Forgets all but the newest record of each key. */
void store_forget(struct site *site);

/* site_server.c */
struct server *server_open(struct site *site, const char *name,
			   enum stage stage);
void server_beat(struct server *server);

/* site_asks.c */
/* Adds what the server asks for to an answer. */
void asks_tell(struct server *server, struct web_request *request);
/* Adds that it wants rest. */
void asks_backoff(struct server *server, struct web_request *request);
void asks_limit(struct server *server, double limit);
/* A new life asks for nothing. */
void asks_clear(struct server *server);
/* A request has arrived. */
void asks_judge(struct server *server);

/* site.c */
char *site_name(struct site *site, const char *prefix);
bool site_take(struct site *site, const char *name);
void site_config(struct site *site);

#endif
