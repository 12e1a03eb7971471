/*
 * gossip.h - exchange of load and state between instances, over UDP
 *
 * DESCRIPTION
 *	An instance sends each peer of its data centre a summary with the load
 *	that it puts on each backend server. Each instance receives the summary
 *	of every other data centre, which holds its total load and the addresses
 *	of its instances, from two instances of that data centre. Rendezvous
 *	hashing chooses the two. So what an instance sends and receives is
 *	bounded by its own data centre and the number of data centres, not by
 *	the number of all instances.
 *
 *	A data centre of more than 96 instances is divided into groups. Each of
 *	them does what is described here for a data centre, with two
 *	differences: load changes are sent at once only within the instance's
 *	group and to the group of the server, and the addresses of the instances
 *	are part of every fourth summary of a group.
 *
 *	A summary holds the full state, so the next one makes up for a lost
 *	datagram. A load that changes on an engine server is also sent at once,
 *	as a difference, to the local peers and to those of the server's data
 *	centre, at up to 450 datagrams a second, and to all others at up to 150
 *	a second.
 *
 *	Entries of the quarantine (coord/quarantine.h) have datagrams of their
 *	own. An instance sends a new finding to its local peers and its remote
 *	receivers. An instance that receives it from a local peer forwards it to
 *	its own receivers, so two hops reach all. For anti-entropy each instance
 *	also sends one datagram to one peer, in rotation, every
 *	GOSSIP_QUARANTINE_INTERVAL_USEC, and one at once to each peer that
 *	starts or is back after a silence. That makes up for lost datagrams, new
 *	instances and healed partitions. An empty quarantine sends nothing.
 *
 *	Usage of allotments (coord/limit.h) is part of the summaries: an
 *	instance sends its own usage to local peers and the total of its data
 *	centre to its receivers. After heavy use it is sent in separate
 *	datagrams, at most one to each peer every GOSSIP_USAGE_INTERVAL_USEC.
 *
 *	Facts of coord/backpressure.h are part of the summaries of instances and
 *	of data centres. The home of a server with a limit is the live instance
 *	of the server's data centre that rendezvous hashing gives, or of all
 *	data centres when none is live there. Other instances request each
 *	permit from it, one datagram each way; a lost one is a timeout for the
 *	requester. An instance that is not the home by its own view denies.
 *
 *	The homes of a stream (forward/origins.h) are the live instances that
 *	rendezvous hashing gives for this data centre and for the site, up to
 *	three each. A record is sent to them in one datagram each, and so is a
 *	query; each answers for itself. Nothing is repeated here.
 *
 *	Speeds of servers (sched/speed.h) are part of the summaries while
 *	servers state them, within GOSSIP_SPEED_BYTES_PER_SEC. A peer that
 *	starts is sent all that are known.
 *	The dispatcher of a plain service (sched/dispatch.h) is a live instance
 *	of any data centre. A plain call asks it for a server in one datagram,
 *	is answered in one, or in two if it had to queue, and its end is sent
 *	to the dispatcher twice.
 *	Claims of decode memory (sched/precedence.h) are sent to all live
 *	instances, one datagram each, at most PRECEDENCE_SENDS_MAX claims a
 *	second. They match by instance, request and server, so their order
 *	does not matter; a lost one is made up for by the next renewal, and a
 *	lost withdrawal by the expiry of the claim.
 *
 *	State of a peer or data centre expires GOSSIP_STALE_USEC after its last
 *	summary. Nothing waits for a peer. Peers are first read from the store,
 *	then learnt from the senders of datagrams and from the addresses in
 *	them.
 *
 *	With n peers in its data centre an instance sends each of them a summary
 *	every GOSSIP_INTERVAL_USEC * max(1, n / 6), at most one second, and at
 *	most 300 ms when it reads the store for others: up to 200 datagrams a
 *	second with 60 peers. It also sends to about twice as many remote
 *	instances as there are other data centres, every 100 to 400 ms.
 */
#ifndef FORWARD_GOSSIP_H
#define FORWARD_GOSSIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"
#include "common/clock.h"
#include "common/error.h"
#include "coord/backpressure.h"
#include "coord/limit.h"
#include "coord/quarantine.h"
#include "forward/calls.h"
#include "forward/fleet.h"
#include "forward/mirror.h"
#include "forward/origins.h"
#include "sched/precedence.h"
#include "sched/speed.h"

