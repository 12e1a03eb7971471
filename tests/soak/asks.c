/* Backpressure: servers announce rate limits, request backoffs and announce
 * that they are leaving, in addition to all other faults. */
#include <stdio.h>

#include "soak.h"

#define CHANGE_INTERVAL_USEC (700 * USEC_PER_MSEC)
/* Time after which all instances must observe what a server announced. */
#define PROPAGATION_USEC (3200 * USEC_PER_MSEC)
#define OBSERVATION_USEC (5 * USEC_PER_SEC)

static const char *const servers[] = {"s1", "s2", "p1", "p2", "d1", "d2"};

static void limit_set(struct soak *soak, const char *server, double limit)
{
	g_autofree char *body = g_strdup_printf(
		"{\"server\":\"%s\",\"per_s\":%.1f}", server, limit);

	site_post(soak, "/site/limit", body);
}

static void backoff_set(struct soak *soak, const char *server, double sec)
{
	g_autofree char *body = g_strdup_printf(
		"{\"server\":\"%s\",\"sec\":%.2f}", server, sec);

	site_post(soak, "/site/backoff", body);
}

static void leaving_set(struct soak *soak, const char *server)
{
	g_autofree char *body = g_strdup_printf("{\"server\":\"%s\"}", server);

	site_post(soak, "/site/leaving", body);
}

/* Starts a new incarnation, which announces nothing. */
static void server_restart(struct soak *soak, const char *server)
{
	g_autofree char *body = g_strdup_printf(
		"{\"server\":\"%s\",\"state\":\"again\"}", server);

	site_post(soak, "/site/state", body);
}

static void on_backpressure(struct timer *timer, void *ctx)
{
	struct soak *soak = ctx;
	const char *server = servers[g_rand_int_range(
		soak->backpressure_rand, 0, G_N_ELEMENTS(servers))];

	if (clock_now(soak->clock) >= soak->end_at)
		return;
	switch (g_rand_int_range(soak->backpressure_rand, 0, 5)) {
	case 0:
		limit_set(soak, server,
			  g_rand_int_range(soak->backpressure_rand, 0, 12));
		break;
	case 1:
		limit_set(soak, server, -1.0);
		break;
	case 2:
		backoff_set(soak, server,
			    g_rand_int_range(soak->backpressure_rand, 0, 4) /
				    2.0);
		break;
	case 3:
		leaving_set(soak, server);
		break;
	default:
		server_restart(soak, server);
		break;
	}
	timer_start(timer, CHANGE_INTERVAL_USEC);
}

void backpressure_start(struct soak *soak)
{
	timer_init(&soak->backpressure_timer, soak->clock, on_backpressure,
		   soak);
	timer_start(&soak->backpressure_timer, 0);
}

void backpressure_clear(struct soak *soak)
{
	site_post_wait(soak);
	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
		limit_set(soak, servers[i], -1.0);
		backoff_set(soak, servers[i], 0.0);
		server_restart(soak, servers[i]);
	}
	site_post_wait(soak);
}

static int64_t violations_count(struct soak *soak)
{
	return site_call(soak, "GET", "/site/ledger", NULL, "over_limit") +
	       site_call(soak, "GET", "/site/ledger", NULL, "after_leaving");
}

/* An instance that was killed or partitioned may violate limits until it learns
 * of them again. So violations are counted only after the faults are cleared
 * and the announcements have had time to spread. */
void backpressure_check(struct soak *soak)
{
	int64_t before;
	int64_t after;

	limit_set(soak, "s1", 4.0);
	limit_set(soak, "s2", 6.0);
	limit_set(soak, "d1", 2.0);
	leaving_set(soak, "p1");
	site_post_wait(soak);
	soak->end_at =
		clock_now(soak->clock) + PROPAGATION_USEC + OBSERVATION_USEC;
	timer_start(&soak->call_timer, 0);
	soak_loop_run(soak, PROPAGATION_USEC);
	before = violations_count(soak);
	soak_loop_run(soak, OBSERVATION_USEC);
	after = violations_count(soak);
	if (after > before)
		soak_fail(soak, "%d requests against what servers asked for",
			  (int)(after - before));
}
