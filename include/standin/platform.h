/*
 * platform.h - the platform's stand-in: log, weights, instance list, faults
 *
 * DESCRIPTION
 *	Speaks what docs/PROTOCOLS.md says of the platform. Nothing is kept on
 *	disk. Every answer goes through platform_answer(), which applies the
 *	faults that are set; /faults and /ledger are never faulted.
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
	unsigned int append_rate; /* appends a second; 0: no limit */
	int64_t retain_usec;	  /* age at which records go; 0: never */
	uint64_t retain_records;  /* kept in each stream; 0: all */
	int64_t list_lag_usec;
	double weight_rate; /* bytes a second, shared by all readers */
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
	GQueue answers; /* of struct answer, waiting for their time */
	int64_t weights_free_at;
};

void platform_faults_init(struct platform *platform);
/* Answers after delay_usec and what the faults add; takes over the body. */
void platform_answer(struct platform *platform, struct web_request *request,
		     int status, json_t *body, int64_t delay_usec);
/* As platform_answer() for a call that had an effect, whose answer the fault
 * lose_answer cuts. */
void platform_answer_effect(struct platform *platform,
			    struct web_request *request, int status,
			    json_t *body);
void platform_answer_error(struct platform *platform,
			   struct web_request *request, int status,
			   const char *text);
/* Closes the connection when the fault cut is set. */
bool platform_cut(struct platform *platform, struct web_request *request);
void platform_answers_clear(struct platform *platform);

struct platform_log *platform_log_create(struct platform *platform);
void platform_log_destroy(struct platform_log *log);
void platform_log_handle(void *ctx, struct web_request *request);
/* The ledger's fields. */
json_t *platform_log_ledger(const struct platform_log *log);

struct platform_list *platform_list_create(struct platform *platform);
void platform_list_destroy(struct platform_list *list);
void platform_list_handle(void *ctx, struct web_request *request);

#endif
