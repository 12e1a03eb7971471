#include "forward/place.h"

#include <float.h>
#include <string.h>

#include "forward/overload.h"

/* Cost of a remote data centre for a plain call, as a fraction of a server's
 * slots: a round trip of 3 ms against calls of about 15 ms. */
#define PLAIN_REMOTE_COST 0.15
/* The same for decoding: a stream from a remote data centre is lost when the
 * two data centres are partitioned. */
#define DECODE_REMOTE_COST 0.15
/* The same for prefill: between data centres the transfer of the result takes
 * twice as long and costs twice as much, equal to half a prompt in the queue.
 */
#define PREFILL_REMOTE_TOKENS 1600.0
/* Cost of a path through another instance, as a fraction of a server's slots or
 * memory: two round trips more. */
#define RELAY_COST 0.15
#define PREFILL_RELAY_TOKENS 800.0
/* Cost of a local server of another group, whose load is known with a delay. */
#define GROUP_COST 0.05
/* A failure score of 1 costs as much as half of the capacity in use. */
#define FAILURE_COST 0.5
#define PREFILL_FAILURE_TOKENS 4000.0
/* A view of the load up to this age counts as current. */
#define FRESH_USEC (100 * USEC_PER_MSEC)
/* Random part of the cost, so that instances with the same view do not all
 * choose the same one of several equal servers. */
#define JITTER 0.02
/* Growth of the random part, as a multiple of JITTER, for each FRESH_USEC by
 * which the view is older than FRESH_USEC. It equals the load that arrives in
 * that time, about half a prompt at each prefill server. */
#define STALE_JITTER 5.0
#define PREFILL_JITTER_TOKENS 16000.0
/* For each STALE_REQUEST_USEC by which the view of an engine's load is older
 * than FRESH_USEC, the engine must have room for one more request. Under load,
 * instances with a newer view have taken the little room that an old view
 * shows. */
#define STALE_REQUEST_USEC (150 * USEC_PER_MSEC)
/* A decode server prefills at half the speed, between the decode steps of its
 * running requests. */
#define OWN_PREFILL_COST 2.0
/* A server with a rate limit is overloaded: others are preferred until they are
 * about half full. */
#define LIMITED_COST 0.5
#define PREFILL_LIMITED_TOKENS 4000.0
/* A service with more servers than SCAN_MAX is sampled: SAMPLE_GROUP servers of
 * this instance's group and SAMPLE_OTHERS others. */
#define SCAN_MAX 512u
#define SAMPLE_GROUP 48u
#define SAMPLE_OTHERS 16u
/* The cost of a server that cannot take the request. */
#define COST_UNUSABLE DBL_MAX

void tried_add(struct tried *tried, uint64_t key)
{
	if (tried->count < PLACE_TRIED_MAX)
		tried->keys[tried->count++] = key;
}

void tried_remove(struct tried *tried, uint64_t key)
{
	for (uint32_t i = 0; i < tried->count; i++)
		if (tried->keys[i] == key)
			tried->keys[i--] = tried->keys[--tried->count];
}

static bool tried_has(const struct tried *tried, uint64_t key)
{
	for (uint32_t i = 0; tried && i < tried->count; i++)
		if (tried->keys[i] == key)
			return true;
	return false;
}

static double limit_of(const struct place *place, const struct backend *backend)
{
	double limit = BACKPRESSURE_UNLIMITED;

	if (place->backpressure)
		limit = backpressure_limit(place->backpressure, backend->key);
	if (place->cold_limit <= 0.0 || !backend_cold(backend, place->now))
		return limit;
	return limit < 0.0 ? place->cold_limit : MIN(limit, place->cold_limit);
}

static bool is_limited(const struct place *place, const struct backend *backend)
{
	return limit_of(place, backend) >= 0.0;
}

bool barred_has(const struct barred *barred, uint64_t software)
{
	for (uint32_t i = 0; barred && i < barred->count; i++)
		if (barred->software[i] == software)
			return true;
	return false;
}

static bool software_allowed(const struct place *place,
			     const struct backend *backend)
{
	return (place->software == 0 ||
		backend->info.software == place->software ||
		backend->info.stage == STAGE_PREFILL) &&
	       !barred_has(place->barred, backend->info.software);
}

