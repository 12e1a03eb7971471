/*
 * node_feeds.c - streams of the platform's store: configuration, list of
 * backend servers and peers
 */
#include "node.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/compress.h"
#include "common/id.h"
#include "common/log.h"
#include "common/position.h"
#include "common/setting.h"

/* Timeout of a waiting read, whose answer is lost when the store or the network
 * fails. A change must be known two seconds after it once the store has been
 * available for three. */
#define CONFIG_WAIT_USEC (500 * USEC_PER_MSEC)
#define TICK_USEC (100 * USEC_PER_MSEC)
/* Timeout of a fetch of changes from a peer, which takes about a round trip,
 * and of connecting. */
#define FETCH_TIMEOUT_USEC (300 * USEC_PER_MSEC)
/* Timeout of a fetch of a whole mirror: a large list takes a small instance
 * longer to compress and to send. */
#define FETCH_WHOLE_TIMEOUT_USEC (3 * USEC_PER_SEC)
#define MIRROR_BYTES_MAX (8u << 20)
/* Smaller mirrors are sent uncompressed. */
#define COMPRESS_BYTES_MIN (4u << 10)
/* Bytes of mirrors that an instance serves per second: a tenth of the memory of
 * a small one, half the bandwidth of a slow link (100 Mbit/s). */
#define SERVE_BYTES_PER_SEC ((size_t)6 << 20)
/* Random delay before a fetch, per live peer, and its bound. Peers that have
 * fetched announce the new version too, so not all fetch from the first. */
#define FETCH_SPREAD_USEC (5 * USEC_PER_MSEC)
#define FETCH_SPREAD_MAX_USEC (150 * USEC_PER_MSEC)
/* Instances of a group that fetch from remote data centres at once; the others
 * wait this long for a local peer to announce the version. */
#define REMOTE_FETCHERS 2u
#define REMOTE_FETCH_DELAY_USEC (800 * USEC_PER_MSEC)
#define REGISTER_RETRY_USEC (500 * USEC_PER_MSEC)
/* All instances register again when the store has lost them: one in this time.
 * The store takes 400 writes a second. */
#define REGISTER_SPREAD_USEC (5 * USEC_PER_MSEC)
/* Clocks of servers may be ahead of ours by less than this. */
#define START_AHEAD_MAX_USEC (24 * 60 * 60 * USEC_PER_SEC)
/* Keys whose last refused value is remembered, so that it is logged once. */
#define REFUSED_MAX 1024u

/* Whether this value of the key was already refused. A server that writes an
 * invalid entry may do so with each heartbeat. */
static bool refused_before(struct node *node, const char *key, const void *data,
			   size_t size)
{
	uint64_t hash = id_hash(data, size);
	uint64_t *known = g_hash_table_lookup(node->refused, key);

	if (known && *known == hash)
		return true;
	if (g_hash_table_size(node->refused) >= REFUSED_MAX)
		g_hash_table_remove_all(node->refused);
	g_hash_table_replace(node->refused, g_strdup(key),
			     g_memdup2(&hash, sizeof(hash)));
	return false;
}

static void refused_log(struct node *node, const char *what, const char *key,
			uint64_t offset, const struct error *err)
{
	node->malformed->value++;
	log_event(LOG_WARNING, "record_refused", LOG_S("what", what),
		  LOG_S("key", key), LOG_D("offset", position_offset(offset)),
		  LOG_S("reason", err->text));
}

static enum mirror_effect on_config(void *ctx, uint64_t offset, const char *key,
				    const void *data, size_t size)
{
	struct node *node = ctx;
	char centre[BACKEND_TEXT_MAX];
	struct catalog *catalog;
	struct error err;
	bool in_force;

	if (node->interface.decode_evacuation(key, centre))
		return fleet_evacuate(node->fleet, centre, data != NULL)
			       ? MIRROR_CHANGED
			       : MIRROR_UNCHANGED;
	if (strcmp(key, node->interface.config_key) != 0 || !data)
		return MIRROR_UNCHANGED;
	catalog = node->interface.decode_catalog(data, size, &err);
	/* Peers that start later must get the version in force here, and
	 * neither an older nor an invalid one. */
	if (!catalog) {
		refused_log(node, "configuration", key, offset, &err);
		return MIRROR_REJECTED;
	}
	in_force = forward_set_catalog(node->forward, catalog);
	catalog_unref(catalog);
	return in_force ? MIRROR_CHANGED : MIRROR_REJECTED;
}

