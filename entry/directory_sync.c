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

#define READERS 2
/* Time between requests until a complete list is known. */
#define START_USEC (500 * USEC_PER_MSEC)
/* In periods of --list-ms: the time between requests to a reader; the age from
 * which the directory counts as stale; how often an instance that is not a
 * reader reads the list itself, while the directory is fresh or stale. */
#define ASK_EVERY 10
#define STALE_AFTER 30
#define READ_FRESH 300
#define READ_STALE 10

/* Up to which change this instance has the directory of a reader. */
struct teller {
	uint64_t id;
	uint64_t epoch;
	uint64_t until;
};

struct directory_sync {
	struct entry *entry;
	struct timer timer;
	struct teller tellers[READERS];
	uint32_t asked;	   /* requests sent; selects the next instance */
	uint32_t ticks;	   /* since the last request */
	uint64_t told;	   /* last change sent to the data centre */
	bool reader;	   /* whether it was one at the last tick */
	int64_t listed_at; /* when a reader read the list received last */
	/* Of the message being decoded. */
	uint64_t from;
	bool wanted; /* whether its entries are applied */
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

	for (uint32_t rank = 0; rank < READERS; rank++) {
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
	if (now_of(sync) - at > STALE_AFTER * period)
		return READ_STALE;
	return READ_FRESH;
}

static uint64_t own_age_ms(const struct directory_sync *sync)
{
	int64_t at = listed_at(sync);

	if (at < 0)
		return DIRECTORY_AGE_NEVER;
	return (uint64_t)((now_of(sync) - at) / USEC_PER_MSEC);
}

static GByteArray *news_since(const struct directory_sync *sync, uint64_t since,
			      bool whole)
{
	const struct entry *entry = sync->entry;
	GByteArray *bytes = g_byte_array_new();
	struct directory_update news = {
		.epoch = entry->incarnation,
		.since = since,
		.until = directory_changes(entry->directory),
		.whole = whole,
		.age_ms = own_age_ms(sync),
	};

	directory_update_encode(&news, entry->directory, bytes);
	return bytes;
}

static void bytes_send(const struct directory_sync *sync, uint64_t to,
		       const GByteArray *bytes)
{
	peers_send(sync->entry->peers, to, CHANNEL_DIRECTORY, bytes->data,
		   bytes->len);
}

static void on_ask(void *ctx, const struct directory_request *ask)
{
	struct directory_sync *sync = ctx;
	const struct entry *entry = sync->entry;
	bool whole = ask->epoch != entry->incarnation ||
		     !directory_remembers(entry->directory, ask->since);
	GByteArray *bytes;

	if (!directory_known(entry->directory))
		return;
	bytes = news_since(sync, whole ? 0 : ask->since, whole);
	bytes_send(sync, sync->from, bytes);
	g_byte_array_unref(bytes);
}

static bool is_neighbour(const struct directory_sync *sync,
			 const struct member *member)
{
	const struct member *self = membership_self(sync->entry->membership);

	return member->id != self->id && member->state <= MEMBER_SUSPECT &&
	       strcmp(member->data_centre, self->data_centre) == 0;
}

/* Sends the changes since the last call to all members of the data centre. */
static void changes_tell(struct directory_sync *sync)
{
	struct entry *entry = sync->entry;
	uint64_t until = directory_changes(entry->directory);
	const struct member *member;
	GByteArray *bytes;
	uint32_t cursor = 0;

	if (until == sync->told)
		return;
	bytes = news_since(sync, sync->told, false);
	while ((member = membership_next(entry->membership, &cursor))) {
		if (is_neighbour(sync, member))
			bytes_send(sync, member->id, bytes);
	}
	g_byte_array_unref(bytes);
	sync->told = until;
}

static struct teller *teller_find(struct directory_sync *sync, uint64_t id)
{
	for (size_t i = 0; i < READERS; i++) {
		if (sync->tellers[i].id == id)
			return &sync->tellers[i];
	}
	return NULL;
}

/* A reader with a complete list ignores entries from others: the lists of the
 * two readers can differ for a while, and each would undo the other's changes.
 */
static void on_backend(void *ctx, const struct backend *backend)
{
	struct directory_sync *sync = ctx;

	if (sync->wanted)
		directory_learn(sync->entry->directory, backend);
}

static void freshness_take(struct directory_sync *sync, uint64_t age_ms)
{
	int64_t now = now_of(sync);

	if (age_ms < (uint64_t)(now / USEC_PER_MSEC))
		sync->listed_at = MAX(sync->listed_at,
				      now - (int64_t)age_ms * USEC_PER_MSEC);
}

static void teller_take(struct directory_sync *sync,
			const struct directory_update *news)
{
	struct teller *teller = teller_find(sync, sync->from);

	if (!teller)
		return;
	if (news->whole) {
		teller->epoch = news->epoch;
		teller->until = news->until;
	} else if (teller->epoch == news->epoch &&
		   news->since <= teller->until) {
		teller->until = MAX(teller->until, news->until);
	}
}

static void on_news(void *ctx, const struct directory_update *news)
{
	struct directory_sync *sync = ctx;

	if (sync->wanted && news->whole)
		directory_begin(sync->entry->directory);
}

static void on_end(void *ctx, const struct directory_update *news)
{
	struct directory_sync *sync = ctx;
	struct directory *directory = sync->entry->directory;

	if (!sync->wanted)
		return;
	teller_take(sync, news);
	freshness_take(sync, news->age_ms);
	if (!news->whole)
		return;
	directory_swept(directory);
	log_event(LOG_INFO, "directory_learnt", LOG_X("peer", sync->from),
		  LOG_D("changes", directory_changes(directory)));
}

static void sync_receive(void *ctx, uint64_t from, const void *data,
			 size_t size)
{
	static const struct directory_codec_ops ops = {
		.ask = on_ask,
		.news = on_news,
		.backend = on_backend,
		.end = on_end,
	};
	struct directory_sync *sync = ctx;

	sync->from = from;
	sync->wanted =
		!is_reader(sync) || !directory_known(sync->entry->directory);
	if (!directory_decode(data, size, &ops, sync))
		log_event(LOG_WARNING, "directory_message_malformed",
			  LOG_X("peer", from));
}

static void ask_send(const struct directory_sync *sync, uint64_t to,
		     const struct teller *teller)
{
	struct directory_request ask = {
		.epoch = teller ? teller->epoch : 0,
		.since = teller ? teller->until : 0,
	};
	GByteArray *bytes = g_byte_array_new();

	directory_request_encode(&ask, bytes);
	bytes_send(sync, to, bytes);
	g_byte_array_unref(bytes);
}

/* Alternates between the two readers. The whole directory is requested
 * from a new reader. */
static void reader_ask(struct directory_sync *sync)
{
	uint32_t rank = sync->asked++ % READERS;
	uint64_t id = reader_id(sync, rank);
	struct teller *teller = &sync->tellers[rank];

	if (id == 0)
		return;
	if (teller->id != id)
		*teller = (struct teller){.id = id};
	ask_send(sync, id, teller);
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
		id = g_array_index(alive, uint64_t, sync->asked % alive->len);
	g_array_free(alive, TRUE);
	return id;
}

static void anyone_ask(struct directory_sync *sync)
{
	uint64_t id = next_member(sync);

	sync->asked++;
	if (id != 0)
		ask_send(sync, id, NULL);
}

static void reader_tick(struct directory_sync *sync)
{
	/* A new reader does not send changes from before it became one. */
	if (!sync->reader)
		sync->told = directory_changes(sync->entry->directory);
	changes_tell(sync);
}

static void other_tick(struct directory_sync *sync)
{
	if (++sync->ticks < ASK_EVERY)
		return;
	sync->ticks = 0;
	reader_ask(sync);
}

static void sync_fire(struct timer *timer, void *ctx)
{
	struct directory_sync *sync = ctx;
	bool reader = is_reader(sync);

	if (!directory_known(sync->entry->directory)) {
		anyone_ask(sync);
		timer_start(timer, START_USEC);
		return;
	}
	if (reader)
		reader_tick(sync);
	else
		other_tick(sync);
	sync->reader = reader;
	timer_start(timer, sync->entry->settings.list_usec);
}

struct directory_sync *directory_sync_create(struct entry *entry)
{
	struct directory_sync *sync = g_new0(struct directory_sync, 1);

	sync->entry = entry;
	sync->listed_at = -1;
	/* Spreads the first requests of instances that start together. */
	sync->ticks = (uint32_t)g_rand_int_range(entry->rand, 0, ASK_EVERY);
	peers_on(entry->peers, CHANNEL_DIRECTORY, sync_receive, sync);
	timer_init(&sync->timer, entry->clock, sync_fire, sync);
	timer_start(&sync->timer, START_USEC);
	return sync;
}

void directory_sync_destroy(struct directory_sync *sync)
{
	if (!sync)
		return;
	timer_stop(&sync->timer);
	peers_on(sync->entry->peers, CHANNEL_DIRECTORY, NULL, NULL);
	g_free(sync);
}
