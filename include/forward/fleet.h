/*
 * fleet.h - the backend servers that requests are forwarded to
 *
 * DESCRIPTION
 *	A table of backend servers by incarnation: each start of a server is a
 *	new incarnation, even under the same id or address. Handles and
 *	pointers become invalid when a server leaves the list or restarts, so
 *	load at one incarnation does not count for the next. Updates of an
 *	incarnation are ignored once a later one was listed.
 *
 *	Load is what instances have in flight at a server: own is counted here,
 *	peers is set from the summaries of the peers (forward/gossip.h). The
 *	failure score is a decaying count of failures.
 *
 *	There are two paths to a server: a connection of this instance, and one
 *	that another instance opens on its behalf, a relay. Each path on which
 *	no connection can be made is avoided with exponential backoff. While
 *	relays are available the direct path is not tried by requests again
 *	after a failure, but by health checks (forward/prober.c).
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
	STAGE_NONE,    /* server of a plain service */
	STAGE_PREFILL, /* computes KV caches */
	STAGE_DECODE,  /* generates; can also prefill, slowly */
	STAGE_COUNT,
};

/* A backend server as the platform lists it. */
struct backend_info {
	char id[BACKEND_TEXT_MAX];
	char address[BACKEND_TEXT_MAX]; /* "IP:port" */
	char data_centre[BACKEND_TEXT_MAX];
	int64_t started_ms; /* start of this incarnation, Unix time; 0: unknown
			     */
	uint64_t service;   /* id_of() its name */
	/* Version of its software: events of two versions do not form one
	 * stream. The name may be truncated; the other is id_of() the full
	 * name, or of the empty one if the platform lists none. */
	char software_name[BACKEND_TEXT_MAX];
	uint64_t software;
	enum backend_stage stage;
	uint32_t slots;
	bool leaving;
	int64_t cold_usec; /* remaining cold time when it was reported */
};

/* The load in flight at a server. */
struct backend_load {
	uint32_t requests;
	uint32_t decode_tokens;	 /* of KV cache, reserved or in use */
	uint32_t prefill_tokens; /* of prompts sent and not yet prefilled */
};

/* A signed sum or difference of struct backend_load. */
struct load_sum {
	int64_t requests;
	int64_t decode_tokens;
	int64_t prefill_tokens;
};

/* How a server is connected to. */
enum backend_path {
	PATH_NONE, /* not now */
	PATH_DIRECT,
	PATH_RELAYED, /* by another instance */
};

/* The state of one path to a server. */
struct path_state {
	uint32_t failures;   /* consecutive failed connections */
	int64_t avoid_until; /* end of the backoff */
};

struct backend {
	struct backend_info info;
	struct fleet *fleet;
	uint64_t handle;
	uint64_t key;  /* backend_key(&info) */
	bool local;    /* in this instance's data centre */
	bool in_group; /* local, and in this instance's group */
	bool evacuated;
	uint64_t region;	 /* id_of() its name; 0: not known */
	struct backend_load own; /* changed by backend_charge() */
	bool charged;		 /* in fleet_charged() */
	/* Negative while a delta has arrived before its base. */
	struct load_sum peers;
	double failure_score; /* failures, decayed to failure_score_at */
	int64_t failure_score_at;
	struct path_state direct;
	struct path_state relayed;
	uint32_t relay_links_lost;     /* consecutive, of different relays */
	bool avoid_listed;	       /* in the fleet's avoided list */
	uint64_t lost_epoch;	       /* the fleet's at its last failure */
	bool crashed;		       /* reported, and not reached since */
	uint64_t unreachable_reporter; /* last peer that reported it */
	int64_t unreachable_until;     /* when that peer retries */
	int64_t reported_until;	       /* avoided, as two peers reported it */
	int64_t full_until;	       /* backoff after a refused reservation */
	uint32_t full_count;	       /* consecutive refused reservations */
	int64_t changing_until; /* ordered to another role, or refuses runs */
	int64_t limited_until;	/* after a denied permit */
	uint32_t refusals;	/* consecutive, by backend_run_refused() */
	bool leaving_reported;	/* the server itself reported it */
	int64_t backoff_until;	/* requested by the server */
	int64_t cold_until; /* slow, and crashes under more than a light load */
	bool listed;	    /* in the snapshot being read */
};

/* A server that was ordered to another role. */
struct backend_change {
	uint64_t key;
	enum backend_stage stage; /* its new role */
	int64_t left_usec;	  /* until the change counts as done */
};

/* An unreachable server, and the time left for which it is avoided. */
struct unreachable_backend {
	uint64_t key;
	int64_t left_usec;
};

