/*
 * gossip_private.h - the peers, for the files of gossip
 */
#ifndef FORWARD_GOSSIP_PRIVATE_H
#define FORWARD_GOSSIP_PRIVATE_H

#include "common/address.h"
#include "forward/gossip.h"
#include "gossip_codec.h"
#include "web/loop.h"

struct peer {
	char address[ADDRESS_TEXT_MAX];
	uint64_t key; /* id_of(address) */
	struct sockaddr_storage to;
	socklen_t to_size;
	char name[BACKEND_TEXT_MAX];  /* empty until it told */
	char group[GOSSIP_GROUP_MAX]; /* empty until known */
	uint64_t boot;
	uint64_t sequence;
	int64_t added_at;
	int64_t last_seen; /* or GOSSIP_NEVER */
	int64_t sent_at;   /* or GOSSIP_NEVER */
	int64_t addresses_sent_at;
	uint64_t sent_revision; /* of own loads, or the data centre's */
	bool leaving;
	/* Told by a near peer last, or NULL. */
	struct gossip_summary *summary;
	GArray *loads; /* of a near peer, struct applied_load */
};

/* Another group of instances, a data centre's only one or a part of a large
 * one, as the last of its instances to tell saw it. */
struct group_state {
	char name[GOSSIP_GROUP_MAX];
	int64_t last_seen;
	bool left; /* nobody is there any more */
	struct gossip_summary total;
	struct gossip_candidate lowest;
	GArray *loads;	  /* struct applied_load */
	GPtrArray *peers; /* struct peer, those that live there */
};

/* A load that was added to a server, for taking it off again. */
struct applied_load {
	uint64_t handle;
	struct load_sum load;
};

/* Datagrams that may be sent at once. */
struct token_bucket {
	double per_sec;
	double burst;
	double tokens;
	int64_t updated_at;
};

struct gossip {
	struct loop *loop;
	struct clock *clock;
	struct fleet *fleet;
	struct gossip_settings settings;
	struct gossip_ops ops;
	void *ctx;
	int fd;
	h2o_socket_t *socket;
	uint64_t key;		  /* id_of() the own address */
	GHashTable *peers;	  /* address to struct peer */
	GHashTable *other_groups; /* name to struct centre */
	char group[GOSSIP_GROUP_MAX];
	uint32_t group_count;	   /* that the data centre consists of */
	int64_t updated_at;	   /* when peers_update() went through them */
	uint32_t live;		   /* peers, as of then */
	uint32_t live_group_count; /* other groups, likewise */
	uint32_t rank;		   /* gossip_rank(), likewise */
	bool store_unreachable;	   /* of the own word, as told last */
	GPtrArray *local;	   /* struct peer of the same group */
	GPtrArray *remote;	   /* struct peer of others */
	GPtrArray *receivers;	   /* those of far that this instance tells */
	uint64_t receivers_sum;	   /* sum of the peers' keys that they follow */
	GArray *sent_loads;	   /* struct gossip_load, as told last */
	uint64_t revision;	   /* of these, rises when they change */
	uint64_t group_revision;   /* of the loads of the data centre */
	int64_t changed_at;
	struct token_bucket changes_bucket; /* to those that use the server */
	struct token_bucket changes_bucket_remote; /* to others elsewhere */
	struct gossip_traffic traffic;
	double delay_local; /* mean time from a change to its telling, usec */
	double delay_remote;
	struct timer changes_timer; /* a change is told when it runs out */
	GArray *findings_own;	    /* struct quarantine_entry, found here */
	GArray *findings_local;	    /* heard from peers near */
	struct timer quarantine_soon;
	struct timer quarantine_timer;
	uint32_t next_peer; /* which peer is told next */
	struct timer usage_soon;
	int64_t usage_sent; /* apart from words */
	uint64_t sequence;
	uint32_t next_address; /* which addresses to pass on next */
	struct timer timer;
};

#define GOSSIP_NEVER INT64_MIN

int64_t gossip_now(const struct gossip *gossip);

/* Of gossip_peers.c. */
struct peer *peer_add(struct gossip *gossip, const char *address);
void peer_free(gpointer data);
void group_state_free(gpointer data);
struct group_state *group_state_get(struct gossip *gossip, const char *name);
/* Of a peer that tells: group is where it is. */
void peer_seen(struct gossip *gossip, struct peer *peer, const char *group);
/* Heard of lately, and not leaving. */
bool peer_live(const struct gossip *gossip, const struct peer *peer);
/* In the same group; also false when its group is not known. */
bool peer_is_local(const struct gossip *gossip, const struct peer *peer);
bool group_state_live(const struct gossip *gossip,
		      const struct group_state *group);
