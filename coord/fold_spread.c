#include <string.h>

#include "codec.h"
#include "common/log.h"
#include "fold_private.h"

#define CENTRES_MAX 64u
/* Pulls, one a second, after which missing entries are given up. */
#define AUDIT_PULLS_MAX 30u

static void spread_send(struct fold *f, uint64_t to)
{
	f->transport.send(f->transport.ctx, to, CHANNEL_CONFIG, f->out.data,
			  f->out.size);
}

static void spread_begin(struct fold *f, msgpack_packer *packer,
			 enum spread_kind kind, uint32_t fields)
{
	msgpack_sbuffer_clear(&f->out);
	msgpack_packer_init(packer, &f->out, msgpack_sbuffer_write);
	msgpack_pack_array(packer, fields);
	msgpack_pack_uint8(packer, kind);
	msgpack_pack_uint64(packer, f->revision);
	if (kind == SPREAD_PULL && f->audit_gap)
		msgpack_pack_uint64(packer, f->audit_from);
	else
		msgpack_pack_uint64(packer, f->audit_next);
}

static void advert_send(struct fold *f, uint64_t to)
{
	msgpack_packer packer;

	spread_begin(f, &packer, SPREAD_ADVERT, 3);
	spread_send(f, to);
}

static bool peer_usable(const struct fold *f, const struct member *member,
			bool local)
{
	const struct member *self = membership_self(f->membership);

	return member->id != self->id && member->state != MEMBER_DEAD &&
	       !strcmp(member->data_centre, self->data_centre) == local;
}

/* Picks count of the usable members at random by reservoir sampling. */
static int peers_pick(struct fold *f, uint64_t *ids, int count)
{
	const struct member *member;
	uint32_t cursor = 0;
	int seen = 0;

	while ((member = membership_next(f->membership, &cursor))) {
		int at = seen;

		if (!peer_usable(f, member, true))
			continue;
		if (seen++ >= count)
			at = g_rand_int_range(f->rand, 0, seen);
		if (at < count)
			ids[at] = member->id;
	}
	return MIN(seen, count);
}

/* Fills the names of the other data centres that have usable members. */
static uint32_t remote_centres(struct fold *f, const char **centres)
{
	const struct member *member;
	uint32_t cursor = 0;
	uint32_t count = 0;

	while (count < CENTRES_MAX &&
	       (member = membership_next(f->membership, &cursor))) {
		uint32_t i = 0;

		if (!peer_usable(f, member, false))
			continue;
		while (i < count &&
		       strcmp(centres[i], member->data_centre) != 0)
			i++;
		if (i == count)
			centres[count++] = member->data_centre;
	}
	return count;
}

static void remote_advert(struct fold *f, const char *centre, uint32_t rank)
{
	uint64_t id =
		membership_home(f->membership, centre, fold_reader_key(), rank);

	if (id)
		advert_send(f, id);
}

/* Pulls missing entries from one peer after another, local and remote in turn.
 */
static void audit_gap_pull(struct fold *f, uint64_t local_peer)
{
	const char *centres[CENTRES_MAX];
	uint32_t pull = f->audit_pulls++;
	uint32_t count = remote_centres(f, centres);
	uint64_t id = local_peer;

	if (pull >= AUDIT_PULLS_MAX) {
		f->audit_gap = false;
		return;
	}
	if (count && (!local_peer || pull % 2))
		id = membership_home(f->membership, centres[pull / 2 % count],
				     fold_reader_key(), pull % 2);
	if (id)
		spread_pull(f, id);
}

void spread_tick(struct fold *f)
{
	const char *centres[CENTRES_MAX];
	uint32_t tick = f->round++;
	uint64_t local_peer = 0;
	uint32_t count;

	if (peers_pick(f, &local_peer, 1))
		advert_send(f, local_peer);
	if (f->audit_gap)
		audit_gap_pull(f, local_peer);
	if (!fold_is_reader(f))
		return;
	count = remote_centres(f, centres);
	if (count)
		remote_advert(f, centres[tick % count], tick / count % 2);
}