/* An invalid entry removes the server that the key named before. */
static enum mirror_effect backend_refuse(struct node *node, uint64_t offset,
					 const struct feed_record *record,
					 const struct error *err)
{
	bool known = fleet_find_id(node->fleet, record->key);

	if (!refused_before(node, record->key, record->value, record->size))
		refused_log(node, "backend server", record->key, offset, err);
	fleet_remove(node->fleet, record->key);
	return known ? MIRROR_CHANGED : MIRROR_UNCHANGED;
}

static bool backend_read(struct node *node, const struct feed_record *record,
			 struct backend_info *info, struct error *err)
{
	int64_t latest_ms = (clock_unix(node->clock) + START_AHEAD_MAX_USEC) /
			    USEC_PER_MSEC;

	if (!node->interface.decode_backend(record->key, record->value,
					    record->size, info, err))
		return false;
	/* It would make all later entries of the server look old. */
	if (info->started_ms > latest_ms)
		return error_set(err, RESULT_BAD_CONFIG,
				 "entry has a start time in the future");
	if (info->started_ms > 0 ||
	    fleet_started_ms(node->fleet, record->key) == 0)
		return true;
	return error_set(err, RESULT_BAD_CONFIG,
			 "entry has no start time, but an earlier one had");
}

/* Servers write about every second; most entries change nothing. */
static enum mirror_effect on_backend(void *ctx, uint64_t offset,
				     const char *key, const void *data,
				     size_t size)
{
	struct node *node = ctx;
	const struct feed_record record = {offset, key, data, size};
	const struct backend *known = fleet_find_id(node->fleet, key);
	struct backend_info info;
	struct backend *put;
	struct error err;
	bool same;

	if (!data) {
		fleet_remove(node->fleet, key);
		return known ? MIRROR_CHANGED : MIRROR_UNCHANGED;
	}
	if (!backend_read(node, &record, &info, &err))
		return backend_refuse(node, offset, &record, &err);
	same = known && backend_info_same(&known->info, &info);
	put = fleet_put(node->fleet, &info);
	if (!put) {
		log_event(LOG_INFO, "entry_passed_over", LOG_S("backend", key),
			  LOG_D("born", info.started_ms),
			  LOG_D("offset", position_offset(offset)));
		return MIRROR_REJECTED;
	}
	if (backend_set_cold(put, clock_now(node->clock), info.cold_usec))
		return MIRROR_CHANGED;
	return same ? MIRROR_UNCHANGED : MIRROR_CHANGED;
}

static void on_config_begin(void *ctx)
{
	struct node *node = ctx;

	fleet_evacuations_begin(node->fleet);
}

static void on_config_end(void *ctx)
{
	struct node *node = ctx;

	fleet_evacuations_end(node->fleet);
}

static bool on_backend_repeats(void *ctx, const void *before,
			       size_t before_size, const void *data,
			       size_t size)
{
	const struct node *node = ctx;

	return node->interface.backend_repeats(before, before_size, data, size);
}

static bool on_backend_newer(void *ctx, const void *before, size_t before_size,
			     const void *data, size_t size)
{
	const struct node *node = ctx;

	return node->interface.backend_newer(before, before_size, data, size);
}

/* An invalid entry is of another writer, so its number does not count. */
static bool on_backend_outdated(void *ctx, const char *key, const void *before,
				size_t before_size, const void *data,
				size_t size)
{
	const struct node *node = ctx;
	struct backend_info info;
	struct error err;

	return node->interface.backend_outdated(before, before_size, data,
						size) &&
	       node->interface.decode_backend(key, data, size, &info, &err);
}

static void on_list_begin(void *ctx)
{
	struct node *node = ctx;

	fleet_snapshot_begin(node->fleet);
}

static void on_list_end(void *ctx)
{
	struct node *node = ctx;

	fleet_snapshot_end(node->fleet);
}

static void on_list_synced(void *ctx)
{
	const struct node *node = ctx;

	forward_list_synced(node->forward);
}

static void on_list_missed(void *ctx)
{
	const struct node *node = ctx;

	fleet_list_missed(node->fleet);
}

/* ---- mirrors ---- */

