/*
 * member_private.h - what the files of the membership share
 */
#ifndef COORD_MEMBER_PRIVATE_H
#define COORD_MEMBER_PRIVATE_H

#include <glib.h>
#include <msgpack.h>

#include "coord/member.h"

/*
 * A level orders what is said of one incarnation: even numbers say alive,
 * odd ones suspect, and a member alone raises its own level to refute a
 * suspicion. Dead is above all; only a new incarnation refutes it.
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
#define SYNC_EVERY_USEC (1 * USEC_PER_SEC)
#define PUSH_DELAY_USEC (50 * USEC_PER_MSEC)
#define JOIN_BACKOFF_MAX_USEC (8 * USEC_PER_SEC)

enum update_kind {
	UPDATE_MEMBER,
	UPDATE_FACT,
	UPDATE_REACH,
};

/* Part of what it tells about; linked while it has transmissions left. */
struct update {
	enum update_kind kind;
	uint32_t transmissions_left;
	GList link;
	bool linked;
};

/* How a whole data centre is seen from the own one. */
enum reach {
	REACH_UP,
	REACH_SUSPECT,
	REACH_DOWN,
};

struct centre {
	struct update update; /* first: see update_centre() */
	uint64_t id;
	char name[MEMBER_NAME_MAX];
	uint64_t hash; /* over its members, see hashes_update() */
	enum reach reach;
	uint64_t version;    /* of reach */
	int64_t last_seen;   /* last digest from there at all */
	int64_t last_mutual; /* last digest that said it hears us too */
	bool digest_seen;    /* heard is set */
	bool gateway;
	uint32_t round;
};

struct peer {
	struct update update; /* first: see update_peer() */
	struct member view;   /* what the embedder sees */
	uint32_t level;
	bool leaving;
	bool confirmed; /* its state was told, not only its name by a list */
	bool reported;	/* the embedder was told of it */
	bool forgotten;
	bool watched;	      /* it should send heartbeats to us */
	bool send_names;	      /* the news carries its names too */
	bool confirmed_alive; /* told us, since the last pause, that we live */
	bool probed;	      /* a probe is out since the last sign of life */
	struct centre *centre;
	int64_t last_seen;   /* last sign of life, or when it was first expected
			      */
	int64_t state_since; /* when this level was learnt */
	int64_t hinted_at;   /* when the platform's list last named it */
	int64_t join_sent_at; /* when it was last sent a join */
	int64_t notified_at;  /* when it was last told how it is seen */
	uint32_t join_attempts;
};

struct fact {
	struct update update; /* first: see update_fact() */
	uint64_t key;
	uint64_t version;
	int64_t set; /* at its origin, by the own clock */
	size_t size;
	unsigned char value[];
};

enum wire_kind {
	WIRE_HEARTBEAT = 1,
	WIRE_PING, /* a: target, b: origin */
	WIRE_ACK,  /* a: subject, b: origin, items: the subject's row */
	WIRE_SYNC, /* items: hashes */
	WIRE_KEYS, /* a: data centre, or 0 and fact keys; items: short rows */
	WIRE_ROWS, /* items: rows and facts */
	WIRE_REQUEST,	  /* a: 0 for members, 1 for facts, items: ids */
	WIRE_DIGEST_SEEN, /* a: data centre, b: whether it hears us */
	WIRE_KIND_MAX,
};

#define WIRE_LEAVING 1u
#define WIRE_DIGEST 2u /* between data centres */
#define WIRE_MUTUAL 4u /* the sender hears the receiver's data centre */
#define WIRE_JOIN 8u   /* answer with the own row and hashes */
/* The sender holds the receiver dead. a: how many of the data centre it
 * holds alive, b: the lowest of their ids. */
#define WIRE_DECLARED_DEAD 16u

enum item_kind {
	ITEM_ROW,   /* id, incarnation, level, leaving */
	ITEM_NAMED, /* ... and name, data centre, addresses */
	ITEM_FACT,  /* key, version, age in seconds, value */
	ITEM_REACH, /* data centre, version, reach */
	ITEM_HASH,  /* bucket, hash */
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
	uint64_t view; /* hash over all that the sender knows */
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
	GPtrArray *peers;   /* by id */
	GPtrArray *centres; /* by id */
	GPtrArray *ring;    /* own data centre's, not dead, by id */
	GHashTable *index;  /* id -> peer */
	GHashTable *facts;  /* key -> fact */
	GQueue updates;
	GArray *unknown; /* ids whose names are to be asked for */
	bool ring_stale;
	bool hashes_stale;
	uint64_t facts_hash;
	uint64_t view_hash;
	uint64_t reach_hash;
	int64_t last_hint_at; /* when the platform's list last named anyone */
	int64_t last_change;

	struct timer heartbeat_timer;
	struct timer digest;
	struct timer push;
	int64_t heartbeat_at;
	int64_t sync_next;
	int64_t swept_at;
	double push_tokens;
	int64_t push_refilled_at;

	bool uncertain; /* paused long: may be dead in others' eyes */
	int64_t uncertain_since;
	uint32_t confirmations;

	msgpack_sbuffer out;
	msgpack_sbuffer items;
	uint32_t item_count;
	msgpack_zone zone;
	struct membership_stats stats;
};

/* home.c */
uint64_t home_rank(const struct membership *m, const struct centre *c,
		   uint64_t key, uint32_t rank, bool leaving);

/* member_codec.c */
bool wire_decode(struct membership *m, const void *data, size_t size,
		 struct wire *wire);
bool item_decode(const msgpack_object *object, struct item *item);
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
/* Not dead as far as its own data centre knows. */
bool peer_is_live(const struct peer *p);
/* Works out the state to be seen and tells the embedder of a change. */
void peer_refresh(struct membership *m, struct peer *p);
void peer_set_names(struct membership *m, struct peer *p,
		    const struct member *member);
/* Takes a row when it is newer than what is known; false when the member is
 * unknown and the row does not name it. */
bool row_apply(struct membership *m, const struct item *row, bool disseminate);
void peer_set_level(struct membership *m, struct peer *p, uint32_t level);
/* Takes an incarnation above all that others may hold. */
void incarnation_raise(struct membership *m, uint64_t above);
void hashes_update(struct membership *m);
/* The hash over all that is common knowledge with that instance. */
uint64_t view_hash_for(struct membership *m, uint64_t id);
void table_sweep(struct membership *m);
void table_changed(struct membership *m);

/* member_update.c */
void update_add(struct membership *m, struct update *update);
void update_remove(struct membership *m, struct update *update);
/* Packs what fits; the peer addressed is told first how it is seen. */
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
/* The members of the own data centre that are not dead, the own included. */
GPtrArray *ring_members(struct membership *m);
/* A random one of them other than the own and not, or NULL. */
struct peer *ring_random(struct membership *m, const struct peer * not );
void join_send(struct membership *m, struct peer *p);
/* Tells a peer how it is seen when that is not as it says. */
void peer_notify(struct membership *m, struct peer *p);

/* member_probe.c */
void probe_tick(struct membership *m);
void probe_ping(struct membership *m, const struct wire *wire, uint64_t from);
void probe_ack(struct membership *m, const struct wire *wire, uint64_t from);
void probe_watchers(struct membership *m);
void probe_confirmed(struct membership *m);

/* member_sync.c */
void sync_start(struct membership *m, uint64_t to);
/* Starts an exchange when the sender's view differs and it is time. */
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
/* Sends pending news to other data centres that we are gateway to. */
void digest_push(struct membership *m);

#endif
