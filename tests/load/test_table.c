/* Tests the Markdown table of medians over the runs of one setting. */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "load/report.h"

#define RUN(label, rate, goodput, wasted, ok)                                  \
	"{\"label\":\"" label "\",\"rate\":" rate                              \
	",\"classes\":[{\"name\":\"urgent\",\"goodput_percent\":" goodput      \
	",\"first_token_ms\":{\"p50\":10,\"p99\":20},"                         \
	"\"between_tokens_ms\":{\"p99\":30},\"refused\":1,"                    \
	"\"broken\":0,\"unanswered\":2},{\"name\":\"deferrable\","             \
	"\"goodput_percent\":null,\"total_ms\":{\"p50\":1500},"                \
	"\"refused\":3,\"broken\":1,\"unanswered\":0}],"                       \
	"\"prefill\":{\"wasted_percent\":" wasted "},"                         \
	"\"checks\":[{\"name\":\"c\",\"ok\":" ok "}]}"

static const char *const runs[] = {
	RUN("b", "20", "90", "0.5", "true"),
	RUN("a", "20", "80", "1.0", "true"),
	RUN("b", "20", "70", "0.1", "false"),
	RUN("b", "20", "99", "0.3", "true"),
	RUN("b", "5", "100", "0", "true"),
	RUN("a", "20", "90", "3.0", "true"),
};

static const char *const rows[] = {
	"| 5.0 | b | 1 | 100.00 | - | 10.00 | 20.00 | 30.00 | 1.50 | 0.00 | "
	"4.00 | "
	"3.00 | 0.00 |",
	"| 20.0 | a | 2 | 85.00 (80.00–90.00) | - | 10.00 (10.00–10.00) | "
	"20.00 (20.00–20.00) | 30.00 (30.00–30.00) | 1.50 (1.50–1.50) | "
	"2.00 (1.00–3.00) | 4.00 (4.00–4.00) | 3.00 (3.00–3.00) | "
	"0.00 (0.00–0.00) |",
	"| 20.0 | b | 3 | 90.00 (70.00–99.00) | - | 10.00 (10.00–10.00) | "
	"20.00 (20.00–20.00) | 30.00 (30.00–30.00) | 1.50 (1.50–1.50) | 0.30 "
	"(0.10–0.50) | "
	"4.00 (4.00–4.00) | 3.00 (3.00–3.00) | 0.00 (0.00–1.00) |",
};

static void test_medians(void)
{
	json_t *reports[G_N_ELEMENTS(runs)];
	GString *out = g_string_new(NULL);
	char **lines;

	for (size_t i = 0; i < G_N_ELEMENTS(runs); i++) {
		reports[i] = json_loads(runs[i], 0, NULL);
		g_assert_nonnull(reports[i]);
	}
	report_table(reports, G_N_ELEMENTS(runs), out);
	lines = g_strsplit(out->str, "\n", -1);
	g_assert_cmpuint(g_strv_length(lines), ==, 2 + G_N_ELEMENTS(rows) + 1);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_assert_cmpstr(lines[i + 2], ==, rows[i]);
	g_strfreev(lines);
	g_string_free(out, TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS(runs); i++)
		json_decref(reports[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/load/table/medians", test_medians);
	return g_test_run();
}
