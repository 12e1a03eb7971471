#include "packet.h"

#include <glib.h>
#include <string.h>

struct packet *packet_create(void *from, void *to, enum channel channel,
			     const void *payload, size_t size)
{
	struct packet *packet = g_malloc(sizeof(*packet) + size);

	packet->from = from;
	packet->to = to;
	packet->channel = channel;
	packet->size = size;
	if (size)
		memcpy(packet->data, payload, size);
	return packet;
}
