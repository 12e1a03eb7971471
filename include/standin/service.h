/*
 * service.h - a plain service that counts what it ran
 *
 * DESCRIPTION
 *	Answers every method and path after a fixed time, and counts runs by
 *	the header idempotency-key, else x-request-id. A call counts as run from
 *	its arrival on, also when its answer fails or is lost. See
 *	docs/PROTOCOLS.md.
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
/* Destroy the server first: it calls back. */
void service_destroy(struct service *service);
/* From now on new calls are refused as not run. */
void service_leave(struct service *service);
/* Whether no answer is owed. */
bool service_idle(const struct service *service);

#endif