#define GOSSIP_INTERVAL_USEC (100 * USEC_PER_MSEC)
/* Covers ten lost datagrams in a row, or five summaries of an idle peer. */
#define GOSSIP_STALE_USEC (2500 * USEC_PER_MSEC)

/* Longer than two intervals between the summaries of an idle peer. */
#define GOSSIP_PARTITIONED_USEC (1200 * USEC_PER_MSEC)

/* Whatever the number of instances, each receives such a datagram every 0.5 s
 * on average. So one that was partitioned has all relevant entries well within
 * the three seconds after which it counts as recovered. */
#define GOSSIP_QUARANTINE_INTERVAL_USEC (500 * USEC_PER_MSEC)

/* Peers do not know of the usage within this time, which may exceed an
 * allotment by 0.8 bursts, at a demand of eight times an allotment with a burst
 * of one second. Urgent updates reduce the excess to a part of that. */
#define GOSSIP_USAGE_INTERVAL_USEC (100 * USEC_PER_MSEC)

/* Servers that change their role at the same time. Further changes are ordered
 * as these complete, one every 0.5 s. */
#define GOSSIP_CHANGING_MAX 48

/* Unreachable servers in a summary; 500 bytes. */
#define GOSSIP_UNREACHABLE_MAX 48

/* Facts in one message; the next message holds further ones. */
#define GOSSIP_FACTS_MAX 48

/* Bytes a second that an instance spends on the speeds of servers, over all of
 * its datagrams, and the share for other data centres if there are any.
 * Instances have 10 Mbit/s at least; 1,000 bytes a second is what the exchange
 * may take, bursts included. */
#define GOSSIP_SPEED_BYTES_PER_SEC 900.0
#define GOSSIP_SPEED_REMOTE_SHARE 0.35

/* Mirrored streams whose status is part of a summary. */
#define GOSSIP_MIRRORS 2

struct loop;
struct gossip;

struct gossip_settings {
	const char *name;
	const char *data_centre;
	const char *address; /* UDP, "IP:port" */
	uint64_t boot;	     /* rises with each start */
};

/* State that an instance, or a data centre as a total, announces besides its
 * loads. */
struct gossip_summary {
	uint64_t version; /* of its catalog */
	double demand;	  /* prompt tokens a second */
	uint32_t waiting; /* requests without decode memory */
	/* The same by rank, where streams are ranked. In a total, waiting
	 * requests of instances that state no ranks count as rank 0: they yield
	 * to none. */
	bool ranked;
	uint32_t waiting_ranked[PRECEDENCE_RANKS];
	/* Prompt tokens a second that prefill servers process: the sum over the
	 * instances that measured a rate, and the number of these instances. */
	double prefill_rates;
	uint32_t prefill_rate_count;
	bool leaving;
	bool store_unreachable; /* the store does not answer this instance */
	bool links_lost;	/* fleet_links_lost(), of an instance only */
	/* All servers ordered to another role. A server that changes its role
	 * refuses requests, so their prefill would be wasted. */
	struct backend_change changing[GOSSIP_CHANGING_MAX];
	uint32_t changing_count;
	struct mirror_status mirrors[GOSSIP_MIRRORS];
	/* Unreachable servers, in summaries of an instance only. They save the
	 * receiver a connection attempt to each of them. */
	struct unreachable_backend unreachable[GOSSIP_UNREACHABLE_MAX];
	uint32_t unreachable_count;
};

/* A request for a permit to send one request to a server with a limit. */
struct permit_request {
	uint64_t id; /* chosen by the requester, returned in the answer */
	struct backpressure_fact fact;
};

struct permit_answer {
	uint64_t id;
	uint64_t server;
	bool granted;
	int64_t retry_usec; /* delay before a retry, if not granted */
};

/* Datagrams since the start, and their bytes without headers. */
struct gossip_traffic {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
};

/* The software version that began a stream. */
struct gossip_origin {
	uint64_t stream;
	uint64_t software;
};

