#include "coord/quarantine.h"

#include <glib.h>

#include "common/clock.h"

/* Requests that succeeded recently, in slots by keyed hash. A new one replaces
 * the previous one in its slot. */
#define SUCCESS_SLOTS 8192u
/* Older successes are ignored: the servers may run other software by now. */
#define SUCCESS_VALID_USEC (60 * USEC_PER_SEC)

/* More crashes that it takes when the answers had begun: all requests that run
 * beside the cause are lost so, not only the few whose answer begins just then.
 */
#define BEGUN_CRASHES_MORE 2u

/* Entries of a subject without and with FINGERPRINT_BEGUN. */
#define SUBJECT_KINDS 2u
/* Servers of a subject that are compared with those of others; bits of one
 * number. */
#define SUBJECT_SERVERS_MAX 48u

struct recent_success {
	uint64_t hash;
	int64_t at;
	bool used;
};

/* Servers that crashed under entries of a subject. */
struct server_set {
	uint64_t servers[SUBJECT_SERVERS_MAX];
	uint32_t count;
	uint64_t repeated; /* bits of those in several entries */
	bool complete;	   /* no entry was full */
};

/* Entries with the same struct request_fingerprint.high. */
struct subject {
	uint64_t high;
	GQueue items; /* struct item */
	/* By is_begun(); NULL: to be collected. */
	struct server_set *crashed[SUBJECT_KINDS];
};

struct item {
	struct quarantine_entry entry;
	struct subject *subject;
	GList subject_link;
	GList link; /* in queue */
	GQueue *queue;
	int64_t changed_at; /* when the last crash became known here */
	bool held;
	bool store_lost; /* to be written to the store again */
};

struct quarantine {
	struct quarantine_settings settings;
	GHashTable *items;    /* request_fingerprint to struct item */
	GHashTable *subjects; /* high to struct subject */
	GQueue held;	      /* oldest first */
	GQueue suspects[QUARANTINE_CRASHES_MAX]; /* by number of crashes */
	struct recent_success successes[SUCCESS_SLOTS];
	uint64_t exported; /* entries returned by quarantine_next() so far */
};

static void subject_changed(struct subject *subject)
{
	for (uint32_t i = 0; i < SUBJECT_KINDS; i++) {
		g_free(subject->crashed[i]);
		subject->crashed[i] = NULL;
	}
}

static void subject_free(gpointer data)
{
	subject_changed(data);
	g_free(data);
}

struct quarantine *quarantine_create(const struct quarantine_settings *settings)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->settings = *settings;
	quarantine->items = g_hash_table_new_full(
		fingerprint_hash, fingerprint_equal, NULL, g_free);
	quarantine->subjects = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, subject_free);
	return quarantine;
}

void quarantine_destroy(struct quarantine *quarantine)
{
	if (!quarantine)
		return;
	g_hash_table_destroy(quarantine->items);
	g_hash_table_destroy(quarantine->subjects);
	g_free(quarantine);
}

void quarantine_configure(struct quarantine *quarantine,
			  uint32_t crash_threshold)
{
	quarantine->settings.crash_threshold = crash_threshold;
}

/* Crashes from which an entry is held. */
static uint32_t entry_threshold(const struct quarantine *quarantine,
				const struct quarantine_entry *entry)
{
	uint32_t threshold = quarantine->settings.crash_threshold;

	if (entry->fingerprint.low & FINGERPRINT_BEGUN)
		threshold += BEGUN_CRASHES_MORE;
	return MIN(threshold, QUARANTINE_CRASHES_MAX);
}

bool quarantine_empty(const struct quarantine *quarantine)
{
	return g_hash_table_size(quarantine->items) == 0;
}

static struct item *item_find(const struct quarantine *quarantine,
			      const struct request_fingerprint *fingerprint)
{
	return g_hash_table_lookup(quarantine->items, fingerprint);
}

bool quarantine_holds(const struct quarantine *quarantine,
		      const struct request_fingerprint *fingerprint)
{
	const struct item *item = item_find(quarantine, fingerprint);

	return item && item->held;
}

const struct quarantine_entry *
quarantine_find(const struct quarantine *quarantine,
		const struct request_fingerprint *fingerprint)
{
	const struct item *item = item_find(quarantine, fingerprint);

	return item ? &item->entry : NULL;
}

static bool is_begun(const struct item *item)
{
	return item->entry.fingerprint.low & FINGERPRINT_BEGUN;
}

/* The bit of the server; 0 if it is not in the set. */
static uint64_t set_bit(const struct server_set *set, uint64_t server)
{
	for (uint32_t i = 0; i < set->count; i++)
		if (set->servers[i] == server)
			return (uint64_t)1 << i;
	return 0;
}

