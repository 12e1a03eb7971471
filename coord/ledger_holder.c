#include "ledger_parts.h"

#include <string.h>

#define RESEND_USEC (100 * USEC_PER_MSEC)
#define RESEND_MAX_USEC (2 * USEC_PER_SEC)
#define RESEND_SHIFT_MAX 5u
/* A queued ask is told again from time to time, should the home have lost it
 * in a way that nobody noticed. */
#define POLL_USEC (10 * USEC_PER_SEC)
/* How far past the deadline the home's own refusal is waited for. */
#define DEADLINE_SLACK_USEC (200 * USEC_PER_MSEC)

static void item_timer(struct timer *timer, void *ctx);

void item_remove(struct item *item)
{
	timer_stop(&item->timer);
	g_hash_table_steal(item->ledger->items, &item->request);
	g_free(item);
}

static struct item *item_find(const struct ledger *ledger, uint64_t request)
{
	return g_hash_table_lookup(ledger->items, &request);
}

static bool announced(const struct cell *cell)
{
	return cell->home != 0 && cell->announce.missing == 0 &&
	       cell->announce.epoch > 0;
}

static int64_t backoff(const struct item *item)
{
	return MIN(RESEND_USEC << MIN(item->tries, RESEND_SHIFT_MAX),
		   RESEND_MAX_USEC);
}

static int64_t until_deadline(const struct item *item)
{
	int64_t now = clock_now(item->ledger->clock);

	if (item->need.deadline == CLOCK_NEVER)
		return CLOCK_NEVER;
	return MAX(item->need.deadline + DEADLINE_SLACK_USEC - now, 0);
}

static void send_release(struct ledger *ledger, uint64_t cell, uint64_t to,
			 const struct item *item)
{
	bool keyed = item->key != 0 && item->moved;
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

static void send_progress(const struct item *item)
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

static void send_now(struct item *item)
{
	struct cell *cell = item->cell;

	switch (item->state) {
	case ITEM_ASKING:
	case ITEM_QUEUED:
		ask_send(item->ledger, cell->home, cell->announce.epoch, item);
		return;
	case ITEM_ENDING:
		send_release(item->ledger, cell->id, cell->home, item);
		return;
	case ITEM_GRANTED:
		if (item->progress_due)
			send_progress(item);
		return;
	default:
		return;
	}
}

void item_send(struct item *item)
{
	bool waits = item->state == ITEM_ASKING || item->state == ITEM_QUEUED;
	int64_t delay = item->state == ITEM_QUEUED ? POLL_USEC : backoff(item);

	if (announced(item->cell)) {
		send_now(item);
		item->tries++;
	}
	if (waits)
		delay = MIN(delay, until_deadline(item));
	if (item->state == ITEM_GRANTED && !item->progress_due)
		timer_stop(&item->timer);
	else
		timer_start(&item->timer, delay);
}

static void tell_refusal(struct item *item, enum result_code code,
			 int64_t retry_after)
{
	struct ledger *ledger = item->ledger;
	struct ledger_refusal refusal = {.request = item->request,
					 .code = code,
					 .retry_after = retry_after};

	item_remove(item);
	ledger->ops.refused(ledger->ctx, &refusal);
}

static void tell_granted(struct item *item)
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
	tell_granted(item);
}

static void item_end(struct item *item, uint32_t reason)
{
	item->state = ITEM_ENDING;
	item->reason = reason;
	item->tries = 0;
	item_send(item);
}

/* No home has answered in time: nothing was granted, so nothing was run. */
static void item_late(struct item *item)
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
		tell_refusal(item, item->refusal, USEC_PER_SEC);
		return;
	case ITEM_LOCAL:
		item_grant_local(item);
		return;
	case ITEM_DUPLICATE:
		item_remove(item);
		return;
	case ITEM_ASKING:
	case ITEM_QUEUED:
		if (until_deadline(item) == 0)
			item_late(item);
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
	item->need = request->need;
	item->need.block_count = MIN(item->need.block_count, PREFIX_BLOCKS_MAX);
	item->need.attempt = 0;
	item->state = ITEM_ASKING;
	timer_init(&item->timer, ledger->clock, item_timer, item);
	g_hash_table_insert(ledger->items, &item->request, item);
	return item;
}

static void item_refuse(struct item *item, enum result_code code)
{
	item->state = ITEM_REFUSED;
	item->refusal = code;
	timer_start(&item->timer, 0);
}