static void list_tick(struct node *node)
{
	const struct reader_state state = {
		.synced_at = node->registered_at,
		.failing = feed_failing(node->peer_feed),
		.failed_at = feed_failed_at(node->peer_feed),
		.backoff = feed_backoff(node->peer_feed),
		.seed = id_of(node->settings.name),
	};

	if (reader_list_is_due(&state, gossip_instances(node->gossip) - 1,
			       clock_now(node->clock)))
		feed_poll(node->peer_feed);
}

/* The latest era that a copy shows; false without a copy. */
static bool era_find(const struct node *node, uint64_t *era)
{
	bool found = false;

	*era = 0;
	for (int i = 0; i < GOSSIP_MIRRORS; i++) {
		struct mirror_status status;

		mirror_status(node->mirrors[i].mirror, &status);
		found |= status.age_usec >= 0;
		*era = MAX(*era, position_era(status.next));
	}
	return found;
}

/* Writes again what this instance has written to the store, which may have lost
 * it, once it has come back from an older copy. */
static void era_check(struct node *node)
{
	double spread = (double)gossip_instances(node->gossip) *
			(double)REGISTER_SPREAD_USEC;
	bool is_first = !node->era_known;
	uint64_t era;

	if (!era_find(node, &era) || (!is_first && era <= node->era))
		return;
	node->era = era;
	node->era_known = true;
	if (is_first || node->draining)
		return;
	quarantine_store_lost(node->quarantine);
	timer_start(&node->register_timer,
		    (int64_t)(g_rand_double(node->rand) * spread));
}

static void on_tick(struct timer *timer, void *ctx)
{
	struct node *node = ctx;
	struct reader_place place;

	timer_start(timer, TICK_USEC);
	era_check(node);
	gossip_place(node->gossip, &place);
	for (int i = 0; i < GOSSIP_MIRRORS; i++)
		mirror_tick(node->mirrors[i].mirror, &place);
	list_tick(node);
	node_quarantine_tick(node);
	node_permits_tick(node);
	node_relays_tick(node);
}

static bool mirror_expand(struct node_mirror *mirror, const void *body,
			  size_t size, struct error *err)
{
	g_autoptr(GByteArray) whole =
		message_decompress(body, size, MIRROR_BYTES_MAX, err);

	return whole &&
	       mirror_decode(mirror->mirror, whole->data, whole->len, err);
}

static void on_fetched(void *ctx, const struct web_result *result, int status,
		       const void *body, size_t size)
{
	struct node_mirror *mirror = ctx;
	struct error err;

	mirror->fetch = NULL;
	if (!result->ok || status != 200)
		log_event(LOG_NOTICE, "copy_not_fetched",
			  LOG_S("peer", mirror->from), LOG_D("status", status),
			  LOG_S("reason", result->text));
	else if (!mirror_expand(mirror, body, size, &err))
		log_event(LOG_WARNING, "copy_malformed",
			  LOG_S("peer", mirror->from),
			  LOG_S("reason", err.text));
}

static void on_fetch(struct timer *timer, void *ctx)
{
	struct node_mirror *mirror = ctx;
	struct node *node = mirror->node;
	uint64_t from = mirror->whole ? 0 : mirror_position(mirror->mirror);
	int64_t limit =
		from > 0 ? FETCH_TIMEOUT_USEC : FETCH_WHOLE_TIMEOUT_USEC;
	g_autofree char *path =
		g_strdup_printf(MIRROR_PATH "%d?from=%" PRIu64,
				(int)(mirror - node->mirrors), from);
	const struct web_call_spec spec = {
		.address = mirror->from,
		.method = "GET",
		.path = path,
		.connect_usec = FETCH_TIMEOUT_USEC,
		.head_usec = limit,
		.idle_usec = limit,
	};

	mirror->whole = false;
	mirror->fetch = web_fetch(node->client, &spec, MIRROR_BYTES_MAX,
				  on_fetched, mirror);
}

void node_mirrors_status(const struct node *node,
			 struct gossip_summary *summary)
{
	for (int i = 0; i < GOSSIP_MIRRORS; i++)
		mirror_status(node->mirrors[i].mirror, &summary->mirrors[i]);
}

/* In a grouped data centre few instances fetch from remote ones; the others
 * wait to fetch from these. */