static enum place_bar backend_bar(const struct place *place,
				  const struct backend *backend)
{
	if (!backend_usable(backend, place->now))
		return PLACE_NOT_USABLE;
	if (!regions_allow(&place->regions, backend->region))
		return PLACE_REGION;
	if (!software_allowed(place, backend))
		return PLACE_SOFTWARE;
	if (place->now < backend->limited_until)
		return PLACE_NO_PERMIT;
	if (tried_has(place->tried, backend->key) ||
	    tried_has(place->unconnected, backend->key))
		return PLACE_TRIED;
	if (place->unlimited && is_limited(place, backend))
		return PLACE_LIMITED;
	return PLACE_ALLOWED;
}

bool place_allows(const struct place *place, const struct backend *backend)
{
	return backend_bar(place, backend) == PLACE_ALLOWED;
}

int64_t place_staleness(const struct place *place,
			const struct backend *backend)
{
	return backend->in_group ? place->stale_local : place->stale_remote;
}

/* Instances with the same view choose the same servers until they receive each
 * other's load, so the jitter grows with the age of the view. */
static double jitter(const struct place *place, const struct backend *backend)
{
	int64_t staleness = place_staleness(place, backend);
	double excess =
		(double)MAX(staleness - FRESH_USEC, 0) / (double)FRESH_USEC;

	return g_rand_double(place->rand) * JITTER *
	       (1.0 + excess * STALE_JITTER);
}

typedef double (*cost_fn)(const struct place *place,
			  const struct backend *backend, const void *arg);

/* The cheapest server so far. */
struct choice {
	const struct place *place;
	cost_fn cost_of;
	const void *arg;
	struct backend *best;
	double lowest_cost;
};

static void choice_offer(struct choice *choice, struct backend *backend)
{
	const struct place *place = choice->place;
	enum place_bar bar = backend_bar(place, backend);
	double cost = COST_UNUSABLE;

	if (place->visits)
		(*place->visits)++;
	if (bar == PLACE_ALLOWED)
		cost = choice->cost_of(place, backend, choice->arg);
	place_report_add(place->report,
			 &(struct place_candidate){backend, bar,
						   cost < COST_UNUSABLE, cost});
	if (cost >= choice->lowest_cost)
		return;
	choice->lowest_cost = cost;
	choice->best = backend;
}

static void choice_sample(struct choice *choice, const GPtrArray *list,
			  uint32_t count)
{
	GRand *rand = choice->place->rand;

	for (uint32_t i = 0; list->len > 0 && i < count; i++)
		choice_offer(choice, list->pdata[g_rand_int_range(
					     rand, 0, (gint32)list->len)]);
}

/* The allowed server of lowest cost; NULL when all cost COST_UNUSABLE. */
static struct backend *place_cheapest(const struct place *place,
				      enum backend_stage stage, cost_fn cost_of,
				      const void *arg)
{
	const GPtrArray *list = fleet_service(place->fleet, place->service);
	struct choice choice = {place, cost_of, arg, NULL, COST_UNUSABLE};
	bool sampled;

	place_report_begin(place->report, stage);
	if (list && list->len > SCAN_MAX) {
		choice_sample(
			&choice,
			fleet_stage(place->fleet, place->service, stage, true),
			SAMPLE_GROUP);
		choice_sample(
			&choice,
			fleet_stage(place->fleet, place->service, stage, false),
			SAMPLE_OTHERS);
	}
	sampled = choice.best != NULL;
	for (guint i = 0; !sampled && list && i < list->len; i++)
		choice_offer(&choice, list->pdata[i]);
	place_report_chosen(place->report, choice.best);
	return choice.best;
}

static double distance_cost(const struct backend *backend, double remote)
{
	if (backend->local)
		return backend->in_group ? 0.0 : GROUP_COST;
	return remote;
}

static bool is_relayed(const struct place *place, const struct backend *backend)
{
	return backend_path(backend, place->now) == PATH_RELAYED;
}

/* Time that streams and prompts take at the server, as a multiple of the usual
 * time. Load known and unknown (jitter) is multiplied by it, so that servers
 * are filled until each needs as long for its load and the request. */
static double time_factor(const struct place *place,
			  const struct backend *backend)
{
	return place->speeds
		       ? speeds_factor(place->speeds, backend->key, place->now)
		       : 1.0;
}

