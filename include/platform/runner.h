/*
 * runner.h - calls to backend servers as the platform's servers take them
 *
 * DESCRIPTION
 *	Each call has a connection of its own, which it closes: nothing of one
 *	answer can then be taken for another's, and no call meets a connection
 *	that the server was about to close. A connection takes 1 ms; at 80 calls
 *	a second that is a thousandth of the servers' time.
 */
#ifndef PLATFORM_RUNNER_H
#define PLATFORM_RUNNER_H

#include "forward/backend.h"

struct runners;

/* client and clock must outlive it. */
struct runners *runners_create(struct web_client *client,
			       const struct clock *clock);
/* Calls under way must have been cancelled, but for those nobody waits for. */
void runners_destroy(struct runners *runners);
struct backend_ops runners_ops(struct runners *runners);

/* "3fa09c41b7d5" out of {"handle":"3fa09c41b7d5",...}; exposed for tests. */
bool runner_text_read(const void *body, size_t size, const char *name,
		      char *text, size_t text_size);

#endif
