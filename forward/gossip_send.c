/*
 * gossip_send.c - schedule and contents of summaries and load changes
 */
#include <string.h>
#include <sys/socket.h>

#include "gossip_private.h"

/* Shortest interval between summaries to a peer while nothing changes, and
 * longest interval for an instance that reads the store. */
#define IDLE_INTERVAL_USEC (300 * USEC_PER_MSEC)
/* Interval at which a silent or unknown address is tried. */
#define PROBE_INTERVAL_USEC (1 * USEC_PER_SEC)
/* Number of peers of unknown group to send to at a time. The summaries that
 * they return hold the addresses of others. */
#define UNKNOWN_PEERS_MAX 64u
/* Peers examined in search of a live one. */
#define ADDRESS_TRIES 16u
/* Weight of a new measurement in the mean delay of load changes. */
#define DELAY_WEIGHT 0.05

void peer_send(struct gossip *gossip, const struct peer *peer,
	       const GByteArray *out)
{
	gossip->traffic.sent++;
	gossip->traffic.sent_bytes += out->len;
	/* The next datagram makes up for one that could not be sent. */
	(void)sendto(gossip->fd, out->data, out->len,
		     MSG_DONTWAIT | MSG_NOSIGNAL, (struct sockaddr *)&peer->to,
		     peer->to_size);
}

void peers_send(struct gossip *gossip, const GPtrArray *peers,
		const GByteArray *out)
{
	for (guint i = 0; i < peers->len; i++)
		if (peer_live(gossip, peers->pdata[i]))
			peer_send(gossip, peers->pdata[i], out);
}

/* Adds the address of one live peer, in rotation, so that an instance that
 * could not read the store learns all peers from one. */
static void address_add(struct gossip *gossip, struct gossip_message *message)
{
	guint size = gossip->local->len + gossip->remote->len;

	for (guint i = 0; i < MIN(size, ADDRESS_TRIES); i++) {
		guint at = gossip->next_address++ % size;
		const struct peer *peer =
			at < gossip->local->len
				? gossip->local->pdata[at]
				: gossip->remote
					  ->pdata[at - gossip->local->len];

		if (!peer_live(gossip, peer))
			continue;
		gossip_message_add(message, peer->address);
		return;
	}
}

void message_begin(struct gossip *gossip, struct gossip_message *message,
		   enum gossip_kind kind)
{
	gossip_message_init(message, kind);
	message->boot = gossip->settings.boot;
	message->sequence = ++gossip->sequence;
	g_strlcpy(message->name, gossip->settings.name, sizeof(message->name));
	g_strlcpy(message->group, gossip->group, sizeof(message->group));
}

static void sent_loads_replace(struct gossip *gossip, const GArray *loads)
{
	g_array_set_size(gossip->sent_loads, 0);
	g_array_append_vals(gossip->sent_loads, loads->data, loads->len);
}

static void loads_changed(struct gossip *gossip)
{
	gossip->revision++;
	gossip->group_revision++;
	gossip->changed_at = gossip_now(gossip);
}

/* Encodes the current summary of this instance, with those speeds of servers or
 * with the current batch. */
static GByteArray *instance_summary_encode(struct gossip *gossip,
					   const GArray *speeds)
{
	g_autoptr(GArray) changes =
		g_array_new(FALSE, TRUE, sizeof(struct gossip_load));
	GByteArray *out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_INSTANCE_SUMMARY);
	gossip->ops.summary(gossip->ctx, &message.summary);
	gossip->store_unreachable = message.summary.store_unreachable;
	gossip_servers_own(gossip, &message.summary);
	g_strlcpy(message.lowest.name, message.name,
		  sizeof(message.lowest.name));
	loads_own(gossip, message.loads);
	address_add(gossip, &message);
	gossip_usage_add(gossip, false, message.usage);
	gossip_facts_add(gossip, message.facts);
	if (speeds)
		g_array_append_vals(message.speeds, speeds->data, speeds->len);
	else
		gossip_speeds_add(gossip, false, message.speeds);
	gossip_encode(&message, out);
	loads_diff(gossip->sent_loads, message.loads, changes);
	if (message.summary.leaving || changes->len > 0)
		loads_changed(gossip);
	sent_loads_replace(gossip, message.loads);
	gossip_message_clear(&message);
	return out;
}

