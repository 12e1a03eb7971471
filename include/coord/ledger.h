/*
 * ledger.h - reserves runners for requests: queue, grants, request records
 *
 * DESCRIPTION
 *	A cell is the runners of one service's pools in one data centre. The
 *	member with the highest rendezvous weight for the cell is its home: only
 *	the home queues, places (through the policy in force) and grants. The
 *	member with the second highest weight is the replica. It keeps a copy of
 *	the request records and becomes home when the home leaves or dies. State
 *	is soft: after a change of home each instance announces the grants that
 *	it holds, and the new home grants nothing until all live instances have
 *	announced or the settling time has passed.
 *
 *	One round trip from an instance to the home looks the request's key up,
 *	reserves decode memory and selects the runners. A grant ends with
 *	ledger_release() or with the death of its holder.
 *
 *	Each instance of this module acts as holder and as home. All messages go
 *	through the transport, also those to the local instance. They may be
 *	lost, duplicated, delayed or reordered: each is idempotent and is resent
 *	until it is acknowledged. docs/design/ledger.md has the protocol.
 *
 *	The functions of the holder's side never call back before they return.
 */
#ifndef COORD_LEDGER_H
#define COORD_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"
#include "coord/member.h"
#include "coord/transport.h"
#include "policy/policy.h"

#define LEDGER_STREAM_MAX 48
#define LEDGER_FINGERPRINT 16

/* A request to reserve runners; service must be in the config in force. */
struct ledger_request {
	uint64_t request; /* unique identifier, passed to the callbacks */
	const char *service;
	uint64_t key; /* hash of organisation, service and Idempotency-Key;
			 0 when the caller gave none */
	uint64_t fingerprint; /* hash of method, path and body */
	bool idempotent;
	/* Never answer with RECORD_ELSEWHERE: the request came from another
	 * data centre or could not be forwarded there. */
	bool no_redirect;
	struct policy_request need; /* for models; the home fills in pieces */
};

struct ledger_grant {
	uint64_t request;
	uint32_t attempt;
	uint64_t prefill; /* runner ids; 0 for plain services */
	uint64_t decode;
	uint32_t pieces;
};

/* State of the request that has the idempotency key. */
enum record_state {
	RECORD_RUNNING,
	RECORD_DONE,
	RECORD_FAILED, /* ended, outcome unknown */
	/* In answers only: another data centre has the record or had it one to
	 * two minutes ago. Of the answer only request and data_centre are
	 * set. */
	RECORD_ELSEWHERE = 16,
};

struct ledger_duplicate {
	uint64_t request;
	enum record_state state;
	struct owner owner; /* instance that runs or ran it */
	bool owner_alive;
	uint64_t owner_request; /* the owner's identifier */
	uint64_t decode;	/* runner and stream, once known */
	char stream[LEDGER_STREAM_MAX];
	char data_centre[MEMBER_NAME_MAX]; /* RECORD_ELSEWHERE */
};

struct ledger_refusal {
	uint64_t request;
	enum result_code code;
	int64_t retry_after; /* microseconds */
};

/* Progress of a granted request. */
enum ledger_stage {
	STAGE_GRANTED,
	STAGE_PREFILL,
	STAGE_TRANSFER,
	STAGE_DECODE,
};

/* How a grant ended. */
enum release_reason {
	RELEASE_DONE,	   /* answered completely */
	RELEASE_CANCELLED, /* caller disconnected; the engine confirmed the
			      cancel */
	RELEASE_NOT_RUN,   /* no backend server received it */
	RELEASE_FAILED,	   /* outcome unknown */
};

/* A runner's report; the embedder polls it for the cell's home. A decode runner
 * gets no work before its streams have been listed too. */
struct ledger_report {
	uint64_t runner;
	bool reachable;
	bool leaving;
	uint32_t pieces_used;
	uint32_t running;
	uint32_t waiting;
	uint64_t queue_tokens;
	/* Rate while the runner works: over all prompts (prefill) or per stream
	 * (decode); 0 if unknown. */
	double tokens_per_s;
	int64_t age; /* microseconds since the runner measured it */
};

/* A stream in a runner's listing. */
struct ledger_stream {
	uint64_t runner;
	char stream[LEDGER_STREAM_MAX];
	struct owner owner;
	uint64_t request; /* the owner's identifier */
	uint32_t attempt;
	uint32_t pieces;
};

/* A runner in the platform's list. */
struct ledger_runner {
	uint64_t id;
	const char *pool;
	const char *data_centre;
	bool leaving;
};

/* Summed demand of a cell's requests. The output of a request is counted as the
 * expected number of tokens. */
struct ledger_demand {
	double requests;
	double prompt_tokens;
	double output_tokens;
	double pieces;
};

