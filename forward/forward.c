#include "request.h"

#include <math.h>

#include "common/log.h"

/* Concurrent requests: at about 10 KiB each they fit the memory of a small
 * instance. */
#define REQUESTS_MAX 4096u
/* Averaging time of demand: longer than ordinary load swings of a few seconds,
 * shorter than the time in which a role change pays off. */
#define DEMAND_USEC (8 * USEC_PER_SEC)
/* Lower bound of the process's age in the computation of demand, as a fraction
 * of DEMAND_USEC (1 s). A process younger than that is taken to be one second
 * old. */
#define DEMAND_AGE_MIN 0.125

/* Initial mean time from reservation to first event. */
#define FIRST_EVENT_USEC (250.0 * (double)USEC_PER_MSEC)

/* Demand for an engine service, and the measured rates of its engines. */
struct demand {
	uint64_t service;
	double tokens; /* decayed sum, as of updated_at */
	int64_t updated_at;
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

		forward->outcomes[i] =
			counter_get(set, "jt_requests_total",
				    "Requests by their end", labels);
	}
	forward->servers_crashed =
		counter_get(set, "jt_server_ends_total",
			    "Requests under which a server ended", NULL);
	forward->answers_unframed = counter_get(
		set, "jt_answers_unframed_total",
		"Answers of servers that ended with their connection", "");
	forward->answers_rejected = counter_get(
		set, "jt_answers_rejected_total",
		"Answers of servers given up since they exceeded a bound",
		NULL);
	forward->answer_bytes =
		gauge_get(set, "jt_answer_bytes",
			  "Memory of servers' answers in progress", NULL);
	forward->quarantined = counter_get(
		set, "jt_quarantined_requests_total",
		"Requests refused since servers ended under them", NULL);
	forward->permits_denied = counter_get(
		set, "jt_permits_denied_total",
		"Requests not sent to a server for its limit", NULL);
	forward->unknown_keys =
		counter_get(set, "jt_unknown_keys_total",
			    "Requests denied for want of a known key", NULL);
	forward->room_claims =
		counter_get(set, "jt_room_claims_total",
			    "Claims for decode memory, renewals and "
			    "withdrawals, sent to all instances",
			    NULL);
	forward->room_claims_unsent =
		counter_get(set, "jt_room_claims_unsent_total",
			    "Those not sent for the limit of their rate", NULL);
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

static bool relay_choose(void *ctx, const struct backend_info *to,
			 char relay[ADDRESS_TEXT_MAX])
{
	const struct forward *forward = ctx;
	const struct forward_parts *parts = &forward->parts;

	return parts->relay_choose(parts->callbacks_ctx, to, relay);
}

static void crash_detector_open(struct forward *forward)
{
	const struct crash_detector_parts parts = {
		.clock = forward->parts.clock,
		.fleet = forward->parts.fleet,
		.backends = &forward->parts.backends,
		.fn = quarantine_server_crashed,
		.relay_choose = relay_choose,
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
	forward->organisation_counters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	forward->first_event_usec = FIRST_EVENT_USEC;
	forward->started_at = clock_now(parts->clock);
	forward->room.request = HANDLE_NONE;
	timer_init(&forward->pump, parts->clock, on_pump, forward);
	counters_setup(forward);
	crash_detector_open(forward);
	forward->prober = prober_create(forward);
	forward->dispatched = dispatched_create(forward);
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
		request_abort(request, "process is stopping");
	timer_stop(&forward->pump);
	forward->parts.backends.watch(forward->parts.backends.ctx, NULL, NULL);
	prober_destroy(forward->prober);
	crash_detector_destroy(forward->crash_detector);
	table_destroy(forward->requests);
	dispatched_destroy(forward->dispatched);
	g_hash_table_destroy(forward->demand);
	g_hash_table_destroy(forward->organisation_counters);
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
	room_levels_update(forward);
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

uint32_t forward_pending(const struct forward *forward)
{
	return table_count(forward->requests);
}

uint32_t forward_waiting(const struct forward *forward)
{
	return forward->waiting.length;
}

bool forward_waiting_ranks(const struct forward *forward,
			   uint32_t counts[PRECEDENCE_RANKS])
{
	if (!room_ranked(forward))
		return false;
	for (uint32_t i = 0; i < PRECEDENCE_RANKS; i++)
		counts[i] = 0;
	for (GList *link = forward->waiting.head; link; link = link->next)
		counts[room_rank(link->data)]++;
	return true;
}

static double demand_decayed(const struct demand *demand, int64_t now)
{
	return demand->tokens *
	       exp(-(double)(now - demand->updated_at) / (double)DEMAND_USEC);
}

static struct demand *demand_get(struct forward *forward, uint64_t service)
{
	struct demand *demand = g_hash_table_lookup(forward->demand, &service);

	if (demand)
		return demand;
	demand = g_new0(struct demand, 1);
	demand->service = service;
	demand->updated_at = clock_now(forward->parts.clock);
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
	demand->updated_at = now;
}

/* Time that the decayed sum covers, in seconds. It is shorter than DEMAND_USEC
 * soon after the start. */
static double demand_sec(const struct forward *forward, int64_t now)
{
	double age = (double)(now - forward->started_at) / (double)DEMAND_USEC;

	return (1.0 - exp(-MAX(age, DEMAND_AGE_MIN))) * (double)DEMAND_USEC /
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
		if (demand->rates.prefill.samples >= RATES_SAMPLES_MIN)
			out->prefill_rate = demand->rates.prefill.value;
	}
	for (GList *link = forward->waiting.head; link; link = link->next) {
		const struct request *request = link->data;

		if (request->service->id == service)
			out->waiting++;
	}
}
