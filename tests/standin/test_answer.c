/* Token counts of prompts, the model text, object names and injected faults. */
#include <string.h>

#include "common/error.h"
#include "common/id.h"
#include "common/model_text.h"
#include "common/table.h"
#include "standin/answer.h"
#include "standin/engine_model.h"
#include "standin/fault.h"

static const struct {
	const char *prompt;
	uint32_t tokens;
	uint32_t length; /* with a maximum of 100 */
} prompts[] = {
	{"", 0, 100},
	{"one", 1, 100},
	{"  two \n words\t", 2, 100},
	{"@3000 and more", 3000, 100},
	{"@ 3000", 2, 100},
	{"a @3000", 2, 100},
	{"sum up #7", 3, 7},
	{"# #x #0 #9", 4, 0},
	{"#100", 1, 100},
	{"#101", 1, 100},
	{"#99999999999999999999", 1, 100},
	{"@99999999999999999999 x", UINT32_MAX, 100},
};

static void test_prompts(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(prompts); i++) {
		const char *text = prompts[i].prompt;
		size_t size = strlen(text);

		g_assert_cmpuint(answer_prompt_tokens(text, size), ==,
				 prompts[i].tokens);
		g_assert_cmpuint(answer_output_tokens(text, size, 100), ==,
				 prompts[i].length);
	}
}

static void test_tokens(void)
{
	uint64_t prompt = id_hash("hello", 5);
	char text[MODEL_TOKEN_SIZE + 1];
	char *expected;

	for (uint32_t k = 0; k < 1000; k++) {
		model_token(prompt, k, text);
		expected = g_strdup_printf(
			"w%04x ", (unsigned int)(id_mix(prompt, k) & 0xffff));
		g_assert_cmpstr(text, ==, expected);
		g_free(expected);
	}
}

static void test_names(void)
{
	static const char *const others[] = {
		"", "-", "s", "s-1", "p1-1", "s00000000-100000000"};
	struct engine_params params = {.piece_tokens = 1,
				       .prefill_tokens_per_s = 1,
				       .decode_tokens_per_s = 1,
				       .link_bytes_per_s = 1,
				       .time_scale = 1};
	struct clock *clock = clock_create(5);
	struct engine_model *model = engine_create(clock, &params);
	char name[ENGINE_NAME_SIZE];

	engine_name_write(model, 's', UINT64_MAX, name);
	g_assert_cmphex(engine_name_read(model, 's', name), ==, UINT64_MAX);
	g_assert_cmphex(engine_name_read(model, 'p', name), ==, HANDLE_NONE);
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++)
		g_assert_cmphex(engine_name_read(model, 's', others[i]), ==,
				HANDLE_NONE);
	engine_destroy(model);
	clock_destroy(clock);
}

static const struct {
	const char *body;
	int64_t values[4]; /* of successive fault_take() of "one" */
	const char *error;
} faults[] = {
	{"{\"fault\": \"one\"}", {1, 1, 1, 1}, NULL},
	{"{\"fault\": \"one\", \"value\": 5}", {5, 5, 5, 5}, NULL},
	{"{\"fault\": \"one\", \"value\": 5, \"times\": 2}",
	 {5, 5, 0, 0},
	 NULL},
	{"{\"fault\": \"one\", \"value\": 0}", {0, 0, 0, 0}, NULL},
	{"{\"fault\": \"two\", \"value\": 3}", {9, 9, 9, 9}, NULL},
	{"{\"fault\": \"six\"}", {9, 9, 9, 9}, "unknown fault 'six'"},
	{"{\"fault\": \"one\", \"value\": -1}", {9, 9, 9, 9}, "out of range"},
	{"{\"fault\": \"one\", \"times\": -1}", {9, 9, 9, 9}, "out of range"},
	{"{\"fault\": \"one\", \"value\": \"x\"}", {9, 9, 9, 9}, ""},
	{"{}", {9, 9, 9, 9}, ""},
	{"[", {9, 9, 9, 9}, ""},
};

static void test_faults(void)
{
	static const char *const names[] = {"one", "two", NULL};
	struct fault_set set;
	struct error err;

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		const char *body = faults[i].body;
		const char *text = faults[i].error;
		bool ok;

		fault_init(&set, names);
		g_assert_true(fault_set(&set, "one", 9, 0, NULL));
		ok = fault_parse(&set, body, strlen(body), &err);
		g_assert_cmpint(ok, ==, text == NULL);
		if (!ok)
			g_assert_cmpint(err.code, ==, RESULT_USAGE);
		if (text && *text)
			g_assert_cmpstr(err.text, ==, text);
		for (int k = 0; k < 4; k++)
			g_assert_cmpint(fault_take(&set, 0), ==,
					faults[i].values[k]);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/standin/answer/prompts", test_prompts);
	g_test_add_func("/standin/answer/tokens", test_tokens);
	g_test_add_func("/standin/engine/names", test_names);
	g_test_add_func("/standin/fault/read", test_faults);
	return g_test_run();
}
