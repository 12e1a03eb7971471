#include "standin/engine_model.h"

#include <stdio.h>
#include <string.h>

#include "common/table.h"
#include "standin/engine_cache.h"
#include "standin/engine_link.h"
#include "standin/engine_prefill.h"
#include "standin/engine_stream.h"

static const char *const fault_names[] = {
	[ENGINE_REFUSE] = "refuse",
	[ENGINE_STALL_TRANSFER] = "stall_transfer",
	[ENGINE_DROP_STREAM] = "drop_stream",
	[ENGINE_LOSE_STREAM] = "lose_stream",
	[ENGINE_LOSE_ANSWER] = "lose_answer",
	[ENGINE_SLOW] = "slow",
	[ENGINE_FREEZE_REPORTS] = "freeze_reports",
	[ENGINE_EVENT_GAP] = "event_gap",
	[ENGINE_LATE_ANSWER] = "late_answer",
	[ENGINE_FAULT_LEAVING] = "leaving",
	NULL,
};

void engine_params_scale(struct engine_params *params)
{
	double scale = params->time_scale;

	params->prefill_tokens_per_s *= scale;
	params->decode_tokens_per_s *= scale;
	params->link_bytes_per_s *= scale;
	params->hold_usec = (int64_t)(params->hold_usec / scale);
	params->resume_usec = (int64_t)(params->resume_usec / scale);
	params->report_lag_usec = (int64_t)(params->report_lag_usec / scale);
	params->event_lag_usec = (int64_t)(params->event_lag_usec / scale);
}

static const char *const role_names[] = {
	[ENGINE_PREFILL] = "prefill",
	[ENGINE_DECODE] = "decode",
};

const char *engine_role_name(enum engine_role role)
{
	return role_names[role];
}

bool engine_role_parse(const char *text, enum engine_role *role)
{
	for (unsigned int i = 0; i < G_N_ELEMENTS(role_names); i++) {
		if (strcmp(text, role_names[i]) != 0)
			continue;
		*role = (enum engine_role)i;
		return true;
	}
	return false;
}

const char *engine_refusal_name(enum engine_refusal refusal)
{
	static const char *const names[] = {
		[ENGINE_ACCEPTED] = "",
		[ENGINE_LEAVING] = "leaving",
		[ENGINE_FULL] = "full",
		[ENGINE_OTHER_ROLE] = "role",
	};

	return names[refusal];
}

static void report_take(struct engine_model *model)
{
	struct engine_report *report = &model->report;
	bool decode = model->role == ENGINE_DECODE;
	uint32_t transferring = stream_count_waiting(model);

	report->taken_at = clock_now(model->clock);
	report->role = model->role;
	report->leaving = engine_is_leaving(model);
	report->pieces_used = model->pieces_used;
	report->running = table_count(model->streams) - transferring;
	report->running += model->computing != NULL;
	report->waiting = transferring + g_queue_get_length(&model->waiting);
	report->queue_tokens = prefill_queue_tokens(model);
	report->tokens_per_s = decode ? stream_rate(model, model->batch)
				      : model->params.prefill_tokens_per_s /
						engine_slowdown(model);
}

static void report_timer_expired(struct timer *timer, void *ctx)
{
	struct engine_model *model = ctx;

	if (!fault_value(&model->faults, ENGINE_FREEZE_REPORTS))
		report_take(model);
	timer_start(timer, model->params.report_lag_usec);
}

struct engine_model *engine_create(struct clock *clock,
				   const struct engine_params *params)
{
	struct engine_model *model = g_new0(struct engine_model, 1);

	model->clock = clock;
	model->params = *params;
	model->role = params->role;
	model->salt =
		(uint32_t)id_mix((uint64_t)clock_unix(clock), params->seed);
	fault_init(&model->faults, fault_names);
	model->cache = engine_cache_create(
		clock, params->cache_blocks, params->event_lag_usec,
		params->event_gap_percent, params->seed);
	model->link = engine_link_create(clock, params->link_bytes_per_s);
	prefill_setup(model);
	stream_setup(model);
	model->ledger.fences = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	model->ledger.requests = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
	timer_init(&model->report_timer, clock, report_timer_expired, model);
	report_take(model);
	if (params->report_lag_usec > 0)
		timer_start(&model->report_timer, params->report_lag_usec);
	return model;
}

