/*
 * component_link.c - platform, peers, membership, directory and instance list
 */
#include "component_private.h"

#include <string.h>

#include "common/log.h"
#include "entry/admin.h"
#include "entry/directory.h"
#include "entry/directory_sync.h"
#include "entry/entry.h"
#include "entry/own_platform.h"
#include "entry/peers.h"
#include "entry/poller.h"
#include "entry/requests.h"

bool platform_start(void *ctx, struct error *err)
{
	struct entry *entry = ctx;
	struct platform_settings settings = {
		.address = entry->settings.platform,
		.list_usec = entry->settings.list_usec,
		.seed = g_rand_int(entry->rand),
	};

	entry->platform = platform_create(entry->loop, entry->client,
					  entry->counters, &settings);
	return true;
}

void platform_stop(void *ctx)
{
	struct entry *entry = ctx;

	platform_destroy(entry->platform);
	entry->platform = NULL;
}

static const char *peer_address(void *ctx, uint64_t instance)
{
	const struct entry *entry = ctx;
	const struct member *member;

	if (!entry->membership)
		return NULL;
	member = membership_find(entry->membership, instance);
	return member && member->peer_address[0] ? member->peer_address : NULL;
}

static void peer_hello(void *ctx, const struct member *peer)
{
	const struct entry *entry = ctx;

	if (entry->membership && !membership_find(entry->membership, peer->id))
		membership_hint(entry->membership, peer);
}

static void peers_failed(void *ctx, const struct error *why)
{
	const struct entry *entry = ctx;

	supervisor_fail(entry->supervisor, "peers", why);
}

bool peers_start(void *ctx, struct error *err)
{
	static const struct peers_ops ops = {
		.address = peer_address,
		.hello = peer_hello,
		.failed = peers_failed,
	};
	struct entry *entry = ctx;

	entry->incarnation = (uint64_t)clock_unix(entry->clock);
	struct peers_settings settings = {
		.name = entry->settings.name,
		.data_centre = entry->settings.data_centre,
		.listen = entry->settings.peer_listen,
		.incarnation = entry->incarnation,
		.seed = g_rand_int(entry->rand),
		.coalesce_usec = entry->settings.coalesce_usec,
		.datagrams = entry->settings.peer_datagrams,
	};

	entry->peers = peers_create(entry->loop, entry->counters, &settings,
				    &ops, entry, err);
	if (!entry->peers)
		return false;
	log_event(LOG_INFO, "listening", LOG_S("role", "peers"),
		  LOG_S("address", peers_address(entry->peers)));
	return true;
}

void peers_stop(void *ctx)
{
	struct entry *entry = ctx;

	peers_destroy(entry->peers);
	entry->peers = NULL;
}

static const char *state_label(const enum member_state *state)
{
	static const char *const labels[] = {
		[MEMBER_ALIVE] = "alive",
		[MEMBER_SUSPECT] = "suspect",
		[MEMBER_LEAVING] = "leaving",
		[MEMBER_DEAD] = "dead",
	};

	return state ? labels[*state] : "unknown";
}

static void member_changed(void *ctx, const struct member *member,
			   const enum member_state *old)
{
	struct entry *entry = ctx;

	if (!old || *old != member->state)
		log_event(LOG_NOTICE, "member_changed",
			  LOG_S("member", member->name),
			  LOG_S("data_centre", member->data_centre),
			  LOG_S("from", state_label(old)),
			  LOG_S("to", state_label(&member->state)),
			  LOG_D("incarnation", member->incarnation));
	if (entry->fold)
		fold_member_changed(entry->fold, member);
	if (entry->claims)
		claims_member_changed(entry->claims, member);
	if (entry->ledger)
		ledger_member(entry->ledger, member);
	if (entry->poller)
		poller_refresh(entry->poller);
}

static void member_fact(void *ctx, uint64_t key, uint64_t version,
			const void *value, size_t size)
{
	struct entry *entry = ctx;

	if (entry->directory)
		directory_fact(entry->directory, key, value, size);
}

static void member_refuted(void *ctx, uint64_t incarnation)
{
	struct entry *entry = ctx;

	log_event(LOG_WARNING, "incarnation_raised",
		  LOG_D("incarnation", incarnation));
	counter_get(entry->counters, "jt_incarnations_raised_total",
		    "Times that others held this instance dead", NULL)
		->value++;
	if (entry->requests)
		requests_refuted(entry->requests);
	if (entry->ledger)
		ledger_member(entry->ledger,
			      membership_self(entry->membership));
}

void entry_paused(struct entry *entry, int64_t gap_usec)
{
	int64_t limit = SUSPECT_HEARTBEATS * entry->settings.heartbeat_usec;

	if (gap_usec < limit)
		return;
	log_event(LOG_WARNING, "paused", LOG_D("gap_us", gap_usec));
	counter_get(entry->counters, "jt_pauses_total",
		    "Times that the process stood still too long", NULL)
		->value++;
	if (entry->membership)
		membership_paused(entry->membership, gap_usec);
	if (entry->requests)
		requests_paused(entry->requests);
}

