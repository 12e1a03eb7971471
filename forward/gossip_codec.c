#include "gossip_codec.h"

#include <arpa/inet.h>
#include <msgpack.h>
#include <netinet/in.h>

#include "common/address.h"
#include "common/pack.h"

#include "gossip_fields.h"

void gossip_message_init(struct gossip_message *message, enum gossip_kind kind)
{
	*message = (struct gossip_message){
		.kind = kind,
		.loads = g_array_new(FALSE, TRUE, sizeof(struct gossip_load)),
		.quarantine = g_array_new(FALSE, TRUE,
					  sizeof(struct quarantine_entry)),
		.usage = g_array_new(FALSE, TRUE, sizeof(struct limit_entry)),
		.facts = g_array_new(FALSE, TRUE,
				     sizeof(struct backpressure_fact)),
		.speeds = g_array_new(FALSE, TRUE, sizeof(struct speed_entry)),
		.addresses =
			g_array_new(FALSE, TRUE, sizeof(struct gossip_address)),
	};
}

void gossip_message_add(struct gossip_message *message, const char *address)
{
	struct gossip_address one;

	g_strlcpy(one.text, address, sizeof(one.text));
	g_array_append_val(message->addresses, one);
}

void gossip_message_clear(struct gossip_message *message)
{
	g_array_unref(message->loads);
	g_array_unref(message->addresses);
	g_array_unref(message->quarantine);
	g_array_unref(message->usage);
	g_array_unref(message->facts);
	g_array_unref(message->speeds);
	message->speeds = NULL;
	message->facts = NULL;
	message->usage = NULL;
	message->loads = NULL;
	message->quarantine = NULL;
	message->addresses = NULL;
}

/* The receiver refuses a datagram with a number out of its range as a whole, so
 * numbers that come from a configuration, a caller or a server are clamped. */
static int64_t clamp_signed(int64_t number, int64_t max)
{
	return CLAMP(number, -max, max);
}

static uint64_t clamp_real(double number, uint64_t max)
{
	return (uint64_t)CLAMP(number, 0.0, (double)max);
}

static uint32_t clamp_msec(int64_t usec, uint32_t max)
{
	return (uint32_t)CLAMP(usec / USEC_PER_MSEC, 0, (int64_t)max);
}

static void loads_pack(msgpack_packer *packer, const GArray *loads)
{
	guint count = MIN(loads->len, GOSSIP_LOADS_MAX);

	msgpack_pack_array(packer, count);
	for (guint i = 0; i < count; i++) {
		const struct gossip_load *load =
			&g_array_index(loads, struct gossip_load, i);

		msgpack_pack_array(packer, LOAD_FIELDS);
		msgpack_pack_uint64(packer, load->backend);
		msgpack_pack_int64(packer,
				   clamp_signed(load->load.requests, LOAD_MAX));
		msgpack_pack_int64(
			packer,
			clamp_signed(load->load.decode_tokens, LOAD_MAX));
		msgpack_pack_int64(
			packer,
			clamp_signed(load->load.prefill_tokens, LOAD_MAX));
	}
}

static void quarantine_entry_pack(msgpack_packer *packer,
				  const struct quarantine_entry *entry)
{
	msgpack_pack_array(packer, QUARANTINE_FIELDS);
	msgpack_pack_uint64(packer, entry->fingerprint.high);
	msgpack_pack_uint64(packer, entry->fingerprint.low);
	msgpack_pack_uint32(packer, entry->epoch);
	msgpack_pack_uint8(packer, entry->stored);
	msgpack_pack_array(packer, entry->count);
	for (uint32_t i = 0; i < entry->count; i++)
		msgpack_pack_uint64(packer, entry->servers[i]);
}

static void quarantine_pack(msgpack_packer *packer, const GArray *entries)
{
	guint count = MIN(entries->len, GOSSIP_QUARANTINE_MAX);

	msgpack_pack_array(packer, count);
	for (guint i = 0; i < count; i++)
		quarantine_entry_pack(
			packer,
			&g_array_index(entries, struct quarantine_entry, i));
}

static void usage_pack(msgpack_packer *packer, const GArray *usage)
{
	guint count = MIN(usage->len, GOSSIP_USAGE_MAX);

	msgpack_pack_array(packer, count);
	for (guint i = 0; i < count; i++) {
		const struct limit_entry *entry =
			&g_array_index(usage, struct limit_entry, i);

		msgpack_pack_array(packer, USAGE_FIELDS);
		msgpack_pack_uint64(packer, entry->account);
		msgpack_pack_uint32(packer, entry->epoch);
		msgpack_pack_int64(packer, clamp_signed(entry->used, USED_MAX));
		msgpack_pack_uint32(packer, entry->demand);
		msgpack_pack_int64(packer,
				   clamp_signed(entry->level, USED_MAX));
	}
}