/* What a near peer told last; all zero when it has told nothing yet. */
const struct gossip_summary *peer_summary(const struct peer *peer);
/* Drops what is too old, and sorts peers into near, far and receivers; with
 * many peers not at each call. */
void peers_update(struct gossip *gossip);

/* Of gossip_groups.c. */
/* How many groups so many instances of a data centre form, now that they form
 * so many. */
uint32_t groups_for(uint32_t groups, uint32_t instances);
/* The name of the group of an instance or a server with that key. */
void group_print(char group[GOSSIP_GROUP_MAX], const char *data_centre,
		 uint32_t count, uint64_t key);
/* Whether the group is of that data centre; whether it is all of one. */
bool group_within(const char *group, const char *data_centre);
bool group_is_whole(const char *group);
/* Whether both are of one data centre. */
bool group_same_data_centre(const char *group, const char *other);
/* Whether the server with that key is one of the group's. */
bool group_serves(const char *group, const char *data_centre, uint64_t key);
/* Follows the number of instances. */
void groups_update(struct gossip *gossip);

/* Of gossip_receive.c: takes in what came from an address. */
void gossip_receive(struct gossip *gossip, const char *from,
		    const struct gossip_message *message);

/* Of gossip_send.c. */
/* Tells those whose time it is. */
void gossip_send_due(struct gossip *gossip);
/* Tells of loads that have changed, as far as the allowances last. */
void gossip_send_changes(struct gossip *gossip);

void peer_send(struct gossip *gossip, const struct peer *peer,
	       const GByteArray *out);
/* To those of them that live. */
void peers_send(struct gossip *gossip, const GPtrArray *peers,
		const GByteArray *out);
void message_begin(struct gossip *gossip, struct gossip_message *message,
		   enum gossip_kind kind);

/* Of gossip_quarantine.c. */
void gossip_quarantine_start(struct gossip *gossip);
void gossip_quarantine_stop(struct gossip *gossip);
/* Tells a peer that has started, or was silent, at once. */
void gossip_quarantine_send(struct gossip *gossip, const struct peer *peer);
/* Takes in the works that a peer told. */
void gossip_quarantine_receive(struct gossip *gossip, bool local,
			       const GArray *entries);

/* Of gossip_usage.c. */
void gossip_usage_start(struct gossip *gossip);
void gossip_usage_stop(struct gossip *gossip);
/* Adds what is used of allotments here, or with sums in the data centre. */
void gossip_usage_add(struct gossip *gossip, bool sums, GArray *usage);
/* Takes in what a peer told of them. */
void gossip_usage_receive(struct gossip *gossip, const struct peer *peer,
			  const GArray *usage);

/* Of gossip_permits.c. */
/* Adds what servers ask for. */
void gossip_facts_add(struct gossip *gossip, GArray *facts);
/* Takes in what a peer told of them. */
void gossip_facts_receive(struct gossip *gossip, const GArray *facts);
/* Answers a peer that asks, or takes its answer. */
void gossip_permit_receive(struct gossip *gossip, const struct peer *peer,
			   const struct gossip_message *message);

/* Of gossip_view.c. */
/* How long what another group told counts, and who it said lives there. */
int64_t gossip_stale(const struct gossip *gossip);
int64_t gossip_members_stale(const struct gossip *gossip);
/* How often others are told who lives in this group. */
int64_t gossip_members_interval(const struct gossip *gossip);
/* gossip_rank(), computed anew. */
uint32_t gossip_rank_find(const struct gossip *gossip);
/* The lowest name of this data centre. */
void gossip_lowest_local(const struct gossip *gossip, bool store_unreachable,
			 bool leaving, struct gossip_candidate *first);
/* What near peers told, added up with this instance's own word. */
void gossip_total_local(const struct gossip *gossip,
			struct gossip_summary *total);
/* Adds the servers that change their role and those out of reach, as this
 * instance knows them; or the former as all near know them, for those
 * elsewhere. */
void gossip_servers_own(const struct gossip *gossip,
			struct gossip_summary *summary);
void gossip_servers_local(const struct gossip *gossip,
			  struct gossip_summary *summary);

/* Of gossip_loads.c. */
/* Takes off what a peer or data centre told. */
void loads_remove(struct gossip *gossip, GArray *applied);
/* The same, and counts loads in its place. */
void loads_replace(struct gossip *gossip, GArray *applied, const GArray *loads);
/* Counts differences besides what was told. */
void loads_apply(struct gossip *gossip, GArray *applied, const GArray *changes);
/* Own loads, struct gossip_load. */
void loads_own(const struct gossip *gossip, GArray *out);
/* The same with those of near peers added. */
void loads_group(const struct gossip *gossip, GArray *out);
/* What changed from before to now. */
void loads_diff(const GArray *before, const GArray *now, GArray *out);

#endif
