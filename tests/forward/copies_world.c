#include "copies_world.h"

#include <string.h>

#include "common/position.h"

#define STEP_MSEC 50
#define TICK_MSEC 100
#define WAIT_USEC (500 * USEC_PER_MSEC)
#define FETCH_USEC (100 * USEC_PER_MSEC)

static int64_t now_of(const struct copies *copies)
{
	return clock_now(copies->site->clock);
}

static void call_begin(struct copy_mirror *own, uint64_t from, int64_t wait,
		       bool snapshot, feed_page_fn fn, void *ctx)
{
	struct copies *copies = own->copies;

	copies->calls++;
	own->call = (struct copy_call){
		.fn = fn,
		.ctx = ctx,
		.from = from,
		.due = now_of(copies) + MAX(wait, copies->answer_usec),
		.snapshot = snapshot,
	};
}

static void on_snapshot(void *ctx, const char *stream, const char *after,
			feed_page_fn fn, void *fn_ctx)
{
	call_begin(ctx, 0, 0, true, fn, fn_ctx);
}

static void on_read(void *ctx, const char *stream, uint64_t from,
		    int64_t wait_usec, feed_page_fn fn, void *fn_ctx)
{
	call_begin(ctx, from, wait_usec, false, fn, fn_ctx);
}

/* The end of the log, as an interface to a store would give it. */
static uint64_t position_of(const struct copies *copies)
{
	return position_make(copies->era, copies->next);
}

/* Whether the store answers a read from there with 410. */
static bool has_gap(const struct copies *copies, uint64_t from)
{
	return position_era(from) != copies->era || from > position_of(copies);
}

static void call_answer(struct copy_mirror *own)
{
	const struct copies *copies = own->copies;
	struct copy_call call = own->call;
	struct feed_record record = {
		.offset = position_of(copies) - 1,
		.key = "k",
		.value = &copies->version,
		.size = sizeof(copies->version),
	};
	const struct feed_page page = {
		.records = &record,
		.count = call.snapshot || call.from < position_of(copies),
		.next = position_of(copies),
		.end = position_of(copies),
		.gap = !call.snapshot && has_gap(copies, call.from),
	};

	own->call.fn = NULL;
	call.fn(call.ctx, RESULT_OK, &page);
}

static void call_refuse(struct copy_mirror *own)
{
	struct copy_call call = own->call;

	own->copies->refusals++;
	own->call.fn = NULL;
	call.fn(call.ctx, RESULT_LOG_DOWN, NULL);
}

static void call_step(struct copy_mirror *own)
{
	const struct copies *copies = own->copies;
	const struct copy_call *call = &own->call;
	bool has_new_records =
		call->snapshot || call->from != position_of(copies);

	if (!call->fn)
		return;
	if (copies->refused[own->owner])
		call_refuse(own);
	else if (now_of(copies) >= call->due ||
		 (has_new_records && copies->answer_usec == 0))
		call_answer(own);
}

static enum mirror_effect on_value(void *ctx, uint64_t offset, const char *key,
				   const void *data, size_t size)
{
	struct copy_mirror *own = ctx;
	uint64_t version;

	g_assert_cmpuint(size, ==, sizeof(version));
	memcpy(&version, data, size);
	if (version <= own->version)
		return version == own->version ? MIRROR_UNCHANGED
					       : MIRROR_REJECTED;
	own->version = version;
	return MIRROR_CHANGED;
}

static void summary_add(void *ctx, const struct instance *instance,
			struct gossip_summary *summary)
{
	struct copies *copies = ctx;
	uint32_t i = (uint32_t)(instance - copies->site->instances);

	for (int k = 0; k < COPY_STREAMS; k++) {
		const struct mirror *mirror = copies->mirrors[i][k].mirror;

		mirror_status(mirror, &summary->mirrors[k]);
		summary->store_unreachable =
			summary->store_unreachable || mirror_failing(mirror);
	}
}

static uint32_t instance_at(const struct copies *copies, const char *address)
{
	for (uint32_t i = 0; i < copies->site->count; i++)
		if (strcmp(copies->site->instances[i].address, address) == 0)
			return i;
	g_assert_not_reached();
}

static void on_received(void *ctx, const struct instance *instance,
			const char *address,
			const struct gossip_summary *summary)
{
	struct copies *copies = ctx;
	uint32_t i = (uint32_t)(instance - copies->site->instances);

	for (int k = 0; k < COPY_STREAMS; k++) {
		struct copy_mirror *own = &copies->mirrors[i][k];

		if (!mirror_merge_status(own->mirror, &summary->mirrors[k]))
			continue;
		mirror_fetch_pending(own->mirror);
		if (own->fetch_at != 0)
			continue;
		own->fetch_at = now_of(copies) + FETCH_USEC;
		own->fetch_from = instance_at(copies, address);
	}
}

