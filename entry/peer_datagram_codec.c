/*
 * peer_datagram_codec.c - encoding and decoding of datagrams
 */
#include "entry/peer_datagram.h"

#include <string.h>

#include "common/error.h"

void datagram_encode(uint64_t sender, uint64_t token,
		     struct frame_writer *writer, GByteArray *out)
{
	uint64_t header[2] = {GUINT64_TO_BE(sender), GUINT64_TO_BE(token)};

	/* The end of the header overwrites the length of the frame, which a
	 * datagram does not carry. */
	g_byte_array_set_size(out, DATAGRAM_HEADER - FRAME_HEADER);
	frame_writer_take(writer, out);
	if (out->len < DATAGRAM_HEADER)
		g_byte_array_set_size(out, 0);
	else
		memcpy(out->data, header, sizeof(header));
}

bool datagram_decode(struct datagram *datagram, const void *data, size_t size,
		     struct error *err)
{
	uint64_t header[2];

	if (size <= DATAGRAM_HEADER || size > DATAGRAM_MAX)
		return error_set(err, RESULT_BAD_MESSAGE,
				 "datagram size of %zu bytes out of range",
				 size);
	memcpy(header, data, sizeof(header));
	datagram->sender = GUINT64_FROM_BE(header[0]);
	datagram->token = GUINT64_FROM_BE(header[1]);
	datagram->body = (const char *)data + DATAGRAM_HEADER;
	datagram->size = size - DATAGRAM_HEADER;
	return true;
}

bool datagram_read(const struct datagram *datagram, frame_fn fn, void *ctx,
		   struct error *err)
{
	struct frame_reader *reader = frame_reader_create(fn, ctx);
	uint32_t length = GUINT32_TO_BE((uint32_t)datagram->size);
	bool ok =
		frame_reader_feed(reader, &length, sizeof(length), err) &&
		frame_reader_feed(reader, datagram->body, datagram->size, err);

	frame_reader_destroy(reader);
	return ok;
}
