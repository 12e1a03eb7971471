/*
 * Servers of plain services: calls in flight from this instance, circuit
 * breakers and queues of waiting requests. Each instance uses its share of a
 * server's concurrency, so a call needs no message to another instance.
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

/* Requests that wait for a server of one service, urgent ones first. */
struct plain_queue {
	GQueue requests; /* struct request */
	bool blocked;	 /* its head found no server in this dispatch */
};

struct plain {
	struct entry *entry;
	GHashTable *servers; /* id -> struct plain_server */
	GHashTable *queues;  /* service's name -> struct plain_queue */
};

static void queue_free(gpointer data)
{
	struct plain_queue *queue = data;

	g_queue_clear(&queue->requests);
	g_free(queue);
}

struct plain *plain_create(struct entry *entry)
{
	struct plain *plain = g_new0(struct plain, 1);

	plain->entry = entry;
	plain->servers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	plain->queues = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      queue_free);
	return plain;
}

void plain_destroy(struct plain *plain)
{
	g_hash_table_unref(plain->queues);
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

/* Instances in this data centre, which share its servers. */
static uint32_t instances_sharing(const struct plain *plain)
{
	const struct membership *members = plain->entry->membership;
	const char *data_centre = plain->entry->settings.data_centre;
	const struct member *member;
	uint32_t cursor = 0;
	uint32_t count = 0;

	while ((member = membership_next(members, &cursor)))
		if (member->state != MEMBER_DEAD &&
		    strcmp(member->data_centre, data_centre) == 0)
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

struct sample {
	const struct backend *first;
	const struct backend *second;
	uint32_t seen;
	uint32_t listed; /* servers not leaving, ready or not */
};

/* Reservoir sampling of two: each pair of candidates is equally likely. */
static void sample_add(struct sample *sample, GRand *rand,
		       const struct backend *backend)
{
	uint32_t at = g_rand_int_range(rand, 0, (int)++sample->seen);

	if (at == 0) {
		sample->second = sample->first;
		sample->first = backend;
	} else if (at == 1 || !sample->second) {
		sample->second = backend;
	}
}

static void sample_fill(struct plain *plain, const struct request *request,
			bool want_local, uint32_t share, struct sample *sample)
{
	struct entry *entry = plain->entry;
	const struct backend *backend;
	int64_t now = clock_now(entry->clock);
	uint32_t cursor = 0;

	while ((backend = directory_next(entry->directory, &cursor))) {
		bool local = strcmp(backend->data_centre,
				    entry->settings.data_centre) == 0;

		if (local != want_local || backend->leaving ||
		    !backend->listed ||
		    strcmp(backend->pool, request->service.pool) != 0)
			continue;
		sample->listed++;
		if (server_ready(server_get(plain, backend), now, share))
			sample_add(sample, entry->rand, backend);
	}
}

/* The less loaded of two random ready servers, local ones first. */
uint64_t plain_acquire(struct plain *plain, const struct request *request,
		       bool *any)
{
	uint32_t count = instances_sharing(plain);
	uint32_t share = (request->service.concurrency + count - 1) / count;
	struct sample sample = {0};
	const struct backend *best;

	sample_fill(plain, request, true, share, &sample);
	if (!sample.seen)
		sample_fill(plain, request, false, share, &sample);
	*any = sample.listed > 0;
	best = sample.first;
	if (!best)
		return 0;
	if (sample.second && server_get(plain, sample.second)->in_flight <
				     server_get(plain, best)->in_flight)
		best = sample.second;
	server_get(plain, best)->in_flight++;
	circuit_allow(&server_get(plain, best)->circuit,
		      clock_now(plain->entry->clock));
	return best->id;
}

void plain_release(struct plain *plain, uint64_t id, enum plain_result result)
{
	struct plain_server *server = g_hash_table_lookup(plain->servers, &id);

	if (!server)
		return;
	if (server->in_flight)
		server->in_flight--;
	if (result == PLAIN_SUCCESS)
		circuit_success(&server->circuit);
	if (result == PLAIN_FAILURE)
		circuit_failure(&server->circuit, plain->entry->rand,
				clock_now(plain->entry->clock));
	plain_dispatch(plain);
}

static struct plain_queue *queue_get(struct plain *plain, const char *service)
{
	struct plain_queue *queue = g_hash_table_lookup(plain->queues, service);

	if (!queue) {
		queue = g_new0(struct plain_queue, 1);
		g_queue_init(&queue->requests);
		g_hash_table_insert(plain->queues, g_strdup(service), queue);
	}
	return queue;
}

static bool request_precedes(const struct request *a, const struct request *b)
{
	if (a->class != b->class)
		return a->class < b->class;
	return a->arrived < b->arrived;
}

bool plain_enqueue(struct plain *plain, struct request *request)
{
	struct plain_queue *queue = queue_get(plain, request->service.name);
	GQueue *requests = &queue->requests;
	GList *at = requests->tail;

	if (request->service.queue_max &&
	    requests->length >= request->service.queue_max)
		return false;
	/* Most requests belong at the end: search from there. */
	while (at && request_precedes(request, at->data))
		at = at->prev;
	request->queued = true;
	if (at)
		g_queue_insert_after(requests, at, request);
	else
		g_queue_push_head(requests, request);
	return true;
}

void plain_dequeue(struct plain *plain, struct request *request)
{
	if (!request->queued)
		return;
	request->queued = false;
	g_queue_remove(&queue_get(plain, request->service.name)->requests,
		       request);
}

/* The unblocked queue whose head precedes the heads of the others. */
static struct plain_queue *queue_next(struct plain *plain)
{
	struct plain_queue *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, plain->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct plain_queue *queue = value;

		if (queue->blocked || !queue->requests.head)
			continue;
		if (!best || request_precedes(queue->requests.head->data,
					      best->requests.head->data))
			best = queue;
	}
	return best;
}

static void queues_unblock(struct plain *plain)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, plain->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct plain_queue *)value)->blocked = false;
}

void plain_dispatch(struct plain *plain)
{
	struct plain_queue *queue;

	queues_unblock(plain);
	while ((queue = queue_next(plain))) {
		struct request *request = queue->requests.head->data;
		bool any;
		uint64_t id = plain_acquire(plain, request, &any);

		if (!id) {
			queue->blocked = true;
			continue;
		}
		request->queued = false;
		g_queue_pop_head(&queue->requests);
		plain_start(request, id);
	}
}