void engine_destroy(struct engine_model *model)
{
	if (!model)
		return;
	timer_stop(&model->report_timer);
	stream_teardown(model);
	prefill_teardown(model);
	engine_link_destroy(model->link);
	engine_cache_destroy(model->cache);
	g_hash_table_destroy(model->ledger.requests);
	g_array_free(model->ledger.fences, TRUE);
	g_free(model);
}

enum engine_refusal engine_admit(struct engine_model *model,
				 enum engine_role role)
{
	if (engine_is_leaving(model))
		return ENGINE_LEAVING;
	if (fault_take(&model->faults, ENGINE_REFUSE))
		return ENGINE_FULL;
	return model->role == role ? ENGINE_ACCEPTED : ENGINE_OTHER_ROLE;
}

/* A fully computed stream without reader does not delay the shutdown. */
bool engine_idle(const struct engine_model *model)
{
	const struct stream *stream;
	uint32_t cursor = 0;
	uint64_t handle;

	if (table_count(model->prefills) > 0)
		return false;
	while ((stream = table_next(model->streams, &cursor, &handle)))
		if (!stream->done || stream->ops)
			return false;
	return true;
}

void engine_leave(struct engine_model *model)
{
	model->leaving = true;
}

bool engine_is_leaving(const struct engine_model *model)
{
	return model->leaving ||
	       fault_value(&model->faults, ENGINE_FAULT_LEAVING);
}

double engine_slowdown(const struct engine_model *model)
{
	int64_t value = fault_value(&model->faults, ENGINE_SLOW);

	return value > 0 ? (double)value : 1.0;
}

uint32_t engine_pieces(const struct engine_model *model, uint64_t tokens)
{
	uint64_t piece = model->params.piece_tokens;

	return (uint32_t)MIN((tokens + piece - 1) / piece, UINT32_MAX);
}

bool engine_order(struct engine_model *model, const enum engine_role *role,
		  const char *loaded, uint64_t fence)
{
	if (model->params.checks_fencing && fence < model->fence) {
		model->ledger.refused_fences++;
		return false;
	}
	if (fence > model->fence)
		model->fence = fence;
	g_array_append_val(model->ledger.fences, fence);
	if (role)
		model->role = *role;
	if (loaded)
		g_strlcpy(model->loaded, loaded, sizeof(model->loaded));
	return true;
}

struct request_stats *engine_request_stats(struct engine_model *model,
					   uint64_t request)
{
	GHashTable *requests = model->ledger.requests;
	struct request_stats *stats = g_hash_table_lookup(requests, &request);

	if (stats)
		return stats;
	stats = g_new0(struct request_stats, 1);
	stats->request = request;
	g_hash_table_insert(requests, &stats->request, stats);
	return stats;
}

void engine_name_write(const struct engine_model *model, char kind,
		       uint64_t handle, char name[ENGINE_NAME_SIZE])
{
	g_snprintf(name, ENGINE_NAME_SIZE, "%c%08x-%" G_GINT64_MODIFIER "x",
		   kind, model->salt, handle);
}

uint64_t engine_name_read(const struct engine_model *model, char kind,
			  const char *name)
{
	char written[ENGINE_NAME_SIZE];
	const char *dash = strchr(name, '-');
	uint64_t handle;

	if (!dash)
		return HANDLE_NONE;
	handle = g_ascii_strtoull(dash + 1, NULL, 16);
	engine_name_write(model, kind, handle, written);
	return strcmp(written, name) == 0 ? handle : HANDLE_NONE;
}

const struct engine_report *engine_report(const struct engine_model *model)
{
	return &model->report;
}
