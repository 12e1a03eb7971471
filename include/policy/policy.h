/*
 * policy.h - the interface of a routing policy
 *
 * DESCRIPTION
 *	A policy decides for one cell (the runners of one service's prefill and
 *	decode pools in one data centre), at the instance that is the cell's
 *	home. It is called for the waiting requests in the order of its rank(),
 *	and decides for each: start now on the given runners, wait, or refuse.
 *	It does no I/O and uses no clock but view->now. It holds only state that
 *	may be lost. Only the home changes the tables in the view.
 *
 *	Policies are found by name in the sorted table of policy/table.c. A
 *	change of policy creates the new one and destroys the old one; waiting
 *	requests stay in the queue and running ones keep their grants.
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
	/* The last report of the runner, and when it arrived. */
	int64_t reported_at;
	uint32_t reported_pieces;	/* decode: pieces in use */
	uint32_t reported_running;	/* requests on it */
	uint32_t reported_waiting;	/* requests queued inside it */
	uint64_t reported_queue_tokens; /* prefill: tokens not yet computed */
	/* Granted by the home and not known to be released. */
	uint32_t granted_pieces;
	uint32_t granted_running;
	uint32_t pieces; /* total */
	uint32_t slots;	 /* total */
	/* Prefill: when the granted prefills are expected to be done. */
	int64_t busy_until;
	/* Link: when the granted transfers are expected to be done. */
	int64_t link_until;
	/* Link: when they would be done if each had begun at its grant, or when
	 * the previous one ended. This is earlier, as the link is idle while
	 * prompts are computed. */
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
	uint32_t waiting; /* requests in the queue, including this one */
	/* Estimated number of the request's blocks in the runner's cache. */
	uint32_t (*cached_blocks)(void *ctx, uint32_t runner,
				  const struct policy_request *request);
	/* Mean recent output length of a class, in tokens. */
	double (*output_tokens)(void *ctx, enum request_class class);
	/* When so many pieces of the decode runner are expected to be free. */
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
	int64_t retry_at;      /* VERDICT_WAIT: when to decide again, or
				  CLOCK_NEVER: when something is released */
	int64_t retry_after;   /* VERDICT_REFUSE: microseconds */
	enum result_code code; /* VERDICT_REFUSE: a code that means not run */
	bool reserve; /* the ledger counts the pieces and never exceeds them */
	/* VERDICT_WAIT: index of the decode runner that later requests do not
	 * use in this pass, or RUNNER_NONE. */
	uint32_t hold;
};

/* A parameter of a policy; min and max are allowed values. */
struct policy_param {
	const char *name;
	double min;
	double max;
	double fallback; /* the default */
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
	/* Lower goes first. It is called whenever the request is considered,
	 * and the heads of the classes are compared at each decision. Within a
	 * class a rank may rise with time but not fall. */
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
/* Whether the policy exists and has all the given parameters, with each value
 * in its range. The error names the field of the file. */
bool policy_check(const struct config_policy *settings, struct error *err);
/* The value of a parameter of the policy, or its default when the settings do
 * not contain it. */
double policy_value(const struct policy_ops *ops,
		    const struct config_policy *settings, const char *name);

#endif
