/*
 * ledger_types.h - the tables of the ledger, shared by its files
 *
 * DESCRIPTION
 *	struct item is a request at its holder, struct waiting the same request
 *	in the queue of the home, struct grant what the home gave for it, struct
 *	record what is known of its key. A struct cell holds the home's tables
 *	and the holder's view of where the home is.
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

/* Named by the tag that its runner lists: owner, request, attempt. */
struct tag {
	struct owner owner;
	uint64_t request;
	uint32_t attempt;
};

struct service {
	uint32_t id; /* hash of the name, as sent */
	const struct config_service *config;
	struct cell *cell;
	uint32_t waiting; /* in the queue of this home */
	bool plain;
};

enum item_state {
	ITEM_ASKING, /* not yet acknowledged */
	ITEM_QUEUED,
	ITEM_GRANTED,
	ITEM_ENDING, /* until the home has acknowledged */
	ITEM_DUPLICATE,
	ITEM_REFUSED, /* by the own instance, told in a later turn */
	ITEM_LOCAL,   /* plain and without a key: needs no home */
};

/* Further reasons beside enum release_reason. */
#define RELEASE_WITHDRAWN 4u

struct item {
	struct ledger *ledger;
	struct cell *cell;
	enum item_state state;
	uint64_t request;
	uint64_t incarnation; /* the own one when it was asked for */
	uint64_t key;
	uint64_t fingerprint;
	uint32_t service;
	bool idempotent;
	bool adopt;
	bool here;	   /* as in struct ledger_request */
	bool moved;	   /* the home has changed since the ask */
	bool former_free;  /* the former attempt holds no memory */
	bool progress_due; /* the stream is not yet acknowledged */
	uint32_t attempt;
	uint32_t tries;
	uint32_t reason;
	enum result_code refusal;
	enum ledger_stage stage;
	struct ledger_grant grant;
	struct tag tag;
	char stream[LEDGER_STREAM_MAX];
	struct policy_request need;
	struct timer timer;
};

struct waiting {
	struct cell *cell;
	uint32_t service_id;
	struct service *service; /* NULL when the config has it no more */
	struct tag holder;	 /* who asks, its handle and attempt */
	uint64_t key;
	uint64_t fingerprint;
	bool idempotent;
	bool adopt;
	bool here;
	uint64_t avoid[2]; /* runners of the failed attempt, for a while */
	int64_t avoid_until;
	bool fresh; /* taken while the home was not settled */
	struct record *parked;
	struct record *record;
	int64_t rank;
	GSequenceIter *place; /* in its lane; NULL while fresh or parked */
	struct policy_request need;
};

enum grant_state {
	GRANT_HELD,
	GRANT_ORPHAN,  /* its holder is dead; a retry may adopt it */
	GRANT_CLOSING, /* until the engine is known to have ended it */
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
	bool hashed; /* found by owner and request */
	bool acknowledged;
	bool adopted;
	bool revoked; /* its holder is told so until it has ended */
	enum request_class class;
	uint32_t prefill; /* indexes into the cell's runners */
	uint32_t decode;
	uint32_t pieces;
	uint32_t tries;
	uint32_t listings; /* seen without it since it is closing */
	int64_t granted_at;
	int64_t expected_end;
	uint64_t prefilling;  /* runner that computes its prompt, or 0 */
	int64_t prefill_time; /* that this is expected to take */
	int64_t closing_since;
	uint32_t record_state; /* of the key when the grant is gone */
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
	bool dirty; /* the replica has not been sent it */
	char stream[LEDGER_STREAM_MAX];
	int64_t expires; /* of ended ones */
	int64_t confirm_by;
	GList *ended;
	struct grant *grant;
	struct waiting *waiting;
	GQueue parked; /* asks that wait for what becomes of the owner's work */
};

/* A stream that a runner lists and no grant is known for. */
struct stray {
	struct cell *cell;
	uint32_t runner;
	struct ledger_stream stream;
	bool listed;
	bool cancelling;
	struct timer timer;
};

/* A prompt that a prefill runner was given. */
struct assigned {
	int64_t at;
	int64_t time; /* that it should take */
};

