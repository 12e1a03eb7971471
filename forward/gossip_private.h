/*
 * gossip_private.h - peers and groups, shared by the files of gossip
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
	char name[BACKEND_TEXT_MAX];  /* empty until received */
	char group[GOSSIP_GROUP_MAX]; /* empty until known */
	uint64_t boot;
	uint64_t sequence;
	int64_t added_at;
	int64_t last_seen; /* or GOSSIP_NEVER */
	int64_t sent_at;   /* or GOSSIP_NEVER */
	int64_t addresses_sent_at;
	uint64_t sent_revision; /* of the loads that were sent last */
	int64_t started_at;	/* or back after a silence */
	uint64_t speeds_cursor; /* of the speeds sent to it since then */
	bool leaving;
	/* The last one of a local peer, or NULL. */
	struct gossip_summary *summary;
	GArray *loads; /* of a local peer, struct applied_load */
};

/* Another group of instances: a whole data centre or a part of a large one. The
 * last summary of any of its instances counts. */
struct group_state {
	char name[GOSSIP_GROUP_MAX];
	int64_t last_seen;
	bool left; /* no instance is left */
	struct gossip_summary total;
	struct gossip_candidate lowest;
	GArray *loads;	  /* struct applied_load */
	GPtrArray *peers; /* struct peer, the live ones */
};

/* A load that was added to a server, kept for its removal. */
struct applied_load {
	uint64_t handle;
	struct load_sum load;
};

/* Limits datagrams that are sent outside the regular interval. */
struct token_bucket {
	double per_sec;
	double burst;
	double tokens;
	int64_t updated_at;
};

/* Speeds of servers that each summary carries until all peers have received
 * one. */
struct speed_batch {
	struct speed_entry entries[SPEED_ENTRIES_MAX];
	uint32_t count;
	int64_t made_at;
	struct token_bucket bytes;
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
	uint64_t key;		  /* id_of(settings.address) */
	GHashTable *peers;	  /* address to struct peer */
	GHashTable *other_groups; /* name to struct group_state */
	char group[GOSSIP_GROUP_MAX];
	uint32_t group_count;	   /* in this data centre */
	int64_t updated_at;	   /* last run of peers_update() */
	uint32_t live;		   /* live peers, at updated_at */
	uint32_t live_group_count; /* live other groups, at updated_at */
	uint32_t rank;		   /* gossip_rank(), at updated_at */
	bool store_unreachable;	   /* as in the last own summary */
	GPtrArray *local;	   /* struct peer of the same group */
	GPtrArray *remote;	   /* struct peer of other groups */
	GPtrArray *receivers;	   /* the remote peers that this one sends to */
	uint64_t receivers_sum;	   /* keys_sum() when receivers were chosen */
	GArray *sent_loads;	   /* struct gossip_load, as sent last */
	uint64_t revision;	   /* of sent_loads, rises with each change */
	uint64_t group_revision;   /* of the loads of the group */
	int64_t changed_at;
	/* For load changes: to local peers and the server's data centre, and to
	 * other data centres. */
	struct token_bucket changes_bucket;
	struct token_bucket changes_bucket_remote;
	struct speed_batch speeds;	 /* to the local peers */
	struct speed_batch speeds_group; /* to the receivers */
	struct gossip_traffic traffic;
	double delay_local; /* mean time from a change to its sending, usec */
	double delay_remote;
	struct timer changes_timer; /* sends load changes */
	GArray *findings_own;	/* struct quarantine_entry, of this instance */
	GArray *findings_local; /* received from local peers */
	struct timer findings_timer;
	struct timer rotation_timer;
	uint32_t next_peer; /* for rotation over the live peers */
	struct timer usage_timer;
	int64_t usage_sent; /* last datagram with usage alone */
	uint64_t sequence;
	uint32_t next_address; /* for rotation over the peers' addresses */
	struct timer timer;
};

#define GOSSIP_NEVER INT64_MIN

int64_t gossip_now(const struct gossip *gossip);

/* Functions of gossip_peers.c. */
struct peer *peer_add(struct gossip *gossip, const char *address);
void peer_free(gpointer data);
void group_state_free(gpointer data);
struct group_state *group_state_get(struct gossip *gossip, const char *name);
/* Records the group of a peer, and that the peer was seen now. */
void peer_seen(struct gossip *gossip, struct peer *peer, const char *group);
/* Seen within the staleness bound, and not leaving. */
bool peer_live(const struct gossip *gossip, const struct peer *peer);
/* In the same group; false when its group is unknown. */
bool peer_is_local(const struct gossip *gossip, const struct peer *peer);
bool group_state_live(const struct gossip *gossip,
		      const struct group_state *group);
/* Last summary of a local peer; all zero without one. */
const struct gossip_summary *peer_summary(const struct peer *peer);
/* Drops expired state and sorts peers into local, remote and receivers. With
 * many peers it runs less often than it is called. */
void peers_update(struct gossip *gossip);

/* Functions of gossip_groups.c. */
/* Number of groups for the given number of instances of a data centre. groups
 * is the current number, for hysteresis. */
uint32_t groups_for(uint32_t groups, uint32_t instances);
/* Writes the name of the group of an instance or a server with that key. */
void group_print(char group[GOSSIP_GROUP_MAX], const char *data_centre,
		 uint32_t count, uint64_t key);
/* Whether the group belongs to that data centre; whether it is a whole one. */
bool group_within(const char *group, const char *data_centre);
bool group_is_whole(const char *group);
/* Whether both groups belong to the same data centre. */
bool group_same_data_centre(const char *group, const char *other);
/* Whether the server with that key belongs to the group. */
bool group_serves(const char *group, const char *data_centre, uint64_t key);
/* Adjusts the number of groups to the number of instances. */
void groups_update(struct gossip *gossip);

