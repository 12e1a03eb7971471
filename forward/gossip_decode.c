/*
 * gossip_decode.c - decoding of datagrams. One that does not have the form of
 * gossip_codec.h is rejected as a whole.
 */
#include "gossip_codec.h"

#include <arpa/inet.h>
#include <msgpack.h>
#include <netinet/in.h>

#include "common/address.h"
#include "common/error.h"
#include "common/unpack.h"
#include "gossip_fields.h"

static bool unsigned_read(const msgpack_object *object, uint64_t max,
			  uint64_t *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > max)
		return false;
	*value = object->via.u64;
	return true;
}

static bool signed_read(const msgpack_object *object, int64_t max,
			int64_t *value)
{
	if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*value = object->via.i64;
		return object->via.i64 >= -max;
	}
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > (uint64_t)max)
		return false;
	*value = (int64_t)object->via.u64;
	return true;
}

static bool is_array(const msgpack_object *object, uint32_t max)
{
	return object->type == MSGPACK_OBJECT_ARRAY &&
	       object->via.array.size <= max;
}

static bool is_tuple(const msgpack_object *object, uint32_t fields)
{
	return is_array(object, fields) && object->via.array.size == fields;
}

static bool load_read(const msgpack_object *object, struct gossip_load *load)
{
	const msgpack_object *fields;

	if (!is_tuple(object, LOAD_FIELDS))
		return false;
	fields = object->via.array.ptr;
	return unsigned_read(&fields[0], UINT64_MAX, &load->backend) &&
	       signed_read(&fields[1], LOAD_MAX, &load->load.requests) &&
	       signed_read(&fields[2], LOAD_MAX, &load->load.decode_tokens) &&
	       signed_read(&fields[3], LOAD_MAX, &load->load.prefill_tokens);
}

static bool loads_read(const msgpack_object *object, GArray *loads)
{
	if (!is_array(object, GOSSIP_LOADS_MAX))
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		struct gossip_load load;

		if (!load_read(&object->via.array.ptr[i], &load))
			return false;
		g_array_append_val(loads, load);
	}
	return true;
}

static bool servers_read(const msgpack_object *object,
			 struct quarantine_entry *entry)
{
	if (!is_array(object, QUARANTINE_CRASHES_MAX))
		return false;
	entry->count = object->via.array.size;
	for (uint32_t i = 0; i < entry->count; i++)
		if (!unsigned_read(&object->via.array.ptr[i], UINT64_MAX,
				   &entry->servers[i]))
			return false;
	return true;
}

static bool quarantine_entry_read(const msgpack_object *object,
				  struct quarantine_entry *entry)
{
	const msgpack_object *fields;
	uint64_t epoch;
	uint64_t stored;

	if (!is_tuple(object, QUARANTINE_FIELDS))
		return false;
	fields = object->via.array.ptr;
	if (!unsigned_read(&fields[0], UINT64_MAX, &entry->fingerprint.high) ||
	    !unsigned_read(&fields[1], UINT64_MAX, &entry->fingerprint.low) ||
	    !unsigned_read(&fields[2], UINT32_MAX, &epoch) ||
	    !unsigned_read(&fields[3], 1, &stored))
		return false;
	entry->epoch = (uint32_t)epoch;
	entry->stored = stored;
	return servers_read(&fields[4], entry);
}

static bool quarantine_read(const msgpack_object *object, GArray *entries)
{
	if (!is_array(object, GOSSIP_QUARANTINE_MAX))
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		struct quarantine_entry entry = {0};

		if (!quarantine_entry_read(&object->via.array.ptr[i], &entry))
			return false;
		g_array_append_val(entries, entry);
	}
	return true;
}

static bool usage_entry_read(const msgpack_object *object,
			     struct limit_entry *entry)
{
	const msgpack_object *fields;
	uint64_t epoch;
	uint64_t demand;

	if (!is_tuple(object, USAGE_FIELDS))
		return false;
	fields = object->via.array.ptr;
	if (!unsigned_read(&fields[0], UINT64_MAX, &entry->account) ||
	    !unsigned_read(&fields[1], UINT32_MAX, &epoch) ||
	    !signed_read(&fields[2], USED_MAX, &entry->used) ||
	    !unsigned_read(&fields[3], UINT32_MAX, &demand) ||
	    !signed_read(&fields[4], USED_MAX, &entry->level))
		return false;
	entry->epoch = (uint32_t)epoch;
	entry->demand = (uint32_t)demand;
	return true;
}

