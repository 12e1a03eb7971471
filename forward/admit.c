/*
 * admit.c - authentication of callers and admission by allotment
 *
 * DESCRIPTION
 *	Both are decided when a request arrives, by the catalog in force then,
 *	before any queue or reservation. A request in progress continues when
 *	its key is revoked or its allotment lowered; its timeout bounds how
 *	long. No request that arrives after a revocation runs.
 *
 *	On a public route a known key still selects its organisation and takes
 *	from the allotment; any other caller is anonymous.
 */
#include "request.h"

#include "common/log.h"

/* Organisations with a separate counter; all others share one. */
#define COUNTED_MAX 64u

static struct counter *organisation_counter(struct forward *forward,
					    const char *name)
{
	struct counter *counter =
		g_hash_table_lookup(forward->organisation_counters, name);
	g_autofree char *labels = NULL;

	if (counter)
		return counter;
	if (g_hash_table_size(forward->organisation_counters) >= COUNTED_MAX)
		name = "(others)";
	labels = g_strdup_printf("organisation=\"%s\"", name);
	counter = counter_get(
		forward->parts.counters, "jt_over_allotment_requests_total",
		"Requests refused beyond an organisation's allotment", labels);
	if (g_hash_table_size(forward->organisation_counters) < COUNTED_MAX)
		g_hash_table_insert(forward->organisation_counters,
				    g_strdup(name), counter);
	return counter;
}

static bool key_check(struct request *request)
{
	const struct organisations *all = request->catalog->organisations;
	struct caller_request *caller = &request->caller;

	caller->hide_key = true;
	request->organisation =
		organisation_of_key(all, caller->key.data, caller->key.size);
	if (request->organisation)
		caller->organisation = request->organisation->name;
	if (request->organisation || request->route->is_public)
		return true;
	request->forward->unknown_keys->value++;
	request_deny(request, RESULT_UNKNOWN_KEY,
		     caller->key.size ? "unknown key" : "no key");
	return false;
}

static void refused_log(const struct request *request,
			const struct limit_request *limit_request,
			const struct limit_refusal *refusal)
{
	log_event(LOG_INFO, "over_allotment",
		  LOG_S("request", request->caller.id),
		  LOG_S("organisation", request->organisation->name),
		  LOG_F("units", limit_request->units),
		  LOG_F("level", refusal->level),
		  LOG_F("rate", limit_request->allotment.rate),
		  LOG_F("burst", limit_request->allotment.burst),
		  LOG_D("heard_age_ms",
			refusal->age_usec < 0
				? -1
				: refusal->age_usec / USEC_PER_MSEC),
		  LOG_D("retry_ms", refusal->retry_usec / USEC_PER_MSEC));
}

static bool allotment_take(struct request *request)
{
	const struct organisation *organisation = request->organisation;
	const struct forward_parts *parts = &request->forward->parts;
	const struct caller_request *caller = &request->caller;
	struct limit_refusal refusal;
	struct limit_request limit_request = {
		.account = organisation->id,
		.allotment = organisation->allotment,
		.units = organisation_units(organisation,
					    (uint64_t)caller->prompt_tokens +
						    caller->output_max),
		.sharers = parts->instances(parts->callbacks_ctx),
	};

	if (limit_request.allotment.rate <= 0.0)
		return true;
	if (limit_take(parts->limits, request->arrived, &limit_request,
		       &refusal)) {
		request->units = limit_request.units;
		parts->allotment_used(parts->callbacks_ctx);
		return true;
	}
	organisation_counter(request->forward, organisation->name)->value++;
	refused_log(request, &limit_request, &refusal);
	request_refuse(request,
		       refusal.retry_usec > 0 ? RESULT_OVER_ALLOTMENT
					      : RESULT_ALLOTMENT_SMALL,
		       refusal.retry_usec);
	return false;
}

bool request_admit(struct request *request)
{
	if (!request->catalog->organisations)
		return true;
	if (!key_check(request))
		return false;
	return !request->organisation || allotment_take(request);
}

void request_refund(struct request *request)
{
	/* A computed prefill is charged even if no run followed. */
	if (request->units > 0.0 && request->runs == 0 &&
	    request->prefilled_at == 0)
		limit_return(request->forward->parts.limits,
			     request_now(request), request->organisation->id,
			     request->units);
	request->units = 0.0;
}

uint32_t request_urgency(const struct request *request)
{
	const struct organisation *organisation = request->organisation;

	if (organisation && organisation->has_priority)
		return organisation->priority;
	return request->route->priority;
}