static uint64_t set_bits(const struct server_set *set,
			 const struct quarantine_entry *entry)
{
	uint64_t bits = 0;

	for (uint32_t i = 0; i < entry->count; i++)
		bits |= set_bit(set, entry->servers[i]);
	return bits;
}

static void set_add(struct server_set *set,
		    const struct quarantine_entry *entry)
{
	set->complete &= entry->count < QUARANTINE_CRASHES_MAX;
	set->repeated |= set_bits(set, entry);
	for (uint32_t i = 0; i < entry->count; i++)
		if (set->count < SUBJECT_SERVERS_MAX &&
		    !set_bit(set, entry->servers[i]))
			set->servers[set->count++] = entry->servers[i];
}

static const struct server_set *subject_crashed(const struct item *item)
{
	struct server_set **set = &item->subject->crashed[is_begun(item)];

	if (*set)
		return *set;
	*set = g_new0(struct server_set, 1);
	(*set)->complete = true;
	for (const GList *link = item->subject->items.head; link;
	     link = link->next) {
		const struct item *other = link->data;

		if (is_begun(other) == is_begun(item))
			set_add(*set, &other->entry);
	}
	return *set;
}

/* Servers that crashed under the subject, whoever the caller was and whatever
 * version they had. 0 if an entry is full: where one of them caused a crash
 * that it does not list, the others would seem to be the cause. */
static uint32_t subject_crashes(const struct item *item)
{
	const struct server_set *set;

	if (item->subject->items.length == 1)
		return item->entry.count;
	set = subject_crashed(item);
	return set->complete ? set->count : 0;
}

/* How many more crashes the entry, or all of its subject, has than it takes to
 * refuse requests; negative if it does not. */
static int32_t item_excess(const struct quarantine *quarantine,
			   const struct item *item)
{
	uint32_t crashes = item->entry.count;

	if (crashes > 0)
		crashes = MAX(crashes, subject_crashes(item));
	return (int32_t)crashes -
	       (int32_t)entry_threshold(quarantine, &item->entry);
}

/* When the last crash of the subject became known here. */
static int64_t subject_changed_at(const struct item *item)
{
	int64_t changed_at = item->changed_at;

	for (const GList *link = item->subject->items.head; link;
	     link = link->next) {
		const struct item *other = link->data;

		if (is_begun(other) == is_begun(item))
			changed_at = MAX(changed_at, other->changed_at);
	}
	return changed_at;
}

bool quarantine_refuses(const struct quarantine *quarantine,
			const struct request_fingerprint *fingerprint,
			struct quarantine_verdict *verdict)
{
	const struct item *item = item_find(quarantine, fingerprint);
	int32_t excess = item ? item_excess(quarantine, item) : -1;

	if (excess < 0)
		return false;
	verdict->excess = (uint32_t)excess;
	verdict->entry = &item->entry;
	verdict->corroborated = !item->held;
	verdict->changed_at = subject_changed_at(item);
	return true;
}

static uint32_t bits_count(uint64_t bits)
{
	return (uint32_t)__builtin_popcountll(bits);
}

/* The item's servers first, so that none of them is left out. */
static struct server_set item_servers(const struct item *item)
{
	const struct server_set *crashed = subject_crashed(item);
	struct server_set set = {.complete = crashed->complete};

	for (uint32_t i = 0; i < item->entry.count; i++) {
		uint64_t server = item->entry.servers[i];

		set.servers[set.count] = server;
		if (set_bit(crashed, server) & crashed->repeated)
			set.repeated |= (uint64_t)1 << set.count;
		set.count++;
	}
	for (uint32_t i = 0; i < crashed->count; i++)
		if (set.count < SUBJECT_SERVERS_MAX &&
		    !set_bit(&set, crashed->servers[i]))
			set.servers[set.count++] = crashed->servers[i];
	return set;
}

/* Whether the item would refuse requests without the servers that other
 * subjects account for. Where several entries of the subject have a server, it
 * is not known which of them was the cause. */
static bool refuses_without(const struct quarantine *quarantine,
			    const struct item *item,
			    const struct server_set *set, uint64_t accounted)
{
	uint32_t threshold = entry_threshold(quarantine, &item->entry);
	uint64_t all = (((uint64_t)1 << set->count) - 1) & ~accounted;
	uint64_t own = set_bits(set, &item->entry) & all & ~set->repeated;

	return bits_count(own) >= threshold ||
	       (own && set->complete && bits_count(all) >= threshold);
}

