/*
 * node.h - state of a forwarding process, shared by node*.c
 */
#ifndef FORWARD_NODE_PRIVATE_H
#define FORWARD_NODE_PRIVATE_H

#include "common/counter.h"
#include "forward/forward.h"
#include "forward/gossip.h"
#include "forward/node.h"
#include "forward/relay_peers.h"
#include "forward/relay_server.h"
#include "forward/roles.h"
#include "web/server.h"

/* The stream to which instances write their addresses and data centres, keyed
 * by name, and the quarantine entries. An instance reads it whole at its start
 * in any case. */
#define PEER_STREAM "instances"

/* Path under which an instance serves its mirrors to others, by enum
 * node_stream.
 */
#define MIRROR_PATH "/share/"

enum node_stream {
	STREAM_CONFIG,
	STREAM_LIST,
};

/* The mirror of one stream of the store, which instances fetch from each other.
 */
struct node_mirror {
	struct node *node;
	struct mirror *mirror;
	struct timer fetch_timer;
	struct web_call *fetch;
	char from[BACKEND_TEXT_MAX]; /* peer to fetch from */
	bool whole;		     /* fetch the whole copy, not changes */
	/* Start of newer copies at remote instances only; 0: none. */
	int64_t remote_since;
};

/* The quarantine entry being written to the store, one at a time. */
struct quarantine_write {
	struct request_fingerprint fingerprint;
	bool held; /* the entry is written, otherwise deleted */
	bool in_progress;
	int64_t retry_at; /* of a failed write */
};

struct node {
	struct forward_settings settings;
	const char *file;
	int argc;
	char **argv;
	const struct node_factory *factory;
	struct node_interface interface;
	struct clock *clock;
	struct loop *loop;
	GRand *rand;
	struct counter_set *counters;
	struct web_client *client;
	struct fleet *fleet;
	struct budgets *budgets;
	struct quarantine *quarantine;
	struct backpressure *backpressure;
	struct origins *origins;
	struct speeds *speeds;
	struct node_dispatch *dispatch;
	struct precedence *precedence;
	struct counter *claims_received;
	struct counter *claims_dropped;
	struct counter *claim_datagrams;
	int64_t pruned_at;
	struct limits *limits;
	struct quarantine_write quarantine_write;
	int64_t quarantine_read_at; /* last read of entries from the store */
	struct forward *forward;
	struct gossip *gossip;
	struct roles *roles;
	struct relay_peers *relay_peers;
	struct relay_server *relay_server;
	struct node_mirror mirrors[GOSSIP_MIRRORS]; /* by enum node_stream */
	struct timer mirrors_timer;
	struct feed *peer_feed;
	bool peers_listed;
	uint32_t peers_lower; /* peers with lower names in the first list */
	struct web_server *callers;
	struct web_server *health;
	struct web_server *peers_server; /* mirrors and metrics */
	uint64_t boot;
	int64_t served_since; /* start of the second that served_bytes counts */
	size_t served_bytes;
	uint64_t era; /* of the store, as this instance has written to it */
	bool era_known;
	bool registered;
	int64_t registered_at;
	bool draining;
	int64_t refreshed_at; /* last mirror_refresh() for a summary */
	int64_t drain_started_at;
	struct timer drain_timer;
	uint32_t drain_pending; /* requests when they were ended */
	struct timer file_timer;
	int64_t file_read; /* modification time of the file as read */
	struct timer register_timer;
	struct counter *malformed;
	GHashTable *refused; /* key to hash of the last refused value */
	int status;
};

#define PROGRAM "jtforward"

/* All peers are known within this time after the start. */
#define NODE_DISCOVERY_USEC (1 * USEC_PER_SEC)

/* Whether this instance is the leader of the site: it has the lowest name of
 * the live instances, and has run long enough to know them. */
bool node_decides(const struct node *node);

/* node_feeds.c: configuration, list of backend servers and peers, from the
 * store and exchanged with other instances. */
void node_feeds_start(struct node *node);
void node_feeds_stop(struct node *node);
/* Fill in the mirrors' status in a summary, and merge that of a peer. */
void node_mirrors_status(const struct node *node,
			 struct gossip_summary *summary);
void node_mirrors_merge(struct node *node, const char *address,
			const struct gossip_summary *summary);
/* Answers a peer's request for a mirror: a web_handler_fn. */
void node_mirror_serve(void *ctx, struct web_request *request);
/* Removes this instance from the store's list of peers. */
void node_unregister(struct node *node);

/* node_quarantine.c: quarantine entries, to and from other instances and the
 * store. */
struct quarantine *node_quarantine_create(const struct node *node);
void node_quarantine_changed(void *ctx,
			     const struct request_fingerprint *fingerprint);
