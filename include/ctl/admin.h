/*
 * admin.h - calls to the admin address of a daemon
 *
 * DESCRIPTION
 *	An address list is tried in order until one daemon answers. A request
 *	that may have reached a daemon is not sent to the next.
 *
 * ERRORS
 *	The code that the daemon gives in its answer; RESULT_IO when none was
 *	reached, RESULT_LOG_UNKNOWN when a POST was sent and not answered.
 */
#ifndef CTL_ADMIN_H
#define CTL_ADMIN_H

#include <jansson.h>
#include <stddef.h>

#include "ctl/ctl.h"

struct admin_request {
	const char *method;
	const char *path;
	const void *body;
	size_t body_size;
};

/* The answer's JSON, or NULL; free with json_decref(). */
json_t *admin_call(struct ctl *ctl, const char *addresses,
		   const struct admin_request *request, struct error *err);
json_t *admin_get(struct ctl *ctl, const char *addresses, const char *path,
		  struct error *err);

/* Fields of an answer, with a plain value when they are not there. */
const char *answer_text(const json_t *answer, const char *name);
json_int_t answer_number(const json_t *answer, const char *name);

#endif
