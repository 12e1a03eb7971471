#include "coord/claim.h"

#include <glib.h>

#include "claim_codec.h"
#include "claim_writer.h"
#include "common/log.h"

#define CLAIM_WRITERS 2u
/* A claim that its writer has not accepted within this time goes to the other
 * writer. */
#define ACCEPT_TIMEOUT_USEC (300 * USEC_PER_MSEC)
/* A writer that has accepted the claim is polled after this time. */
#define POLL_USEC (1 * USEC_PER_SEC)
/* Delay before the other writer is tried after one has declined the claim. */
#define DECLINED_DELAY_USEC (50 * USEC_PER_MSEC)
/* Writers give up this long before the timeout of the claim, so that their
 * reply arrives in time; at most a quarter of the timeout. */
#define REPLY_MARGIN_USEC (200 * USEC_PER_MSEC)
/* Writers whose state is kept for a claim. When more were tried, the last entry
 * is reused, and a claim with a request of unknown result stays undecided. */
#define SENT_MAX 4u

/* The last request sent to one writer. */
struct sent_request {
	uint64_t writer;
	uint64_t attempt;
	bool refused; /* it replied that it certainly appended nothing */
};

struct pending_claim {
	struct claims *claims;
	struct claim claim;
	uint64_t attempt;
	struct sent_request sent[SENT_MAX];
	uint32_t sent_count;
	bool unresolved; /* a request of unknown result was dropped from sent */
	bool accepted;	 /* the last writer has accepted the claim */
	uint32_t rank;	 /* rank of the next writer to send to */
	int64_t decide_by;
	struct timer poll;
	struct timer timeout;
};

struct claims {
	struct clock *clock;
	struct membership *membership;
	struct transport transport;
	claim_fn fn;
	void *ctx;
	struct owner self;
	struct claim_writer *writer;
	uint64_t writers[CLAIM_WRITERS];
	GHashTable *pending; /* request to struct pending_claim */
};