static bool usage_read(const msgpack_object *object, GArray *usage)
{
	if (!is_array(object, GOSSIP_USAGE_MAX))
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		struct limit_entry entry;

		if (!usage_entry_read(&object->via.array.ptr[i], &entry))
			return false;
		g_array_append_val(usage, entry);
	}
	return true;
}

static bool fact_read(const msgpack_object *object,
		      struct backpressure_fact *fact)
{
	const msgpack_object *fields;
	int64_t scaled;
	int64_t cold_scaled;
	uint64_t leaving;
	uint64_t cold;
	uint64_t age;

	if (!is_tuple(object, FACT_FIELDS))
		return false;
	fields = object->via.array.ptr;
	if (!unsigned_read(&fields[0], UINT64_MAX, &fact->server) ||
	    !signed_read(&fields[1], LIMIT_SCALED_MAX, &scaled) ||
	    scaled < -1 ||
	    !unsigned_read(&fields[2], FACT_AGE_USEC_MAX, &age) ||
	    !unsigned_read(&fields[3], 1, &leaving) ||
	    !unsigned_read(&fields[4], BACKPRESSURE_COLD_MAX_USEC, &cold) ||
	    !signed_read(&fields[5], LIMIT_SCALED_MAX, &cold_scaled) ||
	    cold_scaled < 0)
		return false;
	fact->limit = scaled < 0 ? BACKPRESSURE_UNLIMITED
				 : (double)scaled / LIMIT_SCALE;
	fact->age_usec = (int64_t)age;
	fact->leaving = leaving;
	fact->cold_usec = (int64_t)cold;
	fact->cold_limit = (double)cold_scaled / LIMIT_SCALE;
	return true;
}

static bool facts_read(const msgpack_object *object, GArray *facts)
{
	if (!is_array(object, GOSSIP_FACTS_MAX))
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		struct backpressure_fact fact;

		if (!fact_read(&object->via.array.ptr[i], &fact))
			return false;
		g_array_append_val(facts, fact);
	}
	return true;
}

static bool speed_read(const msgpack_object *object, struct speed_entry *entry)
{
	const msgpack_object *fields;
	uint64_t percent;
	uint64_t weight;
	uint64_t age;

	if (!is_tuple(object, SPEED_FIELDS))
		return false;
	fields = object->via.array.ptr;
	if (!unsigned_read(&fields[0], UINT64_MAX, &entry->server) ||
	    !unsigned_read(&fields[1], SPEED_PERCENT_MAX, &percent) ||
	    percent < SPEED_PERCENT_MIN ||
	    !unsigned_read(&fields[2], SPEED_WEIGHT_MAX, &weight) ||
	    weight == 0 ||
	    !unsigned_read(&fields[3], SPEED_AGE_MAX_USEC / USEC_PER_MSEC,
			   &age))
		return false;
	entry->percent = (uint32_t)percent;
	entry->weight = (uint32_t)weight;
	entry->age_msec = (uint32_t)age;
	return true;
}

static bool speeds_read(const msgpack_object *object, GArray *speeds)
{
	if (!is_array(object, SPEED_ENTRIES_MAX))
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		struct speed_entry entry = {0};

		if (!speed_read(&object->via.array.ptr[i], &entry))
			return false;
		g_array_append_val(speeds, entry);
	}
	return true;
}

static bool permit_request_read(const msgpack_object *object,
				struct permit_request *request)
{
	return is_tuple(object, PERMIT_REQUEST_FIELDS) &&
	       unsigned_read(&object->via.array.ptr[0], UINT64_MAX,
			     &request->id) &&
	       fact_read(&object->via.array.ptr[1], &request->fact);
}

static bool permit_answer_read(const msgpack_object *object,
			       struct permit_answer *answer)
{
	const msgpack_object *fields;
	uint64_t granted;
	uint64_t retry;

