#include "coord/claim.h"

#include <glib.h>

#include "claim_codec.h"
#include "claim_writer.h"
#include "common/log.h"

#define CLAIM_WRITERS 2u
/* A writer that does not say within this time that it has the claim is passed
 * over for the other one. */
#define TAKEN_USEC (300 * USEC_PER_MSEC)
/* One that has it is asked again after this time. */
#define POLL_USEC (1 * USEC_PER_SEC)
/* After one that cannot take it, the next is asked. */
#define ELSEWHERE_USEC (50 * USEC_PER_MSEC)
/* Writers give up this long before those who ask, so that their answer comes
 * in time; less when the whole time is short. */
#define MARGIN_USEC (200 * USEC_PER_MSEC)
/* Writers that one claim can be asked of before their answers are no longer
 * told apart. */
#define ASKED_MAX 4u

/* The last thing asked of one writer. */
struct asked {
	uint64_t writer;
	uint64_t attempt;
	bool refused; /* it has answered that it surely appended nothing */
};

struct ask {
	struct claims *claims;
	struct claim claim;
	uint64_t attempt;
	struct asked asked[ASKED_MAX];
	uint32_t asked_count;
	bool doubt;    /* a writer is no longer in asked */
	bool taken;    /* the last writer asked has said that it has it */
	uint32_t rank; /* of the writer to ask next */
	int64_t decide_by;
	struct timer poll;
	struct timer end;
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
	GHashTable *asks; /* request to struct ask */
};

