/*
 * path.c - the path on which a call connects to its server
 */
#include "request.h"

bool path_choose(const struct forward *forward, struct backend *backend,
		 char relay[ADDRESS_TEXT_MAX])
{
	const struct forward_parts *parts = &forward->parts;
	int64_t now = clock_now(parts->clock);

	relay[0] = '\0';
	if (backend_path(backend, now) != PATH_RELAYED ||
	    parts->relay_choose(parts->callbacks_ctx, &backend->info, relay))
		return true;
	backend_relay_unreachable(backend, now);
	return false;
}

struct backend_link link_of(const struct backend_info *to, const char *relay)
{
	return (struct backend_link){to, relay[0] ? relay : NULL};
}

struct backend_link link_choose(const struct forward *forward,
				const struct backend_info *to,
				char relay[ADDRESS_TEXT_MAX])
{
	struct backend *backend =
		fleet_find(forward->parts.fleet, backend_key(to));

	relay[0] = '\0';
	if (backend)
		(void)path_choose(forward, backend, relay);
	return link_of(to, relay);
}

void path_connected(const struct forward *forward,
		    const struct backend_info *to, const char *relay)
{
	const struct forward_parts *parts = &forward->parts;
	struct backend *backend = fleet_find(parts->fleet, backend_key(to));

	if (relay[0])
		parts->relay_result(parts->callbacks_ctx, relay,
				    backend_key(to), RELAY_OK);
	if (backend && relay[0])
		backend_relay_reached(backend);
	else if (backend)
		backend_reached(backend);
}

void path_failed(const struct forward *forward, const struct backend_info *to,
		 const char *relay, enum relay_failure failure)
{
	const struct forward_parts *parts = &forward->parts;
	struct backend *backend = fleet_find(parts->fleet, backend_key(to));
	int64_t now = clock_now(parts->clock);

	if (relay[0])
		parts->relay_result(parts->callbacks_ctx, relay,
				    backend_key(to), failure);
	if (!backend || failure == RELAY_PEER)
		return;
	if (failure == RELAY_LINK)
		backend_relay_link_lost(backend, now);
	else if (relay[0])
		backend_relay_unreachable(backend, now);
	else
		backend_unreachable(backend, now);
}
