/*
 * peer_greet.c - exchange of hellos, and which link to a peer is kept
 */
#include "peers_private.h"

#include <string.h>

#include "common/error.h"
#include "common/log.h"
#include "entry/peer_hello.h"

void hello_write(struct peers *peers, struct link *link)
{
	struct frame_writer *writer = frame_writer_create();
	GByteArray *payload = g_byte_array_new();
	GByteArray *frame = g_byte_array_new();

	if (link->token_in == 0)
		link->token_in = datagram_token(peers);
	hello_encode(&peers->self, link->token_in, payload);
	frame_writer_add(writer, CHANNEL_HELLO, payload->data, payload->len,
			 NULL);
	frame_writer_take(writer, frame);
	link_write(link, &frame);
	traffic_count(peers);
	g_byte_array_free(frame, TRUE);
	g_byte_array_free(payload, TRUE);
	frame_writer_destroy(writer);
}

static void link_activate(struct peers *peers, struct peer *peer,
			  struct link *link)
{
	peer->link = link;
	datagram_reset(peer);
	peer->attempts = 0;
	timer_stop(&peer->backoff);
	link_ready(link);
	peers->links_ready->value = peers_links(peers);
	peer_write(peer);
}

/* Whether an inbound link replaces the current one. When both sides connect at
 * once, both keep the link that the lower id opened. */
static bool link_preferred(const struct link *inbound,
			   const struct link *current)
{
	if (current->state == LINK_CONNECTING)
		return true;
	return inbound->opener <= current->opener;
}

static void link_replace(struct peers *peers, struct peer *peer)
{
	struct link *current = peer->link;

	if (current->state != LINK_READY) {
		link_drop(peers, current);
		return;
	}
	peer->link = NULL;
	link_retire(current);
}

static void hello_inbound(struct peers *peers, struct peer *peer,
			  struct link *link)
{
	struct link *current = peer->link;

	if (current && !link_preferred(link, current)) {
		/* The peer ignores a hello on a link in use. If the peer has
		 * lost that link, the write makes it fail here as well. */
		if (current->state == LINK_READY && !link_writing(current))
			hello_write(peers, current);
		link_drop(peers, link);
		return;
	}
	if (current)
		link_replace(peers, peer);
	hello_write(peers, link);
	link_activate(peers, peer, link);
}

/* Records the incarnation; false when it is a former one. The hello of a newer
 * incarnation closes the ready link of the former one. */
static bool incarnation_update(struct peers *peers, struct peer *peer,
			       const struct link *link,
			       const struct member *member)
{
	if (member->incarnation < peer->incarnation)
		return false;
	if (member->incarnation > peer->incarnation && peer->link &&
	    peer->link != link && peer->link->state == LINK_READY)
		link_drop(peers, peer->link);
	peer->incarnation = member->incarnation;
	return true;
}

static const char *hello_mismatch(const struct peers *peers,
				  const struct link *link,
				  const struct member *member)
{
	if (member->id == peers->self.id)
		return "it has the name of this instance";
	if (link->peer != 0 && link->peer != member->id)
		return "another instance answered at the address of the peer";
	return NULL;
}

static void hello_refuse(struct peers *peers, struct link *link,
			 const struct member *member, const char *reason)
{
	log_event(LOG_WARNING, "peer_refused", LOG_S("peer", member->name),
		  LOG_S("address", member->peer_address),
		  LOG_D("incarnation", member->incarnation),
		  LOG_S("reason", reason));
	link_refuse(peers, link);
}

void hello_receive(struct peers *peers, struct link *link, const void *payload,
		   size_t size)
{
	struct member member;
	uint64_t token;
	struct peer *peer;
	const char *fault;

	if (!hello_decode(&member, &token, payload, size, NULL)) {
		link_refuse(peers, link);
		return;
	}
	fault = hello_mismatch(peers, link, &member);
	if (fault) {
		hello_refuse(peers, link, &member, fault);
		return;
	}
	/* Between data centres some messages are sent only once and must not be
	 * lost, so datagrams are used within a data centre only. */
	if (strcmp(member.data_centre, peers->self.data_centre) == 0)
		link->token_out = token;
	peer = peer_get(peers, member.id);
	if (!incarnation_update(peers, peer, link, &member)) {
		hello_refuse(peers, link, &member, "former incarnation");
		return;
	}
	if (link->peer == 0) {
		link->peer = member.id;
		link->opener = member.id;
		hello_inbound(peers, peer, link);
	} else {
		link_activate(peers, peer, link);
	}
	if (peers->ops.hello)
		peers->ops.hello(peers->ctx, &member);
}
