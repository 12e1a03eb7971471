#include <string.h>

#include "codec.h"
#include "common/pack.h"
#include "member_private.h"

/*
 * A message is [kind, incarnation, level, flags, view, a, b, items]; each item
 * is an array that starts with its kind.
 */
#define WIRE_FIELDS 8u

bool wire_decode(struct membership *m, const void *data, size_t size,
		 struct wire *wire)
{
	const uint64_t limits[] = {WIRE_KIND_MAX - 1, INT64_MAX,  UINT32_MAX,
				   UINT32_MAX,	      UINT64_MAX, UINT64_MAX,
				   UINT64_MAX};
	uint64_t values[G_N_ELEMENTS(limits)];
	const msgpack_object *fields;
	msgpack_object object;
	uint32_t count;

	msgpack_zone_clear(&m->zone);
	if (!codec_unpack(&m->zone, data, size, &object))
		return false;
	fields = codec_array(&object, WIRE_FIELDS, &count);
	if (!fields)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
		if (!codec_uint(&fields[i], limits[i], &values[i]))
			return false;
	}
	if (!values[0] || values[2] == LEVEL_DEAD)
		return false;
	wire->kind = values[0];
	wire->incarnation = values[1];
	wire->level = values[2];
	wire->flags = values[3];
	wire->view_hash = values[4];
	wire->a = values[5];
	wire->b = values[6];
	wire->item_count = 0;
	wire->items = codec_array(&fields[7], 0, &wire->item_count);
	return wire->items || fields[7].type == MSGPACK_OBJECT_ARRAY;
}

static bool text_decode(const msgpack_object *object, size_t max,
			struct text *text)
{
	size_t size;

	if (!codec_bytes(object, max, &text->data, &size))
		return false;
	text->size = size;
	return true;
}

static bool row_decode(const msgpack_object *fields, uint32_t count,
		       struct item *item)
{
	uint64_t leaving;

	if (count < 5 || !codec_uint(&fields[1], UINT64_MAX, &item->id) ||
	    !codec_uint(&fields[2], INT64_MAX, &item->version) ||
	    !codec_uint(&fields[3], UINT32_MAX, &item->number) ||
	    !codec_uint(&fields[4], 1, &leaving))
		return false;
	item->leaving = leaving;
	if (item->kind == ITEM_ROW)
		return true;
	if (count < 9)
		return false;
	for (int i = 0; i < 4; i++) {
		if (!text_decode(&fields[5 + i], MEMBER_NAME_MAX - 1,
				 &item->names[i]))
			return false;
		if (memchr(item->names[i].data, 0, item->names[i].size))
			return false;
	}
	return item->names[0].size && item->names[1].size &&
	       id_hash(item->names[0].data, item->names[0].size) == item->id;
}

static bool fact_decode(const msgpack_object *fields, uint32_t count,
			struct item *item)
{
	return count >= 5 && codec_uint(&fields[1], UINT64_MAX, &item->id) &&
	       codec_uint(&fields[2], UINT64_MAX, &item->version) &&
	       codec_uint(&fields[3], UINT32_MAX, &item->number) &&
	       text_decode(&fields[4], FACT_BYTES_MAX, &item->value);
}

static bool pair_decode(const msgpack_object *fields, uint32_t count,
			struct item *item)
{
	if (count < 2 || !codec_uint(&fields[1], UINT64_MAX, &item->id))
		return false;
	if (item->kind == ITEM_ID)
		return true;
	if (count < 3 || !codec_uint(&fields[2], UINT64_MAX, &item->version))
		return false;
	if (item->kind != ITEM_REACH)
		return true;
	return count >= 4 && codec_uint(&fields[3], REACH_DOWN, &item->number);
}

bool item_decode(const msgpack_object *object, struct item *item)
{
	const msgpack_object *fields;
	uint64_t kind;
	uint32_t count;

	memset(item, 0, sizeof(*item));
	fields = codec_array(object, 1, &count);
	if (!fields || !codec_uint(&fields[0], ITEM_KIND_MAX - 1, &kind))
		return false;
	item->kind = kind;
	switch (item->kind) {
	case ITEM_ROW:
	case ITEM_NAMED:
		return row_decode(fields, count, item);
	case ITEM_FACT:
		return fact_decode(fields, count, item);
	default:
		return pair_decode(fields, count, item);
	}
}