void ledger_ask(struct ledger *ledger, const struct ledger_request *request)
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
		item_refuse(item, RESULT_NO_CONFIG);
		return;
	}
	item->service = (uint32_t)id_of(request->service);
	service = service_find(ledger, item->service);
	if (service == NULL) {
		item_refuse(item, RESULT_NOT_FOUND);
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
	case ITEM_ASKING:
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
	item->tries = 0;
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

/* Whether the failed attempt surely holds no decode memory. */
static bool holds_nothing(const struct item *item, enum result_code why)
{
	if (item->stage < STAGE_TRANSFER && item->stream[0] == '\0')
		return true;
	return why == RESULT_BACKEND_REFUSED && item->stream[0] == '\0';
}

void ledger_again(struct ledger *ledger, uint64_t request, enum result_code why,
		  uint32_t tokens_so_far)
{
	struct item *item = item_find(ledger, request);
	uint32_t taken;

	if (item != NULL && item->state == ITEM_LOCAL) {
		item->attempt++;
		timer_start(&item->timer, 0);
		return;
	}
	if (item == NULL || item->state != ITEM_GRANTED)
		return;
	taken = MIN(tokens_so_far, item->need.output_tokens_max);
	item->former_free = holds_nothing(item, why);
	item->need.prompt_tokens += taken;
	item->need.output_tokens_max -= taken;
	item->attempt++;
	item->need.attempt = item->attempt;
	item->state = ITEM_ASKING;
	item->adopt = false;
	item->stage = STAGE_GRANTED;
	item->stream[0] = '\0';
	item->progress_due = false;
	item->tries = 0;
	item_send(item);
}

void ledger_adopt(struct ledger *ledger, uint64_t request)
{
	struct item *item = item_find(ledger, request);

	if (item == NULL || item->state != ITEM_DUPLICATE)
		return;
	item->state = ITEM_ASKING;
	item->adopt = true;
	item->tries = 0;
	item_send(item);
}

void holder_announced(struct cell *cell)
{
	struct ledger *ledger = cell->ledger;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct item *item = value;

		if (item->cell != cell)
			continue;
		if (item->state == ITEM_QUEUED)
			item->state = ITEM_ASKING;
		item->tries = 0;
		if (item->state == ITEM_ASKING || item->state == ITEM_ENDING ||
		    item->progress_due)
			item_send(item);
	}
}

/* What is not wanted any more, an ask that came late or a grant, ends at once.
 * Cell 0 stands for any. */
static void return_work(struct ledger *ledger, uint64_t cell, uint64_t from,
			uint64_t request, uint32_t attempt)
{
	struct item item = {.request = request,
			    .incarnation = ledger->incarnation,
			    .attempt = attempt,
			    .reason = RELEASE_NOT_RUN};

	send_release(ledger, cell, from, &item);
}

static void item_take(struct item *item, const struct ledger_grant *grant)
{
	struct ledger *ledger = item->ledger;

	item->state = ITEM_GRANTED;
	item->tries = 0;
	item->grant = *grant;
	item->attempt = grant->attempt;
	item->adopt = item->adopt && grant->prefill == 0 && grant->decode != 0;
	if (!item->adopt) {
		item->tag.owner.instance = ledger->self;
		item->tag.owner.incarnation = item->incarnation;
		item->tag.request = item->request;
	}
	item->tag.attempt = item->attempt;
	timer_stop(&item->timer);
	ack_add(ledger, item->cell->home, item->incarnation, ACK_GRANTED,
		item->request, item->attempt);
	tell_granted(item);
}

void holder_receive_grant(struct ledger *ledger, uint64_t from,
			  uint64_t incarnation, struct reader *reader)
{
	struct cell *cell = cell_find(ledger, read_u(reader));
	uint32_t epoch = (uint32_t)read_u(reader);
	struct ledger_grant grant = {.request = read_u(reader)};
	struct item *item;

	grant.attempt = (uint32_t)read_u(reader);
	grant.prefill = read_u(reader);
	grant.decode = read_u(reader);
	grant.pieces = (uint32_t)read_u(reader);
	if (reader->bad || cell == NULL || cell->home != from ||
	    incarnation != ledger->incarnation || !announced(cell) ||
	    cell->announce.epoch != epoch)
		return;
	item = item_find(ledger, grant.request);
	if (item == NULL) {
		return_work(ledger, cell->id, from, grant.request,
			    grant.attempt);
		return;
	}
	if (item->state == ITEM_GRANTED && item->attempt == grant.attempt)
		ack_add(ledger, from, incarnation, ACK_GRANTED, grant.request,
			grant.attempt);
	else if ((item->state == ITEM_ASKING || item->state == ITEM_QUEUED) &&
		 (item->attempt == grant.attempt || item->adopt))
		item_take(item, &grant);
}

static struct item *asking_item(struct ledger *ledger, uint64_t from,
				uint64_t incarnation, uint64_t request,
				uint32_t attempt)
{
	struct item *item = item_find(ledger, request);

	if (item == NULL || item->cell == NULL || item->cell->home != from ||
	    item->incarnation != incarnation || item->attempt != attempt)
		return NULL;
	if (item->state != ITEM_ASKING && item->state != ITEM_QUEUED)
		return NULL;
	return item;
}

