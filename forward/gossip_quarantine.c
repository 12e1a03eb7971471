/*
 * gossip_quarantine.c - which works end servers, told to all
 */
#include "gossip_private.h"

static GByteArray *works_encode(struct gossip *gossip,
				const struct quarantine_entry *entries,
				guint count)
{
	GByteArray *out = g_byte_array_new();
	struct gossip_message message;

	message_begin(gossip, &message, GOSSIP_QUARANTINE);
	g_array_append_vals(message.works, entries, count);
	gossip_encode(&message, out);
	gossip_message_clear(&message);
	return out;
}

static void news_tell(struct gossip *gossip, GArray *news, bool local)
{
	for (guint at = 0; at < news->len; at += GOSSIP_QUARANTINE_MAX) {
		g_autoptr(GByteArray) out = works_encode(
			gossip,
			&g_array_index(news, struct quarantine_entry, at),
			MIN(news->len - at, GOSSIP_QUARANTINE_MAX));

		if (local)
			peers_send(gossip, gossip->local, out);
		peers_send(gossip, gossip->receivers, out);
	}
	g_array_set_size(news, 0);
}

static void on_soon(struct timer *timer, void *ctx)
{
	struct gossip *gossip = ctx;

	news_tell(gossip, gossip->findings_own, true);
	news_tell(gossip, gossip->findings_local, false);
}

static void news_add(struct gossip *gossip, GArray *news,
		     const struct quarantine_entry *entry)
{
	g_array_append_val(news, *entry);
	if (!timer_running(&gossip->works_soon))
		timer_start(&gossip->works_soon, 0);
}

void gossip_quarantine_changed(struct gossip *gossip,
			       const struct quarantine_entry *entry)
{
	news_add(gossip, gossip->findings_own, entry);
}

void gossip_quarantine_receive(struct gossip *gossip, bool local,
			       const GArray *works)
{
	for (guint i = 0; gossip->ops.quarantine_received && i < works->len;
	     i++) {
		const struct quarantine_entry *entry =
			&g_array_index(works, struct quarantine_entry, i);

		if (gossip->ops.quarantine_received(gossip->ctx, entry) &&
		    local)
			news_add(gossip, gossip->findings_local, entry);
	}
}

/* Each live peer in its turn, wherever it is; NULL when there is none. */
static const struct peer *peer_next(struct gossip *gossip)
{
	g_autoptr(GPtrArray) live = g_ptr_array_new();
	GHashTableIter iter;
	struct peer *peer;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		if (peer_live(gossip, peer))
			g_ptr_array_add(live, peer);
	return live->len > 0 ? live->pdata[gossip->works_turn++ % live->len]
			     : NULL;
}

static uint32_t
works_next(struct gossip *gossip,
	   struct quarantine_entry entries[GOSSIP_QUARANTINE_MAX])
{
	if (!gossip->ops.works)
		return 0;
	return gossip->ops.works(gossip->ctx, entries, GOSSIP_QUARANTINE_MAX);
}

static void works_send(struct gossip *gossip, const struct peer *peer,
		       const struct quarantine_entry *entries, uint32_t count)
{
	g_autoptr(GByteArray) out = works_encode(gossip, entries, count);

	peer_send(gossip, peer, out);
}

/* By turns alone an instance that starts without a store hears of what is held
 * too late. */
void gossip_quarantine_send(struct gossip *gossip, const struct peer *peer)
{
	struct quarantine_entry entries[GOSSIP_QUARANTINE_MAX];
	uint32_t count = works_next(gossip, entries);

	if (count > 0)
		works_send(gossip, peer, entries, count);
}

static void on_timer(struct timer *timer, void *ctx)
{
	struct gossip *gossip = ctx;
	struct quarantine_entry entries[GOSSIP_QUARANTINE_MAX];
	uint32_t count = works_next(gossip, entries);
	const struct peer *peer = count > 0 ? peer_next(gossip) : NULL;

	timer_start(timer, GOSSIP_QUARANTINE_USEC);
	if (peer)
		works_send(gossip, peer, entries, count);
}

void gossip_quarantine_start(struct gossip *gossip)
{
	gossip->findings_own =
		g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
	gossip->findings_local =
		g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
	timer_init(&gossip->works_soon, gossip->clock, on_soon, gossip);
	timer_init(&gossip->works_timer, gossip->clock, on_timer, gossip);
	/* Not all begin with the same peer. */
	gossip->works_turn = (uint32_t)gossip->key;
	if (gossip->ops.works)
		timer_start(&gossip->works_timer, GOSSIP_QUARANTINE_USEC);
}

void gossip_quarantine_stop(struct gossip *gossip)
{
	timer_stop(&gossip->works_soon);
	timer_stop(&gossip->works_timer);
	g_array_unref(gossip->findings_own);
	g_array_unref(gossip->findings_local);
}
