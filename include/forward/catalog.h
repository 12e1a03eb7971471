/*
 * catalog.h - one version of the routes and services
 *
 * DESCRIPTION
 *	A catalog is built once by the decoder of the operators' configuration
 *	and is immutable afterwards; a request in flight holds a reference to
 *	the catalog that routed it. Times are in microseconds. Versions are set
 *	by the operators and only increase.
 *
 *	Routes are matched by host and by the longest prefix of the path.
 *	Prefixes begin and end with a slash, so each slash of a path gives one
 *	candidate, and a look-up costs at most one hash probe for each slash,
 *	independent of the number of routes.
 */
#ifndef FORWARD_CATALOG_H
#define FORWARD_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/organisation.h"

/* Whether a request may be sent again when it may have run. */
enum route_kind {
	ROUTE_IDEMPOTENT, /* may run more than once */
	ROUTE_ONCE,	  /* runs at most once */
	ROUTE_STREAM, /* a series of events; as ROUTE_ONCE unless resumable */
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
	bool resumable;	      /* another backend server may continue a stream */
	int64_t timeout_usec; /* from the request's arrival to its end */
	int64_t target_usec;  /* latency target of the answer, or of a stream's
				 first event */
	int64_t gap_usec;     /* target for the longest pause between events; 0:
				 none */
	uint32_t priority;    /* 0 is the highest */
	uint32_t attempts;    /* maximum of backend servers that may run it */
	bool is_public;	      /* callers need no key */
	GArray *shares;	      /* struct route_share, at least one */
	GArray *regions;      /* region_set, or NULL */
};

/* Properties of a service's engines; memory_tokens of 0: no engines. */
struct engine_traits {
	uint32_t slots;
	uint64_t memory_tokens; /* KV cache of one runner */
	int64_t result_usec;	/* retention of a prefill result */
	int64_t switch_usec;	/* duration of a change of role */
	int64_t reserve_usec; /* maximum time of a reservation of decode memory
			       */
};

struct catalog_service {
	char *name;
	uint64_t id; /* id_of(name) */
	char *health_path;
	double cold_per_sec; /* requests to a cold server; 0: no limit */
	struct engine_traits engine;
};

/* Limits of callers' requests and connections. */
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
	/* Two routes of streams whose first service is the same differ in
	 * priority: callers of different urgency compete for its servers. */
	bool ranked;
	/* NULL when callers are not identified. */
	struct organisations *organisations;
};

/* Creates an empty catalog with one reference. */
struct catalog *catalog_create(uint64_t version);
struct catalog *catalog_ref(struct catalog *catalog);
/* Accepts NULL. */
void catalog_unref(struct catalog *catalog);
/* Add a zeroed route or service, which owns its strings and shares. */
struct catalog_route *catalog_add_route(struct catalog *catalog);
struct catalog_service *catalog_add_service(struct catalog *catalog,
					    const char *name);
/* To be called once, after all routes have been filled in. */
void catalog_index_routes(struct catalog *catalog);

/* The route of a host (any case, with or without port) and a path (without
 * query); NULL when none matches. */
const struct catalog_route *catalog_route(const struct catalog *catalog,
					  const char *host, size_t host_size,
					  const char *path, size_t path_size);
const struct catalog_service *catalog_service(const struct catalog *catalog,
					      uint64_t id);
/* Path of the service's health checks, "/" if it names none or is NULL. */
const char *catalog_health_path(const struct catalog_service *service);
/* Chooses a service by weight; point is in [0, 1). */
uint64_t route_choose(const struct catalog_route *route, double point);

#endif
