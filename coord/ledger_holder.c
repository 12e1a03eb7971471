#include "ledger_parts.h"

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
			item->state = ITEM_SUBMITTED;
		item->sends = 0;
		if (item->state == ITEM_SUBMITTED ||
		    item->state == ITEM_ENDING || item->progress_due)
			item_send(item);
	}
}

/* Tells the home to drop a queued request or a grant that this instance no
 * longer has. Cell 0 stands for the cell that knows the request. */
static void release_unknown(struct ledger *ledger, uint64_t cell, uint64_t from,
			    uint64_t request, uint32_t attempt)
{
	struct item item = {.request = request,
			    .incarnation = ledger->incarnation,
			    .attempt = attempt,
			    .reason = RELEASE_NOT_RUN};

	release_send(ledger, cell, from, &item);
}

static void item_apply_grant(struct item *item,
			     const struct ledger_grant *grant)
{
	struct ledger *ledger = item->ledger;

	item->state = ITEM_GRANTED;
	item->sends = 0;
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
	item_granted(item);
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
	    incarnation != ledger->incarnation || !announce_is_complete(cell) ||
	    cell->announce.epoch != epoch)
		return;
	item = item_find(ledger, grant.request);
	if (item == NULL) {
		release_unknown(ledger, cell->id, from, grant.request,
				grant.attempt);
		return;
	}
	if (item->state == ITEM_GRANTED && item->attempt == grant.attempt)
		ack_add(ledger, from, incarnation, ACK_GRANTED, grant.request,
			grant.attempt);
	else if ((item->state == ITEM_SUBMITTED ||
		  item->state == ITEM_QUEUED) &&
		 (item->attempt == grant.attempt || item->adopt))
		item_apply_grant(item, &grant);
}

static struct item *item_find_waiting(struct ledger *ledger, uint64_t from,
				      uint64_t incarnation, uint64_t request,
				      uint32_t attempt)
{
	struct item *item = item_find(ledger, request);

	if (item == NULL || item->cell == NULL || item->cell->home != from ||
	    item->incarnation != incarnation || item->attempt != attempt)
		return NULL;
	if (item->state != ITEM_SUBMITTED && item->state != ITEM_QUEUED)
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
		item_find_waiting(ledger, from, incarnation, request, attempt);

	if (!reader->bad && item != NULL)
		item_refused(item, code, retry_after);
}

void holder_receive_duplicate(struct ledger *ledger, uint64_t from,
			      uint64_t incarnation, struct reader *reader)
{
	struct ledger_duplicate duplicate = {.request = read_u(reader)};
	uint32_t attempt = (uint32_t)read_u(reader);
	struct item *item = item_find_waiting(ledger, from, incarnation,
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

void holder_receive_elsewhere(struct ledger *ledger, uint64_t from,
			      uint64_t incarnation, struct reader *reader)
{
	struct ledger_duplicate duplicate = {.request = read_u(reader),
					     .state = RECORD_ELSEWHERE};
	uint32_t attempt = (uint32_t)read_u(reader);
	struct item *item = item_find_waiting(ledger, from, incarnation,
					      duplicate.request, attempt);

	read_text(reader, duplicate.data_centre, sizeof(duplicate.data_centre));
	if (reader->bad || item == NULL)
		return;
	item_remove(item);
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
	    item->attempt != attempt)
		return;
	item_remove(item);
	ledger->ops.revoked(ledger->ctx, request, attempt);
}

void holder_ack(struct ledger *ledger, uint64_t from, uint64_t incarnation,
		enum ack_kind kind, uint64_t request, uint32_t attempt)
{
	struct item *item = item_find(ledger, request);

	if (item == NULL && kind == ACK_QUEUED &&
	    incarnation == ledger->incarnation)
		release_unknown(ledger, 0, from, request, attempt);
	if (item == NULL || item->incarnation != incarnation ||
	    item->cell == NULL || item->cell->home != from)
		return;
	if (kind == ACK_QUEUED)
		item_queued(item, attempt);
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

		if ((item->state != ITEM_SUBMITTED &&
		     item->state != ITEM_QUEUED) ||
		    service == NULL || service->cell == item->cell)
			continue;
		item->cell = service->cell;
		item->state = ITEM_SUBMITTED;
		item->sends = 0;
		item_send(item);
	}
}

/* Moves a waiting request to the new incarnation; a release is still sent under
 * the old one. Returns true if the request had a grant, which is now lost. */
static bool item_renew(struct item *item)
{
	switch (item->state) {
	case ITEM_SUBMITTED:
	case ITEM_QUEUED:
		item->incarnation = item->ledger->incarnation;
		item->state = ITEM_SUBMITTED;
		item->sends = 0;
		return false;
	case ITEM_GRANTED:
		return true;
	default:
		return false;
	}
}

void holder_reset(struct ledger *ledger)
{
	GArray *revoked_tags = g_array_new(FALSE, FALSE, sizeof(struct tag));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct item *item = value;
		struct tag tag = {.request = item->request,
				  .attempt = item->attempt};

		if (item_renew(item))
			g_array_append_val(revoked_tags, tag);
	}
	for (guint i = 0; i < revoked_tags->len; i++) {
		const struct tag *tag =
			&g_array_index(revoked_tags, struct tag, i);
		struct item *item = item_find(ledger, tag->request);

		if (item == NULL || item->state != ITEM_GRANTED)
			continue;
		item_remove(item);
		ledger->ops.revoked(ledger->ctx, tag->request, tag->attempt);
	}
	g_array_free(revoked_tags, TRUE);
}