void holder_receive_refuse(struct ledger *ledger, uint64_t from,
			   uint64_t incarnation, struct reader *reader)
{
	uint64_t request = read_u(reader);
	uint32_t attempt = (uint32_t)read_u(reader);
	enum result_code code = (enum result_code)read_u(reader);
	uint64_t retry_ms = read_u(reader);
	int64_t retry_after =
		(int64_t)MIN(retry_ms, G_MAXINT32) * USEC_PER_MSEC;
	struct item *item =
		asking_item(ledger, from, incarnation, request, attempt);

	if (!reader->bad && item != NULL)
		tell_refusal(item, code, retry_after);
}

void holder_receive_duplicate(struct ledger *ledger, uint64_t from,
			      uint64_t incarnation, struct reader *reader)
{
	struct ledger_duplicate duplicate = {.request = read_u(reader)};
	uint32_t attempt = (uint32_t)read_u(reader);
	struct item *item = asking_item(ledger, from, incarnation,
					duplicate.request, attempt);
	struct tag tag = {.attempt = 0};
	uint64_t state;

	state = read_u(reader);
	duplicate.state = (enum record_state)MIN(state, RECORD_FAILED);
	duplicate.owner = read_owner(reader);
	duplicate.owner_alive = read_u(reader) != 0;
	duplicate.owner_request = read_u(reader);
	duplicate.decode = read_u(reader);
	read_text(reader, duplicate.stream, sizeof(duplicate.stream));
	tag.owner = read_owner(reader);
	tag.request = read_u(reader);
	if (reader->bad || item == NULL)
		return;
	if (duplicate.state == RECORD_RUNNING && !duplicate.owner_alive) {
		item->state = ITEM_DUPLICATE;
		item->tag = tag;
		timer_start(&item->timer, 2 * ledger->settings.orphan_grace);
	} else {
		item_remove(item);
	}
	ledger->ops.duplicate(ledger->ctx, &duplicate);
}

void holder_receive_revoke(struct ledger *ledger, uint64_t from,
			   uint64_t incarnation, struct reader *reader)
{
	uint64_t request = read_u(reader);
	uint32_t attempt = (uint32_t)read_u(reader);
	struct item *item = item_find(ledger, request);

	if (reader->bad || item == NULL || item->state != ITEM_GRANTED ||
	    item->cell->home != from || item->incarnation != incarnation ||
	    item->attempt != attempt || !announced(item->cell))
		return;
	item_remove(item);
	ledger->ops.revoked(ledger->ctx, request, attempt);
}

static void ack_queued(struct item *item, uint32_t attempt)
{
	if (item->state != ITEM_ASKING || (item->attempt & 63u) != attempt)
		return;
	item->state = ITEM_QUEUED;
	item->tries = 0;
	timer_start(&item->timer, MIN(POLL_USEC, until_deadline(item)));
}

void holder_ack(struct ledger *ledger, uint64_t from, uint64_t incarnation,
		enum ack_kind kind, uint64_t request, uint32_t attempt)
{
	struct item *item = item_find(ledger, request);

	if (item == NULL && kind == ACK_QUEUED &&
	    incarnation == ledger->incarnation)
		return_work(ledger, 0, from, request, attempt);
	if (item == NULL || item->incarnation != incarnation ||
	    item->cell == NULL || item->cell->home != from)
		return;
	if (kind == ACK_QUEUED)
		ack_queued(item, attempt);
	else if (kind == ACK_RELEASED && item->state == ITEM_ENDING &&
		 (item->attempt & 63u) == attempt)
		item_remove(item);
	else if (kind == ACK_PROGRESS && item->state == ITEM_GRANTED)
		item->progress_due = false;
}

void holder_relink(struct ledger *ledger)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct item *item = value;
		const struct service *service =
			service_find(ledger, item->service);

		if ((item->state != ITEM_ASKING &&
		     item->state != ITEM_QUEUED) ||
		    service == NULL || service->cell == item->cell)
			continue;
		item->cell = service->cell;
		item->state = ITEM_ASKING;
		item->tries = 0;
		item_send(item);
	}
}

/* Asks go on under the new incarnation, ends under the old. */
static bool item_reborn(struct item *item)
{
	switch (item->state) {
	case ITEM_ASKING:
	case ITEM_QUEUED:
		item->incarnation = item->ledger->incarnation;
		item->state = ITEM_ASKING;
		item->tries = 0;
		return false;
	case ITEM_GRANTED:
		return true;
	default:
		return false;
	}
}

void holder_reborn(struct ledger *ledger)
{
	GArray *lost = g_array_new(FALSE, FALSE, sizeof(struct tag));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct item *item = value;
		struct tag name = {.request = item->request,
				   .attempt = item->attempt};

		if (item_reborn(item))
			g_array_append_val(lost, name);
	}
	for (guint i = 0; i < lost->len; i++) {
		const struct tag *name = &g_array_index(lost, struct tag, i);
		struct item *item = item_find(ledger, name->request);

		if (item == NULL || item->state != ITEM_GRANTED)
			continue;
		item_remove(item);
		ledger->ops.revoked(ledger->ctx, name->request, name->attempt);
	}
	g_array_free(lost, TRUE);
}
