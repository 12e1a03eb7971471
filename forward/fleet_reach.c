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

/* The same for direct paths that were lost one by one: as many servers, and
 * this fraction of those listed. */
#define LINKS_LOST_FRACTION 0.25

/* Relays without a link to a server after which it rests. */
#define RELAY_LINKS_LOST_MAX 3u

bool fleet_links_lost(const struct fleet *fleet)
{
	uint32_t lost = 0;

	if (fleet_cut_off(fleet))
		return true;
	for (guint i = 0; i < fleet->avoided->len; i++) {
		const struct backend *backend = fleet->avoided->pdata[i];

		lost += backend->direct.failures > 0 &&
			backend->relayed.failures == 0 && !backend->crashed;
	}
	return lost >= CUT_OFF_SERVERS &&
	       lost >= fleet->all->len * LINKS_LOST_FRACTION;
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

	if (backend->crashed)
		return;
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

void fleet_set_relays(struct fleet *fleet, bool available)
{
	fleet->relays = available;
}

/* With relays at hand, checks find out when the path is back. */
bool backend_link_lost(const struct backend *backend)
{
	const struct fleet *fleet = backend->fleet;

	return backend->direct.failures > 0 &&
	       (fleet->relays ||
		clock_now(fleet->clock) < backend->direct.avoid_until);
}

enum backend_path backend_path(const struct backend *backend, int64_t now)
{
	const struct fleet *fleet = backend->fleet;

	if (backend->direct.failures == 0 && !fleet_cut_off(fleet))
		return PATH_DIRECT;
	if (fleet->relays && now >= backend->relayed.avoid_until)
		return PATH_RELAYED;
	return now >= backend->direct.avoid_until ? PATH_DIRECT : PATH_NONE;
}

bool fleet_service_reachable(const struct fleet *fleet, uint64_t service)
{
	const GPtrArray *list = fleet_service(fleet, service);
	int64_t now = clock_now(fleet->clock);

	for (guint i = 0; list && i < list->len; i++) {
		const struct backend *backend = list->pdata[i];

		if (backend_withdrawn(backend))
			continue;
		if (backend->direct.failures == 0 ||
		    backend_path(backend, now) == PATH_RELAYED)
			return true;
	}
	return !list || list->len == 0;
}

/* Whether no path leads to the server at the moment. */
static bool is_unreachable(const struct backend *backend, int64_t now)
{
	return backend->direct.failures > 0 &&
	       backend_path(backend, now) == PATH_NONE &&
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

		if (backend->direct.failures > 0)
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
	if (fleet_links_lost(fleet) || is_likely_partitioned(fleet, now))
		return 0;
	for (guint i = 0; i < fleet->avoided->len && count < max; i++) {
		const struct backend *backend = fleet->avoided->pdata[i];

		if (is_unreachable(backend, now))
			unreachable[count++] = (struct unreachable_backend){
				backend->key,
				backend->direct.avoid_until - now};
	}
	return count;
}

/* Whether requests leave the direct path of the server to checks. */
static bool is_probe_due(const struct backend *backend, int64_t now)
{
	return backend->direct.failures > 0 &&
	       now >= backend->direct.avoid_until &&
	       now >= backend->backoff_until && !backend_withdrawn(backend);
}

/* While this instance is cut off any server shows whether it still is. */
struct backend *fleet_probe_next(struct fleet *fleet, GRand *rand)
{
	int64_t now = clock_now(fleet->clock);
	struct backend *next = NULL;

	if (!fleet->relays || fleet->all->len == 0)
		return NULL;
	if (fleet_cut_off(fleet))
		return fleet->all->pdata[g_rand_int_range(
			rand, 0, (gint32)fleet->all->len)];
	avoided_prune(fleet);
	for (guint i = 0; i < fleet->avoided->len; i++) {
		struct backend *backend = fleet->avoided->pdata[i];

		if (is_probe_due(backend, now) &&
		    (!next ||
		     backend->direct.avoid_until < next->direct.avoid_until))
			next = backend;
	}
	return next;
}

/* Once for each backoff that the reports begin. */
static void reported_log(const struct backend *backend, uint64_t peer,
			 int64_t now, int64_t until)
{
	if (now < backend->reported_until)
		return;
	log_event(LOG_NOTICE, "backend_reported_unreachable",
		  LOG_S("backend", backend->info.id), LOG_X("peer", peer),
		  LOG_X("peer_before", backend->unreachable_reporter),
		  LOG_D("own_failures", backend->direct.failures),
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
		backend->reported_until = MAX(backend->reported_until, until);
	}
	backend->unreachable_reporter = peer;
	backend->unreachable_until = until;
}

void path_claim_probe(struct backend *backend, int64_t now)
{
	struct path_state *path = backend_path(backend, now) == PATH_RELAYED
					  ? &backend->relayed
					  : &backend->direct;

	if (path->failures > 0)
		path->avoid_until = now + PROBE_TIMEOUT_USEC;
}

void backend_set_crashed(struct backend *backend)
{
	backend->crashed = true;
}

void backend_reached(struct backend *backend)
{
	lost_reset(backend->fleet);
	backend->crashed = false;
	backend->direct = (struct path_state){0};
	backend->reported_until = 0;
}

void backend_relay_reached(struct backend *backend)
{
	backend->relay_links_lost = 0;
	backend->crashed = false;
	backend->relayed = (struct path_state){0};
}

/* False when the failure belongs to a backoff that has begun: requests that
 * fail together count as one failed connection. */
static bool path_fail(struct path_state *path, int64_t now)
{
	int64_t pause = AVOID_BASE_USEC << MIN(path->failures, 3u);

	if (path->failures > 0 && now < path->avoid_until &&
	    path->avoid_until - now > PROBE_TIMEOUT_USEC)
		return false;
	path->failures++;
	path->avoid_until = now + MIN(pause, AVOID_MAX_USEC);
	return true;
}

void backend_probe_failed(struct backend *backend, int64_t now)
{
	lost_count(backend, now);
	if (!path_fail(&backend->direct, now))
		return;
	if (!backend->avoid_listed)
		g_ptr_array_add(backend->fleet->avoided, backend);
	backend->avoid_listed = true;
	backend_log("backend_unreachable", backend);
}

void backend_unreachable(struct backend *backend, int64_t now)
{
	backend_failed(backend, now);
	backend_probe_failed(backend, now);
}

void backend_relay_unreachable(struct backend *backend, int64_t now)
{
	backend_failed(backend, now);
	if (path_fail(&backend->relayed, now))
		backend_log("backend_unreachable_relayed", backend);
}

void backend_relay_link_lost(struct backend *backend, int64_t now)
{
	if (++backend->relay_links_lost < RELAY_LINKS_LOST_MAX)
		return;
	backend->relay_links_lost = 0;
	if (path_fail(&backend->relayed, now))
		backend_log("backend_unreachable_relayed", backend);
}
