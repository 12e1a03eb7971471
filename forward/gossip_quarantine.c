/*
 * gossip_quarantine.c - exchange of quarantine entries
 */
#include "gossip_private.h"

static GByteArray *quarantine_encode(struct gossip *gossip,
				     const struct quarantine_entry *entries,
				     guint count)
{
	GByteArray *out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_QUARANTINE);
	g_array_append_vals(message.quarantine, entries, count);
	gossip_encode(&message, out);
	gossip_message_clear(&message);
	return out;
}

static void findings_send(struct gossip *gossip, GArray *findings, bool local)
{
	for (guint at = 0; at < findings->len; at += GOSSIP_QUARANTINE_MAX) {
		g_autoptr(GByteArray) out = quarantine_encode(
			gossip,
			&g_array_index(findings, struct quarantine_entry, at),
			MIN(findings->len - at, GOSSIP_QUARANTINE_MAX));

		if (local)
			peers_send(gossip, gossip->local, out);
		peers_send(gossip, gossip->receivers, out);
	}
	g_array_set_size(findings, 0);
}

static void on_findings_timer(struct timer *timer, void *ctx)
{
	struct gossip *gossip = ctx;

	findings_send(gossip, gossip->findings_own, true);
	findings_send(gossip, gossip->findings_local, false);
}

static void findings_add(struct gossip *gossip, GArray *findings,
			 const struct quarantine_entry *entry)
{
	g_array_append_val(findings, *entry);
	if (!timer_running(&gossip->findings_timer))
		timer_start(&gossip->findings_timer, 0);
}

void gossip_quarantine_changed(struct gossip *gossip,
			       const struct quarantine_entry *entry)
{
	findings_add(gossip, gossip->findings_own, entry);
}

void gossip_quarantine_receive(struct gossip *gossip, bool local,
			       const GArray *entries)
{
	for (guint i = 0; gossip->ops.quarantine_received && i < entries->len;
	     i++) {
		const struct quarantine_entry *entry =
			&g_array_index(entries, struct quarantine_entry, i);

		if (gossip->ops.quarantine_received(gossip->ctx, entry) &&
		    local)
			findings_add(gossip, gossip->findings_local, entry);
	}
}

/* Next live peer, local or remote, in rotation; NULL without one. */
static const struct peer *peer_next(struct gossip *gossip)
{
	g_autoptr(GPtrArray) live = g_ptr_array_new();
	GHashTableIter iter;
	struct peer *peer;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		if (peer_live(gossip, peer))
			g_ptr_array_add(live, peer);
	return live->len > 0 ? live->pdata[gossip->next_peer++ % live->len]
			     : NULL;
}

static uint32_t
entries_next(struct gossip *gossip,
	     struct quarantine_entry entries[GOSSIP_QUARANTINE_MAX])
{
	if (!gossip->ops.quarantine_next)
		return 0;
	return gossip->ops.quarantine_next(gossip->ctx, entries,
					   GOSSIP_QUARANTINE_MAX);
}

static void entries_send(struct gossip *gossip, const struct peer *peer,
			 const struct quarantine_entry *entries, uint32_t count)
{
	g_autoptr(GByteArray) out = quarantine_encode(gossip, entries, count);

	peer_send(gossip, peer, out);
}

/* Rotation alone would be too slow for an instance that starts without a store.
 */
void gossip_quarantine_send(struct gossip *gossip, const struct peer *peer)
{
	struct quarantine_entry entries[GOSSIP_QUARANTINE_MAX];
	uint32_t count = entries_next(gossip, entries);

	if (count > 0)
		entries_send(gossip, peer, entries, count);
}

static void on_rotation_timer(struct timer *timer, void *ctx)
{
	struct gossip *gossip = ctx;
	struct quarantine_entry entries[GOSSIP_QUARANTINE_MAX];
	uint32_t count = entries_next(gossip, entries);
	const struct peer *peer = count > 0 ? peer_next(gossip) : NULL;

	timer_start(timer, GOSSIP_QUARANTINE_INTERVAL_USEC);
	if (peer)
		entries_send(gossip, peer, entries, count);
}

void gossip_quarantine_start(struct gossip *gossip)
{
	gossip->findings_own =
		g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
	gossip->findings_local =
		g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
	timer_init(&gossip->findings_timer, gossip->clock, on_findings_timer,
		   gossip);
	timer_init(&gossip->rotation_timer, gossip->clock, on_rotation_timer,
		   gossip);
	/* Instances start the rotation at different peers. */
	gossip->next_peer = (uint32_t)gossip->key;
	if (gossip->ops.quarantine_next)
		timer_start(&gossip->rotation_timer,
			    GOSSIP_QUARANTINE_INTERVAL_USEC);
}

void gossip_quarantine_stop(struct gossip *gossip)
{
	timer_stop(&gossip->findings_timer);
	timer_stop(&gossip->rotation_timer);
	g_array_unref(gossip->findings_own);
	g_array_unref(gossip->findings_local);
}