static int64_t limit_scale(double limit)
{
	return (int64_t)clamp_real(limit * LIMIT_SCALE, LIMIT_SCALED_MAX);
}

static void fact_pack(msgpack_packer *packer,
		      const struct backpressure_fact *fact)
{
	int64_t scaled = fact->limit < 0.0 ? -1 : limit_scale(fact->limit);

	msgpack_pack_array(packer, FACT_FIELDS);
	msgpack_pack_uint64(packer, fact->server);
	msgpack_pack_int64(packer, scaled);
	msgpack_pack_uint64(packer, MIN((uint64_t)MAX(fact->age_usec, 0),
					FACT_AGE_USEC_MAX));
	msgpack_pack_uint8(packer, fact->leaving);
	msgpack_pack_uint64(packer,
			    (uint64_t)CLAMP(fact->cold_usec, 0,
					    BACKPRESSURE_COLD_MAX_USEC));
	msgpack_pack_int64(packer, limit_scale(fact->cold_limit));
}

static void facts_pack(msgpack_packer *packer, const GArray *facts)
{
	guint count = MIN(facts->len, GOSSIP_FACTS_MAX);

	msgpack_pack_array(packer, count);
	for (guint i = 0; i < count; i++)
		fact_pack(packer,
			  &g_array_index(facts, struct backpressure_fact, i));
}

static void speeds_pack(msgpack_packer *packer, const GArray *speeds)
{
	guint count = MIN(speeds->len, SPEED_ENTRIES_MAX);

	msgpack_pack_array(packer, count);
	for (guint i = 0; i < count; i++) {
		const struct speed_entry *entry =
			&g_array_index(speeds, struct speed_entry, i);

		msgpack_pack_array(packer, SPEED_FIELDS);
		msgpack_pack_uint64(packer, entry->server);
		msgpack_pack_uint32(packer, entry->percent);
		msgpack_pack_uint32(packer, entry->weight);
		msgpack_pack_uint32(packer, entry->age_msec);
	}
}

/* Trailing fields without content are left out. */
static uint32_t summary_fields(const struct gossip_message *message)
{
	if (message->summary.ranked)
		return SUMMARY_RANKS + 1;
	return message->speeds->len > 0 ? SUMMARY_SPEEDS + 1 : SUMMARY_FIELDS;
}

static void permit_request_pack(msgpack_packer *packer,
				const struct permit_request *request)
{
	msgpack_pack_array(packer, PERMIT_REQUEST_FIELDS);
	msgpack_pack_uint64(packer, request->id);
	fact_pack(packer, &request->fact);
}

static void permit_answer_pack(msgpack_packer *packer,
			       const struct permit_answer *answer)
{
	msgpack_pack_array(packer, PERMIT_ANSWER_FIELDS);
	msgpack_pack_uint64(packer, answer->id);
	msgpack_pack_uint64(packer, answer->server);
	msgpack_pack_uint8(packer, answer->granted);
	msgpack_pack_int64(packer,
			   CLAMP(answer->retry_usec, 0, RETRY_USEC_MAX));
}

static void origin_pack(msgpack_packer *packer,
			const struct gossip_origin *origin)
{
	msgpack_pack_array(packer, ORIGIN_FIELDS);
	msgpack_pack_uint64(packer, origin->stream);
	msgpack_pack_uint64(packer, origin->software);
}

static void origin_query_pack(msgpack_packer *packer,
			      const struct origin_query *query)
{
	msgpack_pack_array(packer, ORIGIN_QUERY_FIELDS);
	msgpack_pack_uint64(packer, query->id);
	msgpack_pack_uint64(packer, query->stream);
	msgpack_pack_uint64(packer, query->service);
	msgpack_pack_uint64(packer, MIN((uint64_t)MAX(query->window_usec, 0),
					ORIGIN_WINDOW_USEC_MAX));
}

static void origin_answer_pack(msgpack_packer *packer,
			       const struct gossip_message *message)
{
	msgpack_pack_array(packer, ORIGIN_ANSWER_FIELDS);
	msgpack_pack_uint64(packer, message->origin_query.id);
	msgpack_pack_uint64(packer, message->origin_query.stream);
	msgpack_pack_uint64(packer, message->origin_answer.software);
	msgpack_pack_uint64(packer, message->origin_answer.sole);
	msgpack_pack_uint8(packer, message->origin_answer.mixed);
}

static uint64_t call_usec(int64_t usec)
{
	return MIN((uint64_t)MAX(usec, 0), CALL_USEC_MAX);
}

