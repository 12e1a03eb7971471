#include "ledger_codec.h"

#include "codec.h"
#include "common/log.h"

#include <string.h>

#define SUBMIT_IDEMPOTENT 1u
#define SUBMIT_ADOPT 2u
#define SUBMIT_PREVIOUS_FREED 4u
#define SUBMIT_DEFERRABLE 8u
#define SUBMIT_NO_REDIRECT 16u
#define BLOCK_SIZE 4u

bool reader_open(struct reader *reader, const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_ARRAY)
		return false;
	reader->at = object->via.array.ptr;
	reader->left = object->via.array.size;
	reader->bad = false;
	return true;
}

static const msgpack_object *read_next(struct reader *reader,
				       msgpack_object_type type)
{
	const msgpack_object *object = reader->at;

	if (reader->bad || reader->left == 0 || object->type != type) {
		reader->bad = true;
		return NULL;
	}
	reader->at++;
	reader->left--;
	return object;
}

uint64_t read_u(struct reader *reader)
{
	const msgpack_object *object =
		read_next(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return object != NULL ? object->via.u64 : 0;
}

const void *read_bin(struct reader *reader, uint32_t *size)
{
	const msgpack_object *object = read_next(reader, MSGPACK_OBJECT_BIN);

	*size = object != NULL ? object->via.bin.size : 0;
	return object != NULL ? object->via.bin.ptr : NULL;
}

void read_text(struct reader *reader, char *text, size_t size)
{
	const msgpack_object *object = read_next(reader, MSGPACK_OBJECT_STR);
	size_t length;

	memset(text, 0, size);
	if (object == NULL)
		return;
	length = MIN(size - 1, object->via.str.size);
	memcpy(text, object->via.str.ptr, length);
}

struct owner read_owner(struct reader *reader)
{
	struct owner owner;

	owner.instance = read_u(reader);
	owner.incarnation = read_u(reader);
	return owner;
}

void pack_u(msgpack_packer *packer, uint64_t value)
{
	msgpack_pack_uint64(packer, value);
}

void pack_bin(msgpack_packer *packer, const void *data, size_t size)
{
	msgpack_pack_bin(packer, size);
	msgpack_pack_bin_body(packer, data, size);
}

void pack_owner(msgpack_packer *packer, const struct owner *owner)
{
	pack_u(packer, owner->instance);
	pack_u(packer, owner->incarnation);
}

msgpack_packer *message_begin(struct ledger *ledger, enum message_type type,
			      uint64_t incarnation, uint32_t fields)
{
	msgpack_sbuffer_clear(&ledger->buffer);
	msgpack_pack_array(&ledger->packer, fields + 2);
	pack_u(&ledger->packer, type);
	pack_u(&ledger->packer, incarnation);
	return &ledger->packer;
}

void message_send(struct ledger *ledger, uint64_t to)
{
	ledger->sent_messages++;
	ledger->sent_bytes += ledger->buffer.size;
	ledger->transport.send(ledger->transport.ctx, to, CHANNEL_LEDGER,
			       ledger->buffer.data, ledger->buffer.size);
}

void message_send_pair(struct ledger *ledger, const struct owner *to,
		       enum message_type type, uint64_t first, uint64_t second)
{
	msgpack_packer *packer =
		message_begin(ledger, type, to->incarnation, 2);

	pack_u(packer, first);
	pack_u(packer, second);
	message_send(ledger, to->instance);
}

/* Milliseconds from now plus one; 0 means never. */
static uint64_t time_pack(int64_t time, int64_t now)
{
	if (time == CLOCK_NEVER)
		return 0;
	return (uint64_t)(MAX(time - now, 0) / USEC_PER_MSEC) + 1;
}

static int64_t time_unpack(uint64_t value, int64_t now)
{
	if (value == 0 || value > G_MAXINT32)
		return CLOCK_NEVER;
	return now + (int64_t)(value - 1) * USEC_PER_MSEC;
}

static void blocks_pack(msgpack_packer *packer,
			const struct policy_request *need)
{
	uint8_t bytes[PREFIX_BLOCKS_MAX * BLOCK_SIZE];

	for (uint32_t i = 0; i < need->block_count; i++) {
		uint32_t block = GUINT32_TO_BE((uint32_t)need->blocks[i]);

		memcpy(bytes + (size_t)i * BLOCK_SIZE, &block, BLOCK_SIZE);
	}
	pack_bin(packer, bytes, (size_t)need->block_count * BLOCK_SIZE);
}

/* The low 32 bits of a chained hash are enough to distinguish blocks. */
static bool blocks_read(struct reader *reader, struct policy_request *need)
{
	uint32_t size;
	const uint8_t *bytes = read_bin(reader, &size);

	if (bytes == NULL || size % BLOCK_SIZE != 0 ||
	    size / BLOCK_SIZE > PREFIX_BLOCKS_MAX)
		return false;
	need->block_count = size / BLOCK_SIZE;
	for (uint32_t i = 0; i < need->block_count; i++) {
		uint32_t block;

		memcpy(&block, bytes + (size_t)i * BLOCK_SIZE, BLOCK_SIZE);
		need->blocks[i] = GUINT32_FROM_BE(block);
	}
	return true;
}

void submission_send(struct ledger *ledger, uint64_t to, uint32_t epoch,
		     const struct item *item)
{
	const struct policy_request *need = &item->need;
	int64_t now = clock_now(ledger->clock);
	msgpack_packer *packer =
		message_begin(ledger, MESSAGE_SUBMIT, item->incarnation, 14);
	uint32_t flags = 0;

	flags |= item->idempotent ? SUBMIT_IDEMPOTENT : 0;
	flags |= item->adopt ? SUBMIT_ADOPT : 0;
	flags |= item->no_redirect ? SUBMIT_NO_REDIRECT : 0;
	flags |= item->previous_freed ? SUBMIT_PREVIOUS_FREED : 0;
	flags |= need->class == CLASS_DEFERRABLE ? SUBMIT_DEFERRABLE : 0;
	pack_u(packer, epoch);
	pack_u(packer, item->request);
	pack_u(packer, item->attempt);
	pack_u(packer, item->service);
	pack_u(packer, item->key);
	pack_u(packer, item->key != 0 ? item->fingerprint : 0);
	pack_u(packer, flags);
	pack_u(packer, need->prompt_tokens);
	pack_u(packer, need->output_tokens_max);
	pack_u(packer, (uint64_t)MAX(now - need->arrived, 0) / USEC_PER_MSEC);
	pack_u(packer, time_pack(need->deadline, now));
	pack_u(packer, time_pack(need->first_token_by, now));
	pack_u(packer, need->organisation);
	blocks_pack(packer, need);
	message_send(ledger, to);
}

bool submission_read(struct ledger *ledger, struct reader *reader,
		     struct submission *submission)
{
	struct policy_request *need = &submission->need;
	int64_t now = clock_now(ledger->clock);
	uint64_t flags, age;

	memset(submission, 0, sizeof(*submission));
	submission->epoch = (uint32_t)read_u(reader);
	submission->request = read_u(reader);
	submission->attempt = (uint32_t)read_u(reader);
	submission->service = (uint32_t)read_u(reader);
	submission->key = read_u(reader);
	submission->fingerprint = read_u(reader);
	flags = read_u(reader);
	submission->idempotent = flags & SUBMIT_IDEMPOTENT;
	submission->adopt = flags & SUBMIT_ADOPT;
	submission->no_redirect = flags & SUBMIT_NO_REDIRECT;
	submission->previous_freed = flags & SUBMIT_PREVIOUS_FREED;
	need->class =
		flags & SUBMIT_DEFERRABLE ? CLASS_DEFERRABLE : CLASS_URGENT;
	need->prompt_tokens = (uint32_t)read_u(reader);
	need->output_tokens_max = (uint32_t)read_u(reader);
	age = read_u(reader);
	need->arrived = now - (int64_t)MIN(age, G_MAXINT32) * USEC_PER_MSEC;
	need->deadline = time_unpack(read_u(reader), now);
	need->first_token_by = time_unpack(read_u(reader), now);
	need->organisation = read_u(reader);
	need->attempt = submission->attempt;
	return blocks_read(reader, need) && !reader->bad;
}

void entries_init(struct entries *entries)
{
	msgpack_sbuffer_init(&entries->buffer);
	msgpack_packer_init(&entries->packer, &entries->buffer,
			    msgpack_sbuffer_write);
	entries->count = 0;
}

void entries_clear(struct entries *entries)
{
	msgpack_sbuffer_destroy(&entries->buffer);
}

void entries_add(struct entries *entries, const void *data, size_t size)
{
	msgpack_sbuffer_write(&entries->buffer, data, size);
	entries->count++;
}

GBytes *entries_take(struct entries *entries)
{
	msgpack_sbuffer array;
	msgpack_packer packer;
	GBytes *bytes;

	msgpack_sbuffer_init(&array);
	msgpack_packer_init(&packer, &array, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, entries->count);
	if (entries->buffer.size > 0)
		msgpack_sbuffer_write(&array, entries->buffer.data,
				      entries->buffer.size);
	bytes = g_bytes_new(array.data, array.size);
	msgpack_sbuffer_destroy(&array);
	msgpack_sbuffer_clear(&entries->buffer);
	entries->count = 0;
	return bytes;
}

bool entries_each(const void *data, size_t size, entry_fn fn, void *ctx)
{
	msgpack_zone zone;
	msgpack_object object;
	struct reader reader;
	bool is_array = false;

	if (!msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE))
		return false;
	if (codec_unpack(&zone, data, size, &object) &&
	    object.type == MSGPACK_OBJECT_ARRAY) {
		is_array = true;
		for (uint32_t i = 0; i < object.via.array.size; i++) {
			if (reader_open(&reader, &object.via.array.ptr[i]))
				fn(ctx, &reader);
		}
	}
	msgpack_zone_destroy(&zone);
	if (!is_array)
		log_event(LOG_ERR, "ledger_entries_bad", LOG_D("size", size));
	return is_array;
}

