/*
 * gossip_send.c - whom this instance tells what, and when
 */
#include <string.h>
#include <sys/socket.h>

#include "gossip_private.h"

/* A word is sent at least so often although nothing changed. */
#define IDLE_USEC (300 * USEC_PER_MSEC)
/* How often an address that does not answer is tried. */
#define TRY_USEC (1 * USEC_PER_SEC)
/* Strangers told at a time; each tells in turn who else is near. */
#define STRANGERS_MOST 64u
/* Peers that are looked at for one that lives. */
#define ADDRESS_TRIES 16u
/* Weight of a new measurement in the mean delay of telling. */
#define DELAY_WEIGHT 0.05

void peer_send(struct gossip *gossip, const struct peer *peer,
	       const GByteArray *out)
{
	gossip->traffic.sent++;
	gossip->traffic.sent_bytes += out->len;
	/* What cannot be sent is made good by the next one. */
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

/* One address rides along, another each time, so that an instance that could
 * not read the store learns of all peers from one. */
static void address_add(struct gossip *gossip, struct gossip_message *message)
{
	guint size = gossip->local->len + gossip->remote->len;

	for (guint i = 0; i < MIN(size, ADDRESS_TRIES); i++) {
		guint at = gossip->spread++ % size;
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

static void last_replace(struct gossip *gossip, const GArray *loads)
{
	g_array_set_size(gossip->last, 0);
	g_array_append_vals(gossip->last, loads->data, loads->len);
}

static void loads_changed(struct gossip *gossip)
{
	gossip->revision++;
	gossip->centre_revision++;
	gossip->changed_at = gossip_now(gossip);
}

/* This instance's word, to be sent now. */
static GByteArray *own_encode(struct gossip *gossip)
{
	g_autoptr(GArray) changes =
		g_array_new(FALSE, TRUE, sizeof(struct gossip_load));
	GByteArray *out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_OWN);
	gossip->ops.summary(gossip->ctx, &message.summary);
	gossip->store_unreachable = message.summary.store_unreachable;
	gossip_servers_own(gossip, &message.summary);
	g_strlcpy(message.first.name, message.name, sizeof(message.first.name));
	loads_own(gossip, message.loads);
	address_add(gossip, &message);
	gossip_usage_add(gossip, false, message.usage);
	gossip_facts_add(gossip, message.facts);
	gossip_encode(&message, out);
	loads_differ(gossip->last, message.loads, changes);
	if (message.summary.leaving || changes->len > 0)
		loads_changed(gossip);
	last_replace(gossip, message.loads);
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

/* What this instance knows of its data centre; with who lives there, if asked.
 */
static GByteArray *centre_encode(struct gossip *gossip, bool members)
{
	GByteArray *out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_CENTRE);
	gossip_total_local(gossip, &message.summary);
	gossip_servers_local(gossip, &message.summary);
	gossip_first_local(gossip, message.summary.store_unreachable,
			   message.summary.leaving, &message.first);
	loads_centre(gossip, message.loads);
	if (members)
		members_add(gossip, &message);
	gossip_usage_add(gossip, true, message.usage);
	gossip_facts_add(gossip, message.facts);
	gossip_encode(&message, out);
	gossip_message_clear(&message);
	return out;
}

static void delay_add(double *delay, int64_t usec)
{
	*delay += DELAY_WEIGHT * ((double)usec - *delay);
}

static bool near_due(const struct gossip *gossip, const struct peer *peer,
		     int64_t every)
{
	if (peer->told == GOSSIP_NEVER)
		return true;
	if (!peer_live(gossip, peer))
		every = TRY_USEC;
	else if (peer->sent_revision == gossip->revision)
		every = MAX(every, IDLE_USEC);
	return gossip_now(gossip) - peer->told >= every;
}

static void near_tell(struct gossip *gossip, const GByteArray *out)
{
	int64_t every = gossip_interval(gossip, true);

	if (gossip->ops.reads(gossip->ctx))
		every = MIN(every, IDLE_USEC);
	for (guint i = 0; i < gossip->local->len; i++) {
		struct peer *peer = gossip->local->pdata[i];

		if (!near_due(gossip, peer, every))
			continue;
		peer->told = gossip_now(gossip);
		peer->sent_revision = gossip->revision;
		peer_send(gossip, peer, out);
	}
}

/* Whoever is not known to live anywhere. Its data centre's tellers hear of this
 * instance so, and its own tells it in turn. */
static void strangers_tell(struct gossip *gossip, const GByteArray *out)
{
	int64_t now = gossip_now(gossip);
	uint32_t left = STRANGERS_MOST;
	GHashTableIter iter;
	struct peer *peer;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (left > 0 &&
	       g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->group[0] ||
		    (peer->told != GOSSIP_NEVER && now - peer->told < TRY_USEC))
			continue;
		peer->told = now;
		peer_send(gossip, peer, out);
		left--;
	}
}

static bool receiver_due(const struct gossip *gossip, const struct peer *peer)
{
	int64_t every = gossip_interval(gossip, false);

	if (peer->sent_revision == gossip->centre_revision)
		every = MAX(every, IDLE_USEC);
	return peer->told == GOSSIP_NEVER ||
	       gossip_now(gossip) - peer->told >= every;
}

static void receivers_tell(struct gossip *gossip)
{
	g_autoptr(GByteArray) brief = NULL;
	g_autoptr(GByteArray) whole = NULL;
	int64_t now = gossip_now(gossip);

	for (guint i = 0; i < gossip->receivers->len; i++) {
		struct peer *peer = gossip->receivers->pdata[i];
		bool members = peer->addresses_sent_at == GOSSIP_NEVER ||
			       now - peer->addresses_sent_at >=
				       gossip_members_interval(gossip);
		GByteArray **out = members ? &whole : &brief;

		if (!receiver_due(gossip, peer))
			continue;
		if (!*out)
			*out = centre_encode(gossip, members);
		if (members)
			peer->addresses_sent_at = now;
		peer->told = now;
		peer->sent_revision = gossip->centre_revision;
		peer_send(gossip, peer, *out);
	}
}

void gossip_send_due(struct gossip *gossip)
{
	g_autoptr(GByteArray) out = own_encode(gossip);

	near_tell(gossip, out);
	if (gossip->updated == gossip_now(gossip))
		strangers_tell(gossip, out);
	receivers_tell(gossip);
}

/* ---- telling at once ---- */

/* Takes so many datagrams off, or none at all. */
static bool allowance_take(struct gossip *gossip, struct allowance *allowance,
			   uint32_t count)
{
	int64_t now = gossip_now(gossip);
	double more = (double)(now - allowance->at) / (double)USEC_PER_SEC *
		      allowance->per_sec;

	allowance->left = MIN(allowance->left + more, allowance->most);
	allowance->at = now;
	if (allowance->left < (double)count)
		return false;
	allowance->left -= (double)count;
	return true;
}

static void near_tell_at_once(struct gossip *gossip, const GByteArray *out)
{
	if (!allowance_take(gossip, &gossip->at_once, gossip->local->len)) {
		delay_add(&gossip->delay_local, gossip_interval(gossip, true));
		return;
	}
	delay_add(&gossip->delay_local,
		  gossip_now(gossip) - gossip->changed_at);
	for (guint i = 0; i < gossip->local->len; i++) {
		struct peer *peer = gossip->local->pdata[i];

		if (!peer_live(gossip, peer))
			continue;
		peer->sent_revision = gossip->revision;
		peer_send(gossip, peer, out);
	}
}

/* Whether a server of the data centre is among them. */
static bool changes_concern(const struct gossip *gossip, const GArray *changes,
			    const struct centre *centre)
{
	for (guint i = 0; i < changes->len; i++) {
		const struct backend *backend = fleet_find(
			gossip->fleet,
			g_array_index(changes, struct gossip_load, i).backend);

		if (backend &&
		    group_serves(centre->name, backend->info.data_centre,
				 backend->key))
			return true;
	}
	return false;
}

static void centre_tell_at_once(struct gossip *gossip,
				const struct centre *centre,
				const GArray *changes, const GByteArray *out)
{
	bool concerns = changes_concern(gossip, changes, centre);
	struct allowance *allowance =
		concerns ? &gossip->at_once : &gossip->at_once_remote;

	/* Where there are many groups their own servers are plenty. */
	if (!concerns && !group_is_whole(centre->name))
		return;
	if (!allowance_take(gossip, allowance, centre->peers->len)) {
		delay_add(&gossip->delay_remote,
			  gossip_interval(gossip, false));
		return;
	}
	delay_add(&gossip->delay_remote,
		  gossip_now(gossip) - gossip->changed_at);
	for (guint i = 0; i < centre->peers->len; i++)
		peer_send(gossip, centre->peers->pdata[i], out);
}

static void centres_tell_at_once(struct gossip *gossip, const GArray *changes,
				 const GByteArray *out)
{
	struct centre *centre;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, gossip->centres);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&centre))
		if (centre_live(gossip, centre))
			centre_tell_at_once(gossip, centre, changes, out);
}

void gossip_send_changes(struct gossip *gossip)
{
	g_autoptr(GArray) now =
		g_array_new(FALSE, TRUE, sizeof(struct gossip_load));
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_CHANGES);
	loads_own(gossip, now);
	loads_differ(gossip->last, now, message.loads);
	if (message.loads->len > 0) {
		last_replace(gossip, now);
		loads_changed(gossip);
		gossip_encode(&message, out);
		near_tell_at_once(gossip, out);
		centres_tell_at_once(gossip, message.loads, out);
	}
	gossip_message_clear(&message);
}