struct fleet;

/* Compares all fields but cold_usec. */
bool backend_info_same(const struct backend_info *a,
		       const struct backend_info *b);
/* Identifies one incarnation of a server; the same at all instances. */
uint64_t backend_key(const struct backend_info *info);

struct fleet *fleet_create(struct clock *clock, const char *data_centre);
void fleet_destroy(struct fleet *fleet);

/* Takes leaving and backoff of servers from the table, also when the list drops
 * an incarnation and adds it again. The table must outlive the fleet. */
void fleet_set_backpressure(struct fleet *fleet,
			    const struct backpressure *table);
/* To be called when the table has changed for the server. */
void fleet_backpressure_changed(struct fleet *fleet, uint64_t key);

/* Adds or updates a server. A later incarnation replaces an earlier one. NULL
 * when a later incarnation was listed before, which stays unchanged, or when
 * the table is full. */
struct backend *fleet_put(struct fleet *fleet, const struct backend_info *info);
void fleet_remove(struct fleet *fleet, const char *id);
/* Enclose a full snapshot of the list: servers not put in between are removed.
 */
void fleet_snapshot_begin(struct fleet *fleet);
void fleet_snapshot_end(struct fleet *fleet);

/* The instances of the data centre form count groups, and this one is in group
 * index; servers are assigned to groups by key. By default one group. */
void fleet_set_group(struct fleet *fleet, uint32_t index, uint32_t count);
/* The region of a data centre. */
void fleet_set_region(struct fleet *fleet, const char *data_centre,
		      const char *region);
/* How often servers renew their entries; 1.2 s until it is set. */
void fleet_set_heartbeat(struct fleet *fleet, int64_t heartbeat_usec);
/* Time by which the list has dropped a server that is silent. */
int64_t fleet_unlisting_usec(const struct fleet *fleet);

/* Starts or ends the evacuation of a data centre. Nothing new is sent to its
 * servers meanwhile, including those listed later. Returns whether this changed
 * the state. */
bool fleet_evacuate(struct fleet *fleet, const char *data_centre,
		    bool evacuated);
/* Enclose a full list of evacuated data centres: the evacuation of those not
 * passed to fleet_evacuate() in between ends. */
void fleet_evacuations_begin(struct fleet *fleet);
void fleet_evacuations_end(struct fleet *fleet);

struct backend *fleet_get(const struct fleet *fleet, uint64_t handle);
/* By backend_key(). */
struct backend *fleet_find(const struct fleet *fleet, uint64_t key);
/* The listed incarnation of the server with that id. */
struct backend *fleet_find_id(const struct fleet *fleet, const char *id);
/* Start of the latest incarnation ever listed under that id, Unix milliseconds;
 * 0 when unknown. */
int64_t fleet_started_ms(const struct fleet *fleet, const char *id);
/* Servers of a service, in no order; NULL when there is none. */
const GPtrArray *fleet_service(const struct fleet *fleet, uint64_t service);
/* Servers of a stage, in no order: those of this instance's group or all
 * others. */
const GPtrArray *fleet_stage(struct fleet *fleet, uint64_t service,
			     enum backend_stage stage, bool in_group);
/* The only software version that servers of the service were listed with since
 * then; 0 when there were several, which sets mixed, or when no complete list
 * is that old. If no server of any service was listed with a version, the list
 * may be newer.
 */
uint64_t fleet_sole_software(const struct fleet *fleet, uint64_t service,
			     int64_t since, bool *mixed);
/* Servers may have been listed in the meantime that were not put. */
void fleet_list_missed(struct fleet *fleet);
/* Since when the list has been followed; INT64_MAX before it was complete. */
int64_t fleet_complete_since(const struct fleet *fleet);
/* The software versions that servers of the service are listed with, at most
 * max; returns how many. */
uint32_t fleet_software(const struct fleet *fleet, uint64_t service,
			uint64_t *software, uint32_t max);
/* All servers, struct backend. */
const GPtrArray *fleet_all(const struct fleet *fleet);
/* Servers at which this instance has load in flight, struct backend. */
const GPtrArray *fleet_charged(struct fleet *fleet);

/* Whether a listed server of the service is reachable on any path; also true
 * when none is listed. */
bool fleet_service_reachable(const struct fleet *fleet, uint64_t service);
/* Sends nothing more to a server that is changing its role until the list shows
 * it in the new role, or left_usec has passed. */
void fleet_set_changing(struct fleet *fleet,
			const struct backend_change *change);