#define GRANT_IDEMPOTENT 1u
#define GRANT_IS_CLOSING 2u
#define GRANT_DEFERRABLE 4u

static msgpack_packer *entry_begin(struct entries *entries, uint32_t fields)
{
	entries->count++;
	msgpack_pack_array(&entries->packer, fields);
	return &entries->packer;
}

void grant_entry_pack(struct entries *entries, enum entry_kind kind,
		      const struct grant_entry *entry)
{
	msgpack_packer *packer = entry_begin(entries, 17);
	uint32_t flags = 0;

	flags |= entry->idempotent ? GRANT_IDEMPOTENT : 0;
	flags |= entry->closing ? GRANT_IS_CLOSING : 0;
	flags |= entry->class == CLASS_DEFERRABLE ? GRANT_DEFERRABLE : 0;
	pack_u(packer, kind);
	pack_owner(packer, &entry->owner);
	pack_u(packer, entry->request);
	pack_u(packer, entry->attempt);
	pack_owner(packer, &entry->tag.owner);
	pack_u(packer, entry->tag.request);
	pack_u(packer, entry->tag.attempt);
	pack_u(packer, entry->key);
	pack_u(packer, entry->fingerprint);
	pack_u(packer, entry->service);
	pack_u(packer, flags);
	pack_u(packer, entry->prefill);
	pack_u(packer, entry->decode);
	pack_u(packer, entry->pieces);
	pack_text(packer, entry->stream);
}

