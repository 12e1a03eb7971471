/*
 * gossip_world.h - hundreds of instances that tell each other, on a paused
 *clock
 *
 * DESCRIPTION
 *	Each data centre has a loop of its own, so that one of them can stand
 *	still. Each instance sees one server of engines in each data centre, and
 *	has a quarantine; what that holds is kept by a store that outlives the
 *	instances, written by the one that decides. What servers ask for is
 *	told, and permits are granted as by the real process.
 */
#ifndef TESTS_FORWARD_GOSSIP_WORLD_H
#define TESTS_FORWARD_GOSSIP_WORLD_H

#include <glib.h>

#include "address_free.h"
#include "coord/quarantine.h"
#include "forward/gossip.h"
#include "web/loop.h"

#define CENTRES 5
#define MOST 1024
#define STORED_MAX 64

struct instance {
	struct site *site;
	uint32_t centre;
	char name[16];
	char address[ADDRESS_FREE_MAX];
	struct fleet *fleet;
	struct quarantine *quarantine;
	struct backpressure *backpressure;
	int64_t started;
	struct gossip *gossip; /* NULL while it is stopped */
	uint64_t boot;
};

/* Called when an instance was granted a permit by its home. */
typedef void (*site_granted_fn)(struct instance *instance, uint64_t server);

/* Called for what an instance tells, and for what it hears of a peer. */
typedef void (*site_summary_fn)(void *story, const struct instance *instance,
				struct gossip_summary *summary);
typedef void (*site_received_fn)(void *story, const struct instance *instance,
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
	struct instance instances[MOST];
	uint32_t count;
	struct quarantine_entry stored[STORED_MAX];
	uint32_t stored_count;
};

extern const char *const centres[CENTRES];

struct site *site_open(uint32_t count);
void site_close(struct site *site);
/* Time goes on, 50 ms a turn. */
void turn(struct site *site, int64_t msec);
struct instance *instance_add(struct site *site);
void instance_start(struct instance *instance);
void instance_stop(struct instance *instance);
/* Tells it the addresses of all. */
void add_all_peers(struct site *site, struct instance *instance);
/* Asks for a permit as a request would: true when it is granted at once. */
bool permit(struct instance *instance, uint32_t centre);
/* The server of engines of that data centre, as the instance sees it. */
struct backend *server(struct instance *instance, uint32_t centre);
/* The instance has that many requests at the server of a data centre. */
void load_put(struct instance *instance, uint32_t centre, uint32_t requests);
/* How many see so many requests at the server of a data centre. */
uint32_t seen_by(struct site *site, uint32_t centre, uint32_t requests);
/* How many of those that do not stand still take themselves for the lowest. */
uint32_t lowest_count(const struct site *site);

#endif
