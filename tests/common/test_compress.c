/* Compressed and uncompressed messages, and malformed compressed data. */
#include <glib.h>
#include <string.h>

#include "common/compress.h"
#include "common/error.h"

#define MOST 100000u

static GByteArray *message_make(guint size)
{
	GByteArray *message = g_byte_array_new();

	g_byte_array_set_size(message, size);
	for (guint i = 0; i < size; i++)
		message->data[i] = (guint8)(i / 100 % 7);
	/* First byte of a MessagePack array. */
	if (size > 0)
		message->data[0] = 0x96;
	return message;
}

static void test_round_trip(void)
{
	static const guint sizes[] = {1, 4095, 4096, 99999, MOST};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		g_autoptr(GByteArray) sent = message_make(sizes[i]);
		g_autoptr(GByteArray) whole = message_make(sizes[i]);
		g_autoptr(GByteArray) got = NULL;
		struct error err;

		message_compress(sent, 4096);
		if (sizes[i] < 4096)
			g_assert_cmpuint(sent->len, ==, sizes[i]);
		else
			g_assert_cmpuint(sent->len, <, sizes[i] / 10);
		got = message_decompress(sent->data, sent->len, MOST, &err);
		g_assert_cmpmem(got->data, got->len, whole->data, whole->len);
	}
}

static void refused(const void *data, size_t size, size_t most)
{
	struct error err = {0};

	g_assert_null(message_decompress(data, size, most, &err));
	g_assert_cmpint(err.code, ==, RESULT_BAD_MESSAGE);
}

static void test_refused(void)
{
	g_autoptr(GByteArray) message = message_make(50000);
	g_autoptr(GByteArray) more = NULL;

	message_compress(message, 0);
	refused(message->data, message->len, 49999);
	refused(message->data, message->len / 2, MOST);
	refused(message->data, 1, MOST);
	more = g_byte_array_new();
	g_byte_array_append(more, message->data, message->len);
	g_byte_array_append(more, (const guint8 *)"x", 1);
	refused(more->data, more->len, MOST);
	memset(message->data + 2, 0xff, message->len - 2);
	refused(message->data, message->len, MOST);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/common/compress/round-trip", test_round_trip);
	g_test_add_func("/common/compress/refused", test_refused);
	return g_test_run();
}
