/*
 * ledger_codec.h - the ledger's messages as MessagePack arrays
 *
 * DESCRIPTION
 *	Every message is an array [type, holder's incarnation, ...]. Times are
 *	sent as milliseconds from the time of sending, since clocks differ.
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
	MESSAGE_KEYS, /* between data centres; incarnation is 0 */
	MESSAGE_ELSEWHERE,
};

enum ack_kind {
	ACK_QUEUED,
	ACK_RELEASED,
	ACK_GRANTED, /* from holder to home; the others from home to holder */
	ACK_PROGRESS,
};
#define ACK_SIZE 9u

/* Reads the fields of one array. A missing field or one of a wrong type sets
 * bad; every read from then on returns zeros. */
struct reader {
	const msgpack_object *at;
	uint32_t left;
	bool bad;
};

bool reader_open(struct reader *reader, const msgpack_object *object);
uint64_t read_u(struct reader *reader);
const void *read_bin(struct reader *reader, uint32_t *size);
/* Copies a string, truncated to size including the terminating zero. */
void read_text(struct reader *reader, char *text, size_t size);
struct owner read_owner(struct reader *reader);

void pack_u(msgpack_packer *packer, uint64_t value);
void pack_bin(msgpack_packer *packer, const void *data, size_t size);
void pack_owner(msgpack_packer *packer, const struct owner *owner);

/* fields is their number after type and incarnation. */
msgpack_packer *message_begin(struct ledger *ledger, enum message_type type,
			      uint64_t incarnation, uint32_t fields);
void message_send(struct ledger *ledger, uint64_t to);
/* Sends a message of two numbers for that incarnation of an instance. */
void message_send_pair(struct ledger *ledger, const struct owner *to,
		       enum message_type type, uint64_t first, uint64_t second);

/* The content of MESSAGE_SUBMIT. */
struct submission {
	uint32_t epoch;
	uint64_t request;
	uint32_t attempt;
	uint32_t service;
	uint64_t key;
	uint64_t fingerprint;
	bool idempotent;
	bool adopt;
	bool no_redirect;
	bool previous_freed;
	struct policy_request need;
};

void submission_send(struct ledger *ledger, uint64_t to, uint32_t epoch,
		     const struct item *item);
bool submission_read(struct ledger *ledger, struct reader *reader,
		     struct submission *submission);

/* The body of an announcement or of a batch of records: an array of arrays. */
struct entries {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint32_t count;
};

void entries_init(struct entries *entries);
void entries_clear(struct entries *entries);
/* Adds an entry that is already packed. */
void entries_add(struct entries *entries, const void *data, size_t size);
/* Returns the array and empties entries. */
GBytes *entries_take(struct entries *entries);

typedef void (*entry_fn)(void *ctx, struct reader *reader);
/* Returns false and calls nothing if data is not an array; elements that are
 * not arrays are skipped. */
bool entries_each(const void *data, size_t size, entry_fn fn, void *ctx);

enum entry_kind {
	ENTRY_GRANT,
	ENTRY_ORPHAN,
	ENTRY_RECORD,
};

/* A grant as its holder or the former home announces it to the new home. */
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
/* Leaves the pointers NULL; expires becomes an absolute time. */
bool record_entry_read(struct reader *reader, struct record *record,
		       int64_t now);

#endif
