/* Frames received whole and in pieces, and malformed frames. */
#include <glib.h>
#include <string.h>

#include "common/error.h"
#include "common/frame.h"

/* Writes each message as "channel:size:first byte ". */
static void trace_message(void *ctx, enum channel channel, const void *payload,
			  size_t size)
{
	const char *text = payload;

	g_string_append_printf(ctx, "%d:%zu:%c ", (int)channel, size,
			       size ? text[0] : '-');
}

static GByteArray *three_messages(void)
{
	struct frame_writer *writer = frame_writer_create();
	GByteArray *bytes = g_byte_array_new();
	char *big = g_strnfill(300, 'b');

	g_assert_true(frame_writer_add(writer, CHANNEL_HELLO, "a", 1, NULL));
	g_assert_true(frame_writer_add(writer, CHANNEL_CLAIM, big, 300, NULL));
	frame_writer_take(writer, bytes);
	g_assert_cmpuint(frame_writer_pending(writer), ==, 0);
	frame_writer_take(writer, bytes); /* no open frame: appends nothing */
	g_assert_true(
		frame_writer_add(writer, CHANNEL_DIRECTORY, NULL, 0, NULL));
	frame_writer_take(writer, bytes);
	frame_writer_destroy(writer);
	g_free(big);
	return bytes;
}

static void test_split(void)
{
	GByteArray *bytes = three_messages();

	for (guint i = 0; i <= bytes->len; i++) {
		GString *trace = g_string_new(NULL);
		struct frame_reader *reader =
			frame_reader_create(trace_message, trace);

		g_assert_true(frame_reader_feed(reader, bytes->data, i, NULL));
		g_assert_true(frame_reader_feed(reader, bytes->data + i,
						bytes->len - i, NULL));
		g_assert_cmpstr(trace->str, ==, "1:1:a 5:300:b 6:0:- ");
		frame_reader_destroy(reader);
		g_string_free(trace, TRUE);
	}
	g_byte_array_unref(bytes);
}

/* A prefix of valid frames delivers no message of an incomplete frame, and is
 * no error. */
static void test_truncated(void)
{
	GByteArray *bytes = three_messages();
	GString *trace = g_string_new(NULL);

	for (guint i = 0; i < bytes->len; i++) {
		struct frame_reader *reader =
			frame_reader_create(trace_message, trace);

		g_string_truncate(trace, 0);
		g_assert_true(frame_reader_feed(reader, bytes->data, i, NULL));
		g_assert_true(g_str_has_prefix("1:1:a 5:300:b ", trace->str));
		g_assert_cmpuint(trace->len, !=, 6);
		frame_reader_destroy(reader);
	}
	g_string_free(trace, TRUE);
	g_byte_array_unref(bytes);
}

#define BYTES(text) (text), sizeof(text) - 1

static const struct {
	const char *name;
	const char *data;
	size_t size;
	bool valid;
} faults[] = {
	{"length zero", BYTES("\0\0\0\0"), false},
	{"length over the limit", BYTES("\0\x10\0\x01"), false},
	{"length of all ones", BYTES("\xff\xff\xff\xff"), false},
	{"HTTP", BYTES("GET / HTTP/1.1\r\n"), false},
	{"empty array", BYTES("\0\0\0\1\x90"), true},
	{"not an array", BYTES("\0\0\0\1\xc0"), false},
	{"a map", BYTES("\0\0\0\1\x80"), false},
	{"one element", BYTES("\0\0\0\2\x91\x01"), false},
	{"a string for payload", BYTES("\0\0\0\4\x92\x01\xa1x"), false},
	{"channel 0", BYTES("\0\0\0\5\x92\0\xc4\1x"), false},
	{"channel too high", BYTES("\0\0\0\5\x92\7\xc4\1x"), false},
	{"channel below 0", BYTES("\0\0\0\5\x92\xff\xc4\1x"), false},
	{"channel of 64 bits",
	 BYTES("\0\0\0\x0d\x92\xcf\1\0\0\0\0\0\0\1\xc4\1x"), false},
	{"bytes after the array", BYTES("\0\0\0\6\x92\1\xc4\1x\xc0"), false},
	{"array cut short", BYTES("\0\0\0\4\x92\1\xc4\1"), false},
	{"array of 2^32 - 1", BYTES("\0\0\0\5\xdd\xff\xff\xff\xff"), false},
	{"payload of 2^32 - 1", BYTES("\0\0\0\7\x92\1\xc6\xff\xff\xff\xff"),
	 false},
	{"valid, then invalid message",
	 BYTES("\0\0\0\x09\x94\1\xc4\1x\0\xc4\1x"), false},
	{"reserved byte", BYTES("\0\0\0\1\xc1"), false},
};

static void test_faults(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		GString *trace = g_string_new(NULL);
		struct frame_reader *reader =
			frame_reader_create(trace_message, trace);
		struct error err = {.code = RESULT_OK};
		bool valid = frame_reader_feed(reader, faults[i].data,
					       faults[i].size, &err);

		g_test_message("%s", faults[i].name);
		g_assert_cmpint(valid, ==, faults[i].valid);
		g_assert_cmpstr(trace->str, ==, "");
		if (!valid)
			g_assert_cmpint(err.code, ==, RESULT_BAD_MESSAGE);
		/* After a malformed frame the reader refuses all input. */
		g_assert_cmpint(frame_reader_feed(reader, "", 0, NULL), ==,
				faults[i].valid);
		frame_reader_destroy(reader);
		g_string_free(trace, TRUE);
	}
}

static void test_limit(void)
{
	struct frame_writer *writer = frame_writer_create();
	GByteArray *bytes = g_byte_array_new();
	GString *trace = g_string_new(NULL);
	struct frame_reader *reader = frame_reader_create(trace_message, trace);
	char *payload = g_strnfill(FRAME_MAX, 'p');
	struct error err;

	g_assert_false(frame_writer_add(writer, CHANNEL_CLAIM, payload,
					FRAME_MAX, &err));
	g_assert_cmpint(err.code, ==, RESULT_TOO_LARGE);
	g_assert_false(frame_writer_add(writer, CHANNEL_MAX, payload, 1, &err));
	g_assert_cmpint(err.code, ==, RESULT_BAD_MESSAGE);
	g_assert_true(frame_writer_add(writer, CHANNEL_CLAIM, payload,
				       FRAME_MAX - 11, &err));
	g_assert_false(
		frame_writer_add(writer, CHANNEL_CLAIM, payload, 1, &err));
	frame_writer_take(writer, bytes);
	g_assert_cmpuint(bytes->len, <=, FRAME_MAX + FRAME_HEADER);
	g_assert_true(frame_reader_feed(reader, bytes->data, bytes->len, &err));
	g_assert_cmpstr(trace->str, ==, "5:1048565:p ");
	g_free(payload);
	frame_reader_destroy(reader);
	frame_writer_destroy(writer);
	g_string_free(trace, TRUE);
	g_byte_array_unref(bytes);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/frame/split", test_split);
	g_test_add_func("/frame/truncated", test_truncated);
	g_test_add_func("/frame/faults", test_faults);
	g_test_add_func("/frame/limit", test_limit);
	return g_test_run();
}
