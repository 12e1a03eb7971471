/*
 * request.h - one request in flight, and the callers that await its answer
 *
 * DESCRIPTION
 *	Internal to the request side of the daemon. Each caller attached to a
 *	request has a reply: the caller that sent the request, and callers that
 *	repeat its key while it runs or while its answer is kept. When the last
 *	caller disconnects the request is cancelled, except for some calls to
 *	plain services with a key: see plain_cancel().
 *
 *	States, in the order of processing:
 *
 *	SUBMITTED submitted to the cell's home, which checks the key and grants
 *	          memory and runners
 *	CLAIMING  the key of a non-idempotent request is being claimed
 *	PREFILL   a prefill is being computed
 *	TRANSFER  a decode engine fetches the KV cache
 *	DECODE    tokens arrive
 *	RESUMING  the stream broke and is being resumed at its offset
 *	CALLING   a plain service is being called, is to be called again after
 *	          a backoff, or the request is queued for a server
 *	PAUSED    waits before another attempt
 *	JOINING   the answer is fetched from another instance or data centre
 *	CANCELLING no caller is left; the engine has yet to confirm
 *	KEPT      answered; the answer of a keyed request is kept for repeats
 */
#ifndef ENTRY_REQUEST_H
#define ENTRY_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "entry/engine.h"
#include "entry/entry.h"
#include "entry/requests.h"

#define REQUEST_MODEL_MAX 64
#define REQUEST_GAP_BUCKETS 32

enum request_state {
	REQUEST_SUBMITTED,
	REQUEST_CLAIMING,
	REQUEST_PREFILL,
	REQUEST_TRANSFER,
	REQUEST_DECODE,
	REQUEST_RESUMING,
	REQUEST_CALLING,
	REQUEST_PAUSED,
	REQUEST_JOINING,
	REQUEST_CANCELLING,
	REQUEST_KEPT,
};

struct request;

/* A caller attached to a request. */
struct reply {
	struct request *request;
	struct web_request *web;
	bool stream;  /* server-sent events requested */
	bool started; /* status and headers sent */
	GList link;
};

struct request {
	struct entry *entry;
	uint64_t id;
	enum request_state state;
	struct config_service service; /* a copy: the config may be replaced */
	char model[REQUEST_MODEL_MAX];
	enum request_class class;
	bool idempotent;
	bool chat;
	uint64_t key; /* 0: none */
	uint64_t fingerprint;
	uint64_t organisation;
	int64_t arrived;
	int64_t deadline;
	int64_t resubmit_since; /* first resubmission of a repeat; 0: none */
	GQueue replies;
	struct timer timer; /* its purpose depends on the state */

	/* Requests for a model. */
	GString *prompt;
	uint32_t prompt_tokens;
	uint32_t output_tokens_max;
	uint32_t block_count;
	uint64_t blocks[PREFIX_BLOCKS_MAX];
	struct engine_call *call;
	struct ledger_grant grant;
	bool granted;	/* a grant is held */
	bool reached;	/* a byte may have reached a backend server */
	bool forwarded; /* received from or sent to another data centre */
	/* The remote data centre that the current call was forwarded to, or
	 * empty, and the number of its instances that failed before. */
	char remote_data_centre[MEMBER_NAME_MAX];
	uint32_t remote_attempts;
	bool adopted; /* taken over from a dead instance */
	char handle[LEDGER_STREAM_MAX];
	char stream[LEDGER_STREAM_MAX];
	int64_t handle_until;
	uint32_t computed_tokens; /* in the prefill of this handle */
	uint32_t resumes;
	uint32_t attempts;
	enum result_code last_code;
	GString *text; /* output so far */
	uint32_t tokens;
	int64_t first_token_at;
	int64_t last_token_at;
	uint32_t gaps[REQUEST_GAP_BUCKETS];
	uint32_t late_gaps;

	/* Requests for a plain service. */
	struct web_call *web_call; /* call to a server or to another instance */
	uint64_t server;	   /* the server called; 0: none */
	bool queued;
	bool claimed;	 /* this request holds the claim of its key */
	bool claim_lost; /* to a live instance, whose answer is fetched */
	bool refused;	 /* the server answered jt-not-run */
	bool too_long;	 /* the answer exceeds the size limit */
	GString *method;
	GString *path;
	GPtrArray *headers; /* name, value, name, value... */
	GString *body;

	/* The answer, kept for repeats. */
	int status;
	GPtrArray *answer_headers; /* name, value, ... */
	GString *answer_body;
	bool complete;
	GList kept_link;
};

struct requests {
	struct entry *entry;
	GHashTable *by_id;  /* id -> struct request */
	GHashTable *by_key; /* key -> struct request, the latest */
	GQueue kept;	    /* oldest first */
	uint64_t kept_bytes;
	uint64_t next;
	uint32_t active;    /* number of requests, without kept ones */
	GArray *unreleased; /* ids failed after a stall, not released yet */
	struct timer release_timer;
	struct limits *limits;
	GHashTable *budgets; /* service's name -> struct retry_budget */
	struct plain *plain;
	struct counter *late_pieces;
	struct counter *resumes;
	struct counter *repeats;
	struct counter *joins;
	struct counter *forwards;
	struct counter *cancels;
};

struct request *request_create(struct requests *requests);
void request_destroy(struct request *request);
/* Aborts all replies and frees the request; for process exit. */
void request_discard(struct request *request);
void request_set_service(struct request *request,
			 const struct config_service *service);
