/*
 * suspect.c - quarantine of requests that crash servers
 *
 * DESCRIPTION
 *	When a request loses its connection, crash_detector.h checks whether the
 *	server has crashed. Each crash is recorded against the request and
 *	against the parts of its prompt (coord/suspects.h), and before each send
 *	the quarantine is consulted. So repeats of one request, or requests with
 *	one part, at any instance, crash a few servers and not all of them.
 */
#include "request.h"

#include <string.h>

#include "common/log.h"

#define LOGGED_PARTS_MAX 8u
#define LOGGED_PART_SIZE_MAX 16u

_Static_assert(REQUEST_SUSPECTS_MAX == 2 + PROMPT_PARTS_MAX,
	       "the request, its parts, and those that are not looked at");

static struct fingerprint_part part_of(struct web_text text)
{
	return (struct fingerprint_part){text.data, text.size};
}

static struct suspect suspect_make(const struct request *request,
				   const struct fingerprint_part *parts,
				   size_t count, bool fingerprint)
{
	struct suspect suspect = {
		.keyed_hash = keyed_hash_of(
			parts, count,
			request->forward->parts.keyed_hash_secret),
	};

	if (fingerprint)
		suspect.fingerprint = fingerprint_of(parts, count);
	return suspect;
}

static struct suspect suspect_whole(const struct request *request,
				    bool fingerprint)
{
	const struct caller_request *caller = &request->caller;
	const struct fingerprint_part parts[] = {
		part_of(caller->method), part_of(caller->host),
		part_of(caller->target), part_of(caller->identity),
		part_of(caller->body)};

	return suspect_make(request, parts, G_N_ELEMENTS(parts), fingerprint);
}

/* The subject is the part whoever the caller is. An organisation has one name
 * and several keys. */
static struct suspect suspect_part(const struct request *request,
				   struct web_text name, bool fingerprint)
{
	const char *organisation =
		request->organisation ? request->organisation->name : "";
	const struct web_text identity = request->organisation
						 ? (struct web_text){0}
						 : request->caller.identity;
	const uint64_t service = GUINT64_TO_LE(request->service->id);
	const struct fingerprint_part parts[] = {
		{&service, sizeof(service)},
		{organisation, strlen(organisation)},
		part_of(identity),
		part_of(name)};
	const struct fingerprint_part subject[] = {{&service, sizeof(service)},
						   part_of(name)};
	struct suspect suspect =
		suspect_make(request, parts, G_N_ELEMENTS(parts), fingerprint);

	/* The parts that are not looked at are others for each caller. */
	if (fingerprint && name.size > 0)
		suspect.fingerprint.high =
			fingerprint_of(subject, G_N_ELEMENTS(subject)).high;
	return suspect;
}

static void suspects_fill(const struct request *request, bool fingerprints,
			  struct suspects *suspects)
{
	const struct caller_request *caller = &request->caller;

	suspects->count = 0;
	suspects->attempt = keyed_hash_of(
		&(struct fingerprint_part){caller->id, strlen(caller->id)}, 1,
		request->forward->parts.keyed_hash_secret);
	suspects_add(suspects, suspect_whole(request, fingerprints));
	for (uint32_t i = 0; i < caller->part_count; i++)
		suspects_add(suspects, suspect_part(request, caller->parts[i],
						    fingerprints));
	/* Parts that are not looked at are one suspect in all such requests of
	 * the caller. No part has an empty name. */
	if (caller->has_more_parts)
		suspects_add(suspects,
			     suspect_part(request, (struct web_text){0},
					  fingerprints));
}

/* Computes them on first use. */
static const struct suspects *request_suspects(struct request *request)
{
	if (!request->suspects_known)
		suspects_fill(request, true, &request->suspects);
	request->suspects_known = true;
	return &request->suspects;
}

static uint64_t request_work(struct request *request)
{
	return request_suspects(request)->items[0].fingerprint.high;
}

/* The names of the prompt's parts, for the log. */
static char *parts_print(const struct caller_request *caller)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < MIN(caller->part_count, LOGGED_PARTS_MAX);
	     i++) {
		if (i > 0)
			g_string_append_c(text, ',');
		g_string_append_len(text, caller->parts[i].data,
				    (gssize)MIN(caller->parts[i].size,
						LOGGED_PART_SIZE_MAX));
	}
	return g_string_free(text, FALSE);
}

void request_connection_lost(struct request *request,
			     const struct backend_end *end)
{
	const struct answer *answer = &request->answer;
	g_autofree char *parts = NULL;
	struct suspects suspects;

	/* A time-out or a rejection is decided by this instance, and a refused
	 * request did not run. */
	if (end->complete || end->not_run || end->timed_out || end->rejected ||
	    (answer->has_head && answer->head.not_run))
		return;
	request->lost_connection = true;
	parts = parts_print(&request->caller);
	log_event(LOG_NOTICE, "connection_lost",
		  LOG_S("request", request->caller.id), LOG_S("parts", parts),
		  LOG_X("work", request_work(request)),
		  LOG_S("backend", request->target.id),
		  LOG_D("born", request->target.started_ms),
		  LOG_S("why", end->text));
	suspects = suspects_at(request_suspects(request),
			       request->target.software);
	suspects.begun = request->replied;
	crash_detector_check(request->forward->crash_detector, &request->target,
			     catalog_health_path(request->service), &suspects);
}

