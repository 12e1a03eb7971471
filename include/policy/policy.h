/*
 * policy.h - the interface of a routing policy
 *
 * DESCRIPTION
 *	A policy decides for one cell (the runners of one service's prefill and
 *	decode pools in one data centre), at the instance that is home to the
 *	cell. It is called with the requests that wait, in the order that its
 *	own rank() gives, and answers for each: start now on these runners,
 *	wait, or refuse. It does no I/O and knows no time but view->now. It
 *	holds only state that may be lost. The home alone changes the tables in
 *	the view.
 *
 *	Policies are found by name in the sorted table of policy/table.c. A swap
 *	creates the new one and destroys the old one; waiting requests stay in
 *	the queue and running ones keep their grants.
 *
 *	docs/POLICY-GUIDE.md shows how to write one.
 */
#ifndef POLICY_POLICY_H
#define POLICY_POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "config/config.h"

#define RUNNER_NONE UINT32_MAX
#define PREFIX_BLOCK_TOKENS 256
#define PREFIX_BLOCKS_MAX 64

/* One runner as its home sees it. */
struct policy_runner {
	uint64_t id;
	enum pool_role role;
	bool usable; /* live, not leaving, circuit closed */
	bool held;   /* a request ahead in the queue waits for its memory */
	/* What the runner last reported, and when (clock time of arrival). */
	int64_t reported_at;
	uint32_t reported_pieces;	/* decode: pieces in use */
	uint32_t reported_running;	/* requests on it */
	uint32_t reported_waiting;	/* requests queued inside it */
	uint64_t reported_queue_tokens; /* prefill: tokens not yet computed */
	/* What the home has granted and not yet seen released. */
	uint32_t granted_pieces;
	uint32_t granted_running;
	uint32_t pieces; /* total */
	uint32_t slots;	 /* total */
	/* Prefill: when the work granted so far is expected to be done. */
	int64_t busy_until;
	/* Link: when the transfers granted so far are expected to be done. */
	int64_t link_until;
	/* Link: when they would be done had each begun when it was granted or
	 * when the one before ended. The link stands idle while prompts are
	 * computed, so this is sooner. */
	int64_t link_free;
	double prefill_tokens_per_s; /* as observed, else as configured */
	double decode_tokens_per_s;
};

/* One waiting request. */
struct policy_request {
	uint64_t id;
	enum request_class class;
	int64_t arrived;
	int64_t deadline;	/* CLOCK_NEVER when none */
	int64_t first_token_by; /* CLOCK_NEVER when no target */
	uint32_t prompt_tokens;
	uint32_t output_tokens_max;
	uint32_t pieces; /* ceil((prompt + max output) / piece) */
	uint64_t organisation;
	uint32_t attempt; /* 0 at first */
	/* Chained hashes of the prompt's blocks of PREFIX_BLOCK_TOKENS. */
	uint32_t block_count;
	uint64_t blocks[PREFIX_BLOCKS_MAX];
};

struct policy_view {
	int64_t now;
	const struct config_pool *prefill_pool;
	const struct config_pool *decode_pool;
	const struct policy_runner *runners; /* both roles */
	uint32_t runner_count;
	uint32_t waiting; /* requests in the queue, this one included */
	/* Blocks of the request that the runner is believed to have cached. */
	uint32_t (*cached_blocks)(void *ctx, uint32_t runner,
				  const struct policy_request *request);
	/* Mean output length seen of late for a class, in tokens. */
	double (*output_tokens)(void *ctx, enum request_class class);
	/* When the n-th piece from now on decode runner is expected free. */
	int64_t (*pieces_free_at)(void *ctx, uint32_t runner, uint32_t pieces);
	void *ctx;
};

enum verdict {
	VERDICT_START,
	VERDICT_WAIT,
	VERDICT_REFUSE,
};

struct placement {
	uint32_t prefill; /* index into view->runners */
	uint32_t decode;
	int64_t again_at;      /* VERDICT_WAIT: ask again then, or CLOCK_NEVER:
				  when something is released */
	int64_t retry_after;   /* VERDICT_REFUSE: microseconds */
	enum result_code code; /* VERDICT_REFUSE: a code that means not run */
	bool reserve; /* count the pieces in the ledger and never overfill */
	/* VERDICT_WAIT: the decode runner, as an index, that requests behind
	 * this one leave alone in this pass, or RUNNER_NONE. */
	uint32_t hold;
};

/* A parameter that a policy knows; both ends of the range are allowed. */
struct policy_param {
	const char *name;
	double min;
	double max;
	double fallback; /* when the file does not give it */
	const char *help;
};

struct policy_ops {
	const char *name;
	const char *summary;
	const struct policy_param *params;
	size_t param_count;
	void *(*create)(const struct config_policy *settings,
			struct error *err);
	void (*destroy)(void *state);
	/* Lower goes first. It is asked for again whenever the request is
	 * looked at: within a class it may rise with time, not fall; the heads
	 * of the classes are compared anew at each decision. */
	int64_t (*rank)(void *state, const struct policy_view *view,
			const struct policy_request *request);
	enum verdict (*place)(void *state, const struct policy_view *view,
			      const struct policy_request *request,
			      struct placement *placement);
};

/* The policy of that name, or NULL with RESULT_BAD_CONFIG. */
const struct policy_ops *policy_find(const char *name, struct error *err);
/* All policies, sorted by name. */
const struct policy_ops *const *policy_all(size_t *count);
/* Whether the policy is known and takes all the parameters that are given, each
 * within its range; the error names the field of the file. */
bool policy_check(const struct config_policy *settings, struct error *err);
/* The value of one of the policy's parameters, or its default when the file
 * does not give it. */
double policy_value(const struct policy_ops *ops,
		    const struct config_policy *settings, const char *name);

#endif
