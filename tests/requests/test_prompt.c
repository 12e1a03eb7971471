/* Token counts and block hashes of prompts. */
#include <glib.h>
#include <string.h>

#include "entry/prompt.h"
#include "policy/policy.h"

struct prompt_case {
	const char *text;
	uint32_t tokens;
	uint32_t blocks;
};

static const struct prompt_case prompt_cases[] = {
	{"", 1, 0},
	{"   ", 1, 0},
	{"one", 1, 0},
	{" two\twords\n", 2, 0},
	{"@512 x", 512, 2},
	{"@512", 512, 2},
	{"@0 x", 1, 0},
	{"@ 512 x", 3, 0},
	{"@51x2 y", 2, 0},
	{"@999999999999 y", 2, 0},
	{"@100000 y", 100000, PREFIX_BLOCKS_MAX},
};

static void test_tokens(void)
{
	uint64_t blocks[PREFIX_BLOCKS_MAX];

	for (size_t i = 0; i < G_N_ELEMENTS(prompt_cases); i++) {
		const struct prompt_case *row = &prompt_cases[i];
		size_t size = strlen(row->text);

		g_test_message("\"%s\"", row->text);
		g_assert_cmpuint(prompt_tokens(row->text, size), ==,
				 row->tokens);
		g_assert_cmpuint(prompt_blocks(row->text, size, blocks,
					       PREFIX_BLOCKS_MAX),
				 ==, row->blocks);
	}
}

static uint32_t common_blocks(const char *a, const char *b)
{
	uint64_t x[PREFIX_BLOCKS_MAX];
	uint64_t y[PREFIX_BLOCKS_MAX];
	uint32_t n = prompt_blocks(a, strlen(a), x, PREFIX_BLOCKS_MAX);
	uint32_t m = prompt_blocks(b, strlen(b), y, PREFIX_BLOCKS_MAX);
	uint32_t same = 0;

	while (same < n && same < m && x[same] == y[same])
		same++;
	return same;
}

static void test_shared(void)
{
	g_assert_cmpuint(common_blocks("@1024 g~512 a", "@1024 g~512 b"), ==,
			 2);
	g_assert_cmpuint(common_blocks("@1024 g~512 a", "@1024 h~512 a"), ==,
			 0);
	g_assert_cmpuint(common_blocks("@1024 g a", "@1024 g b"), ==, 0);
	g_assert_cmpuint(common_blocks("@1024 g~1024 a", "@2048 g~1024 b"), ==,
			 4);
}

static GString *words_make(int first, int count)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < count; i++)
		g_string_append_printf(text, "w%d ", first + i);
	return text;
}

static void test_words(void)
{
	GString *a = words_make(0, 2 * PREFIX_BLOCK_TOKENS + 10);
	GString *b = words_make(0, PREFIX_BLOCK_TOKENS);
	GString *tail = words_make(9000, PREFIX_BLOCK_TOKENS);

	g_string_append(b, tail->str);
	g_assert_cmpuint(prompt_tokens(a->str, a->len), ==,
			 2 * PREFIX_BLOCK_TOKENS + 10);
	g_assert_cmpuint(common_blocks(a->str, a->str), ==, 2);
	g_assert_cmpuint(common_blocks(a->str, b->str), ==, 1);
	g_string_free(a, TRUE);
	g_string_free(b, TRUE);
	g_string_free(tail, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/prompt/tokens", test_tokens);
	g_test_add_func("/prompt/shared", test_shared);
	g_test_add_func("/prompt/words", test_words);
	return g_test_run();
}
