#include <string.h>

#include "codec.h"
#include "common/pack.h"
#include "fold_private.h"

/* A record is [format, kind, revision, through, instance, incarnation, number,
 * author, content]. */
#define RECORD_FORMAT 1
#define RECORD_FIELDS 9u
#define AUDIT_FIELDS 8u

static bool text_decode(const msgpack_object *object, char *to, size_t max)
{
	const char *data;
	size_t size;

	if (!codec_bytes(object, max - 1, &data, &size) ||
	    (size && memchr(data, 0, size)))
		return false;
	if (size)
		memcpy(to, data, size);
	to[size] = '\0';
	return true;
}

bool record_decode(struct fold *f, const void *data, size_t size,
		   struct fold_record *record)
{
	const msgpack_object *fields;
	msgpack_object object;
	uint64_t values[7];
	const char *content;
	uint32_t count;

	msgpack_zone_clear(&f->record_zone);
	if (!codec_unpack(&f->record_zone, data, size, &object))
		return false;
	fields = codec_array(&object, RECORD_FIELDS, &count);
	if (!fields || !codec_uints(fields, G_N_ELEMENTS(values), values))
		return false;
	if (values[0] != RECORD_FORMAT || values[1] < RECORD_PROPOSAL ||
	    values[1] > RECORD_REAPPEND)
		return false;
	record->kind = values[1];
	record->revision = values[2];
	record->through = values[3];
	record->tag = (struct fold_tag){values[4], values[5], values[6]};
	if (!text_decode(&fields[7], record->author, sizeof(record->author)) ||
	    !codec_bytes(&fields[8], FOLD_RECORD_MAX, &content, &record->size))
		return false;
	record->content = content;
	return true;
}

void record_pack(msgpack_sbuffer *out, const struct fold_record *record)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, RECORD_FIELDS);
	msgpack_pack_uint8(&packer, RECORD_FORMAT);
	msgpack_pack_uint8(&packer, record->kind);
	msgpack_pack_uint64(&packer, record->revision);
	msgpack_pack_uint64(&packer, record->through);
	msgpack_pack_uint64(&packer, record->tag.instance);
	msgpack_pack_uint64(&packer, record->tag.incarnation);
	msgpack_pack_uint64(&packer, record->tag.number);
	pack_text(&packer, record->author);
	codec_pack_bytes(&packer, record->content, record->size);
}

/* [kind, revision, audit_next, through, content or nil, audits, gap]; the last
 * four in SPREAD_STATE only. */
bool spread_decode(struct fold *f, const void *data, size_t size,
		   struct spread_message *spread)
{
	const msgpack_object *fields;
	msgpack_object object;
	uint64_t kind;
	uint64_t gap;
	const char *content;
	uint32_t count;

	memset(spread, 0, sizeof(*spread));
	msgpack_zone_clear(&f->zone);
	if (!codec_unpack(&f->zone, data, size, &object))
		return false;
	fields = codec_array(&object, 3, &count);
	if (!fields || !codec_uint(&fields[0], SPREAD_STATE, &kind) ||
	    !codec_uint(&fields[1], UINT64_MAX, &spread->revision) ||
	    !codec_uint(&fields[2], UINT64_MAX, &spread->audit_next))
		return false;
	spread->kind = kind;
	if (kind != SPREAD_STATE)
		return kind != 0;
	if (count < 7 ||
	    !codec_uint(&fields[3], UINT64_MAX, &spread->through) ||
	    !codec_uint(&fields[6], 1, &gap))
		return false;
	spread->audit_gap = gap;
	spread->has_content = fields[4].type != MSGPACK_OBJECT_NIL;
	if (spread->has_content) {
		if (!codec_bytes(&fields[4], FOLD_RECORD_MAX, &content,
				 &spread->size))
			return false;
		spread->content = content;
	}
	spread->audits = codec_array(&fields[5], 0, &spread->audit_count);
	return fields[5].type == MSGPACK_OBJECT_ARRAY;
}

bool audit_decode(const msgpack_object *object, struct fold_audit *audit)
{
	const msgpack_object *fields;
	uint32_t count;
	uint64_t values[6];

	memset(audit, 0, sizeof(*audit));
	fields = codec_array(object, AUDIT_FIELDS, &count);
	if (!fields)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		if (!codec_uint(&fields[i], INT64_MAX, &values[i]) &&
		    !(i == 4 && codec_uint(&fields[i], UINT64_MAX, &values[i])))
			return false;
	}
	audit->offset = values[0];
	audit->base = values[1];
	audit->unix_us = (int64_t)values[2];
	audit->code = (enum result_code)values[3];
	audit->content_hash = values[4];
	audit->size = values[5];
	return text_decode(&fields[6], audit->author, sizeof(audit->author)) &&
	       text_decode(&fields[7], audit->reason, sizeof(audit->reason));
}

void audit_pack(msgpack_packer *packer, const struct fold_audit *audit)
{
	msgpack_pack_array(packer, AUDIT_FIELDS);
	msgpack_pack_uint64(packer, audit->offset);
	msgpack_pack_uint64(packer, audit->base);
	msgpack_pack_uint64(packer, (uint64_t)MAX(audit->unix_us, 0));
	msgpack_pack_uint64(packer, (uint64_t)audit->code);
	msgpack_pack_uint64(packer, audit->content_hash);
	msgpack_pack_uint64(packer, audit->size);
	pack_text(packer, audit->author);
	pack_text(packer, audit->reason);
}
