/*
 * gossip.h - what instances tell each other of the load they put on servers
 *
 * DESCRIPTION
 *	A data centre of more than 96 instances consists of groups, each of
 *	which does what is said of a data centre here. Loads that change are
 *	told at once to the instance's group and to the server's only, and who
 *	lives in a group with each fourth of its sums.
 *
 *	An instance tells the peers in its data centre, in datagrams, what load
 *	it puts on each backend server. Each instance is told of every other
 *	data centre by two of that one's instances, chosen by rendezvous
 *	hashing: its sums of load, and who lives there. So what an instance
 *	sends and reads is bounded by its own data centre and the number of
 *	data centres, not by all instances.
 *
 *	What is told is whole, so a lost datagram is made good by the next. In
 *	between, a load that changes on a server of engines is told at once, as
 *	a difference, to the peers near and to those of the server's data
 *	centre, as long as an allowance of 450 datagrams a second lasts, and to
 *	all others within one of 150.
 *
 *	Works in the quarantine (coord/quarantine.h) go in datagrams of their
 *	own. Who finds something new tells the peers near and its receivers
 *	elsewhere; who hears it from a peer near tells its own receivers, so
 *	two turns reach all. Lost datagrams, newcomers and healed cuts are made
 *	good by one datagram to one peer each GOSSIP_QUARANTINE_INTERVAL_USEC,
 *in turn, and by one to each peer that starts or speaks again after a silence,
 *at once. While nothing is suspected nothing of this is sent.
 *
 *	What is used of allotments (coord/limit.h) goes with the words: an
 *	instance's own to peers near, its data centre's to its receivers. Where
 *	much was used since, it is told in datagrams of its own, at most one to
 *	each of them every GOSSIP_USAGE_INTERVAL_USEC.
 *
 *	Facts of coord/backpressure.h are part of the periodic messages of
 *	instances and of data centres. The home of a server with a limit is the
 *	live instance of the server's data centre that rendezvous hashing gives,
 *	or of all data centres where none lives there. Other instances ask it
 *	for each permit, one datagram each way; a lost one is a timeout for the
 *	asker. An instance that is not the home by its own view denies.
 *
 *	What a peer or data centre told is dropped GOSSIP_STALE_USEC after its
 *	last word. Nothing waits for a peer. Peers are first learnt from the
 *	store, then from datagrams: from their senders, and from the addresses
 *	that each carries.
 *
 *	With n peers in its data centre an instance sends each of them a word
 *	every GOSSIP_INTERVAL_USEC * max(1, n / 6), a second at the most, and
 *every 300 ms when it reads the store for others: at most 200 datagrams a
 *second with
 *	60. Elsewhere it tells about twice as many instances as there are other
 *	data centres, every 100 to 400 ms.
 */
#ifndef FORWARD_GOSSIP_H
#define FORWARD_GOSSIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"
#include "coord/backpressure.h"
#include "coord/limit.h"
#include "coord/quarantine.h"
#include "forward/fleet.h"
#include "forward/mirror.h"

#define GOSSIP_INTERVAL_USEC (100 * USEC_PER_MSEC)
/* Ten lost datagrams in a row, or five words of an idle peer. */
#define GOSSIP_STALE_USEC (2500 * USEC_PER_MSEC)

/* Two words of an idle peer, and some. */
#define GOSSIP_PARTITIONED_USEC (1200 * USEC_PER_MSEC)

/* With n instances each of them is told so by another one each 0.5 s, so one
 * that was cut off knows all that matters well within the three seconds after
 * which it counts as back. */
#define GOSSIP_QUARANTINE_INTERVAL_USEC (500 * USEC_PER_MSEC)

/* So much of an allotment may be passed unheard of as is used within it: at
 * eight times an allotment that has a burst of one second, 0.8 bursts, of which
 * urgent tellings leave a part. */
#define GOSSIP_USAGE_INTERVAL_USEC (100 * USEC_PER_MSEC)

/* Servers that change their role at the same time; more are ordered only as
 * these are done, one each half second. */
#define GOSSIP_CHANGING_MAX 48

/* Servers told of as out of reach; 500 bytes. */
#define GOSSIP_UNREACHABLE_MAX 48

/* Facts in one message; others follow in the next. */
#define GOSSIP_FACTS_MAX 48

/* Streams whose copies are told of. */
#define GOSSIP_MIRRORS 2

struct loop;
struct gossip;

struct gossip_settings {
	const char *name;
	const char *data_centre;
	const char *address; /* UDP, "IP:port" */
	uint64_t boot;	     /* rises with each start */
};

/* What an instance tells besides loads. */
struct gossip_summary {
	uint64_t version; /* of its catalog */
	double demand;	  /* prompt tokens a second */
	uint32_t waiting; /* requests without decode memory */
	/* What instances saw of the rate at which prefill servers read, tokens
	 * a second added up, and how many saw it. */
	double prefill_rates;
	uint32_t prefill_rate_count;
	bool leaving;
	bool store_unreachable; /* the store does not answer it */
	/* Servers ordered to another role, all of them: runs sent to one
	 * that changes are refused, and their prompts were read in vain. */
	struct backend_change changing[GOSSIP_CHANGING_MAX];
	uint32_t changing_count;
	struct mirror_status mirrors[GOSSIP_MIRRORS];
	/* Servers that could not be reached; of an instance only. Who is
	 * told need not try them all one after the other. */
	struct unreachable_backend unreachable[GOSSIP_UNREACHABLE_MAX];
	uint32_t unreachable_count;
};

/* A request for a permit to send one request to a server with a limit. */
struct permit_request {
	uint64_t id; /* chosen by the asker, returned in the answer */
	struct backpressure_fact fact;
};