/* Beside the policy_runner of the same index. */
struct runner {
	uint64_t id;
	char *pool;
	bool known; /* in the platform's list */
	bool list_leaving;
	bool report_leaving;
	bool withheld; /* gets no new work, by ledger_withhold() */
	bool reachable;
	bool listed; /* its streams were listed since this is the home */
	/* The next report and listing may be answers to a poll from before this
	 * was the home anew. */
	bool skip_report;
	bool skip_listing;
	uint32_t granted;
	uint32_t stray_pieces;
	uint32_t prefilling;  /* prompts granted and not known as computed */
	int64_t prefill_time; /* that these are expected to take */
	GArray *assigned;     /* struct given of late, oldest first */
	GPtrArray *grants;    /* of decode runners */
	bool sorted;	      /* by when they are expected to end */
	GHashTable *strays;   /* by stream */
};

/* What a member has announced to this home. */
struct announcer {
	uint64_t incarnation;
	uint32_t epoch;
	uint32_t total;
	uint32_t missing;
	GBytes **chunks;
	bool complete;
};

/* An announcement on its way to the home. */
struct announce {
	uint32_t epoch;
	GPtrArray *chunks; /* GBytes; NULL when acknowledged */
	uint32_t missing;
	uint32_t sent; /* so many chunks were sent, from the first on */
	uint32_t tries;
	struct timer timer;
};

struct replication {
	uint32_t sequence;
	GBytes *sent;  /* until acknowledged */
	GArray *dirty; /* keys */
	uint32_t tries;
	struct timer timer;
	/* The receiving side. */
	struct owner from;
	uint32_t received;
};

#define LEVEL_WAITS 10u

/* How busy the cell is, as its home measures it. */
struct level {
	struct timer timer;
	uint32_t share;		      /* of urgent requests that should leave */
	int64_t said;		      /* when the fact was set */
	int64_t raised;		      /* when the share was */
	bool waits;		      /* urgent requests do */
	bool busy;		      /* they did until shortly before */
	int64_t waits_since;	      /* that was so, or was otherwise */
	int64_t calm_since;	      /* or since the share was lowered */
	int64_t history[LEVEL_WAITS]; /* longest, at each check of a second */
	uint32_t at;
	bool unmanned;	      /* a role has no usable runner */
	int64_t manned_since; /* that was so, or was otherwise */
};

/* Keys told to and by the homes of the same pools in other data centres. */
struct remote {
	GArray *due; /* keys of new records that are yet to be told */
	struct timer timer;
	/* Short key to id_of() of the data centre, in two generations. */
	GHashTable *young;
	GHashTable *old;
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
	bool was_home; /* at any time before */
	bool settled;
	struct timer settle;
	int64_t settle_by;
	GHashTable *announcers; /* by member */
	GPtrArray *fresh;	/* asks taken while not settled */
	GSequence *lanes[CLASS_COUNT];
	GHashTable *asks;   /* by tag: owner and request */
	GHashTable *grants; /* by tag: owner and request */
	GPtrArray *orphans; /* GBytes to announce after this was the home */
	uint64_t waiting_pieces[CLASS_COUNT];
	double hold_usec[CLASS_COUNT]; /* mean of late; 0 unknown */
	struct ledger_work arrived;    /* since this is the home */
	GArray *grant_counts;	       /* by runner, as last counted */
	double cached_tokens;	       /* of granted prompts, likewise */

	GArray *view;	    /* struct policy_runner */
	GPtrArray *runners; /* struct runner */
	GHashTable *by_id;  /* runner id to index plus one */
	struct prefix *prefix;
	GArray *depth;
	const struct policy_request *depth_for;
	struct timer scan;

	GHashTable *records;
	int64_t abandoned_check_until; /* copied records may have nobody behind
					  them */
	GQueue ended;
	struct timer expiry;
	struct replication replication;
	struct level level;
	struct remote remote;
};

/* Acknowledgements gathered for one peer. */
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
	GArray *list; /* struct ledger_runner with own strings */
	uint64_t cancels;
	uint64_t sent_bytes;
	uint64_t sent_messages;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	msgpack_zone zone; /* of the message being read */
};

#endif