	if (!is_tuple(object, PERMIT_ANSWER_FIELDS))
		return false;
	fields = object->via.array.ptr;
	if (!unsigned_read(&fields[0], UINT64_MAX, &answer->id) ||
	    !unsigned_read(&fields[1], UINT64_MAX, &answer->server) ||
	    !unsigned_read(&fields[2], 1, &granted) ||
	    !unsigned_read(&fields[3], RETRY_USEC_MAX, &retry))
		return false;
	answer->granted = granted;
	answer->retry_usec = (int64_t)retry;
	return true;
}

static bool mirror_status_read(const msgpack_object *object,
			       struct mirror_status *status)
{
	const msgpack_object *fields;
	uint64_t age;

	if (!is_tuple(object, MIRROR_FIELDS))
		return false;
	fields = object->via.array.ptr;
	if (!unsigned_read(&fields[0], UINT64_MAX, &status->next) ||
	    !unsigned_read(&fields[1], UINT64_MAX, &status->changed))
		return false;
	status->age_usec = -1;
	if (fields[2].type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return true;
	if (!unsigned_read(&fields[2], INT64_MAX / 2, &age))
		return false;
	status->age_usec = (int64_t)age;
	return true;
}

static bool mirrors_read(const msgpack_object *object,
			 struct gossip_summary *summary)
{
	if (!is_tuple(object, GOSSIP_MIRRORS))
		return false;
	for (int i = 0; i < GOSSIP_MIRRORS; i++)
		if (!mirror_status_read(&object->via.array.ptr[i],
					&summary->mirrors[i]))
			return false;
	return true;
}

static bool address_read(const msgpack_object *object,
			 struct gossip_message *message)
{
	struct sockaddr_storage address = {.ss_family = AF_INET};
	struct sockaddr_in *in = (struct sockaddr_in *)&address;
	char text[ADDRESS_TEXT_MAX];
	uint64_t number;

	if (object->type == MSGPACK_OBJECT_STR) {
		if (!unpack_text(object, text, sizeof(text)))
			return false;
	} else {
		if (!unsigned_read(object, ((uint64_t)1 << 48) - 1, &number))
			return false;
		in->sin_addr.s_addr = htonl((uint32_t)(number >> 16));
		in->sin_port = htons((uint16_t)number);
		address_print(&address, text);
	}
	gossip_message_add(message, text);
	return true;
}

static bool addresses_read(const msgpack_object *object,
			   struct gossip_message *message)
{
	if (!is_array(object, GOSSIP_ADDRESSES_MAX))
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++)
		if (!address_read(&object->via.array.ptr[i], message))
			return false;
	return true;
}

static bool change_read(const msgpack_object *object,
			struct backend_change *change)
{
	const msgpack_object *fields;
	uint64_t stage;
	uint64_t left;

	if (!is_tuple(object, CHANGE_FIELDS))
		return false;
	fields = object->via.array.ptr;
	if (!unsigned_read(&fields[0], UINT64_MAX, &change->key) ||
	    !unsigned_read(&fields[1], STAGE_DECODE, &stage) ||
	    !unsigned_read(&fields[2], CHANGE_MSEC_MAX, &left))
		return false;
	change->stage = (enum backend_stage)stage;
	change->left_usec = (int64_t)left * USEC_PER_MSEC;
	return true;
}

static bool changing_read(const msgpack_object *object,
			  struct gossip_summary *summary)
{
	if (!is_array(object, GOSSIP_CHANGING_MAX))
		return false;
	summary->changing_count = object->via.array.size;
	for (uint32_t i = 0; i < summary->changing_count; i++)
		if (!change_read(&object->via.array.ptr[i],
				 &summary->changing[i]))
			return false;
	return true;
}

static bool origin_read(const msgpack_object *object,
			struct gossip_origin *origin)
{
	const msgpack_object *fields = object->via.array.ptr;

	return is_tuple(object, ORIGIN_FIELDS) &&
	       unsigned_read(&fields[0], UINT64_MAX, &origin->stream) &&
	       unsigned_read(&fields[1], UINT64_MAX, &origin->software);
}

static bool origin_query_read(const msgpack_object *object,
			      struct origin_query *query)
{
	const msgpack_object *fields = object->via.array.ptr;
	uint64_t window;

	if (!is_tuple(object, ORIGIN_QUERY_FIELDS) ||
	    !unsigned_read(&fields[0], UINT64_MAX, &query->id) ||
	    !unsigned_read(&fields[1], UINT64_MAX, &query->stream) ||
	    !unsigned_read(&fields[2], UINT64_MAX, &query->service) ||
	    !unsigned_read(&fields[3], ORIGIN_WINDOW_USEC_MAX, &window))
		return false;
	query->window_usec = (int64_t)window;
	return true;
}

