/*
 * fleet_reach.c - which backend servers can be connected to
 */
#include "fleet_private.h"

#include "common/log.h"

/* First and longest backoff after a failed connection: a crashed server costs
 * each instance at most two connections a second. */
#define AVOID_BASE_USEC (250 * USEC_PER_MSEC)
#define AVOID_MAX_USEC (2 * USEC_PER_SEC)

/* Time-out of a half-open probe, longer than BACKEND_CONNECT_USEC. */
#define PROBE_TIMEOUT_USEC (200 * USEC_PER_MSEC)

/* Servers lost in a row from which on an instance counts as cut off. A failure
 * domain that goes down with fewer is not taken for that. */
#define CUT_OFF_SERVERS 3u

bool fleet_cut_off(const struct fleet *fleet)
{
	return fleet->lost > 0 &&
	       fleet->lost >= MIN(CUT_OFF_SERVERS, fleet->all->len);
}

static void cut_off_log(const struct fleet *fleet, const char *event)
{
	log_event(LOG_NOTICE, event, LOG_D("failed", fleet->lost),
		  LOG_D("listed", fleet->all->len),
		  LOG_D("ms", (clock_now(fleet->clock) - fleet->lost_since) /
				      USEC_PER_MSEC));
}

static void lost_count(struct backend *backend, int64_t now)
{
	struct fleet *fleet = backend->fleet;
	bool was_cut_off = fleet_cut_off(fleet);

	if (fleet->lost == 0) {
		fleet->lost_since = now;
		fleet->lost_epoch++;
	}
	if (backend->lost_epoch == fleet->lost_epoch)
		return;
	backend->lost_epoch = fleet->lost_epoch;
	fleet->lost++;
	if (!was_cut_off && fleet_cut_off(fleet))
		cut_off_log(fleet, "servers_lost");
}

static void lost_reset(struct fleet *fleet)
{
	if (fleet_cut_off(fleet))
		cut_off_log(fleet, "servers_reached");
	fleet->lost = 0;
}

bool fleet_service_reachable(const struct fleet *fleet, uint64_t service)
{
	const GPtrArray *list = fleet_service(fleet, service);

	for (guint i = 0; list && i < list->len; i++) {
		const struct backend *backend = list->pdata[i];

		if (!backend_withdrawn(backend) &&
		    backend->connect_failures == 0)
			return true;
	}
	return !list || list->len == 0;
}

static bool is_unreachable(const struct backend *backend, int64_t now)
{
	return backend->connect_failures > 0 && now < backend->avoid_until &&
	       !backend_leaving(backend);
}

/* Whether at least half of the local servers are unreachable. Then this
 * instance is more likely partitioned than the servers down. */
static bool is_likely_partitioned(const struct fleet *fleet, int64_t now)
{
	uint32_t unreachable = 0;

	for (guint i = 0; i < fleet->avoided->len; i++) {
		const struct backend *backend = fleet->avoided->pdata[i];

		unreachable += backend->local && is_unreachable(backend, now);
	}
	return unreachable * 2 >= MAX(fleet->local, 1u);
}

static void avoided_prune(struct fleet *fleet)
{
	for (guint i = fleet->avoided->len; i > 0; i--) {
		struct backend *backend = fleet->avoided->pdata[i - 1];

		if (backend->connect_failures > 0)
			continue;
		backend->avoid_listed = false;
		g_ptr_array_remove_index_fast(fleet->avoided, i - 1);
	}
}

uint32_t fleet_unreachable(struct fleet *fleet,
			   struct unreachable_backend *unreachable,
			   uint32_t max)
{
	int64_t now = clock_now(fleet->clock);
	uint32_t count = 0;

	avoided_prune(fleet);
	for (guint i = 0; i < fleet->avoided->len && count < max; i++) {
		const struct backend *backend = fleet->avoided->pdata[i];

		if (is_unreachable(backend, now))
			unreachable[count++] = (struct unreachable_backend){
				backend->key, backend->avoid_until - now};
	}
	return count > 0 && is_likely_partitioned(fleet, now) ? 0 : count;
}

/* Once for each backoff that the reports begin. */
static void reported_log(const struct backend *backend, uint64_t peer,
			 int64_t now, int64_t until)
{
	if (now < backend->avoid_until)
		return;
	log_event(LOG_NOTICE, "backend_reported_unreachable",
		  LOG_S("backend", backend->info.id), LOG_X("peer", peer),
		  LOG_X("peer_before", backend->unreachable_reporter),
		  LOG_D("own_failures", backend->connect_failures),
		  LOG_D("ms", (until - now) / USEC_PER_MSEC));
}

void fleet_merge_unreachable(struct fleet *fleet, uint64_t peer,
			     const struct unreachable_backend *unreachable)
{
	struct backend *backend = fleet_find(fleet, unreachable->key);
	int64_t now = clock_now(fleet->clock);
	int64_t until = now + MIN(unreachable->left_usec, AVOID_MAX_USEC);

	if (!backend)
		return;
	if (backend->unreachable_reporter != peer &&
	    now < backend->unreachable_until) {
		reported_log(backend, peer, now, until);
		backend->avoid_until = MAX(backend->avoid_until, until);
	}
	backend->unreachable_reporter = peer;
	backend->unreachable_until = until;
}

void path_claim_probe(struct backend *backend, int64_t now)
{
	if (backend->connect_failures > 0)
		backend->avoid_until = now + PROBE_TIMEOUT_USEC;
}

void backend_reached(struct backend *backend)
{
	lost_reset(backend->fleet);
	backend->connect_failures = 0;
	backend->avoid_until = 0;
}

void backend_unreachable(struct backend *backend, int64_t now)
{
	int64_t pause = AVOID_BASE_USEC << MIN(backend->connect_failures, 3u);

	backend_failed(backend, now);
	lost_count(backend, now);
	/* Requests that fail together count as one failed connection. */
	if (backend->connect_failures > 0 && now < backend->avoid_until &&
	    backend->avoid_until - now > PROBE_TIMEOUT_USEC)
		return;
	backend->connect_failures++;
	if (!backend->avoid_listed)
		g_ptr_array_add(backend->fleet->avoided, backend);
	backend->avoid_listed = true;
	backend->avoid_until = now + MIN(pause, AVOID_MAX_USEC);
	backend_log("backend_unreachable", backend);
}
