#include "fleet_private.h"

#include <math.h>
#include <string.h>

#include "common/id.h"
#include "common/log.h"
#include "common/table.h"

#define BACKENDS_MAX 65536u
#define HEARTBEAT_USEC (1200 * USEC_PER_MSEC)
/* Heartbeats from the last one until the list shows that the server is gone: it
 * is dropped after three, and the list lags. */
#define UNLISTING_HEARTBEATS 5
/* Ids whose latest incarnation is kept; beyond that, unlisted ids are evicted.
 */
#define INCARNATIONS_MAX 16384u
/* Half-life of a failure. A server that is down is retried after about the time
 * that the platform takes to remove it from the list (three heartbeats). */
#define FAILURE_HALF_LIFE_USEC (2 * USEC_PER_SEC)
/* A success multiplies the failure score by this: a server that fails half of
 * its requests keeps a score of about 1, a healthy one decays to 0 within a few
 * requests. */
#define FAILURE_SUCCESS_FACTOR 0.75
/* Backoff after a refused reservation, doubled once: a server frees memory for
 * a request about every 100 ms, and many instances compete for it. */
#define FULL_RETRY_USEC (40 * USEC_PER_MSEC)

/* A server that is changing its role, or whose results expire at once, still
 * grants reservations and prefills, and refuses only the run. After this many
 * refusals in a row it is avoided, then probed by one request. This also covers
 * an instance that has just started and does not know of role changes ordered
 * earlier. */
#define REFUSALS_MAX 2u
#define REFUSED_PAUSE_USEC (1 * USEC_PER_SEC)

/* Largest difference between the ends of one cold start as given by reports
 * that arrive by different paths. */
#define COLD_SKEW_USEC (300 * USEC_PER_MSEC)

struct evacuation {
	bool listed; /* in the snapshot being read */
};

/* The latest listed incarnation of an id. */
struct incarnation {
	char id[BACKEND_TEXT_MAX];
	int64_t started_ms;
};

uint64_t backend_key(const struct backend_info *info)
{
	char text[BACKEND_TEXT_MAX + 24];

	if (info->started_ms == 0)
		return id_of(info->id);
	g_snprintf(text, sizeof(text), "%s %" G_GINT64_FORMAT, info->id,
		   info->started_ms);
	return id_of(text);
}

bool backend_info_same(const struct backend_info *a,
		       const struct backend_info *b)
{
	return strcmp(a->id, b->id) == 0 &&
	       strcmp(a->address, b->address) == 0 &&
	       strcmp(a->data_centre, b->data_centre) == 0 &&
	       a->started_ms == b->started_ms && a->service == b->service &&
	       a->software == b->software && a->stage == b->stage &&
	       a->slots == b->slots && a->leaving == b->leaving;
}

static void service_free(gpointer data)
{
	struct service *service = data;

	for (int i = 0; i < STAGE_COUNT; i++)
		for (int in_group = 0; in_group < 2; in_group++)
			g_ptr_array_unref(service->sets[i][in_group]);
	g_ptr_array_unref(service->all);
	g_array_unref(service->past_software);
	g_free(service);
}

struct fleet *fleet_create(struct clock *clock, const char *data_centre)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->clock = clock;
	fleet->data_centre = g_strdup(data_centre);
	fleet->heartbeat_usec = HEARTBEAT_USEC;
	fleet->groups = 1;
	fleet->complete_since = INT64_MAX;
	fleet->table = table_create(sizeof(struct backend), BACKENDS_MAX);
	fleet->keys = g_hash_table_new(g_int64_hash, g_int64_equal);
	fleet->ids = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->incarnations =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	fleet->services = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, service_free);
	fleet->all = g_ptr_array_new();
	fleet->charged = g_ptr_array_new();
	fleet->avoided = g_ptr_array_new();
	fleet->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->regions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return fleet;
}

void fleet_destroy(struct fleet *fleet)
{
	if (!fleet)
		return;
	g_ptr_array_unref(fleet->all);
	g_ptr_array_unref(fleet->charged);
	g_ptr_array_unref(fleet->avoided);
	g_hash_table_destroy(fleet->regions);
	g_hash_table_destroy(fleet->evacuated);
	g_hash_table_destroy(fleet->services);
	g_hash_table_destroy(fleet->incarnations);
	g_hash_table_destroy(fleet->ids);
	g_hash_table_destroy(fleet->keys);
	table_destroy(fleet->table);
	g_free(fleet->data_centre);
	g_free(fleet);
}

