/* Checks the result codes, and docs/ERRORS.md against error.h. */
#include <glib.h>
#include <string.h>

#include "common/error.h"

static const enum result_code codes[] = {
#define X(name, number, label, outcome, status) name,
	RESULT_CODES(X)
#undef X
};

static char *doc_read(void)
{
	char *text = NULL;

	g_assert_true(g_file_get_contents(SOURCE_ROOT "/docs/ERRORS.md", &text,
					  NULL, NULL));
	return text;
}

/* Counts the table rows that begin with a number. */
static size_t doc_rows(const char *text)
{
	size_t count = 0;

	for (; text; text = strchr(text, '\n')) {
		text += *text == '\n';
		if (g_str_has_prefix(text, "| ") && g_ascii_isdigit(text[2]))
			count++;
	}
	return count;
}

static void test_doc(void)
{
	char *text = doc_read();

	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++) {
		enum result_code code = codes[i];
		char *row = g_strdup_printf("\n| %d | `%s` | `%s` | %d | ",
					    (int)code, result_label(code),
					    outcome_label(result_outcome(code)),
					    result_status(code));

		if (!strstr(text, row))
			g_error("docs/ERRORS.md lacks: %s", row + 1);
		g_free(row);
	}
	g_assert_cmpuint(doc_rows(text), ==, G_N_ELEMENTS(codes));
	g_free(text);
}

/* Codes and labels are unique, and no failure has an HTTP status of success. */
static void test_codes(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++) {
		enum result_code code = codes[i];

		g_assert_cmpstr(result_label(code), !=, "unknown");
		if (code != RESULT_OK)
			g_assert_cmpint(result_status(code), >=, 400);
		for (size_t j = 0; j < i; j++) {
			g_assert_cmpint(codes[j], !=, code);
			g_assert_cmpstr(result_label(codes[j]), !=,
					result_label(code));
		}
	}
	g_assert_cmpstr(result_label((enum result_code)999), ==, "unknown");
	g_assert_cmpint(result_outcome((enum result_code)999), ==,
			OUTCOME_UNKNOWN);
}

/* A text that is truncated within a character, or contains invalid bytes,
 * becomes valid UTF-8. */
static void test_utf8(void)
{
	char big[2 * ERROR_TEXT_MAX] = "";
	struct error err;

	for (size_t i = 0; i < sizeof(big) / 2 - 1; i++)
		g_strlcat(big, "\u00e9", sizeof(big));
	error_set(&err, RESULT_IO, "%s", big);
	g_assert_true(g_utf8_validate(err.text, -1, NULL));
	g_assert_cmpuint(strlen(err.text), ==, ERROR_TEXT_MAX - 1);
	g_assert_true(g_str_has_suffix(err.text, "\u00e9?"));
	error_prefix(&err, "ab");
	g_assert_true(g_utf8_validate(err.text, -1, NULL));
	error_set(&err, RESULT_IO, "a\xff\xc3z");
	g_assert_cmpstr(err.text, ==, "a??z");
}

static void test_text(void)
{
	char big[2 * ERROR_TEXT_MAX];
	struct error err;

	g_assert_false(error_set(&err, RESULT_IO, "port %d", 80));
	g_assert_false(error_prefix(&err, "listen %s", "a"));
	g_assert_cmpstr(err.text, ==, "listen a: port 80");
	g_assert_cmpint(err.code, ==, RESULT_IO);
	memset(big, 'x', sizeof(big) - 1);
	big[sizeof(big) - 1] = '\0';
	error_set(&err, RESULT_IO, "%s", big);
	error_prefix(&err, "%s", big);
	g_assert_cmpuint(strlen(err.text), ==, ERROR_TEXT_MAX - 1);
	g_assert_false(error_set(NULL, RESULT_IO, "dropped"));
	g_assert_false(error_prefix(NULL, "dropped"));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/error/doc", test_doc);
	g_test_add_func("/error/codes", test_codes);
	g_test_add_func("/error/text", test_text);
	g_test_add_func("/error/utf8", test_utf8);
	return g_test_run();
}