static void claims_send(struct claims *claims, uint64_t to,
			const struct claim_message *message)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	claim_message_encode(&buffer, message);
	claims->transport.send(claims->transport.ctx, to, CHANNEL_CLAIM,
			       buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

static void pending_free(void *data)
{
	struct pending_claim *pending = data;

	timer_stop(&pending->poll);
	timer_stop(&pending->timeout);
	g_free(pending);
}

static void pending_finish(struct pending_claim *pending, enum result_code code,
			   const struct owner *winner)
{
	struct claims *claims = pending->claims;
	uint64_t request = pending->claim.id.request;

	g_hash_table_remove(claims->pending, &request);
	claims->fn(claims->ctx, request, code, winner);
}

/* Ends the claim without a decision. Unless every writer refused it, it may
 * have been appended and its key may be spent. */
static void pending_give_up(struct pending_claim *pending)
{
	const struct owner nobody = {0};
	bool clean = !pending->unresolved;

	for (uint32_t i = 0; i < pending->sent_count; i++)
		clean = clean && pending->sent[i].refused;
	pending_finish(pending,
		       clean ? RESULT_LOG_DOWN : RESULT_CLAIM_UNDECIDED,
		       &nobody);
}

static struct sent_request *pending_find_sent(struct pending_claim *pending,
					      uint64_t writer)
{
	for (uint32_t i = 0; i < pending->sent_count; i++) {
		if (pending->sent[i].writer == writer)
			return &pending->sent[i];
	}
	return NULL;
}

static struct sent_request *pending_add_sent(struct pending_claim *pending,
					     uint64_t writer)
{
	struct sent_request *sent = pending_find_sent(pending, writer);

	if (sent)
		return sent;
	if (pending->sent_count < SENT_MAX)
		sent = &pending->sent[pending->sent_count++];
	else
		sent = &pending->sent[SENT_MAX - 1];
	pending->unresolved =
		pending->unresolved || (sent->writer && !sent->refused);
	sent->writer = writer;
	return sent;
}

/* Sends the claim to the next writer, unless no time is left to decide it. */
static void pending_send(struct pending_claim *pending)
{
	struct claims *claims = pending->claims;
	uint64_t writer = claims->writers[pending->rank % CLAIM_WRITERS];
	int64_t decide_usec = pending->decide_by - clock_now(claims->clock);
	struct sent_request *sent;

	if (!writer)
		writer = claims->writers[0];
	if (decide_usec <= 0)
		return;
	timer_start(&pending->poll, ACCEPT_TIMEOUT_USEC);
	pending->accepted = false;
	if (!writer)
		return;
	sent = pending_add_sent(pending, writer);
	sent->attempt = ++pending->attempt;
	sent->refused = false;
	claims_send(claims, writer,
		    &(struct claim_message){
			    .kind = CLAIM_MESSAGE_REQUEST,
			    .request = pending->claim.id.request,
			    .incarnation = pending->claim.id.owner.incarnation,
			    .attempt = sent->attempt,
			    .key = pending->claim.key,
			    .decide_usec = (uint64_t)decide_usec,
		    });
}

static void pending_poll(struct timer *timer, void *ctx)
{
	struct pending_claim *pending = ctx;

	if (!pending->accepted)
		pending->rank++;
	pending_send(pending);
}

static void pending_timed_out(struct timer *timer, void *ctx)
{
	pending_give_up(ctx);
}

/* A refusal is valid only in reply to the last request sent to the writer; a
 * decision is valid whenever it arrives. */
static void pending_receive_reply(struct pending_claim *pending, uint64_t from,
				  const struct claim_message *message)
{
	struct sent_request *sent = pending_find_sent(pending, from);
	bool current = sent && sent->attempt == message->attempt;

	switch (message->reply) {
	case CLAIM_REPLY_WON:
		pending_finish(pending, RESULT_OK, &message->winner);
		return;
	case CLAIM_REPLY_LOST:
		pending_finish(pending, RESULT_ALREADY_CLAIMED,
			       &message->winner);
		return;
	case CLAIM_REPLY_UNDECIDED:
		pending_give_up(pending);
		return;
	case CLAIM_REPLY_PENDING:
		if (!current || message->attempt != pending->attempt)
			return;
		pending->accepted = true;
		timer_start(&pending->poll, POLL_USEC);
		return;
	case CLAIM_REPLY_NOT_APPENDED:
		if (!current)
			return;
		sent->refused = true;
		pending_give_up(pending);
		return;
	case CLAIM_REPLY_DECLINED:
		if (!current)
			return;
		sent->refused = true;
		if (message->attempt == pending->attempt)
			timer_start(&pending->poll, DECLINED_DELAY_USEC);
		return;
	case CLAIM_REPLY_COUNT:
		return;
	}
}

static void receive_reply(struct claims *claims, uint64_t from,
			  const struct claim_message *message)
{
	struct pending_claim *pending =
		g_hash_table_lookup(claims->pending, &message->request);

	if (!pending ||
	    pending->claim.id.owner.incarnation != message->incarnation)
		return;
	pending_receive_reply(pending, from, message);
}

static void claims_reply(struct claims *claims, const struct claim_id *id,
			 uint64_t attempt, enum claim_reply_kind kind,
			 const struct owner *winner)
{
	claims_send(claims, id->owner.instance,
		    &(struct claim_message){
			    .kind = CLAIM_MESSAGE_REPLY,
			    .request = id->request,
			    .incarnation = id->owner.incarnation,
			    .attempt = attempt,
			    .reply = kind,
			    .winner = *winner,
		    });
}

static void claim_decided(void *ctx, const struct claim_id *id,
			  uint64_t attempt, enum claim_reply_kind kind,
			  const struct owner *winner)
{
	claims_reply(ctx, id, attempt, kind, winner);
}

static void receive_request(struct claims *claims, uint64_t from,
			    const struct claim_message *message)
{
	struct owner winner = {0};
	struct claim claim = {
		.key = message->key,
		.id = {.owner = {from, message->incarnation},
		       .request = message->request},
	};
	int64_t decide_usec = (int64_t)MIN(message->decide_usec,
					   (uint64_t)CLAIM_TIMEOUT_MAX_USEC);
	enum claim_reply_kind reply = claim_writer_submit(
		claims->writer, &claim, message->attempt, decide_usec, &winner);

	claims_reply(claims, &claim.id, message->attempt, reply, &winner);
}

struct claims *claims_create(struct clock *clock, struct membership *membership,
			     const struct log_store *store,
			     const struct transport *transport, claim_fn fn,
			     void *ctx)
{
	struct claims *claims = g_new0(struct claims, 1);
	const struct member *self = membership_self(membership);

	claims->clock = clock;
	claims->membership = membership;
	claims->transport = *transport;
	claims->fn = fn;
	claims->ctx = ctx;
	claims->self = (struct owner){self->id, self->incarnation};
	claims->writer =
		claim_writer_create(clock, &claims->self, store, CLAIM_KEYS_MAX,
				    claim_decided, claims);
	claims->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, pending_free);
	return claims;
}