/* Enters the key: later repeats of it attach to this request. */
void request_register_key(struct request *request);
/* Expiry of the request's timer; the action depends on the state. */
void request_timer(struct timer *timer, void *ctx);
/* Adds the request, ended with code, to the measures. */
void request_measure(struct request *request, enum result_code code);
void request_record_gap(struct request *request, int64_t gap_usec);
struct request *request_find(const struct requests *requests, uint64_t id);
/* Aborts the connection and treats the caller as disconnected. */
void reply_abort(struct reply *reply);
/* Called when a request ends; completes a drain after the last one. */
void requests_settled(struct requests *requests);
/* Takes one retry from the budget of the request's service. */
bool requests_may_retry(struct request *request);
/* Credits the retry budget of the request's service. */
void requests_count_request(struct request *request);
void reply_free(struct reply *reply);
/* Sends the output so far to a newly attached reply. If the request is already
 * answered, finishes the reply and frees it. */
void reply_serve(struct reply *reply);
struct reply *reply_attach(struct request *request, struct web_request *web,
			   bool stream);
/* Assigns the id and adds the request to the table; call once it is filled. */
void request_register(struct request *request);

/* Ends the request and answers all replies with an error. */
void request_fail(struct request *request, enum result_code code,
		  int64_t retry_after_usec, const char *text);
/* Ends the request and answers all replies with its output. */
void request_complete(struct request *request);
/* Releases the grant, if one is held. */
void request_release(struct request *request, enum release_reason reason);
/* Keeps a complete request that has a key for repeats; frees any other. */
void request_retire(struct request *request);
struct owner request_owner(const struct request *request);
/* Whether the request may have run, after a failure with this code. */
enum outcome request_outcome(const struct request *request,
			     enum result_code code);

/* Answers (entry/answer.c). */
void answer_error(struct web_request *web, uint64_t id, enum result_code code,
		  enum outcome outcome, int64_t retry_after_usec,
		  const char *text);
void answer_token(struct request *request, const char *text, size_t size);
/* Sends the output so far to a reply attached late. */
void answer_catch_up(struct reply *reply);
/* True when the unsent part of a caller's answer exceeds the limit. */
bool answer_too_slow(const struct reply *reply);
void answer_finish(struct reply *reply);
void answer_fail(struct reply *reply, enum result_code code,
		 int64_t retry_after_usec, const char *text);

/* Parsing of requests (entry/request_parse.c). */
bool request_parse_model(struct request *request, struct web_request *web,
			 bool chat, bool *stream, struct error *err);
bool request_parse_headers(struct request *request, struct web_request *web,
			   struct error *err);

/* Requests for a model (entry/request_model.c). */
void model_run(struct request *request);
void model_reassign(struct request *request);
void model_timer(struct request *request);
/* The home has revoked the grant: no more output may reach a caller. */
void model_revoked(struct request *request);
void model_cancel(struct request *request);
void model_resume(struct request *request, const char *stream);

/* Requests for a plain service (entry/request_plain.c). */
void plain_run(struct request *request);
/* No caller is left: cancels the request, unless a repeat of its key may need
 * the answer. */
void plain_cancel(struct request *request);
void plain_timer(struct request *request);
/* Calls request->server, in which the request holds a slot. */
void plain_call(struct request *request);
/* Leaves the queue, cancels the call and frees the slot at the server. */
void plain_drop(struct request *request);
bool plain_header_dropped(struct web_text name);
/* Copies headers, without hop-by-hop headers and jt-* headers. */
void plain_headers_copy(GPtrArray *to, const struct web_header *headers,
			size_t count);

/* Cancels a stream, with retries until the engine confirms (entry/cancel.c).
 * fn may be NULL; its confirmed is false when the retries are exhausted. */
void cancel_stream(struct entry *entry, uint64_t runner, const char *stream,
		   engine_cancel_fn fn, void *ctx);

/* Admission: limits, submission to the home, claim (entry/request_start.c). */
void request_start(struct request *request);
void request_granted(struct request *request);
void request_claim(struct request *request);
void request_claimed(struct request *request, enum result_code code,
		     const struct owner *winner);
/* Repeated keys (entry/request_join.c). */
bool request_join_local(struct request *request);
void request_join_peer(struct request *request, const struct member *peer);
/* Sends the call and relays its answer to the request's only reply. */
void request_relay(struct request *request, const struct web_call_spec *spec);
void request_join_cancel(struct request *request);
void request_duplicate(struct request *request,
		       const struct ledger_duplicate *duplicate);
/* Resubmits to the home after a delay, because the run of the same key is not
 * available. Fails the request when this has lasted too long. */
void request_submit_later(struct request *request);

/* Forwarding to other data centres (entry/request_forward.c). These return
 * true when the request was sent. */
bool request_forward(struct request *request, const char *data_centre);
/* To the next instance of that data centre, after one did not answer. */
bool request_forward_next(struct request *request);
/* refused: the local cell's home has just refused it as full. */
bool request_spill(struct request *request, bool refused);

/* Handlers, each registered by requests_serve(). */
void handler_completions(void *ctx, struct web_request *web);
void handler_chat(void *ctx, struct web_request *web);
void handler_models(void *ctx, struct web_request *web);
void handler_answers(void *ctx, struct web_request *web);
void handler_plain(void *ctx, struct web_request *web);

#endif
