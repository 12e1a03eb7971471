/* Whatever msgpack-c packs can be unpacked. Headers that claim more than the
 * input holds are refused before memory is allocated for them. */
#include <glib.h>
#include <string.h>

#include "common/error.h"
#include "common/unpack.h"

#define BYTES(text) (text), sizeof(text) - 1

static const struct {
	const char *name;
	const char *data;
	size_t size;
	bool valid;
} values[] = {
	{"nothing", BYTES(""), false},
	{"nil", BYTES("\xc0"), true},
	{"reserved", BYTES("\xc1"), false},
	{"two values", BYTES("\1\2"), false},
	{"array", BYTES("\x92\1\xff"), true},
	{"array short of one", BYTES("\x92\1"), false},
	{"array of 2^32 - 1", BYTES("\xdd\xff\xff\xff\xff\1"), false},
	{"map of 2^32 - 1", BYTES("\xdf\xff\xff\xff\xff\1"), false},
	{"map", BYTES("\x81\xa1k\xcb\0\0\0\0\0\0\0\0"), true},
	{"map short of a value", BYTES("\x81\xa1k"), false},
	{"string", BYTES("\xd9\3abc"), true},
	{"string cut", BYTES("\xd9\3ab"), false},
	{"string of 2^32 - 1", BYTES("\xdb\xff\xff\xff\xff"), false},
	{"length cut", BYTES("\xdb\0\0"), false},
	{"array within an array claims too much",
	 BYTES("\x92\xdc\xff\xff\1\2\3"), false},
	{"arrays within arrays claim together too much",
	 BYTES("\x92\x94\1\2\3\x92\1"), false},
	{"later element claims too much", BYTES("\x92\xc0\xdd\0\1\0\0\1"),
	 false},
	{"ext", BYTES("\xc7\2\1ab"), true},
	{"ext cut", BYTES("\xc7\2\1a"), false},
	{"fixext 16 cut", BYTES("\xd8\1abc"), false},
	{"float cut", BYTES("\xca\0\0"), false},
};

static void test_values(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		struct error err = {.code = RESULT_OK};
		msgpack_unpacked result;

		msgpack_unpacked_init(&result);
		g_test_message("%s", values[i].name);
		g_assert_cmpint(message_unpack(&result, values[i].data,
					       values[i].size, &err),
				==, values[i].valid);
		g_assert_cmpint(err.code, ==,
				values[i].valid ? RESULT_OK
						: RESULT_BAD_MESSAGE);
		msgpack_unpacked_destroy(&result);
	}
}

/* Packs one value of a random type, nested up to the given depth. */
static void pack_random(msgpack_packer *packer, int depth)
{
	static const char text[70000];
	static const size_t sizes[] = {0, 1, 31, 32, 255, 256, 65535, 65536};
	size_t size = sizes[g_test_rand_int_range(0, G_N_ELEMENTS(sizes))];
	int shift = g_test_rand_int_range(0, 64);
	uint64_t number = (uint64_t)g_test_rand_int() << 32 | 1u;

	switch (g_test_rand_int_range(0, depth ? 9 : 7)) {
	case 0:
		msgpack_pack_uint64(packer, number >> shift);
		break;
	case 1:
		msgpack_pack_int64(packer, -(int64_t)(number >> 1 >> shift));
		break;
	case 2:
		msgpack_pack_str_with_body(packer, text, size);
		break;
	case 3:
		msgpack_pack_bin_with_body(packer, text, size);
		break;
	case 4:
		msgpack_pack_ext_with_body(packer, text, size, 1);
		break;
	case 5:
		msgpack_pack_double(packer, 0.5);
		break;
	case 6:
		msgpack_pack_float(packer, 0.5f);
		break;
	case 7:
		size = size % 40;
		msgpack_pack_array(packer, size);
		while (size--)
			pack_random(packer, depth - 1);
		break;
	default:
		size = size % 40;
		msgpack_pack_map(packer, size);
		for (size *= 2; size; size--)
			pack_random(packer, depth - 1);
		break;
	}
}

/* Every packed value is accepted, and no proper prefix of it. */
static void test_packed(void)
{
	for (int i = 0; i < 300; i++) {
		msgpack_sbuffer buffer;
		msgpack_packer packer;
		msgpack_unpacked result;

		msgpack_sbuffer_init(&buffer);
		msgpack_unpacked_init(&result);
		msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
		pack_random(&packer, 2);
		g_assert_true(message_unpack(&result, buffer.data, buffer.size,
					     NULL));
		g_assert_false(message_unpack(
			&result, buffer.data,
			(size_t)g_test_rand_int_range(0, (gint32)buffer.size),
			NULL));
		msgpack_unpacked_destroy(&result);
		msgpack_sbuffer_destroy(&buffer);
	}
}

/* Strings unpacked into a buffer of four bytes. */
static const struct {
	const char *name;
	const char *data;
	size_t size;
	const char *text; /* NULL: refused */
} texts[] = {
	{"three letters", BYTES("\xa3xyz"), "xyz"},
	{"one letter", BYTES("\xd9\1x"), "x"},
	{"no room for the NUL", BYTES("\xa4wxyz"), NULL},
	{"empty", BYTES("\xa0"), NULL},
	{"with a NUL", BYTES("\xa3x\0z"), NULL},
	{"bytes", BYTES("\xc4\1x"), NULL},
	{"number", BYTES("\1"), NULL},
};

static void test_texts(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		msgpack_unpacked result;
		char text[4] = "";

		msgpack_unpacked_init(&result);
		g_test_message("%s", texts[i].name);
		g_assert_true(message_unpack(&result, texts[i].data,
					     texts[i].size, NULL));
		g_assert_cmpint(unpack_text(&result.data, text, sizeof(text)),
				==, texts[i].text != NULL);
		if (texts[i].text)
			g_assert_cmpstr(text, ==, texts[i].text);
		msgpack_unpacked_destroy(&result);
	}
}

/* Returns the peak size of the address space of this process, in KiB. */
static uint64_t address_space_peak(void)
{
	char *text = NULL;
	const char *line;
	uint64_t peak;

	g_assert_true(
		g_file_get_contents("/proc/self/status", &text, NULL, NULL));
	line = strstr(text, "VmPeak:");
	g_assert_nonnull(line);
	peak = g_ascii_strtoull(line + strlen("VmPeak:"), NULL, 10);
	g_free(text);
	return peak;
}

/* Five bytes request 1.6 GB; 1 MiB of nested arrays, each of which would fit on
 * its own, requests 0.9 GB. */
static void test_allocates_nothing(void)
{
	static const char header[] = {'\xdd', 0, '\x0f', 0, 0};
	static char nested[1 << 20];
	msgpack_unpacked result;
	uint64_t before;

	for (size_t i = 0; i < 30; i++)
		memcpy(nested + sizeof(header) * i, header, sizeof(header));
	msgpack_unpacked_init(&result);
	before = address_space_peak();
	g_assert_false(message_unpack(&result, BYTES("\xdd\4\0\0\0"), NULL));
	g_assert_false(message_unpack(&result, nested, sizeof(nested), NULL));
	g_assert_cmpuint(address_space_peak() - before, <, 100000);
	msgpack_unpacked_destroy(&result);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/unpack/values", test_values);
	g_test_add_func("/unpack/texts", test_texts);
	g_test_add_func("/unpack/packed", test_packed);
	g_test_add_func("/unpack/allocates_nothing", test_allocates_nothing);
	return g_test_run();
}
