/*
 * gossip_world.h - hundreds of instances that gossip on a paused clock
 *
 * DESCRIPTION
 *	Each data centre has its own event loop, so that one can be paused. Each
 *	instance has a quarantine and a view of one engine server in each data
 *	centre. The site has a store that outlives the instances; the lowest
 *	instance writes quarantine entries to it. Backpressure facts are
 *	exchanged and permits granted as by the real process.
 */
#ifndef TESTS_FORWARD_GOSSIP_WORLD_H
#define TESTS_FORWARD_GOSSIP_WORLD_H

#include <glib.h>

#include "address_unused.h"
#include "coord/quarantine.h"
#include "forward/gossip.h"
#include "web/loop.h"

#define CENTRES 5
#define INSTANCES_MAX 1024
#define STORED_MAX 64

struct instance {
	struct site *site;
	uint32_t centre;
	char name[16];
	char address[ADDRESS_UNUSED_MAX];
	struct fleet *fleet;
	struct quarantine *quarantine;
	struct backpressure *backpressure;
	struct origins *origins;
	struct speeds *speeds; /* without a server that states one, at first */
	uint32_t answers;      /* to queries for the versions of streams */
	uint64_t software;     /* the last version in them */
	int64_t started;
	struct gossip *gossip; /* NULL while it is stopped */
	uint64_t boot;
};

/* Called when the home has granted an instance a permit. */
typedef void (*site_granted_fn)(struct instance *instance, uint64_t server);

/* Called to fill in the summary of an instance, and when it receives one from a
 * peer. */
typedef void (*site_summary_fn)(void *ctx, const struct instance *instance,
				struct gossip_summary *summary);
typedef void (*site_received_fn)(void *ctx, const struct instance *instance,
				 const char *address,
				 const struct gossip_summary *summary);

struct site {
	struct clock *clock;
	site_granted_fn granted;
	site_summary_fn summary;   /* or NULL */
	site_received_fn received; /* or NULL */
	void *ctx;
	struct loop *loops[CENTRES];
	bool paused[CENTRES];
	struct instance instances[INSTANCES_MAX];
	uint32_t count;
	struct quarantine_entry stored[STORED_MAX];
	uint32_t stored_count;
};

extern const char *const centres[CENTRES];

struct site *site_open(uint32_t count);
void site_close(struct site *site);
/* Runs all loops that are not paused for the given time, in steps of 50 ms. */
void site_advance(struct site *site, int64_t msec);
struct instance *instance_add(struct site *site);
void instance_start(struct instance *instance);
void instance_stop(struct instance *instance);
/* Adds all instances as peers. */
void add_all_peers(struct site *site, struct instance *instance);
/* Requests a permit as a request would: true when it is granted at once. */
bool permit(struct instance *instance, uint32_t centre);
/* The instance's view of the engine server of that data centre. */
struct backend *server(struct instance *instance, uint32_t centre);
/* Sets the instance's number of requests at the server of a data centre. */
void load_put(struct instance *instance, uint32_t centre, uint32_t requests);
/* Number of instances that see the given number of requests at the server of a
 * data centre. */
uint32_t seen_by(struct site *site, uint32_t centre, uint32_t requests);
/* Number of instances, without those of paused data centres, for which
 * gossip_is_lowest() holds. */
uint32_t lowest_count(const struct site *site);

#endif