/* Functions of gossip_receive.c. */
/* Handles a message received from that address. */
void gossip_receive(struct gossip *gossip, const char *from,
		    const struct gossip_message *message);

/* Functions of gossip_send.c. */
/* Sends summaries to all peers that are due. */
void gossip_send_due(struct gossip *gossip);
/* Sends load changes, as far as the token buckets allow. */
void gossip_send_changes(struct gossip *gossip);

void peer_send(struct gossip *gossip, const struct peer *peer,
	       const GByteArray *out);
/* Sends to the live peers in the array. */
void peers_send(struct gossip *gossip, const GPtrArray *peers,
		const GByteArray *out);
void message_begin(struct gossip *gossip, struct gossip_message *message,
		   enum gossip_kind kind);

/* Functions of gossip_quarantine.c. */
void gossip_quarantine_start(struct gossip *gossip);
void gossip_quarantine_stop(struct gossip *gossip);
/* Sends entries to a peer that has started or was silent. */
void gossip_quarantine_send(struct gossip *gossip, const struct peer *peer);
/* Merges entries from a peer. */
void gossip_quarantine_receive(struct gossip *gossip, bool local,
			       const GArray *entries);

/* Functions of gossip_usage.c. */
void gossip_usage_start(struct gossip *gossip);
void gossip_usage_stop(struct gossip *gossip);
/* Adds the usage of allotments of this instance or, with sums, of the data
 * centre. */
void gossip_usage_add(struct gossip *gossip, bool sums, GArray *usage);
/* Merges the usage received from a peer. */
void gossip_usage_receive(struct gossip *gossip, const struct peer *peer,
			  const GArray *usage);

/* Functions of gossip_permits.c. */
/* Adds the backpressure facts of servers. */
void gossip_facts_add(struct gossip *gossip, GArray *facts);
/* Merges the facts received from a peer. */
void gossip_facts_receive(struct gossip *gossip, const GArray *facts);
/* Answers a permit request, or delivers the answer to one. */
void gossip_permit_receive(struct gossip *gossip, const struct peer *peer,
			   const struct gossip_message *message);

/* Functions of gossip_speeds.c. */
void gossip_speeds_start(struct gossip *gossip);
/* Adds the current batch of speeds, local or of the group. */
void gossip_speeds_add(struct gossip *gossip, bool group, GArray *speeds);
/* Adds the next speeds for a local peer that has started; false when there are
 * none. */
bool gossip_speeds_add_next(struct gossip *gossip, struct peer *peer,
			    GArray *speeds);
/* Accounts for the batch in that many datagrams. */
void gossip_speeds_sent(struct gossip *gossip, bool group, uint64_t datagrams);
/* Merges the speeds received from a peer. */
void gossip_speeds_receive(struct gossip *gossip, bool local,
			   const GArray *speeds);

/* Encodes the message, sends it to the peer and clears it. */
void message_send(struct gossip *gossip, struct gossip_message *message,
		  const struct peer *peer);

/* Functions of gossip_calls.c. */
/* Handles a call's request, answer or end. */
void gossip_call_receive(struct gossip *gossip, const struct peer *peer,
			 const struct gossip_message *message);

/* Functions of gossip_origins.c. */
/* Handles a record, a query or an answer. */
void gossip_origin_receive(struct gossip *gossip, const struct peer *peer,
			   const struct gossip_message *message);

/* Functions of gossip_claims.c. */
/* Handles a claim of a peer. */
void gossip_claim_receive(struct gossip *gossip, const struct peer *peer,
			  const struct room_claim *claim);

/* Functions of gossip_view.c. */
/* Time after which the summary of another group expires, and the addresses of
 * its instances. */
int64_t gossip_stale(const struct gossip *gossip);
int64_t gossip_members_stale(const struct gossip *gossip);
/* Interval at which other groups receive the addresses of this one. */
int64_t gossip_members_interval(const struct gossip *gossip);
/* Computes gossip_rank(). */
uint32_t gossip_rank_find(const struct gossip *gossip);
/* The first instance of this group, in the order of gossip_rank(). */
void gossip_lowest_local(const struct gossip *gossip, bool store_unreachable,
			 bool leaving, struct gossip_candidate *first);
/* Sum of the summaries of this instance and its local peers. */
void gossip_total_local(const struct gossip *gossip,
			struct gossip_summary *total);
/* Adds the servers that change their role and the unreachable ones, as this
 * instance knows them. The second, for remote peers, adds only those that
 * change, as known to all local instances. */
void gossip_servers_own(const struct gossip *gossip,
			struct gossip_summary *summary);
void gossip_servers_local(const struct gossip *gossip,
			  struct gossip_summary *summary);

/* gossip_loads.c */
/* Removes the loads of a peer or group from the servers. */
void loads_remove(struct gossip *gossip, GArray *applied);
/* The same, then adds new loads in their place. */
void loads_replace(struct gossip *gossip, GArray *applied, const GArray *loads);
/* Adds load changes to those applied already. */
void loads_apply(struct gossip *gossip, GArray *applied, const GArray *changes);
/* Loads of this instance, struct gossip_load. */
void loads_own(const struct gossip *gossip, GArray *out);
/* Loads of this instance and its local peers. */
void loads_group(const struct gossip *gossip, GArray *out);
/* Differences from before to now. */
void loads_diff(const GArray *before, const GArray *now, GArray *out);

#endif
