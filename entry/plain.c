/*
 * The servers of plain services as this instance uses them: calls in flight,
 * circuits, and the queue of what waits for a free one. Each instance takes
 * its share of a server's concurrency, so no call asks another instance.
 */
#include "entry/plain.h"

#include <glib.h>
#include <string.h>

#include "common/log.h"
#include "coord/retry.h"
#include "entry/directory.h"
#include "entry/request.h"

struct plain_server {
	uint64_t id;
	uint64_t incarnation;
	uint32_t in_flight;
	struct circuit circuit;
};

struct plain {
	struct entry *entry;
	GHashTable *servers; /* id -> struct plain_server */
	GQueue waiting;	     /* struct request, urgent first */
};

struct plain *plain_create(struct entry *entry)
{
	struct plain *plain = g_new0(struct plain, 1);

	plain->entry = entry;
	plain->servers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	g_queue_init(&plain->waiting);
	return plain;
}

void plain_destroy(struct plain *plain)
{
	g_queue_clear(&plain->waiting);
	g_hash_table_unref(plain->servers);
	g_free(plain);
}

static struct plain_server *server_get(struct plain *plain,
				       const struct backend *backend)
{
	struct plain_server *server =
		g_hash_table_lookup(plain->servers, &backend->id);

	if (!server) {
		server = g_new0(struct plain_server, 1);
		server->id = backend->id;
		g_hash_table_insert(plain->servers, &server->id, server);
	}
	if (server->incarnation != backend->incarnation) {
		server->incarnation = backend->incarnation;
		server->circuit = (struct circuit){0};
	}
	return server;
}

/* Instances of the own data centre that share its servers. */
static uint32_t sharers(const struct plain *plain)
{
	const struct membership *members = plain->entry->membership;
	const char *here = plain->entry->settings.data_centre;
	const struct member *member;
	uint32_t cursor = 0;
	uint32_t count = 0;

	while ((member = membership_next(members, &cursor)))
		if (member->state != MEMBER_DEAD &&
		    strcmp(member->data_centre, here) == 0)
			count++;
	return count ? count : 1;
}

static bool server_ready(const struct plain_server *server, int64_t now,
			 uint32_t share)
{
	if (server->in_flight >= share)
		return false;
	if (server->circuit.state == CIRCUIT_CLOSED)
		return true;
	return server->circuit.state == CIRCUIT_OPEN &&
	       now >= server->circuit.until;
}

struct choice {
	const struct backend *first;
	const struct backend *second;
	uint32_t seen;
	uint32_t listed; /* not leaving, ready or not */
};

/* Keeps two of the candidates, each pair equally likely. */
static void choice_add(struct choice *choice, GRand *rand,
		       const struct backend *backend)
{
	uint32_t at = g_rand_int_range(rand, 0, (int)++choice->seen);

	if (at == 0) {
		choice->second = choice->first;
		choice->first = backend;
	} else if (at == 1 || !choice->second) {
		choice->second = backend;
	}
}

static void choice_scan(struct plain *plain, const struct request *request,
			bool here, struct choice *choice)
{
	struct entry *entry = plain->entry;
	const struct backend *backend;
	int64_t now = clock_now(entry->clock);
	uint32_t count = sharers(plain);
	uint32_t share = (request->service.concurrency + count - 1) / count;
	uint32_t cursor = 0;

	while ((backend = directory_next(entry->directory, &cursor))) {
		bool local = strcmp(backend->data_centre,
				    entry->settings.data_centre) == 0;

		if (local != here || backend->leaving || !backend->listed ||
		    strcmp(backend->pool, request->service.pool) != 0)
			continue;
		choice->listed++;
		if (server_ready(server_get(plain, backend), now, share))
			choice_add(choice, entry->rand, backend);
	}
}

/* The less loaded of two random ready servers; near ones first. */
uint64_t plain_pick(struct plain *plain, const struct request *request,
		    bool *any)
{
	struct choice choice = {0};
	const struct backend *best;

	choice_scan(plain, request, true, &choice);
	if (!choice.seen)
		choice_scan(plain, request, false, &choice);
	*any = choice.listed > 0;
	best = choice.first;
	if (!best)
		return 0;
	if (choice.second && server_get(plain, choice.second)->in_flight <
				     server_get(plain, best)->in_flight)
		best = choice.second;
	server_get(plain, best)->in_flight++;
	circuit_allow(&server_get(plain, best)->circuit,
		      clock_now(plain->entry->clock));
	return best->id;
}

void plain_put(struct plain *plain, uint64_t id, enum plain_use use)
{
	struct plain_server *server = g_hash_table_lookup(plain->servers, &id);

	if (!server)
		return;
	if (server->in_flight)
		server->in_flight--;
	if (use == PLAIN_GOOD)
		circuit_success(&server->circuit);
	if (use == PLAIN_BAD)
		circuit_failure(&server->circuit, plain->entry->rand,
				clock_now(plain->entry->clock));
	plain_wake(plain);
}

static int waiting_order(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct request *x = a;
	const struct request *y = b;

	if (x->class != y->class)
		return x->class < y->class ? -1 : 1;
	if (x->arrived != y->arrived)
		return x->arrived < y->arrived ? -1 : 1;
	return 0;
}

bool plain_wait(struct plain *plain, struct request *request)
{
	uint32_t waiting = 0;

	for (GList *at = plain->waiting.head; at; at = at->next) {
		const struct request *other = at->data;

		if (strcmp(other->service.name, request->service.name) == 0)
			waiting++;
	}
	if (request->service.queue_max && waiting >= request->service.queue_max)
		return false;
	request->queued = true;
	g_queue_insert_sorted(&plain->waiting, request, waiting_order, NULL);
	return true;
}

void plain_unwait(struct plain *plain, struct request *request)
{
	if (!request->queued)
		return;
	request->queued = false;
	g_queue_remove(&plain->waiting, request);
}

void plain_wake(struct plain *plain)
{
	GList *next;

	for (GList *at = plain->waiting.head; at; at = next) {
		struct request *request = at->data;
		bool any;
		uint64_t id = plain_pick(plain, request, &any);

		next = at->next;
		if (!id)
			continue;
		request->queued = false;
		g_queue_delete_link(&plain->waiting, at);
		plain_start(request, id);
	}
}
