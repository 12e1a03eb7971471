/*
 * runner.h - client of the platform's backend servers
 *
 * DESCRIPTION
 *	Each call opens a new connection and closes it afterwards, so that the
 *	bytes of one answer cannot be read as another's, and no call uses a
 *	connection that the server is about to close. Connecting takes 1 ms; at
 *	80 calls per second that is a thousandth of the servers' time.
 */
#ifndef PLATFORM_RUNNER_H
#define PLATFORM_RUNNER_H

#include "forward/backend.h"

struct runners;

/* client and clock must outlive the object. */
struct runners *runners_create(struct web_client *client,
			       const struct clock *clock);
/* Calls in progress must have been cancelled, except those without a callback
 * (unreserve, free_result). */
void runners_destroy(struct runners *runners);
struct backend_ops runners_ops(struct runners *runners);

/* Copies a string member of a JSON object, as "3fa09c41b7d5" from
 * {"handle":"3fa09c41b7d5",...}. Exposed for tests. */
bool runner_text_read(const void *body, size_t size, const char *name,
		      char *text, size_t text_size);

#endif
