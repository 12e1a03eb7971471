#include "load/check.h"

#include "load/ledgers.h"

#define EXAMPLES_MAX 5

typedef bool (*check_fn)(const struct check_record *record,
			 const struct ledgers *ledgers);

static bool wrong_answer(const struct check_record *record,
			 const struct ledgers *ledgers)
{
	return record->verdict == CALL_WRONG;
}

static bool call_lost(const struct check_record *record,
		      const struct ledgers *ledgers)
{
	return record->verdict == CALL_BROKEN ||
	       record->verdict == CALL_UNANSWERED;
}

static bool refused_but_ran(const struct check_record *record,
			    const struct ledgers *ledgers)
{
	if (record->verdict != CALL_REFUSED || record->may_have_run ||
	    record->outcome != OUTCOME_NOT_RUN)
		return false;
	if (record->kind->model == NULL)
		return ledgers_key_runs(ledgers, record->key) != 0;
	/* The ledgers cannot be searched without an id, so the call counts as a
	 * violation. */
	if (record->request_id[0] == '\0')
		return true;
	return ledgers_request_sum(ledgers, record->request_id, "prefills") +
		       ledgers_request_sum(ledgers, record->request_id,
					   "decodes") !=
	       0;
}

/* A non-idempotent call runs exactly once if it was answered completely, else
 * at most once. */
static bool run_count_wrong(const struct check_record *record,
			    const struct ledgers *ledgers)
{
	int64_t runs;

	if (!record->kind->non_idempotent || record->kind->model != NULL)
		return false;
	runs = ledgers_key_runs(ledgers, record->key);
	return runs > 1 || (record->verdict == CALL_WHOLE && runs != 1);
}

static bool finished_twice(const struct check_record *record,
			   const struct ledgers *ledgers)
{
	return record->kind->model != NULL && record->request_id[0] != '\0' &&
	       ledgers_request_sum(ledgers, record->request_id, "finished") > 1;
}

static const struct {
	const char *name;
	check_fn violates;
	bool needs_ledgers; /* skipped when no ledger was given */
} checks[] = {
	{"every answer is whole, its own and single", wrong_answer, false},
	{"no call was lost", call_lost, false},
	{"what was refused as not run did not run", refused_but_ran, true},
	{"non-idempotent calls ran at most once", run_count_wrong, true},
	{"no request was finished twice", finished_twice, true},
};

static json_t *check_json(const char *name, int64_t count, const char *examples)
{
	return json_pack("{s:s, s:b, s:I, s:s}", "name", name, "ok", count == 0,
			 "broken", (json_int_t)count, "examples", examples);
}

static json_t *check_run(const char *name, check_fn violates,
			 const GArray *records, const struct ledgers *ledgers)
{
	GString *examples = g_string_new(NULL);
	int64_t count = 0;
	json_t *json;

	for (guint i = 0; i < records->len; i++) {
		const struct check_record *record =
			&g_array_index(records, struct check_record, i);

		if (!violates(record, ledgers))
			continue;
		if (count++ < EXAMPLES_MAX)
			g_string_append_printf(examples, "%s%s/%s",
					       count > 1 ? " " : "",
					       record->key, record->request_id);
	}
	json = check_json(name, count, examples->str);
	g_string_free(examples, TRUE);
	return json;
}

json_t *checks_run(const GArray *records, const struct ledgers *ledgers,
		   bool *ok)
{
	bool have_ledgers = ledgers_count(ledgers) > 0;
	json_t *all = json_array();
	size_t at;
	json_t *check;

	for (size_t i = 0; i < G_N_ELEMENTS(checks); i++)
		if (have_ledgers || !checks[i].needs_ledgers)
			json_array_append_new(all, check_run(checks[i].name,
							     checks[i].violates,
							     records, ledgers));
	if (have_ledgers) {
		json_array_append_new(all,
				      check_json("no engine memory stays held",
						 ledgers_held(ledgers), ""));
		json_array_append_new(all,
				      check_json("every ledger was read",
						 ledgers_unread(ledgers), ""));
	}
	*ok = true;
	json_array_foreach (all, at, check)
		*ok &= json_is_true(json_object_get(check, "ok"));
	return all;
}
