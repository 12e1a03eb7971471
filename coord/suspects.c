#include "coord/suspects.h"

#include <glib.h>

#include "common/clock.h"

/* The share of the requests with a held part that are probes begins at 2^-12,
 * with three crashes, and doubles every two seconds after the last one, so that
 * the next probe depends little on the rate of requests and on how many
 * instances share them. With each crash it begins at half of that and grows
 * half as fast. */
#define PART_PROBE_BITS 9u
#define PART_PROBE_DOUBLING_USEC (250 * USEC_PER_MSEC)
/* One in so many of the requests that is as likely as others to be the cause is
 * a probe. */
#define REQUEST_PROBE_INTERVAL 8u

void suspects_add(struct suspects *suspects, struct suspect suspect)
{
	if (suspects->count < REQUEST_SUSPECTS_MAX)
		suspects->items[suspects->count++] = suspect;
}

void suspects_record_crash(struct quarantine *quarantine,
			   const struct suspects *suspects, uint64_t server,
			   int64_t now, suspect_changed_fn fn, void *ctx)
{
	for (uint32_t i = 0; i < suspects->count; i++) {
		const struct suspect *suspect = &suspects->items[i];

		if (quarantine_record_crash(quarantine, &suspect->fingerprint,
					    suspect->keyed_hash, server, now))
			fn(ctx, &suspect->fingerprint);
	}
}

void suspects_record_success(struct quarantine *quarantine,
			     const struct suspects *suspects, int64_t now)
{
	for (uint32_t i = 0; i < suspects->count; i++)
		quarantine_record_success(quarantine,
					  suspects->items[i].keyed_hash, now);
}

void suspects_clear(struct quarantine *quarantine,
		    const struct suspects *suspects, suspect_changed_fn fn,
		    void *ctx)
{
	for (uint32_t i = 0; i < suspects->count; i++) {
		const struct request_fingerprint *fingerprint =
			&suspects->items[i].fingerprint;

		if (quarantine_clear(quarantine, fingerprint))
			fn(ctx, fingerprint);
	}
}

static bool has_suspect(const struct suspects *suspects,
			const struct request_fingerprint *fingerprint)
{
	for (uint32_t i = 0; i < suspects->count; i++)
		if (fingerprint_same(&suspects->items[i].fingerprint,
				     fingerprint))
			return true;
	return false;
}

static bool is_other(const void *ctx,
		     const struct request_fingerprint *fingerprint)
{
	return !has_suspect(ctx, fingerprint);
}

/* Callers cannot choose the hash of an attempt. A probe stays one in all of its
 * steps unless another server crashes meanwhile. */
static bool is_probe(const struct suspects *suspects, uint64_t interval)
{
	return suspects->attempt % interval == 0;
}

static uint64_t part_probe_interval(const struct quarantine_entry *entry,
				    int64_t age)
{
	int64_t doublings =
		MAX(age, 0) / (PART_PROBE_DOUBLING_USEC << entry->count);
	int64_t bits = (int64_t)(PART_PROBE_BITS + entry->count) - doublings;

	return (uint64_t)1 << MAX(bits, 0);
}

static bool part_holds(const struct suspects *suspects,
		       const struct quarantine_entry *entry, int64_t age,
		       enum quarantine_explanation explanation)
{
	return explanation == EXPLAINED_NOT &&
	       !is_probe(suspects, part_probe_interval(entry, age));
}

static bool request_holds(const struct suspects *suspects,
			  enum quarantine_explanation explanation)
{
	if (explanation == EXPLAINED_AS_WELL)
		return !is_probe(suspects, REQUEST_PROBE_INTERVAL);
	return explanation == EXPLAINED_NOT;
}

const struct quarantine_entry *
suspects_find_held(struct quarantine *quarantine,
		   const struct suspects *suspects, int64_t now,
		   suspect_changed_fn fn, void *ctx)
{
	for (uint32_t i = 0; i < suspects->count; i++) {
		const struct suspect *suspect = &suspects->items[i];
		const struct request_fingerprint *fingerprint =
			&suspect->fingerprint;
		const struct quarantine_entry *entry =
			quarantine_find(quarantine, fingerprint);
		enum quarantine_explanation explanation;

		if (!quarantine_holds(quarantine, fingerprint))
			continue;
		if (quarantine_has_succeeded(quarantine, suspect->keyed_hash,
					     now)) {
			quarantine_clear(quarantine, fingerprint);
			fn(ctx, fingerprint);
			continue;
		}
		explanation = quarantine_explain(quarantine, fingerprint,
						 is_other, suspects);
		if (i == 0 ? request_holds(suspects, explanation)
			   : part_holds(suspects, entry,
					now - quarantine_changed_at(
						      quarantine, fingerprint),
					explanation))
			return entry;
	}
	return NULL;
}

bool suspects_crashed(const struct quarantine *quarantine,
		      const struct suspects *suspects, int64_t now)
{
	for (uint32_t i = 0; i < suspects->count; i++) {
		const struct suspect *suspect = &suspects->items[i];
		const struct quarantine_entry *entry =
			quarantine_find(quarantine, &suspect->fingerprint);

		if (entry && entry->count > 0 &&
		    !quarantine_has_succeeded(quarantine, suspect->keyed_hash,
					      now))
			return true;
	}
	return false;
}
