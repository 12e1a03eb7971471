/*
 * reply.h - JSON requests and answers of the stand-ins
 */
#ifndef STANDIN_REPLY_H
#define STANDIN_REPLY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "web/server.h"

struct error;
struct fault_set;

/* Answers with an object and gives up the caller's reference to it. */
void reply_json(struct web_request *request, int status, json_t *object);
/* Answers {"error": text}. */
void reply_error(struct web_request *request, int status, const char *text);
/* 503, with the reason in "refused": nothing was run. */
void reply_refused(struct web_request *request, const char *reason);
/* The body as a JSON object; NULL after answering 400. */
json_t *request_json(struct web_request *request);
bool request_is(const struct web_request *request, const char *method);
/* What follows the prefix and a slash in the path, copied; false when nothing
 * or too much does. */
bool request_tail(const struct web_request *request, const char *prefix,
		  char *tail, size_t size);
/* Answers POST /faults. */
void reply_fault(struct web_request *request, struct fault_set *faults);

/* An identifier as 16 hex digits, and back; id_from_json() is false when the
 * member is not one. */
json_t *json_from_id(uint64_t id);
bool id_from_json(const json_t *value, uint64_t *id);

#endif
