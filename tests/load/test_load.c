/* Unit tests of the load tool that need no process: text check, workload files,
 * arrivals, call plans, answer parsing and reports. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/id.h"
#include "common/model_text.h"
#include "load/answer.h"
#include "load/arrival.h"
#include "load/plan.h"
#include "load/report.h"
#include "load/text.h"
#include "load/workload.h"

#define PROMPT "@100 #4 key-1"
#define TOKENS 4

static char *tokens_make(uint64_t prompt, const char *order)
{
	GString *text = g_string_new(NULL);
	char token[MODEL_TOKEN_SIZE + 1];

	for (; *order != '\0'; order++) {
		model_token(prompt, (uint32_t)(*order - '0'), token);
		g_string_append(text, token);
	}
	return g_string_free(text, FALSE);
}

/* Digits are the numbers of the received tokens. */
static const struct {
	const char *order;
	bool whole;
	bool wrong;
} texts[] = {
	{"0123", true, false},	  {"012", false, false}, {"", false, false},
	{"01234", false, true},	  {"0023", false, true}, {"0132", false, true},
	{"0123012", false, true}, {"1230", false, true},
};

static void test_text(void)
{
	uint64_t prompt = id_hash(PROMPT, strlen(PROMPT));
	struct text_check check;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		char *text = tokens_make(prompt, texts[i].order);

		/* As a whole, and byte by byte. */
		text_check_init(&check, prompt, TOKENS);
		text_check_feed(&check, text, strlen(text));
		g_assert_cmpint(text_check_complete(&check), ==,
				texts[i].whole);
		g_assert_cmpint(check.wrong, ==, texts[i].wrong);
		text_check_init(&check, prompt, TOKENS);
		for (const char *at = text; *at != '\0'; at++)
			text_check_feed(&check, at, 1);
		g_assert_cmpint(text_check_complete(&check), ==,
				texts[i].whole);
		g_free(text);
	}
	text_check_init(&check, prompt + 1, TOKENS);
	char *other = tokens_make(prompt, "0123");

	text_check_feed(&check, other, strlen(other));
	g_assert_true(check.wrong);
	g_free(other);
}

#define KIND "kinds: [{name: a, weight: 1, path: /a}]"

/* A workload file and a part of its error message; NULL: valid. */
static const struct {
	const char *file;
	const char *error;
} files[] = {
	{"version: 1\nrate: 5\n" KIND, NULL},
	{"version: 1\nrate: 5\nbursts: {factor: 2, share: 0.5, period_ms: "
	 "10}\n" KIND,
	 NULL},
	{"", "empty"},
	{"# nothing\n", "empty"},
	{"version: 1\nrate: 5\n", "kinds"},
	{"version: 2\nrate: 5\n" KIND, "version is 2"},
	{"version: 1\nrate: 0\n" KIND, "rate is not positive"},
	{"version: 1\nrate: x\n" KIND, "line: 2"},
	{"version: 1\nrate: 5\nspeed: 1\n" KIND, "speed"},
	{"version: 1\nrate: 5\nkinds: [{name: a, weight: 1}]", "kind a"},
	{"version: 1\nrate: 5\nkinds: [{name: a, weight: 1, path: x}]",
	 "begin with /"},
	{"version: 1\nrate: 5\nkinds: [{name: a, weight: -1, path: /x}]",
	 "weight is negative"},
	{"version: 1\nrate: 5\nkinds: [{name: a, weight: 0, path: /x}]",
	 "no weight"},
	{"version: 1\nrate: 5\nkinds: [{name: a, weight: 1, model: m}]",
	 "output_tokens is missing"},
	{"version: 1\nrate: 5\nkinds: [{name: a, weight: 1, model: m, "
	 "max_tokens: 5, output_tokens: {median: 2, max: 6}}]",
	 "may exceed max_tokens"},
	{"version: 1\nrate: 5\nkinds: [{name: a, weight: 1, model: m, "
	 "max_tokens: 5, output_tokens: {median: 2}}]",
	 "may exceed max_tokens"},
	{"version: 1\nrate: 5\nkinds: [{name: a, weight: 1, model: m, "
	 "max_tokens: 5, output_tokens: {median: 2, max: 5}}]",
	 NULL},
	{"version: 1\nrate: 5\nkinds: [{name: a, weight: 1, path: /x, "
	 "prompt_tokens: {median: 1, min: 3, max: 2}}]",
	 "not a range"},
	{"version: 1\nrate: 5\nbursts: {factor: 3, share: 0.5, period_ms: "
	 "10}\n" KIND,
	 "bursts"},
};

