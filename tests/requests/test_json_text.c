/* Text escaped by json_text_append() must parse back to itself. */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "common/json_text.h"

static const char *const texts[] = {
	"",
	"plain",
	"a \"quoted\" word",
	"back\\slash",
	"line\nbreak\ttab",
	"\x01\x1f",
	"se\xc3\xb1or",
	"\xe2\x82\xac",
};

static void test_round_trip(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		GString *out = g_string_new(NULL);
		json_t *value;

		json_text_append(out, texts[i], strlen(texts[i]));
		value = json_loadb(out->str, out->len, JSON_DECODE_ANY, NULL);
		g_assert_nonnull(value);
		g_assert_cmpstr(json_string_value(value), ==, texts[i]);
		json_decref(value);
		g_string_free(out, TRUE);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/json_text/round_trip", test_round_trip);
	return g_test_run();
}