static bool origin_answer_read(const msgpack_object *object,
			       struct gossip_message *message)
{
	const msgpack_object *fields = object->via.array.ptr;
	struct origin_answer *answer = &message->origin_answer;
	uint64_t mixed;

	if (!is_tuple(object, ORIGIN_ANSWER_FIELDS) ||
	    !unsigned_read(&fields[0], UINT64_MAX, &message->origin_query.id) ||
	    !unsigned_read(&fields[1], UINT64_MAX,
			   &message->origin_query.stream) ||
	    !unsigned_read(&fields[2], UINT64_MAX, &answer->software) ||
	    !unsigned_read(&fields[3], UINT64_MAX, &answer->sole) ||
	    !unsigned_read(&fields[4], 1, &mixed))
		return false;
	answer->mixed = mixed;
	return true;
}

static bool call_avoid_read(const msgpack_object *object,
			    struct dispatch_call *call)
{
	if (!is_array(object, DISPATCH_AVOID_MAX))
		return false;
	call->avoid_count = object->via.array.size;
	for (uint32_t i = 0; i < call->avoid_count; i++)
		if (!unsigned_read(&object->via.array.ptr[i], UINT64_MAX,
				   &call->avoid[i]))
			return false;
	return true;
}

static bool call_request_read(const msgpack_object *object,
			      struct call_request *request)
{
	struct dispatch_call *call = &request->call;
	const msgpack_object *fields = object->via.array.ptr;
	uint64_t urgency;
	uint64_t target;
	uint64_t limit;

	if (!is_tuple(object, CALL_REQUEST_FIELDS) ||
	    !unsigned_read(&fields[0], UINT64_MAX, &call->id) ||
	    !unsigned_read(&fields[1], UINT64_MAX, &request->service) ||
	    !unsigned_read(&fields[2], UINT32_MAX, &urgency) ||
	    !unsigned_read(&fields[3], UINT64_MAX, &call->organisation) ||
	    !unsigned_read(&fields[4], CALL_USEC_MAX, &target) ||
	    !unsigned_read(&fields[5], CALL_USEC_MAX, &limit))
		return false;
	call->urgency = (uint32_t)urgency;
	call->target_usec = (int64_t)target;
	call->limit_usec = (int64_t)limit;
	return call_avoid_read(&fields[6], call);
}

static bool call_answer_read(const msgpack_object *object,
			     struct call_answer *answer)
{
	const msgpack_object *fields = object->via.array.ptr;
	uint64_t result;
	uint64_t usec;

	if (!is_tuple(object, CALL_ANSWER_FIELDS) ||
	    !unsigned_read(&fields[0], UINT64_MAX, &answer->id) ||
	    !unsigned_read(&fields[1], UINT64_MAX, &answer->service) ||
	    !unsigned_read(&fields[2], CALL_QUEUED, &result) ||
	    !unsigned_read(&fields[3], UINT64_MAX, &answer->server) ||
	    !unsigned_read(&fields[4], CALL_USEC_MAX, &usec))
		return false;
	answer->result = (enum call_result)result;
	answer->usec = (int64_t)usec;
	return answer->result != CALL_GRANTED || answer->server != 0;
}

/* Slots of 0: the server has stated nothing, so the other figures are 0. */
static bool call_load_read(const msgpack_object *fields,
			   struct server_load *load)
{
	uint64_t running;
	uint64_t waiting;
	uint64_t slots;
	uint64_t pace;

	if (!unsigned_read(&fields[0], SERVER_LOAD_REQUESTS_MAX, &running) ||
	    !unsigned_read(&fields[1], SERVER_LOAD_REQUESTS_MAX, &waiting) ||
	    !unsigned_read(&fields[2], SERVER_LOAD_REQUESTS_MAX, &slots) ||
	    !unsigned_read(&fields[3], (uint64_t)SERVER_LOAD_PACE_MAX * 100,
			   &pace))
		return false;
	*load = (struct server_load){
		.known = slots > 0,
		.running = (uint32_t)running,
		.waiting = (uint32_t)waiting,
		.slots = (uint32_t)slots,
		.pace = (double)pace / 100.0,
	};
	return load->known ? server_load_valid(load)
			   : running + waiting + pace == 0;
}