void claims_destroy(struct claims *claims)
{
	if (!claims)
		return;
	g_hash_table_destroy(claims->pending);
	claim_writer_destroy(claims->writer);
	g_free(claims);
}

/* Returns whether the writers have changed. */
static bool claims_find_writers(struct claims *claims)
{
	const struct member *self = membership_self(claims->membership);
	uint64_t key = id_of(LOG_STREAM_CLAIMS);
	bool changed = false, own = false;

	for (uint32_t rank = 0; rank < CLAIM_WRITERS; rank++) {
		uint64_t writer = membership_home(claims->membership,
						  self->data_centre, key, rank);

		changed = changed || writer != claims->writers[rank];
		claims->writers[rank] = writer;
		own = own || writer == self->id;
	}
	if (changed)
		claim_writer_set_running(claims->writer, own);
	return changed;
}

void claims_start(struct claims *claims)
{
	claims_find_writers(claims);
}

void claims_receive(struct claims *claims, uint64_t from, const void *data,
		    size_t size)
{
	struct claim_message message;

	if (!claim_message_decode(&message, data, size)) {
		log_event(LOG_WARNING, "claim_message_malformed",
			  LOG_X("from", from));
		return;
	}
	if (message.kind == CLAIM_MESSAGE_REQUEST)
		receive_request(claims, from, &message);
	else
		receive_reply(claims, from, &message);
}

/* Sends the pending claims again when the writers have changed. */
void claims_member_changed(struct claims *claims, const struct member *member)
{
	GHashTableIter iter;
	void *value;

	if (!claims_find_writers(claims))
		return;
	g_hash_table_iter_init(&iter, claims->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending_claim *pending = value;

		pending->rank = 0;
		pending->accepted = true;
		timer_start(&pending->poll, 0);
	}
}

void claims_submit(struct claims *claims, uint64_t request, uint64_t key,
		   int64_t timeout_us)
{
	const struct member *self = membership_self(claims->membership);
	int64_t now = clock_now(claims->clock);
	struct pending_claim *pending;

	if (g_hash_table_contains(claims->pending, &request)) {
		log_event(LOG_ERR, "claim_repeated", LOG_X("request", request));
		return;
	}
	timeout_us = CLAMP(timeout_us, 0, CLAIM_TIMEOUT_MAX_USEC);
	pending = g_new0(struct pending_claim, 1);
	pending->claims = claims;
	pending->claim.key = key;
	pending->claim.id.owner = (struct owner){self->id, self->incarnation};
	pending->claim.id.request = request;
	pending->decide_by =
		now + timeout_us - MIN(REPLY_MARGIN_USEC, timeout_us / 4);
	timer_init(&pending->poll, claims->clock, pending_poll, pending);
	timer_init(&pending->timeout, claims->clock, pending_timed_out,
		   pending);
	/* After a pause of the process this timer fires before an answer that
	 * arrived meanwhile is handled: its decision may be too old by then. */
	timer_start(&pending->timeout, timeout_us);
	g_hash_table_insert(claims->pending, &pending->claim.id.request,
			    pending);
	pending_send(pending);
}