static struct service *service_get(struct fleet *fleet, uint64_t id)
{
	struct service *service = g_hash_table_lookup(fleet->services, &id);

	if (service)
		return service;
	service = g_new0(struct service, 1);
	service->id = id;
	service->all = g_ptr_array_new();
	service->past_software = past_software_create();
	for (int i = 0; i < STAGE_COUNT; i++)
		for (int in_group = 0; in_group < 2; in_group++)
			service->sets[i][in_group] = g_ptr_array_new();
	g_hash_table_insert(fleet->services, &service->id, service);
	return service;
}

static void service_add(struct fleet *fleet, struct backend *backend)
{
	struct service *service = service_get(fleet, backend->info.service);

	service->sorted = false;
	g_ptr_array_add(service->all, backend);
}

static void service_remove(struct fleet *fleet, struct backend *backend)
{
	struct service *service = service_get(fleet, backend->info.service);

	service->sorted = false;
	g_ptr_array_remove_fast(service->all, backend);
	service_record_software(fleet, service, backend->info.software);
}

static void service_sort(struct service *service)
{
	for (int i = 0; i < STAGE_COUNT; i++)
		for (int in_group = 0; in_group < 2; in_group++)
			g_ptr_array_set_size(service->sets[i][in_group], 0);
	for (guint i = 0; i < service->all->len; i++) {
		struct backend *backend = service->all->pdata[i];

		g_ptr_array_add(
			service->sets[backend->info.stage][backend->in_group],
			backend);
	}
	service->sorted = true;
}

void backend_log(const char *event, const struct backend *backend)
{
	static const char *const stages[] = {"none", "prefill", "decode"};

	log_event(LOG_INFO, event, LOG_S("backend", backend->info.id),
		  LOG_S("address", backend->info.address),
		  LOG_S("data_centre", backend->info.data_centre),
		  LOG_S("stage", stages[backend->info.stage]),
		  LOG_S("software", backend->info.software_name),
		  LOG_D("born", backend->info.started_ms),
		  LOG_D("leaving", backend->info.leaving));
}

static void backend_sync_backpressure(const struct fleet *fleet,
				      struct backend *backend)
{
	if (!fleet->pressure)
		return;
	backend->leaving_reported =
		backpressure_leaving(fleet->pressure, backend->key);
	backend->backoff_until =
		backpressure_backoff(fleet->pressure, backend->key);
}

void fleet_set_backpressure(struct fleet *fleet,
			    const struct backpressure *table)
{
	fleet->pressure = table;
}

void fleet_backpressure_changed(struct fleet *fleet, uint64_t key)
{
	struct backend *backend = fleet_find(fleet, key);

	if (backend)
		backend_sync_backpressure(fleet, backend);
}

static void backend_sync_centre(struct fleet *fleet, struct backend *backend)
{
	const char *centre = backend->info.data_centre;
	const char *region = g_hash_table_lookup(fleet->regions, centre);

	backend->region = region ? id_of(region) : 0;
	fleet->local -= backend->local;
	backend->local = strcmp(centre, fleet->data_centre) == 0;
	fleet->local += backend->local;
	backend->in_group =
		backend->local && backend->key % fleet->groups == fleet->group;
	backend->evacuated = g_hash_table_contains(fleet->evacuated, centre);
}

static struct backend *backend_add(struct fleet *fleet,
				   const struct backend_info *info)
{
	uint64_t handle;
	struct backend *backend = table_add(fleet->table, &handle);

	if (!backend) {
		log_event(LOG_WARNING, "backend_table_full",
			  LOG_S("backend", info->id));
		return NULL;
	}
	backend->handle = handle;
	backend->fleet = fleet;
	backend->key = backend_key(info);
	backend->info = *info;
	backend_sync_centre(fleet, backend);
	backend_sync_backpressure(fleet, backend);
	g_hash_table_insert(fleet->keys, &backend->key, backend);
	g_hash_table_insert(fleet->ids, backend->info.id, backend);
	service_add(fleet, backend);
	g_ptr_array_add(fleet->all, backend);
	backend_log("backend_added", backend);
	return backend;
}

