/*
 * node.h - the parts of a forwarding process
 */
#ifndef FORWARD_NODE_PRIVATE_H
#define FORWARD_NODE_PRIVATE_H

#include "common/counter.h"
#include "forward/forward.h"
#include "forward/gossip.h"
#include "forward/node.h"
#include "forward/roles.h"
#include "web/server.h"

/* Where instances write their addresses and data centres, each under its name,
 * and what works they hold: who starts reads it whole anyway. */
#define PEER_STREAM "instances"

/* Where an instance serves its copies to others, by enum node_stream. */
#define MIRROR_PATH "/share/"

enum node_stream {
	STREAM_CONFIG,
	STREAM_LIST,
};

/* One stream of the store that instances pass on to each other. */
struct node_mirror {
	struct node *node;
	struct mirror *mirror;
	struct timer fetch_timer;
	struct web_call *fetch;
	char from[BACKEND_TEXT_MAX]; /* who told of a newer copy last */
	/* Since when only other data centres have told of it; 0: not. */
	int64_t remote_since;
};

/* The work that is being written to the store, one at a time. */
struct node_storing {
	struct request_fingerprint fingerprint;
	bool held; /* written, or else dropped */
	bool under_way;
	int64_t again_at; /* when a write that failed is repeated */
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
	int64_t pruned_at;
	struct limits *limits;
	struct node_storing storing;
	int64_t works_read; /* when the store was asked for them last */
	struct forward *forward;
	struct gossip *gossip;
	struct roles *roles;
	struct node_mirror mirrors[GOSSIP_MIRRORS]; /* by enum node_stream */
	struct timer mirrors_timer;
	struct feed *peer_feed;
	bool peers_listed;
	uint32_t peers_lower; /* listed when it started, with lower names */
	struct web_server *callers;
	struct web_server *health;
	struct web_server *peers_server; /* copies and metrics */
	uint64_t boot;
	int64_t served_from; /* begin of the second of served_bytes */
	size_t served_bytes;
	bool registered;
	int64_t registered_at;
	bool draining;
	int64_t hurried; /* when a peer's word had the configuration read */
	int64_t drained_from;
	struct timer drain_timer;
	struct timer file_timer;
	int64_t file_read; /* time of the settings file that was read */
	struct timer register_timer;
	struct counter *malformed;
	GHashTable *refused; /* key to hash of the value refused last */
	int status;
};

#define PROGRAM "jtforward"

/* Peers are heard of within this time of the start. */
#define NODE_DISCOVERY_USEC (1 * USEC_PER_SEC)

/* Whether this instance decides for the site: it has the lowest name of those
 * that live, and has had the time to meet them. */
bool node_decides(const struct node *node);

/* Of node_feeds.c: configuration, list and peers out of the store, and from and
 * to the other instances. */
void node_feeds_start(struct node *node);
void node_feeds_stop(struct node *node);
/* What this instance has to tell of its copies, and what a peer told. */
void node_mirrors_status(const struct node *node,
			 struct gossip_summary *summary);
void node_mirrors_merge(struct node *node, const char *address,
			const struct gossip_summary *summary);
/* Answers a peer's request for a copy: a web_handler_fn. */
void node_mirror_serve(void *ctx, struct web_request *request);
/* Takes this instance out of the store's list of peers. */
void node_unregister(struct node *node);

/* Of node_quarantine.c: works under which servers ended, to and from the other
 * instances and the store. */
struct quarantine *node_quarantine_create(const struct node *node);
void node_quarantine_changed(void *ctx,
			     const struct request_fingerprint *fingerprint);
bool node_quarantine_received(void *ctx, const struct quarantine_entry *entry);
uint32_t node_quarantine_next(void *ctx, struct quarantine_entry *entries,
			      uint32_t most);
/* Takes a record of the store's list of instances if it holds a work. */
bool node_quarantine_read(struct node *node, const struct feed_record *record);
/* Writes what is held and not stored yet, and reads what others wrote, where it
 * is up to this instance. To be called about every 100 ms. */
void node_quarantine_tick(struct node *node);

/* Of node_limits.c: what is used of allotments, to and from the others. */
struct limits *node_limits_create(const struct node *node);
void node_allotment_used(void *ctx);
uint32_t node_usage(void *ctx, bool sums, struct limit_entry *entries,
		    uint32_t most);
void node_usage_sent(void *ctx);
void node_usage_received(void *ctx, const struct limit_source *source,
			 const struct limit_entry *entry);

/* Of node_permits.c: backpressure and permits, from and to the gossip. */
enum permit node_permit(void *ctx, const struct backend *backend, uint64_t id,
			int64_t *retry_usec);
void node_permit_requested(void *ctx, const struct permit_request *ask,
			   struct permit_answer *answer);
void node_permit_answered(void *ctx, const struct permit_answer *answer);
void node_fact_received(void *ctx, const struct backpressure_fact *fact);
uint32_t node_facts(void *ctx, struct backpressure_fact *facts, uint32_t most);
/* Drops expired facts. To be called about every 100 ms. */
void node_permits_tick(struct node *node);

/* Of node_health.c: web_handler_fn of the addresses for health and metrics. */
void node_health(void *ctx, struct web_request *request);
void node_metrics(void *ctx, struct web_request *request);

/* Of node_settings.c. */
struct budget_settings node_budget(const struct forward_settings *settings);
/* Reads the file, the environment and the flags again; settings that are not
 * valid leave those in force. */
void node_settings_reload(struct node *node);
/* Begins to look whether the file has changed, which comes without a signal. */
void node_settings_watch(struct node *node);

/* Of node_drain.c. */
void node_drain(struct node *node);
void node_drain_stop(struct node *node);

#endif
