/* Guards against fields of the schema missing in the documentation. */
#include <glib.h>

#include "config/config.h"
#include "files.h"

#define FIELD_PATTERN                                                          \
	"\\b(?:NAME|TEXT|UINT|BOOL|CYAML_FIELD_[A-Z_]+)\\(\\s*\"([a-z_]+)\""
#define FIELDS_MIN 40

static const struct {
	const char *file;
	const char *mark; /* that encloses a field's name */
} pages[] = {
	{"docs/CONFIGURATION.md", "`"},
	{"config/jacinthtrestle-config.5.scd", "*"},
};

static void field_find(const char *field)
{
	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		g_autofree char *page = source_file(pages[i].file);
		g_autofree char *marked =
			g_strconcat(pages[i].mark, field, pages[i].mark, NULL);

		g_test_message("%s in %s", field, pages[i].file);
		g_assert_nonnull(strstr(page, marked));
	}
}

static void test_fields(void)
{
	g_autofree char *schema = source_file("config/schema.c");
	GRegex *regex = g_regex_new(FIELD_PATTERN, 0, 0, NULL);
	GMatchInfo *match;
	unsigned int count = 0;

	for (g_regex_match(regex, schema, 0, &match);
	     g_match_info_matches(match); g_match_info_next(match, NULL)) {
		g_autofree char *field = g_match_info_fetch(match, 1);

		field_find(field);
		count++;
	}
	g_assert_cmpuint(count, >=, FIELDS_MIN);
	g_match_info_free(match);
	g_regex_unref(regex);
}

/* The example in the manual page is a valid configuration. */
static void test_example(void)
{
	g_autofree char *page = source_file(pages[1].file);
	g_auto(GStrv) parts = g_strsplit(page, "```\n", 3);
	struct config *config;

	g_assert_cmpuint(g_strv_length(parts), ==, 3);
	config = config_parse("f", parts[1], strlen(parts[1]), NULL);
	g_assert_nonnull(config);
	config_destroy(config);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/docs/fields", test_fields);
	g_test_add_func("/config/docs/example", test_example);
	return g_test_run();
}
