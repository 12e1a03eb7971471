#include "coord/suspects.h"

#include <glib.h>

#include "common/clock.h"
#include "common/id.h"

/* The share of the requests with a held part that are probes begins at 2^-12
 * and doubles every two seconds after the last crash, so that the next probe
 * depends little on the rate of requests and on how many instances share them.
 * With each further crash it begins at half of that and grows half as fast. */
#define PART_PROBE_BITS 12u
#define PART_PROBE_DOUBLING_USEC (2 * USEC_PER_SEC)
#define PART_PROBE_EXCESS_MAX 8u
/* Until the crash of a server is known from all instances whose requests it
 * ran: before that, what only ran beside the cause may be ahead by one crash.
 */
#define SETTLE_USEC (100 * USEC_PER_MSEC)
/* One in so many of the requests that is as likely as others to be the cause is
 * a probe. */
#define REQUEST_PROBE_INTERVAL 8u

void suspects_add(struct suspects *suspects, struct suspect suspect)
{
	if (suspects->count < REQUEST_SUSPECTS_MAX)
		suspects->items[suspects->count++] = suspect;
}

struct suspects suspects_at(const struct suspects *suspects, uint64_t software)
{
	struct suspects at = *suspects;

	for (uint32_t i = 0; i < at.count; i++) {
		struct suspect *suspect = &at.items[i];

		suspect->fingerprint =
			fingerprint_at(&suspect->fingerprint, software);
		suspect->keyed_hash = id_mix(suspect->keyed_hash, software);
	}
	return at;
}

/* What crashes of requests in that state count against: a request as a whole
 * is the cause of its own crashes whether its answer had begun or not. */
static struct request_fingerprint
suspect_fingerprint(const struct suspects *suspects, uint32_t i, bool begun)
{
	const struct request_fingerprint *id = &suspects->items[i].fingerprint;

	return begun && i > 0 ? fingerprint_begun(id) : *id;
}

void suspects_record_crash(struct quarantine *quarantine,
			   const struct suspects *suspects, uint64_t server,
			   int64_t now, suspect_changed_fn fn, void *ctx)
{
	for (uint32_t i = 0; i < suspects->count; i++) {
		const struct request_fingerprint id =
			suspect_fingerprint(suspects, i, suspects->begun);

		if (quarantine_record_crash(quarantine, &id,
					    suspects->items[i].keyed_hash,
					    server, now))
			fn(ctx, &id);
	}
}

void suspects_record_success(struct quarantine *quarantine,
			     const struct suspects *suspects, int64_t now)
{
	for (uint32_t i = 0; i < suspects->count; i++)
		quarantine_record_success(quarantine,
					  suspects->items[i].keyed_hash, now);
}

static void suspect_clear(struct quarantine *quarantine,
			  const struct request_fingerprint *id,
			  suspect_changed_fn fn, void *ctx)
{
	if (quarantine_clear(quarantine, id))
		fn(ctx, id);
}

void suspects_clear(struct quarantine *quarantine,
		    const struct suspects *suspects, suspect_changed_fn fn,
		    void *ctx)
{
	for (uint32_t i = 0; i < suspects->count; i++) {
		const struct request_fingerprint *id =
			&suspects->items[i].fingerprint;
		const struct request_fingerprint begun = fingerprint_begun(id);

		suspect_clear(quarantine, id, fn, ctx);
		suspect_clear(quarantine, &begun, fn, ctx);
	}
}

/* Whether it is about something that the request does not have, whoever the
 * caller was. */
static bool is_other(const void *ctx,
		     const struct request_fingerprint *fingerprint)
{
	const struct suspects *suspects = ctx;

	for (uint32_t i = 0; i < suspects->count; i++)
		if (suspects->items[i].fingerprint.high == fingerprint->high)
			return false;
	return true;
}

/* Callers cannot choose the hash of an attempt. A probe stays one in all of its
 * steps unless another server crashes meanwhile. */
static bool is_probe(const struct suspects *suspects, uint64_t interval)
{
	return suspects->attempt % interval == 0;
}

static uint64_t part_probe_interval(const struct quarantine_verdict *verdict,
				    int64_t now)
{
	uint32_t excess = MIN(verdict->excess, PART_PROBE_EXCESS_MAX);
	int64_t age = MAX(now - verdict->changed_at, 0);
	int64_t doublings = age / (PART_PROBE_DOUBLING_USEC << excess);
	int64_t bits = (int64_t)(PART_PROBE_BITS + excess) - doublings;

	return (uint64_t)1 << MAX(bits, 0);
}

static bool request_holds(const struct suspects *suspects,
			  enum quarantine_explanation explanation)
{
	if (explanation == EXPLAINED_AS_WELL)
		return !is_probe(suspects, REQUEST_PROBE_INTERVAL);
	return explanation == EXPLAINED_NOT;
}

/* Whether the request is refused by that verdict, unless other entries account
 * for its crashes. */
static bool verdict_applies(const struct quarantine *quarantine,
			    const struct suspects *suspects, bool is_part,
			    const struct quarantine_verdict *verdict,
			    int64_t now)
{
	bool settled = now - verdict->changed_at >= SETTLE_USEC;
	enum quarantine_explanation explanation;

	if (verdict->corroborated && !is_part)
		return false;
	explanation = quarantine_explain(
		quarantine, &verdict->entry->fingerprint,
		is_part && !settled ? 1 : 0, is_other, suspects);
	if (!is_part)
		return request_holds(suspects, explanation);
	return explanation == EXPLAINED_NOT &&
	       !is_probe(suspects, part_probe_interval(verdict, now));
}

static const struct quarantine_entry *
find_held(struct quarantine *quarantine, const struct suspects *suspects,
	  bool begun, int64_t now, suspect_changed_fn fn, void *ctx)
{
	for (uint32_t i = begun ? 1 : 0; i < suspects->count; i++) {
		const struct request_fingerprint id =
			suspect_fingerprint(suspects, i, begun);
		struct quarantine_verdict verdict;

		if (!quarantine_refuses(quarantine, &id, &verdict))
			continue;
		if (quarantine_has_succeeded(
			    quarantine, suspects->items[i].keyed_hash, now))
			suspect_clear(quarantine, &id, fn, ctx);
		else if (verdict_applies(quarantine, suspects, i > 0, &verdict,
					 now))
			return verdict.entry;
	}
	return NULL;
}

const struct quarantine_entry *
suspects_find_held(struct quarantine *quarantine,
		   const struct suspects *suspects, int64_t now,
		   suspect_changed_fn fn, void *ctx)
{
	const struct quarantine_entry *entry =
		find_held(quarantine, suspects, false, now, fn, ctx);

	return entry ? entry
		     : find_held(quarantine, suspects, true, now, fn, ctx);
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
