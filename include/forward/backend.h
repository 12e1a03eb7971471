/*
 * backend.h - calls to backend servers, as the forwarding core needs them
 *
 * DESCRIPTION
 *	The embedder fills the table for the interface that its backend servers
 *	speak. All calls answer in a later turn, exactly once, unless cancelled
 *	with web_call_cancel(), which closes the connection so that the server
 *	drops the work. Times are in microseconds.
 *
 *	Whether a request ran is what everything turns on, so an answer says it:
 *	not_run is set only where the server said so or no byte can have reached
 *	it.
 */
#ifndef FORWARD_BACKEND_H
#define FORWARD_BACKEND_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "coord/backpressure.h"
#include "forward/caller.h"
#include "forward/fleet.h"
#include "web/client.h"

/* A connection inside the site takes 1 to 5 ms; one that takes longer than this
 * goes to a server or a data centre that cannot be reached. */
#define BACKEND_CONNECT_USEC (150 * USEC_PER_MSEC)

#define KV_HANDLE_MAX 96
#define HOLD_MAX 96

enum send_kind {
	SEND_RUN,     /* the whole request, or the rest of it */
	SEND_PREFILL, /* compute its KV cache only */
};

struct send_spec {
	enum send_kind kind;
	const struct caller_request *caller;
	const struct backend_info *to;
	int64_t left_usec;    /* until the caller's or the route's limit */
	int64_t connect_usec; /* longest wait for a connection */
	int64_t head_usec;    /* longest wait for the answer's head */
	int64_t idle_usec;    /* longest pause in the answer */
	/* The server that computed the KV cache and its name there; or NULL. */
	const char *kv_address;
	const char *kv_handle;
	const char *hold; /* reservation to be used, or NULL */
	bool resumes;	  /* go on after resume_after */
	uint64_t resume_after;
};

/* The head of an answer. */
struct backend_head {
	int status;
	bool not_run;	   /* the server says that it did not run the request */
	bool other_server; /* another server has that address now */
	bool is_signed;	   /* bears the server's own mark of authorship */
	bool mismatched;   /* belongs to another request */
	/* To be passed back to the caller. */
	const struct web_header *headers;
	size_t header_count;
};

struct backend_end {
	bool complete;	/* head and body arrived, and no more */
	bool not_run;	/* no byte can have reached the server */
	bool connected; /* a connection was made */
	bool timed_out;
	const char *text; /* reason when not whole */
};

struct send_events {
	void (*head)(void *ctx, const struct backend_head *head);
	void (*body)(void *ctx, const void *data, size_t size);
	void (*done)(void *ctx, const struct backend_end *end);
};

enum reserve_result {
	RESERVE_OK,
	RESERVE_FULL,	     /* no slot or no memory now */
	RESERVE_UNREACHABLE, /* no connection */
	RESERVE_FAILED,	     /* anything else; it may have been taken */
};

/* hold names the reservation when result is RESERVE_OK. */
typedef void (*reserve_fn)(void *ctx, enum reserve_result result,
			   const char *hold);

enum order_result {
	ORDER_ACCEPTED,
	ORDER_ALREADY_SET, /* the server is in that role already */
	ORDER_REFUSED,	   /* surely not carried out */
	ORDER_UNKNOWN,	   /* it may be carried out, also later */
};
typedef void (*order_fn)(void *ctx, enum order_result result);

struct stage_order {
	const struct backend_info *to;
	enum backend_stage stage;
	const char *holder;
	uint64_t fence;
};

enum check_result {
	CHECK_ALIVE,   /* that life of the server answers */
	CHECK_CRASHED, /* nothing listens there, or another server */
	CHECK_UNKNOWN, /* it cannot be reached, or does not answer */
};
typedef void (*check_fn)(void *ctx, enum check_result result);

/* An answer of any kind came from a life of a server, named as by
 * backend_key(). */
typedef void (*signals_fn)(void *ctx, uint64_t server,
			   const struct backpressure_signals *signals);

struct backend_ops {
	/* Has fn called with each answer's head from now on. */
	void (*watch)(void *ctx, signals_fn fn, void *fn_ctx);
	struct web_call *(*send)(void *ctx, const struct send_spec *spec,
				 const struct send_events *events,
				 void *events_ctx);
	struct web_call *(*reserve)(void *ctx, const struct backend_info *to,
				    uint32_t tokens, int64_t ttl_usec,
				    reserve_fn fn, void *fn_ctx);
	/* Give back; nobody waits for the answers. */
	void (*unreserve)(void *ctx, const struct backend_info *to,
			  const char *hold);
	void (*free_result)(void *ctx, const struct backend_info *to,
			    const char *kv_handle);
	void (*order)(void *ctx, const struct stage_order *order, order_fn fn,
		      void *fn_ctx);
	/* Asks for its health, on a new connection. */
	struct web_call *(*check)(void *ctx, const struct backend_info *to,
				  const char *health_path, check_fn fn,
				  void *fn_ctx);
	/* The name of the result in a prefill's whole answer; false when it has
	 * none. */
	bool (*read_result)(void *ctx, const void *body, size_t size,
			    char kv_handle[KV_HANDLE_MAX]);
	void *ctx;
};

#endif
