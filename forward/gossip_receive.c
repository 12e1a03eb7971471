/*
 * gossip_receive.c - handling of the messages of peers
 */
#include "common/log.h"
#include "gossip_private.h"

/* Whether the message is of a later start of the peer, which must begin with a
 * summary, or the next one of the same start. */
static bool is_newer(const struct peer *peer,
		     const struct gossip_message *message)
{
	if (message->boot != peer->boot)
		return message->boot > peer->boot &&
		       message->kind < GOSSIP_CHANGES;
	return message->sequence > peer->sequence;
}

static void instance_summary_apply(struct gossip *gossip, struct peer *peer,
				   const struct gossip_message *message)
{
	peer->leaving = message->summary.leaving;
	if (peer_is_local(gossip, peer)) {
		g_free(peer->summary);
		peer->summary =
			g_memdup2(&message->summary, sizeof(message->summary));
		loads_replace(gossip, peer->loads, message->loads);
		gossip->group_revision++;
	}
	for (guint i = 0; i < message->addresses->len; i++)
		gossip_add_peer(gossip,
				g_array_index(message->addresses,
					      struct gossip_address, i)
					.text,
				NULL);
}

/* Adds or refreshes the instances of another group. */
static void members_apply(struct gossip *gossip,
			  const struct gossip_message *message)
{
	for (guint i = 0; i < message->addresses->len; i++) {
		const char *address = g_array_index(message->addresses,
						    struct gossip_address, i)
					      .text;
		struct peer *peer = g_hash_table_lookup(gossip->peers, address);

		if (!peer)
			peer = peer_add(gossip, address);
		if (peer && !peer_is_local(gossip, peer))
			peer_seen(gossip, peer, message->group);
	}
}

static void group_summary_apply(struct gossip *gossip, struct peer *peer,
				const struct gossip_message *message)
{
	struct group_state *group;

	if (peer_is_local(gossip, peer))
		return;
	group = group_state_get(gossip, message->group);
	if (group->last_seen == GOSSIP_NEVER ||
	    gossip_now(gossip) - group->last_seen >= GOSSIP_STALE_USEC)
		log_event(LOG_NOTICE, "data_centre_heard",
			  LOG_S("data_centre", group->name),
			  LOG_S("peer", message->name));
	group->last_seen = gossip_now(gossip);
	group->left = message->summary.leaving && message->addresses->len == 0;
	group->total = message->summary;
	group->lowest = message->lowest;
	peer->leaving = message->summary.leaving;
	loads_replace(gossip, group->loads, message->loads);
	members_apply(gossip, message);
}

static void changes_apply(struct gossip *gossip, struct peer *peer,
			  const struct gossip_message *message)
{
	if (peer_is_local(gossip, peer)) {
		loads_apply(gossip, peer->loads, message->loads);
		gossip->group_revision++;
	} else {
		loads_apply(gossip, group_state_get(gossip, peer->group)->loads,
			    message->loads);
	}
}

static void summary_apply(struct gossip *gossip, struct peer *peer,
			  const struct gossip_message *message)
{
	if (!peer_live(gossip, peer) && !message->summary.leaving)
		log_event(LOG_INFO, "peer_live", LOG_S("peer", message->name),
			  LOG_S("address", peer->address));
	g_strlcpy(peer->name, message->name, sizeof(peer->name));
	peer_seen(gossip, peer, message->group);
	if (message->kind == GOSSIP_INSTANCE_SUMMARY)
		instance_summary_apply(gossip, peer, message);
	else
		group_summary_apply(gossip, peer, message);
	gossip_facts_receive(gossip, message->facts);
	gossip_speeds_receive(gossip, peer_is_local(gossip, peer),
			      message->speeds);
	/* An instance sends its own summary to peers whose group it does not
	 * know. Its usage is not the total of its data centre. */
	if (message->kind == GOSSIP_GROUP_SUMMARY ||
	    peer_is_local(gossip, peer))
		gossip_usage_receive(gossip, peer, message->usage);
	gossip->ops.received(gossip->ctx, peer->address,
			     peer_is_local(gossip, peer), &message->summary);
}

static bool is_permit(const struct gossip_message *message)
{
	return message->kind == GOSSIP_PERMIT_REQUEST ||
	       message->kind == GOSSIP_PERMIT_ANSWER;
}

static bool is_origin(const struct gossip_message *message)
{
	return message->kind == GOSSIP_ORIGIN ||
	       message->kind == GOSSIP_ORIGIN_QUERY ||
	       message->kind == GOSSIP_ORIGIN_ANSWER;
}

static bool is_call(const struct gossip_message *message)
{
	return message->kind == GOSSIP_CALL_REQUEST ||
	       message->kind == GOSSIP_CALL_ANSWER ||
	       message->kind == GOSSIP_CALL_DONE;
}

void gossip_receive(struct gossip *gossip, const char *from,
		    const struct gossip_message *message)
{
	struct peer *peer = g_hash_table_lookup(gossip->peers, from);
	bool starts;

	if (message->kind == GOSSIP_UNKNOWN)
		return;
	/* Entries can be merged in any order. */
	if (message->kind == GOSSIP_QUARANTINE) {
		gossip_quarantine_receive(gossip,
					  peer && peer_is_local(gossip, peer),
					  message->quarantine);
		return;
	}
	/* An unknown instance cannot claim. */
	if (message->kind == GOSSIP_ROOM_CLAIM) {
		if (peer)
			gossip_claim_receive(gossip, peer, &message->claim);
		return;
	}
	if (!peer && (message->kind < GOSSIP_CHANGES || is_permit(message) ||
		      is_origin(message)))
		peer = peer_add(gossip, from);
	/* Requests and answers match by id. A remote instance may have sent
	 * nothing else yet. */
	if (peer && is_permit(message)) {
		gossip_permit_receive(gossip, peer, message);
		return;
	}
	if (peer && is_origin(message)) {
		gossip_origin_receive(gossip, peer, message);
		return;
	}
	if (is_call(message)) {
		if (!peer)
			peer = peer_add(gossip, from);
		if (peer)
			gossip_call_receive(gossip, peer, message);
		return;
	}
	if (!peer || !is_newer(peer, message))
		return;
	starts = message->boot != peer->boot || !peer_live(gossip, peer);
	peer->boot = message->boot;
	peer->sequence = message->sequence;
	if (starts) {
		peer->started_at = gossip_now(gossip);
		peer->speeds_cursor = 0;
	}
	if (message->kind < GOSSIP_CHANGES) {
		summary_apply(gossip, peer, message);
		if (starts && peer_live(gossip, peer))
			gossip_quarantine_send(gossip, peer);
		return;
	}
	peer->last_seen = gossip_now(gossip);
	if (message->kind == GOSSIP_USAGE)
		gossip_usage_receive(gossip, peer, message->usage);
	else
		changes_apply(gossip, peer, message);
}