static bool local_may_serve(struct node_mirror *mirror, const char *address)
{
	const struct node *node = mirror->node;
	int64_t now = clock_now(node->clock);

	if (!gossip_grouped(node->gossip) ||
	    gossip_rank(node->gossip) < REMOTE_FETCHERS ||
	    gossip_is_local(node->gossip, address))
		return false;
	if (mirror->remote_since == 0)
		mirror->remote_since = now;
	return now - mirror->remote_since < REMOTE_FETCH_DELAY_USEC;
}

/* Whether a peer has a later configuration in force though its copy reaches no
 * further: the store has come back with an older one, or its newest one is
 * invalid. */
static bool is_older_config(const struct node *node, enum node_stream stream,
			    const struct gossip_summary *summary)
{
	const struct catalog *catalog = forward_catalog(node->forward);
	uint64_t version = catalog ? catalog->version : 0;
	uint64_t position = mirror_position(node->mirrors[stream].mirror);

	return stream == STREAM_CONFIG && summary->version > version &&
	       summary->mirrors[stream].next >= position;
}

void node_mirrors_merge(struct node *node, const char *address,
			const struct gossip_summary *summary)
{
	int64_t spread =
		MIN(gossip_live_count(node->gossip) * FETCH_SPREAD_USEC,
		    FETCH_SPREAD_MAX_USEC);

	for (int i = 0; i < GOSSIP_MIRRORS; i++) {
		struct node_mirror *mirror = &node->mirrors[i];
		bool is_behind = mirror_merge_status(mirror->mirror,
						     &summary->mirrors[i]);

		if (!is_behind &&
		    is_older_config(node, (enum node_stream)i, summary))
			is_behind = mirror->whole = true;
		if (!is_behind) {
			mirror->remote_since = 0;
			continue;
		}
		mirror_fetch_pending(mirror->mirror);
		if (mirror->fetch || local_may_serve(mirror, address))
			continue;
		g_strlcpy(mirror->from, address, sizeof(mirror->from));
		if (!timer_running(&mirror->fetch_timer))
			timer_start(&mirror->fetch_timer,
				    (int64_t)(g_rand_double(node->rand) *
					      (double)spread));
	}
}

/* A large mirror requested by all peers at once would exhaust memory and
 * bandwidth. A refused peer fetches from another one or from the store. */
static bool may_serve(struct node *node, size_t size)
{
	int64_t now = clock_now(node->clock);

	if (now - node->served_since >= USEC_PER_SEC) {
		node->served_since = now;
		node->served_bytes = 0;
	}
	if (node->served_bytes > 0 &&
	    node->served_bytes + size > SERVE_BYTES_PER_SEC)
		return false;
	node->served_bytes += size;
	return true;
}

void node_mirror_serve(void *ctx, struct web_request *request)
{
	struct node *node = ctx;
	struct web_text path = web_request_path(request);
	size_t at = strlen(MIRROR_PATH);
	int i = path.size == at + 1 ? path.data[at] - '0' : -1;
	g_autoptr(GByteArray) out = NULL;
	char from[32] = "0";

	if (i < 0 || i >= GOSSIP_MIRRORS) {
		web_reply(request, 404, "text/plain", "no such copy\n", 13);
		return;
	}
	web_request_param(request, "from", from, sizeof(from));
	if (!may_serve(node, mirror_encoded_size(node->mirrors[i].mirror,
						 strtoull(from, NULL, 10)))) {
		web_reply(request, 503, "text/plain", "busy\n", 5);
		return;
	}
	out = g_byte_array_new();
	mirror_encode(node->mirrors[i].mirror, strtoull(from, NULL, 10), out);
	message_compress(out, COMPRESS_BYTES_MIN);
	web_reply(request, 200, "application/msgpack", out->data, out->len);
}

/* ---- peers ---- */

static void on_peer(void *ctx, const struct feed_record *record)
{
	struct node *node = ctx;
	g_autofree char *text = NULL;
	char *data_centre;

	if (!record->value || node_quarantine_read(node, record))
		return;
	node->peers_lower += strcmp(record->key, node->settings.name) < 0;
	text = g_strndup(record->value, record->size);
	data_centre = strchr(text, ' ');
	if (data_centre)
		*data_centre++ = '\0';
	if (data_centre && !setting_name_valid(data_centre))
		data_centre = NULL;
	gossip_add_peer(node->gossip, text, data_centre);
}

