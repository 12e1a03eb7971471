/*
 * quarantine_subject.c - which entries of the quarantine refuse requests
 */
#include "quarantine_private.h"

/* More crashes that it takes when the answers had begun: all requests that run
 * beside the cause are lost so, not only the few whose answer begins just then.
 */
#define BEGUN_CRASHES_MORE 2u

uint32_t quarantine_threshold(const struct quarantine *quarantine,
			      const struct quarantine_entry *entry)
{
	uint32_t threshold = quarantine->settings.crash_threshold;

	if (entry->fingerprint.low & FINGERPRINT_BEGUN)
		threshold += BEGUN_CRASHES_MORE;
	return MIN(threshold, QUARANTINE_CRASHES_MAX);
}

void quarantine_subject_changed(struct subject *subject)
{
	for (uint32_t i = 0; i < SUBJECT_KINDS; i++) {
		g_free(subject->crashed[i]);
		subject->crashed[i] = NULL;
	}
}

void quarantine_subject_free(gpointer data)
{
	quarantine_subject_changed(data);
	g_free(data);
}

void quarantine_subject_add(struct quarantine *quarantine, struct item *item)
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
	quarantine_subject_changed(item->subject);
}

void quarantine_subject_remove(struct quarantine *quarantine, struct item *item)
{
	struct subject *subject = item->subject;

	g_queue_unlink(&subject->items, &item->subject_link);
	quarantine_subject_changed(subject);
	if (subject->items.length == 0)
		g_hash_table_remove(quarantine->subjects, &subject->high);
}

static bool is_begun(const struct item *item)
{
	return item->entry.fingerprint.low & FINGERPRINT_BEGUN;
}

/* The bit of the server; 0 if it is not in the set. */
static uint64_t server_bit(const struct server_set *set, uint64_t server)
{
	for (uint32_t i = 0; i < set->count; i++)
		if (set->servers[i] == server)
			return (uint64_t)1 << i;
	return 0;
}

static uint64_t servers_bits(const struct server_set *set,
			     const struct quarantine_entry *entry)
{
	uint64_t bits = 0;

	for (uint32_t i = 0; i < entry->count; i++)
		bits |= server_bit(set, entry->servers[i]);
	return bits;
}

static void servers_add(struct server_set *set,
			const struct quarantine_entry *entry)
{
	set->complete &= entry->count < QUARANTINE_CRASHES_MAX;
	set->repeated |= servers_bits(set, entry);
	for (uint32_t i = 0; i < entry->count; i++)
		if (set->count < SUBJECT_SERVERS_MAX &&
		    !server_bit(set, entry->servers[i]))
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
			servers_add(*set, &other->entry);
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
	       (int32_t)quarantine_threshold(quarantine, &item->entry);
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
	const struct item *item = quarantine_item_find(quarantine, fingerprint);
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
		if (server_bit(crashed, server) & crashed->repeated)
			set.repeated |= (uint64_t)1 << set.count;
		set.count++;
	}
	for (uint32_t i = 0; i < crashed->count; i++)
		if (set.count < SUBJECT_SERVERS_MAX &&
		    !server_bit(&set, crashed->servers[i]))
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
	uint32_t threshold = quarantine_threshold(quarantine, &item->entry);
	uint64_t all = (((uint64_t)1 << set->count) - 1) & ~accounted;
	uint64_t own = servers_bits(set, &item->entry) & all & ~set->repeated;

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
	const struct item *item = quarantine_item_find(quarantine, fingerprint);
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
		uint64_t shared = servers_bits(&set, &other->entry);
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
