/*
 * catalog.h - one version of the routes and services that requests follow
 *
 * DESCRIPTION
 *	A catalog is built once, by whoever decodes the operators'
 *	configuration, and does not change afterwards; requests in flight hold
 *	a reference to the one that they were routed by. Times are in
 *	microseconds, versions are the operators' own and only rise.
 *
 *	Routes are found by host and by the longest prefix of the path. Prefixes
 *	begin and end with a slash, so each slash of a path gives one candidate
 *	and a look-up costs as many hash probes as the path has slashes, however
 *	many routes there are.
 */
#ifndef FORWARD_CATALOG_H
#define FORWARD_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/organisation.h"

/* What may be done with a request of a route when its fate is not known. */
enum route_kind {
	ROUTE_IDEMPOTENT, /* may run more than once */
	ROUTE_ONCE,	  /* runs at most once */
	ROUTE_STREAM, /* as ROUTE_ONCE unless resumable; a series of events */
};

struct route_share {
	uint64_t service; /* id_of() the service's name */
	uint32_t weight;
};

struct catalog_route {
	char *name;
	char *host; /* lower case, no port */
	char *prefix;
	enum route_kind kind;
	bool resumable;	      /* a stream may go on at another backend server */
	int64_t timeout_usec; /* from the request's arrival to its end */
	int64_t target_usec;  /* of the answer, or of a stream's first event */
	int64_t gap_usec;     /* longest pause between events; 0: no target */
	uint32_t priority;    /* 0 is the highest */
	uint32_t attempts;    /* most backend servers that may run it */
	bool is_public;	      /* callers need no key */
	GArray *shares;	      /* struct route_share, at least one */
	GArray *regions;      /* region_set, or NULL */
};

/* What a service's engines are like; zero tokens: it has no engines. */
struct engine_traits {
	uint32_t slots;
	uint64_t memory_tokens; /* KV cache of one runner */
	int64_t result_usec;	/* how long a prefill's result is kept */
	int64_t switch_usec;	/* how long a change of role takes */
	int64_t reserve_usec;	/* longest reservation of decode memory */
};

struct catalog_service {
	char *name;
	uint64_t id; /* id_of(name) */
	char *health_path;
	double cold_per_sec; /* requests that a cold server bears; 0: any */
	struct engine_traits engine;
};

/* What callers may send, and how long they may stay idle. */
struct caller_limits {
	uint64_t header_bytes;
	uint64_t body_bytes;
	int64_t header_usec;
	int64_t idle_usec;
};

struct catalog {
	uint32_t refs;
	uint64_t version;
	struct caller_limits limits;
	GPtrArray *routes;     /* struct catalog_route */
	GHashTable *by_prefix; /* host and prefix to struct catalog_route */
	GHashTable *services;  /* id to struct catalog_service */
	/* NULL where callers are not told apart. */
	struct organisations *organisations;
};

/* Starts with one reference, no route and no service. */
struct catalog *catalog_create(uint64_t version);
struct catalog *catalog_ref(struct catalog *catalog);
/* Accepts NULL. */
void catalog_unref(struct catalog *catalog);
/* Adds a zeroed route or service; strings and shares are owned by it. */
struct catalog_route *catalog_add_route(struct catalog *catalog);
struct catalog_service *catalog_add_service(struct catalog *catalog,
					    const char *name);
/* Makes the routes findable; to be called once all have been filled. */
void catalog_index_routes(struct catalog *catalog);

/* The route of a host (any case, with or without port) and path (without
 * query); NULL when there is none. */
const struct catalog_route *catalog_route(const struct catalog *catalog,
					  const char *host, size_t host_size,
					  const char *path, size_t path_size);
const struct catalog_service *catalog_service(const struct catalog *catalog,
					      uint64_t id);
/* Chooses a service by weight; point is in [0, 1). */
uint64_t route_choose(const struct catalog_route *route, double point);

#endif
