/*
 * where.c - explains the choices for a request that is not sent
 */
#include "forward/where.h"

#include <jansson.h>
#include <string.h>

#include "common/id.h"
#include "request.h"

static const char *const stage_names[STAGE_COUNT] = {
	[STAGE_NONE] = "call",
	[STAGE_PREFILL] = "prefill",
	[STAGE_DECODE] = "decode",
};

static const char *const path_names[] = {
	[PATH_NONE] = "none",
	[PATH_DIRECT] = "direct",
	[PATH_RELAYED] = "relayed",
};

static json_int_t msec(int64_t usec)
{
	return usec / USEC_PER_MSEC;
}

static json_t *load_pack(const struct backend *backend)
{
	return json_pack("{s:I, s:I, s:I}", "requests",
			 (json_int_t)backend_requests(backend), "decode_tokens",
			 (json_int_t)backend_decode_tokens(backend),
			 "prefill_tokens",
			 (json_int_t)backend_prefill_tokens(backend));
}

static json_t *candidate_pack(const struct place *place,
			      const struct place_candidate *candidate)
{
	const struct backend *backend = candidate->backend;
	json_t *out = json_pack(
		"{s:s, s:s, s:b, s:s, s:o, s:f, s:I}", "server",
		backend->info.id, "data_centre", backend->info.data_centre,
		"suitable", candidate->suitable, "path",
		path_names[backend_path(backend, place->now)], "load",
		load_pack(backend), "failures",
		backend_failure_score(backend, place->now), "load_age_max_ms",
		msec(place_staleness(place, backend)));

	if (candidate->suitable)
		json_object_set_new(out, "cost", json_real(candidate->cost));
	if (candidate->bar != PLACE_ALLOWED)
		json_object_set_new(
			out, "barred",
			json_string(place_bar_name(candidate->bar)));
	return out;
}

static bool is_of_stage(const struct place_step *step,
			const struct place_candidate *candidate)
{
	return candidate->backend->info.stage == step->stage;
}

static json_t *step_pack(const struct place *place,
			 const struct place_step *step)
{
	json_t *candidates = json_array();

	for (guint i = 0; i < step->candidates->len; i++) {
		const struct place_candidate *candidate = &g_array_index(
			step->candidates, struct place_candidate, i);

		if (is_of_stage(step, candidate))
			json_array_append_new(candidates,
					      candidate_pack(place, candidate));
	}
	return json_pack("{s:s, s:s?, s:o}", "step", stage_names[step->stage],
			 "chosen", step->chosen ? step->chosen->info.id : NULL,
			 "candidates", candidates);
}

/* Makes the choices of plain_start() or stream_reserve(). */
static const struct backend *server_choose(struct request *request)
{
	if (request_stage(request) == STAGE_DECODE)
		return stream_choose(request, 1);
	return plain_choose(request, true);
}

static json_t *queue_pack(const struct request *request)
{
	const struct forward *forward = request->forward;
	const struct forward_parts *parts = &forward->parts;

	return json_pack("{s:I, s:I}", "here",
			 (json_int_t)forward_waiting(forward), "all_instances",
			 (json_int_t)parts->waiting(parts->callbacks_ctx));
}

static const char *verdict(const struct request *request,
			   const struct backend *backend)
{
	if (backend)
		return "sent";
	if (request_stage(request) == STAGE_DECODE)
		return "waits";
	return "refused";
}

static json_t *service_pack(struct request *request, uint32_t weight)
{
	const struct backend *backend;
	json_t *steps = json_array();
	struct place place;

	request->report = place_report_create(request->forward->parts.rand);
	backend = server_choose(request);
	request_place(request, &place);
	for (guint i = 0; i < request->report->steps->len; i++)
		json_array_append_new(
			steps, step_pack(&place,
					 &g_array_index(request->report->steps,
							struct place_step, i)));
	place_report_destroy(request->report);
	request->report = NULL;
	return json_pack("{s:s, s:I, s:b, s:s, s:s?, s:o, s:o}", "service",
			 request->service->name, "weight", (json_int_t)weight,
			 "dispatched",
			 request_stage(request) == STAGE_NONE &&
				 request_is_dispatched(request),
			 "verdict", verdict(request, backend), "server",
			 backend ? backend->info.id : NULL, "queue",
			 queue_pack(request), "steps", steps);
}

static json_t *services_pack(struct request *request)
{
	const GArray *shares = request->route->shares;
	json_t *out = json_array();

	for (guint i = 0; i < shares->len; i++) {
		const struct route_share *share =
			&g_array_index(shares, struct route_share, i);

		request->service =
			catalog_service(request->catalog, share->service);
		if (request->service)
			json_array_append_new(
				out, service_pack(request, share->weight));
	}
	return out;
}

static bool organisation_get(struct request *request, const char *name,
			     struct error *err)
{
	if (!name || !name[0])
		return true;
	if (request->catalog->organisations)
		request->organisation = organisation_find(
			request->catalog->organisations, id_of(name));
	return request->organisation ||
	       error_set(err, RESULT_NOT_FOUND, "no organisation \"%s\"", name);
}

char *forward_where(struct forward *forward, const struct where_query *query,
		    struct error *err)
{
	const struct forward_parts *parts = &forward->parts;
	struct request request = {
		.forward = forward,
		.catalog = forward->catalog,
		.arrived = clock_now(parts->clock),
		.caller.prompt_tokens = query->prompt_tokens,
		.caller.output_max = query->output_max,
		.caller.output_expected = query->output_expected,
	};
	json_t *out;
	char *text;

	if (!forward->catalog) {
		error_set(err, RESULT_NO_CONFIG, "no configuration yet");
		return NULL;
	}
	request.route = catalog_route(forward->catalog, query->host,
				      strlen(query->host), query->path,
				      strlen(query->path));
	if (!request.route) {
		error_set(err, RESULT_NOT_FOUND, "no route for %s%s",
			  query->host, query->path);
		return NULL;
	}
	if (!organisation_get(&request, query->organisation, err))
		return NULL;
	request.deadline = request.arrived + request.route->timeout_usec;
	out = json_pack("{s:s, s:I, s:I, s:I, s:o}", "route",
			request.route->name, "version",
			(json_int_t)forward->catalog->version, "list_age_ms",
			msec(parts->list_age(parts->callbacks_ctx)), "urgency",
			(json_int_t)request_urgency(&request), "services",
			services_pack(&request));
	text = json_dumps(out, JSON_INDENT(2));
	json_decref(out);
	return text;
}
