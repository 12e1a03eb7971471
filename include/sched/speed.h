/*
 * speed.h - estimates how long servers take for the same work
 *
 * DESCRIPTION
 *	The factor of a server is the time that it takes, divided by the median
 *	of its service: 1.0 is usual, 2.0 is twice as long. It is between
 *	SPEED_FACTOR_MIN and SPEED_FACTOR_MAX, and 1.0 for a server of which
 *	nothing is known. Servers are identified by backend_key(), which changes
 *	with each restart, so a restart discards what was learnt.
 *
 *	Sources are times that this instance measured (seen), the pace that a
 *	server states with its answers (stated), and entries of other instances.
 *	Each loses weight with age, and so does the factor, towards 1.0. A
 *	server that states a better pace than is seen gains nothing: once
 *	SPEED_SEEN_ENOUGH samples are seen, no factor is below the seen one.
 *
 *	Until a server has stated a pace, here or at another instance, and once
 *	none has for a while, speeds_active() is false, every factor is 1.0 and
 *	nothing is exported.
 *
 *	All times are in microseconds of the caller's clock. Values that are not
 *	finite or beyond the bounds are clamped or ignored; nothing fails. At
 *	most SPEED_SERVERS_MAX servers are kept: the one whose last sample is
 *	the oldest is evicted. Functions that read accept NULL as an empty set.
 */
#ifndef SCHED_SPEED_H
#define SCHED_SPEED_H

#include <stdbool.h>
#include <stdint.h>

#define SPEED_FACTOR_MIN 0.25
#define SPEED_FACTOR_MAX 4.0
#define SPEED_PERCENT_MIN 25u
#define SPEED_PERCENT_MAX 400u
/* Servers kept, at about 200 bytes each. */
#define SPEED_SERVERS_MAX 1024u
/* Samples within the half-life after which the seen factor is a lower bound. */
#define SPEED_SEEN_ENOUGH 4.0
/* Entries in one message. */
#define SPEED_ENTRIES_MAX 6u
/* Oldest entry that is sent or accepted; it has lost 7/8 of its weight. For as
 * long after a server has stated a pace the estimates are used. */
#define SPEED_AGE_MAX_USEC INT64_C(30000000)
/* Largest weight of an entry, in samples. */
#define SPEED_WEIGHT_MAX 100u

/* What one instance knows of a server, for others. */
struct speed_entry {
	uint64_t server;
	uint32_t percent;  /* time factor */
	uint32_t weight;   /* samples, 1 to SPEED_WEIGHT_MAX */
	uint32_t age_msec; /* of the last sample */
	bool remote;	   /* from another data centre; not on the wire */
};

/* A change of a factor, with its sources: the mean of each and the number of
 * samples, decayed. A source without samples has weight 0. */
struct speed_source {
	double factor;
	double weight;
};
struct speed_change {
	uint64_t server;
	double before;
	double factor;
	struct speed_source seen;
	struct speed_source stated;
	struct speed_source peers;
};
typedef void (*speed_changed_fn)(void *ctx, const struct speed_change *change);

struct speeds;

struct speeds *speeds_create(void);
void speeds_destroy(struct speeds *speeds);
/* Calls fn when the factor of a server differs by a quarter from the one that
 * was reported last, at most once a second for each server. */
void speeds_on_change(struct speeds *speeds, speed_changed_fn fn, void *ctx);
/* Work took usec where the median of its service is usual_usec. */
void speeds_seen(struct speeds *speeds, uint64_t server, int64_t now,
		 double usec, double usual_usec);
/* The server has stated the factor with an answer. */
void speeds_stated(struct speeds *speeds, uint64_t server, int64_t now,
		   double factor);
/* An entry of another instance. It is ignored unless its last sample is at
 * least 100 ms newer than that of the entry before, so that samples which are
 * sent again, or by a second sender, count once. */
void speeds_merge(struct speeds *speeds, int64_t now,
		  const struct speed_entry *entry);
/* What this instance has itself seen or was told by servers, those first of
 * which this data centre was told nothing, then the newest: up to max entries
 * that differ by over a tenth from what this data centre was last told, by this
 * instance or another, or that it was told over two seconds ago. Returns their
 * number. */
uint32_t speeds_export(struct speeds *speeds, int64_t now,
		       struct speed_entry *entries, uint32_t max);
/* The same for other data centres, with what instances of this one have sent.
 */
uint32_t speeds_export_group(struct speeds *speeds, int64_t now,
			     struct speed_entry *entries, uint32_t max);
/* All that is known, also of others, for an instance that has started: in the
 * order of a hash with the seed, the next ones after the cursor, which begins
 * at 0 and is moved. */
uint32_t speeds_export_next(const struct speeds *speeds, int64_t now,
			    uint64_t seed, uint64_t *cursor,
			    struct speed_entry *entries, uint32_t max);
/* The expected factor over the next second or so, for long work: streams and
 * prefills. */
double speeds_factor(const struct speeds *speeds, uint64_t server, int64_t now);
/* The factor at this moment, for short work: plain calls. */
double speeds_now(const struct speeds *speeds, uint64_t server, int64_t now);
/* Whether any server has stated a pace lately. */
bool speeds_active(const struct speeds *speeds, int64_t now);
/* Discards what is known of the server. */
void speeds_forget(struct speeds *speeds, uint64_t server);
/* Servers whose factor is known. */
uint32_t speeds_known(const struct speeds *speeds, int64_t now);

#endif
