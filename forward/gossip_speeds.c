/*
 * gossip_speeds.c - exchange of the speeds of servers
 *
 * DESCRIPTION
 *	Peers are due at different times, so a batch of entries stays in all
 *	summaries until each peer must have received one. A bucket of bytes
 *	bounds what the batches take, whatever the number of peers.
 */
#include <math.h>

#include "gossip_private.h"

/* Encoded bytes of an entry at most, and of the array around them. */
#define ENTRY_BYTES 17.0
#define ARRAY_BYTES 1.0
/* Summaries to a peer without changes are this far apart. */
#define BATCH_USEC (300 * USEC_PER_MSEC)
/* For this time a peer that has started is sent all speeds that are known. */
#define STARTING_USEC (2 * USEC_PER_SEC)

void gossip_speeds_start(struct gossip *gossip)
{
	gossip->speeds.bytes.updated_at = gossip_now(gossip);
	gossip->speeds_group.bytes.updated_at = gossip_now(gossip);
	gossip->speeds.made_at = GOSSIP_NEVER / 2;
	gossip->speeds_group.made_at = GOSSIP_NEVER / 2;
}

static uint32_t live_local(const struct gossip *gossip)
{
	uint32_t count = 0;

	for (guint i = 0; i < gossip->local->len; i++)
		count += peer_live(gossip, gossip->local->pdata[i]);
	return count;
}

static double bytes_per_sec(const struct gossip *gossip, bool group)
{
	double share =
		gossip->receivers->len > 0 ? GOSSIP_SPEED_REMOTE_SHARE : 0.0;

	return GOSSIP_SPEED_BYTES_PER_SEC * (group ? share : 1.0 - share);
}

static void bucket_fill(struct gossip *gossip, struct token_bucket *bucket,
			double per_sec, double least)
{
	int64_t now = gossip_now(gossip);

	bucket->per_sec = per_sec;
	bucket->burst = MAX(per_sec, least);
	bucket->tokens += (double)(now - bucket->updated_at) /
			  (double)USEC_PER_SEC * per_sec;
	bucket->tokens = MIN(bucket->tokens, bucket->burst);
	bucket->updated_at = now;
}

static void batch_update(struct gossip *gossip, struct speed_batch *batch,
			 bool group)
{
	int64_t interval = gossip_interval(gossip, !group);
	int64_t lasts = MAX(interval, BATCH_USEC);
	uint32_t peers = group ? gossip->receivers->len : live_local(gossip);
	double datagrams =
		(double)peers * ceil((double)lasts / (double)interval);
	double entry = ENTRY_BYTES * datagrams;
	double array = ARRAY_BYTES * datagrams;
	uint32_t max;

	bucket_fill(gossip, &batch->bytes, bytes_per_sec(gossip, group),
		    entry + array);
	if (gossip_now(gossip) - batch->made_at < lasts)
		return;
	batch->count = 0;
	if (peers == 0 || batch->bytes.tokens < entry + array)
		return;
	max = (uint32_t)MIN((batch->bytes.tokens - array) / entry,
			    (double)SPEED_ENTRIES_MAX);
	batch->count =
		gossip->ops.speeds(gossip->ctx, group, batch->entries, max);
	if (batch->count > 0)
		batch->made_at = gossip_now(gossip);
}

void gossip_speeds_add(struct gossip *gossip, bool group, GArray *speeds)
{
	struct speed_batch *batch =
		group ? &gossip->speeds_group : &gossip->speeds;
	int64_t waited;

	if (!gossip->ops.speeds)
		return;
	batch_update(gossip, batch, group);
	waited = (gossip_now(gossip) - batch->made_at) / USEC_PER_MSEC;
	for (uint32_t i = 0; i < batch->count; i++) {
		struct speed_entry entry = batch->entries[i];

		entry.age_msec += (uint32_t)waited;
		if (entry.age_msec <= SPEED_AGE_MAX_USEC / USEC_PER_MSEC)
			g_array_append_val(speeds, entry);
	}
}

bool gossip_speeds_add_next(struct gossip *gossip, struct peer *peer,
			    GArray *speeds)
{
	struct speed_entry entries[SPEED_ENTRIES_MAX];
	uint32_t count;

	if (!gossip->ops.speeds_next || !peer_live(gossip, peer) ||
	    gossip_now(gossip) - peer->started_at >= STARTING_USEC ||
	    gossip->speeds.bytes.tokens <= 0.0)
		return false;
	count = gossip->ops.speeds_next(gossip->ctx, &peer->speeds_cursor,
					entries, SPEED_ENTRIES_MAX);
	g_array_append_vals(speeds, entries, count);
	gossip->speeds.bytes.tokens -= ENTRY_BYTES * (double)count;
	return count > 0;
}

void gossip_speeds_sent(struct gossip *gossip, bool group, uint64_t datagrams)
{
	struct speed_batch *batch =
		group ? &gossip->speeds_group : &gossip->speeds;

	if (batch->count > 0)
		batch->bytes.tokens -=
			(double)datagrams *
			(ENTRY_BYTES * (double)batch->count + ARRAY_BYTES);
}

void gossip_speeds_receive(struct gossip *gossip, bool local,
			   const GArray *speeds)
{
	for (guint i = 0; gossip->ops.speed_received && i < speeds->len; i++) {
		struct speed_entry entry =
			g_array_index(speeds, struct speed_entry, i);

		entry.remote = !local;
		gossip->ops.speed_received(gossip->ctx, &entry);
	}
}
