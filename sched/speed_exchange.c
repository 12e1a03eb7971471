/*
 * speed_exchange.c - estimates of servers' speeds, to and from other instances
 *
 * DESCRIPTION
 *	An instance sends samples of its own to its data centre, and those of
 *	its data centre to others. Nothing received from another data centre is
 *	passed on, so no sample returns to where it came from.
 */
#include <math.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/id.h"
#include "speed_private.h"

/* Change of a factor that is sent at once, and time after which an unchanged
 * one is sent again, for instances that have started and for lost summaries. */
#define SEND_CHANGE 0.1
#define SEND_AGAIN_USEC (2 * USEC_PER_SEC)
/* An entry whose last sample is not newer by this much may hold the same
 * samples: its age is in whole milliseconds, and datagrams take time. */
#define SAME_SAMPLE_USEC (100 * USEC_PER_MSEC)
/* Samples that one entry counts for at most, as they come from one observer. */
#define ENTRY_WEIGHT_MAX 4.0
#define PERCENT 100.0

/* A server that may be exported, with the time of its last sample. */
struct candidate {
	struct speed_server *server;
	int64_t at;
	uint64_t hash; /* for speeds_export_next() */
	bool untold;
	double factor;
	double weight;
};

static bool should_send(const struct speed_told *told, double factor,
			int64_t now)
{
	return told->at == SPEED_NEVER || now - told->at >= SEND_AGAIN_USEC ||
	       fabs(factor / told->factor - 1.0) > SEND_CHANGE;
}

/* With hashes, the lower one. Otherwise one of which the others were told
 * nothing yet, then the newest: without the first rule, the error of the
 * factors after 10 s is 0.21 instead of 0.18 in the world of sched-speed. */
static bool candidate_precedes(const struct candidate *a,
			       const struct candidate *b)
{
	if (a->hash || b->hash)
		return a->hash < b->hash;
	if (a->untold != b->untold)
		return a->untold;
	return a->at > b->at;
}

/* Keeps the first ones in order. */
static void candidate_insert(struct candidate *best, uint32_t *count,
			     uint32_t max, const struct candidate *one)
{
	uint32_t at = *count;

	while (at > 0 && candidate_precedes(one, &best[at - 1]))
		at--;
	if (at >= max)
		return;
	*count = MIN(*count + 1, max);
	for (uint32_t i = *count - 1; i > at; i--)
		best[i] = best[i - 1];
	best[at] = *one;
}

static bool candidate_own(struct speed_server *server, int64_t now,
			  struct candidate *one)
{
	int64_t at = speed_own_at(server);

	if (!speed_recent(at, now))
		return false;
	*one = (struct candidate){
		.server = server,
		.at = at,
		.factor = speed_usual(server, at, true),
		.weight = speed_mean_weight(&server->seen, at) +
			  speed_mean_weight(&server->stated, at),
	};
	one->untold = server->told.at == SPEED_NEVER;
	return should_send(&server->told, one->factor, now);
}

/* With the samples of peers. */
static bool candidate_with_peers(struct speed_server *server, int64_t now,
				 int64_t at, struct candidate *one)
{
	if (!speed_recent(at, now))
		return false;
	*one = (struct candidate){
		.server = server,
		.at = at,
		.factor = speed_usual(server, at, false),
		.weight = speed_mean_weight(&server->seen, at) +
			  speed_mean_weight(&server->stated, at) +
			  speed_mean_weight(&server->peers, at),
	};
	return true;
}

static bool candidate_group(struct speed_server *server, int64_t now,
			    struct candidate *one)
{
	int64_t at = MAX(speed_own_at(server), server->local_at);

	if (!candidate_with_peers(server, now, at, one))
		return false;
	one->untold = server->told_group.at == SPEED_NEVER;
	return should_send(&server->told_group, one->factor, now);
}

static bool candidate_any(struct speed_server *server, int64_t now,
			  struct candidate *one)
{
	int64_t at = MAX(speed_own_at(server), server->peers.at);

	return candidate_with_peers(server, now, at, one);
}

static void entry_fill(const struct candidate *one, int64_t now,
		       struct speed_entry *entry)
{
	double percent =
		CLAMP(one->factor, SPEED_FACTOR_MIN, SPEED_FACTOR_MAX) *
		PERCENT;

