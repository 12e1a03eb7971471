/*
 * packet.h - a message in flight from one instance to another
 */
#ifndef TESTS_FAKE_PACKET_H
#define TESTS_FAKE_PACKET_H

#include <stddef.h>
#include <stdint.h>

#include "common/frame.h"

struct packet {
	void *from;
	void *to;
	enum channel channel;
	size_t size;
	uint8_t data[];
};

/* Copies the payload; freed with g_free(). */
struct packet *packet_create(void *from, void *to, enum channel channel,
			     const void *payload, size_t size);

#endif
