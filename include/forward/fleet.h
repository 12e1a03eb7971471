/*
 * fleet.h - the backend servers that requests are forwarded to
 *
 * DESCRIPTION
 *	A table of backend servers by life: each start of a server is a new
 *	one, also under the id or at the address of an earlier one. Handles go
 *	stale when a server leaves the list or starts again, pointers with them,
 *	so nothing that was under way at one life counts for the next. What is
 *	said of a life after a later one was listed is passed over.
 *
 *	Load is what instances have under way at a server: own, counted here,
 *	and that of the peers, set from what they announce (forward/gossip.h).
 *	A server's trouble is a decaying count of failures; evidence that it
 *	cannot be reached keeps it from use for a while that doubles.
 */
#ifndef FORWARD_FLEET_H
#define FORWARD_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "coord/backpressure.h"

#define BACKEND_TEXT_MAX 64

enum backend_stage {
	STAGE_NONE,    /* a plain service's */
	STAGE_PREFILL, /* computes KV caches */
	STAGE_DECODE,  /* generates; can read a prompt too, slowly */
	STAGE_COUNT,
};

/* What the platform's list says of a backend server. */
struct backend_info {
	char id[BACKEND_TEXT_MAX];
	char address[BACKEND_TEXT_MAX]; /* "IP:port" */
	char data_centre[BACKEND_TEXT_MAX];
	int64_t started_ms; /* start of this life, Unix milliseconds; 0: untold
			     */
	uint64_t service;   /* id_of() its name */
	enum backend_stage stage;
	uint32_t slots;
	bool leaving;
	int64_t cold_usec; /* it stayed cold for, when it said so */
};

/* What is under way at a server. */
struct backend_load {
	uint32_t requests;
	uint32_t decode_tokens;	 /* of KV cache, reserved or in use */
	uint32_t prefill_tokens; /* of prompts sent and not yet computed */
};

/* Sums and differences of the above. */
struct load_sum {
	int64_t requests;
	int64_t decode_tokens;
	int64_t prefill_tokens;
};

struct backend {
	struct backend_info info;
	struct fleet *fleet;
	uint64_t handle;
	uint64_t key;  /* backend_key(&info) */
	bool local;    /* in this instance's data centre */
	bool in_group; /* and of this instance's group */
	bool evacuated;
	uint64_t region;	 /* id_of() its name; 0: not known */
	struct backend_load own; /* changed by backend_charge() */
	bool charged;		 /* in fleet_charged() */
	/* Below zero while a difference lacks its base. */
	struct load_sum peers;
	double failure_score; /* failures, decayed to failure_score_at */
	int64_t failure_score_at;
	int64_t avoid_until;	       /* could not be reached */
	uint32_t connect_failures;     /* times in a row */
	bool avoid_listed;	       /* among those that were not reached */
	uint64_t unreachable_reporter; /* the peer that told last that it lost
					  it */
	int64_t unreachable_until;     /* when that peer will try again */
	int64_t full_until;	       /* has just refused a reservation */
	uint32_t full_count;	       /* refused in a row */
	int64_t changing_until; /* ordered to another role, or seems so */
	int64_t limited_until;	/* a permit was denied */
	uint32_t refusals;	/* reserved or prepared runs refused in a row */
	bool leaving_reported;	/* said so itself, whatever the list says */
	int64_t backoff_until;	/* asked for by the server */
	int64_t cold_until;	/* slow, and crashes under more than a little */
	bool listed;		/* seen in the snapshot being read */
};

/* A server that was ordered to another role. */
struct backend_change {
	uint64_t key;
	enum backend_stage stage; /* its new role */
	int64_t left_usec;	  /* until it is taken for changed */
};

/* A server that could not be reached, and for how long it is passed over. */
struct unreachable_backend {
	uint64_t key;
	int64_t left_usec;
};

struct fleet;

/* Whether both say the same, but for how long the server stays cold. */
bool backend_info_same(const struct backend_info *a,
		       const struct backend_info *b);
/* Names one life of a server, alike at all instances. */
uint64_t backend_key(const struct backend_info *info);

struct fleet *fleet_create(struct clock *clock, const char *data_centre);
void fleet_destroy(struct fleet *fleet);

/* Takes leaving and backoff of servers from the table, also when the list drops
 * a life and adds it again. The table must outlive the fleet. */
void fleet_set_backpressure(struct fleet *fleet,
			    const struct backpressure *table);
/* The table has changed for that server. */
void fleet_backpressure_changed(struct fleet *fleet, uint64_t key);

/* Adds a server or brings what is known of it up to date. A later life takes
 * the place of an earlier one. NULL when a later life was listed before, which
 * stays as it is, or when the table is full. */
struct backend *fleet_put(struct fleet *fleet, const struct backend_info *info);
void fleet_remove(struct fleet *fleet, const char *id);
/* Around a snapshot of the whole list: servers not put meanwhile are gone. */
void fleet_snapshot_begin(struct fleet *fleet);
void fleet_snapshot_end(struct fleet *fleet);

