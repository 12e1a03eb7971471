/*
 * request.h - state of one request in the forwarding core
 *
 * DESCRIPTION
 *	request.c has what all requests share: routing, timeouts and the ways a
 *	request ends. plain.c serves requests that one server answers, stream.c
 *	those of engine services. A request has at most one call in progress;
 *	the callbacks of that call start the next step.
 */
#ifndef FORWARD_REQUEST_H
#define FORWARD_REQUEST_H

#include "common/error.h"
#include "common/table.h"
#include "crash_detector.h"
#include "forward/events.h"
#include "forward/forward.h"
#include "forward/overload.h"
#include "forward/place.h"
#include "prober.h"

/* Largest buffered answer: a sixteenth of the memory of the smallest instance
 * (110 MB). */
#define ANSWER_BYTES_MAX ((size_t)6 << 20)

/* The part of a server's answer received so far. */
struct answer {
	struct backend_head head;
	bool has_head;
	GPtrArray *names; /* copies of the headers to relay */
	GPtrArray *values;
	GByteArray *body;
	size_t head_bytes; /* of names and values */
	size_t dropped;	   /* bytes of the body that were not kept */
	bool too_large;
};

/* Load accounted to a server until charge_drop(). */
struct charge {
	uint64_t backend; /* handle; HANDLE_NONE: no charge */
	struct backend_load load;
};

/* The step that waits for a permit. */
enum permit_step {
	PERMIT_STEP_NONE,
	PERMIT_STEP_CALL,    /* a plain call */
	PERMIT_STEP_RESERVE, /* a reservation and the run that follows */
	PERMIT_STEP_PREFILL,
};

/* A question to the dispatcher, or its grant. */
struct dispatched {
	uint64_t ask; /* its id; 0: none */
	uint64_t dispatcher;
	uint64_t server; /* granted; 0: the answer is awaited */
	int64_t asked_at;
	struct timer timer;
	uint32_t asks; /* so far */
	uint64_t avoid[DISPATCH_AVOID_MAX];
	uint32_t avoid_count;
};

/* Own answer, and those of the homes of a stream. */
#define RESUME_ANSWERS_MAX (1u + 2u * ORIGIN_HOMES)

struct request {
	struct forward *forward;
	uint64_t handle;
	GList link; /* in the waiting queue */
	bool waiting;
	struct web_request *web;
	struct caller_request caller;
	struct catalog *catalog;
	const struct catalog_route *route;
	const struct catalog_service *service;
	const struct organisation *organisation; /* NULL: unknown caller */
	double units;				 /* taken from the allotment */
	int64_t arrived;
	int64_t deadline; /* time of the request's timeout */
	struct timer timer;
	struct web_call *call;
	/* Ends the step of a call made by backend_ops.send. */
	void (*call_done)(void *ctx, const struct backend_end *end);
	struct timer confirm_timer; /* until the server is checked again */
	bool confirm_silent;	    /* its last check was silent */
	enum permit_step permit_step;
	uint64_t permit_server; /* key of the server to send to */
	struct timer permit_timer;
	uint32_t permit_attempts;
	struct dispatched dispatched;
	struct answer answer;
	struct tried tried;
	struct tried unconnected; /* directly; relays may still reach them */
	char relay[ADDRESS_TEXT_MAX]; /* of the current or last call; empty:
					 none */
	uint32_t relay_failures;
	struct barred barred;	  /* set by request_quarantine() */
	struct suspects suspects; /* set by request_suspects() */
	bool suspects_known;
	bool lost_connection; /* during a call */
	uint32_t sends;	      /* calls counted against the retry budget */
	bool send_prepaid;    /* a prefill has already taken the run's send from
				 the budget */
	uint32_t runs;	      /* calls that may have begun to run */
	uint32_t reservations;	/* granted so far, for streams */
	uint64_t stream;	/* id_of() the attempt that began the stream */
	uint64_t software;	/* version that continues the stream; 0: any */
	int64_t origin_sent_at; /* last origin_began(); 0: never */
	struct timer resume_timer; /* runs while other instances are asked */
	struct origin_answer answers[RESUME_ANSWERS_MAX];
	uint32_t answer_count;
	uint32_t answers_awaited;
	int64_t resumed_at;   /* when the stream was resumed here */
	bool list_awaited;    /* a read of the list since then */
	bool list_sufficient; /* followed for as long as the stream may be old
			       */
	double weight;	      /* for streams: engine_rates_weight() */
	bool checked_early;   /* the check for an early refusal is done */
	/* Decode servers that began a stream anew instead of resuming it. */
	struct tried began_anew;
	bool is_probe; /* the run is at a decode server that has refused other
			  runs */
	int replied_status;
	bool replied; /* the head of an answer was sent to the caller */
	struct charge decode;
	struct charge prefill;
	char hold[HOLD_MAX];
	char kv[KV_HANDLE_MAX];
	struct backend_info kv_source; /* server that holds kv */
	struct backend_info target;    /* of the current or last call */
	struct event_cutter cutter;
	int64_t step_started_at; /* of a reservation or prefill */
	uint32_t tokens_ahead;	 /* prompt tokens queued before that prefill */
	/* For the log line at the end. */
	int64_t placed_at;
	int64_t prefilled_at;
	int64_t first_at;
	int64_t last_at; /* when events were last relayed; 0: never */
	size_t unread;	 /* bytes not yet read by the caller at that time */
	size_t received; /* bytes buffered of servers' answers */
	bool stalled;	 /* a gap between events exceeded the route's limit */
	/* Records the choices of a request that is only explained; else NULL.
	 */
	struct place_report *report;
};

