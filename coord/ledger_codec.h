/*
 * ledger_codec.h - the ledger's messages as MessagePack arrays
 *
 * DESCRIPTION
 *	Every message is an array [type, holder's incarnation, ...]. Times go as
 *	milliseconds from the moment of sending, since clocks differ.
 */
#ifndef COORD_LEDGER_CODEC_H
#define COORD_LEDGER_CODEC_H

#include "common/pack.h"
#include "ledger_types.h"

enum message_type {
	MESSAGE_SUBMIT = 1,
	MESSAGE_GRANT,
	MESSAGE_REFUSE,
	MESSAGE_DUPLICATE,
	MESSAGE_ACKS,
	MESSAGE_RELEASE,
	MESSAGE_PROGRESS,
	MESSAGE_REVOKE,
	MESSAGE_ANNOUNCE,
	MESSAGE_ANNOUNCE_ACK,
	MESSAGE_RECORDS,
	MESSAGE_RECORDS_ACK,
	MESSAGE_UNKNOWN_EPOCH,
	MESSAGE_KEYS, /* between data centres; its incarnation is 0 */
	MESSAGE_ELSEWHERE,
};

enum ack_kind {
	ACK_QUEUED,
	ACK_RELEASED,
	ACK_GRANTED, /* to the home */
	ACK_PROGRESS,
};
#define ACK_SIZE 9u

/* Walks the fields of one array; bad once a field is missing or of a wrong
 * type, and then yields zeros. */
struct reader {
	const msgpack_object *at;
	uint32_t left;
	bool bad;
};

bool reader_open(struct reader *reader, const msgpack_object *object);
uint64_t read_u(struct reader *reader);
const void *read_bin(struct reader *reader, uint32_t *size);
/* Copies a string, cut off to size with its end mark. */
void read_text(struct reader *reader, char *text, size_t size);
struct owner read_owner(struct reader *reader);

void pack_u(msgpack_packer *packer, uint64_t value);
void pack_bin(msgpack_packer *packer, const void *data, size_t size);
void pack_owner(msgpack_packer *packer, const struct owner *owner);

/* Opens a message of so many fields after type and incarnation. */
msgpack_packer *message_begin(struct ledger *ledger, enum message_type type,
			      uint64_t incarnation, uint32_t fields);
void message_send(struct ledger *ledger, uint64_t to);
/* Sends a message of two numbers to an instance of that incarnation. */
void message_send_pair(struct ledger *ledger, const struct owner *to,
		       enum message_type type, uint64_t first, uint64_t second);

/* An ask as it stands in the message. */
struct submission {
	uint32_t epoch;
	uint64_t request;
	uint32_t attempt;
	uint32_t service;
	uint64_t key;
	uint64_t fingerprint;
	bool idempotent;
	bool adopt;
	bool here;
	bool former_free;
	struct policy_request need;
};

void submission_send(struct ledger *ledger, uint64_t to, uint32_t epoch,
		     const struct item *item);
bool submission_read(struct ledger *ledger, struct reader *reader,
		     struct submission *submission);

/* Announcements and record batches carry entries, each an array, in one array.
 */
struct entries {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint32_t count;
};

void entries_init(struct entries *entries);
void entries_clear(struct entries *entries);
/* Adds one that was packed before. */
void entries_add(struct entries *entries, const void *data, size_t size);
/* Takes out all that were added. */
GBytes *entries_take(struct entries *entries);

typedef void (*entry_fn)(void *ctx, struct reader *reader);
/* False when data is no array of arrays. */
bool entries_each(const void *data, size_t size, entry_fn fn, void *ctx);

enum entry_kind {
	ENTRY_GRANT,
	ENTRY_ORPHAN,
	ENTRY_RECORD,
};

/* A grant as its holder, or the former home, tells the new home. */
struct grant_entry {
	struct owner owner;
	uint64_t request;
	uint32_t attempt;
	struct tag tag;
	uint64_t key;
	uint64_t fingerprint;
	uint32_t service;
	bool idempotent;
	bool closing;
	enum request_class class;
	uint64_t prefill;
	uint64_t decode;
	uint32_t pieces;
	char stream[LEDGER_STREAM_MAX];
};

void grant_entry_pack(struct entries *entries, enum entry_kind kind,
		      const struct grant_entry *entry);
bool grant_entry_read(struct reader *reader, struct grant_entry *entry);
void record_entry_pack(struct entries *entries, const struct record *record,
		       int64_t now);
void record_entry_remove(struct entries *entries, uint64_t key);
/* Fills all but the pointers; expires is made absolute. */
bool record_entry_read(struct reader *reader, struct record *record,
		       int64_t now);

#endif