static void members_add(const struct gossip *gossip,
			struct gossip_message *message)
{
	if (!message->summary.leaving)
		gossip_message_add(message, gossip->settings.address);
	for (guint i = 0; i < gossip->local->len; i++) {
		const struct peer *peer = gossip->local->pdata[i];

		if (peer_live(gossip, peer))
			gossip_message_add(message, peer->address);
	}
}

/* Encodes the summary of this group, with the addresses of its instances if
 * members is set. */
static GByteArray *group_summary_encode(struct gossip *gossip, bool members)
{
	GByteArray *out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_GROUP_SUMMARY);
	gossip_total_local(gossip, &message.summary);
	gossip_servers_local(gossip, &message.summary);
	gossip_lowest_local(gossip, message.summary.store_unreachable,
			    message.summary.leaving, &message.lowest);
	loads_group(gossip, message.loads);
	if (members)
		members_add(gossip, &message);
	gossip_usage_add(gossip, true, message.usage);
	gossip_facts_add(gossip, message.facts);
	gossip_speeds_add(gossip, true, message.speeds);
	gossip_encode(&message, out);
	gossip_message_clear(&message);
	return out;
}

static void delay_update(double *delay, int64_t usec)
{
	*delay += DELAY_WEIGHT * ((double)usec - *delay);
}

static bool local_due(const struct gossip *gossip, const struct peer *peer,
		      int64_t interval)
{
	if (peer->sent_at == GOSSIP_NEVER)
		return true;
	if (!peer_live(gossip, peer))
		interval = PROBE_INTERVAL_USEC;
	else if (peer->sent_revision == gossip->revision)
		interval = MAX(interval, IDLE_INTERVAL_USEC);
	return gossip_now(gossip) - peer->sent_at >= interval;
}

/* Sends the summary to a local peer; if the peer has started, with further
 * speeds of servers. */
static void local_send_one(struct gossip *gossip, struct peer *peer,
			   const GByteArray *out)
{
	g_autoptr(GArray) speeds =
		g_array_new(FALSE, TRUE, sizeof(struct speed_entry));
	g_autoptr(GByteArray) own = NULL;

	if (gossip_speeds_add_next(gossip, peer, speeds))
		own = instance_summary_encode(gossip, speeds);
	peer_send(gossip, peer, own ? own : out);
}

static void local_send(struct gossip *gossip, const GByteArray *out)
{
	int64_t interval = gossip_interval(gossip, true);

	if (gossip->ops.reads(gossip->ctx))
		interval = MIN(interval, IDLE_INTERVAL_USEC);
	for (guint i = 0; i < gossip->local->len; i++) {
		struct peer *peer = gossip->local->pdata[i];

		if (!local_due(gossip, peer, interval))
			continue;
		peer->sent_at = gossip_now(gossip);
		peer->sent_revision = gossip->revision;
		local_send_one(gossip, peer, out);
	}
}

/* Sends to peers whose group is unknown. The senders of their group learn of
 * this instance that way and send it their summaries. */
static void unknown_peers_send(struct gossip *gossip, const GByteArray *out)
{
	int64_t now = gossip_now(gossip);
	uint32_t left = UNKNOWN_PEERS_MAX;
	GHashTableIter iter;
	struct peer *peer;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (left > 0 &&
	       g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->group[0] ||
		    (peer->sent_at != GOSSIP_NEVER &&
		     now - peer->sent_at < PROBE_INTERVAL_USEC))
			continue;
		peer->sent_at = now;
		peer_send(gossip, peer, out);
		left--;
	}
}

static bool receiver_due(const struct gossip *gossip, const struct peer *peer)
{
	int64_t interval = gossip_interval(gossip, false);

	if (peer->sent_revision == gossip->group_revision)
		interval = MAX(interval, IDLE_INTERVAL_USEC);
	return peer->sent_at == GOSSIP_NEVER ||
	       gossip_now(gossip) - peer->sent_at >= interval;
}

static void receivers_send(struct gossip *gossip)
{
	g_autoptr(GByteArray) without_members = NULL;
	g_autoptr(GByteArray) with_members = NULL;
	int64_t now = gossip_now(gossip);

	for (guint i = 0; i < gossip->receivers->len; i++) {
		struct peer *peer = gossip->receivers->pdata[i];
		bool members = peer->addresses_sent_at == GOSSIP_NEVER ||
			       now - peer->addresses_sent_at >=
				       gossip_members_interval(gossip);
		GByteArray **out = members ? &with_members : &without_members;

		if (!receiver_due(gossip, peer))
			continue;
		if (!*out)
			*out = group_summary_encode(gossip, members);
		if (members)
			peer->addresses_sent_at = now;
		peer->sent_at = now;
		peer->sent_revision = gossip->group_revision;
		peer_send(gossip, peer, *out);
	}
}