static void self_fill(const struct entry *entry, struct member *self)
{
	*self = (struct member){
		.id = id_of(entry->settings.name),
		.incarnation = entry->incarnation,
		.state = MEMBER_ALIVE,
	};
	g_strlcpy(self->name, entry->settings.name, sizeof(self->name));
	g_strlcpy(self->data_centre, entry->settings.data_centre,
		  sizeof(self->data_centre));
	g_strlcpy(self->peer_address, peers_address(entry->peers),
		  sizeof(self->peer_address));
	g_strlcpy(self->http_address, web_server_address(entry->server),
		  sizeof(self->http_address));
}

static void member_receive(void *ctx, uint64_t from, const void *data,
			   size_t size)
{
	membership_receive(ctx, from, data, size);
}

bool membership_component_start(void *ctx, struct error *err)
{
	static const struct membership_ops ops = {
		.changed = member_changed,
		.fact = member_fact,
		.refuted = member_refuted,
	};
	struct entry *entry = ctx;
	int64_t heartbeat = entry->settings.heartbeat_usec;
	struct membership_settings settings = {
		.heartbeat = heartbeat,
		.suspect_after = SUSPECT_HEARTBEATS * heartbeat,
		.dead_after = SUSPECT_HEARTBEATS * heartbeat,
		.seed = g_rand_int(entry->rand),
	};
	struct transport transport = peers_transport(entry->peers);
	struct member self;

	self_fill(entry, &self);
	entry->membership = membership_create(entry->clock, &self, &settings,
					      &transport, &ops, entry);
	peers_handler_set(entry->peers, CHANNEL_MEMBER, member_receive,
			  entry->membership);
	membership_start(entry->membership);
	return true;
}

void membership_component_stop(void *ctx)
{
	struct entry *entry = ctx;

	peers_handler_set(entry->peers, CHANNEL_MEMBER, NULL, NULL);
	membership_destroy(entry->membership);
	entry->membership = NULL;
}

bool directory_start(void *ctx, struct error *err)
{
	struct entry *entry = ctx;

	entry->directory = directory_create(entry);
	entry->directory_sync = directory_sync_create(entry);
	return true;
}

void directory_stop(void *ctx)
{
	struct entry *entry = ctx;

	directory_sync_destroy(entry->directory_sync);
	entry->directory_sync = NULL;
	directory_destroy(entry->directory);
	entry->directory = NULL;
}

static void listed_member(void *ctx, const struct member *member)
{
	const struct entry *entry = ctx;

	membership_hint(entry->membership, member);
}

static void listed_backend(void *ctx, const struct backend *backend)
{
	const struct entry *entry = ctx;

	directory_put(entry->directory, backend);
}

static void listed_sweep_end(void *ctx)
{
	const struct entry *entry = ctx;

	directory_sweep_end(entry->directory);
}

static uint32_t list_every(void *ctx)
{
	const struct entry *entry = ctx;

	return directory_sync_every(entry->directory_sync);
}

static bool seeds_hint(const struct entry *entry, struct error *err)
{
	for (unsigned int i = 0; i < entry->settings.seed_count; i++) {
		struct member member = {.state = MEMBER_ALIVE};
		struct settings_seed seed;

		if (!settings_seed_parse(&seed, entry->settings.seeds[i], err))
			return false;
		if (strcmp(seed.name, entry->settings.name) == 0)
			continue;
		member.id = id_of(seed.name);
		g_strlcpy(member.name, seed.name, sizeof(member.name));
		g_strlcpy(member.data_centre, seed.data_centre,
			  sizeof(member.data_centre));
		g_strlcpy(member.peer_address, seed.address,
			  sizeof(member.peer_address));
		membership_hint(entry->membership, &member);
	}
	return true;
}

bool list_start(void *ctx, struct error *err)
{
	static const struct platform_list_ops ops = {
		.member = listed_member,
		.backend = listed_backend,
		.read_complete = listed_sweep_end,
		.periods_per_read = list_every,
	};
	struct entry *entry = ctx;
	struct platform_self self = {
		.name = entry->settings.name,
		.data_centre = entry->settings.data_centre,
		.address = web_server_address(entry->server),
		.peer_address = peers_address(entry->peers),
		.admin_address = admin_address(entry->admin),
		.incarnation = entry->incarnation,
	};

	if (!seeds_hint(entry, err))
		return false;
	platform_list_start(entry->platform, &self, &ops, entry);
	return true;
}

void list_stop(void *ctx)
{
	struct entry *entry = ctx;

	platform_list_stop(entry->platform);
}