/* Items go to a buffer of their own, because their number precedes them on the
 * wire. */
void wire_begin(struct membership *m)
{
	msgpack_sbuffer_clear(&m->items);
	m->item_count = 0;
}

size_t wire_size(const struct membership *m)
{
	return m->items.size;
}

static void item_begin(struct membership *m, msgpack_packer *packer,
		       enum item_kind kind, uint32_t fields)
{
	msgpack_packer_init(packer, &m->items, msgpack_sbuffer_write);
	msgpack_pack_array(packer, fields);
	msgpack_pack_uint8(packer, kind);
	m->item_count++;
}

void pack_row(struct membership *m, const struct peer *p, bool named)
{
	msgpack_packer packer;

	item_begin(m, &packer, named ? ITEM_NAMED : ITEM_ROW, named ? 9 : 5);
	msgpack_pack_uint64(&packer, p->view.id);
	msgpack_pack_uint64(&packer, p->view.incarnation);
	msgpack_pack_uint32(&packer, p->level);
	msgpack_pack_uint8(&packer, p->leaving);
	if (!named)
		return;
	pack_text(&packer, p->view.name);
	pack_text(&packer, p->view.data_centre);
	pack_text(&packer, p->view.peer_address);
	pack_text(&packer, p->view.http_address);
}

void pack_fact(struct membership *m, const struct fact *fact)
{
	int64_t age = (clock_now(m->clock) - fact->set_at) / USEC_PER_SEC;
	msgpack_packer packer;

	item_begin(m, &packer, ITEM_FACT, 5);
	msgpack_pack_uint64(&packer, fact->key);
	msgpack_pack_uint64(&packer, fact->version);
	msgpack_pack_uint32(&packer, CLAMP(age, 0, INT32_MAX));
	codec_pack_bytes(&packer, fact->value, fact->size);
}

void pack_pair(struct membership *m, enum item_kind kind, uint64_t id,
	       uint64_t version)
{
	msgpack_packer packer;

	item_begin(m, &packer, kind, 3);
	msgpack_pack_uint64(&packer, id);
	msgpack_pack_uint64(&packer, version);
}

void pack_reach(struct membership *m, const struct centre *c)
{
	msgpack_packer packer;

	item_begin(m, &packer, ITEM_REACH, 4);
	msgpack_pack_uint64(&packer, c->id);
	msgpack_pack_uint64(&packer, c->version);
	msgpack_pack_uint8(&packer, c->reach);
}

void pack_id(struct membership *m, uint64_t id)
{
	msgpack_packer packer;

	item_begin(m, &packer, ITEM_ID, 2);
	msgpack_pack_uint64(&packer, id);
}

void wire_send(struct membership *m, uint64_t to, enum wire_kind kind,
	       uint32_t flags, uint64_t a, uint64_t b)
{
	msgpack_packer packer;

	msgpack_sbuffer_clear(&m->out);
	msgpack_packer_init(&packer, &m->out, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, WIRE_FIELDS);
	msgpack_pack_uint8(&packer, kind);
	msgpack_pack_uint64(&packer, m->self->view.incarnation);
	msgpack_pack_uint32(&packer, m->self->level);
	msgpack_pack_uint32(&packer,
			    flags | (m->self->leaving ? WIRE_LEAVING : 0));
	msgpack_pack_uint64(&packer, view_hash_for(m, to));
	msgpack_pack_uint64(&packer, a);
	msgpack_pack_uint64(&packer, b);
	msgpack_pack_array(&packer, m->item_count);
	if (m->items.size)
		msgpack_sbuffer_write(&m->out, m->items.data, m->items.size);
	m->stats.sent++;
	m->stats.sent_bytes += m->out.size;
	m->transport.send(m->transport.ctx, to, CHANNEL_MEMBER, m->out.data,
			  m->out.size);
}