/* Whether other instances are available as relays. */
void fleet_set_relays(struct fleet *fleet, bool available);
/* A server whose direct path is to be checked now, because requests do not use
 * it; NULL when there is none. */
struct backend *fleet_probe_next(struct fleet *fleet, GRand *rand);
/* Lists up to max servers that this instance could not reach on any path and
 * avoids now; returns their count. 0 while fleet_links_lost(), or while half of
 * the local servers are among them. */
uint32_t fleet_unreachable(struct fleet *fleet,
			   struct unreachable_backend *unreachable,
			   uint32_t max);
/* Merges a report of an unreachable server from a local peer. The server is
 * avoided, without a probe afterwards, once two peers report it: one alone may
 * have lost only its own path. peer is any number that identifies the peer. */
void fleet_merge_unreachable(struct fleet *fleet, uint64_t peer,
			     const struct unreachable_backend *unreachable);
/* Whether this instance is likely cut off from all servers: it failed to
 * connect to several in a row and to none since. */
bool fleet_cut_off(const struct fleet *fleet);
/* Whether it is cut off, or has lost its direct paths to many servers that, as
 * far as known, have not crashed and other instances still reach. What it
 * cannot connect to is then no evidence about servers. */
bool fleet_links_lost(const struct fleet *fleet);
/* According to the list or to the server's own answers. */
bool backend_leaving(const struct backend *backend);
/* Whether the server is leaving, or its data centre is evacuated. */
bool backend_withdrawn(const struct backend *backend);
/* Records that the server has reported to stay cold for left_usec. True when
 * this extends the known time by more than the skew between reports. */
bool backend_set_cold(struct backend *backend, int64_t now, int64_t left_usec);
bool backend_cold(const struct backend *backend, int64_t now);
/* Whether the direct path is known to be lost. */
bool backend_link_lost(const struct backend *backend);
/* How to connect to the server now. */
enum backend_path backend_path(const struct backend *backend, int64_t now);
/* Whether a new request may be sent there now. */
bool backend_usable(const struct backend *backend, int64_t now);
/* The time at which its backoff and limit allow a request, now or later; -1
 * when it is withdrawn, unreachable or changing its role. */
int64_t backend_available_at(const struct backend *backend, int64_t now);
uint32_t backend_requests(const struct backend *backend);
uint32_t backend_decode_tokens(const struct backend *backend);
uint32_t backend_prefill_tokens(const struct backend *backend);
/* Decaying count of failures, with a half-life of a few seconds. */
double backend_failure_score(const struct backend *backend, int64_t now);
/* Adds the load, multiplied by times, to this instance's own load there. */
void backend_charge(struct backend *backend, const struct backend_load *load,
		    int times);
/* To be called before each send. When the server was unreachable on the path or
 * refused runs, this send is the half-open probe: other requests avoid the
 * server until the probe is answered or times out. */
void backend_claim_probe(struct backend *backend, int64_t now);
/* The server has refused a reservation. The retry waits at least staleness, so
 * that it uses a newer view of the load than the one that showed room. */
void backend_reservation_refused(struct backend *backend, int64_t now,
				 int64_t staleness);
/* The server has granted a reservation. */
void backend_reservation_granted(struct backend *backend);
/* A run with a reservation, or with a prefill result, started at the server or
 * with the server's result. */
void backend_run_started(struct backend *backend);
/* Such a run, or a prefill, was refused: the server may be changing its role or
 * have lost the result. It is avoided after two refusals in a row. */
void backend_run_refused(struct backend *backend, int64_t now);
/* Whether it has refused that many. */
bool backend_refusing(const struct backend *backend);
/* The server has crashed: that it cannot be connected to says nothing of this
 * instance's links, until a connection is made. */
void backend_set_crashed(struct backend *backend);
/* A connection to the server was made, directly or by a relay. */
void backend_reached(struct backend *backend);
void backend_relay_reached(struct backend *backend);
/* A request was answered successfully. */
void backend_succeeded(struct backend *backend, int64_t now);
/* A request failed: broken off, timed out, or answered with a server error. */
void backend_failed(struct backend *backend, int64_t now);
/* A connection to the server could not be made, directly or by a relay. */
void backend_unreachable(struct backend *backend, int64_t now);
/* The same as the result of a check of the direct path, which says nothing of
 * the server's health. */
void backend_probe_failed(struct backend *backend, int64_t now);
void backend_relay_unreachable(struct backend *backend, int64_t now);
/* One relay has lost its own link to the server. After several such, the server
 * counts as unreachable by relays for a while. */
void backend_relay_link_lost(struct backend *backend, int64_t now);

#endif