	*entry = (struct speed_entry){
		.server = one->server->key,
		.percent = (uint32_t)lround(percent),
		.weight = (uint32_t)CLAMP(lround(one->weight), 1,
					  (long)SPEED_WEIGHT_MAX),
		.age_msec = (uint32_t)((now - one->at) / USEC_PER_MSEC),
	};
}

static uint32_t entries_choose(struct speeds *speeds, int64_t now, bool group,
			       struct speed_entry *entries, uint32_t max)
{
	struct candidate best[SPEED_ENTRIES_MAX];
	struct speed_server *server;
	uint32_t count = 0;
	GHashTableIter iter;

	max = MIN(max, SPEED_ENTRIES_MAX);
	g_hash_table_iter_init(&iter, speeds->servers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&server)) {
		struct candidate one;

		if (group ? candidate_group(server, now, &one)
			  : candidate_own(server, now, &one))
			candidate_insert(best, &count, max, &one);
	}
	for (uint32_t i = 0; i < count; i++) {
		const struct speed_told told = {best[i].factor, now};

		entry_fill(&best[i], now, &entries[i]);
		if (group)
			best[i].server->told_group = told;
		else
			best[i].server->told = told;
	}
	return count;
}

/* Entries are sent only while servers state a pace here: entries of peers alone
 * would keep each other alive. */
uint32_t speeds_export(struct speeds *speeds, int64_t now,
		       struct speed_entry *entries, uint32_t max)
{
	if (!speeds || !speed_recent(speeds->stated_at, now))
		return 0;
	return entries_choose(speeds, now, false, entries, max);
}

uint32_t speeds_export_group(struct speeds *speeds, int64_t now,
			     struct speed_entry *entries, uint32_t max)
{
	if (!speeds || (!speed_recent(speeds->stated_at, now) &&
			!speed_recent(speeds->local_at, now)))
		return 0;
	return entries_choose(speeds, now, true, entries, max);
}

uint32_t speeds_export_next(const struct speeds *speeds, int64_t now,
			    uint64_t seed, uint64_t *cursor,
			    struct speed_entry *entries, uint32_t max)
{
	struct candidate best[SPEED_ENTRIES_MAX];
	struct speed_server *server;
	uint32_t count = 0;
	GHashTableIter iter;

	if (!speeds_active(speeds, now))
		return 0;
	max = MIN(max, SPEED_ENTRIES_MAX);
	g_hash_table_iter_init(&iter, speeds->servers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&server)) {
		uint64_t hash = id_mix(seed, server->key);
		struct candidate one;

		if (hash <= *cursor || !candidate_any(server, now, &one))
			continue;
		one.hash = hash;
		candidate_insert(best, &count, max, &one);
	}
	for (uint32_t i = 0; i < count; i++)
		entry_fill(&best[i], now, &entries[i]);
	if (count > 0)
		*cursor = best[count - 1].hash;
	return count;
}

static bool entry_valid(const struct speed_entry *entry)
{
	return entry->percent >= SPEED_PERCENT_MIN &&
	       entry->percent <= SPEED_PERCENT_MAX && entry->weight >= 1 &&
	       entry->weight <= SPEED_WEIGHT_MAX &&
	       entry->age_msec <= SPEED_AGE_MAX_USEC / USEC_PER_MSEC;
}

void speeds_merge(struct speeds *speeds, int64_t now,
		  const struct speed_entry *entry)
{
	int64_t at = now - (int64_t)entry->age_msec * USEC_PER_MSEC;
	double factor = entry->percent / PERCENT;
	struct speed_server *server;
	int64_t *active_at;

	if (!speeds || !entry_valid(entry))
		return;
	active_at = entry->remote ? &speeds->remote_at : &speeds->local_at;
	*active_at = MAX(*active_at, at);
	server = speed_server_get(speeds, entry->server, now);
	if (!entry->remote) {
		server->local_at = MAX(server->local_at, at);
		server->told = (struct speed_told){factor, now};
	}
	if (server->peers.at != SPEED_NEVER &&
	    at < server->peers.at + SAME_SAMPLE_USEC)
		return;
	speed_mean_add(&server->peers, at,
		       MIN((double)entry->weight, ENTRY_WEIGHT_MAX), factor);
	speed_report(speeds, server, now);
}
