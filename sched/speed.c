/*
 * speed.c - samples of servers' speeds, and the factors that follow from them
 */
#include <math.h>

#include "common/clock.h"
#include "speed_private.h"

/* Half-life of samples, and of a factor without new samples. */
#define HALF_LIFE_USEC (10.0 * (double)USEC_PER_SEC)
/* Half-life of a stated pace as an estimate of the present one. Servers slow
 * down for some hundred milliseconds at a time. */
#define PACE_HALF_LIFE_USEC (300.0 * (double)USEC_PER_MSEC)
/* Mean weight of a pace over the second after it was stated: the integral of
 * its decay, 0.3 / ln 2 * (1 - 2^(-1 / 0.3)). */
#define PACE_SHARE 0.39
/* Samples that a factor of 1.0 counts for. A server without samples takes the
 * usual time; a single sample makes four fifths of the difference. */
#define USUAL_WEIGHT 0.25
/* Entries of peers are older than own samples by the exchange and count half.
 */
#define PEER_TRUST 0.5
/* Change of a factor that is reported, and least time between reports. */
#define REPORT_CHANGE 1.25
#define REPORT_INTERVAL_USEC (1 * USEC_PER_SEC)

bool speed_recent(int64_t at, int64_t now)
{
	return at != SPEED_NEVER && now - at <= SPEED_AGE_MAX_USEC;
}

static double decay(int64_t since, int64_t now, double half_life)
{
	return now > since ? exp2(-(double)(now - since) / half_life) : 1.0;
}

void speed_mean_add(struct speed_mean *mean, int64_t at, double weight,
		    double value)
{
	if (mean->at != SPEED_NEVER && at > mean->at) {
		double kept = decay(mean->at, at, HALF_LIFE_USEC);

		mean->weight *= kept;
		mean->sum *= kept;
	}
	mean->weight += weight;
	mean->sum += weight * value;
	mean->at = MAX(mean->at, at);
}

double speed_mean_weight(const struct speed_mean *mean, int64_t now)
{
	return mean->at == SPEED_NEVER
		       ? 0.0
		       : mean->weight * decay(mean->at, now, HALF_LIFE_USEC);
}

static double mean_value(const struct speed_mean *mean)
{
	return mean->weight > 0.0 ? mean->sum / mean->weight : 0.0;
}

/* The geometric mean: one call that was held up by something else than the
 * server moves it little. */
static double seen_factor(const struct speed_server *server)
{
	return exp(mean_value(&server->seen));
}

/* Whether enough samples were seen within the half-life. */
static bool seen_enough(const struct speed_server *server, int64_t now)
{
	for (int i = 0; i < SEEN_TIMES; i++)
		if (server->seen_times[i] == SPEED_NEVER ||
		    (double)(now - server->seen_times[i]) > HALF_LIFE_USEC)
			return false;
	return true;
}

int64_t speed_own_at(const struct speed_server *server)
{
	return MAX(server->seen.at, server->stated.at);
}

/* Mean over the sources by their samples, drawn to 1.0 with age. Serves steady
 * differences between servers. */
double speed_usual(const struct speed_server *server, int64_t now,
		   bool own_only)
{
	int64_t newest = own_only ? speed_own_at(server)
				  : MAX(speed_own_at(server), server->peers.at);
	double seen;
	double stated;
	double peers;
	double weight;
	double mean;
	double factor;

	if (newest == SPEED_NEVER)
		return 1.0;
	seen = speed_mean_weight(&server->seen, newest);
	stated = speed_mean_weight(&server->stated, newest);
	peers = own_only ? 0.0
			 : speed_mean_weight(&server->peers, newest) *
				   PEER_TRUST;
	weight = seen + stated + peers;
	mean = (seen * seen_factor(server) +
		stated * mean_value(&server->stated) +
		peers * mean_value(&server->peers)) /
	       weight;
	factor = 1.0 + (mean - 1.0) * weight / (weight + USUAL_WEIGHT) *
			       decay(newest, now, HALF_LIFE_USEC);
	return seen_enough(server, now) ? MAX(factor, seen_factor(server))
					: factor;
}

/* share: weight of a pace that was stated just now. Serves servers that slow
 * down for a moment, and those that state a better pace than they have. */
static double factor_of(const struct speed_server *server, int64_t now,
			double share)
{
	double factor = speed_usual(server, now, false);

	if (server->stated.at != SPEED_NEVER)
		factor += (server->pace - factor) * share *
			  decay(server->stated.at, now, PACE_HALF_LIFE_USEC);
	if (seen_enough(server, now))
		factor = MAX(factor, seen_factor(server));
	return CLAMP(factor, SPEED_FACTOR_MIN, SPEED_FACTOR_MAX);
}

static double factor_find(const struct speeds *speeds, uint64_t key,
			  int64_t now, double share)
{
	const struct speed_server *server;

	if (!speeds_active(speeds, now))
		return 1.0;
	server = g_hash_table_lookup(speeds->servers, &key);
	return server ? factor_of(server, now, share) : 1.0;
}

double speeds_factor(const struct speeds *speeds, uint64_t server, int64_t now)
{
	return factor_find(speeds, server, now, PACE_SHARE);
}

