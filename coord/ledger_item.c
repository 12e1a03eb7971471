#include "ledger_parts.h"

#include <string.h>

#define RESEND_USEC (100 * USEC_PER_MSEC)
#define RESEND_MAX_USEC (2 * USEC_PER_SEC)
#define RESEND_SHIFT_MAX 5u
/* Queued requests are resent at this interval in case the home has lost them
 * undetected. */
#define QUEUED_RESEND_USEC (10 * USEC_PER_SEC)
/* Time past the deadline for the home's refusal to arrive. */
#define DEADLINE_SLACK_USEC (200 * USEC_PER_MSEC)

static void item_timer(struct timer *timer, void *ctx);

void item_remove(struct item *item)
{
	timer_stop(&item->timer);
	g_hash_table_steal(item->ledger->items, &item->request);
	g_free(item);
}

struct item *item_find(const struct ledger *ledger, uint64_t request)
{
	return g_hash_table_lookup(ledger->items, &request);
}

bool announce_is_complete(const struct cell *cell)
{
	return cell->home != 0 && cell->announce.missing == 0 &&
	       cell->announce.epoch > 0;
}

static int64_t backoff(const struct item *item)
{
	return MIN(RESEND_USEC << MIN(item->sends, RESEND_SHIFT_MAX),
		   RESEND_MAX_USEC);
}

static int64_t time_to_deadline(const struct item *item)
{
	int64_t now = clock_now(item->ledger->clock);

	if (item->need.deadline == CLOCK_NEVER)
		return CLOCK_NEVER;
	return MAX(item->need.deadline + DEADLINE_SLACK_USEC - now, 0);
}

void release_send(struct ledger *ledger, uint64_t cell, uint64_t to,
		  const struct item *item)
{
	bool keyed = item->key != 0 && item->home_changed;
	msgpack_packer *packer = message_begin(
		ledger, MESSAGE_RELEASE, item->incarnation, keyed ? 7 : 4);

	pack_u(packer, cell);
	pack_u(packer, item->request);
	pack_u(packer, item->attempt);
	pack_u(packer, item->reason);
	if (keyed) {
		pack_u(packer, item->key);
		pack_u(packer, item->fingerprint);
		pack_u(packer, item->service);
	}
	message_send(ledger, to);
}

static void progress_send(const struct item *item)
{
	struct ledger *ledger = item->ledger;
	msgpack_packer *packer =
		message_begin(ledger, MESSAGE_PROGRESS, item->incarnation, 4);

	pack_u(packer, item->cell->id);
	pack_u(packer, item->request);
	pack_u(packer, item->attempt);
	pack_text(packer, item->stream);
	message_send(ledger, item->cell->home);
}

static void item_send_message(struct item *item)
{
	struct cell *cell = item->cell;

	switch (item->state) {
	case ITEM_SUBMITTED:
	case ITEM_QUEUED:
		submission_send(item->ledger, cell->home, cell->announce.epoch,
				item);
		return;
	case ITEM_ENDING:
		release_send(item->ledger, cell->id, cell->home, item);
		return;
	case ITEM_GRANTED:
		if (item->progress_due)
			progress_send(item);
		return;
	default:
		return;
	}
}

void item_send(struct item *item)
{
	bool is_waiting =
		item->state == ITEM_SUBMITTED || item->state == ITEM_QUEUED;
	int64_t delay =
		item->state == ITEM_QUEUED ? QUEUED_RESEND_USEC : backoff(item);

	if (announce_is_complete(item->cell)) {
		item_send_message(item);
		item->sends++;
	}
	if (is_waiting)
		delay = MIN(delay, time_to_deadline(item));
	if (item->state == ITEM_GRANTED && !item->progress_due)
		timer_stop(&item->timer);
	else
		timer_start(&item->timer, delay);
}

void item_refused(struct item *item, enum result_code code, int64_t retry_after)
{
	struct ledger *ledger = item->ledger;
	struct ledger_refusal refusal = {.request = item->request,
					 .code = code,
					 .retry_after = retry_after};

	item_remove(item);
	ledger->ops.refused(ledger->ctx, &refusal);
}

void item_granted(struct item *item)
{
	struct ledger *ledger = item->ledger;
	struct ledger_grant grant = item->grant;

	ledger->ops.granted(ledger->ctx, &grant);
}

static void item_grant_local(struct item *item)
{
	item->state = ITEM_LOCAL;
	item->grant.request = item->request;
	item->grant.attempt = item->attempt;
	item_granted(item);
}

static void item_end(struct item *item, uint32_t reason)
{
	item->state = ITEM_ENDING;
	item->reason = reason;
	item->sends = 0;
	item_send(item);
}

/* No grant arrived before the deadline, so the request was not run. */
static void item_deadline_passed(struct item *item)
{
	struct ledger *ledger = item->ledger;
	struct ledger_refusal refusal = {.request = item->request,
					 .code = RESULT_DEADLINE,
					 .retry_after = USEC_PER_SEC};

	item_end(item, RELEASE_WITHDRAWN);
	ledger->ops.refused(ledger->ctx, &refusal);
}

static void item_timer(struct timer *timer, void *ctx)
{
	struct item *item = ctx;

	switch (item->state) {
	case ITEM_REFUSED:
		item_refused(item, item->refusal, USEC_PER_SEC);
		return;
	case ITEM_LOCAL:
		item_grant_local(item);
		return;
	case ITEM_DUPLICATE:
		item_remove(item);
		return;
	case ITEM_SUBMITTED:
	case ITEM_QUEUED:
		if (time_to_deadline(item) == 0)
			item_deadline_passed(item);
		else
			item_send(item);
		return;
	default:
		item_send(item);
	}
}

