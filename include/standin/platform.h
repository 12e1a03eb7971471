/*
 * platform.h - stand-in for the platform: log, weights, instance list, faults
 *
 * DESCRIPTION
 *	Implements the platform's side of docs/PROTOCOLS.md and keeps all state
 *	in memory. platform_answer() applies the fault slow,
 *	platform_answer_effect() also lose_answer, and the handlers apply the
 *	others. /faults and /ledger are not subject to faults.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "standin/fault.h"

#define PLATFORM_RECORD_MAX (512u << 10)

struct loop;
struct platform_list;
struct platform_log;
struct web_request;
struct web_server;

struct platform_settings {
	const char *listen;
	unsigned int append_rate; /* per second, all streams; 0: no limit */
	int64_t retain_usec;	  /* older records are dropped; 0: never */
	uint64_t retain_records;  /* kept per stream; 0: all */
	int64_t list_lag_usec;
	double weight_rate; /* bytes per second, shared by all readers */
};

enum platform_fault {
	PLATFORM_OUTAGE,
	PLATFORM_SLOW,
	PLATFORM_LOSE_ANSWER,
	PLATFORM_LAG,
	PLATFORM_CUT,
};

struct platform {
	struct platform_settings settings;
	struct clock *clock;
	struct loop *loop;
	struct web_server *server;
	struct platform_log *log;
	struct platform_list *list;
	struct fault_set faults;
	GQueue deferred_answers; /* of struct deferred_answer */
	int64_t weights_busy_until;
};

void platform_faults_init(struct platform *platform);
/* Answers after delay_usec plus the delay of the fault slow. Takes ownership
 * of the body. */
void platform_answer(struct platform *platform, struct web_request *request,
		     int status, json_t *body, int64_t delay_usec);
/* As platform_answer(), without a delay of its own, for a call that changed
 * state: the fault lose_answer cuts the connection instead of answering. */
void platform_answer_effect(struct platform *platform,
			    struct web_request *request, int status,
			    json_t *body);
void platform_answer_error(struct platform *platform,
			   struct web_request *request, int status,
			   const char *text);
/* If the fault cut is set, cuts the connection and returns true. */
bool platform_apply_cut(struct platform *platform, struct web_request *request);
void platform_answers_clear(struct platform *platform);

struct platform_log *platform_log_create(struct platform *platform);
void platform_log_destroy(struct platform_log *log);
void platform_log_handle(void *ctx, struct web_request *request);
/* Returns the counters of GET /ledger as a new reference. */
json_t *platform_log_ledger(const struct platform_log *log);

struct platform_list *platform_list_create(struct platform *platform);
void platform_list_destroy(struct platform_list *list);
void platform_list_handle(void *ctx, struct web_request *request);

#endif
