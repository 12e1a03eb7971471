/*
 * suspect.c - quarantine of requests that crash servers
 *
 * DESCRIPTION
 *	When a request loses its connection, crash_detector.h checks whether the
 *	server has crashed. Each crash is recorded against the fingerprint of
 *	the request (coord/quarantine.h), and before each send the quarantine is
 *	consulted. So repeats of one request, at any instance, crash three
 *	servers and not all of them.
 */
#include "request.h"

#include "common/log.h"

#define PART_COUNT 5

#define LOGGED_PARTS_MAX 8u
#define LOGGED_PART_SIZE_MAX 16u

static void parts_fill(const struct caller_request *caller,
		       struct fingerprint_part parts[PART_COUNT])
{
	const struct web_text texts[PART_COUNT] = {
		caller->method, caller->host, caller->target, caller->identity,
		caller->body};

	for (int i = 0; i < PART_COUNT; i++)
		parts[i] =
			(struct fingerprint_part){texts[i].data, texts[i].size};
}

static uint64_t request_keyed_hash(const struct request *request)
{
	struct fingerprint_part parts[PART_COUNT];

	parts_fill(&request->caller, parts);
	return keyed_hash_of(parts, PART_COUNT,
			     request->forward->parts.keyed_hash_secret);
}

/* Computes the identity on first use. */
static const struct request_identity *request_identify(struct request *request)
{
	struct fingerprint_part parts[PART_COUNT];

	if (request->identity_known)
		return &request->identity;
	parts_fill(&request->caller, parts);
	request->identity.fingerprint = fingerprint_of(parts, PART_COUNT);
	request->identity.keyed_hash = request_keyed_hash(request);
	request->identity_known = true;
	return &request->identity;
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

	/* A time-out is decided by this instance, and a refused request did not
	 * run. */
	if (end->complete || end->not_run || end->timed_out ||
	    (answer->has_head && answer->head.not_run))
		return;
	request->lost_connection = true;
	parts = parts_print(&request->caller);
	log_event(LOG_NOTICE, "connection_lost",
		  LOG_S("request", request->caller.id), LOG_S("parts", parts),
		  LOG_X("work", request_identify(request)->fingerprint.high),
		  LOG_S("backend", request->target.id),
		  LOG_D("born", request->target.started_ms),
		  LOG_S("why", end->text));
	crash_detector_check(request->forward->crash_detector, &request->target,
			     request->service->health_path,
			     request_identify(request));
}

bool request_is_suspect(const struct request *request)
{
	const struct quarantine_entry *entry;

	if (!request->lost_connection)
		return false;
	entry = quarantine_find(request->forward->parts.quarantine,
				&request->identity.fingerprint);
	return entry && entry->count > 0;
}

void quarantine_server_crashed(void *ctx, const struct backend_info *server,
			       const struct request_identity *identity)
{
	struct forward *forward = ctx;
	const struct forward_parts *parts = &forward->parts;
	struct backend *backend = fleet_find(parts->fleet, backend_key(server));
	bool changed = quarantine_record_crash(
		parts->quarantine, &identity->fingerprint, identity->keyed_hash,
		backend_key(server), clock_now(parts->clock));
	const struct quarantine_entry *entry =
		quarantine_find(parts->quarantine, &identity->fingerprint);

	if (backend)
		backend_set_crashed(backend);
	forward->servers_crashed->value++;
	log_event(LOG_NOTICE, "server_ended", LOG_S("backend", server->id),
		  LOG_D("born", server->started_ms),
		  LOG_X("work", identity->fingerprint.high),
		  LOG_D("servers", entry ? entry->count : 0),
		  LOG_D("held", quarantine_holds(parts->quarantine,
						 &identity->fingerprint)));
	if (changed)
		parts->quarantine_changed(parts->callbacks_ctx,
					  &identity->fingerprint);
}

static void request_clear_quarantine(struct request *request)
{
	const struct forward_parts *parts = &request->forward->parts;

	if (!quarantine_clear(parts->quarantine,
			      &request_identify(request)->fingerprint))
		return;
	log_event(LOG_NOTICE, "work_cleared",
		  LOG_S("request", request->caller.id),
		  LOG_X("work", request_identify(request)->fingerprint.high),
		  LOG_S("backend", request->target.id));
	parts->quarantine_changed(parts->callbacks_ctx,
				  &request_identify(request)->fingerprint);
}

void request_record_success(struct request *request)
{
	struct quarantine *quarantine = request->forward->parts.quarantine;

	quarantine_record_success(quarantine, request_keyed_hash(request),
				  request_now(request));
	if (!quarantine_empty(quarantine))
		request_clear_quarantine(request);
}

bool request_quarantine(struct request *request)
{
	const struct forward_parts *parts = &request->forward->parts;
	const struct quarantine_entry *entry;

	if (quarantine_empty(parts->quarantine) ||
	    !quarantine_holds(parts->quarantine,
			      &request_identify(request)->fingerprint))
		return false;
	/* The entry comes from instances that do not know that the request has
	 * succeeded here. */
	if (quarantine_has_succeeded(parts->quarantine,
				     request->identity.keyed_hash,
				     request_now(request))) {
		request_clear_quarantine(request);
		return false;
	}
	entry = quarantine_find(parts->quarantine,
				&request->identity.fingerprint);
	request->forward->quarantined->value++;
	log_event(LOG_NOTICE, "request_quarantined",
		  LOG_S("request", request->caller.id),
		  LOG_X("work", request->identity.fingerprint.high),
		  LOG_D("servers", entry->count), LOG_D("runs", request->runs));
	/* A retry would be refused as well, so no retry time is given. */
	if (request->replied)
		request_abort(request, result_label(RESULT_QUARANTINED));
	else
		request_refuse(request, RESULT_QUARANTINED, 0);
	return true;
}