enum request_end {
	END_ANSWERED,	 /* with the complete answer of a server */
	END_REFUSED,	 /* answered that it did not run */
	END_FAILED,	 /* answered with an error; it may have run */
	END_BROKEN,	 /* answer aborted after its head was sent */
	END_CALLER_GONE, /* the caller closed the connection */
	END_DENIED,	 /* no route, unknown key, malformed or too large */
	END_COUNT,
};

/* The claims of this instance, for its first waiting request. */
struct room {
	uint64_t request; /* handle; HANDLE_NONE: no claim */
	uint32_t rank;
	uint64_t servers[PRECEDENCE_SERVERS_MAX]; /* keys */
	uint32_t count;
	int64_t sent_at;
};

struct forward {
	struct forward_parts parts;
	int64_t started_at;
	struct catalog *catalog;
	struct table *requests;
	GQueue waiting; /* streams without decode memory, in order of entry */
	struct timer pump;
	struct crash_detector *crash_detector;
	struct prober *prober;
	struct dispatched_services *dispatched;
	double first_event_usec; /* mean time from reservation to first event */
	struct precedence_levels levels; /* of the catalog in force */
	struct room room;
	struct counter *room_claims;
	struct counter *room_claims_unsent;
	bool draining;
	int64_t drain_until; /* when requests in progress are ended */
	size_t unread;	     /* sum over all requests */
	size_t received;     /* sum over all requests */
	struct counter *outcomes[END_COUNT]; /* by enum request_end */
	struct counter *servers_crashed;
	struct counter *answers_rejected;
	struct counter *answers_unframed;
	struct counter *answer_bytes; /* gauge of received */
	struct counter *quarantined;
	struct counter *permits_denied;
	struct counter *unknown_keys;
	GHashTable *organisation_counters; /* by name */
	struct histogram *whole_time;
	struct histogram *wait_time;
	struct histogram *prefill_time;
	struct histogram *first_time;
	GHashTable *demand; /* service to struct demand */
	bool list_awaited;  /* by a request that resumes a stream */
};

int64_t request_now(const struct request *request);
/* Time left until the request's timeout; at least 0. */
int64_t request_time_left(const struct request *request);
/* Whether the request may run again although an earlier run may have begun. */
bool request_repeatable(const struct request *request);
void request_place(const struct request *request, struct place *place);
/* Rate limit of a cold server, in requests per second; 0: none. */
double request_cold_limit(const struct request *request);
/* place_available_at() for the request's service. */
int64_t request_available_at(const struct request *request,
			     enum backend_stage stage);
/* Whether the request may be sent again: the first send is free, each further
 * one takes from the service's retry budget. */
bool request_may_send(struct request *request);
/* Takes one send from the retry budget; false when it is exhausted. */
bool request_take_send(struct request *request);
/* Takes a call that did not run from the count of runs and, if it did not
 * connect, also from the count of sends. */
void request_uncount(struct request *request, const struct backend_end *end);
/* Chooses the path of the next call; false when there is none. */
bool request_choose_path(struct request *request, struct backend *backend);
/* Sets the target of the next call and returns it with the chosen path. */
struct backend_link request_link(struct request *request,
				 const struct backend *backend);
/* Records that the current call has connected. */
void request_connected(const struct request *request);
/* Records that it has not. */
void request_unconnected(struct request *request,
			 const struct backend_end *end);
/* Records a failed call. If the connection was lost during a run, starts crash
 * detection for the server. */
void request_connection_lost(struct request *request,
			     const struct backend_end *end);
/* Begins to check whether the server of a complete answer that ended with its
 * connection still runs; false when there is nothing to check. call_done() is
 * called again with the result. */