static void test_workload(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
		struct error err = {0};
		struct workload *workload = workload_parse(
			"file", files[i].file, strlen(files[i].file), &err);

		if (files[i].error == NULL) {
			g_assert_cmpstr(err.text, ==, "");
			g_assert_nonnull(workload);
			workload_destroy(workload);
			continue;
		}
		g_assert_null(workload);
		g_assert_cmpint(err.code, ==, RESULT_BAD_CONFIG);
		if (strstr(err.text, files[i].error) == NULL)
			g_error("%zu: %s", i, err.text);
	}
}

static void test_samples(void)
{
	static const char *const samples[] = {
		"load-arequipa.yaml", "load-arequipa-peak.yaml",
		"load-vestland.yaml", "load-vestland-peak.yaml"};

	for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
		char *path = g_build_filename(SOURCE_ROOT, "examples",
					      samples[i], NULL);
		struct error err = {0};
		struct workload *workload = workload_load(path, &err);

		g_assert_cmpstr(err.text, ==, "");
		workload_destroy(workload);
		g_free(path);
	}
}

/* Mean rate, bursts, and the expected share of arrivals within bursts. */
static const struct {
	double rate;
	struct load_bursts bursts;
	double in_bursts;
} arrivals[] = {
	{100, {0, 0.25, 1000}, 0.25},
	{100, {3, 0.25, 1000}, 0.75},
	{7, {2, 0.5, 200}, 1.0},
};

static void test_arrivals(void)
{
	const int count = 20000;

	for (size_t i = 0; i < G_N_ELEMENTS(arrivals); i++) {
		const struct load_bursts *bursts = &arrivals[i].bursts;
		GRand *rand = g_rand_new_with_seed(11);
		int64_t period = bursts->period_ms * USEC_PER_MSEC;
		int64_t at = 0;
		int burst = 0;

		for (int n = 0; n < count; n++) {
			int64_t next = arrival_next(rand, arrivals[i].rate,
						    bursts, at);

			g_assert_cmpint(next, >=, at);
			at = next;
			burst += at % period <
				 (int64_t)(bursts->share * (double)period);
		}
		g_assert_cmpfloat_with_epsilon(
			(double)count * USEC_PER_SEC / (double)at,
			arrivals[i].rate, arrivals[i].rate * 0.04);
		g_assert_cmpfloat_with_epsilon((double)burst / count,
					       arrivals[i].in_bursts, 0.03);
		g_rand_free(rand);
	}
}

static void test_plans_repeat(void)
{
	char *path = g_build_filename(SOURCE_ROOT,
				      "examples/load-arequipa-peak.yaml", NULL);
	struct workload *workload = workload_load(path, NULL);
	GRand *a = g_rand_new_with_seed(5);
	GRand *b = g_rand_new_with_seed(5);

	for (uint64_t n = 0; n < 500; n++) {
		struct call_plan *p = plan_draw(a, workload, "run", n);
		struct call_plan *q = plan_draw(b, workload, "run", n);

		g_assert_cmpstr(p->text, ==, q->text);
		g_assert_cmpstr(p->key, ==, q->key);
		g_assert_true(p->kind == q->kind);
		if (p->kind->model != NULL) {
			const struct load_range *range =
				&p->kind->output_tokens;

			g_assert_cmpint(p->output_tokens, >=, range->min);
			g_assert_cmpint(p->output_tokens, <=, range->max);
			g_assert_cmpint(p->max_tokens, ==, p->kind->max_tokens);
		}
		plan_destroy(p);
		plan_destroy(q);
	}
	g_rand_free(a);
	g_rand_free(b);
	workload_destroy(workload);
	g_free(path);
}

#define HEADER(n, v)                                                           \
	{                                                                      \
		{n, sizeof(n) - 1},                                            \
		{                                                              \
			v, sizeof(v) - 1                                       \
		}                                                              \
	}

/* "0".."3" are tokens, each sent as an event if the answer is a stream. D is
 * [DONE], E an error event, J an event with malformed JSON. */