static void call_request_pack(msgpack_packer *packer,
			      const struct call_request *request)
{
	const struct dispatch_call *call = &request->call;
	uint32_t count = MIN(call->avoid_count, DISPATCH_AVOID_MAX);

	msgpack_pack_array(packer, CALL_REQUEST_FIELDS);
	msgpack_pack_uint64(packer, call->id);
	msgpack_pack_uint64(packer, request->service);
	msgpack_pack_uint32(packer, call->urgency);
	msgpack_pack_uint64(packer, call->organisation);
	msgpack_pack_uint64(packer, call_usec(call->target_usec));
	msgpack_pack_uint64(packer, call_usec(call->limit_usec));
	msgpack_pack_array(packer, count);
	for (uint32_t i = 0; i < count; i++)
		msgpack_pack_uint64(packer, call->avoid[i]);
}

static void call_answer_pack(msgpack_packer *packer,
			     const struct call_answer *answer)
{
	msgpack_pack_array(packer, CALL_ANSWER_FIELDS);
	msgpack_pack_uint64(packer, answer->id);
	msgpack_pack_uint64(packer, answer->service);
	msgpack_pack_uint8(packer, (uint8_t)answer->result);
	msgpack_pack_uint64(packer, answer->server);
	msgpack_pack_uint64(packer, call_usec(answer->usec));
}

static void call_done_pack(msgpack_packer *packer, const struct call_done *done)
{
	const struct server_load *load = &done->end.load;
	double pace = CLAMP(load->pace, 0.0, SERVER_LOAD_PACE_MAX);

	msgpack_pack_array(packer, CALL_DONE_FIELDS);
	msgpack_pack_uint64(packer, done->end.id);
	msgpack_pack_uint64(packer, done->service);
	msgpack_pack_uint64(packer, done->server);
	msgpack_pack_uint64(packer, call_usec(done->end.usec));
	msgpack_pack_uint32(packer, load->known ? load->running : 0);
	msgpack_pack_uint32(packer, load->known ? load->waiting : 0);
	msgpack_pack_uint32(packer, load->known ? load->slots : 0);
	msgpack_pack_uint32(packer,
			    load->known ? (uint32_t)(pace * 100.0 + 0.5) : 0);
	msgpack_pack_uint8(packer, done->end.refused);
}

static void mirror_status_pack(msgpack_packer *packer,
			       const struct mirror_status *status)
{
	msgpack_pack_array(packer, MIRROR_FIELDS);
	msgpack_pack_uint64(packer, status->next);
	msgpack_pack_uint64(packer, status->changed);
	msgpack_pack_int64(packer, status->age_usec);
}

static void address_pack(msgpack_packer *packer, const char *text)
{
	struct sockaddr_storage address;
	const struct sockaddr_in *in = (const struct sockaddr_in *)&address;
	socklen_t size;

	if (address_parse(text, &address, &size, NULL) &&
	    address.ss_family == AF_INET)
		msgpack_pack_uint64(packer, (uint64_t)ntohl(in->sin_addr.s_addr)
							    << 16 |
						    ntohs(in->sin_port));
	else
		pack_text(packer, text);
}

static void changing_pack(msgpack_packer *packer,
			  const struct gossip_summary *summary)
{
	msgpack_pack_array(packer, summary->changing_count);
	for (uint32_t i = 0; i < summary->changing_count; i++) {
		const struct backend_change *change = &summary->changing[i];

		msgpack_pack_array(packer, CHANGE_FIELDS);
		msgpack_pack_uint64(packer, change->key);
		msgpack_pack_uint8(packer, (uint8_t)change->stage);
		msgpack_pack_uint32(
			packer, clamp_msec(change->left_usec, CHANGE_MSEC_MAX));
	}
}

static void unreachable_pack(msgpack_packer *packer,
			     const struct gossip_summary *summary)
{
	msgpack_pack_array(packer, summary->unreachable_count);
	for (uint32_t i = 0; i < summary->unreachable_count; i++) {
		msgpack_pack_array(packer, UNREACHABLE_FIELDS);
		msgpack_pack_uint64(packer, summary->unreachable[i].key);
		msgpack_pack_uint32(
			packer, clamp_msec(summary->unreachable[i].left_usec,
					   CHANGE_MSEC_MAX));
	}
}

static void claim_pack(msgpack_packer *packer, const struct room_claim *claim)
{
	msgpack_pack_array(packer, ROOM_CLAIM_FIELDS);
	msgpack_pack_uint64(packer, claim->request);
	msgpack_pack_uint32(packer, claim->rank);
	msgpack_pack_uint64(packer, claim->server);
	msgpack_pack_uint32(packer, MIN(claim->tokens, LOAD_MAX));
	msgpack_pack_uint32(packer, clamp_msec(claim->usec, UINT32_MAX));
}

