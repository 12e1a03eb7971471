/*
 * member_private.h - internal interface of the membership
 */
#ifndef COORD_MEMBER_PRIVATE_H
#define COORD_MEMBER_PRIVATE_H

#include <glib.h>
#include <msgpack.h>

#include "coord/member.h"

/*
 * A level orders the states of one incarnation: even levels mean alive, odd
 * ones suspect. Only the member itself raises its level to the next even one,
 * to refute a suspicion. Dead is the highest level; only a new incarnation
 * refutes it.
 */
#define LEVEL_DEAD UINT32_MAX
#define LEVEL_SUSPECT 1u

#define UPDATE_BYTES_MAX 900u
#define SYNC_BYTES_MAX 8192u
#define FACTS_MAX 8192u
#define FACT_BYTES_MAX 512u
#define PEERS_MAX 4096u
#define CENTRES_MAX 64u

#define FACT_TTL_USEC (3600 * USEC_PER_SEC)
#define FORGET_UNLISTED_USEC (60 * USEC_PER_SEC)
#define FORGET_DEAD_USEC (3600 * USEC_PER_SEC)
#define TOMBSTONE_USEC (600 * USEC_PER_SEC)
#define SYNC_INTERVAL_USEC (1 * USEC_PER_SEC)
#define PUSH_DELAY_USEC (50 * USEC_PER_MSEC)
#define JOIN_BACKOFF_MAX_USEC (8 * USEC_PER_SEC)

enum update_kind {
	UPDATE_MEMBER,
	UPDATE_FACT,
	UPDATE_REACH,
};

/* A change to disseminate, embedded in the peer, fact or data centre that it
 * describes; linked while it has transmissions left. */
struct update {
	enum update_kind kind;
	uint32_t transmissions_left;
	GList link;
	bool linked;
};

/* Reachability of another data centre from the local one. */
enum reach {
	REACH_UP,
	REACH_SUSPECT,
	REACH_DOWN,
};

struct centre {
	struct update update; /* must be first, see update_centre() */
	uint64_t id;
	char name[MEMBER_NAME_MAX];
	uint64_t hash; /* hash of its members, see hashes_update() */
	enum reach reach;
	uint64_t version;    /* version of reach, for merges */
	int64_t last_seen;   /* last digest received from it */
	int64_t last_mutual; /* last digest that confirmed it receives ours */
	bool digest_seen;    /* at least one digest was received */
	bool gateway;
	uint32_t round; /* digests sent; selects the remote gateway */
};

struct peer {
	struct update update; /* must be first, see update_peer() */
	struct member view;   /* as reported to the embedder */
	uint32_t level;
	bool leaving;
	bool confirmed; /* its state was received, not only a hint */
	bool reported;	/* it was reported to the embedder */
	bool forgotten;
	bool watched;	      /* this instance expects heartbeats from it */
	bool send_names;      /* its update carries name and addresses too */
	bool confirmed_alive; /* it confirmed, since the last pause, that this
			       * instance is alive */
	bool probed;	      /* a probe was sent since last_seen */
	struct centre *centre;
	int64_t last_seen;   /* last message, or when one was first expected */
	int64_t state_since; /* when the level was set, or the peer forgotten
			      */
	int64_t hinted_at;   /* when a hint last named it */
	int64_t join_sent_at;
	int64_t notified_at; /* last peer_notify() */
	uint32_t join_attempts;
};

struct fact {
	struct update update; /* must be first, see update_fact() */
	uint64_t key;
	uint64_t version;
	int64_t set_at; /* when it was set at its origin, by the local clock */
	size_t size;
	unsigned char value[];
};