/* The instances of the data centre form so many groups, and this one is of that
 * index; servers are parted among the groups by their keys. One at first. */
void fleet_set_group(struct fleet *fleet, uint32_t index, uint32_t count);
/* The region of a data centre. */
void fleet_set_region(struct fleet *fleet, const char *data_centre,
		      const char *region);

/* Nothing new is sent to the servers of an evacuated data centre, also to those
 * that are listed later, until it is taken back. Returns whether that is news.
 */
bool fleet_evacuate(struct fleet *fleet, const char *data_centre,
		    bool evacuated);
/* Around the whole list of evacuated data centres: those that fleet_evacuate()
 * does not name meanwhile are taken back. */
void fleet_evacuations_begin(struct fleet *fleet);
void fleet_evacuations_end(struct fleet *fleet);

struct backend *fleet_get(const struct fleet *fleet, uint64_t handle);
/* By backend_key(). */
struct backend *fleet_find(const struct fleet *fleet, uint64_t key);
/* The listed life of the server with that id. */
struct backend *fleet_find_id(const struct fleet *fleet, const char *id);
/* Start of the latest life that was ever listed of that id, Unix milliseconds;
 * 0 when none was told. */
int64_t fleet_started_ms(const struct fleet *fleet, const char *id);
/* Servers of a service, in no order; NULL when there is none. */
const GPtrArray *fleet_service(const struct fleet *fleet, uint64_t service);
/* Those of a stage, of this instance's group or all others, in no order. */
const GPtrArray *fleet_stage(struct fleet *fleet, uint64_t service,
			     enum backend_stage stage, bool in_group);
/* All servers, struct backend. */
const GPtrArray *fleet_all(const struct fleet *fleet);
/* Those that this instance has something under way at, struct backend; also
 * some where that has ended. */
const GPtrArray *fleet_charged(struct fleet *fleet);

/* Whether a listed server of the service answers; also true when none is
 * listed.
 */
bool fleet_service_reachable(const struct fleet *fleet, uint64_t service);
/* Nothing more goes to a server that changes until the list shows it in its new
 * role, or the time is over. */
void fleet_set_changing(struct fleet *fleet,
			const struct backend_change *change);
/* The servers that this instance itself could not reach and passes over now, at
 * most so many; returns how many. None while half of those of its data centre
 * are among them: then it is more likely cut off itself. */
uint32_t fleet_unreachable(struct fleet *fleet,
			   struct unreachable_backend *unreachable,
			   uint32_t max);
/* Passes over what two peers near could not reach of late; no trial is owed for
 * it. One alone may have lost only its own way there. peer is any number that
 * tells them apart. */
void fleet_merge_unreachable(struct fleet *fleet, uint64_t peer,
			     const struct unreachable_backend *unreachable);
/* According to the list or to its own answers. */
bool backend_leaving(const struct backend *backend);
/* It is leaving, or its data centre is evacuated. */
bool backend_withdrawn(const struct backend *backend);
/* The server has just said that it stays cold for so long. True when that is
 * longer than was known by more than messages differ. */
bool backend_set_cold(struct backend *backend, int64_t now, int64_t left_usec);
bool backend_cold(const struct backend *backend, int64_t now);
/* May a new request be sent there now? */
bool backend_usable(const struct backend *backend, int64_t now);
/* When its backoff and limit let a request be sent: now or later; -1 when it is
 * withdrawn or cannot be reached. */
int64_t backend_available_at(const struct backend *backend, int64_t now);
uint32_t backend_requests(const struct backend *backend);
uint32_t backend_decode_tokens(const struct backend *backend);
uint32_t backend_prefill_tokens(const struct backend *backend);
/* Failures of late, each losing half of its weight in a few seconds. */
double backend_failure_score(const struct backend *backend, int64_t now);
/* Adds so many times the load to what this instance has under way there. */
void backend_charge(struct backend *backend, const struct backend_load *load,
		    int times);
/* A request is about to be sent there. After it could not be reached one
 * request tries; the others pass it over until that one is answered or late. */
void backend_claim_probe(struct backend *backend, int64_t now);
/* It has just refused a reservation. It is asked again once the view of it,
 * which showed room, is newer: after the time stale at least. */
void backend_reservation_refused(struct backend *backend, int64_t now,
				 int64_t staleness);
/* It has just granted one. */
void backend_reservation_granted(struct backend *backend);
/* A run that had a reservation, or a result to fetch, began there or with its
 * result; or it was refused all the same: then the server may be changing its
 * role, or have lost the result. So was a prompt refused. Twice in a row, and
 * it is passed over for a while. */
void backend_run_started(struct backend *backend);
void backend_run_refused(struct backend *backend, int64_t now);
bool backend_refusing(const struct backend *backend);
/* It answered, whatever it said. */
void backend_reached(struct backend *backend);
/* A request was answered well. */
void backend_succeeded(struct backend *backend, int64_t now);
/* It failed: broken off, silent, or with an error of the server's own. */
void backend_failed(struct backend *backend, int64_t now);
/* No connection to it came about. */
void backend_unreachable(struct backend *backend, int64_t now);

#endif
