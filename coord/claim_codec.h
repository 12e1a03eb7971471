/*
 * claim_codec.h - encoding of the records of the stream "claims", and of the
 *		   messages between instances and their claim writers
 */
#ifndef COORD_CLAIM_CODEC_H
#define COORD_CLAIM_CODEC_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/id.h"

/* Identity of a claim; a repeated append has the same one. */
struct claim_id {
	struct owner owner;
	uint64_t request;
};

struct claim {
	uint64_t key;
	struct claim_id id;
};

/* [writer's instance, incarnation, sequence, [key, owner's instance,
 *  owner's incarnation, request, ...]] */
struct claim_record {
	struct owner writer;
	uint64_t sequence;
	GArray *claims; /* struct claim */
};

enum claim_reply_kind {
	CLAIM_REPLY_PENDING, /* accepted, and not decided yet */
	CLAIM_REPLY_WON,
	CLAIM_REPLY_LOST,	  /* winner has the key */
	CLAIM_REPLY_NOT_APPENDED, /* given up, certainly not appended */
	CLAIM_REPLY_UNDECIDED,	  /* given up, possibly appended */
	CLAIM_REPLY_DECLINED,	  /* not accepted: try the other writer */
	CLAIM_REPLY_COUNT,
};

/* The first element of a message. */
enum claim_message_kind {
	CLAIM_MESSAGE_REQUEST,
	CLAIM_MESSAGE_REPLY,
};

struct claim_message {
	enum claim_message_kind kind;
	uint64_t request;
	uint64_t incarnation; /* of the requesting instance */
	uint64_t attempt;     /* counts requests; echoed in the reply */
	uint64_t key;	      /* request only */
	uint64_t decide_usec; /* request only: time left to decide */
	enum claim_reply_kind reply;
	struct owner winner; /* reply only */
};

guint claim_id_hash(gconstpointer id);
gboolean claim_id_equal(gconstpointer a, gconstpointer b);

void claim_record_encode(msgpack_sbuffer *out,
			 const struct claim_record *record);
/* Replaces the content of the record and of its claims array; returns false
 * when the data is malformed. */
bool claim_record_decode(struct claim_record *record, const void *data,
			 size_t size);
void claim_message_encode(msgpack_sbuffer *out,
			  const struct claim_message *message);
bool claim_message_decode(struct claim_message *message, const void *data,
			  size_t size);

#endif
