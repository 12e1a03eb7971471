/*
 * pressure.c - what backend servers say of themselves in their answers
 */
#include "request.h"

#include "common/log.h"

static void limit_log(const struct forward *forward, uint64_t server,
		      double before)
{
	const struct forward_parts *parts = &forward->parts;
	const struct backend *backend = fleet_find(parts->fleet, server);

	log_event(
		LOG_NOTICE, "backend_limit",
		LOG_S("backend", backend ? backend->info.id : ""),
		LOG_D("born", backend ? backend->info.born : 0),
		LOG_F("per_s", backpressure_limit(parts->backpressure, server)),
		LOG_F("before", before), LOG_S("from", "answer"));
}

void pressure_signals(void *ctx, uint64_t server,
		      const struct backpressure_signals *signals)
{
	struct forward *forward = ctx;
	const struct forward_parts *parts = &forward->parts;
	double before = backpressure_limit(parts->backpressure, server);

	if (backpressure_answer(parts->backpressure, clock_now(parts->clock),
				server, signals))
		limit_log(forward, server, before);
}
