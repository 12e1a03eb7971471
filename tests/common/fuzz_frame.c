/*
 * Feeds bytes to a frame reader at once and in pieces; both must deliver the
 * same messages. Built with clang's -fsanitize=fuzzer and -DFUZZ_ENGINE this is
 * a fuzz target; as a test it runs the inputs in tests/common/seeds and random
 * mutations of them.
 */
#include <glib.h>
#include <stdint.h>
#include <string.h>

#include "common/frame.h"
#include "common/id.h"

#define MUTATIONS 5000

struct digest {
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
}

/* Returns whether the bytes are valid. A step of 0 feeds them all at once. */
static bool feed(const uint8_t *data, size_t size, size_t step,
		 struct digest *digest)
{
	struct frame_reader *reader =
		frame_reader_create(digest_message, digest);
	bool valid = true;

	if (!step)
		step = size + 1;
	for (size_t i = 0; i < size && valid; i += step)
		valid = frame_reader_feed(reader, data + i, MIN(step, size - i),
					  NULL);
	frame_reader_destroy(reader);
	return valid;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct digest whole = {0}, pieces = {0};
	bool valid = feed(data, size, 0, &whole);

	g_assert_cmpint(feed(data, size, 3, &pieces), ==, valid);
	g_assert_cmpuint(whole.value, ==, pieces.value);
	return 0;
}

#ifndef FUZZ_ENGINE
#include "mutate.h"

static void test_seed(const void *data)
{
	struct digest digest = {0};
	char *text = NULL;
	gsize size = 0;

	g_assert_true(g_file_get_contents(data, &text, &size, NULL));
	feed((const uint8_t *)text, size, 0, &digest);
	/* Inputs named bad-* deliver no message, all others at least one. */
	g_assert_cmpint(digest.messages != 0, ==,
			strstr(data, "/bad-") == NULL);
	for (int i = 0; i < MUTATIONS; i++) {
		GByteArray *bytes = g_byte_array_new();

		g_byte_array_append(bytes, (const guint8 *)text, (guint)size);
		if (i)
			bytes_mutate(bytes, 5);
		LLVMFuzzerTestOneInput(bytes->data, bytes->len);
		g_byte_array_unref(bytes);
	}
	g_free(text);
}

int main(int argc, char **argv)
{
	const char *folder = SOURCE_ROOT "/tests/common/seeds";
	const char *name;
	GDir *dir;

	g_test_init(&argc, &argv, NULL);
	dir = g_dir_open(folder, 0, NULL);
	g_assert_nonnull(dir);
	while ((name = g_dir_read_name(dir))) {
		char *test = g_strdup_printf("/fuzz/frame/%s", name);
		char *path = g_build_filename(folder, name, NULL);

		g_test_add_data_func_full(test, path, test_seed, g_free);
		g_free(test);
	}
	g_dir_close(dir);
	return g_test_run();
}
#endif
