/*
 * ledger_types.h - the tables of the ledger, shared by its files
 *
 * DESCRIPTION
 *	A request is a struct item at its holder and a struct pending at the
 *	home while it waits. struct grant is its reservation, struct record the
 *	state of its idempotency key. A struct cell has the home's tables, and
 *	the identity of the home for the holder.
 */
#ifndef COORD_LEDGER_TYPES_H
#define COORD_LEDGER_TYPES_H

#include <glib.h>
#include <msgpack.h>

#include "common/clock.h"
#include "coord/ledger.h"

#define LEDGER_MESSAGE_MAX (32u << 10)
#define LEDGER_CHUNK_MAX (16u << 10)
#define LEDGER_CHUNKS_MAX 4096u

/* Identifies a stream in a runner's listing. */
struct tag {
	struct owner owner;
	uint64_t request;
	uint32_t attempt;
};

struct service {
	uint32_t id; /* hash of the name, used in messages */
	const struct config_service *config;
	struct cell *cell;
	uint32_t waiting; /* number of requests queued at this home */
	bool plain;
};

enum item_state {
	ITEM_SUBMITTED, /* not yet acknowledged */
	ITEM_QUEUED,
	ITEM_GRANTED,
	ITEM_ENDING, /* the home has yet to acknowledge the release */
	ITEM_DUPLICATE,
	ITEM_REFUSED, /* refused locally; callback in a later iteration */
	ITEM_LOCAL,   /* plain service without a key: needs no home */
};

/* Further reasons beside enum release_reason. */
#define RELEASE_WITHDRAWN 4u

struct item {
	struct ledger *ledger;
	struct cell *cell;
	enum item_state state;
	uint64_t request;
	uint64_t incarnation; /* incarnation of this instance at submission */
	uint64_t key;
	uint64_t fingerprint;
	uint32_t service;
	bool idempotent;
	bool adopt;
	bool no_redirect;    /* as in struct ledger_request */
	bool home_changed;   /* the home has changed since submission */
	bool previous_freed; /* the previous attempt holds no memory */
	bool progress_due;   /* the stream is not yet acknowledged */
	uint32_t attempt;
	uint32_t sends; /* since the last reset, for the backoff */
	uint32_t reason;
	enum result_code refusal;
	enum ledger_stage stage;
	struct ledger_grant grant;
	struct tag tag;
	char stream[LEDGER_STREAM_MAX];
	struct policy_request need;
	struct timer timer;
};

/* A request that waits at the home. */
struct pending {
	struct cell *cell;
	uint32_t service_id;
	struct service *service; /* NULL if no longer in the config */
	struct tag holder;	 /* owner, its request and attempt */
	uint64_t key;
	uint64_t fingerprint;
	bool idempotent;
	bool adopt;
	bool no_redirect;
	uint64_t avoid[2]; /* runners of the failed attempt */
	int64_t avoid_until;
	bool unsettled;	       /* received before the home settled */
	struct record *parked; /* record whose outcome it waits for */
	struct record *record; /* record that this request owns */
	int64_t rank;
	GSequenceIter *lane_position; /* NULL if unsettled or parked */
	struct policy_request need;
};

enum grant_state {
	GRANT_HELD,
	GRANT_ORPHAN,  /* its holder is dead; a retry may adopt it */
	GRANT_CLOSING, /* the engine is not known to have ended it yet */
};

struct grant {
	struct cell *cell;
	enum grant_state state;
	struct tag holder;
	struct tag tag; /* differs from the holder once adopted */
	uint64_t key;
	uint64_t fingerprint;
	uint32_t service;
	bool idempotent;
	bool hashed; /* grant_find() finds it */
	bool acknowledged;
	bool adopted;
	bool revoked; /* the holder is sent a revoke until it has ended */
	enum request_class class;
	uint32_t prefill; /* indexes into the cell's runners */
	uint32_t decode;
	uint32_t pieces;
	uint32_t sends;		  /* since the last reset, for the backoff */
	uint32_t absent_listings; /* while closing: without the stream */
	int64_t granted_at;
	int64_t expected_end;
	uint64_t prefilling;  /* runner that computes its prompt, or 0 */
	int64_t prefill_time; /* expected duration of the prefill */
	int64_t closing_since;
	uint32_t record_state; /* set once the grant has ended */
	char stream[LEDGER_STREAM_MAX];
	struct record *record;
	struct timer timer;
};

#define RECORD_REMOVED 3u

struct record {
	struct cell *cell;
	uint64_t key;
	uint64_t fingerprint;
	enum record_state state;
	struct owner owner;
	uint64_t owner_request;
	uint32_t attempt;
	struct tag tag;
	uint64_t decode;
	uint32_t pieces;
	uint32_t service;
	bool idempotent;
	bool dirty; /* not yet sent to the replica */
	char stream[LEDGER_STREAM_MAX];
	int64_t expires;    /* set once the request has ended */
	int64_t confirm_by; /* a grant or pending request must exist by then */
	GList *ended;	    /* link in the cell's list */
	struct grant *grant;
	struct pending *pending;
	GQueue parked; /* struct pending that wait for its outcome */
};

/* A stream in a runner's listing that belongs to no known grant. */
struct stray {
	struct cell *cell;
	uint32_t runner;
	struct ledger_stream stream;
	bool listed;
	bool cancelling;
	struct timer timer;
};

/* A prompt granted to a prefill runner. */
struct assigned {
	int64_t at;
	int64_t time; /* expected duration */
};

