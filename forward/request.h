/*
 * request.h - a request under way, inside the forwarding core
 *
 * DESCRIPTION
 *	request.c holds what all requests have in common: limits, the answer,
 *	the end. plain.c and stream.c hold the two ways through; each moves the
 *	request on from the callbacks of the one call it has under way.
 */
#ifndef FORWARD_REQUEST_H
#define FORWARD_REQUEST_H

#include "common/error.h"
#include "common/table.h"
#include "crash_detector.h"
#include "forward/events.h"
#include "forward/forward.h"
#include "forward/place.h"

/* The answer of a server as far as it has come. */
struct answer {
	struct backend_head head;
	bool has_head;
	GPtrArray *names; /* of the headers to be passed back, copied */
	GPtrArray *values;
	GByteArray *body;
	bool too_large;
};

/* A share of a server's load, to be given back. */
struct charge {
	uint64_t backend; /* handle; HANDLE_NONE: nothing is charged */
	struct backend_load load;
};

/* What a request has asked for a permit for. */
enum permit_step {
	PERMIT_STEP_NONE,
	PERMIT_STEP_CALL,    /* a plain call */
	PERMIT_STEP_RESERVE, /* a reservation and the run after it */
	PERMIT_STEP_PREFILL,
};

struct request {
	struct forward *forward;
	uint64_t handle;
	GList link; /* in the waiting list */
	bool waiting;
	struct web_request *web;
	struct caller_request caller;
	struct catalog *catalog;
	const struct catalog_route *route;
	const struct catalog_service *service;
	const struct organisation *organisation; /* NULL: nobody known */
	double units;				 /* taken from its allotment */
	int64_t arrived;
	int64_t limit; /* when it is given up */
	struct timer timer;
	struct web_call *call;
	enum permit_step permit_step;
	uint64_t permit_from; /* key of the server */
	struct timer permit_timer;
	uint32_t permit_attempts; /* for a permit so far */
	struct answer answer;
	struct tried tried;
	struct request_identity
		identity; /* once request_identify() was asked for it */
	bool identity_known;
	bool lost_connection; /* in the middle of a call */
	uint32_t sends;	 /* that may have reached a server, and count as such */
	bool paid;	 /* a prefill took from the budget and did not count */
	uint32_t runs;	 /* that may have begun to run */
	uint32_t rounds; /* through placing, for streams */
	double weight;	 /* of a stream, engine_rates_weight() */
	bool judged;	 /* looked at for an early refusal */
	bool is_probe;	 /* at a decode server that refused others lately */
	int replied_status;
	bool replied; /* the head of an answer went to the caller */
	struct charge decode;
	struct charge prefill;
	char hold[HOLD_MAX];
	char kv[KV_HANDLE_MAX];
	struct backend_info kv_at;  /* who keeps kv */
	struct backend_info target; /* of the call under way or the last one */
	struct event_cutter cutter;
	int64_t asked_at; /* for the reservation or the prefill under way */
	uint32_t ahead;	  /* prompt tokens before that prefill */
	/* For the log line at the end. */
	int64_t placed_at;
	int64_t prefilled_at;
	int64_t first_at;
	int64_t last_at; /* when events were passed on last; 0: never */
	size_t unread;	 /* bytes that its caller had not read by then */
	bool stalled;	 /* paused for longer than its route allows */
};

enum request_end {
	END_ANSWERED, /* a server's whole answer */
	END_REFUSED,  /* not run, and said so */
	END_FAILED,   /* an error that promises nothing */
	END_BROKEN,   /* cut off midway */
	END_GONE,     /* the caller hung up */
	END_DENIED,   /* no route, or malformed */
	END_COUNT,
};

struct forward {
	struct forward_parts parts;
	int64_t began;
	struct catalog *catalog;
	struct table *requests;
	GQueue waiting; /* streams without decode memory, by arrival */
	struct timer pump;
	struct crash_detector *crash_detector;
	double begin_usec; /* mean time from placing to the first event */
	bool draining;
	size_t unread;			  /* of all requests */
	struct counter *ended[END_COUNT]; /* by enum request_end */
	struct counter *servers_ended;
	struct counter *quarantined;
	struct counter *permits_denied;
	struct counter *unknown_keys;
	GHashTable *counted; /* organisation's name to its struct counter */
	struct histogram *whole_time;
	struct histogram *wait_time;
	struct histogram *prefill_time;
	struct histogram *first_time;
	GHashTable *demand; /* service to struct demand */
};

int64_t request_now(const struct request *request);
/* Until the request is given up; at least 0. */
int64_t request_left(const struct request *request);
/* Whether the fate of a run may be unknown and it may still run again. */
bool request_repeatable(const struct request *request);
void request_place(const struct request *request, struct place *place);
/* Requests a second that a cold server of its service is sent; 0: any. */
double request_cold_limit(const struct request *request);
/* place_available_at() of the request's service. */
int64_t request_available_at(const struct request *request,
			     enum backend_stage stage);