static void claims_send(struct claims *claims, uint64_t to,
			const struct claim_message *message)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	claim_message_pack(&buffer, message);
	claims->transport.send(claims->transport.ctx, to, CHANNEL_CLAIM,
			       buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

static void ask_free(void *data)
{
	struct ask *ask = data;

	timer_stop(&ask->poll);
	timer_stop(&ask->end);
	g_free(ask);
}

static void ask_finish(struct ask *ask, enum result_code code,
		       const struct owner *winner)
{
	struct claims *claims = ask->claims;
	uint64_t request = ask->claim.id.request;

	g_hash_table_remove(claims->asks, &request);
	claims->fn(claims->ctx, request, code, winner);
}

/* Ends without a decision: no writer asked may have appended the claim, or
 * else its key may be spent. */
static void ask_give_up(struct ask *ask)
{
	const struct owner nobody = {0};
	bool clean = !ask->doubt;

	for (uint32_t i = 0; i < ask->asked_count; i++)
		clean = clean && ask->asked[i].refused;
	ask_finish(ask, clean ? RESULT_LOG_DOWN : RESULT_CLAIM_UNDECIDED,
		   &nobody);
}

static struct asked *ask_find(struct ask *ask, uint64_t writer)
{
	for (uint32_t i = 0; i < ask->asked_count; i++) {
		if (ask->asked[i].writer == writer)
			return &ask->asked[i];
	}
	return NULL;
}

static struct asked *ask_find_or_add(struct ask *ask, uint64_t writer)
{
	struct asked *asked = ask_find(ask, writer);

	if (asked)
		return asked;
	if (ask->asked_count < ASKED_MAX)
		asked = &ask->asked[ask->asked_count++];
	else
		asked = &ask->asked[ASKED_MAX - 1];
	ask->doubt = ask->doubt || (asked->writer && !asked->refused);
	asked->writer = writer;
	return asked;
}

/* Asks the writer whose turn it is, as long as it has time to decide. */
static void ask_send(struct ask *ask)
{
	struct claims *claims = ask->claims;
	uint64_t writer = claims->writers[ask->rank % CLAIM_WRITERS];
	int64_t decide_usec = ask->decide_by - clock_now(claims->clock);
	struct asked *asked;

	if (!writer)
		writer = claims->writers[0];
	if (decide_usec <= 0)
		return;
	timer_start(&ask->poll, TAKEN_USEC);
	ask->taken = false;
	if (!writer)
		return;
	asked = ask_find_or_add(ask, writer);
	asked->attempt = ++ask->attempt;
	asked->refused = false;
	claims_send(claims, writer,
		    &(struct claim_message){
			    .kind = CLAIM_MESSAGE_ASK,
			    .request = ask->claim.id.request,
			    .incarnation = ask->claim.id.owner.incarnation,
			    .attempt = asked->attempt,
			    .key = ask->claim.key,
			    .decide_usec = (uint64_t)decide_usec,
		    });
}

static void ask_poll(struct timer *timer, void *ctx)
{
	struct ask *ask = ctx;

	if (!ask->taken)
		ask->rank++;
	ask_send(ask);
}

static void ask_end(struct timer *timer, void *ctx)
{
	ask_give_up(ctx);
}

/* Only the answer to the last thing asked of a writer tells what it has not
 * done; a decision stands whenever it comes. */
static void ask_reply(struct ask *ask, uint64_t from,
		      const struct claim_message *message)
{
	struct asked *asked = ask_find(ask, from);
	bool current = asked && asked->attempt == message->attempt;

	switch (message->reply) {
	case CLAIM_REPLY_WON:
		ask_finish(ask, RESULT_OK, &message->winner);
		return;
	case CLAIM_REPLY_LOST:
		ask_finish(ask, RESULT_ALREADY_CLAIMED, &message->winner);
		return;
	case CLAIM_REPLY_UNDECIDED:
		ask_give_up(ask);
		return;
	case CLAIM_REPLY_PENDING:
		if (!current || message->attempt != ask->attempt)
			return;
		ask->taken = true;
		timer_start(&ask->poll, POLL_USEC);
		return;
	case CLAIM_REPLY_DOWN:
		if (!current)
			return;
		asked->refused = true;
		ask_give_up(ask);
		return;
	case CLAIM_REPLY_ELSEWHERE:
		if (!current)
			return;
		asked->refused = true;
		if (message->attempt == ask->attempt)
			timer_start(&ask->poll, ELSEWHERE_USEC);
		return;
	case CLAIM_REPLY_COUNT:
		return;
	}
}

static void receive_reply(struct claims *claims, uint64_t from,
			  const struct claim_message *message)
{
	struct ask *ask = g_hash_table_lookup(claims->asks, &message->request);

	if (!ask || ask->claim.id.owner.incarnation != message->incarnation)
		return;
	ask_reply(ask, from, message);
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

static void receive_ask(struct claims *claims, uint64_t from,
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
	enum claim_reply_kind reply = claim_writer_take(
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
	claims->asks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     ask_free);
	return claims;
}

void claims_destroy(struct claims *claims)
{
	if (!claims)
		return;
	g_hash_table_destroy(claims->asks);
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
		claim_writer_run(claims->writer, own);
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

	if (!claim_message_unpack(&message, data, size)) {
		log_event(LOG_WARNING, "claim_message_malformed",
			  LOG_X("from", from));
		return;
	}
	if (message.kind == CLAIM_MESSAGE_ASK)
		receive_ask(claims, from, &message);
	else
		receive_reply(claims, from, &message);
}

/* Claims that were asked of one that no longer writes go to one that does. */
void claims_member(struct claims *claims, const struct member *member)
{
	GHashTableIter iter;
	void *value;

	if (!claims_find_writers(claims))
		return;
	g_hash_table_iter_init(&iter, claims->asks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct ask *ask = value;

		ask->rank = 0;
		ask->taken = true;
		timer_start(&ask->poll, 0);
	}
}

void claims_take(struct claims *claims, uint64_t request, uint64_t key,
		 int64_t timeout_us)
{
	const struct member *self = membership_self(claims->membership);
	int64_t now = clock_now(claims->clock);
	struct ask *ask;

	if (g_hash_table_contains(claims->asks, &request)) {
		log_event(LOG_ERR, "claim_repeated", LOG_X("request", request));
		return;
	}
	timeout_us = CLAMP(timeout_us, 0, CLAIM_TIMEOUT_MAX_USEC);
	ask = g_new0(struct ask, 1);
	ask->claims = claims;
	ask->claim.key = key;
	ask->claim.id.owner = (struct owner){self->id, self->incarnation};
	ask->claim.id.request = request;
	ask->decide_by = now + timeout_us - MIN(MARGIN_USEC, timeout_us / 4);
	timer_init(&ask->poll, claims->clock, ask_poll, ask);
	timer_init(&ask->end, claims->clock, ask_end, ask);
	/* Fires before an answer is looked at that came while this process
	 * stood still: what was decided then may be old by now. */
	timer_start(&ask->end, timeout_us);
	g_hash_table_insert(claims->asks, &ask->claim.id.request, ask);
	ask_send(ask);
}