bool grant_entry_read(struct reader *reader, struct grant_entry *entry)
{
	uint64_t flags;

	memset(entry, 0, sizeof(*entry));
	entry->owner = read_owner(reader);
	entry->request = read_u(reader);
	entry->attempt = (uint32_t)read_u(reader);
	entry->tag.owner = read_owner(reader);
	entry->tag.request = read_u(reader);
	entry->tag.attempt = (uint32_t)read_u(reader);
	entry->key = read_u(reader);
	entry->fingerprint = read_u(reader);
	entry->service = (uint32_t)read_u(reader);
	flags = read_u(reader);
	entry->idempotent = flags & GRANT_IDEMPOTENT;
	entry->closing = flags & GRANT_IS_CLOSING;
	entry->class =
		flags & GRANT_DEFERRABLE ? CLASS_DEFERRABLE : CLASS_URGENT;
	entry->prefill = read_u(reader);
	entry->decode = read_u(reader);
	entry->pieces = (uint32_t)read_u(reader);
	read_text(reader, entry->stream, sizeof(entry->stream));
	return !reader->bad;
}

void record_entry_pack(struct entries *entries, const struct record *record,
		       int64_t now)
{
	msgpack_packer *packer = entry_begin(entries, 18);

	pack_u(packer, ENTRY_RECORD);
	pack_u(packer, record->key);
	pack_u(packer, record->state);
	pack_u(packer, record->fingerprint);
	pack_owner(packer, &record->owner);
	pack_u(packer, record->owner_request);
	pack_u(packer, record->attempt);
	pack_owner(packer, &record->tag.owner);
	pack_u(packer, record->tag.request);
	pack_u(packer, record->tag.attempt);
	pack_u(packer, record->decode);
	pack_u(packer, record->pieces);
	pack_u(packer, record->service);
	pack_u(packer, record->idempotent);
	pack_u(packer, time_pack(record->expires, now));
	pack_text(packer, record->stream);
}

void record_entry_remove(struct entries *entries, uint64_t key)
{
	msgpack_packer *packer = entry_begin(entries, 3);

	pack_u(packer, ENTRY_RECORD);
	pack_u(packer, key);
	pack_u(packer, RECORD_REMOVED);
}

bool record_entry_read(struct reader *reader, struct record *record,
		       int64_t now)
{
	uint64_t state;

	memset(record, 0, sizeof(*record));
	record->key = read_u(reader);
	state = read_u(reader);
	if (state > RECORD_REMOVED || record->key == 0)
		return false;
	record->state = (enum record_state)state;
	if (state == RECORD_REMOVED)
		return !reader->bad;
	record->fingerprint = read_u(reader);
	record->owner = read_owner(reader);
	record->owner_request = read_u(reader);
	record->attempt = (uint32_t)read_u(reader);
	record->tag.owner = read_owner(reader);
	record->tag.request = read_u(reader);
	record->tag.attempt = (uint32_t)read_u(reader);
	record->decode = read_u(reader);
	record->pieces = (uint32_t)read_u(reader);
	record->service = (uint32_t)read_u(reader);
	record->idempotent = read_u(reader) != 0;
	record->expires = time_unpack(read_u(reader), now);
	read_text(reader, record->stream, sizeof(record->stream));
	return !reader->bad;
}
