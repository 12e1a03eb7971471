#include "standin/engine_report.h"

#include "common/table.h"
#include "standin/engine_cache.h"
#include "standin/engine_stream.h"
#include "standin/reply.h"

#define EVENTS_PER_ANSWER 512u

json_t *report_load(const struct engine_model *model)
{
	const struct engine_report *report = engine_report(model);
	int64_t age = clock_now(model->clock) - report->taken_at;

	return json_pack("{s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:f, s:I}",
			 "role", engine_role_name(report->role), "leaving",
			 report->leaving, "pieces_used",
			 (json_int_t)report->pieces_used, "pieces",
			 (json_int_t)model->params.pieces, "running",
			 (json_int_t)report->running, "waiting",
			 (json_int_t)report->waiting, "queue_tokens",
			 (json_int_t)report->queue_tokens, "tokens_per_s",
			 report->tokens_per_s, "age_ms",
			 (json_int_t)(age / USEC_PER_MSEC));
}

static json_t *stream_json(const struct stream *s)
{
	return json_pack("{s:s, s:o, s:o, s:o, s:I, s:I, s:I, s:b}", "stream",
			 s->name, "request", json_from_id(s->job.request),
			 "owner", json_from_id(s->job.owner.instance),
			 "incarnation", json_from_id(s->job.owner.incarnation),
			 "attempt", (json_int_t)s->job.attempt, "pieces",
			 (json_int_t)s->pieces, "offset", (json_int_t)s->offset,
			 "done", s->done);
}

static json_t *streams_array(const struct engine_model *model)
{
	json_t *array = json_array();
	const struct stream *s;
	uint32_t cursor = 0;
	uint64_t handle;

	while ((s = table_next(model->streams, &cursor, &handle)))
		json_array_append_new(array, stream_json(s));
	return array;
}

json_t *report_streams(const struct engine_model *model)
{
	return json_pack("{s:o}", "streams", streams_array(model));
}

json_t *report_events(struct engine_model *model, uint64_t from)
{
	struct cache_event events[EVENTS_PER_ANSWER];
	json_t *array = json_array();
	uint64_t next = from;
	bool gap = false;
	uint32_t count = 0;

	if (!fault_value(&model->faults, ENGINE_FREEZE_REPORTS))
		count = engine_cache_events(model->cache, from, events,
					    EVENTS_PER_ANSWER, &next, &gap);
	for (uint32_t i = 0; i < count; i++)
		json_array_append_new(array,
				      json_pack("{s:o, s:b}", "block",
						json_from_id(events[i].block),
						"stored", events[i].stored));
	return json_pack("{s:I, s:b, s:o}", "next", (json_int_t)next, "gap",
			 gap, "events", array);
}

static json_t *requests_json(const struct engine_ledger *ledger)
{
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer value;
	char key[17];

	g_hash_table_iter_init(&iter, ledger->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct request_stats *stats = value;

		g_snprintf(key, sizeof(key), "%016" G_GINT64_MODIFIER "x",
			   stats->request);
		json_object_set_new(
			object, key,
			json_pack("{s:I, s:I, s:I, s:I, s:I, s:I}", "prefills",
				  (json_int_t)stats->prefills, "decodes",
				  (json_int_t)stats->decodes, "finished",
				  (json_int_t)stats->finished, "cancelled",
				  (json_int_t)stats->cancelled,
				  "prefill_tokens",
				  (json_int_t)stats->prefill_tokens,
				  "useful_tokens",
				  (json_int_t)stats->useful_tokens));
	}
	return object;
}

json_t *report_ledger(const struct engine_model *model)
{
	const struct engine_ledger *ledger = &model->ledger;
	json_t *fences = json_array();

	for (guint i = 0; i < ledger->fences->len; i++) {
		uint64_t fence = g_array_index(ledger->fences, uint64_t, i);

		json_array_append_new(fences, json_integer((json_int_t)fence));
	}
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:o, s:I, s:s}",
			 "prefills", (json_int_t)ledger->prefills,
			 "prefill_tokens", (json_int_t)ledger->prefill_tokens,
			 "wasted_tokens", (json_int_t)ledger->wasted_tokens,
			 "decodes", (json_int_t)ledger->decodes, "tokens",
			 (json_int_t)ledger->tokens, "requests",
			 requests_json(ledger), "held", streams_array(model),
			 "fences", fences, "refused_fences",
			 (json_int_t)ledger->refused_fences, "loaded",
			 model->loaded);
}
