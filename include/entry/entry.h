/*
 * entry.h - the daemon's components and what they share
 *
 * DESCRIPTION
 *	struct entry is made by entry/main.c. Its components are started in the
 *	order of the supervisor tree (entry/supervisor.c) and stopped in
 *reverse. A component reads the fields of those before it, never of those
 *after.
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
#include "web/client.h"
#include "web/loop.h"
#include "web/server.h"

struct directory; /* backend servers and their addresses */
struct peers;	  /* links to other instances */
struct platform;  /* log store and instance list */
struct poller;	  /* reads reports of the runners we are home to */
struct requests;  /* requests in flight */
struct measures;  /* what operators compare */
struct admin;	  /* operators' and balancer's endpoints */

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
	struct fold *fold;
	struct claims *claims;
	struct ledger *ledger;
	struct poller *poller;
	struct measures *measures;
	struct requests *requests;
	struct admin *admin;
	struct web_server *server;
	const struct config *config; /* in force; NULL until there is one */
	uint64_t revision;
	bool draining;
};

/* Starts a graceful shutdown; the loop stops when all is answered. */
void entry_drain(struct entry *entry);
/* Called by requests when the last one has ended while draining. */
void entry_drained(struct entry *entry);

#endif