/* Load of the request itself. Where all servers are equally fast it changes no
 * choice, and is left out. */
static uint32_t own_load(const struct place *place, uint32_t load)
{
	return place->speeds ? load : 0;
}

static double plain_cost(const struct place *place,
			 const struct backend *backend, const void *arg)
{
	double slots = MAX(backend->info.slots, 1u);
	double factor = place->speeds ? speeds_now(place->speeds, backend->key,
						   place->now)
				      : 1.0;
	uint32_t requests = backend_requests(backend) + own_load(place, 1);

	return factor * (double)requests / slots +
	       distance_cost(backend, PLAIN_REMOTE_COST) +
	       (is_relayed(place, backend) ? RELAY_COST : 0.0) +
	       (is_limited(place, backend) ? LIMITED_COST : 0.0) +
	       FAILURE_COST * backend_failure_score(backend, place->now) +
	       factor * jitter(place, backend);
}

int64_t place_available_at(const struct place *place, enum backend_stage stage)
{
	const GPtrArray *list = fleet_service(place->fleet, place->service);
	int64_t first = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const struct backend *backend = list->pdata[i];
		int64_t available_at =
			backend_available_at(backend, place->now);

		if (available_at < 0 || backend->info.stage != stage ||
		    !software_allowed(place, backend) ||
		    !regions_allow(&place->regions, backend->region))
			continue;
		if (available_at == place->now)
			return 0;
		if (first == 0 || available_at < first)
			first = available_at;
	}
	return first;
}

bool place_has_server(const struct place *place, enum backend_stage stage)
{
	const GPtrArray *list = fleet_service(place->fleet, place->service);

	for (guint i = 0; list && i < list->len; i++) {
		const struct backend *backend = list->pdata[i];

		if (backend->info.stage == stage &&
		    !backend_withdrawn(backend) &&
		    !tried_has(place->tried, backend->key) &&
		    software_allowed(place, backend) &&
		    regions_allow(&place->regions, backend->region))
			return true;
	}
	return false;
}

struct backend *place_plain(const struct place *place)
{
	return place_cheapest(place, STAGE_NONE, plain_cost, NULL);
}

bool place_has_free_slot(const struct backend *backend)
{
	return backend_requests(backend) < MAX(backend->info.slots, 1u);
}

struct decode_request {
	const struct engine_traits *engine;
	uint32_t tokens;
};

/* Number of similar requests that other instances may have placed at the server
 * since its known load was reported. */
static double unseen_requests(const struct place *place,
			      const struct backend *backend)
{
	int64_t staleness = place_staleness(place, backend);

	return (double)MAX(staleness - FRESH_USEC, 0) /
	       (double)STALE_REQUEST_USEC;
}

/* Room that requests of higher precedence have claimed at the server. */
static struct precedence_room claimed_room(const struct place *place,
					   const struct backend *backend)
{
	if (!place->precedence)
		return (struct precedence_room){0, 0};
	return precedence_claimed(place->precedence, place->now, backend->key,
				  place->rank, place->due);
}

static bool decode_has_room(const struct place *place,
			    const struct backend *backend,
			    const struct decode_request *request)
{
	const struct engine_traits *engine = request->engine;
	double unseen = unseen_requests(place, backend);
	uint64_t needed = (uint64_t)(request->tokens * (1.0 + unseen));
	const struct precedence_room claimed = claimed_room(place, backend);
	uint32_t requests = backend_requests(backend) + claimed.requests;

	if (place->now < backend->full_until)
		return false;
	if (engine->slots > 0 && requests > 0 &&
	    requests + unseen >= engine->slots)
		return false;
	/* An apparently empty server may take any request that fits at all. */
	needed = MIN(needed, MAX(engine->memory_tokens, request->tokens));
	return (uint64_t)backend_decode_tokens(backend) + needed +
		       claimed.tokens <=
	       engine->memory_tokens;
}

/* Claimed memory counts as used where other servers have room: a small urgent
 * request would otherwise take the room that is kept for a large one. */
static uint32_t contended_tokens(const struct place *place,
				 const struct backend *backend)
{
	return place->precedence
		       ? precedence_contended(place->precedence, place->now,
					      backend->key, place->rank,
					      place->request)
		       : 0;
}