static bool call_done_read(const msgpack_object *object, struct call_done *done)
{
	const msgpack_object *fields = object->via.array.ptr;
	uint64_t usec;
	uint64_t refused;

	if (!is_tuple(object, CALL_DONE_FIELDS) ||
	    !unsigned_read(&fields[0], UINT64_MAX, &done->end.id) ||
	    !unsigned_read(&fields[1], UINT64_MAX, &done->service) ||
	    !unsigned_read(&fields[2], UINT64_MAX, &done->server) ||
	    !unsigned_read(&fields[3], CALL_USEC_MAX, &usec) ||
	    !call_load_read(&fields[4], &done->end.load) ||
	    !unsigned_read(&fields[8], 1, &refused))
		return false;
	done->end.usec = (int64_t)usec;
	done->end.refused = refused;
	return true;
}

static bool claim_read(const msgpack_object *object, struct room_claim *claim)
{
	const msgpack_object *fields = object->via.array.ptr;
	uint64_t tokens;
	uint64_t rank;
	uint64_t msec;

	if (!is_tuple(object, ROOM_CLAIM_FIELDS) ||
	    !unsigned_read(&fields[0], UINT64_MAX, &claim->request) ||
	    !unsigned_read(&fields[1], PRECEDENCE_RANKS - 1, &rank) ||
	    !unsigned_read(&fields[2], UINT64_MAX, &claim->server) ||
	    !unsigned_read(&fields[3], LOAD_MAX, &tokens) ||
	    !unsigned_read(&fields[4], UINT32_MAX, &msec))
		return false;
	claim->rank = (uint32_t)rank;
	claim->tokens = (uint32_t)tokens;
	claim->usec = (int64_t)msec * USEC_PER_MSEC;
	return true;
}

/* The last field of a summary; releases that have no ranks leave it out. */
static bool ranks_read(const msgpack_object *object,
		       struct gossip_summary *summary)
{
	if (!is_array(object, PRECEDENCE_RANKS))
		return false;
	summary->ranked = object->via.array.size > 0;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		uint64_t waiting;

		if (!unsigned_read(&object->via.array.ptr[i], RANK_WAITING_MAX,
				   &waiting))
			return false;
		summary->waiting_ranked[i] = (uint32_t)waiting;
	}
	return true;
}

static bool unreachable_read(const msgpack_object *object,
			     struct gossip_summary *summary)
{
	if (!is_array(object, GOSSIP_UNREACHABLE_MAX))
		return false;
	summary->unreachable_count = object->via.array.size;
	for (uint32_t i = 0; i < summary->unreachable_count; i++) {
		const msgpack_object *one = &object->via.array.ptr[i];
		uint64_t left;

		if (!is_tuple(one, UNREACHABLE_FIELDS) ||
		    !unsigned_read(&one->via.array.ptr[0], UINT64_MAX,
				   &summary->unreachable[i].key) ||
		    !unsigned_read(&one->via.array.ptr[1], CHANGE_MSEC_MAX,
				   &left))
			return false;
		summary->unreachable[i].left_usec =
			(int64_t)left * USEC_PER_MSEC;
	}
	return true;
}

static bool summary_read(const msgpack_object *fields,
			 struct gossip_message *message)
{
	uint64_t demand;
	uint64_t waiting;
	uint64_t rates;
	uint64_t rate_count;
	uint64_t flags;