bool request_confirm(struct request *request, const struct backend_end *end);
void confirm_timed_out(struct timer *timer, void *ctx);
/* Whether the request lost a connection and is known to have crashed servers
 * before. It is not retried then: a retry sent before the crash detector has
 * checked the server could crash one more server with each attempt. The caller
 * may send it again. */
bool request_is_suspect(struct request *request);
/* Records that a server answered the request without a crash. */
void request_record_success(struct request *request);
/* Bars the software versions at whose servers the request, or a part of its
 * prompt, is in quarantine. Ends the request if no other servers are listed;
 * true when it did. Called before each send. */
bool request_quarantine(struct request *request);
/* admit.c: identifies the caller's organisation and takes from its allotment;
 * false when that has ended the request. */
bool request_admit(struct request *request);
/* Returns the units of a request that has not run to the allotment. */
void request_refund(struct request *request);
/* Priority of the organisation, or else of the route; 0 is the highest. It
 * orders waiting requests only; it is not sent to engines, which would preempt
 * by it. */
uint32_t request_urgency(const struct request *request);

/* Releases the reserved memory, or the result of a prefill, at its server. */
void request_drop_hold(struct request *request);
void request_drop_result(struct request *request);

/* Logs the server chosen for a step, with the figures of the choice. */
void placed_log(const struct request *request, const char *step,
		const struct backend *backend);

void charge_add(struct request *request, struct charge *charge,
		struct backend *backend, const struct backend_load *load);
void charge_drop(struct request *request, struct charge *charge);

/* Copies an answer's head. */
void answer_set_head(struct request *request, const struct backend_head *head);
/* Appends to a body of at most max bytes; as request_received_update(). */
void answer_append_body(struct request *request, const void *data, size_t size,
			size_t max);
/* Counts a part of a body that is not kept; as request_received_update(). */
void answer_drop_body(struct request *request, size_t size);
/* Whether a complete answer may be relayed: it is one to this request, signed
 * by its server, and its status does not deny a run that took place. */
bool answer_may_pass(const struct answer *answer);
void answer_clear(struct answer *answer);
/* Sends the complete answer to the caller. */
void answer_send(struct request *request);

/* Each function from here to request_abort() ends the request and frees it. */

/* Relays the complete answer. */
void request_relay(struct request *request);
/* Answers that the request did not run and when to retry; calls request_fail()
 * if it may have run. */
void request_refuse(struct request *request, enum result_code code,
		    int64_t retry_usec);
/* Refuses the request: all servers are in backoff or at a limit until then. */
void request_refuse_until(struct request *request, int64_t until);
void request_fail(struct request *request, enum result_code code,
		  const char *why);
/* Answers that the request is invalid; a retry of the same request would fail
 * too. */
void request_deny(struct request *request, enum result_code code,
		  const char *why);
/* End a relayed stream: complete, or aborted so that the caller notices. */
void request_finish(struct request *request);
void request_abort(struct request *request, const char *why);
/* Sends the received head to the caller; events follow. */
void request_reply_start(struct request *request);

const char *request_end_name(enum request_end end);

/* path.c: a relay is an address, or empty for none. path_choose() returns false
 * when only relays could reach the server and there is none. */
bool path_choose(const struct forward *forward, struct backend *backend,
		 char relay[ADDRESS_TEXT_MAX]);
struct backend_link link_of(const struct backend_info *to, const char *relay);
/* Chooses the path to a server that may not be listed any more. */
struct backend_link link_choose(const struct forward *forward,
				const struct backend_info *to,
				char relay[ADDRESS_TEXT_MAX]);
/* Record whether a connection to the server was made. */
void path_connected(const struct forward *forward,
		    const struct backend_info *to, const char *relay);
void path_failed(const struct forward *forward, const struct backend_info *to,
		 const char *relay, enum relay_failure failure);

/* permit.c */
/* A signals_fn with the forward as context. */
void permit_signals(void *ctx, uint64_t server,
		    const struct backpressure_signals *signals);
/* Whether the request may be sent to the server now. With PERMIT_PENDING, the
 * step's *_permitted() function below is called later, with the server or, if
 * denied or no longer usable, NULL. After PERMIT_DENIED the server is avoided
 * until limited_until. */
enum permit request_permit(struct request *request, struct backend *backend,
			   enum permit_step step);
/* Ignores the answer to a pending permit request. */
void permit_cancel(struct request *request);
/* Timeout of a pending permit request. */
void permit_timed_out(struct timer *timer, void *ctx);
void plain_permitted(struct request *request, struct backend *backend);
void stream_permitted(struct request *request, struct backend *backend);
void prefill_permitted(struct request *request, struct backend *backend);