bool request_is_suspect(struct request *request)
{
	struct suspects suspects;

	if (!request->lost_connection)
		return false;
	suspects = suspects_at(request_suspects(request),
			       request->target.software);
	return suspects_crashed(request->forward->parts.quarantine, &suspects,
				request_now(request));
}

/* The crash of a server that is being recorded. */
struct crash {
	struct forward *forward;
	const struct backend_info *server;
	const struct suspects *suspects;
};

static void crash_log(const struct crash *crash,
		      const struct request_fingerprint *fingerprint,
		      const char *kind)
{
	const struct quarantine *quarantine = crash->forward->parts.quarantine;
	const struct quarantine_entry *entry =
		quarantine_find(quarantine, fingerprint);

	log_event(LOG_NOTICE, "server_ended",
		  LOG_S("backend", crash->server->id),
		  LOG_D("born", crash->server->started_ms),
		  LOG_X("work", fingerprint->high),
		  LOG_D("servers", entry ? entry->count : 0),
		  LOG_D("held", quarantine_holds(quarantine, fingerprint)),
		  LOG_S("kind", kind));
}

static void entry_changed(void *ctx,
			  const struct request_fingerprint *fingerprint)
{
	const struct forward *forward = ctx;

	forward->parts.quarantine_changed(forward->parts.callbacks_ctx,
					  fingerprint);
}

static void crash_recorded(void *ctx,
			   const struct request_fingerprint *fingerprint)
{
	const struct crash *crash = ctx;

	if (!fingerprint_same(fingerprint,
			      &crash->suspects->items[0].fingerprint))
		crash_log(crash, fingerprint, "part");
	entry_changed(crash->forward, fingerprint);
}

void quarantine_server_crashed(void *ctx, const struct backend_info *server,
			       const struct suspects *suspects)
{
	struct crash crash = {ctx, server, suspects};
	const struct forward_parts *parts = &crash.forward->parts;
	struct backend *backend = fleet_find(parts->fleet, backend_key(server));

	if (backend)
		backend_set_crashed(backend);
	crash.forward->servers_crashed->value++;
	suspects_record_crash(parts->quarantine, suspects, backend_key(server),
			      clock_now(parts->clock), crash_recorded, &crash);
	crash_log(&crash, &suspects->items[0].fingerprint, "request");
}

static void entry_cleared(void *ctx,
			  const struct request_fingerprint *fingerprint)
{
	struct request *request = ctx;

	log_event(LOG_NOTICE, "work_cleared",
		  LOG_S("request", request->caller.id),
		  LOG_X("work", fingerprint->high),
		  LOG_S("backend", request->target.id));
	entry_changed(request->forward, fingerprint);
}

void request_record_success(struct request *request)
{
	const struct forward_parts *parts = &request->forward->parts;
	uint64_t software = request->target.software;
	struct suspects suspects;

	suspects_fill(request, false, &suspects);
	suspects = suspects_at(&suspects, software);
	suspects_record_success(parts->quarantine, &suspects,
				request_now(request));
	if (quarantine_empty(parts->quarantine))
		return;
	suspects = suspects_at(request_suspects(request), software);
	suspects_clear(parts->quarantine, &suspects, entry_cleared, request);
}

/* The entry for which the request is refused at servers of that version. */
static const struct quarantine_entry *held_at(struct request *request,
					      uint64_t software)
{
	const struct suspects suspects =
		suspects_at(request_suspects(request), software);

	return suspects_find_held(request->forward->parts.quarantine, &suspects,
				  request_now(request), entry_cleared, request);
}

/* Bars the software versions that the request must not run at; *held is the
 * last entry for that. */
static bool versions_bar(struct request *request, struct quarantine_entry *held)
{
	uint64_t software[PLACE_BARRED_MAX];
	uint32_t count = fleet_software(request->forward->parts.fleet,
					request->service->id, software,
					PLACE_BARRED_MAX);

	for (uint32_t i = 0; i < count; i++) {
		const struct quarantine_entry *entry =
			held_at(request, software[i]);

		if (!entry)
			continue;
		/* The next version may drop it from the quarantine. */
		*held = *entry;
		request->barred.software[request->barred.count++] = software[i];
	}
	return request->barred.count > 0;
}

static void quarantined_refuse(struct request *request,
			       const struct quarantine_entry *entry)
{
	bool whole = entry->fingerprint.high == request_work(request);

	request->forward->quarantined->value++;
	log_event(LOG_NOTICE, "request_quarantined",
		  LOG_S("request", request->caller.id),
		  LOG_X("work", entry->fingerprint.high),
		  LOG_D("servers", entry->count), LOG_D("runs", request->runs),
		  LOG_S("kind", whole ? "request" : "part"));
	/* A retry would be refused as well, so no retry time is given. */
	if (request->replied)
		request_abort(request, result_label(RESULT_QUARANTINED));
	else
		request_refuse(request, RESULT_QUARANTINED, 0);
}

bool request_quarantine(struct request *request)
{
	struct quarantine_entry held = {0};
	struct place place;

	request->barred.count = 0;
	if (quarantine_empty(request->forward->parts.quarantine))
		return false;
	if (!versions_bar(request, &held))
		return false;
	request_place(request, &place);
	place.tried = NULL;
	if (place_has_server(&place, request_stage(request)))
		return false;
	quarantined_refuse(request, &held);
	return true;
}
