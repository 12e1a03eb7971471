/*
 * room.c - claims of decode memory for the first waiting stream, in a load
 * where urgent and deferrable streams compete (sched/precedence.h)
 */
#include "common/id.h"
#include "common/log.h"
#include "request.h"

bool room_ranked(const struct forward *forward)
{
	return forward->catalog && forward->catalog->ranked;
}

struct levels_of {
	struct precedence_levels *levels;
	const struct catalog_route *route;
};

static void organisation_level_add(void *ctx,
				   const struct organisation *organisation)
{
	const struct levels_of *of = ctx;

	if (!organisation->has_priority)
		return;
	of->levels->by_pair = true;
	precedence_level_add(of->levels, organisation->priority,
			     of->route->priority);
}

void room_levels_update(struct forward *forward)
{
	const struct catalog *catalog = forward->catalog;

	forward->levels = (struct precedence_levels){0};
	for (guint i = 0; i < catalog->routes->len; i++) {
		const struct catalog_route *route = catalog->routes->pdata[i];
		struct levels_of of = {&forward->levels, route};

		if (route->kind != ROUTE_STREAM)
			continue;
		precedence_level_add(&forward->levels, route->priority,
				     route->priority);
		if (catalog->organisations)
			organisations_each(catalog->organisations,
					   organisation_level_add, &of);
	}
}

uint32_t room_rank(const struct request *request)
{
	return precedence_rank(&request->forward->levels,
			       request_urgency(request),
			       request->route->priority);
}

/* NULL when requests are not ranked. */
static struct precedence *precedence_of(const struct request *request)
{
	return room_ranked(request->forward)
		       ? request->forward->parts.precedence
		       : NULL;
}

void room_place(const struct request *request, struct place *place)
{
	const struct overload_caller caller = stream_caller(request);

	place->precedence = precedence_of(request);
	if (!place->precedence)
		return;
	place->rank = room_rank(request);
	place->request = request->handle;
	place->due = overload_is_due(&caller, place->now,
				     request->forward->first_event_usec);
}

void room_seen(const struct request *request)
{
	struct precedence *precedence = precedence_of(request);

	if (precedence)
		precedence_seen(precedence, request_now(request),
				room_rank(request));
}

static void claim_send(struct request *request, uint64_t server, int64_t usec)
{
	struct forward *forward = request->forward;
	struct precedence *precedence = forward->parts.precedence;
	int64_t now = request_now(request);
	const struct room_claim claim = {
		.request = request->handle,
		.rank = forward->room.rank,
		.server = server,
		.tokens = stream_tokens(request),
		.usec = usec,
	};

	precedence_claim(precedence, now, &claim, PRECEDENCE_SELF);
	/* A withdrawal that is not sent is replaced by the claim's expiry. */
	if (!precedence_send(precedence, now)) {
		forward->room_claims_unsent->value++;
		return;
	}
	forward->room_claims->value++;
	forward->parts.room_claim(forward->parts.callbacks_ctx, &claim);
}

void room_withdraw(struct request *request)
{
	struct room *room = &request->forward->room;

	if (room->request != request->handle)
		return;
	for (uint32_t i = 0; i < room->count; i++)
		claim_send(request, room->servers[i], 0);
	log_event(LOG_INFO, "room_withdrawn",
		  LOG_S("request", request->caller.id),
		  LOG_D("rank", room->rank),
		  LOG_D("after_ms", (request_now(request) - request->arrived) /
					    USEC_PER_MSEC));
	*room = (struct room){.request = HANDLE_NONE};
}

/* The servers with the least load that the request may use: as every stream
 * frees its memory after about the same time, they are likely to have room for
 * it first. */
struct pick {
	struct backend *servers[PRECEDENCE_SERVERS_MAX];
	uint64_t loads[PRECEDENCE_SERVERS_MAX];
	uint32_t count;
	uint32_t most;
};

