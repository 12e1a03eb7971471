#include "gossip_world.h"

#include "common/id.h"

const char *const centres[CENTRES] = {"a", "b", "c", "d", "e"};

static void on_summary(void *ctx, struct gossip_summary *out)
{
	const struct instance *instance = ctx;

	*out = (struct gossip_summary){
		.version = 1, .demand = 100, .waiting = 1};
	if (instance->site->summary)
		instance->site->summary(instance->site->ctx, instance, out);
}

static void on_received(void *ctx, const char *address, bool local,
			const struct gossip_summary *from)
{
	const struct instance *instance = ctx;

	if (instance->site->received)
		instance->site->received(instance->site->ctx, instance, address,
					 from);
}

static bool reads(void *ctx)
{
	const struct instance *instance = ctx;

	return gossip_rank(instance->gossip) == 0;
}

static bool quarantine_received(void *ctx, const struct quarantine_entry *entry)
{
	const struct instance *instance = ctx;

	return quarantine_merge(instance->quarantine, entry,
				clock_now(instance->site->clock));
}

static uint32_t quarantine_entries(void *ctx, struct quarantine_entry *entries,
				   uint32_t max)
{
	const struct instance *instance = ctx;

	return quarantine_next(instance->quarantine, entries, max);
}

static uint32_t facts(void *ctx, struct backpressure_fact *out, uint32_t max)
{
	const struct instance *instance = ctx;

	return backpressure_export(instance->backpressure,
				   clock_now(instance->site->clock), out, max);
}

static void fact_received(void *ctx, const struct backpressure_fact *fact)
{
	const struct instance *instance = ctx;

	backpressure_merge(instance->backpressure,
			   clock_now(instance->site->clock), fact);
}

static bool grant(struct instance *instance, uint64_t key, int64_t *retry)
{
	int64_t now = clock_now(instance->site->clock);

	return now - instance->started >= USEC_PER_SEC &&
	       backpressure_grant(instance->backpressure, now, key, retry);
}

static void permit_requested(void *ctx, const struct permit_request *request,
			     struct permit_answer *answer)
{
	struct instance *instance = ctx;
	const struct backend *backend =
		fleet_find(instance->fleet, request->fact.server);

	fact_received(ctx, &request->fact);
	answer->granted =
		gossip_is_home(instance->gossip, request->fact.server,
			       backend->info.data_centre, true) &&
		grant(instance, request->fact.server, &answer->retry_usec);
}

static void permit_answered(void *ctx, const struct permit_answer *answer)
{
	struct instance *instance = ctx;

	if (answer->granted)
		instance->site->granted(instance, answer->server);
}

static void origin_received(void *ctx, const struct gossip_origin *origin)
{
	const struct instance *instance = ctx;

	origins_put(instance->origins, origin->stream, origin->software);
}

static void origin_queried(void *ctx, const struct origin_query *query,
			   struct origin_answer *answer)
{
	const struct instance *instance = ctx;

	answer->software = origins_get(instance->origins, query->stream);
}

static void origin_answered(void *ctx, const struct origin_query *query,
			    const struct origin_answer *answer)
{
	struct instance *instance = ctx;

	instance->answers++;
	if (answer->software)
		instance->software = answer->software;
}

static uint32_t speeds_to_send(void *ctx, bool group,
			       struct speed_entry *entries, uint32_t max)
{
	const struct instance *instance = ctx;
	int64_t now = clock_now(instance->site->clock);

	return group ? speeds_export_group(instance->speeds, now, entries, max)
		     : speeds_export(instance->speeds, now, entries, max);
}

static uint32_t speeds_next(void *ctx, uint64_t *cursor,
			    struct speed_entry *entries, uint32_t max)
{
	const struct instance *instance = ctx;

	return speeds_export_next(instance->speeds,
				  clock_now(instance->site->clock),
				  id_of(instance->name), cursor, entries, max);
}

static void speed_received(void *ctx, const struct speed_entry *entry)
{
	const struct instance *instance = ctx;

	speeds_merge(instance->speeds, clock_now(instance->site->clock), entry);
}

bool permit(struct instance *instance, uint32_t centre)
{
	uint64_t key = server(instance, centre)->key;
	struct permit_request request = {.id = 1};
	int64_t retry;

	if (backpressure_limit(instance->backpressure, key) < 0.0 ||
	    !backpressure_find(instance->backpressure,
			       clock_now(instance->site->clock), key,
			       &request.fact))
		return true;
	if (gossip_request_permit(instance->gossip, &request, centres[centre],
				  true))
		return false;
	return grant(instance, key, &retry);
}

struct backend *server(struct instance *instance, uint32_t centre)
{
	struct backend_info info = {
		.service = 1, .stage = STAGE_DECODE, .slots = 8};

	g_snprintf(info.id, sizeof(info.id), "d-%s", centres[centre]);
	g_strlcpy(info.data_centre, centres[centre], sizeof(info.data_centre));
	return fleet_put(instance->fleet, &info);
}

