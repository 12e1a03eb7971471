#include "load/tally.h"

#include "common/clock.h"

void tally_init(struct tally *tally, const char *name)
{
	*tally = (struct tally){
		.name = name,
		.codes = g_hash_table_new(NULL, NULL),
		.first_token = g_array_new(FALSE, FALSE, sizeof(int64_t)),
		.between_tokens = g_array_new(FALSE, FALSE, sizeof(int64_t)),
		.total = g_array_new(FALSE, FALSE, sizeof(int64_t)),
	};
}

void tally_clear(struct tally *tally)
{
	g_hash_table_destroy(tally->codes);
	g_array_free(tally->first_token, TRUE);
	g_array_free(tally->between_tokens, TRUE);
	g_array_free(tally->total, TRUE);
}

static bool target_met(int64_t usec, uint32_t target_ms)
{
	return target_ms == 0 || usec <= target_ms * USEC_PER_MSEC;
}

static bool call_within_targets(const struct latency_targets *targets,
				const struct call_result *result)
{
	return result->verdict == CALL_WHOLE &&
	       target_met(result->first_token_usec, targets->first_token_ms) &&
	       target_met(result->between_tokens_usec,
			  targets->between_tokens_ms) &&
	       target_met(result->total_usec, targets->complete_ms);
}

static void code_count(struct tally *tally, int code)
{
	gpointer key = GINT_TO_POINTER(code);
	int count = GPOINTER_TO_INT(g_hash_table_lookup(tally->codes, key));

	g_hash_table_insert(tally->codes, key, GINT_TO_POINTER(count + 1));
}

static void sample_add(GArray *samples, int64_t usec)
{
	if (usec >= 0)
		g_array_append_val(samples, usec);
}

void tally_add(struct tally *tally, const struct load_kind *kind,
	       const struct call_result *result)
{
	tally->sent++;
	tally->retried += result->attempts - 1;
	tally->verdicts[result->verdict]++;
	if (call_within_targets(&kind->targets, result))
		tally->within_targets++;
	if (result->verdict == CALL_REFUSED || result->verdict == CALL_BROKEN)
		code_count(tally, result->code);
	if (result->verdict != CALL_WHOLE)
		return;
	sample_add(tally->first_token, result->first_token_usec);
	sample_add(tally->between_tokens, result->between_tokens_usec);
	sample_add(tally->total, result->total_usec);
}

static int sample_compare(const void *a, const void *b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x > *y) - (*x < *y);
}

static json_t *quantile(const GArray *samples, double q)
{
	guint at = MIN((guint)(q * samples->len), samples->len - 1);
	double usec = (double)g_array_index(samples, int64_t, at);

	return json_real(usec / USEC_PER_MSEC);
}

static json_t *samples_json(GArray *samples)
{
	if (samples->len == 0)
		return json_null();
	g_array_sort(samples, sample_compare);
	return json_pack(
		"{s:i, s:o, s:o, s:o, s:o}", "count", (int)samples->len, "p50",
		quantile(samples, 0.5), "p90", quantile(samples, 0.9), "p99",
		quantile(samples, 0.99), "max", quantile(samples, 1.0));
}

static json_t *codes_json(const struct tally *tally)
{
	json_t *json = json_object();
	GHashTableIter iter;
	void *code;
	void *count;
	char name[16];

	g_hash_table_iter_init(&iter, tally->codes);
	while (g_hash_table_iter_next(&iter, &code, &count)) {
		g_snprintf(name, sizeof(name), "%d", GPOINTER_TO_INT(code));
		json_object_set_new(json, name,
				    json_integer(GPOINTER_TO_INT(count)));
	}
	return json;
}

json_t *tally_json(struct tally *tally)
{
	int64_t counted = tally->sent - tally->verdicts[CALL_HUNG_UP];
	json_t *json = json_pack("{s:s, s:I, s:I, s:I}", "name", tally->name,
				 "sent", (json_int_t)tally->sent, "retried",
				 (json_int_t)tally->retried, "within_targets",
				 (json_int_t)tally->within_targets);

	for (int i = 0; i < CALL_VERDICT_COUNT; i++)
		json_object_set_new(json,
				    call_verdict_label((enum call_verdict)i),
				    json_integer(tally->verdicts[i]));
	json_object_set_new(
		json, "goodput_percent",
		counted > 0 ? json_real(100.0 * (double)tally->within_targets /
					(double)counted)
			    : json_null());
	json_object_set_new(json, "codes", codes_json(tally));
	json_object_set_new(json, "first_token_ms",
			    samples_json(tally->first_token));
	json_object_set_new(json, "between_tokens_ms",
			    samples_json(tally->between_tokens));
	json_object_set_new(json, "total_ms", samples_json(tally->total));
	return json;
}