bool copies_is_active(const struct copies *copies, uint32_t i)
{
	const struct instance *instance = &copies->site->instances[i];

	return instance->gossip && instance->centre < copies->centres;
}

static void fetch_step(struct copy_mirror *own)
{
	struct copies *copies = own->copies;
	const struct copy_mirror *from =
		&copies->mirrors[own->fetch_from][own->stream];
	g_autoptr(GByteArray) out = NULL;
	struct error err;

	if (own->fetch_at == 0 || now_of(copies) < own->fetch_at)
		return;
	own->fetch_at = 0;
	if (!copies_is_active(copies, own->fetch_from))
		return;
	out = g_byte_array_new();
	mirror_encode(from->mirror, mirror_position(own->mirror), out);
	g_assert_true(mirror_decode(own->mirror, out->data, out->len, &err));
}

static void instance_step(struct copies *copies, uint32_t i)
{
	int64_t step = now_of(copies) / (STEP_MSEC * USEC_PER_MSEC);
	bool ticks = (step + i) % (TICK_MSEC / STEP_MSEC) == 0;
	struct reader_place place;

	gossip_place(copies->site->instances[i].gossip, &place);
	for (int k = 0; k < COPY_STREAMS; k++) {
		struct copy_mirror *own = &copies->mirrors[i][k];

		call_step(own);
		fetch_step(own);
		if (ticks)
			mirror_tick(own->mirror, &place);
	}
}

void copies_run(struct copies *copies, int64_t msec)
{
	for (int64_t at = 0; at < msec; at += STEP_MSEC) {
		site_advance(copies->site, STEP_MSEC);
		for (uint32_t i = 0; i < copies->site->count; i++)
			if (copies_is_active(copies, i))
				instance_step(copies, i);
	}
}

void copies_publish(struct copies *copies)
{
	copies->next++;
	copies->version++;
	copies->published_at = now_of(copies);
}

void copies_restore(struct copies *copies, uint64_t lost)
{
	copies->era++;
	copies->next -= lost;
	copies->next++;
}

uint32_t copies_outdated(const struct copies *copies)
{
	uint32_t late = 0;

	for (uint32_t i = 0; i < copies->site->count; i++)
		late += copies_is_active(copies, i) &&
			copies->mirrors[i][0].version != copies->version;
	return late;
}

int64_t copies_propagate(struct copies *copies, int64_t most)
{
	int64_t waited = 0;

	copies_publish(copies);
	while (waited < most && copies_outdated(copies) > 0) {
		copies_run(copies, STEP_MSEC);
		waited += STEP_MSEC;
	}
	return waited;
}

static void mirrors_open(struct copies *copies, uint32_t i)
{
	static const struct mirror_ops ops = {.value = on_value};
	const struct feed_settings settings[COPY_STREAMS] = {
		{.stream = "configuration", .wait_usec = WAIT_USEC, .seed = i},
		{.stream = "list", .seed = i},
	};

	for (uint32_t k = 0; k < COPY_STREAMS; k++) {
		struct copy_mirror *own = &copies->mirrors[i][k];
		const struct feed_store store = {on_snapshot, on_read, own};

		own->copies = copies;
		own->owner = i;
		own->stream = k;
		own->mirror = mirror_create(copies->site->clock, &store,
					    &settings[k], &ops, own);
		mirror_start(own->mirror, i);
	}
}

struct copies *copies_open(uint32_t count, uint32_t connected)
{
	struct copies *copies = g_new0(struct copies, 1);

	copies->site = site_open(count);
	copies->centres = CENTRES;
	copies->era = 1;
	copies->next = 1;
	copies->version = 1;
	for (uint32_t i = 0; i < count; i++)
		mirrors_open(copies, i);
	copies->site->summary = summary_add;
	copies->site->received = on_received;
	copies->site->ctx = copies;
	copies_run(copies, 6000);
	g_assert_cmpuint(copies_outdated(copies), ==, 0);
	for (uint32_t i = connected; i < CENTRES; i++)
		copies->site->paused[i] = true;
	copies->centres = connected;
	copies_run(copies, 4000);
	copies->calls = 0;
	copies->refusals = 0;
	return copies;
}

void copies_close(struct copies *copies)
{
	for (uint32_t i = 0; i < copies->site->count; i++)
		for (int k = 0; k < COPY_STREAMS; k++) {
			struct copy_mirror *own = &copies->mirrors[i][k];

			/* Calls outlive their mirror. */
			mirror_destroy(own->mirror);
			if (own->call.fn)
				call_refuse(own);
		}
	site_close(copies->site);
	g_free(copies);
}