double speeds_now(const struct speeds *speeds, uint64_t server, int64_t now)
{
	return factor_find(speeds, server, now, 1.0);
}

bool speeds_active(const struct speeds *speeds, int64_t now)
{
	return speeds && (speed_recent(speeds->stated_at, now) ||
			  speed_recent(speeds->local_at, now) ||
			  speed_recent(speeds->remote_at, now));
}

uint32_t speeds_known(const struct speeds *speeds, int64_t now)
{
	const struct speed_server *server;
	uint32_t count = 0;
	GHashTableIter iter;

	if (!speeds_active(speeds, now))
		return 0;
	g_hash_table_iter_init(&iter, speeds->servers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&server))
		count += speed_recent(
			MAX(speed_own_at(server), server->peers.at), now);
	return count;
}

void speed_report(const struct speeds *speeds, struct speed_server *server,
		  int64_t now)
{
	struct speed_change change = {
		.server = server->key,
		.before = server->reported.factor,
		.factor = speed_usual(server, now, false),
		.seen = {seen_factor(server),
			 speed_mean_weight(&server->seen, now)},
		.stated = {mean_value(&server->stated),
			   speed_mean_weight(&server->stated, now)},
		.peers = {mean_value(&server->peers),
			  speed_mean_weight(&server->peers, now)},
	};
	double ratio = change.factor / change.before;

	if (!speeds->changed || !speeds_active(speeds, now) ||
	    (ratio < REPORT_CHANGE && ratio > 1.0 / REPORT_CHANGE) ||
	    (server->reported.at != SPEED_NEVER &&
	     now - server->reported.at < REPORT_INTERVAL_USEC))
		return;
	server->reported = (struct speed_told){change.factor, now};
	speeds->changed(speeds->changed_ctx, &change);
}

/* ---- samples ---- */

static void oldest_evict(struct speeds *speeds)
{
	const struct speed_server *oldest = NULL;
	const struct speed_server *server;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, speeds->servers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&server))
		if (!oldest || server->touched_at < oldest->touched_at)
			oldest = server;
	if (oldest)
		speeds_forget(speeds, oldest->key);
}

struct speed_server *speed_server_get(struct speeds *speeds, uint64_t key,
				      int64_t now)
{
	static const struct speed_mean none = {.at = SPEED_NEVER};
	static const struct speed_told untold = {1.0, SPEED_NEVER};
	struct speed_server *server =
		g_hash_table_lookup(speeds->servers, &key);

	if (!server) {
		if (g_hash_table_size(speeds->servers) >= SPEED_SERVERS_MAX)
			oldest_evict(speeds);
		server = g_new0(struct speed_server, 1);
		server->key = key;
		server->seen = none;
		server->stated = none;
		server->peers = none;
		server->local_at = SPEED_NEVER;
		server->told = untold;
		server->told_group = untold;
		server->reported = untold;
		for (int i = 0; i < SEEN_TIMES; i++)
			server->seen_times[i] = SPEED_NEVER;
		g_hash_table_insert(speeds->servers, &server->key, server);
	}
	server->touched_at = now;
	return server;
}

static bool is_positive(double value)
{
	return isfinite(value) && value > 0.0;
}

void speeds_seen(struct speeds *speeds, uint64_t key, int64_t now, double usec,
		 double usual_usec)
{
	struct speed_server *server;
	double factor;

	if (!speeds || !is_positive(usec) || !is_positive(usual_usec))
		return;
	factor = CLAMP(usec / usual_usec, SPEED_FACTOR_MIN, SPEED_FACTOR_MAX);
	server = speed_server_get(speeds, key, now);
	speed_mean_add(&server->seen, now, 1.0, log(factor));
	server->seen_times[server->seen_next++ % SEEN_TIMES] = now;
	speed_report(speeds, server, now);
}

void speeds_stated(struct speeds *speeds, uint64_t key, int64_t now,
		   double factor)
{
	struct speed_server *server;

	if (!speeds || !is_positive(factor))
		return;
	factor = CLAMP(factor, SPEED_FACTOR_MIN, SPEED_FACTOR_MAX);
	server = speed_server_get(speeds, key, now);
	speed_mean_add(&server->stated, now, 1.0, factor);
	server->pace = factor;
	speeds->stated_at = now;
	speed_report(speeds, server, now);
}

void speeds_forget(struct speeds *speeds, uint64_t server)
{
	if (speeds)
		g_hash_table_remove(speeds->servers, &server);
}

struct speeds *speeds_create(void)
{
	struct speeds *speeds = g_new0(struct speeds, 1);

	speeds->servers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	speeds->stated_at = SPEED_NEVER;
	speeds->local_at = SPEED_NEVER;
	speeds->remote_at = SPEED_NEVER;
	return speeds;
}

void speeds_destroy(struct speeds *speeds)
{
	if (!speeds)
		return;
	g_hash_table_unref(speeds->servers);
	g_free(speeds);
}

void speeds_on_change(struct speeds *speeds, speed_changed_fn fn, void *ctx)
{
	speeds->changed = fn;
	speeds->changed_ctx = ctx;
}
