#include "ledger_parts.h"

#include <string.h>

/* An acknowledgement waits this long for others to the same peer. */
#define ACK_DELAY_USEC (5 * USEC_PER_MSEC)
#define ACKS_PER_MESSAGE_MAX 128u

static void peer_destroy(void *data)
{
	struct peer *peer = data;

	g_byte_array_free(peer->acks, TRUE);
	g_free(peer);
}

static void peer_flush(struct ledger *ledger, struct peer *peer)
{
	msgpack_packer *packer;

	if (peer->acks->len == 0)
		return;
	packer = message_begin(ledger, MESSAGE_ACKS, peer->incarnation, 1);
	pack_bin(packer, peer->acks->data, peer->acks->len);
	g_byte_array_set_size(peer->acks, 0);
	message_send(ledger, peer->id);
}

static void peers_flush(struct timer *timer, void *ctx)
{
	struct ledger *ledger = ctx;

	for (guint i = 0; i < ledger->peers->len; i++)
		peer_flush(ledger, g_ptr_array_index(ledger->peers, i));
}

void peers_init(struct ledger *ledger)
{
	ledger->peers = g_ptr_array_new_with_free_func(peer_destroy);
	timer_init(&ledger->flush, ledger->clock, peers_flush, ledger);
}

void peers_clear(struct ledger *ledger)
{
	timer_stop(&ledger->flush);
	g_ptr_array_free(ledger->peers, TRUE);
}

static struct peer *peer_get(struct ledger *ledger, uint64_t id)
{
	struct peer *peer;

	for (guint i = 0; i < ledger->peers->len; i++) {
		peer = g_ptr_array_index(ledger->peers, i);
		if (peer->id == id)
			return peer;
	}
	peer = g_new0(struct peer, 1);
	peer->id = id;
	peer->acks = g_byte_array_new();
	g_ptr_array_add(ledger->peers, peer);
	return peer;
}

void ack_add(struct ledger *ledger, uint64_t peer_id, uint64_t incarnation,
	     enum ack_kind kind, uint64_t request, uint32_t attempt)
{
	struct peer *peer = peer_get(ledger, peer_id);
	uint8_t ack[ACK_SIZE];
	uint64_t request_be = GUINT64_TO_BE(request);

	if (peer->incarnation != incarnation ||
	    peer->acks->len >= (size_t)ACKS_PER_MESSAGE_MAX * ACK_SIZE)
		peer_flush(ledger, peer);
	peer->incarnation = incarnation;
	memcpy(ack, &request_be, sizeof(request_be));
	ack[ACK_SIZE - 1] =
		(uint8_t)((unsigned int)kind << 6 | (attempt & 63u));
	g_byte_array_append(peer->acks, ack, sizeof(ack));
	if (!timer_running(&ledger->flush))
		timer_start(&ledger->flush, ACK_DELAY_USEC);
}

static void ack_receive(struct ledger *ledger, uint64_t from,
			uint64_t incarnation, const uint8_t *ack)
{
	enum ack_kind kind = (enum ack_kind)(ack[ACK_SIZE - 1] >> 6);
	uint32_t attempt = ack[ACK_SIZE - 1] & 63u;
	uint64_t request;

	memcpy(&request, ack, sizeof(request));
	request = GUINT64_FROM_BE(request);
	if (kind == ACK_GRANTED)
		home_ack_granted(ledger, from, incarnation, request, attempt);
	else
		holder_ack(ledger, from, incarnation, kind, request, attempt);
}

void acks_receive(struct ledger *ledger, uint64_t from, uint64_t incarnation,
		  struct reader *reader)
{
	uint32_t size;
	const uint8_t *bytes = read_bin(reader, &size);

	if (bytes == NULL)
		return;
	for (uint32_t at = 0; at + ACK_SIZE <= size; at += ACK_SIZE)
		ack_receive(ledger, from, incarnation, bytes + at);
}
