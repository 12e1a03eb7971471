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

/* Answers with a JSON object and takes ownership of it. */
void reply_json(struct web_request *request, int status, json_t *object);
/* Answers {"error": text}. */
void reply_error(struct web_request *request, int status, const char *text);
/* Answers 503 with the reason in "refused": the call was not run. */
void reply_refused(struct web_request *request, const char *reason);
/* Parses the body as a JSON object. If it is not one, answers 400 and returns
 * NULL. */
json_t *request_parse_json(struct web_request *request);
bool request_method_is(const struct web_request *request, const char *method);
/* Copies the part of the path after the prefix and a slash; false if it is
 * empty or does not fit. */
bool request_path_suffix(const struct web_request *request, const char *prefix,
			 char *suffix, size_t size);
/* Sets the fault that the body of a POST describes, and answers. */
void reply_fault_set(struct web_request *request, struct fault_set *faults);

/* An identifier as a JSON string of 16 hex digits, and back; id_from_json()
 * returns false if the value is not one. */
json_t *json_from_id(uint64_t id);
bool id_from_json(const json_t *value, uint64_t *id);

#endif