void instance_start(struct instance *instance)
{
	static const struct gossip_ops ops = {
		.summary = on_summary,
		.received = on_received,
		.reads = reads,
		.quarantine_received = quarantine_received,
		.quarantine_next = quarantine_entries,
		.facts = facts,
		.fact_received = fact_received,
		.speeds = speeds_to_send,
		.speeds_next = speeds_next,
		.speed_received = speed_received,
		.permit_requested = permit_requested,
		.permit_answered = permit_answered,
		.origin_received = origin_received,
		.origin_queried = origin_queried,
		.origin_answered = origin_answered,
	};
	static const struct quarantine_settings quarantine = {3, 256, 256};
	struct site *site = instance->site;
	struct gossip_settings settings = {
		.name = instance->name,
		.data_centre = centres[instance->centre],
		.address = instance->address,
		.boot = ++instance->boot,
	};
	struct error err;

	instance->quarantine = quarantine_create(&quarantine);
	instance->backpressure = backpressure_create();
	instance->origins = origins_create(site->clock, STORED_MAX);
	instance->speeds = speeds_create();
	instance->started = clock_now(site->clock);
	for (uint32_t i = 0; i < site->stored_count; i++)
		quarantine_merge(instance->quarantine, &site->stored[i],
				 instance->started);
	instance->fleet = fleet_create(site->clock, settings.data_centre);
	for (uint32_t i = 0; i < CENTRES; i++)
		server(instance, i);
	instance->gossip =
		gossip_create(site->loops[instance->centre], instance->fleet,
			      &settings, &ops, instance, &err);
	g_assert_nonnull(instance->gossip);
}

void instance_stop(struct instance *instance)
{
	gossip_destroy(instance->gossip);
	fleet_destroy(instance->fleet);
	quarantine_destroy(instance->quarantine);
	backpressure_destroy(instance->backpressure);
	origins_destroy(instance->origins);
	speeds_destroy(instance->speeds);
	instance->gossip = NULL;
}

void add_all_peers(struct site *site, struct instance *instance)
{
	for (uint32_t i = 0; i < site->count; i++)
		gossip_add_peer(instance->gossip, site->instances[i].address,
				centres[site->instances[i].centre]);
}

struct instance *instance_add(struct site *site)
{
	struct instance *instance = &site->instances[site->count];

	instance->site = site;
	instance->centre = site->count % CENTRES;
	g_snprintf(instance->name, sizeof(instance->name), "%s%03u",
		   centres[instance->centre], site->count);
	address_pick_unused(instance->address);
	site->count++;
	instance_start(instance);
	return instance;
}

static struct quarantine_entry *
stored_find(struct site *site, const struct request_fingerprint *fingerprint)
{
	for (uint32_t i = 0; i < site->stored_count; i++)
		if (fingerprint_same(&site->stored[i].fingerprint, fingerprint))
			return &site->stored[i];
	return NULL;
}

/* Writes the record of a held entry, or deletes that of a cleared one. */
static void stored_put(struct site *site, const struct quarantine_entry *entry,
		       bool held)
{
	struct quarantine_entry *stored =
		stored_find(site, &entry->fingerprint);

	if (!held) {
		if (stored)
			*stored = site->stored[--site->stored_count];
		return;
	}
	if (!stored) {
		g_assert_cmpuint(site->stored_count, <, STORED_MAX);
		stored = &site->stored[site->stored_count++];
	}
	*stored = *entry;
	stored->stored = true;
}

static void quarantine_store(struct site *site)
{
	for (uint32_t i = 0; i < site->count; i++) {
		struct instance *instance = &site->instances[i];
		struct quarantine_entry entry;
		bool held;

		if (!instance->gossip || site->paused[instance->centre] ||
		    !quarantine_unstored(instance->quarantine, &entry) ||
		    !gossip_is_lowest(instance->gossip, false))
			continue;
		held = quarantine_holds(instance->quarantine,
					&entry.fingerprint);
		stored_put(site, &entry, held);
		quarantine_stored(instance->quarantine, &entry.fingerprint,
				  held);
	}
}

void site_advance(struct site *site, int64_t msec)
{
	for (int64_t i = 0; i < msec; i += 50) {
		clock_advance(site->clock,
			      clock_now(site->clock) + 50 * USEC_PER_MSEC);
		for (int k = 0; k < 3 * CENTRES; k++)
			if (!site->paused[k % CENTRES])
				loop_run_h2o(site->loops[k % CENTRES], 0);
		quarantine_store(site);
	}
}

struct site *site_open(uint32_t count)
{
	struct site *site = g_new0(struct site, 1);

	site->clock = clock_create(0);
	clock_advance(site->clock, 60 * USEC_PER_SEC);
	for (int i = 0; i < CENTRES; i++) {
		site->loops[i] = loop_create(site->clock);
		/* Otherwise its first datagram would set the clock. */
		loop_enter(site->loops[i]);
	}
	for (uint32_t i = 0; i < count; i++)
		instance_add(site);
	for (uint32_t i = 0; i < count; i++)
		add_all_peers(site, &site->instances[i]);
	/* All start at once, so some first summaries are lost in full socket
	 * buffers. */
	site_advance(site, 3000);
	return site;
}

void site_close(struct site *site)
{
	for (uint32_t i = 0; i < site->count; i++)
		if (site->instances[i].gossip)
			instance_stop(&site->instances[i]);
	for (int i = 0; i < CENTRES; i++)
		loop_destroy(site->loops[i]);
	clock_destroy(site->clock);
	g_free(site);
}

void load_put(struct instance *instance, uint32_t centre, uint32_t requests)
{
	struct backend *backend = server(instance, centre);
	struct backend_load load = {requests, requests * 1000, 0};

	backend_charge(backend, &backend->own, -1);
	backend_charge(backend, &load, 1);
	gossip_load_changed(instance->gossip);
}

uint32_t seen_by(struct site *site, uint32_t centre, uint32_t requests)
{
	uint32_t seen = 0;

	for (uint32_t i = 0; i < site->count; i++) {
		struct instance *instance = &site->instances[i];

		seen += instance->gossip &&
			backend_requests(server(instance, centre)) == requests;
	}
	return seen;
}

uint32_t lowest_count(const struct site *site)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < site->count; i++)
		count += site->instances[i].gossip &&
			 !site->paused[site->instances[i].centre] &&
			 gossip_is_lowest(site->instances[i].gossip, false);
	return count;
}
