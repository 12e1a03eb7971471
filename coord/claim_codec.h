/*
 * claim_codec.h - the records of the stream "claims", and the messages between
 *		   those who ask for claims and the claim writers
 */
#ifndef COORD_CLAIM_CODEC_H
#define COORD_CLAIM_CODEC_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/id.h"

/* What names a claim: appended twice, it is still the same. */
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
	CLAIM_REPLY_PENDING, /* taken, and not decided yet */
	CLAIM_REPLY_WON,
	CLAIM_REPLY_LOST,	  /* the winner is in owner */
	CLAIM_REPLY_NOT_APPENDED, /* given up, and surely not appended */
	CLAIM_REPLY_UNDECIDED,	  /* given up, and maybe appended */
	CLAIM_REPLY_DECLINED,	  /* not taken: ask the other writer */
	CLAIM_REPLY_COUNT,
};

/* An ask and its reply are told apart by their first element. */
enum claim_message_kind {
	CLAIM_MESSAGE_REQUEST,
	CLAIM_MESSAGE_REPLY,
};

struct claim_message {
	enum claim_message_kind kind;
	uint64_t request;
	uint64_t incarnation; /* of the instance that asks */
	uint64_t attempt;     /* counts the asks; echoed in the reply */
	uint64_t key;	      /* ask only */
	uint64_t decide_usec; /* ask only: microseconds to decide within */
	enum claim_reply_kind reply;
	struct owner winner; /* reply only */
};

guint claim_id_hash(gconstpointer id);
gboolean claim_id_equal(gconstpointer a, gconstpointer b);

void claim_record_encode(msgpack_sbuffer *out,
			 const struct claim_record *record);
/* Fills the record, whose claims array is emptied first; false when malformed.
 */
bool claim_record_decode(struct claim_record *record, const void *data,
			 size_t size);
void claim_message_encode(msgpack_sbuffer *out,
			  const struct claim_message *message);
bool claim_message_decode(struct claim_message *message, const void *data,
			  size_t size);

#endif
