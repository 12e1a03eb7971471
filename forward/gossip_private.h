/*
 * gossip_private.h - the peers, for gossip.c and gossip_view.c
 */
#ifndef FORWARD_GOSSIP_PRIVATE_H
#define FORWARD_GOSSIP_PRIVATE_H

#include "common/address.h"
#include "forward/gossip.h"
#include "web/loop.h"

struct peer {
	char address[ADDRESS_TEXT_MAX];
	struct sockaddr_storage to;
	socklen_t to_size;
	char name[BACKEND_TEXT_MAX]; /* empty until heard */
	char data_centre[BACKEND_TEXT_MAX];
	uint64_t boot;
	uint64_t sequence;
	int64_t met;
	int64_t heard; /* -1: never */
	int64_t told;
	uint64_t told_revision; /* of the loads */
	struct gossip_word word;
	GArray *loads; /* struct applied */
};

/* A load that was added to a server, for taking it off again. */
struct applied {
	uint64_t handle;
	struct backend_load load;
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
	GHashTable *peers; /* address to struct peer */
	uint32_t near;	   /* of these, in the same data centre */
	GArray *last;	   /* struct gossip_load, as sent last */
	uint64_t revision; /* of these, rises when they change */
	int64_t changed_at;
	double allowance; /* datagrams that may be sent at once */
	int64_t allowance_at;
	double delay_near; /* mean time from a change to its telling, usec */
	double delay_far;
	struct timer soon; /* a change is told when it runs out */
	uint64_t sequence;
	uint32_t spread; /* which addresses to pass on next */
	struct timer timer;
};

int64_t gossip_now(const struct gossip *gossip);
/* Heard of lately, and not leaving. */
bool gossip_peer_live(const struct gossip *gossip, const struct peer *peer);
/* In the same data centre. */
bool gossip_peer_near(const struct gossip *gossip, const struct peer *peer);

#endif
