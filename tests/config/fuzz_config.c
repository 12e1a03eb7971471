/* Fuzzes config_parse() with mutations of valid files: it must not crash, and
 * an error must name the file. */
#include <glib.h>
#include <stdint.h>

#include "common/error.h"
#include "config/config.h"
#include "files.h"

#define SEED_DEFAULT 1
#define MUTATIONS 4000
#define EDITS_MAX 6
#define SPAN_MAX 40u

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct error err = {0};
	struct config *config = config_parse("f", data, size, &err);

	if (config)
		g_assert_cmpint(err.code, ==, RESULT_OK);
	else
		g_assert_true(g_str_has_prefix(err.text, "f:"));
	config_destroy(config);
	return 0;
}

#ifndef FUZZ_LIBFUZZER
static const char *const seeds[] = {
	"tests/config/base.yaml",
	"examples/arequipa.yaml",
	"examples/vestland.yaml",
};

static const char *const tokens[] = {
	"{",
	"}",
	"[",
	"]",
	"- ",
	": ",
	"\n",
	"#",
	"&a ",
	"*a",
	"|",
	"\t",
	"\"",
	"'",
	"!!int ",
	"%",
	"0x7f",
	"1e999",
	"-1",
	"~",
	"\xff",
	"\xef\xbb\xbf",
	"99999999999999999999",
};

static void span_duplicate(GByteArray *bytes, guint at, guint span)
{
	g_autofree guint8 *copy = g_memdup2(&bytes->data[at], span);

	g_byte_array_append(bytes, copy, span);
}

static void mutate(GByteArray *bytes, GRand *rand)
{
	int edits = g_rand_int_range(rand, 1, EDITS_MAX);

	while (edits-- > 0 && bytes->len > 0) {
		guint at = g_rand_int_range(rand, 0, bytes->len);
		guint reach = MIN(bytes->len - at, SPAN_MAX);
		guint span = g_rand_int_range(rand, 0, reach) + 1;
		const char *token =
			tokens[g_rand_int_range(rand, 0, G_N_ELEMENTS(tokens))];

		switch (g_rand_int_range(rand, 0, 4)) {
		case 0:
			bytes->data[at] = g_rand_int_range(rand, 0, 256);
			break;
		case 1:
			g_byte_array_remove_range(bytes, at, span);
			break;
		case 2:
			memcpy(&bytes->data[at], token,
			       MIN(strlen(token), bytes->len - at));
			break;
		default:
			span_duplicate(bytes, at, span);
			break;
		}
	}
}

static void test_mutations(void)
{
	const char *seed_text = g_getenv("JT_TEST_SEED");
	guint32 seed = seed_text ? (guint32)strtoul(seed_text, NULL, 10)
				 : SEED_DEFAULT;
	GRand *rand = g_rand_new_with_seed(seed);

	g_test_message("seed %u", seed);
	for (int i = 0; i < MUTATIONS; i++) {
		g_autofree char *text =
			source_file(seeds[i % G_N_ELEMENTS(seeds)]);
		GByteArray *bytes = g_byte_array_new();

		g_byte_array_append(bytes, (guint8 *)text, strlen(text));
		if (i >= (int)G_N_ELEMENTS(seeds))
			mutate(bytes, rand);
		LLVMFuzzerTestOneInput(bytes->data, bytes->len);
		g_byte_array_unref(bytes);
	}
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/mutations", test_mutations);
	return g_test_run();
}
#endif