static const struct {
	const char *name;
	int status;
	const char *parts;
	bool stream;
	bool ok;
	enum call_verdict verdict;
	enum outcome outcome;
} answers[] = {
	{"whole", 200, "0123D", true, true, CALL_WHOLE, OUTCOME_RUN},
	{"cut", 200, "012", true, false, CALL_BROKEN, OUTCOME_RUN},
	{"no end", 200, "0123", true, true, CALL_BROKEN, OUTCOME_RUN},
	{"short", 200, "012D", true, true, CALL_WRONG, OUTCOME_RUN},
	{"doubled token", 200, "01123D", true, true, CALL_WRONG, OUTCOME_RUN},
	{"doubled answer", 200, "0123D0123D", true, true, CALL_WRONG,
	 OUTCOME_RUN},
	{"two ends", 200, "0123DD", true, true, CALL_WRONG, OUTCOME_RUN},
	{"error midway", 200, "01E", true, true, CALL_BROKEN, OUTCOME_UNKNOWN},
	{"no JSON", 200, "01J", true, true, CALL_WRONG, OUTCOME_RUN},
	{"refused", 429, "", true, true, CALL_REFUSED, OUTCOME_NOT_RUN},
	{"refused, cut", 503, "", true, false, CALL_BROKEN, OUTCOME_RUN},
	{"no answer", 0, "", true, false, CALL_BROKEN, OUTCOME_UNKNOWN},
	{"object", 200, "0123", false, true, CALL_WHOLE, OUTCOME_RUN},
	{"short object", 200, "01", false, true, CALL_WRONG, OUTCOME_RUN},
};

static void part_feed(struct answer *answer, char part, uint64_t prompt)
{
	char digit[2] = {part, '\0'};
	char *text;
	char *line;

	if (part == 'D')
		line = g_strdup("data: [DONE]\n\n");
	else if (part == 'J')
		line = g_strdup("data: {]\n\n");
	else if (part == 'E')
		line = g_strdup("data: {\"error\": {\"code\": 405, "
				"\"outcome\": \"unknown\"}}\n\n");
	else {
		text = tokens_make(prompt, digit);
		line = g_strdup_printf(
			"data: {\"choices\": [{\"text\": \"%s\"}]}\n\n", text);
		g_free(text);
	}
	/* Splits the line, as a read may end anywhere. */
	answer_body(answer, line, 3);
	answer_body(answer, line + 3, strlen(line) - 3);
	g_free(line);
}

static void object_feed(struct answer *answer, const char *parts,
			uint64_t prompt)
{
	char *text = tokens_make(prompt, parts);
	char *body =
		g_strdup_printf("{\"choices\": [{\"text\": \"%s\"}]}", text);

	answer_body(answer, body, strlen(body));
	g_free(body);
	g_free(text);
}

static void answer_feed(struct answer *answer, size_t i, uint64_t prompt)
{
	static const char refusal[] =
		"{\"error\": {\"code\": 201, \"outcome\": \"not-run\"}}";
	static const struct web_header headers[] = {
		HEADER("content-type", "text/event-stream"),
		HEADER("jt-outcome", "run"),
		HEADER("jt-request-id", "00000000000000aa"),
		HEADER("retry-after", "2"),
	};
	size_t skip = answers[i].stream ? 0 : 1;

	if (answers[i].status == 0)
		return;
	answer_head(answer, answers[i].status, headers + skip,
		    G_N_ELEMENTS(headers) - skip);
	if (answers[i].status != 200)
		answer_body(answer, refusal, strlen(refusal));
	else if (!answers[i].stream)
		object_feed(answer, answers[i].parts, prompt);
	else
		for (const char *part = answers[i].parts; *part; part++)
			part_feed(answer, *part, prompt);
}

static void test_answers(void)
{
	struct clock *clock = clock_create(0);

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct load_kind kind = {.model = "m",
					 .stream = answers[i].stream};
		struct call_plan plan = {
			.kind = &kind,
			.text = PROMPT,
			.text_hash = id_hash(PROMPT, strlen(PROMPT)),
			.output_tokens = TOKENS,
		};
		struct answer answer;

		g_test_message("%s", answers[i].name);
		answer_init(&answer, &plan, clock);
		answer_feed(&answer, i, plan.text_hash);
		g_assert_cmpint(answer_verdict(&answer, answers[i].ok), ==,
				answers[i].verdict);
		g_assert_cmpint(answer.outcome, ==, answers[i].outcome);
		if (answers[i].verdict == CALL_REFUSED) {
			g_assert_cmpint(answer.code, ==, RESULT_QUEUE_FULL);
			g_assert_cmpint(answer.retry_after, ==, 2);
			g_assert_cmpstr(answer.request_id, ==,
					"00000000000000aa");
		}
		answer_clear(&answer);
	}
	clock_destroy(clock);
}