static void backend_update(struct fleet *fleet, struct backend *backend,
			   const struct backend_info *info)
{
	bool changed = backend->info.leaving != info->leaving ||
		       backend->info.software != info->software ||
		       backend->info.stage != info->stage;
	bool service_changed = backend->info.service != info->service;
	bool set_changed =
		backend->info.stage != info->stage ||
		strcmp(backend->info.data_centre, info->data_centre) != 0;

	if (service_changed)
		service_remove(fleet, backend);
	else if (backend->info.software != info->software)
		service_record_software(fleet,
					service_get(fleet, info->service),
					backend->info.software);
	if (backend->info.stage != info->stage) {
		backend->changing_until = 0;
		backend->refusals = 0;
	}
	backend->info = *info;
	if (service_changed)
		service_add(fleet, backend);
	if (set_changed) {
		backend_sync_centre(fleet, backend);
		service_get(fleet, info->service)->sorted = false;
	}
	if (changed)
		backend_log("backend_changed", backend);
}

static void backend_drop(struct fleet *fleet, struct backend *backend)
{
	backend_log("backend_gone", backend);
	g_hash_table_remove(fleet->keys, &backend->key);
	g_hash_table_remove(fleet->ids, backend->info.id);
	service_remove(fleet, backend);
	g_ptr_array_remove_fast(fleet->all, backend);
	if (backend->charged)
		g_ptr_array_remove_fast(fleet->charged, backend);
	if (backend->avoid_listed)
		g_ptr_array_remove_fast(fleet->avoided, backend);
	fleet->local -= backend->local;
	table_remove(fleet->table, backend->handle);
}

static gboolean incarnation_unlisted(gpointer key, gpointer value,
				     gpointer data)
{
	const struct fleet *fleet = data;

	return !g_hash_table_contains(fleet->ids, key);
}

static void incarnation_record(struct fleet *fleet,
			       const struct backend_info *info)
{
	struct incarnation *incarnation =
		g_hash_table_lookup(fleet->incarnations, info->id);

	if (info->started_ms == 0)
		return;
	if (!incarnation) {
		if (g_hash_table_size(fleet->incarnations) >= INCARNATIONS_MAX)
			g_hash_table_foreach_remove(fleet->incarnations,
						    incarnation_unlisted,
						    fleet);
		incarnation = g_new0(struct incarnation, 1);
		g_strlcpy(incarnation->id, info->id, sizeof(incarnation->id));
		g_hash_table_insert(fleet->incarnations, incarnation->id,
				    incarnation);
	}
	incarnation->started_ms = info->started_ms;
}

int64_t fleet_started_ms(const struct fleet *fleet, const char *id)
{
	const struct incarnation *incarnation =
		g_hash_table_lookup(fleet->incarnations, id);

	return incarnation ? incarnation->started_ms : 0;
}

struct backend *fleet_put(struct fleet *fleet, const struct backend_info *info)
{
	struct backend *backend = fleet_find_id(fleet, info->id);

	if (info->started_ms < fleet_started_ms(fleet, info->id)) {
		if (backend)
			backend->listed = true;
		return NULL;
	}
	if (backend && backend->info.started_ms != info->started_ms) {
		backend_drop(fleet, backend);
		backend = NULL;
	}
	if (backend)
		backend_update(fleet, backend, info);
	else
		backend = backend_add(fleet, info);
	incarnation_record(fleet, info);
	if (backend)
		backend->listed = true;
	return backend;
}

void fleet_remove(struct fleet *fleet, const char *id)
{
	struct backend *backend = fleet_find_id(fleet, id);

	if (backend)
		backend_drop(fleet, backend);
}

void fleet_snapshot_begin(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->all->len; i++) {
		struct backend *backend = fleet->all->pdata[i];

		backend->listed = false;
	}
}

void fleet_snapshot_end(struct fleet *fleet)
{
	for (guint i = fleet->all->len; i > 0; i--) {
		struct backend *backend = fleet->all->pdata[i - 1];

		if (!backend->listed)
			backend_drop(fleet, backend);
	}
	fleet->complete_since =
		MIN(fleet->complete_since, clock_now(fleet->clock));
}

/* ---- data centres ---- */