enum quarantine_explanation
quarantine_explain(const struct quarantine *quarantine,
		   const struct request_fingerprint *fingerprint,
		   uint32_t slack,
		   bool (*may)(const void *ctx,
			       const struct request_fingerprint *fingerprint),
		   const void *ctx)
{
	const struct item *item = item_find(quarantine, fingerprint);
	const struct item *other;
	struct server_set set;
	GHashTableIter iter;
	uint64_t as_well = 0;
	uint64_t better = 0;
	int32_t excess = item ? item_excess(quarantine, item) : -1;

	if (excess < 0)
		return EXPLAINED_NOT;
	set = item_servers(item);
	g_hash_table_iter_init(&iter, quarantine->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&other)) {
		uint64_t shared = set_bits(&set, &other->entry);
		int32_t other_excess;

		if (other->subject == item->subject || shared == 0 ||
		    !may(ctx, &other->entry.fingerprint))
			continue;
		other_excess = item_excess(quarantine, other) + (int32_t)slack;
		if (other_excess < excess)
			continue;
		as_well |= shared;
		if (other_excess > excess)
			better |= shared;
	}
	if (!refuses_without(quarantine, item, &set, better))
		return EXPLAINED_BETTER;
	return refuses_without(quarantine, item, &set, as_well)
		       ? EXPLAINED_NOT
		       : EXPLAINED_AS_WELL;
}

uint32_t quarantine_held(const struct quarantine *quarantine)
{
	return quarantine->held.length;
}

uint32_t quarantine_suspects(const struct quarantine *quarantine)
{
	return g_hash_table_size(quarantine->items) - quarantine->held.length;
}

static void item_queue(struct quarantine *quarantine, struct item *item)
{
	uint32_t count = MIN(item->entry.count, QUARANTINE_CRASHES_MAX - 1);

	item->queue =
		item->held ? &quarantine->held : &quarantine->suspects[count];
	g_queue_push_tail_link(item->queue, &item->link);
}

static void subject_add(struct quarantine *quarantine, struct item *item)
{
	uint64_t high = item->entry.fingerprint.high;

	item->subject = g_hash_table_lookup(quarantine->subjects, &high);
	if (!item->subject) {
		item->subject = g_new0(struct subject, 1);
		item->subject->high = high;
		g_hash_table_insert(quarantine->subjects, &item->subject->high,
				    item->subject);
	}
	item->subject_link.data = item;
	g_queue_push_tail_link(&item->subject->items, &item->subject_link);
	subject_changed(item->subject);
}

static void subject_remove(struct quarantine *quarantine, struct item *item)
{
	struct subject *subject = item->subject;

	g_queue_unlink(&subject->items, &item->subject_link);
	subject_changed(subject);
	if (subject->items.length == 0)
		g_hash_table_remove(quarantine->subjects, &subject->high);
}

static void item_drop(struct quarantine *quarantine, struct item *item)
{
	subject_remove(quarantine, item);
	g_queue_unlink(item->queue, &item->link);
	g_hash_table_remove(quarantine->items, &item->entry.fingerprint);
}

/* Those with the number of crashes that most suspects have. */
static GQueue *suspects_longest(struct quarantine *quarantine)
{
	GQueue *longest = &quarantine->suspects[0];

	for (uint32_t i = 1; i < G_N_ELEMENTS(quarantine->suspects); i++)
		if (quarantine->suspects[i].length > longest->length)
			longest = &quarantine->suspects[i];
	return longest;
}

static void queues_trim(struct quarantine *quarantine)
{
	const struct quarantine_settings *settings = &quarantine->settings;

	while (quarantine_suspects(quarantine) > settings->suspects_max)
		item_drop(quarantine, suspects_longest(quarantine)->head->data);
	while (quarantine->held.length > settings->held_max)
		item_drop(quarantine, quarantine->held.head->data);
}

static struct item *item_get(struct quarantine *quarantine,
			     const struct request_fingerprint *fingerprint)
{
	struct item *item = item_find(quarantine, fingerprint);

	if (item)
		return item;
	item = g_new0(struct item, 1);
	item->entry.fingerprint = *fingerprint;
	item->link.data = item;
	item_queue(quarantine, item);
	subject_add(quarantine, item);
	g_hash_table_insert(quarantine->items, &item->entry.fingerprint, item);
	return item;
}

/* Moves it to the tail of the queue that matches its crash count. */
static void item_requeue(struct quarantine *quarantine, struct item *item)
{
	subject_changed(item->subject);
	g_queue_unlink(item->queue, &item->link);
	item->held =
		item->entry.count >= entry_threshold(quarantine, &item->entry);
	item_queue(quarantine, item);
	queues_trim(quarantine);
}

/* Keeps the servers ascending, so that equal entries have equal bytes. */
static bool server_add(struct quarantine_entry *entry, uint64_t server)
{
	uint32_t at = 0;

	while (at < entry->count && entry->servers[at] < server)
		at++;
	if (entry->count >= QUARANTINE_CRASHES_MAX ||
	    (at < entry->count && entry->servers[at] == server))
		return false;
	for (uint32_t i = entry->count; i > at; i--)
		entry->servers[i] = entry->servers[i - 1];
	entry->servers[at] = server;
	entry->count++;
	return true;
}