/* Answers of a plain service, and the expected verdict. */
static const struct {
	const char *body;
	bool non_idempotent;
	enum call_verdict verdict;
} echoes[] = {
	{"{\"ran\": 1, \"body\": \"mine\"}", true, CALL_WHOLE},
	{"{\"ran\": 2, \"body\": \"mine\"}", false, CALL_WHOLE},
	{"{\"ran\": 2, \"body\": \"mine\"}", true, CALL_WRONG},
	{"{\"ran\": 0, \"body\": \"mine\"}", false, CALL_WRONG},
	{"{\"ran\": 1, \"body\": \"another's\"}", false, CALL_WRONG},
	{"{\"ran\": 1", false, CALL_WRONG},
};

static void test_echoes(void)
{
	struct clock *clock = clock_create(0);

	for (size_t i = 0; i < G_N_ELEMENTS(echoes); i++) {
		struct load_kind kind = {
			.path = "/x",
			.non_idempotent = echoes[i].non_idempotent,
		};
		struct call_plan plan = {.kind = &kind, .text = "mine"};
		struct answer answer;

		answer_init(&answer, &plan, clock);
		answer_head(&answer, 200, NULL, 0);
		answer_body(&answer, echoes[i].body, strlen(echoes[i].body));
		g_assert_cmpint(answer_verdict(&answer, true), ==,
				echoes[i].verdict);
		answer_clear(&answer);
	}
	clock_destroy(clock);
}

static json_t *sample_report(const char *label, double rate, double goodput)
{
	json_t *latency = json_pack("{s:f, s:f}", "p50", 10.0, "p99", 20.0);

	return json_pack("{s:s, s:f, s:[{s:s, s:i, s:i, s:f, s:O, s:n, s:o}], "
			 "s:{s:i, s:f}}",
			 "label", label, "rate", rate, "classes", "name",
			 "urgent", "sent", 10, "whole", 9, "goodput_percent",
			 goodput, "first_token_ms", latency,
			 "between_tokens_ms", "total_ms", latency, "prefill",
			 "tokens", 100, "wasted_percent", 1.5);
}

static void test_compare(void)
{
	json_t *a = sample_report("one", 5, 90);
	json_t *b = sample_report("two", 10, 95.5);
	GString *out = g_string_new(NULL);

	report_compare(a, b, out);
	g_assert_nonnull(strstr(out->str, "urgent       goodput %              "
					  "       90.00        95.50        "
					  "+5.50\n"));
	g_assert_nonnull(strstr(out->str, "between tokens p50 ms             "
					  "-            -\n"));
	json_decref(a);
	json_decref(b);
	g_string_free(out, TRUE);
}

static void test_plot(void)
{
	json_t *reports[] = {
		sample_report("one", 5, 90),
		sample_report("one", 10, 80),
		sample_report("<two>", 5, 95),
	};
	GString *out = g_string_new(NULL);
	GMarkupParser parser = {0};
	GMarkupParseContext *context =
		g_markup_parse_context_new(&parser, 0, NULL, NULL);

	report_plot(reports, G_N_ELEMENTS(reports), out);
	g_assert_true(g_markup_parse_context_parse(context, out->str,
						   (gssize)out->len, NULL));
	g_assert_true(g_markup_parse_context_end_parse(context, NULL));
	g_assert_nonnull(strstr(out->str, "<polyline"));
	g_assert_nonnull(strstr(out->str, "&lt;two&gt;"));
	g_string_truncate(out, 0);
	report_plot(reports + 1, 2, out);
	g_assert_null(strstr(out->str, "<polyline"));
	g_assert_nonnull(strstr(out->str, "<rect"));
	g_markup_parse_context_free(context);
	for (size_t i = 0; i < G_N_ELEMENTS(reports); i++)
		json_decref(reports[i]);
	g_string_free(out, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/load/text", test_text);
	g_test_add_func("/load/workload", test_workload);
	g_test_add_func("/load/samples", test_samples);
	g_test_add_func("/load/arrivals", test_arrivals);
	g_test_add_func("/load/plans", test_plans_repeat);
	g_test_add_func("/load/answers", test_answers);
	g_test_add_func("/load/echoes", test_echoes);
	g_test_add_func("/load/compare", test_compare);
	g_test_add_func("/load/plot", test_plot);
	return g_test_run();
}
