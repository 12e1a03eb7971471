#include "request.h"

#include <math.h>

#include "common/log.h"

/* Requests under way at once: what fits the memory of a small instance at
 * some 10 KiB each. */
#define REQUESTS_MAX 4096u
/* Demand is averaged over this time: longer than the swing of ordinary load
 * within seconds, shorter than a change of role pays off in. */
#define DEMAND_USEC (8 * USEC_PER_SEC)
/* What came in the first second counts as a second's. */
#define DEMAND_AGE_LEAST 0.125

/* From placing to the first event, until it was measured. */
#define BEGIN_USEC (250.0 * (double)USEC_PER_MSEC)

/* With fewer samples a rate is not known. */
#define RATE_SAMPLES 5u

/* What is asked of a service of engines, and what they were seen to do. */
struct demand {
	uint64_t service;
	double tokens; /* decayed to at */
	int64_t at;
	struct engine_rates rates;
};

static void on_pump(struct timer *timer, void *ctx)
{
	stream_pump(ctx);
}

static void counters_setup(struct forward *forward)
{
	struct counter_set *set = forward->parts.counters;

	for (int i = 0; i < END_COUNT; i++) {
		g_autofree char *labels =
			g_strdup_printf("outcome=\"%s\"", request_end_name(i));

		forward->ended[i] =
			counter_get(set, "jt_requests_total",
				    "Requests by their end", labels);
	}
	forward->servers_ended =
		counter_get(set, "jt_server_ends_total",
			    "Requests under which a server ended", NULL);
	forward->quarantined = counter_get(
		set, "jt_quarantined_requests_total",
		"Requests refused since servers ended under them", NULL);
	forward->permits_denied = counter_get(
		set, "jt_permits_denied_total",
		"Requests not sent to a server for its limit", NULL);
	forward->unknown_keys =
		counter_get(set, "jt_unknown_keys_total",
			    "Requests denied for want of a known key", NULL);
	forward->whole_time = histogram_get(set, "jt_request_seconds",
					    "Arrival to the end of the answer",
					    "stage=\"whole\"");
	forward->wait_time =
		histogram_get(set, "jt_request_seconds", "", "stage=\"wait\"");
	forward->prefill_time = histogram_get(set, "jt_request_seconds", "",
					      "stage=\"prefill\"");
	forward->first_time =
		histogram_get(set, "jt_request_seconds", "", "stage=\"first\"");
}

static void ended_open(struct forward *forward)
{
	const struct crash_detector_parts parts = {
		.clock = forward->parts.clock,
		.fleet = forward->parts.fleet,
		.backends = &forward->parts.backends,
		.fn = quarantine_server_crashed,
		.ctx = forward,
	};

	forward->crash_detector = crash_detector_create(&parts);
}

struct forward *forward_create(const struct forward_parts *parts)
{
	struct forward *forward = g_new0(struct forward, 1);

	forward->parts = *parts;
	forward->requests = table_create(sizeof(struct request), REQUESTS_MAX);
	forward->demand = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	forward->counted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	forward->begin_usec = BEGIN_USEC;
	forward->began = clock_now(parts->clock);
	timer_init(&forward->pump, parts->clock, on_pump, forward);
	counters_setup(forward);
	ended_open(forward);
	parts->backends.watch(parts->backends.ctx, permit_signals, forward);
	return forward;
}

void forward_destroy(struct forward *forward)
{
	struct request *request;
	uint32_t cursor = 0;
	uint64_t handle;

	if (!forward)
		return;
	while ((request = table_next(forward->requests, &cursor, &handle)))
		request_break(request, "the process stops");
	timer_stop(&forward->pump);
	forward->parts.backends.watch(forward->parts.backends.ctx, NULL, NULL);
	crash_detector_destroy(forward->crash_detector);
	table_destroy(forward->requests);
	g_hash_table_destroy(forward->demand);
	g_hash_table_destroy(forward->counted);
	catalog_unref(forward->catalog);
	g_free(forward);
}

bool forward_set_catalog(struct forward *forward, struct catalog *catalog)
{
	uint64_t old = forward->catalog ? forward->catalog->version : 0;

	if (forward->catalog && catalog->version <= old) {
		if (catalog->version < old)
			log_event(LOG_NOTICE, "catalog_older",
				  LOG_D("version", catalog->version),
				  LOG_D("in_force", old));
		return catalog->version == old;
	}
	catalog_unref(forward->catalog);
	forward->catalog = catalog_ref(catalog);
	log_event(LOG_NOTICE, "catalog_in_force",
		  LOG_D("version", catalog->version), LOG_D("before", old),
		  LOG_D("routes", catalog->routes->len),
		  LOG_D("organisations",
			catalog->organisations
				? organisations_count(catalog->organisations)
				: 0));
	return true;
}

const struct catalog *forward_catalog(const struct forward *forward)
{
	return forward->catalog;
}

void forward_drain(struct forward *forward)
{
	forward->draining = true;
}

uint32_t forward_pending(const struct forward *forward)
{
	return table_count(forward->requests);
}

uint32_t forward_waiting(const struct forward *forward)
{
	return forward->waiting.length;
}

static double demand_decayed(const struct demand *demand, int64_t now)
{
	return demand->tokens *
	       exp(-(double)(now - demand->at) / (double)DEMAND_USEC);
}

static struct demand *demand_get(struct forward *forward, uint64_t service)
{
	struct demand *demand = g_hash_table_lookup(forward->demand, &service);

	if (demand)
		return demand;
	demand = g_new0(struct demand, 1);
	demand->service = service;
	demand->at = clock_now(forward->parts.clock);
	median_init(&demand->rates.prefill, PREFILL_RATE_START);
	g_hash_table_insert(forward->demand, &demand->service, demand);
	return demand;
}

struct engine_rates *forward_rates(struct forward *forward, uint64_t service)
{
	return &demand_get(forward, service)->rates;
}

void demand_add(struct forward *forward, uint64_t service, uint32_t tokens)
{
	struct demand *demand = demand_get(forward, service);
	int64_t now = clock_now(forward->parts.clock);

	demand->tokens = demand_decayed(demand, now) + tokens;
	demand->at = now;
}

/* The time that the decayed sum stands for: less while the process is young. */
static double demand_sec(const struct forward *forward, int64_t now)
{
	double age = (double)(now - forward->began) / (double)DEMAND_USEC;

	return (1.0 - exp(-MAX(age, DEMAND_AGE_LEAST))) * (double)DEMAND_USEC /
	       (double)USEC_PER_SEC;
}

void forward_demand(const struct forward *forward, uint64_t service,
		    struct forward_demand *out)
{
	struct demand *demand = g_hash_table_lookup(forward->demand, &service);
	int64_t now = clock_now(forward->parts.clock);

	*out = (struct forward_demand){0};
	if (demand) {
		out->prompt_tokens_per_s =
			demand_decayed(demand, now) / demand_sec(forward, now);
		if (demand->rates.prefill.samples >= RATE_SAMPLES)
			out->prefill_rate = demand->rates.prefill.value;
	}
	for (GList *link = forward->waiting.head; link; link = link->next) {
		const struct request *request = link->data;

		if (request->service->id == service)
			out->waiting++;
	}
}