/* dispatched.c: plain calls that a dispatcher grants a server. */
struct dispatched_services *dispatched_create(struct forward *forward);
void dispatched_destroy(struct dispatched_services *services);
void dispatched_init(struct request *request);
/* Whether the first send of a plain call asks the dispatcher of its service. */
bool request_is_dispatched(const struct request *request);
/* Asks the dispatcher; false when the call is to be placed without it. After a
 * grant that could not be used, returns it and asks once more. Afterwards
 * plain_granted() or plain_start() is called, or the request is refused. */
bool dispatched_start(struct request *request);
/* Tells the dispatcher that the current call has ended. */
void dispatched_end(struct request *request, const struct backend_end *end);
/* Returns an unused grant, or takes the question back. */
void dispatched_drop(struct request *request);
/* Notes what a server has stated. */
void dispatched_note(const struct request *request,
		     const struct server_load *load);
/* plain.c: the server granted. */
void plain_granted(struct request *request, struct backend *backend);

/* unread.c: updates the bytes not yet read by the caller. Above a limit this
 * ends the request, or the one with the most unread bytes. */
void request_unread_update(struct request *request);
void request_unread_clear(struct request *request);

/* received.c: updates the bytes buffered of the request's answer. If the answer
 * is too large, or those of all requests are and it is the largest, its call
 * ends as failed, which may end the request; no use of it may follow. */
void request_received_update(struct request *request);
void request_received_clear(struct request *request);
/* To be called when a call has ended: counts an answer beyond a bound. */
void request_received_end(const struct request *request,
			  const struct backend_end *end);

/* suspect.c: a crash_fn with the forward as context. */
void quarantine_server_crashed(void *ctx, const struct backend_info *server,
			       const struct suspects *suspects);

/* resume.c: finds the version that a resumed stream goes on at, then calls
 * request_serve() or refuses the request. */
void resume_start(struct request *request);
/* Timeout of the other instances. */
void resume_timed_out(struct timer *timer, void *ctx);
/* To be called before events are passed on to the caller, and when a stream
 * ends early: records the version that has begun it. */
void resume_record(struct request *request, bool at_once);
/* Whether no server is left that could continue the stream. */
bool resume_is_unserved(const struct request *request);
/* Starts a request that may be sent to any server, or whose version is known.
 */
void request_serve(struct request *request);
/* Of the servers that run it. */
enum backend_stage request_stage(const struct request *request);

/* speeds.c: records the pace that the target of the current call states, the
 * time of a prefill there, and that of a complete stream. */
void request_stated(const struct request *request,
		    const struct backend_head *head);
void prefill_measured(const struct request *request, int64_t usec);
void stream_measured(const struct request *request);
/* room.c: claims of memory for the first waiting request, where the catalog in
 * force is ranked. */
bool room_ranked(const struct forward *forward);
/* Takes the ranks from the catalog in force. */
void room_levels_update(struct forward *forward);
uint32_t room_rank(const struct request *request);
/* Makes placing respect the claims of others. */
void room_place(const struct request *request, struct place *place);
/* Records that a request of this rank was received. */
void room_seen(const struct request *request);
/* Claims room for the request, which cannot be placed, or renews the claims. */
void room_claim(struct request *request);
/* Withdraws the claims of the request, if any. */
void room_withdraw(struct request *request);

/* drain.c, while the instance drains: refuses a stream that waits and would not
 * end in time, or a new request that is a stream or might not be answered by
 * then; true when it did. */
bool drain_refuse_waiting(struct request *request);
bool drain_refuse_new(struct request *request);

/* plain.c, stream.c and waiting.c */
void plain_start(struct request *request);
/* A server for the first or a further send; NULL when there is none. Servers
 * that could not be connected to come last, on another path. */
struct backend *plain_choose(const struct request *request, bool first);
void stream_start(struct request *request);
/* Adds a prompt to the demand for its service. */
void demand_add(struct forward *forward, uint64_t service, uint32_t tokens);
/* Measured rates of the service's engines. */
struct engine_rates *forward_rates(struct forward *forward, uint64_t service);
/* Expires waiting streams and places those for which memory is free. */
void stream_pump(struct forward *forward);
void stream_enqueue(struct request *request);
/* Time after which the caller of a stream without events gives up. */
int64_t stream_caller_timeout(const struct request *request);
void stream_dequeue(struct request *request);
/* Decode memory charged for the request, in tokens. */
uint32_t stream_tokens(const struct request *request);
/* The request as overload.h has it. */
struct overload_caller stream_caller(const struct request *request);
bool stream_waiting_full(const struct forward *forward);
/* A server with room for that many requests of this size, if the prefill queue
 * is short enough; NULL when there is none. */
struct backend *stream_choose(struct request *request, uint32_t room);
/* Starts a reservation at a server with room for that many requests of this
 * size; false when there is none. */
bool stream_reserve(struct request *request, uint32_t room);

#endif