	if (!unpack_text(&fields[0], message->name, sizeof(message->name)) ||
	    !unpack_text(&fields[1], message->group, sizeof(message->group)) ||
	    !unsigned_read(&fields[2], UINT64_MAX, &message->summary.version) ||
	    !unsigned_read(&fields[3], UINT32_MAX, &demand) ||
	    !unsigned_read(&fields[4], UINT32_MAX, &waiting) ||
	    !unsigned_read(&fields[5], PREFILL_RATES_MAX, &rates) ||
	    !unsigned_read(&fields[6], UINT32_MAX, &rate_count) ||
	    !unsigned_read(&fields[7], UINT32_MAX, &flags) ||
	    !changing_read(&fields[8], &message->summary))
		return false;
	message->summary.demand = (double)demand;
	message->summary.waiting = (uint32_t)waiting;
	message->summary.prefill_rates = (double)rates;
	message->summary.prefill_rate_count = (uint32_t)rate_count;
	message->summary.leaving = flags & FLAG_LEAVING;
	message->summary.store_unreachable = flags & FLAG_STORE_UNREACHABLE;
	message->summary.links_lost = flags & FLAG_LINKS_LOST;
	message->lowest.store_unreachable =
		flags & FLAG_LOWEST_STORE_UNREACHABLE;
	return mirrors_read(&fields[9], &message->summary) &&
	       unpack_text(&fields[10], message->lowest.name,
			   sizeof(message->lowest.name)) &&
	       addresses_read(&fields[11], message) &&
	       usage_read(&fields[12], message->usage) &&
	       unreachable_read(&fields[13], &message->summary) &&
	       facts_read(&fields[14], message->facts);
}

/* Reads the body of a message of any kind but summaries and load changes. */
static bool body_read(const msgpack_object *body,
		      struct gossip_message *message)
{
	switch (message->kind) {
	case GOSSIP_QUARANTINE:
		return quarantine_read(body, message->quarantine);
	case GOSSIP_USAGE:
		return usage_read(body, message->usage);
	case GOSSIP_PERMIT_REQUEST:
		return permit_request_read(body, &message->request);
	case GOSSIP_PERMIT_ANSWER:
		return permit_answer_read(body, &message->answer);
	case GOSSIP_ORIGIN:
		return origin_read(body, &message->origin);
	case GOSSIP_ORIGIN_QUERY:
		return origin_query_read(body, &message->origin_query);
	case GOSSIP_ORIGIN_ANSWER:
		return origin_answer_read(body, message);
	case GOSSIP_CALL_REQUEST:
		return call_request_read(body, &message->call_request);
	case GOSSIP_CALL_ANSWER:
		return call_answer_read(body, &message->call_answer);
	case GOSSIP_CALL_DONE:
		return call_done_read(body, &message->call_done);
	case GOSSIP_ROOM_CLAIM:
		return claim_read(body, &message->claim);
	default:
		return message->kind == GOSSIP_UNKNOWN;
	}
}

static bool message_read(const msgpack_object *object,
			 struct gossip_message *message)
{
	const msgpack_object *fields = object->via.array.ptr;
	uint64_t format;
	uint64_t kind;

	if (!is_array(object, FIELDS_MAX) ||
	    object->via.array.size < CHANGES_FIELDS ||
	    !unsigned_read(&fields[0], GOSSIP_FORMAT, &format) ||
	    format != GOSSIP_FORMAT ||
	    !unsigned_read(&fields[1], KIND_MAX, &kind) ||
	    !unsigned_read(&fields[2], UINT64_MAX, &message->boot) ||
	    !unsigned_read(&fields[3], UINT64_MAX, &message->sequence))
		return false;
	message->kind = (enum gossip_kind)MIN(kind, GOSSIP_UNKNOWN);
	if (message->kind > GOSSIP_CHANGES)
		return object->via.array.size == CHANGES_FIELDS &&
		       body_read(&fields[4], message);
	if (!loads_read(&fields[4], message->loads))
		return false;
	if (message->kind == GOSSIP_CHANGES)
		return object->via.array.size == CHANGES_FIELDS;
	return object->via.array.size >= SUMMARY_FIELDS &&
	       summary_read(&fields[CHANGES_FIELDS], message) &&
	       (object->via.array.size <= SUMMARY_SPEEDS ||
		speeds_read(&fields[SUMMARY_SPEEDS], message->speeds)) &&
	       (object->via.array.size <= SUMMARY_RANKS ||
		ranks_read(&fields[SUMMARY_RANKS], &message->summary));
}

bool gossip_decode(struct gossip_message *message, const void *data,
		   size_t size, struct error *err)
{
	msgpack_unpacked unpacked;
	bool ok;

	gossip_message_init(message, GOSSIP_INSTANCE_SUMMARY);
	msgpack_unpacked_init(&unpacked);
	ok = message_unpack(&unpacked, data, size, err);
	if (ok && !message_read(&unpacked.data, message))
		ok = error_set(err, RESULT_BAD_MESSAGE,
			       "malformed gossip datagram");
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}