/* A cell that this instance is home to. */
struct ledger_cell {
	uint64_t id;
	const struct config_pool *prefill;
	const struct config_pool *decode;
	bool settled;
	/* Valid until the ledger is called again. */
	const struct policy_runner *runners;
	const uint32_t *grants; /* number of grants per runner, both roles */
	uint32_t runner_count;
	struct ledger_demand waiting;
	struct ledger_demand arrived; /* while this instance was home */
	double cached_tokens;	      /* of granted prompts, not recomputed */
};

struct ledger_ops {
	/* Holder's side. */
	void (*granted)(void *ctx, const struct ledger_grant *grant);
	void (*refused)(void *ctx, const struct ledger_refusal *refusal);
	void (*duplicate)(void *ctx, const struct ledger_duplicate *duplicate);
	/* The home has ended the grant: stop the request. */
	void (*revoked)(void *ctx, uint64_t request, uint32_t attempt);
	/* Home's side: cancel a stream on a runner, then call
	 * ledger_cancelled(). */
	void (*cancel)(void *ctx, uint64_t runner, const char *stream);
	/* The set of runners that this instance is home to, and polls, has
	 * changed. */
	void (*homes_changed)(void *ctx);
};

struct ledger_settings {
	int64_t settle;	       /* default 2 s */
	int64_t orphan_grace;  /* default 2 s: time in which a caller's retry
				  may adopt a dead holder's stream */
	int64_t cancel_repeat; /* default 250 ms */
	uint32_t records_max;  /* default 65,536 */
};

struct ledger;

struct ledger *ledger_create(struct clock *clock, struct membership *membership,
			     const struct ledger_settings *settings,
			     const struct transport *transport,
			     const struct ledger_ops *ops, void *ctx);
void ledger_destroy(struct ledger *ledger);
/* Whether the ledger accepts the configuration; depends on nothing else. */
bool ledger_check(const struct config *config, struct error *err);
/* Sets the config in force; the pointer must stay valid until the next call. */
bool ledger_configure(struct ledger *ledger, const struct config *config,
		      struct error *err);
/* Replaces the list of runners. */
void ledger_runners(struct ledger *ledger, const struct ledger_runner *runners,
		    size_t count);
void ledger_receive(struct ledger *ledger, uint64_t from, const void *data,
		    size_t size);
/* To be called on every change of membership. */
void ledger_member(struct ledger *ledger, const struct member *member);

/* Holder's side. */
void ledger_submit(struct ledger *ledger, const struct ledger_request *request);
/* The caller disconnected while waiting: no grant follows. */
void ledger_withdraw(struct ledger *ledger, uint64_t request);
void ledger_progress(struct ledger *ledger, uint64_t request,
		     enum ledger_stage stage, const char *stream);
void ledger_release(struct ledger *ledger, uint64_t request,
		    enum release_reason reason);
/* The attempt failed but the request continues: requests other runners.
 * Answered by granted or refused, with attempt + 1. */
void ledger_retry(struct ledger *ledger, uint64_t request, enum result_code why,
		  uint32_t tokens_so_far);

/* After a duplicate answer with a dead owner: takes over the running stream.
 * Answered by granted (decode is its runner, prefill is 0) or, if the stream is
 * gone, like a new request. Must be called within twice orphan_grace. */
void ledger_adopt(struct ledger *ledger, uint64_t request);

/* Home's side. */
bool ledger_is_home(const struct ledger *ledger, uint64_t runner);
void ledger_report(struct ledger *ledger, const struct ledger_report *report);
void ledger_streams(struct ledger *ledger, uint64_t runner,
		    const struct ledger_stream *streams, size_t count);
void ledger_cancelled(struct ledger *ledger, uint64_t runner,
		      const char *stream, bool done);
/* A call with stored false and no blocks says that events were lost; the
 * runner's cache then counts as empty. */
void ledger_cache_event(struct ledger *ledger, uint64_t runner,
			const uint64_t *blocks, size_t count, bool stored);
/* Hands queue, grants and records over to the next homes. Call it after
 * membership_leave() and exit once ledger_stats() reports no handovers. */
void ledger_drain(struct ledger *ledger);

/* Runner roles are in coord/order.h. */
/* Iterates over the cells that this instance is home to; cursor starts at 0. */
bool ledger_cell_next(const struct ledger *ledger, uint32_t *cursor,
		      struct ledger_cell *cell);
/* Gives the runner no new work until withheld is false, or until this instance
 * is no longer its home. */
void ledger_withhold(struct ledger *ledger, uint64_t runner, bool withheld);

/* Counters for the status page and for benchmarks. */
struct ledger_stats {
	uint32_t waiting;
	uint32_t grants; /* as home */
	uint32_t held;	 /* as holder */
	uint32_t records;
	uint32_t cells;
	uint64_t cancels;
	uint32_t handovers; /* announcements not yet acknowledged */
	uint64_t sent_bytes;
	uint64_t sent_messages;
};
void ledger_stats(const struct ledger *ledger, struct ledger_stats *stats);

#endif
