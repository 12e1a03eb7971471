/*
 * Decodes bytes as a datagram; the messages must be the same after encoding and
 * decoding them again. With clang's -fsanitize=fuzzer and -DFUZZ_ENGINE this is
 * a fuzz target; as a test it runs seeded mutations of valid datagrams.
 */
#include <glib.h>
#include <stdint.h>

#include "common/id.h"
#include "entry/peer_datagram.h"

#define MUTATIONS 20000

struct digest {
	struct frame_writer *writer;
	uint64_t value;
	uint64_t messages;
};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void digest_message(void *ctx, enum channel channel, const void *payload,
			   size_t size)
{
	struct digest *digest = ctx;

	digest->messages++;
	digest->value = id_mix(digest->value, (uint64_t)channel);
	digest->value = id_mix(digest->value, id_hash(payload, size));
	if (digest->writer)
		g_assert_true(frame_writer_add(digest->writer, channel, payload,
					       size, NULL));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct digest first = {.writer = frame_writer_create()};
	struct digest second = {0};
	struct datagram datagram;
	struct datagram copy;
	GByteArray *out = g_byte_array_new();
	bool valid_size = datagram_decode(&datagram, data, size, NULL);

	g_assert_cmpint(valid_size, ==,
			size > DATAGRAM_HEADER && size <= DATAGRAM_MAX);
	if (valid_size &&
	    !datagram_read(&datagram, digest_message, &first, NULL))
		g_assert_cmpuint(first.messages, ==, 0);
	datagram_encode(valid_size ? datagram.sender : 0,
			valid_size ? datagram.token : 0, first.writer, out);
	g_assert_cmpint(out->len != 0, ==, first.messages != 0);
	if (out->len != 0) {
		g_assert_true(
			datagram_decode(&copy, out->data, out->len, NULL));
		g_assert_cmpuint(copy.sender, ==, datagram.sender);
		g_assert_cmpuint(copy.token, ==, datagram.token);
		g_assert_true(
			datagram_read(&copy, digest_message, &second, NULL));
		g_assert_cmpuint(second.value, ==, first.value);
	}
	g_byte_array_unref(out);
	frame_writer_destroy(first.writer);
	return 0;
}

#ifndef FUZZ_ENGINE
#include "mutate.h"

static GByteArray *valid_datagram(int messages)
{
	struct frame_writer *writer = frame_writer_create();
	GByteArray *out = g_byte_array_new();
	char payload[60];

	for (int i = 0; i < messages; i++) {
		for (size_t n = 0; n < sizeof(payload); n++)
			payload[n] = (char)g_test_rand_int_range(0, 256);
		frame_writer_add(
			writer, i % 3 ? CHANNEL_LEDGER : CHANNEL_HELLO, payload,
			(size_t)g_test_rand_int_range(0, sizeof(payload)),
			NULL);
	}
	datagram_encode(1, 2, writer, out);
	frame_writer_destroy(writer);
	return out;
}

static void test_mutations(void)
{
	for (int i = 0; i < MUTATIONS; i++) {
		GByteArray *bytes =
			valid_datagram(g_test_rand_int_range(1, 16));

		LLVMFuzzerTestOneInput(bytes->data, bytes->len);
		bytes_mutate(bytes, 3);
		LLVMFuzzerTestOneInput(bytes->data, bytes->len);
		g_byte_array_unref(bytes);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fuzz/datagram", test_mutations);
	return g_test_run();
}
#endif
