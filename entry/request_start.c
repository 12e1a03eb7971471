/* Admission of a parsed request: limits, submission to the home, claim. */
#include <string.h>

#include "common/log.h"
#include "coord/limit.h"
#include "entry/request.h"

#define CLAIM_TIMEOUT_USEC (3 * USEC_PER_SEC)
#define RETRY_AFTER_USEC USEC_PER_SEC
/* Burst of a token bucket, in seconds of its rate: admits callers that start
 * together after a pause. */
#define RATE_BURST_SEC 2.0
#define RESUBMIT_DELAY_USEC (100 * USEC_PER_MSEC)
/* Longer than the detection of a dead instance takes. */
#define RESUBMIT_MAX_USEC (10 * USEC_PER_SEC)

static int64_t target_time(const struct request *request)
{
	uint32_t ms = request->service.targets[request->class].first_token_ms;

	return ms ? request->arrived + ms * USEC_PER_MSEC : CLOCK_NEVER;
}

static void request_submit(struct request *request)
{
	struct ledger_request submission = {
		.request = request->id,
		.service = request->service.name,
		.key = request->key,
		.fingerprint = request->fingerprint,
		.idempotent = request->idempotent,
		.no_redirect = request->forwarded,
		.need =
			{
				.id = request->id,
				.class = request->class,
				.arrived = request->arrived,
				.deadline = request->deadline,
				.first_token_by = target_time(request),
				.prompt_tokens = request->prompt_tokens,
				.output_tokens_max = request->output_tokens_max,
				.organisation = request->organisation,
				.block_count = request->block_count,
			},
	};

	memcpy(submission.need.blocks, request->blocks,
	       sizeof(submission.need.blocks));
	request->state = REQUEST_SUBMITTED;
	ledger_submit(request->entry->ledger, &submission);
}

void request_submit_later(struct request *request)
{
	int64_t now = clock_now(request->entry->clock);

	if (!request->resubmit_since)
		request->resubmit_since = now;
	if (now - request->resubmit_since >= RESUBMIT_MAX_USEC) {
		request_fail(request,
			     request->idempotent ? RESULT_PEER_GONE
						 : RESULT_ALREADY_CLAIMED,
			     USEC_PER_SEC,
			     "the answer to this key cannot be fetched");
		return;
	}
	request->state = REQUEST_PAUSED;
	timer_start(&request->timer, RESUBMIT_DELAY_USEC);
}

static uint32_t instances_alive(const struct entry *entry)
{
	const struct member *member;
	uint32_t cursor = 0;
	uint32_t count = 0;

	while ((member = membership_next(entry->membership, &cursor)))
		if (member->state == MEMBER_ALIVE ||
		    member->state == MEMBER_SUSPECT)
			count++;
	return count;
}

static bool rate_allows(const struct request *request, uint64_t account,
			double rate, uint32_t sharers, int64_t *retry_after)
{
	struct limit_refusal refusal;
	const struct limit_request limit = {
		.account = account,
		.allotment = {rate, MAX(rate * RATE_BURST_SEC, 1.0)},
		.units = 1.0,
		.sharers = sharers,
	};

	if (limit_take(request->entry->requests->limits,
		       clock_now(request->entry->clock), &limit, &refusal))
		return true;
	*retry_after = refusal.retry_usec;
	return false;
}

/* Takes from the token buckets of the organisation and of the service. */
static bool request_allowed(const struct request *request, int64_t *retry_after)
{
	const struct config_service *service = &request->service;
	uint64_t all = id_of(service->name);
	uint32_t sharers;

	if (!service->organisation_requests_per_s && !service->requests_per_s)
		return true;
	sharers = instances_alive(request->entry);
	return rate_allows(request, id_mix(all, request->organisation),
			   service->organisation_requests_per_s, sharers,
			   retry_after) &&
	       rate_allows(request, all, service->requests_per_s, sharers,
			   retry_after);
}

void request_start(struct request *request)
{
	struct entry *entry = request->entry;
	int64_t retry_after = 0;

	if (entry->requests->active > entry->settings.requests_max) {
		request_fail(request, RESULT_LIMITED, RETRY_AFTER_USEC,
			     "too many requests in flight at this instance");
		return;
	}
	if (request->key && request_join_local(request))
		return;
	if (!request_allowed(request, &retry_after)) {
		request_fail(request, RESULT_LIMITED, retry_after,
			     "over the rate allowed to the organisation or the "
			     "service");
		return;
	}
	requests_count_request(request);
	if (request->service.kind == SERVICE_PLAIN && !request->key) {
		plain_run(request);
		return;
	}
	if (request_spill(request, false))
		return;
	request_submit(request);
}

void request_claim(struct request *request)
{
	request->state = REQUEST_CLAIMING;
	claims_submit(request->entry->claims, request->id, request->key,
		      CLAIM_TIMEOUT_USEC);
}

/* Plain services claim later, when the request holds a slot at a server. */
void request_granted(struct request *request)
{
	request_register_key(request);
	if (request->service.kind == SERVICE_PLAIN) {
		plain_run(request);
		return;
	}
	if (request->idempotent || !request->key || request->claimed) {
		model_run(request);
		return;
	}
	request_claim(request);
}

static void claim_won(struct request *request)
{
	request->claimed = true;
	if (request->service.kind == SERVICE_PLAIN)
		plain_call(request);
	else
		model_run(request);
}

/* Another instance holds the claim: fetches its answer if it is alive. */
static void claim_lost(struct request *request, const struct owner *winner)
{
	const struct membership *members = request->entry->membership;
	const struct member *peer =
		winner ? membership_find(members, winner->instance) : NULL;

	plain_drop(request);
	if (!peer || peer == membership_self(members) ||
	    peer->state == MEMBER_DEAD ||
	    peer->incarnation != winner->incarnation) {
		request_fail(request, RESULT_ALREADY_CLAIMED, 0,
			     "a request with this key was claimed before");
		return;
	}
	request_release(request, RELEASE_NOT_RUN);
	request->claim_lost = true;
	request_join_peer(request, peer);
}

void request_claimed(struct request *request, enum result_code code,
		     const struct owner *winner)
{
	if (request->state == REQUEST_CANCELLING) {
		request_release(request, RELEASE_NOT_RUN);
		request_destroy(request);
		return;
	}
	if (request->state != REQUEST_CLAIMING)
		return;
	if (code == RESULT_OK) {
		claim_won(request);
		return;
	}
	if (code == RESULT_ALREADY_CLAIMED) {
		claim_lost(request, winner);
		return;
	}
	request_fail(request, code, RETRY_AFTER_USEC,
		     "the claim could not be decided; nothing was run");
}

void request_timer(struct timer *timer, void *ctx)
{
	struct request *request = ctx;

	switch (request->state) {
	case REQUEST_KEPT:
		request_destroy(request);
		return;
	case REQUEST_PAUSED:
		if (request->granted)
			model_reassign(request);
		else
			request_submit(request);
		return;
	case REQUEST_CALLING:
		plain_timer(request);
		return;
	default:
		model_timer(request);
	}
}
