/*
 * ledger.h - who may use which runner: queue, grants and request records
 *
 * DESCRIPTION
 *	A cell is the runners of one service's pools in one data centre. The
 *	member with the highest rendezvous weight for the cell is its home: it
 *	alone queues, places (through the policy in force) and grants. The
 *	second highest is its replica and keeps a copy of the request records;
 *	when the home goes, the replica is the next home. State is soft: after a
 *	change of home each instance announces what it holds, and a new home
 *	grants nothing until all live instances have announced or one settling
 *	time has passed.
 *
 *	One round trip from an instance to the home finds out whether the
 *	request's key is known, reserves decode memory, and names the runners.
 *	Every grant ends by ledger_release(), or by the death of its holder.
 *
 *	Each module instance acts both as holder and as home; all traffic goes
 *	through the transport, the own instance included. Messages may be lost,
 *	doubled, late or out of order: each is idempotent and is repeated until
 *	it is acknowledged. docs/design/ledger.md has the protocol.
 *
 *	No callback is called from within a call of the holder's side.
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

/* What the request asks for. service must be in the config in force. */
struct ledger_request {
	uint64_t request; /* unique: the holder's handle for the callbacks */
	const char *service;
	uint64_t key; /* hash of organisation, service and Idempotency-Key;
			 0 when the caller gave none */
	uint64_t fingerprint; /* hash of method, path and body */
	bool idempotent;
	/* Came from another data centre, or could not be sent there: is not
	 * answered by RECORD_ELSEWHERE. */
	bool no_redirect;
	struct policy_request need; /* for models; pieces is filled in */
};

struct ledger_grant {
	uint64_t request;
	uint32_t attempt;
	uint64_t prefill; /* runner ids; 0 for plain services */
	uint64_t decode;
	uint32_t pieces;
};

/* The key is known already. */
enum record_state {
	RECORD_RUNNING,
	RECORD_DONE,
	RECORD_FAILED, /* ended with outcome unknown */
	/* In answers only: another data centre has the record, or had it a
	 * minute or two ago; nothing else of the answer is filled in. */
	RECORD_ELSEWHERE = 16,
};

struct ledger_duplicate {
	uint64_t request;
	enum record_state state;
	struct owner owner; /* who runs or ran it */
	bool owner_alive;
	uint64_t owner_request; /* its handle there */
	uint64_t decode;	/* runner and stream, once known */
	char stream[LEDGER_STREAM_MAX];
	char data_centre[MEMBER_NAME_MAX]; /* RECORD_ELSEWHERE */
};

struct ledger_refusal {
	uint64_t request;
	enum result_code code;
	int64_t retry_after; /* microseconds */
};

/* Where a granted request has got to; carried by the record and replica. */
enum ledger_stage {
	STAGE_GRANTED,
	STAGE_PREFILL,
	STAGE_TRANSFER,
	STAGE_DECODE,
};

/* How a grant ended. */
enum release_reason {
	RELEASE_DONE,	   /* answered whole */
	RELEASE_CANCELLED, /* caller gone; the engine has confirmed */
	RELEASE_NOT_RUN,   /* nothing reached a backend server */
	RELEASE_FAILED,	   /* outcome unknown */
};

/* What a runner reports (polled by the cell's home through the embedder). A
 * decode runner gets no work before its streams were listed as well. */
struct ledger_report {
	uint64_t runner;
	bool reachable;
	bool leaving;
	uint32_t pieces_used;
	uint32_t running;
	uint32_t waiting;
	uint64_t queue_tokens;
	/* While it works: of all prompts (prefill), of one stream (decode); 0
	 * unknown. */
	double tokens_per_s;
	int64_t age; /* microseconds since the runner took it */
};

/* A stream that a runner lists as existing. */
struct ledger_stream {
	uint64_t runner;
	char stream[LEDGER_STREAM_MAX];
	struct owner owner;
	uint64_t request; /* the owner's handle */
	uint32_t attempt;
	uint32_t pieces;
};

/* A runner as the platform's list names it. */
struct ledger_runner {
	uint64_t id;
	const char *pool;
	const char *data_centre;
	bool leaving;
};

/* Requests of a cell and what they ask for, answers by their mean length. */
struct ledger_demand {
	double requests;
	double prompt_tokens;
	double output_tokens;
	double pieces;
};

/* A cell of runners that this instance is home to. */
struct ledger_cell {
	uint64_t id;
	const struct config_pool *prefill;
	const struct config_pool *decode;
	bool settled;
	/* Valid until the ledger is called again. */
	const struct policy_runner *runners;
	const uint32_t *grants; /* that name each runner, for either role */
	uint32_t runner_count;
	struct ledger_demand waiting;
	struct ledger_demand arrived; /* since this is the home */
	double cached_tokens; /* of granted prompts, not computed again */
};

