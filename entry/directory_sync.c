/*
 * directory_sync.c - exchange of the directory between instances
 */
#include "entry/directory_sync.h"

#include <string.h>

#include <glib.h>

#include "common/log.h"
#include "entry/directory.h"
#include "entry/directory_codec.h"
#include "entry/entry.h"
#include "entry/own_platform.h"
#include "entry/peers.h"

#define READER_COUNT 2
/* Time between requests until a complete list is known. */
#define START_REQUEST_USEC (500 * USEC_PER_MSEC)
/* Times in periods of --list-ms. An instance that is not a reader requests
 * changes from a reader every REQUEST_PERIODS. It reads the list itself every
 * READ_FRESH_PERIODS, or every READ_STALE_PERIODS once its directory is
 * STALE_PERIODS old. */
#define REQUEST_PERIODS 10
#define STALE_PERIODS 30
#define READ_FRESH_PERIODS 300
#define READ_STALE_PERIODS 10

/* The last change of a reader's directory that this instance has received. */
struct source {
	uint64_t id;
	uint64_t epoch;
	uint64_t until;
};

struct directory_sync {
	struct entry *entry;
	struct timer timer;
	struct source sources[READER_COUNT];
	uint32_t requests_sent; /* selects the instance for the next request */
	uint32_t ticks;		/* ticks since the last request */
	uint64_t sent_until;	/* last change sent to the data centre */
	bool reader;	   /* this instance was a reader at the last tick */
	int64_t listed_at; /* when a reader read the newest list received */
	/* Sender of the message being decoded, and whether it is applied. */
	uint64_t from;
	bool is_applied;
};

static int64_t now_of(const struct directory_sync *sync)
{
	return clock_now(sync->entry->clock);
}

static uint64_t reader_id(const struct directory_sync *sync, uint32_t rank)
{
	const struct entry *entry = sync->entry;

	return membership_home(entry->membership, entry->settings.data_centre,
			       id_of("list"), rank);
}

static bool is_reader(const struct directory_sync *sync)
{
	uint64_t self = membership_self(sync->entry->membership)->id;

	for (uint32_t rank = 0; rank < READER_COUNT; rank++) {
		if (reader_id(sync, rank) == self)
			return true;
	}
	return false;
}

/* When the list that the directory reflects was read, here or by a reader. */
static int64_t listed_at(const struct directory_sync *sync)
{
	const struct entry *entry = sync->entry;
	int64_t own =
		entry->platform ? platform_listed_at(entry->platform) : -1;

	return MAX(own, sync->listed_at);
}

uint32_t directory_sync_every(const struct directory_sync *sync)
{
	int64_t period = sync->entry->settings.list_usec;
	int64_t at = listed_at(sync);

	if (at < 0 || is_reader(sync))
		return 1;
	if (now_of(sync) - at > STALE_PERIODS * period)
		return READ_STALE_PERIODS;
	return READ_FRESH_PERIODS;
}

static uint64_t own_age_ms(const struct directory_sync *sync)
{
	int64_t at = listed_at(sync);

	if (at < 0)
		return DIRECTORY_AGE_NEVER;
	return (uint64_t)((now_of(sync) - at) / USEC_PER_MSEC);
}

static GByteArray *update_encode(const struct directory_sync *sync,
				 uint64_t since, bool whole)
{
	const struct entry *entry = sync->entry;
	GByteArray *bytes = g_byte_array_new();
	struct directory_update update = {
		.epoch = entry->incarnation,
		.since = since,
		.until = directory_changes(entry->directory),
		.whole = whole,
		.age_ms = own_age_ms(sync),
	};

	directory_update_encode(&update, entry->directory, bytes);
	return bytes;
}

static void bytes_send(const struct directory_sync *sync, uint64_t to,
		       const GByteArray *bytes)
{
	peers_send(sync->entry->peers, to, CHANNEL_DIRECTORY, bytes->data,
		   bytes->len);
}

static void on_request(void *ctx, const struct directory_request *request)
{
	struct directory_sync *sync = ctx;
	const struct entry *entry = sync->entry;
	bool whole = request->epoch != entry->incarnation ||
		     !directory_has_since(entry->directory, request->since);
	GByteArray *bytes;

	if (!directory_is_loaded(entry->directory))
		return;
	bytes = update_encode(sync, whole ? 0 : request->since, whole);
	bytes_send(sync, sync->from, bytes);
	g_byte_array_unref(bytes);
}

static bool is_local_peer(const struct directory_sync *sync,
			  const struct member *member)
{
	const struct member *self = membership_self(sync->entry->membership);

	return member->id != self->id && member->state <= MEMBER_SUSPECT &&
	       strcmp(member->data_centre, self->data_centre) == 0;
}

/* Sends the changes since the last call to the live and suspected members of
 * the data centre. */
static void changes_send(struct directory_sync *sync)
{
	struct entry *entry = sync->entry;
	uint64_t until = directory_changes(entry->directory);
	const struct member *member;
	GByteArray *bytes;
	uint32_t cursor = 0;

	if (until == sync->sent_until)
		return;
	bytes = update_encode(sync, sync->sent_until, false);
	while ((member = membership_next(entry->membership, &cursor))) {
		if (is_local_peer(sync, member))
			bytes_send(sync, member->id, bytes);
	}
	g_byte_array_unref(bytes);
	sync->sent_until = until;
}

static struct source *source_find(struct directory_sync *sync, uint64_t id)
{
	for (size_t i = 0; i < READER_COUNT; i++) {
		if (sync->sources[i].id == id)
			return &sync->sources[i];
	}
	return NULL;
}

/* A reader with a complete list ignores entries from others: the lists of the
 * two readers can differ for a while, and each would undo the other's changes.
 */