/* Whether one more send may be made: the first is free, others take from the
 * service's budget. */
bool request_may_send(struct request *request);
/* Takes a send from that budget; false when none is left. */
bool request_take_send(struct request *request);
/* Takes a call that surely did not run off the runs, and off the sends when it
 * reached no server. */
void request_uncount(struct request *request, const struct backend_end *end);
/* A call that may have begun at the target has failed. */
void request_connection_lost(struct request *request,
			     const struct backend_end *end);
/* Whether it lost a connection and servers are known to have ended under it
 * before: its caller may send it again, this attempt is over. Sent on at once,
 * before the server was asked, a work that is about to be held would end one
 * more server with each attempt. */
bool request_is_suspect(const struct request *request);
/* The server has answered to the end: it has outlived the request. */
void request_survived(struct request *request);
/* Ends it if servers ended under it, now or as it was sent before; true when it
 * is no more. To be asked before each send. */
bool request_quarantine(struct request *request);
/* Of admit.c. Settles who asks and takes from its allotment; false when that
 * has ended the request. */
bool request_admit(struct request *request);
/* Gives back what a request took that has not run. */
void request_refund(struct request *request);
/* Its organisation's priority, or its route's; 0 is the highest. It orders
 * those that wait here; engines, which would preempt by it, are not told. */
uint32_t request_urgency(const struct request *request);

/* Gives the reserved memory, or the result of a prefill, back. */
void request_drop_hold(struct request *request);
void request_drop_result(struct request *request);

/* Logs that a step of the request goes to a server, and what decided it. */
void placed_log(const struct request *request, const char *step,
		const struct backend *backend);

void charge_add(struct request *request, struct charge *charge,
		struct backend *backend, const struct backend_load *load);
void charge_drop(struct request *request, struct charge *charge);

/* Copies an answer's head. */
void answer_take_head(struct request *request, const struct backend_head *head);
void answer_take_body(struct request *request, const void *data, size_t size);
/* Whether a whole answer may be passed on: it bears its author's mark, and its
 * status says nothing untrue of a request that ran. */
bool answer_may_pass(const struct answer *answer);
void answer_clear(struct answer *answer);
/* Sends the whole answer to the caller. */
void answer_send(struct request *request);

/* The ends; the request is no more after each. */
/* Passes the whole answer on. */
void request_relay(struct request *request);
/* Says that it did not run, and when to come back; as failed if that is not
 * sure. */
void request_refuse(struct request *request, enum result_code code,
		    int64_t retry_usec);
/* Backoffs and limits keep it from all servers until then. */
void request_refuse_until(struct request *request, int64_t opens);
void request_fail(struct request *request, enum result_code code,
		  const char *why);
/* Says that it is not served, and will not be if it comes again as it is. */
void request_deny(struct request *request, enum result_code code,
		  const char *why);
/* Ends the stream that was passed on, whole or visibly cut off. */
void request_finish(struct request *request);
void request_break(struct request *request, const char *why);
/* Starts passing on the answer whose head has come. */
void request_reply_start(struct request *request);

const char *request_end_name(enum request_end end);

/* Of permit.c. */
/* A signals_fn with the forward as context. */
void permit_signals(void *ctx, uint64_t server,
		    const struct backpressure_signals *signals);
/* Whether the request may be sent to the server now. With PERMIT_ASKED the
 * function of the step below is called later, with the server or NULL. After
 * PERMIT_DENIED the server is avoided until limited_until. */
enum permit request_permit(struct request *request, struct backend *backend,
			   enum permit_step step);
/* Nobody waits for the answer any more. */
void permit_forget(struct request *request);
/* The timer of a request that asks. */
void permit_unanswered(struct timer *timer, void *ctx);
void plain_permitted(struct request *request, struct backend *backend);
void stream_permitted(struct request *request, struct backend *backend);
void prefill_permitted(struct request *request, struct backend *backend);

/* Of unread.c. Notes what its caller has not read yet, which may end it or
 * another request. */
void request_unread_update(struct request *request);
void request_unread_clear(struct request *request);

/* Of suspect.c: an crash_fn with the forward as context. */
void quarantine_server_crashed(void *ctx, const struct backend_info *server,
			       const struct request_identity *lost);

/* Of plain.c, stream.c and waiting.c. */
void plain_start(struct request *request);
void stream_start(struct request *request);
/* Counts a prompt towards the demand for its service. */
void demand_add(struct forward *forward, uint64_t service, uint32_t tokens);
/* What engines of a service were seen to do. */
struct engine_rates *forward_rates(struct forward *forward, uint64_t service);
/* Sends waiting streams on as far as there is memory. */
void stream_pump(struct forward *forward);
void stream_wait(struct request *request);
void stream_unwait(struct request *request);
/* Decode memory that it is counted with. */
uint32_t stream_tokens(const struct request *request);
bool stream_waiting_full(const struct forward *forward);
/* Begins to reserve memory at a server with room for that many requests like
 * this one; false when there is none. */
bool stream_reserve(struct request *request, uint32_t room);

#endif
