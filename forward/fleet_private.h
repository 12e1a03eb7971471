/*
 * fleet_private.h - state of a fleet, shared by fleet.c and fleet_reach.c
 */
#ifndef FORWARD_FLEET_PRIVATE_H
#define FORWARD_FLEET_PRIVATE_H

#include "forward/fleet.h"

struct fleet {
	struct clock *clock;
	char *data_centre;
	int64_t heartbeat_usec;
	const struct backpressure *pressure; /* NULL: no backpressure */
	struct table *table;
	GHashTable *keys;	  /* key to struct backend */
	GHashTable *ids;	  /* id to struct backend */
	GHashTable *incarnations; /* id to struct incarnation */
	GHashTable *services;	  /* id to struct service */
	GPtrArray *all;
	GPtrArray *charged;
	GPtrArray *avoided; /* unreachable, or reached since the last prune */
	uint32_t local;	    /* servers in this data centre */
	/* Servers that no connection could be made to since the last one that
	 * could be made to any server. */
	uint32_t lost;
	uint64_t lost_epoch;   /* number of such periods so far */
	int64_t lost_since;    /* time of the first failure; 0: none */
	bool relays;	       /* other instances are available as relays */
	GHashTable *evacuated; /* data centre to struct evacuation */
	GHashTable *regions;   /* data centre to the region's name */
	uint32_t group;
	uint32_t groups;
	int64_t complete_since; /* followed since; INT64_MAX: no list yet */
};

/* The servers of a service. */
struct service {
	uint64_t id;
	GPtrArray *all;
	/* By stage, and by whether the server is in this instance's group. */
	GPtrArray *sets[STAGE_COUNT][2];
	bool sorted;	       /* whether sets is up to date */
	GArray *past_software; /* struct past_software */
};

/* Functions of fleet_software.c. */
/* Records that a server is no longer listed with its software version. */
void service_record_software(const struct fleet *fleet, struct service *service,
			     uint64_t software);
GArray *past_software_create(void);

void backend_log(const char *event, const struct backend *backend);
/* The part of backend_claim_probe() that concerns connections. */
void path_claim_probe(struct backend *backend, int64_t now);

#endif
