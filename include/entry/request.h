/*
 * request.h - one request in flight, and the callers that await its answer
 *
 * DESCRIPTION
 *	Internal to the request side of the daemon. A request is the work; its
 *	replies are the callers attached to it: the one that brought it, and
 *	those that repeated its key while it ran or within the time its answer
 *	is kept. A request without a key ends when its last caller has gone.
 *
 *	States, in the order of the path:
 *
 *	ASKING    the cell's home has been asked (key, memory, runners)
 *	CLAIMING  the key of a non-idempotent request is being claimed
 *	PREFILL   a prefill is being computed
 *	TRANSFER  a decode engine fetches the KV cache
 *	DECODE    tokens arrive
 *	RESUMING  the stream broke and is being taken up at its offset
 *	CALLING   a plain service has been called
 *	PAUSED    waits before another attempt
 *	JOINING   another instance runs the same key; its answer is fetched
 *	CANCELLING all callers are gone; the engine has yet to confirm
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
	REQUEST_ASKING,
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
	bool stream;  /* wants server-sent events */
	bool started; /* the head was sent */
	GList link;
};

struct request {
	struct entry *entry;
	uint64_t id;
	enum request_state state;
	struct config_service service; /* a copy: outlives the config */
	char model[REQUEST_MODEL_MAX];
	enum request_class class;
	bool idempotent;
	bool chat;
	uint64_t key; /* 0: none */
	uint64_t fingerprint;
	uint64_t organisation;
	int64_t arrived;
	int64_t deadline;
	int64_t asking_since; /* of repeats that found no answer; 0: never */
	GQueue replies;
	struct timer timer; /* transfer, pause, keep, cancel: one at a time */

	/* Work for a model. */
	GString *prompt;
	uint32_t prompt_tokens;
	uint32_t output_tokens_max;
	uint32_t block_count;
	uint64_t blocks[PREFIX_BLOCKS_MAX];
	struct engine_call *call;
	struct ledger_grant grant;
	bool granted;	/* a grant is held and has yet to be released */
	bool reached;	/* a byte may have reached a backend server */
	bool forwarded; /* came from, or was sent to, another data centre */
	/* The data centre that the call under way runs it in, when another, and
	 * how many of its instances have failed before. */
	char away[MEMBER_NAME_MAX];
	uint32_t away_tries;
	bool adopted; /* taken over from an instance that died */
	char handle[LEDGER_STREAM_MAX];
	char stream[LEDGER_STREAM_MAX];
	int64_t handle_until;
	uint32_t computed_tokens; /* by the prefill whose result is held */
	uint32_t resumes;
	uint32_t attempts;
	enum result_code last_code;
	GString *text; /* output so far */
	uint32_t tokens;
	int64_t first_token_at;
	int64_t last_token_at;
	uint32_t gaps[REQUEST_GAP_BUCKETS];
	uint32_t late_gaps;

