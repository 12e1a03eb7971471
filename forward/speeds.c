/*
 * speeds.c - what requests show of the speeds of servers
 */
#include "request.h"

/* Samples of a service after which its median is used. */
#define MEDIAN_SAMPLES 20u
/* The time of shorter streams depends more on connections than on the server.
 */
#define EVENTS_MIN 8u

void request_stated(const struct request *request,
		    const struct backend_head *head)
{
	if (head->mismatched || head->other_server || !head->load.known ||
	    head->load.pace <= 0.0)
		return;
	speeds_stated(request->forward->parts.speeds,
		      backend_key(&request->target), request_now(request),
		      head->load.pace);
}

static void seen_add(const struct request *request, double usec,
		     double usual_usec)
{
	speeds_seen(request->forward->parts.speeds,
		    backend_key(&request->target), request_now(request), usec,
		    usual_usec);
}

void prefill_measured(const struct request *request, int64_t usec)
{
	struct engine_rates *rates =
		forward_rates(request->forward, request->service->id);
	uint32_t tokens = request->caller.prompt_tokens;
	double work = (double)tokens + (double)request->tokens_ahead;

	if (engine_rates_measures(tokens) &&
	    rates->prefill.samples >= MEDIAN_SAMPLES)
		seen_add(request, (double)usec,
			 work / rates->prefill.value * (double)USEC_PER_SEC);
	engine_rates_add_prefill(rates, tokens, request->tokens_ahead, usec);
}

void stream_measured(const struct request *request)
{
	struct engine_rates *rates =
		forward_rates(request->forward, request->service->id);
	int64_t usec = request->last_at - request->first_at;
	double per_event;

	/* A resumed stream has run at several servers. */
	if (request->runs != 1 || request->cutter.events < EVENTS_MIN ||
	    usec <= 0)
		return;
	per_event = (double)usec / (double)(request->cutter.events - 1);
	if (rates->event.samples >= MEDIAN_SAMPLES)
		seen_add(request, per_event, rates->event.value);
	if (rates->event.samples == 0)
		median_init(&rates->event, per_event);
	median_add(&rates->event, per_event);
}