/* Has the same index as its policy_runner. */
struct runner {
	uint64_t id;
	char *pool;
	bool in_list; /* in the platform's list */
	bool list_leaving;
	bool report_leaving;
	bool withheld; /* by ledger_withhold(): no new work */
	bool reachable;
	bool listed; /* streams listed since this instance became home */
	/* Ignore the next report or listing, which may answer a poll from
	 * before this instance became home. */
	bool skip_report;
	bool skip_listing;
	uint32_t granted;
	uint32_t stray_pieces;
	uint32_t prefilling;  /* granted prompts not known to be computed */
	int64_t prefill_time; /* expected duration of these prompts */
	GArray *assigned;     /* recent struct assigned, oldest first */
	GPtrArray *grants;    /* decode grants on this runner */
	bool sorted;	      /* grants are sorted by expected end */
	GHashTable *strays;   /* stream to struct stray */
};

/* A member's announcement at the home. */
struct announcer {
	uint64_t incarnation;
	uint32_t epoch;
	uint32_t total;
	uint32_t missing;
	GBytes **chunks;
	bool complete;
};

/* This instance's announcement to the home. */
struct announce {
	uint32_t epoch;
	GPtrArray *chunks; /* GBytes; NULL when acknowledged */
	uint32_t missing;
	uint32_t sent;	/* number of chunks sent, in order */
	uint32_t sends; /* since the last reset, for the backoff */
	struct timer timer;
};

struct replication {
	uint32_t sequence;
	GBytes *sent;	/* last batch, until acknowledged */
	GArray *dirty;	/* keys of records to send */
	uint32_t sends; /* since the last reset, for the backoff */
	struct timer timer;
	/* At the replica: the home that sends, and its last sequence. */
	struct owner from;
	uint32_t received;
};

#define LEVEL_HISTORY 10u

/* Load level of the cell, measured by its home. */
struct level {
	struct timer timer;
	uint32_t share; /* share of urgent requests to redirect */
	int64_t announced_at;
	int64_t raised_at;
	bool is_waiting;	    /* urgent requests wait */
	bool busy;		    /* urgent requests wait, or did recently */
	int64_t waiting_changed_at; /* last change of is_waiting */
	int64_t low_wait_since;	    /* or time of the last decrease of share */
	int64_t history[LEVEL_HISTORY]; /* longest waits of the last second */
	uint32_t history_next;
	bool role_missing;	/* a role has no usable runner */
	int64_t role_agreed_at; /* last check that agreed with role_missing */
};

/* Keys exchanged with the homes of the same pools in other data centres. */
struct remote {
	GArray *unannounced; /* keys of new records */
	struct timer timer;
	/* Maps a key's upper half to id_of() of the data centre, in two
	 * generations. */
	GHashTable *recent;
	GHashTable *previous;
	int64_t rotated_at;
};

struct cell {
	struct ledger *ledger;
	uint64_t id;
	char *prefill_pool;
	char *decode_pool;
	const struct config_pool *prefill; /* NULL for plain services */
	const struct config_pool *decode;

	uint64_t home;
	uint64_t home_incarnation;
	uint64_t replica;
	struct announce announce;

	bool is_home;
	bool was_home; /* this instance was its home earlier */
	bool settled;
	struct timer settle;
	int64_t settle_by;
	GHashTable *announcers; /* member to struct announcer */
	GPtrArray *unsettled;	/* struct pending received before settling */
	GSequence *lanes[CLASS_COUNT];
	GHashTable *pending_requests; /* by owner and request of the holder */
	GHashTable *grants;	      /* by owner and request of the holder */
	/* GBytes: entries of orphaned and closing grants for the next home. */
	GPtrArray *orphans;
	uint64_t waiting_pieces[CLASS_COUNT];
	double hold_usec[CLASS_COUNT]; /* moving average; 0: unknown */
	struct ledger_demand arrived;  /* while this instance was home */
	GArray *grant_counts;	       /* per runner; see ledger_cell_next() */
	double cached_tokens;	       /* cached tokens of granted prompts */

	GArray *view;	    /* struct policy_runner */
	GPtrArray *runners; /* struct runner */
	GHashTable *by_id;  /* runner id to index plus one */
	struct prefix *prefix;
	GArray *prefix_depths; /* cached blocks per runner, of one request */
	const struct policy_request *prefix_depths_for;
	struct timer scan;

	GHashTable *records;
	int64_t abandoned_check_until; /* see records_check_abandoned() */
	GQueue ended; /* ended records, in the order of their end */
	struct timer expiry;
	struct replication replication;
	struct level level;
	struct remote remote;
};

/* A batch of acknowledgements to a peer. */
struct peer {
	uint64_t id;
	uint64_t incarnation;
	GByteArray *acks;
};

struct ledger {
	struct clock *clock;
	struct membership *membership;
	struct ledger_settings settings;
	struct transport transport;
	struct ledger_ops ops;
	void *ctx;
	const struct config *config;
	const struct policy_ops *policy;
	void *policy_state;
	char *policy_key;
	GPtrArray *cells;
	GPtrArray *services;
	GHashTable *items;
	GPtrArray *peers;
	struct timer flush;
	uint64_t self;
	uint64_t incarnation;
	uint32_t record_count;
	GArray *runner_list; /* struct ledger_runner, strings owned */
	uint64_t cancels;
	uint64_t sent_bytes;
	uint64_t sent_messages;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	msgpack_zone zone; /* memory of the message being decoded */
};

#endif