static void centres_sync(struct fleet *fleet)
{
	GHashTableIter iter;
	struct service *service;

	for (guint i = 0; i < fleet->all->len; i++)
		backend_sync_centre(fleet, fleet->all->pdata[i]);
	g_hash_table_iter_init(&iter, fleet->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service))
		service->sorted = false;
}

void fleet_set_group(struct fleet *fleet, uint32_t index, uint32_t count)
{
	fleet->group = index;
	fleet->groups = count;
	centres_sync(fleet);
}

void fleet_set_region(struct fleet *fleet, const char *data_centre,
		      const char *region)
{
	g_hash_table_replace(fleet->regions, g_strdup(data_centre),
			     g_strdup(region));
	centres_sync(fleet);
}

void fleet_set_heartbeat(struct fleet *fleet, int64_t heartbeat_usec)
{
	fleet->heartbeat_usec = heartbeat_usec;
}

int64_t fleet_unlisting_usec(const struct fleet *fleet)
{
	return UNLISTING_HEARTBEATS * fleet->heartbeat_usec;
}

static void evacuation_log(const char *event, const char *data_centre)
{
	log_event(LOG_NOTICE, event, LOG_S("data_centre", data_centre));
}

bool fleet_evacuate(struct fleet *fleet, const char *data_centre,
		    bool evacuated)
{
	struct evacuation *known =
		g_hash_table_lookup(fleet->evacuated, data_centre);

	if (known)
		known->listed = true;
	if (evacuated == (known != NULL))
		return false;
	evacuation_log(evacuated ? "data_centre_evacuated"
				 : "data_centre_taken_back",
		       data_centre);
	if (evacuated) {
		known = g_new0(struct evacuation, 1);
		known->listed = true;
		g_hash_table_insert(fleet->evacuated, g_strdup(data_centre),
				    known);
	} else {
		g_hash_table_remove(fleet->evacuated, data_centre);
	}
	centres_sync(fleet);
	return true;
}

void fleet_evacuations_begin(struct fleet *fleet)
{
	struct evacuation *evacuation;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, fleet->evacuated);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&evacuation))
		evacuation->listed = false;
}

void fleet_evacuations_end(struct fleet *fleet)
{
	const struct evacuation *evacuation;
	const char *data_centre;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, fleet->evacuated);
	while (g_hash_table_iter_next(&iter, (gpointer *)&data_centre,
				      (gpointer *)&evacuation)) {
		if (evacuation->listed)
			continue;
		evacuation_log("data_centre_taken_back", data_centre);
		g_hash_table_iter_remove(&iter);
	}
	centres_sync(fleet);
}

struct backend *fleet_get(const struct fleet *fleet, uint64_t handle)
{
	return table_get(fleet->table, handle);
}

struct backend *fleet_find(const struct fleet *fleet, uint64_t key)
{
	return g_hash_table_lookup(fleet->keys, &key);
}

struct backend *fleet_find_id(const struct fleet *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->ids, id);
}

const GPtrArray *fleet_service(const struct fleet *fleet, uint64_t service)
{
	const struct service *found =
		g_hash_table_lookup(fleet->services, &service);

	return found ? found->all : NULL;
}

const GPtrArray *fleet_stage(struct fleet *fleet, uint64_t service,
			     enum backend_stage stage, bool in_group)
{
	struct service *found = service_get(fleet, service);

	if (!found->sorted)
		service_sort(found);
	return found->sets[stage][in_group];
}

const GPtrArray *fleet_all(const struct fleet *fleet)
{
	return fleet->all;
}

static bool is_charged(const struct backend *backend)
{
	const struct backend_load *own = &backend->own;

	return own->requests || own->decode_tokens || own->prefill_tokens;
}

const GPtrArray *fleet_charged(struct fleet *fleet)
{
	for (guint i = fleet->charged->len; i > 0; i--) {
		struct backend *backend = fleet->charged->pdata[i - 1];

		if (is_charged(backend))
			continue;
		backend->charged = false;
		g_ptr_array_remove_index_fast(fleet->charged, i - 1);
	}
	return fleet->charged;
}

void backend_charge(struct backend *backend, const struct backend_load *load,
		    int times)
{
	struct backend_load *own = &backend->own;

	own->requests += (uint32_t)times * load->requests;
	own->decode_tokens += (uint32_t)times * load->decode_tokens;
	own->prefill_tokens += (uint32_t)times * load->prefill_tokens;
	if (backend->charged)
		return;
	backend->charged = true;
	g_ptr_array_add(backend->fleet->charged, backend);
}