enum wire_kind {
	WIRE_HEARTBEAT = 1,
	WIRE_PING, /* a: target, b: origin */
	WIRE_ACK,  /* a: subject, b: origin, items: the subject's row */
	WIRE_SYNC, /* items: hashes */
	WIRE_KEYS, /* a: data centre or bucket of facts, items: rows or keys */
	WIRE_ROWS, /* items: rows and facts */
	WIRE_REQUEST,	  /* a: 0 for members, 1 for facts, items: ids */
	WIRE_DIGEST_SEEN, /* a: data centre, b: whether it receives ours */
	WIRE_KIND_MAX,
};

#define WIRE_LEAVING 1u
#define WIRE_DIGEST 2u /* a digest between data centres */
#define WIRE_MUTUAL 4u /* the sender receives the receiver's digests */
#define WIRE_JOIN 8u   /* the receiver answers with its row and hashes */
/* The sender declared the receiver dead. a: number of members that the sender
 * holds alive in the data centre, b: the lowest of their ids. */
#define WIRE_DECLARED_DEAD 16u

enum item_kind {
	ITEM_ROW,   /* id, incarnation, level, leaving */
	ITEM_NAMED, /* as ITEM_ROW, and name, data centre, addresses */
	ITEM_FACT,  /* key, version, age in seconds, value */
	ITEM_REACH, /* data centre, version, reach */
	ITEM_HASH,  /* data centre or bucket of facts, hash */
	ITEM_KEY,   /* key, version */
	ITEM_ID,    /* id */
	ITEM_KIND_MAX,
};

struct text {
	const char *data;
	uint32_t size;
};

struct item {
	enum item_kind kind;
	uint64_t id;
	uint64_t version; /* incarnation for rows */
	uint64_t number;  /* level, age or reach */
	bool leaving;
	struct text names[4];
	struct text value;
};

struct wire {
	enum wire_kind kind;
	uint64_t incarnation;
	uint32_t level;
	uint32_t flags;
	uint64_t view_hash; /* hash of the sender's view, see view_hash_for() */
	uint64_t a;
	uint64_t b;
	const msgpack_object *items;
	uint32_t item_count;
};

struct membership {
	struct clock *clock;
	struct membership_settings settings;
	struct transport transport;
	struct membership_ops ops;
	void *ctx;
	GRand *rand;

	struct peer *self;
	GPtrArray *peers;   /* sorted by id */
	GPtrArray *centres; /* sorted by id */
	GPtrArray *ring;    /* local data centre without dead peers, by id */
	GHashTable *index;  /* id -> peer */
	GHashTable *facts;  /* key -> fact */
	GQueue updates;
	GArray *unknown; /* ids of members or facts to request */
	bool ring_stale;
	bool hashes_stale;
	uint64_t facts_hash;
	uint64_t view_hash;
	uint64_t reach_hash;
	int64_t last_hint_at; /* last hint for any member */
	int64_t last_change;

	struct timer heartbeat_timer;
	struct timer digest_timer;
	struct timer push_timer;
	int64_t heartbeat_at;
	int64_t sync_next;
	int64_t swept_at;
	double push_tokens;
	int64_t push_refilled_at;

	bool uncertain; /* paused long: others may have declared it dead */
	int64_t uncertain_since;
	uint32_t confirmations;

	msgpack_sbuffer out;
	msgpack_sbuffer items;
	uint32_t item_count;
	msgpack_zone zone;
	struct membership_stats stats;
};

/* home.c */
/* membership_home() with leaving members included on request. */
uint64_t home_rank(const struct membership *m, const struct centre *c,
		   uint64_t key, uint32_t rank, bool leaving);

/* member_codec.c */
bool wire_decode(struct membership *m, const void *data, size_t size,
		 struct wire *wire);
bool item_decode(const msgpack_object *object, struct item *item);
/* Starts a message; the pack functions below add its items. */
void wire_begin(struct membership *m);
/* Bytes of items packed since wire_begin(). */
size_t wire_size(const struct membership *m);
void wire_send(struct membership *m, uint64_t to, enum wire_kind kind,
	       uint32_t flags, uint64_t a, uint64_t b);