struct ledger_ops {
	/* Holder's side. */
	void (*granted)(void *ctx, const struct ledger_grant *grant);
	void (*refused)(void *ctx, const struct ledger_refusal *refusal);
	void (*duplicate)(void *ctx, const struct ledger_duplicate *duplicate);
	/* The home has ended the grant: stop all work on it. */
	void (*revoked)(void *ctx, uint64_t request, uint32_t attempt);
	/* Home's side: end a stream on a runner, then ledger_cancelled(). */
	void (*cancel)(void *ctx, uint64_t runner, const char *stream);
	/* The runners that this instance is home to changed: which to poll. */
	void (*homes_changed)(void *ctx);
};

struct ledger_settings {
	int64_t settle;	       /* default 2 s */
	int64_t orphan_grace;  /* default 2 s: a dead holder's stream may be
				  resumed by the caller's retry this long */
	int64_t cancel_repeat; /* default 250 ms */
	uint32_t records_max;  /* default 65,536 */
};

struct ledger;

struct ledger *ledger_create(struct clock *clock, struct membership *membership,
			     const struct ledger_settings *settings,
			     const struct transport *transport,
			     const struct ledger_ops *ops, void *ctx);
void ledger_destroy(struct ledger *ledger);
/* Whether a ledger can work by this configuration; the same everywhere. */
bool ledger_check(const struct config *config, struct error *err);
/* The config in force; the pointer must live until the next call. */
bool ledger_configure(struct ledger *ledger, const struct config *config,
		      struct error *err);
/* Replaces the list of runners known. */
void ledger_runners(struct ledger *ledger, const struct ledger_runner *runners,
		    size_t count);
void ledger_receive(struct ledger *ledger, uint64_t from, const void *data,
		    size_t size);
/* Call for every change of membership. */
void ledger_member(struct ledger *ledger, const struct member *member);

/* Holder's side. */
void ledger_submit(struct ledger *ledger, const struct ledger_request *request);
/* The caller went away while waiting: nothing will be granted after this. */
void ledger_withdraw(struct ledger *ledger, uint64_t request);
void ledger_progress(struct ledger *ledger, uint64_t request,
		     enum ledger_stage stage, const char *stream);
void ledger_release(struct ledger *ledger, uint64_t request,
		    enum release_reason reason);
/* The attempt failed but the request goes on: other runners are asked for,
 * answered by granted or refused with attempt + 1. */
void ledger_retry(struct ledger *ledger, uint64_t request, enum result_code why,
		  uint32_t tokens_so_far);

/* After a duplicate answer whose owner is dead: takes the running stream over.
 * Answered by granted (decode is its runner, prefill is 0) or, when it was
 * lost meanwhile, as by a new ask. Call it within twice orphan_grace. */
void ledger_adopt(struct ledger *ledger, uint64_t request);

/* Home's side. */
bool ledger_is_home(const struct ledger *ledger, uint64_t runner);
void ledger_report(struct ledger *ledger, const struct ledger_report *report);
void ledger_streams(struct ledger *ledger, uint64_t runner,
		    const struct ledger_stream *streams, size_t count);
void ledger_cancelled(struct ledger *ledger, uint64_t runner,
		      const char *stream, bool done);
/* stored false with no blocks: events were lost, nothing is believed cached. */
void ledger_cache_event(struct ledger *ledger, uint64_t runner,
			const uint64_t *blocks, size_t count, bool stored);
/* Hands queue, grants and records to the next homes; call it after
 * membership_leave(), and stay until ledger_stats() shows no handover left. */
void ledger_drain(struct ledger *ledger);

/* Roles of runners: coord/order.h. */
/* Walks the cells of runners that this is home to; cursor starts at 0. */
bool ledger_cell_next(const struct ledger *ledger, uint32_t *cursor,
		      struct ledger_cell *cell);
/* The runner is given no new work until it is let go, or this is no longer
 * home to it. */
void ledger_withhold(struct ledger *ledger, uint64_t runner, bool withheld);

/* For the operators' view. */
struct ledger_stats {
	uint32_t waiting;
	uint32_t grants; /* given as home */
	uint32_t held;	 /* held as holder */
	uint32_t records;
	uint32_t cells;
	uint64_t cancels;
	uint32_t handovers; /* announcements not yet acknowledged */
	uint64_t sent_bytes;
	uint64_t sent_messages;
};
void ledger_stats(const struct ledger *ledger, struct ledger_stats *stats);

#endif