static double decode_cost(const struct place *place,
			  const struct backend *backend, const void *arg)
{
	const struct decode_request *request = arg;
	double factor;

	if (backend->info.stage != STAGE_DECODE ||
	    !decode_has_room(place, backend, request))
		return COST_UNUSABLE;
	factor = time_factor(place, backend);
	return factor *
		       (double)(backend_decode_tokens(backend) +
				backend_prefill_tokens(backend) +
				own_load(place, request->tokens) +
				contended_tokens(place, backend)) /
		       (double)MAX(request->engine->memory_tokens, 1) +
	       distance_cost(backend, DECODE_REMOTE_COST) +
	       (is_relayed(place, backend) ? RELAY_COST : 0.0) +
	       (is_limited(place, backend) ? LIMITED_COST : 0.0) +
	       FAILURE_COST * backend_failure_score(backend, place->now) +
	       factor * jitter(place, backend);
}

struct backend *place_decode(const struct place *place,
			     const struct engine_traits *engine,
			     uint32_t tokens)
{
	const struct decode_request request = {engine, tokens};

	return place_cheapest(place, STAGE_DECODE, decode_cost, &request);
}

struct prefill_request {
	const struct backend *decode;
	uint32_t tokens; /* of the prompt */
};

static double prefill_cost(const struct place *place,
			   const struct backend *backend, const void *arg)
{
	const struct prefill_request *request = arg;
	bool local = strcmp(backend->info.data_centre,
			    request->decode->info.data_centre) == 0;
	double factor;

	if (backend->info.stage != STAGE_PREFILL)
		return COST_UNUSABLE;
	factor = time_factor(place, backend);
	return factor * (double)(backend_prefill_tokens(backend) +
				 own_load(place, request->tokens)) +
	       (local ? 0.0 : PREFILL_REMOTE_TOKENS) +
	       (is_relayed(place, backend) ? PREFILL_RELAY_TOKENS : 0.0) +
	       (is_limited(place, backend) ? PREFILL_LIMITED_TOKENS : 0.0) +
	       PREFILL_FAILURE_TOKENS *
		       backend_failure_score(backend, place->now) +
	       PREFILL_JITTER_TOKENS * factor * jitter(place, backend);
}

static struct backend *prefill_choose(const struct place *place,
				      const struct backend *decode,
				      uint32_t tokens)
{
	const struct prefill_request request = {decode, tokens};

	return place_cheapest(place, STAGE_PREFILL, prefill_cost, &request);
}

struct backend *place_prefill(const struct place *place,
			      const struct backend *decode)
{
	return prefill_choose(place, decode, 0);
}

uint32_t place_prompt_ahead(const struct place *place,
			    const struct backend *prefill)
{
	return (uint32_t)((double)backend_prefill_tokens(prefill) *
			  time_factor(place, prefill));
}

struct backend *place_prompt(const struct place *place,
			     const struct backend *decode, uint32_t tokens,
			     uint32_t max_ahead)
{
	struct backend *prefill = prefill_choose(place, decode, tokens);
	uint32_t ahead = prefill ? place_prompt_ahead(place, prefill) : 0;
	double own = OWN_PREFILL_COST * time_factor(place, decode) *
		     ((double)backend_prefill_tokens(decode) + (double)tokens);

	if (ahead > max_ahead &&
	    own < (double)ahead + time_factor(place, prefill) * (double)tokens)
		return NULL;
	return prefill;
}

double place_decode_capacity(const struct place *place,
			     const struct engine_traits *engine,
			     uint32_t tokens)
{
	const GPtrArray *list = fleet_service(place->fleet, place->service);
	double each = (double)engine->memory_tokens / (double)MAX(tokens, 1u);
	double capacity = 0.0;

	for (guint i = 0; list && i < list->len; i++) {
		const struct backend *backend = list->pdata[i];

		if (backend->info.stage == STAGE_DECODE &&
		    software_allowed(place, backend) &&
		    regions_allow(&place->regions, backend->region) &&
		    backend_usable(backend, place->now))
			capacity += overload_concurrency(
				each / time_factor(place, backend),
				limit_of(place, backend));
	}
	return capacity;
}