	/* Work for a plain service. */
	struct web_call *web_call; /* to a server, or to the joined instance */
	uint64_t server;	   /* the backend called; 0: none */
	bool queued;
	bool claimed;	 /* the claim of its key was won */
	bool claim_lost; /* to a live instance, which is asked for the answer */
	bool refused;	 /* the answer says that nothing was run */
	bool too_long;	 /* the answer passed the limit */
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
	uint32_t active;  /* not counting kept ones */
	GArray *doubtful; /* ids given up after a pause, not given back yet */
	struct timer doubt;
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

/* Life. */
struct request *request_create(struct requests *requests);
void request_destroy(struct request *request);
/* Ends a request when the process stops, dropping all that it holds. */
void request_discard(struct request *request);
void request_set_service(struct request *request,
			 const struct config_service *service);
/* Makes this request the one that repeats of its key are attached to. */
void request_own_key(struct request *request);
/* The one timer of a request; what it means depends on the state. */
void request_timer(struct timer *timer, void *ctx);
/* Adds the request to the operators' measures, as ended with code. */
void request_measure(struct request *request, enum result_code code);
void request_note_gap(struct request *request, int64_t gap_usec);
struct request *request_find(const struct requests *requests, uint64_t id);
/* Cuts a caller off, as if it had hung up. */
void reply_abort(struct reply *reply);
/* A request has ended: a drain may be over. */
void requests_settled(struct requests *requests);
/* Takes one retry from the budget of the request's service. */
bool requests_may_retry(struct request *request);
/* Lets the budget of the request's service grow. */
void requests_count_request(struct request *request);
void reply_free(struct reply *reply);
/* Brings a reply that was just attached up to date; one to a request that has
 * been answered is finished and freed. */
void reply_serve(struct reply *reply);
struct reply *reply_attach(struct request *request, struct web_request *web,
			   bool stream);
/* Sets the unique id and enters the tables; call when the fields are filled. */
void request_enter(struct request *request);

/* Ends the work and answers all replies: the error, or what was gathered. */
void request_fail(struct request *request, enum result_code code,
		  int64_t retry_after_usec, const char *text);
void request_complete(struct request *request);
/* Releases the grant, when one is held. */
void request_release(struct request *request, enum release_reason reason);
/* Ends a request that has nothing more to do: kept when it has a key. */
void request_retire(struct request *request);
struct owner request_owner(const struct request *request);
/* What is known of the request's effect after a failure with this code. */
enum outcome request_outcome(const struct request *request,
			     enum result_code code);

/* Answers (entry/answer.c). */
void answer_error(struct web_request *web, uint64_t id, enum result_code code,
		  enum outcome outcome, int64_t retry_after_usec,
		  const char *text);
void answer_token(struct request *request, const char *text, size_t size);
/* Brings a reply that was attached late up to what is there. */
void answer_catch_up(struct reply *reply);
/* The caller reads so slowly that its answer piles up. */
bool answer_too_slow(const struct reply *reply);
void answer_finish(struct reply *reply);
void answer_fail(struct reply *reply, enum result_code code,
		 int64_t retry_after_usec, const char *text);

/* Reading what callers send (entry/request_parse.c). */
bool request_read_model(struct request *request, struct web_request *web,
			bool chat, bool *stream, struct error *err);
bool request_read_headers(struct request *request, struct web_request *web,
			  struct error *err);

/* The path of a request for a model (entry/request_model.c). */
void model_run(struct request *request);
void model_again(struct request *request);
void model_timer(struct request *request);
/* The home has ended the grant: nothing of this work may reach a caller. */
void model_revoked(struct request *request);
void model_cancel(struct request *request);
void model_resume(struct request *request, const char *stream);

/* The path of a request for a plain service (entry/request_plain.c). */
void plain_run(struct request *request);
void plain_cancel(struct request *request);
void plain_timer(struct request *request);
/* Sends to request->server, where a place is held. */
void plain_call(struct request *request);
/* Gives up whatever the request holds or waits for at the servers. */
void plain_drop(struct request *request);
bool plain_header_dropped(struct web_text name);
/* Copies headers but those of one connection and our own. */
void plain_headers_copy(GPtrArray *to, const struct web_header *headers,
			size_t count);

/* Ends a stream, again and again until the engine confirms (entry/cancel.c).
 * fn may be NULL; confirmed is false when it was given up. */
void cancel_stream(struct entry *entry, uint64_t runner, const char *stream,
		   engine_cancel_fn fn, void *ctx);

/* Starting on either path: ask, claim, run (entry/request_start.c). */
void request_start(struct request *request);
void request_granted(struct request *request);
void request_claim(struct request *request);
void request_claimed(struct request *request, enum result_code code,
		     const struct owner *winner);
/* Fetching the answer of a repeated key (entry/request_join.c). */
bool request_join_local(struct request *request);
void request_join_peer(struct request *request, const struct member *peer);
/* Sends the call and relays its answer to the one reply. */
void request_pipe(struct request *request, const struct web_call_spec *spec);
void request_join_cancel(struct request *request);
void request_duplicate(struct request *request,
		       const struct ledger_duplicate *duplicate);
/* Asks the home again after a pause: the other run has just ended. Fails the
 * request when that was of no use several times. */
void request_ask_later(struct request *request);

/* Other data centres (entry/request_forward.c): true when it was sent. */
bool request_forward(struct request *request, const char *data_centre);
/* To the next instance there, after one that did not answer. */
bool request_forward_next(struct request *request);
/* refused: the own cell's home has just refused it, for want of room. */
bool request_spill(struct request *request, bool refused);

/* Handlers, each registered by requests_serve(). */
void handler_completions(void *ctx, struct web_request *web);
void handler_chat(void *ctx, struct web_request *web);
void handler_models(void *ctx, struct web_request *web);
void handler_answers(void *ctx, struct web_request *web);
void handler_plain(void *ctx, struct web_request *web);

#endif