/* The field before the ranks is not used. */
static void ranks_pack(msgpack_packer *packer,
		       const struct gossip_summary *summary)
{
	msgpack_pack_array(packer, PRECEDENCE_RANKS);
	for (uint32_t i = 0; i < PRECEDENCE_RANKS; i++)
		msgpack_pack_uint32(packer, MIN(summary->waiting_ranked[i],
						RANK_WAITING_MAX));
}

static uint8_t flags_of(const struct gossip_message *message)
{
	return (message->summary.leaving ? FLAG_LEAVING : 0) |
	       (message->summary.links_lost ? FLAG_LINKS_LOST : 0) |
	       (message->summary.store_unreachable ? FLAG_STORE_UNREACHABLE
						   : 0) |
	       (message->lowest.store_unreachable
			? FLAG_LOWEST_STORE_UNREACHABLE
			: 0);
}

static void summary_pack(msgpack_packer *packer,
			 const struct gossip_message *message)
{
	const struct gossip_summary *summary = &message->summary;
	guint addresses = MIN(message->addresses->len, GOSSIP_ADDRESSES_MAX);

	pack_text(packer, message->name);
	pack_text(packer, message->group);
	msgpack_pack_uint64(packer, summary->version);
	msgpack_pack_uint64(packer, clamp_real(summary->demand, UINT32_MAX));
	msgpack_pack_uint32(packer, summary->waiting);
	msgpack_pack_uint64(
		packer, clamp_real(summary->prefill_rates, PREFILL_RATES_MAX));
	msgpack_pack_uint32(packer, summary->prefill_rate_count);
	msgpack_pack_uint8(packer, flags_of(message));
	changing_pack(packer, summary);
	msgpack_pack_array(packer, GOSSIP_MIRRORS);
	for (int i = 0; i < GOSSIP_MIRRORS; i++)
		mirror_status_pack(packer, &summary->mirrors[i]);
	pack_text(packer, message->lowest.name);
	msgpack_pack_array(packer, addresses);
	for (guint i = 0; i < addresses; i++)
		address_pack(packer, g_array_index(message->addresses,
						   struct gossip_address, i)
					     .text);
	usage_pack(packer, message->usage);
	unreachable_pack(packer, summary);
	facts_pack(packer, message->facts);
	if (summary_fields(message) > SUMMARY_SPEEDS)
		speeds_pack(packer, message->speeds);
	if (summary_fields(message) > SUMMARY_RANKS)
		ranks_pack(packer, summary);
}

void gossip_encode(const struct gossip_message *message, GByteArray *out)
{
	bool is_summary = message->kind < GOSSIP_CHANGES;
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, pack_append);
	msgpack_pack_array(&packer, is_summary ? summary_fields(message)
					       : CHANGES_FIELDS);
	msgpack_pack_int(&packer, GOSSIP_FORMAT);
	msgpack_pack_int(&packer, (int)message->kind);
	msgpack_pack_uint64(&packer, message->boot);
	msgpack_pack_uint64(&packer, message->sequence);
	if (message->kind == GOSSIP_QUARANTINE)
		quarantine_pack(&packer, message->quarantine);
	else if (message->kind == GOSSIP_USAGE)
		usage_pack(&packer, message->usage);
	else if (message->kind == GOSSIP_PERMIT_REQUEST)
		permit_request_pack(&packer, &message->request);
	else if (message->kind == GOSSIP_PERMIT_ANSWER)
		permit_answer_pack(&packer, &message->answer);
	else if (message->kind == GOSSIP_ORIGIN)
		origin_pack(&packer, &message->origin);
	else if (message->kind == GOSSIP_ORIGIN_QUERY)
		origin_query_pack(&packer, &message->origin_query);
	else if (message->kind == GOSSIP_ORIGIN_ANSWER)
		origin_answer_pack(&packer, message);
	else if (message->kind == GOSSIP_CALL_REQUEST)
		call_request_pack(&packer, &message->call_request);
	else if (message->kind == GOSSIP_CALL_ANSWER)
		call_answer_pack(&packer, &message->call_answer);
	else if (message->kind == GOSSIP_CALL_DONE)
		call_done_pack(&packer, &message->call_done);
	else if (message->kind == GOSSIP_ROOM_CLAIM)
		claim_pack(&packer, &message->claim);
	else
		loads_pack(&packer, message->loads);
	if (is_summary)
		summary_pack(&packer, message);
}