static void on_peers_listed(void *ctx)
{
	struct node *node = ctx;

	if (node->peers_listed)
		return;
	node->peers_listed = true;
	gossip_refresh_peers(node->gossip);
	for (int i = 0; i < GOSSIP_MIRRORS; i++)
		mirror_start(node->mirrors[i].mirror, node->peers_lower);
}

static void on_registered(void *ctx, enum result_code code)
{
	struct node *node = ctx;

	if (node->draining)
		return;
	node->registered = code == RESULT_OK;
	if (node->registered) {
		log_event(LOG_INFO, "registered", LOG_D("era", node->era));
		node->registered_at = clock_now(node->clock);
		feed_poll(node->peer_feed);
	} else {
		timer_start(&node->register_timer, REGISTER_RETRY_USEC);
	}
}

/* Registers before it reads the peers, so that of two instances that start
 * together at least one finds the other. */
static void on_register(struct timer *timer, void *ctx)
{
	struct node *node = ctx;
	g_autofree char *value =
		g_strdup_printf("%s %s", web_server_address(node->peers_server),
				node->settings.data_centre);

	node->interface.put(node->interface.ctx, PEER_STREAM,
			    node->settings.name, value, on_registered, node);
}

static void on_unregistered(void *ctx, enum result_code code)
{
	if (code != RESULT_OK)
		log_event(LOG_NOTICE, "unregister_failed",
			  LOG_S("reason", result_label(code)));
}

void node_unregister(struct node *node)
{
	timer_stop(&node->register_timer);
	if (node->registered)
		node->interface.put(node->interface.ctx, PEER_STREAM,
				    node->settings.name, NULL, on_unregistered,
				    node);
	node->registered = false;
}

static void mirror_open(struct node *node, enum node_stream stream,
			const struct feed_settings *settings,
			const struct mirror_ops *ops)
{
	struct node_mirror *mirror = &node->mirrors[stream];

	mirror->node = node;
	mirror->mirror = mirror_create(node->clock, &node->interface.feeds,
				       settings, ops, node);
	timer_init(&mirror->fetch_timer, node->clock, on_fetch, mirror);
}

void node_feeds_start(struct node *node)
{
	static const struct mirror_ops config_ops = {
		.begin = on_config_begin,
		.end = on_config_end,
		.value = on_config,
	};
	static const struct mirror_ops list_ops = {
		.begin = on_list_begin,
		.end = on_list_end,
		.value = on_backend,
		.repeats = on_backend_repeats,
		.newer = on_backend_newer,
		.outdated = on_backend_outdated,
		.synced = on_list_synced,
		.missed = on_list_missed,
	};
	static const struct feed_ops peer_ops = {
		.snapshot_end = on_peers_listed,
		.record = on_peer,
	};
	const struct feed_settings config = {
		.stream = node->interface.config_stream,
		.wait_usec = CONFIG_WAIT_USEC,
		.seed = id_of(node->settings.name),
	};
	const struct feed_settings list = {
		.stream = node->interface.list_stream,
		.seed = id_of(node->settings.name),
	};
	const struct feed_settings peers = {.stream = PEER_STREAM,
					    .on_demand = true};

	node->refused =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	mirror_open(node, STREAM_CONFIG, &config, &config_ops);
	mirror_open(node, STREAM_LIST, &list, &list_ops);
	node->peer_feed = feed_create(node->clock, &node->interface.feeds,
				      &peers, &peer_ops, node);
	timer_init(&node->register_timer, node->clock, on_register, node);
	timer_init(&node->mirrors_timer, node->clock, on_tick, node);
	timer_start(&node->register_timer, 0);
	timer_start(&node->mirrors_timer, TICK_USEC);
}

void node_feeds_stop(struct node *node)
{
	timer_stop(&node->register_timer);
	timer_stop(&node->mirrors_timer);
	for (int i = 0; i < GOSSIP_MIRRORS; i++) {
		struct node_mirror *mirror = &node->mirrors[i];

		timer_stop(&mirror->fetch_timer);
		if (mirror->fetch)
			web_call_cancel(mirror->fetch);
		mirror_destroy(mirror->mirror);
	}
	feed_destroy(node->peer_feed);
	g_hash_table_destroy(node->refused);
}
