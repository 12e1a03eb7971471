/*
 * admin.h - requests to the admin address of a daemon
 *
 * DESCRIPTION
 *	The addresses of a list, separated by commas, are tried in order until
 *	one daemon answers. Of the requests that may have reached a daemon, only
 *	a GET is sent to the next address.
 *
 * ERRORS
 *	The result code in the daemon's answer; RESULT_IO when no daemon was
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

/* Return the JSON of the answer, or NULL; free with json_decref(). */
json_t *admin_call(struct ctl *ctl, const char *addresses,
		   const struct admin_request *request, struct error *err);
json_t *admin_get(struct ctl *ctl, const char *addresses, const char *path,
		  struct error *err);

/* A string or integer field of a JSON object; "" or 0 when it is absent. */
const char *object_text(const json_t *object, const char *name);
json_int_t object_number(const json_t *object, const char *name);

#endif
