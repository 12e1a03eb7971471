/*
 * entry.h - the daemon's components and their shared state
 *
 * DESCRIPTION
 *	entry/main.c creates struct entry. Its components are started in the
 *	order of the supervisor tree (entry/component.c) and stopped in reverse.
 *	A component relies only on the fields of components started before it;
 *	those of later ones may be NULL.
 */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include <glib.h>

#include "common/clock.h"
#include "common/counter.h"
#include "config/config.h"
#include "coord/claim.h"
#include "coord/fold.h"
#include "coord/ledger.h"
#include "coord/member.h"
#include "entry/settings.h"
#include "entry/supervisor.h"
#include "web/client.h"
#include "web/loop.h"
#include "web/server.h"

struct directory_sync;
struct directory;    /* backend servers and their addresses */
struct peers;	     /* links to other instances */
struct platform;     /* log store and instance list */
struct poller;	     /* reads the reports of the runners with this home */
struct requests;     /* requests in flight */
struct entry_orders; /* role changes of those runners */
struct measures;     /* goodput and wasted prefill, for operators */
struct admin;	     /* endpoints for operators and the load balancer */
struct drain;	     /* graceful shutdown */
struct supervisor;

struct entry {
	struct settings settings;
	struct clock *clock;
	struct loop *loop;
	GRand *rand;
	struct counter_set *counters;
	struct web_client *client;
	struct platform *platform;
	struct peers *peers;
	struct membership *membership;
	struct directory *directory;
	struct directory_sync *directory_sync;
	struct fold *fold;
	struct claims *claims;
	struct ledger *ledger;
	struct poller *poller;
	struct entry_orders *orders;
	struct measures *measures;
	struct requests *requests;
	struct admin *admin;
	struct web_server *server;
	struct config *config; /* in force; NULL until there is one */
	uint64_t revision;
	bool draining;
	struct drain *drain;
	struct supervisor *supervisor;
	uint64_t incarnation;	    /* microseconds since 1970 at the start */
	enum result_code exit_code; /* not RESULT_OK after a fatal error */
};

/* The components in the order of the supervisor tree. */
extern const struct component entry_components[];
extern const size_t entry_component_count;

/* Starts a graceful shutdown: the loop stops once all requests are answered
 * or the drain limit has passed. */
void entry_drain(struct entry *entry);
/* Called by requests when the last one has ended while draining. */
void entry_drained(struct entry *entry);

struct drain *drain_create(struct entry *entry);
void drain_destroy(struct drain *drain);
/* Puts a configuration into force, or discards it if the ledger refuses it or a
 * higher revision is in force. Takes ownership of config in both cases. */
void entry_configure(struct entry *entry, uint64_t revision,
		     struct config *config);
/* The process did not run for gap_usec. */
void entry_paused(struct entry *entry, int64_t gap_usec);

#endif