void pack_row(struct membership *m, const struct peer *p, bool named);
void pack_fact(struct membership *m, const struct fact *fact);
void pack_pair(struct membership *m, enum item_kind kind, uint64_t id,
	       uint64_t version);
void pack_reach(struct membership *m, const struct centre *c);
void pack_id(struct membership *m, uint64_t id);

/* member_table.c */
struct peer *peer_find(const struct membership *m, uint64_t id);
struct peer *peer_add(struct membership *m, const struct member *member);
struct centre *centre_find(const struct membership *m, uint64_t id);
struct centre *centre_get(struct membership *m, const char *name);
bool peer_local(const struct membership *m, const struct peer *p);
/* Not declared dead by its own data centre. */
bool peer_is_live(const struct peer *p);
/* Recomputes the state and reports a change to the embedder. */
void peer_refresh(struct membership *m, struct peer *p);
void peer_set_names(struct membership *m, struct peer *p,
		    const struct member *member);
/* Merges a row that is newer than the known one; disseminate passes it on.
 * False when the row lacks the names that it needs: the member is unknown or
 * has a new incarnation. */
bool row_apply(struct membership *m, const struct item *row, bool disseminate);
void peer_set_level(struct membership *m, struct peer *p, uint32_t level);
/* Sets the own incarnation above every one that others may know. */
void incarnation_raise(struct membership *m, uint64_t above);
void hashes_update(struct membership *m);
/* The hash of the part of the view that is shared with that instance. */
uint64_t view_hash_for(struct membership *m, uint64_t id);
void table_sweep(struct membership *m);
void table_changed(struct membership *m);

/* member_update.c */
void update_add(struct membership *m, struct update *update);
void update_remove(struct membership *m, struct update *update);
/* Packs pending updates up to UPDATE_BYTES_MAX. A suspected receiver gets its
 * own row first, so that it can refute. */
void updates_pack(struct membership *m, const struct peer *to);
void updates_receive(struct membership *m, const struct peer *from,
		     const struct wire *wire);
void updates_push(struct timer *timer, void *ctx);

/* member_fact.c */
bool fact_apply(struct membership *m, const struct item *item,
		bool disseminate);
void fact_free(void *data);
void facts_sweep(struct membership *m);

/* member_ring.c */
void ring_heartbeat(struct timer *timer, void *ctx);
/* The members of the local data centre that are not dead, including this
 * instance. */
GPtrArray *ring_members(struct membership *m);
/* A random one of them, neither this instance nor excluded, or NULL. */
struct peer *ring_random(struct membership *m, const struct peer *excluded);
void join_send(struct membership *m, struct peer *p);
/* Sends a peer the state in which it is held here, so that it can refute it. */
void peer_notify(struct membership *m, struct peer *p);

/* member_probe.c */
void probe_tick(struct membership *m);
void probe_ping(struct membership *m, const struct wire *wire, uint64_t from);
void probe_ack(struct membership *m, const struct wire *wire, uint64_t from);
void probe_watchers(struct membership *m);
void probe_confirmed(struct membership *m);

/* member_sync.c */
void sync_start(struct membership *m, uint64_t to);
/* Starts an exchange when the sender's view differs and one is due. */
void sync_check(struct membership *m, uint64_t from, const struct wire *wire);
void sync_hashes(struct membership *m, uint64_t from, const struct wire *wire);
void sync_keys(struct membership *m, uint64_t from, const struct wire *wire);
void sync_request(struct membership *m, uint64_t from, const struct wire *wire);

/* member_digest.c */
void digest_tick(struct timer *timer, void *ctx);
void digest_receive(struct membership *m, struct peer *from,
		    const struct wire *wire);
void digest_seen_receive(struct membership *m, const struct wire *wire);
void reach_apply(struct membership *m, const struct item *item);
/* Sends pending updates to the data centres that this instance is gateway to.
 */
void digest_push(struct membership *m);

#endif
