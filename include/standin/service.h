/*
 * service.h - stand-in for a plain service that counts its runs
 *
 * DESCRIPTION
 *	Answers every method and path after a fixed time, and counts runs by
 *	the header idempotency-key, else x-request-id. A call that is not
 *	refused counts as run on arrival, even if its answer fails or is lost.
 *	See docs/PROTOCOLS.md.
 */
#ifndef STANDIN_SERVICE_H
#define STANDIN_SERVICE_H

#include <stdbool.h>
#include <stdint.h>

struct clock;
struct service;
struct web_server;

struct service *service_create(struct clock *clock, struct web_server *server,
			       int64_t work_usec);
/* Destroy the server first, because it calls back into the service. */
void service_destroy(struct service *service);
/* Refuses all further calls as not run. */
void service_leave(struct service *service);
/* Whether all accepted calls have ended. */
bool service_idle(const struct service *service);

#endif