static struct item *item_create(struct ledger *ledger,
				const struct ledger_request *request)
{
	struct item *item = g_new0(struct item, 1);

	item->ledger = ledger;
	item->request = request->request;
	item->incarnation = ledger->incarnation;
	item->key = request->key;
	item->fingerprint = request->fingerprint;
	item->idempotent = request->idempotent;
	item->no_redirect = request->no_redirect;
	item->need = request->need;
	item->need.block_count = MIN(item->need.block_count, PREFIX_BLOCKS_MAX);
	item->need.attempt = 0;
	item->state = ITEM_SUBMITTED;
	timer_init(&item->timer, ledger->clock, item_timer, item);
	g_hash_table_insert(ledger->items, &item->request, item);
	return item;
}

static void item_refuse_later(struct item *item, enum result_code code)
{
	item->state = ITEM_REFUSED;
	item->refusal = code;
	timer_start(&item->timer, 0);
}

void ledger_submit(struct ledger *ledger, const struct ledger_request *request)
{
	const struct service *service;
	struct item *item;

	if (item_find(ledger, request->request) != NULL) {
		log_event(LOG_ERR, "ledger_request_known",
			  LOG_X("request", request->request));
		return;
	}
	item = item_create(ledger, request);
	if (ledger->config == NULL || request->service == NULL) {
		item_refuse_later(item, RESULT_NO_CONFIG);
		return;
	}
	item->service = (uint32_t)id_of(request->service);
	service = service_find(ledger, item->service);
	if (service == NULL) {
		item_refuse_later(item, RESULT_NOT_FOUND);
		return;
	}
	item->cell = service->cell;
	if (!service->plain || item->key != 0) {
		item_send(item);
		return;
	}
	item->state = ITEM_LOCAL;
	timer_start(&item->timer, 0);
}

void ledger_withdraw(struct ledger *ledger, uint64_t request)
{
	struct item *item = item_find(ledger, request);

	if (item == NULL)
		return;
	switch (item->state) {
	case ITEM_SUBMITTED:
	case ITEM_QUEUED:
		item_end(item, RELEASE_WITHDRAWN);
		return;
	case ITEM_GRANTED:
		item_end(item, RELEASE_FAILED);
		return;
	case ITEM_ENDING:
		return;
	default:
		item_remove(item);
	}
}

void ledger_progress(struct ledger *ledger, uint64_t request,
		     enum ledger_stage stage, const char *stream)
{
	struct item *item = item_find(ledger, request);

	if (item == NULL || item->state != ITEM_GRANTED)
		return;
	item->stage = stage;
	if (stream == NULL || stream[0] == '\0' || item->stream[0] != '\0')
		return;
	g_strlcpy(item->stream, stream, sizeof(item->stream));
	if (item->key == 0)
		return;
	item->progress_due = true;
	item->sends = 0;
	item_send(item);
}

void ledger_release(struct ledger *ledger, uint64_t request,
		    enum release_reason reason)
{
	struct item *item = item_find(ledger, request);

	if (item == NULL)
		return;
	if (item->state == ITEM_GRANTED)
		item_end(item, reason);
	else if (item->state != ITEM_ENDING)
		ledger_withdraw(ledger, request);
}

/* Whether the failed attempt certainly holds no decode memory. */
static bool attempt_holds_nothing(const struct item *item, enum result_code why)
{
	if (item->stage < STAGE_TRANSFER && item->stream[0] == '\0')
		return true;
	return why == RESULT_BACKEND_REFUSED && item->stream[0] == '\0';
}

void ledger_retry(struct ledger *ledger, uint64_t request, enum result_code why,
		  uint32_t tokens_so_far)
{
	struct item *item = item_find(ledger, request);
	uint32_t generated;

	if (item != NULL && item->state == ITEM_LOCAL) {
		item->attempt++;
		timer_start(&item->timer, 0);
		return;
	}
	if (item == NULL || item->state != ITEM_GRANTED)
		return;
	generated = MIN(tokens_so_far, item->need.output_tokens_max);
	item->previous_freed = attempt_holds_nothing(item, why);
	item->need.prompt_tokens += generated;
	item->need.output_tokens_max -= generated;
	item->attempt++;
	item->need.attempt = item->attempt;
	item->state = ITEM_SUBMITTED;
	item->adopt = false;
	item->stage = STAGE_GRANTED;
	item->stream[0] = '\0';
	item->progress_due = false;
	item->sends = 0;
	item_send(item);
}

void ledger_adopt(struct ledger *ledger, uint64_t request)
{
	struct item *item = item_find(ledger, request);

	if (item == NULL || item->state != ITEM_DUPLICATE)
		return;
	item->state = ITEM_SUBMITTED;
	item->adopt = true;
	item->sends = 0;
	item_send(item);
}

void item_queued(struct item *item, uint32_t attempt)
{
	if (item->state != ITEM_SUBMITTED || (item->attempt & 63u) != attempt)
		return;
	item->state = ITEM_QUEUED;
	item->sends = 0;
	timer_start(&item->timer,
		    MIN(QUEUED_RESEND_USEC, time_to_deadline(item)));
}