void quarantine_record_success(struct quarantine *quarantine, uint64_t hash,
			       int64_t now)
{
	quarantine->successes[hash % SUCCESS_SLOTS] =
		(struct recent_success){hash, now, true};
}

bool quarantine_has_succeeded(const struct quarantine *quarantine,
			      uint64_t hash, int64_t now)
{
	const struct recent_success *success =
		&quarantine->successes[hash % SUCCESS_SLOTS];

	return success->used && success->hash == hash &&
	       now - success->at < SUCCESS_VALID_USEC;
}

bool quarantine_record_crash(struct quarantine *quarantine,
			     const struct request_fingerprint *fingerprint,
			     uint64_t hash, uint64_t server, int64_t now)
{
	struct item *item;

	if (quarantine_has_succeeded(quarantine, hash, now))
		return false;
	item = item_get(quarantine, fingerprint);
	if (!server_add(&item->entry, server))
		return false;
	item->changed_at = now;
	item_requeue(quarantine, item);
	return true;
}

bool quarantine_clear(struct quarantine *quarantine,
		      const struct request_fingerprint *fingerprint)
{
	struct item *item = item_find(quarantine, fingerprint);

	if (!item || item->entry.count == 0)
		return false;
	item->entry.epoch++;
	item->entry.count = 0;
	item_requeue(quarantine, item);
	return true;
}

static bool is_valid(const struct quarantine_entry *entry)
{
	return entry->count <= QUARANTINE_CRASHES_MAX &&
	       (entry->count > 0 || entry->epoch > 0);
}

/* A later epoch discards the crashes of earlier ones. */
static bool epoch_advance(struct quarantine_entry *known, uint32_t epoch)
{
	if (epoch <= known->epoch)
		return false;
	known->epoch = epoch;
	known->count = 0;
	return true;
}

bool quarantine_merge(struct quarantine *quarantine,
		      const struct quarantine_entry *entry, int64_t now)
{
	struct item *item;
	bool changed;

	if (!is_valid(entry))
		return false;
	item = item_get(quarantine, &entry->fingerprint);
	changed = epoch_advance(&item->entry, entry->epoch);
	if (entry->epoch == item->entry.epoch)
		for (uint32_t i = 0; i < entry->count; i++)
			changed |= server_add(&item->entry, entry->servers[i]);
	/* An entry of a cleared request must not cause a second delete from the
	 * store. */
	item->entry.stored |=
		entry->stored &&
		entry->count >= entry_threshold(quarantine, entry);
	if (!changed)
		return false;
	item->changed_at = now;
	item_requeue(quarantine, item);
	return true;
}

uint32_t quarantine_next(struct quarantine *quarantine,
			 struct quarantine_entry *entries, uint32_t max)
{
	uint32_t size = g_hash_table_size(quarantine->items);
	uint32_t count = MIN(size, max);
	GHashTableIter iter;
	struct item *item;
	uint64_t at = 0;
	uint64_t from;

	if (count == 0)
		return 0;
	from = quarantine->exported % size;
	quarantine->exported += count;
	g_hash_table_iter_init(&iter, quarantine->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
		uint64_t position = (at++ + size - from) % size;

		if (position < count)
			entries[position] = item->entry;
	}
	return count;
}

/* The oldest item of the queue whose stored flag is not the given one. */
static const struct item *unstored_find(const GQueue *queue, bool stored)
{
	for (const GList *link = queue->head; link; link = link->next) {
		const struct item *item = link->data;

		if (item->entry.stored != stored || item->store_lost)
			return item;
	}
	return NULL;
}

bool quarantine_unstored(const struct quarantine *quarantine,
			 struct quarantine_entry *entry)
{
	const struct item *item = unstored_find(&quarantine->held, true);

	for (uint32_t i = 0; !item && i < G_N_ELEMENTS(quarantine->suspects);
	     i++)
		item = unstored_find(&quarantine->suspects[i], false);
	if (!item)
		return false;
	*entry = item->entry;
	return true;
}

void quarantine_stored(struct quarantine *quarantine,
		       const struct request_fingerprint *fingerprint,
		       bool stored)
{
	struct item *item = item_find(quarantine, fingerprint);

	if (!item)
		return;
	item->entry.stored = stored;
	item->store_lost = false;
}

/* Not in the entry's own flag, which peers would set again. */
void quarantine_store_lost(struct quarantine *quarantine)
{
	for (GList *link = quarantine->held.head; link; link = link->next)
		((struct item *)link->data)->store_lost = true;
	for (uint32_t i = 0; i < G_N_ELEMENTS(quarantine->suspects); i++)
		for (GList *link = quarantine->suspects[i].head; link;
		     link = link->next) {
			struct item *item = link->data;

			item->store_lost = item->entry.epoch > 0;
		}
}