static void pick_offer(struct pick *pick, struct backend *backend,
		       uint64_t load)
{
	uint32_t at = pick->count;

	while (at > 0 && pick->loads[at - 1] > load)
		at--;
	if (at == pick->most)
		return;
	pick->count = MIN(pick->count + 1, pick->most);
	for (uint32_t i = pick->count - 1; i > at; i--) {
		pick->servers[i] = pick->servers[i - 1];
		pick->loads[i] = pick->loads[i - 1];
	}
	pick->servers[at] = backend;
	pick->loads[at] = load;
}

static uint64_t load_of(const struct request *request,
			const struct place *place,
			const struct backend *backend)
{
	const struct engine_traits *engine = &request->service->engine;
	uint64_t load = (uint64_t)backend_decode_tokens(backend) +
			precedence_contended(place->precedence, place->now,
					     backend->key, place->rank,
					     request->handle);

	/* A free slot is awaited for as long as a request's memory is. */
	if (engine->slots > 0 && backend_requests(backend) >= engine->slots)
		load = MAX(load, engine->memory_tokens);
	return load;
}

static void pick_servers(const struct request *request,
			 const struct place *place, struct pick *pick)
{
	const GPtrArray *list = fleet_service(place->fleet, place->service);

	*pick = (struct pick){.most = precedence_servers(
				      stream_tokens(request),
				      request->service->engine.memory_tokens)};
	for (guint i = 0; list && i < list->len; i++) {
		struct backend *backend = list->pdata[i];

		if (backend->info.stage == STAGE_DECODE &&
		    place_allows(place, backend))
			pick_offer(pick, backend,
				   load_of(request, place, backend));
	}
}

static bool pick_has(const struct pick *pick, uint64_t server)
{
	for (uint32_t i = 0; i < pick->count; i++)
		if (pick->servers[i]->key == server)
			return true;
	return false;
}

static void claims_log(const struct request *request, const struct pick *pick)
{
	log_event(LOG_INFO, "room_claimed",
		  LOG_S("request", request->caller.id),
		  LOG_D("rank", request->forward->room.rank),
		  LOG_D("tokens", stream_tokens(request)),
		  LOG_S("backend", pick->servers[0]->info.id),
		  LOG_D("servers", pick->count),
		  LOG_D("after_ms", (request_now(request) - request->arrived) /
					    USEC_PER_MSEC));
}

static void claims_replace(struct request *request, const struct pick *pick)
{
	struct room *room = &request->forward->room;
	bool renews = room->request == request->handle;

	for (uint32_t i = 0; i < room->count; i++)
		if (!pick_has(pick, room->servers[i]))
			claim_send(request, room->servers[i], 0);
	room->request = request->handle;
	room->count = pick->count;
	room->sent_at = request_now(request);
	for (uint32_t i = 0; i < pick->count; i++) {
		room->servers[i] = pick->servers[i]->key;
		claim_send(request, room->servers[i], PRECEDENCE_CLAIM_USEC);
	}
	if (!renews && pick->count > 0)
		claims_log(request, pick);
}

/* Whether a server has room for the request, so that it waits for another
 * reason: the prefill queue. Claimed memory would be idle then. */
static bool has_room(const struct request *request, const struct place *place)
{
	return place_decode(place, &request->service->engine,
			    stream_tokens(request)) != NULL;
}

void room_claim(struct request *request)
{
	struct forward *forward = request->forward;
	struct precedence *precedence = precedence_of(request);
	int64_t now = request_now(request);
	struct room *room = &forward->room;
	struct request *other;
	struct place place;
	struct pick pick;

	if (!precedence || !forward->parts.room_claim ||
	    (room->request == request->handle &&
	     now - room->sent_at < PRECEDENCE_RENEW_USEC))
		return;
	request_place(request, &place);
	place.tried = NULL;
	room_place(request, &place);
	other = table_get(forward->requests, room->request);
	if (other && other != request)
		room_withdraw(other);
	if (!precedence_useful(precedence, now, place.rank) ||
	    has_room(request, &place))
		return;
	room->rank = place.rank;
	pick_servers(request, &place, &pick);
	claims_replace(request, &pick);
}