struct permit_answer {
	uint64_t id;
	uint64_t server;
	bool granted;
	int64_t retry_usec; /* when to ask again, if not granted */
};

/* Datagrams since the start, and their bytes without headers. */
struct gossip_traffic {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
};

struct gossip_ops {
	/* What this instance has to tell now, but for servers(). */
	void (*summary)(void *ctx, struct gossip_summary *summary);
	/* What a peer told; near: it is in the same data centre. */
	void (*received)(void *ctx, const char *address, bool local,
			 const struct gossip_summary *summary);
	/* Whether this instance reads the store for others, who are to hear of
	 * it more often. */
	bool (*reads)(void *ctx);
	/* A peer told of a work in the quarantine; true when that is news. NULL
	 * where there is no quarantine. */
	bool (*quarantine_received)(void *ctx,
				    const struct quarantine_entry *entry);
	/* The next ones to tell, at most so many; returns how many. */
	uint32_t (*quarantine_next)(void *ctx, struct quarantine_entry *entries,
				    uint32_t most);
	/* What is used of allotments, as limit_export(), that all have
	 * heard of it, as limit_exported(), and what somebody told of it. NULL
	 * where there are none. */
	uint32_t (*usage)(void *ctx, bool sums, struct limit_entry *entries,
			  uint32_t most);
	void (*usage_sent)(void *ctx);
	void (*usage_received)(void *ctx, const struct limit_source *source,
			       const struct limit_entry *entry);
	/* Adds the servers that change their role and those out of reach, which
	 * only words hold that are sent. NULL where none are told. */
	void (*servers)(void *ctx, struct gossip_summary *summary);
	/* Facts as of backpressure_export(), and one that a peer told. NULL
	 * where nothing is told. */
	uint32_t (*facts)(void *ctx, struct backpressure_fact *facts,
			  uint32_t most);
	void (*fact_received)(void *ctx, const struct backpressure_fact *fact);
	/* A peer asks; fills in granted and retry_usec. NULL: no answers. */
	void (*permit_requested)(void *ctx,
				 const struct permit_request *request,
				 struct permit_answer *answer);
	/* The answer to a permit that this instance asked for. */
	void (*permit_answered)(void *ctx, const struct permit_answer *answer);
};

/* NULL with RESULT_IO when the address cannot be bound. */
struct gossip *gossip_create(struct loop *loop, struct fleet *fleet,
			     const struct gossip_settings *settings,
			     const struct gossip_ops *ops, void *ctx,
			     struct error *err);
void gossip_destroy(struct gossip *gossip);
/* A peer may be found there, in that data centre or, with NULL, anywhere; own
 * and known addresses are ignored. */
void gossip_add_peer(struct gossip *gossip, const char *address,
		     const char *data_centre);
/* All that are listed were met: sorts them now, and tells them in the next
 * turn.
 */
void gossip_refresh_peers(struct gossip *gossip);
/* Instances that may share budgets with this one, which counts too: those heard
 * of within the last half minute. */
uint32_t gossip_instances(const struct gossip *gossip);
/* How often peers in the same data centre, or in others, are told of loads that
 * change when the allowance is spent. */
int64_t gossip_interval(const struct gossip *gossip, bool local);
/* This instance's load on a server of engines has changed: peers are told at
 * once as long as its allowance of datagrams lasts, otherwise at the interval.
 */
void gossip_load_changed(struct gossip *gossip);
/* Something new is known of a work: this instance's own finding, so all are
 * told at once. */
void gossip_quarantine_changed(struct gossip *gossip,
			       const struct quarantine_entry *entry);
/* So much of an allotment was used here that others should hear of it soon. */
void gossip_usage_changed(struct gossip *gossip);
/* Whether this instance is the server's home. An instance with may_be false is
 * no candidate. */
bool gossip_is_home(const struct gossip *gossip, uint64_t server,
		    const char *data_centre, bool may_be);
/* Sends ask to the server's home; false when that is this instance. */
bool gossip_request_permit(struct gossip *gossip,
			   const struct permit_request *request,
			   const char *data_centre, bool may_be);
/* How long a change has taken of late until peers near, or elsewhere, were told
 * of it, in microseconds: what they tell is about as old when it is used. */
int64_t gossip_delay(const struct gossip *gossip, bool local);
const struct gossip_traffic *gossip_traffic(const struct gossip *gossip);
/* Whether the data centre is so large that its instances form groups. */
bool gossip_grouped(const struct gossip *gossip);
/* Whether the peer of that address is in this data centre. */
bool gossip_is_local(const struct gossip *gossip, const char *address);
/* Peers heard of lately. */
uint32_t gossip_live_count(const struct gossip *gossip);
/* Whether there are peers in other data centres, and none of them was heard of
 * for GOSSIP_PARTITIONED_USEC: this data centre, or this instance, is cut off.
 */
bool gossip_partitioned(const struct gossip *gossip);
/* Which instance this is among those that may read the store for others: how
 * many live peers of the same data centre come before it, and one more when the
 * first of another live data centre does. Those that the store does not answer
 * come after all others, and each kind is in the order of names. */
uint32_t gossip_rank(const struct gossip *gossip);
/* Where this instance stands among those that may read the store for others. */
void gossip_place(const struct gossip *gossip, struct reader_place *place);
/* Whether this instance has the lowest name of those live, itself included;
 * instances that reach the store come before those that do not, as storeless
 * says of this one. */
bool gossip_is_lowest(const struct gossip *gossip, bool store_unreachable);
/* What peers told, added up, and this instance's own word. */
void gossip_total(const struct gossip *gossip, struct gossip_summary *total);

#endif
