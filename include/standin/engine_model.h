/*
 * engine_model.h - timing, memory and batching of an engine, without sockets
 *
 * DESCRIPTION
 *	One runner in the prefill or decode role. engine_prefill.h and
 *	engine_stream.h implement the two roles. This file holds what they
 *	share: parameters, memory in pieces, faults, the delayed load report and
 *	the ledger, which counts the work actually done. All times come from the
 *	given clock, so that tests can use a paused one. The formulas are in
 *	docs/design/standins.md.
 */
#ifndef STANDIN_ENGINE_MODEL_H
#define STANDIN_ENGINE_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/id.h"
#include "standin/fault.h"

#define ENGINE_NAME_SIZE 48u
#define ENGINE_MODEL_MAX 64u
#define ENGINE_OBJECTS_MAX 65536u
/* Maximum time that is caught up after the event loop was delayed. An engine
 * that was paused for longer computed nothing in the rest of the time. */
#define ENGINE_CATCHUP_MAX_USEC (100 * USEC_PER_MSEC)

struct engine_cache;
struct engine_link;
struct prefill;
struct table;

enum engine_role {
	ENGINE_PREFILL,
	ENGINE_DECODE,
};

enum engine_refusal {
	ENGINE_ACCEPTED,
	ENGINE_LEAVING,
	ENGINE_FULL,
	ENGINE_OTHER_ROLE,
};

enum engine_fault {
	ENGINE_REFUSE,
	ENGINE_STALL_TRANSFER,
	ENGINE_DROP_STREAM,
	ENGINE_LOSE_STREAM,
	ENGINE_LOSE_ANSWER,
	ENGINE_SLOW,
	ENGINE_FREEZE_REPORTS,
	ENGINE_EVENT_GAP,
	ENGINE_LATE_ANSWER,
	ENGINE_FAULT_LEAVING,
};

/* Rates are per second; times are microseconds after scaling. */
struct engine_params {
	enum engine_role role;
	uint32_t pieces;       /* of memory */
	uint32_t piece_tokens; /* tokens a piece holds */
	uint32_t slots;	       /* decode: concurrent streams */
	uint32_t queue;	       /* prefill: maximum number of waiting prompts */
	double prefill_tokens_per_s;
	double decode_tokens_per_s; /* of a stream alone in its batch */
	double kv_bytes_per_token;
	double link_bytes_per_s;
	int64_t hold_usec;   /* lifetime of a prefill result */
	int64_t resume_usec; /* lifetime without a reader; 0: no limit */
	int64_t report_lag_usec;
	int64_t event_lag_usec;
	uint32_t event_gap_percent;
	bool checks_fencing;
	uint32_t cache_blocks;
	double time_scale; /* also divides the delay of late_answer */
	uint32_t seed;
};

/* A caller's request for a prefill or a decode. */
struct engine_job {
	uint64_t request;
	struct owner owner;
	uint32_t attempt;
	uint32_t priority; /* lower is served first */
	uint32_t prompt_tokens;
	uint32_t output_max; /* tokens, not counting those before output_from */
	uint32_t output_from; /* offset of the first token to compute */
};

/* A KV cache that one engine fetches from another. */
struct engine_kv {
	uint64_t prompt; /* id_hash() of the prompt's text */
	uint32_t length; /* tokens of the answer; output_max may cut it short */
	double bytes;
};

/* The load at the time of the last report. */
struct engine_report {
	int64_t taken_at;
	enum engine_role role;
	bool leaving;
	uint32_t pieces_used;
	uint32_t running;
	uint32_t waiting;
	uint64_t queue_tokens;
	double tokens_per_s;
};

/* Work done for one request. */
struct request_stats {
	uint64_t request;
	uint32_t prefills; /* prefills whose computation started */
	uint32_t decodes;  /* decodes that had memory reserved */
	uint32_t finished; /* decodes that computed their last token */
	uint32_t cancelled;
	uint64_t prefill_tokens; /* tokens computed */
	uint64_t useful_tokens;	 /* computed for the first result fetched */
};

struct engine_ledger {
	uint64_t prefills;
	uint64_t prefill_tokens;
	uint64_t wasted_tokens;
	uint64_t decodes;
	uint64_t tokens;
	uint64_t refused_fences;
	GArray *fences;	      /* uint64_t, as accepted */
	GHashTable *requests; /* &stats->request -> stats */
};

struct engine_model {
	struct clock *clock;
	struct engine_params params;
	enum engine_role role;
	bool leaving;
	char loaded[ENGINE_MODEL_MAX];
	uint64_t fence; /* highest fencing number seen */
	uint32_t salt;	/* makes object names unique across restarts */
	struct fault_set faults;
	struct engine_cache *cache;
	struct engine_link *link;
	struct engine_ledger ledger;
	struct engine_report report;
	struct timer report_timer;
	/* Prefill. */
	struct table *prefills;
	GQueue waiting; /* struct prefill *, head is next */
	struct prefill *computing;
	struct timer compute_timer;
	/* Decode. */
	struct table *streams;
	uint32_t pieces_used;
	uint32_t batch;	  /* streams in the current step */
	int64_t step_due; /* scheduled end of the step */
	struct timer step_timer;
};

/* Names as in the protocol. */
const char *engine_role_name(enum engine_role role);
bool engine_role_parse(const char *text, enum engine_role *role);
const char *engine_refusal_name(enum engine_refusal refusal);

/* Divides all times by params->time_scale and multiplies all rates by it. */
void engine_params_scale(struct engine_params *params);

struct engine_model *engine_create(struct clock *clock,
				   const struct engine_params *params);
void engine_destroy(struct engine_model *model);
/* Returns why new work of a role is refused, or ENGINE_ACCEPTED. Takes one use
 * of the fault refuse. */
enum engine_refusal engine_admit(struct engine_model *model,
				 enum engine_role role);
/* Returns whether a graceful shutdown has nothing left to wait for. */
bool engine_idle(const struct engine_model *model);
void engine_leave(struct engine_model *model);
bool engine_is_leaving(const struct engine_model *model);
/* Factor by which all work takes longer: 1, or the value of the fault slow. */
double engine_slowdown(const struct engine_model *model);
uint32_t engine_pieces(const struct engine_model *model, uint64_t tokens);
/* Applies an order. Returns false if fencing is checked and a higher fencing
 * number was seen. A NULL role or loaded leaves it unchanged. */
bool engine_order(struct engine_model *model, const enum engine_role *role,
		  const char *loaded, uint64_t fence);
struct request_stats *engine_request_stats(struct engine_model *model,
					   uint64_t request);
/* Converts an object's handle to its name and back. The kind is 'p' (prefill)
 * or 's' (stream). HANDLE_NONE if the name was not made by this engine. */
void engine_name_write(const struct engine_model *model, char kind,
		       uint64_t handle, char name[ENGINE_NAME_SIZE]);
uint64_t engine_name_read(const struct engine_model *model, char kind,
			  const char *name);
/* The load report that readers see. The fault freeze_reports stops updates. */
const struct engine_report *engine_report(const struct engine_model *model);

#endif