struct gossip_ops {
	/* Fills in this instance's state, except for what servers() adds. */
	void (*summary)(void *ctx, struct gossip_summary *summary);
	/* A peer sent a summary; local: it is in the same data centre. */
	void (*received)(void *ctx, const char *address, bool local,
			 const struct gossip_summary *summary);
	/* Whether this instance reads the store for others. It then sends
	 * summaries more often. */
	bool (*reads)(void *ctx);
	/* A peer sent a quarantine entry; true when it changes the local state.
	 * NULL without a quarantine. */
	bool (*quarantine_received)(void *ctx,
				    const struct quarantine_entry *entry);
	/* Copies the next entries to send, up to the given maximum; returns
	 * their number. */
	uint32_t (*quarantine_next)(void *ctx, struct quarantine_entry *entries,
				    uint32_t max);
	/* Usage of allotments: to send, as limit_export(); sent to all, as
	 * limit_exported(); and received from a peer. NULL without allotments.
	 */
	uint32_t (*usage)(void *ctx, bool sums, struct limit_entry *entries,
			  uint32_t max);
	void (*usage_sent)(void *ctx);
	void (*usage_received)(void *ctx, const struct limit_source *source,
			       const struct limit_entry *entry);
	/* Adds the servers that change their role and the unreachable ones.
	 * Called only for summaries that are sent. NULL: none. */
	void (*servers)(void *ctx, struct gossip_summary *summary);
	/* Facts to send, as backpressure_export(), and a fact received from a
	 * peer. NULL: none. */
	uint32_t (*facts)(void *ctx, struct backpressure_fact *facts,
			  uint32_t max);
	void (*fact_received)(void *ctx, const struct backpressure_fact *fact);
	/* Speeds of servers to send, as speeds_export() or, with group,
	 * speeds_export_group(); the next ones for a peer that has started, as
	 * speeds_export_next(); and one received from a peer. NULL: none. */
	uint32_t (*speeds)(void *ctx, bool group, struct speed_entry *entries,
			   uint32_t max);
	uint32_t (*speeds_next)(void *ctx, uint64_t *cursor,
				struct speed_entry *entries, uint32_t max);
	void (*speed_received)(void *ctx, const struct speed_entry *entry);
	/* A peer requests a permit; fills in granted and retry_usec. NULL:
	 * requests are not answered. */
	void (*permit_requested)(void *ctx,
				 const struct permit_request *request,
				 struct permit_answer *answer);
	/* The answer to a permit request of this instance. */
	void (*permit_answered)(void *ctx, const struct permit_answer *answer);
	/* A peer has begun a stream of which this instance is a home, asks for
	 * one, or answers a query of this instance. NULL: none. */
	void (*origin_received)(void *ctx, const struct gossip_origin *origin);
	void (*origin_queried)(void *ctx, const struct origin_query *query,
			       struct origin_answer *answer);
	void (*origin_answered)(void *ctx, const struct origin_query *query,
				const struct origin_answer *answer);
	/* A peer, which from identifies, asks for a server for a plain call;
	 * fills in the answer. NULL: calls are not answered. */
	void (*call_requested)(void *ctx, uint64_t from,
			       const struct call_request *request,
			       struct call_answer *answer);
	/* The answer to a call of this instance. */
	void (*call_answered)(void *ctx, uint64_t from,
			      const struct call_answer *answer);
	/* A call of a peer has ended. */
	void (*call_ended)(void *ctx, uint64_t from,
			   const struct call_done *done);
	/* A peer, given by the hash of its address, has claimed room at a
	 * server. NULL: claims are ignored. */
	void (*claim_received)(void *ctx, uint64_t from,
			       const struct room_claim *claim);
};

/* NULL with RESULT_IO when the address cannot be bound. */
struct gossip *gossip_create(struct loop *loop, struct fleet *fleet,
			     const struct gossip_settings *settings,
			     const struct gossip_ops *ops, void *ctx,
			     struct error *err);
void gossip_destroy(struct gossip *gossip);
/* Adds a possible peer, in the given data centre or, with NULL, in an unknown
 * one. The own address and known ones are ignored. */
void gossip_add_peer(struct gossip *gossip, const char *address,
		     const char *data_centre);
/* Recomputes groups, receivers and rank at once, after all listed instances
 * were added. The peers are sent a summary at the next interval. */
void gossip_refresh_peers(struct gossip *gossip);
/* Instances that may share budgets with this one, itself included: those seen
 * within the last 30 s. */
uint32_t gossip_instances(const struct gossip *gossip);
/* Interval, in microseconds, at which local or remote peers receive load
 * changes once the token buckets are empty. */