bool node_quarantine_received(void *ctx, const struct quarantine_entry *entry);
uint32_t node_quarantine_next(void *ctx, struct quarantine_entry *entries,
			      uint32_t max);
/* Merges a record of PEER_STREAM that is a quarantine entry; false for others.
 */
bool node_quarantine_read(struct node *node, const struct feed_record *record);
/* On the leader, writes entries not yet stored. On one instance of a
 * partitioned data centre, reads those of others. Called about every 100 ms. */
void node_quarantine_tick(struct node *node);

/* node_limits.c: usage of allotments, to and from other instances. */
struct limits *node_limits_create(const struct node *node);
void node_allotment_used(void *ctx);
uint32_t node_usage(void *ctx, bool sums, struct limit_entry *entries,
		    uint32_t max);
void node_usage_sent(void *ctx);
void node_usage_received(void *ctx, const struct limit_source *source,
			 const struct limit_entry *entry);

/* node_permits.c: backpressure and permits, to and from other instances. */
enum permit node_permit(void *ctx, const struct backend *backend, uint64_t id,
			int64_t *retry_usec);
void node_permit_requested(void *ctx, const struct permit_request *request,
			   struct permit_answer *answer);
void node_permit_answered(void *ctx, const struct permit_answer *answer);
void node_fact_received(void *ctx, const struct backpressure_fact *fact);
uint32_t node_facts(void *ctx, struct backpressure_fact *facts, uint32_t max);
/* Drops expired facts. Called about every 100 ms. */
void node_permits_tick(struct node *node);

/* node_speeds.c: speeds of servers, to and from other instances. */
struct speeds *node_speeds_create(struct node *node);
uint32_t node_speeds(void *ctx, bool group, struct speed_entry *entries,
		     uint32_t max);
uint32_t node_speeds_next(void *ctx, uint64_t *cursor,
			  struct speed_entry *entries, uint32_t max);
void node_speed_received(void *ctx, const struct speed_entry *entry);
void node_speeds_count(const struct node *node);

/* node_origins.c: versions that began streams, to and from other instances. */
void node_origin_began(void *ctx, uint64_t stream, uint64_t software);
uint32_t node_origin_ask(void *ctx, const struct origin_query *query);
void node_origin_received(void *ctx, const struct gossip_origin *origin);
void node_origin_queried(void *ctx, const struct origin_query *query,
			 struct origin_answer *answer);
void node_origin_answered(void *ctx, const struct origin_query *query,
			  const struct origin_answer *answer);

/* node_dispatch.c: plain calls that wait for a server, here or at another
 * instance. */
void node_dispatch_open(struct node *node);
void node_dispatch_close(struct node *node);
bool node_call_request(void *ctx, const struct call_request *request,
		       uint64_t *dispatcher);
void node_call_done(void *ctx, uint64_t dispatcher,
		    const struct call_done *done);
void node_call_requested(void *ctx, uint64_t from,
			 const struct call_request *request,
			 struct call_answer *answer);
void node_call_answered(void *ctx, uint64_t from,
			const struct call_answer *answer);
void node_call_ended(void *ctx, uint64_t from, const struct call_done *done);
/* node_claims.c: claims of decode memory, to and from other instances, and the
 * numbers of waiting requests by rank. */
void node_claims_open(struct node *node);
void node_room_claim(void *ctx, const struct room_claim *claim);
void node_claim_received(void *ctx, uint64_t from,
			 const struct room_claim *claim);
uint32_t node_waiting_ranked(void *ctx, uint32_t rank);
void node_ranks_received(struct node *node,
			 const struct gossip_summary *summary);

/* node_relays.c: instances that connect to servers for each other. */
bool node_relay_choose(void *ctx, const struct backend_info *to,
		       char relay[ADDRESS_TEXT_MAX]);
void node_relay_result(void *ctx, const char *relay, uint64_t server,
		       enum relay_failure failure);
/* Updates whether relays are available. Called about every 100 ms. */
void node_relays_tick(struct node *node);

/* node_health.c: web_handler_fn for health checks and metrics. */
void node_health(void *ctx, struct web_request *request);
void node_metrics(void *ctx, struct web_request *request);

/* node_where.c: a web_handler_fn for WHERE_PATH. */
#define WHERE_PATH "/where"
void node_where(void *ctx, struct web_request *request);

/* node_settings.c */
struct budget_settings node_budget(const struct forward_settings *settings);
/* Reads the file, the environment and the flags again; keeps the settings in
 * force if a new one is invalid. */
void node_settings_reload(struct node *node);
/* Starts polling the file for changes, as not every change comes with SIGHUP.
 */
void node_settings_watch(struct node *node);

/* node_drain.c */
void node_drain(struct node *node);
void node_drain_stop(struct node *node);

#endif