void gossip_send_due(struct gossip *gossip)
{
	g_autoptr(GByteArray) out = instance_summary_encode(gossip, NULL);
	uint64_t before = gossip->traffic.sent;

	local_send(gossip, out);
	if (gossip->updated_at == gossip_now(gossip))
		unknown_peers_send(gossip, out);
	gossip_speeds_sent(gossip, false, gossip->traffic.sent - before);
	before = gossip->traffic.sent;
	receivers_send(gossip);
	gossip_speeds_sent(gossip, true, gossip->traffic.sent - before);
}

/* ---- load changes ---- */

/* Takes tokens for all of the datagrams, or none. */
static bool bucket_take(struct gossip *gossip, struct token_bucket *bucket,
			uint32_t count)
{
	int64_t now = gossip_now(gossip);
	double more = (double)(now - bucket->updated_at) /
		      (double)USEC_PER_SEC * bucket->per_sec;

	bucket->tokens = MIN(bucket->tokens + more, bucket->burst);
	bucket->updated_at = now;
	if (bucket->tokens < (double)count)
		return false;
	bucket->tokens -= (double)count;
	return true;
}

static void changes_send_local(struct gossip *gossip, const GByteArray *out)
{
	if (!bucket_take(gossip, &gossip->changes_bucket, gossip->local->len)) {
		delay_update(&gossip->delay_local,
			     gossip_interval(gossip, true));
		return;
	}
	delay_update(&gossip->delay_local,
		     gossip_now(gossip) - gossip->changed_at);
	for (guint i = 0; i < gossip->local->len; i++) {
		struct peer *peer = gossip->local->pdata[i];

		if (!peer_live(gossip, peer))
			continue;
		peer->sent_revision = gossip->revision;
		peer_send(gossip, peer, out);
	}
}

/* Whether any of the changes is on a server of the group. */
static bool changes_affect_group(const struct gossip *gossip,
				 const GArray *changes,
				 const struct group_state *group)
{
	for (guint i = 0; i < changes->len; i++) {
		const struct backend *backend = fleet_find(
			gossip->fleet,
			g_array_index(changes, struct gossip_load, i).backend);

		if (backend &&
		    group_serves(group->name, backend->info.data_centre,
				 backend->key))
			return true;
	}
	return false;
}

static void changes_send_group(struct gossip *gossip,
			       const struct group_state *group,
			       const GArray *changes, const GByteArray *out)
{
	bool is_affected = changes_affect_group(gossip, changes, group);
	struct token_bucket *bucket = is_affected
					      ? &gossip->changes_bucket
					      : &gossip->changes_bucket_remote;

	/* Groups of a divided data centre have enough servers of their own, so
	 * they receive only the changes on these at once. */
	if (!is_affected && !group_is_whole(group->name))
		return;
	if (!bucket_take(gossip, bucket, group->peers->len)) {
		delay_update(&gossip->delay_remote,
			     gossip_interval(gossip, false));
		return;
	}
	delay_update(&gossip->delay_remote,
		     gossip_now(gossip) - gossip->changed_at);
	for (guint i = 0; i < group->peers->len; i++)
		peer_send(gossip, group->peers->pdata[i], out);
}

static void changes_send_groups(struct gossip *gossip, const GArray *changes,
				const GByteArray *out)
{
	struct group_state *group;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, gossip->other_groups);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&group))
		if (group_state_live(gossip, group))
			changes_send_group(gossip, group, changes, out);
}

void gossip_send_changes(struct gossip *gossip)
{
	g_autoptr(GArray) now =
		g_array_new(FALSE, TRUE, sizeof(struct gossip_load));
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_CHANGES);
	loads_own(gossip, now);
	loads_diff(gossip->sent_loads, now, message.loads);
	if (message.loads->len > 0) {
		sent_loads_replace(gossip, now);
		loads_changed(gossip);
		gossip_encode(&message, out);
		changes_send_local(gossip, out);
		changes_send_groups(gossip, message.loads, out);
	}
	gossip_message_clear(&message);
}