int64_t gossip_interval(const struct gossip *gossip, bool local);
/* This instance's load on an engine server has changed. Peers are notified at
 * once while the token buckets hold tokens, otherwise at the interval. */
void gossip_load_changed(struct gossip *gossip);
/* This instance has changed a quarantine entry by a finding of its own. The
 * entry is sent at once to the local peers and the remote receivers. */
void gossip_quarantine_changed(struct gossip *gossip,
			       const struct quarantine_entry *entry);
/* To be called when limit_urgent() is true: sends usage in separate datagrams,
 * within GOSSIP_USAGE_INTERVAL_USEC, instead of with the next summary. */
void gossip_usage_changed(struct gossip *gossip);
/* Whether this instance is the server's home. With eligible false it is not
 * considered as one. */
bool gossip_is_home(const struct gossip *gossip, uint64_t server,
		    const char *data_centre, bool eligible);
/* Sends the request to the server's home; false when this instance is the home.
 */
bool gossip_request_permit(struct gossip *gossip,
			   const struct permit_request *request,
			   const char *data_centre, bool eligible);
/* Sends the record to the homes of the stream, one datagram each. */
void gossip_origin_send(struct gossip *gossip,
			const struct gossip_origin *origin);
/* Asks the homes of the stream; returns how many were asked. */
uint32_t gossip_origin_ask(struct gossip *gossip,
			   const struct origin_query *query);
/* The dispatcher of a plain service: the live instance of all data centres that
 * rendezvous hashing gives. Returns its key, 0 for this instance. With eligible
 * false this instance is not considered; it is returned when it is alone. */
uint64_t gossip_dispatcher(const struct gossip *gossip, uint64_t service,
			   bool eligible);
/* Send to a peer by its key; false when it is not known any more. */
bool gossip_call_request(struct gossip *gossip, uint64_t peer,
			 const struct call_request *request);
bool gossip_call_answer(struct gossip *gossip, uint64_t peer,
			const struct call_answer *answer);
bool gossip_call_done(struct gossip *gossip, uint64_t peer,
		      const struct call_done *done);
/* Sends the claim to all live instances; returns their number. */
uint32_t gossip_claim_send(struct gossip *gossip,
			   const struct room_claim *claim);
/* Recent mean delay, in microseconds, until a load change was sent to local or
 * remote peers. Received loads are about as old. */
int64_t gossip_delay(const struct gossip *gossip, bool local);
/* Chooses an instance at random that may connect to servers of the data centre
 * on behalf of this one: a live one there, or else in this data centre, or else
 * any; and one that has lost links itself only when there is no other. usable
 * filters by address. False when there is none. */
bool gossip_choose_relay(const struct gossip *gossip, const char *data_centre,
			 bool (*usable)(void *ctx, const char *address),
			 void *ctx, GRand *rand,
			 char address[ADDRESS_TEXT_MAX]);
const struct gossip_traffic *gossip_traffic(const struct gossip *gossip);
/* Whether the data centre is divided into groups. */
bool gossip_grouped(const struct gossip *gossip);
/* Whether the peer of that address is in this data centre. */
bool gossip_is_local(const struct gossip *gossip, const char *address);
/* Number of live peers. */
uint32_t gossip_live_count(const struct gossip *gossip);
/* Whether this data centre, or this instance, is partitioned: other data
 * centres are known, but no summary of theirs was received for
 * GOSSIP_PARTITIONED_USEC or three intervals, whichever is longer. */
bool gossip_partitioned(const struct gossip *gossip);
/* Rank of this instance among those that may read the store for others: the
 * number of live peers of its data centre that precede it, plus one when the
 * first instance of another live data centre precedes the first of its own.
 * Instances that reach the store precede those that do not; within each kind
 * the order is by name. */
uint32_t gossip_rank(const struct gossip *gossip);
/* Fills in the rank and the counts that decide when this instance reads the
 * store. */
void gossip_place(const struct gossip *gossip, struct reader_place *place);
/* Whether this instance precedes all live ones in the order of gossip_rank().
 * store_unreachable: whether this instance does not reach the store. */
bool gossip_is_lowest(const struct gossip *gossip, bool store_unreachable);
/* Sum of this instance's summary and those of all live peers and groups. */
void gossip_total(const struct gossip *gossip, struct gossip_summary *total);

#endif