void fleet_set_changing(struct fleet *fleet,
			const struct backend_change *change)
{
	struct backend *backend = fleet_find(fleet, change->key);

	if (backend && backend->info.stage != change->stage)
		backend->changing_until =
			MAX(backend->changing_until,
			    clock_now(fleet->clock) + change->left_usec);
}

bool backend_leaving(const struct backend *backend)
{
	return backend->info.leaving || backend->leaving_reported;
}

bool backend_withdrawn(const struct backend *backend)
{
	return backend_leaving(backend) || backend->evacuated;
}

static bool is_up(const struct backend *backend, int64_t now)
{
	return !backend_withdrawn(backend) && now >= backend->reported_until &&
	       now >= backend->changing_until &&
	       backend_path(backend, now) != PATH_NONE;
}

bool backend_usable(const struct backend *backend, int64_t now)
{
	return is_up(backend, now) && now >= backend->backoff_until;
}

int64_t backend_available_at(const struct backend *backend, int64_t now)
{
	if (!is_up(backend, now))
		return -1;
	return MAX(now, MAX(backend->backoff_until, backend->limited_until));
}

bool backend_set_cold(struct backend *backend, int64_t now, int64_t left_usec)
{
	int64_t until = now + MIN(left_usec, BACKPRESSURE_COLD_MAX_USEC);
	bool extended = until > MAX(backend->cold_until, now) + COLD_SKEW_USEC;

	if (extended)
		log_event(LOG_NOTICE, "backend_cold",
			  LOG_S("backend", backend->info.id),
			  LOG_D("born", backend->info.started_ms),
			  LOG_D("ms", left_usec / USEC_PER_MSEC));
	backend->cold_until = MAX(backend->cold_until, until);
	return extended;
}

bool backend_cold(const struct backend *backend, int64_t now)
{
	return now < backend->cold_until;
}

static uint32_t load_clamp(int64_t sum)
{
	return (uint32_t)CLAMP(sum, 0, UINT32_MAX / 2);
}

uint32_t backend_requests(const struct backend *backend)
{
	return backend->own.requests + load_clamp(backend->peers.requests);
}

uint32_t backend_decode_tokens(const struct backend *backend)
{
	return backend->own.decode_tokens +
	       load_clamp(backend->peers.decode_tokens);
}

uint32_t backend_prefill_tokens(const struct backend *backend)
{
	return backend->own.prefill_tokens +
	       load_clamp(backend->peers.prefill_tokens);
}

double backend_failure_score(const struct backend *backend, int64_t now)
{
	double age = (double)(now - backend->failure_score_at);

	return backend->failure_score *
	       exp2(-age / (double)FAILURE_HALF_LIFE_USEC);
}

void backend_claim_probe(struct backend *backend, int64_t now)
{
	path_claim_probe(backend, now);
	if (backend_refusing(backend))
		backend->changing_until = now + REFUSED_PAUSE_USEC;
}

bool backend_refusing(const struct backend *backend)
{
	return backend->refusals >= REFUSALS_MAX;
}

void backend_run_started(struct backend *backend)
{
	if (backend_refusing(backend))
		backend->changing_until = 0;
	backend->refusals = 0;
}

void backend_run_refused(struct backend *backend, int64_t now)
{
	backend->refusals++;
	if (!backend_refusing(backend))
		return;
	backend->changing_until =
		MAX(backend->changing_until, now + REFUSED_PAUSE_USEC);
	backend_log("backend_refuses_runs", backend);
}

void backend_reservation_refused(struct backend *backend, int64_t now,
				 int64_t staleness)
{
	int64_t retry = FULL_RETRY_USEC << MIN(backend->full_count, 1u);

	backend->full_until = now + MAX(retry, staleness);
	backend->full_count++;
}

void backend_reservation_granted(struct backend *backend)
{
	backend->full_count = 0;
}

void backend_succeeded(struct backend *backend, int64_t now)
{
	backend->failure_score =
		backend_failure_score(backend, now) * FAILURE_SUCCESS_FACTOR;
	backend->failure_score_at = now;
}

void backend_failed(struct backend *backend, int64_t now)
{
	backend->failure_score = backend_failure_score(backend, now) + 1.0;
	backend->failure_score_at = now;
}