static void on_backend(void *ctx, const struct backend *backend)
{
	struct directory_sync *sync = ctx;

	if (sync->is_applied)
		directory_merge(sync->entry->directory, backend);
}

static void freshness_update(struct directory_sync *sync, uint64_t age_ms)
{
	int64_t now = now_of(sync);

	if (age_ms < (uint64_t)(now / USEC_PER_MSEC))
		sync->listed_at = MAX(sync->listed_at,
				      now - (int64_t)age_ms * USEC_PER_MSEC);
}

static void source_update(struct directory_sync *sync,
			  const struct directory_update *update)
{
	struct source *source = source_find(sync, sync->from);

	if (!source)
		return;
	if (update->whole) {
		source->epoch = update->epoch;
		source->until = update->until;
	} else if (source->epoch == update->epoch &&
		   update->since <= source->until) {
		source->until = MAX(source->until, update->until);
	}
}

static void on_update(void *ctx, const struct directory_update *update)
{
	struct directory_sync *sync = ctx;

	if (sync->is_applied && update->whole)
		directory_sweep_begin(sync->entry->directory);
}

static void on_end(void *ctx, const struct directory_update *update)
{
	struct directory_sync *sync = ctx;
	struct directory *directory = sync->entry->directory;

	if (!sync->is_applied)
		return;
	source_update(sync, update);
	freshness_update(sync, update->age_ms);
	if (!update->whole)
		return;
	directory_sweep_end(directory);
	log_event(LOG_INFO, "directory_learnt", LOG_X("peer", sync->from),
		  LOG_D("changes", directory_changes(directory)));
}

static void sync_receive(void *ctx, uint64_t from, const void *data,
			 size_t size)
{
	static const struct directory_codec_ops ops = {
		.request = on_request,
		.update = on_update,
		.backend = on_backend,
		.end = on_end,
	};
	struct directory_sync *sync = ctx;

	sync->from = from;
	sync->is_applied = !is_reader(sync) ||
			   !directory_is_loaded(sync->entry->directory);
	if (!directory_decode(data, size, &ops, sync))
		log_event(LOG_WARNING, "directory_message_malformed",
			  LOG_X("peer", from));
}

static void request_send(const struct directory_sync *sync, uint64_t to,
			 const struct source *source)
{
	struct directory_request request = {
		.epoch = source ? source->epoch : 0,
		.since = source ? source->until : 0,
	};
	GByteArray *bytes = g_byte_array_new();

	directory_request_encode(&request, bytes);
	bytes_send(sync, to, bytes);
	g_byte_array_unref(bytes);
}

/* Alternates between the two readers. The whole directory is requested
 * from a new reader. */
static void reader_request(struct directory_sync *sync)
{
	uint32_t rank = sync->requests_sent++ % READER_COUNT;
	uint64_t id = reader_id(sync, rank);
	struct source *source = &sync->sources[rank];

	if (id == 0)
		return;
	if (source->id != id)
		*source = (struct source){.id = id};
	request_send(sync, id, source);
}

/* Selects the live members in turn. */
static uint64_t next_member(const struct directory_sync *sync)
{
	const struct membership *members = sync->entry->membership;
	const struct member *self = membership_self(members);
	GArray *alive = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct member *member;
	uint32_t cursor = 0;
	uint64_t id = 0;

	while ((member = membership_next(members, &cursor))) {
		if (member != self && member->state == MEMBER_ALIVE)
			g_array_append_val(alive, member->id);
	}
	if (alive->len > 0)
		id = g_array_index(alive, uint64_t,
				   sync->requests_sent % alive->len);
	g_array_free(alive, TRUE);
	return id;
}

static void member_request(struct directory_sync *sync)
{
	uint64_t id = next_member(sync);

	sync->requests_sent++;
	if (id != 0)
		request_send(sync, id, NULL);
}

static void reader_tick(struct directory_sync *sync)
{
	/* A new reader does not send changes from before it became one. */
	if (!sync->reader)
		sync->sent_until = directory_changes(sync->entry->directory);
	changes_send(sync);
}

static void non_reader_tick(struct directory_sync *sync)
{
	if (++sync->ticks < REQUEST_PERIODS)
		return;
	sync->ticks = 0;
	reader_request(sync);
}

static void sync_fire(struct timer *timer, void *ctx)
{
	struct directory_sync *sync = ctx;
	bool reader = is_reader(sync);

	if (!directory_is_loaded(sync->entry->directory)) {
		member_request(sync);
		timer_start(timer, START_REQUEST_USEC);
		return;
	}
	if (reader)
		reader_tick(sync);
	else
		non_reader_tick(sync);
	sync->reader = reader;
	timer_start(timer, sync->entry->settings.list_usec);
}

struct directory_sync *directory_sync_create(struct entry *entry)
{
	struct directory_sync *sync = g_new0(struct directory_sync, 1);

	sync->entry = entry;
	sync->listed_at = -1;
	/* Spreads the first requests of instances that start together. */
	sync->ticks =
		(uint32_t)g_rand_int_range(entry->rand, 0, REQUEST_PERIODS);
	peers_handler_set(entry->peers, CHANNEL_DIRECTORY, sync_receive, sync);
	timer_init(&sync->timer, entry->clock, sync_fire, sync);
	timer_start(&sync->timer, START_REQUEST_USEC);
	return sync;
}

void directory_sync_destroy(struct directory_sync *sync)
{
	if (!sync)
		return;
	timer_stop(&sync->timer);
	peers_handler_set(sync->entry->peers, CHANNEL_DIRECTORY, NULL, NULL);
	g_free(sync);
}
