/*
 * backend.h - interface of the forwarding core to backend servers
 *
 * DESCRIPTION
 *	The embedder fills in struct backend_ops for the protocol of its backend
 *	servers. Each call reports its result exactly once, in a later iteration
 *	of the event loop, unless cancelled with web_call_cancel(), which closes
 *	the connection so that the server aborts the request. Times are in
 *	microseconds.
 *
 *	Retries depend on whether a request may have run: not_run is set only if
 *	the server reported it or no byte can have reached the server.
 */
#ifndef FORWARD_BACKEND_H
#define FORWARD_BACKEND_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "coord/backpressure.h"
#include "forward/caller.h"
#include "forward/fleet.h"
#include "sched/server_load.h"
#include "web/client.h"

/* Connection time-out. A connection inside the site takes 1 to 5 ms; beyond
 * this the server or its data centre counts as unreachable. */
#define BACKEND_CONNECT_USEC (150 * USEC_PER_MSEC)

#define KV_HANDLE_MAX 96
#define HOLD_MAX 96

/* A server, and how to connect to it. */
struct backend_link {
	const struct backend_info *to;
	/* "IP:port" of the instance that connects on behalf of this one; NULL:
	 * connect directly. */
	const char *relay;
};

/* Why a call through a relay was not connected. */
enum relay_failure {
	RELAY_OK,   /* it was, or nobody can connect to the server */
	RELAY_LINK, /* the relay has lost its own link to the server */
	RELAY_PEER, /* the relay is gone, busy, stopping, or cut off */
};

enum send_kind {
	SEND_RUN,     /* run the whole request, or resume it */
	SEND_PREFILL, /* only compute its KV cache */
};

struct send_spec {
	enum send_kind kind;
	const struct caller_request *caller;
	struct backend_link link;
	int64_t left_usec;    /* until the caller's or the route's limit */
	int64_t connect_usec; /* connection time-out */
	int64_t head_usec;    /* time-out for the head of the answer */
	int64_t idle_usec;    /* idle time-out within the answer */
	/* The server that computed the KV cache and the cache's name there, or
	 * NULL. */
	const char *kv_address;
	const char *kv_handle;
	const char *hold; /* name of the reservation to use, or NULL */
	bool resumes;	  /* continue after event resume_after */
	uint64_t resume_after;
};

/* The head of an answer. */
struct backend_head {
	int status;
	bool not_run; /* the server reports that it did not run the request */
	bool other_server;	 /* another server answers at the address */
	bool is_signed;		 /* carries the server's signature */
	bool mismatched;	 /* answers another request */
	struct server_load load; /* as the server states it */
	/* Passed back to the caller. */
	const struct web_header *headers;
	size_t header_count;
};

struct backend_end {
	bool complete;	/* head and body arrived in full */
	bool not_run;	/* no byte can have reached the server */
	bool connected; /* a connection was made */
	enum relay_failure relay_failure;
	bool timed_out;
	bool rejected;	  /* the answer exceeded a bound */
	bool unframed;	  /* complete only if the server did not end: the body
			     had no length and ended with its connection */
	const char *text; /* reason when not complete */
};

struct send_events {
	void (*head)(void *ctx, const struct backend_head *head);
	void (*body)(void *ctx, const void *data, size_t size);
	void (*done)(void *ctx, const struct backend_end *end);
};

enum reserve_result {
	RESERVE_OK,
	RESERVE_FULL,	     /* no free slot or memory */
	RESERVE_UNREACHABLE, /* no connection */
	RESERVE_RELAY_LINK,  /* as RELAY_LINK */
	RESERVE_RELAY_PEER,  /* as RELAY_PEER */
	RESERVE_FAILED,	     /* any other error; the memory may be reserved */
};

/* hold is the name of the reservation when result is RESERVE_OK. */
typedef void (*reserve_fn)(void *ctx, enum reserve_result result,
			   const char *hold);

enum order_result {
	ORDER_ACCEPTED,
	ORDER_ALREADY_SET, /* the server already has that role */
	ORDER_REFUSED,	   /* certainly not carried out */
	ORDER_UNKNOWN,	   /* may be carried out, now or later */
};
typedef void (*order_fn)(void *ctx, enum order_result result);

struct stage_order {
	const struct backend_info *to;
	enum backend_stage stage;
	const char *holder;
	uint64_t fence;
};

enum check_result {
	CHECK_ALIVE,	   /* that incarnation of the server answers */
	CHECK_REPLACED,	   /* another server answers */
	CHECK_SILENT,	   /* connected, but no answer in time */
	CHECK_REFUSED,	   /* nothing listens there; a lost link looks alike */
	CHECK_UNREACHABLE, /* no connection in time, or the relay failed */
	CHECK_REJECTED,	   /* connected, but its answer exceeded a bound */
};
typedef void (*check_fn)(void *ctx, enum check_result result);

/* An answer of any kind came from the incarnation of a server with that
 * backend_key(). */
typedef void (*signals_fn)(void *ctx, uint64_t server,
			   const struct backpressure_signals *signals);

struct backend_ops {
	/* Calls fn for the head of each answer from now on. */
	void (*watch)(void *ctx, signals_fn fn, void *fn_ctx);
	struct web_call *(*send)(void *ctx, const struct send_spec *spec,
				 const struct send_events *events,
				 void *events_ctx);
	struct web_call *(*reserve)(void *ctx, const struct backend_link *link,
				    uint32_t tokens, int64_t ttl_usec,
				    reserve_fn fn, void *fn_ctx);
	/* Release a reservation or a result; the answers are ignored. */
	void (*unreserve)(void *ctx, const struct backend_link *link,
			  const char *hold);
	void (*free_result)(void *ctx, const struct backend_link *link,
			    const char *kv_handle);
	void (*order)(void *ctx, const struct stage_order *order, order_fn fn,
		      void *fn_ctx);
	/* Sends a health check on a new connection. */
	struct web_call *(*check)(void *ctx, const struct backend_link *link,
				  const char *health_path, check_fn fn,
				  void *fn_ctx);
	/* Reads the name of the result from the complete answer of a prefill;
	 * false when it has none. */
	bool (*read_result)(void *ctx, const void *body, size_t size,
			    char kv_handle[KV_HANDLE_MAX]);
	void *ctx;
};

#endif
