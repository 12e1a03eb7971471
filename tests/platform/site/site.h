/*
 * site.h - simulates the platform: its store and its backend servers
 *
 * DESCRIPTION
 *	One process with a store and several backend servers on loopback. It
 *	implements only the calls that a forwarding process makes, and counts
 *	what ran, so that a test can check the guarantees on the servers' side.
 *	Control calls:
 *
 *	POST /site/fault   {"server": "d1", "fault": NAME, "count": N}: reset
 *			   (before the answer), error (500), busy (503, not
 *			   run), silent, cut (in the middle of the answer),
 *			   unsigned, end (the server crashes before the answer),
 *			   end-later (in the middle of it)
 *	POST /site/state   {"server": "d1", "state": "ready"}, or "draining",
 *			   "gone", "mute" (stops writing to the store), "again"
 *			   (ready, restarted with the same id). With "version"
 *			   it states that software version, and its events name
 *			   it; with "next_version" after its next crash; with
 *			   "unframed" its answers have no length and end with
 *			   the connection
 *	POST /site/entry   {"key": KEY, "value": TEXT, "topic": NAME}: writes a
 *			   record as another writer would; topic is
 *			   keyed.servers by default
 *	POST /site/config  {"version": N, "timeout_ms": N, "extra": "/x/",
 *			   "tenants": [...]}; the route /open/ is public.
 *			   Without "tenants" they do not change. With tenants
 *			   each request must carry the name of the tenant that
 *			   its id begins with, up to a dot, or none if that
 *			   name is "nobody"
 *	POST /site/store   {"state": "up"}, or "down", "forget", "copy" (keeps
 *			   a copy), "restore" (comes back from that copy in a
 *			   new era; what was written since is lost, but for the
 *			   configuration, unless "unwritten" is true, and what
 *			   servers write again)
 *	POST /site/limit   {"server": "s1", "per_s": N}: its answers announce a
 *			   limit of N requests per second; none if negative
 *	POST /site/leaving {"server": "s1"}: its answers announce that it is
 *			   leaving; its entry does not change
 *	POST /site/backoff {"server": "p1", "sec": N}: it refuses all requests
 *			   and requests a backoff of N seconds; 0 ends it.
 *			   Arrivals are checked as if there were one instance
 *	GET  /site/ledger?id=ID
 *			   runs of that request; totals of runs, repeats,
 *			   outstanding reservations and results, and crashed
 *			   servers
 *
 *	A request whose body contains ENDS_SERVER, or whose prompt has the part
 *	ENDS_SERVER_PART, crashes the server that begins to run it, with all
 *	requests in progress there; a prefill does not. One with the part
 *	ENDS_SERVER_LATER_PART does so when its second event has been sent, one
 *	with ENDS_SERVER_VERSION_PART only at servers of ENDS_SERVER_VERSION.
 *	The server restarts after half a second at another address, as a new
 *	incarnation.
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

#define VERSION_MAX 16
#define ENDS_SERVER "ends the server"
#define ENDS_SERVER_PART "dead"
#define ENDS_SERVER_LATER_PART "dead2"
#define ENDS_SERVER_VERSION_PART "deadv2"
#define ENDS_SERVER_VERSION "v2"

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
	FAULT_CRASH,	   /* on a request: the server crashes */
	FAULT_CRASH_LATER, /* the same, after two events */
	FAULT_COUNT,
};

struct site;

struct server {
	struct site *site;
	char *name;
	char *id;
	enum stage stage;
	struct web_server *web; /* NULL while it is down */
	struct timer restart;
	enum fault fault;
	uint32_t fault_count;
	bool draining;
	bool gone;
	bool mute;
	bool unframed; /* bodies have no length and end with the connection */
	/* Its software, part of each event; empty: not stated. The other is
	 * that of its next start. */
	char version[VERSION_MAX];
	char next_version[VERSION_MAX];
	int64_t started_ms; /* small, so that logs are reproducible */
	uint64_t heartbeats;
	uint32_t running;
	double limit; /* announced, requests per second; negative: none */
	int64_t limited_at;
	GArray *arrivals; /* int64_t, since the limit applies */
	bool leaving_by_answer;
	int64_t leaving_announced_at; /* first time; 0: not yet */
	double backoff_sec;	      /* requested; 0: none */
	int64_t backoff_from;
	int64_t backoff_until;
	uint32_t backoff_arrivals;
};

struct ledger {
	GHashTable *runs; /* request id to number of runs */
	uint32_t total;
	uint32_t repeats;    /* runs of a request that had already run */
	uint32_t after_gone; /* arrivals at a server long after it left */
	uint32_t prefills;
	uint32_t holds; /* outstanding */
	uint32_t results;
	uint32_t orders;
	uint32_t crashed;	/* crashed servers */
	uint32_t wrong_tenants; /* arrivals with the wrong organisation */
	uint32_t secrets;	/* arrivals with a caller's key */
	uint32_t over_limit;	/* arrivals in excess of a server's limit */
	uint32_t after_leaving; /* arrivals long after a server announced it */
	uint32_t in_backoff;	/* arrivals at servers in backoff */
	GHashTable *units;	/* organisation to tokens run, as pointers */
};

struct record {
	char *key;
	char *value; /* NULL: deleted */
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
	GHashTable *held; /* reservations and results: name to expiry */
	struct ledger ledger;
	uint64_t names;
	uint64_t version;
	int64_t timeout_msec;
	char *extra;
	json_t *tenants; /* NULL: callers are not authenticated */
	bool down;
	uint64_t era;
	GHashTable *copy; /* name to struct topic, or NULL */
	int64_t event_usec;
	uint32_t events;
	struct timer heartbeat;
};

/* site_store.c */
void store_serve(struct site *site);
void store_put(struct site *site, const char *topic, const char *key,
	       const char *value);
/* Drops all but the newest record of each key. */
void store_forget(struct site *site);
/* Keeps a copy, and goes back to it. */
void store_copy(struct site *site);
void store_restore(struct site *site);

/* site_server.c */
struct server *server_open(struct site *site, const char *name,
			   enum stage stage);
void server_heartbeat(struct server *server);

/* site_signals.c */
/* Adds the server's limit and leaving headers to an answer. */
void signals_add_headers(struct server *server, struct web_request *request);
/* Adds a Retry-After header. */
void signals_add_backoff(struct server *server, struct web_request *request);
void signals_set_limit(struct server *server, double limit);
/* Resets all signals, for a new incarnation. */
void signals_reset(struct server *server);
/* Checks an arriving request against the announced signals. */
void signals_check(struct server *server);

/* site_answer.c */
/* Omits the length of the answer; its body ends with the connection. */
void answer_unframe(struct web_request *request);
/* Breaks off an answer. One that is unframed ends with a reset, without which
 * it would look whole. */
void answer_cut(struct web_request *request, bool unframed);

/* site.c */
char *site_name(struct site *site, const char *prefix);
bool site_take(struct site *site, const char *name);
void site_config(struct site *site);

#endif