void spread_changed(struct fold *f)
{
	const char *centres[CENTRES_MAX];
	uint64_t ids[FOLD_FANOUT];
	uint32_t count;
	int picked;

	if (!f->started)
		return;
	picked = peers_pick(f, ids, FOLD_FANOUT);
	for (int i = 0; i < picked; i++)
		advert_send(f, ids[i]);
	if (!fold_is_reader(f))
		return;
	count = remote_centres(f, centres);
	for (uint32_t i = 0; i < 2 * count; i++)
		remote_advert(f, centres[i / 2], i % 2);
}

void spread_pull(struct fold *f, uint64_t from)
{
	int64_t now = clock_now(f->clock);
	msgpack_packer packer;

	if (f->pulling && now - f->pulled_at < FOLD_PULL_USEC)
		return;
	f->pulling = true;
	f->pulled_at = now;
	spread_begin(f, &packer, SPREAD_PULL, 3);
	spread_send(f, from);
}

/* Pulls or advertises, never both: two instances that each lack something would
 * otherwise answer each other without end. */
static void advert_receive(struct fold *f, uint64_t from,
			   const struct spread_message *spread)
{
	if (spread->revision > f->revision ||
	    spread->audit_next > f->audit_next)
		spread_pull(f, from);
	else if (spread->revision < f->revision ||
		 spread->audit_next < f->audit_next)
		advert_send(f, from);
}

static void pull_receive(struct fold *f, uint64_t from,
			 const struct spread_message *spread)
{
	guint first = f->audits->len;
	msgpack_packer packer;

	spread_begin(f, &packer, SPREAD_STATE, 7);
	msgpack_pack_uint64(&packer, f->through);
	if (f->revision > spread->revision)
		codec_pack_bytes(&packer, f->content, f->size);
	else
		msgpack_pack_nil(&packer);
	while (first > 0 && f->audits->len - first < FOLD_AUDITS_SENT &&
	       g_array_index(f->audits, struct fold_audit, first - 1).offset >
		       spread->audit_next)
		first--;
	msgpack_pack_array(&packer, f->audits->len - first);
	for (guint i = first; i < f->audits->len; i++)
		audit_pack(&packer,
			   &g_array_index(f->audits, struct fold_audit, i));
	msgpack_pack_uint8(&packer, f->audit_gap);
	spread_send(f, from);
}

static bool state_usable(struct fold *f, const struct spread_message *spread)
{
	struct error err = {.code = RESULT_BAD_CONFIG};

	if (!f->ops.check ||
	    f->ops.check(f->ctx, spread->content, spread->size, &err))
		return true;
	log_event(LOG_ERR, "config_unusable",
		  LOG_D("revision", spread->revision),
		  LOG_S("reason", err.text));
	return false;
}

static const char *state_author(const struct fold *f, uint64_t revision)
{
	const struct fold_audit *audit = audit_find(f, revision - 1);

	return audit ? audit->author : "";
}

static void state_audits(struct fold *f, const struct spread_message *spread)
{
	struct fold_audit audit;

	/* A gap is inherited with the state, and closed by a state without one.
	 */
	if (spread->audit_gap && spread->audit_next > f->audit_next)
		audit_missed(f, spread->through);
	for (uint32_t i = 0; i < spread->audit_count; i++) {
		if (audit_decode(&spread->audits[i], &audit))
			audit_add(f, &audit);
	}
	if (!spread->audit_gap && spread->through >= f->audit_until)
		f->audit_gap = false;
}

static void state_receive(struct fold *f, const struct spread_message *spread)
{
	f->pulling = false;
	state_audits(f, spread);
	if (spread->revision > f->revision && spread->has_content &&
	    state_usable(f, spread))
		fold_put_in_force(f, spread->revision,
				  state_author(f, spread->revision),
				  spread->content, spread->size);
	if (spread->revision == f->revision)
		f->through = MAX(f->through, spread->through);
	fold_catch_up(f);
	applies_check(f);
}

void fold_receive(struct fold *f, uint64_t from, const void *data, size_t size)
{
	struct spread_message spread;

	if (!spread_decode(f, data, size, &spread)) {
		log_event(LOG_WARNING, "config_message_malformed",
			  LOG_X("from", from), LOG_D("size", size));
		return;
	}
	switch (spread.kind) {
	case SPREAD_ADVERT:
		advert_receive(f, from, &spread);
		break;
	case SPREAD_PULL:
		pull_receive(f, from, &spread);
		break;
	case SPREAD_STATE:
		state_receive(f, &spread);
		break;
	}
}
