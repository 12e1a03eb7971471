/* A caller that repeats a request which crashes each server that runs it. */
#include <stdio.h>
#include <string.h>

#include "soak.h"

/* Time between two repeats, each at the next instance. */
#define REPEAT_INTERVAL_USEC (150 * USEC_PER_MSEC)
/* Servers that one request fingerprint may crash before it is quarantined:
 * three, and those running it at the third crash. As many more are allowed for
 * each time that all instances were killed at once, since entries that had not
 * reached the store are lost then. */
#define CRASHED_SERVERS_MAX 5u

/* With this many crashes a repeat must have been refused: each of the two
 * fingerprints is held from its third crash on, unless all instances were
 * killed just then or the store hid all servers from the repeats. */
#define UNREFUSED_CRASHES_MAX 10
/* More for each time that all instances were killed: of two fingerprints with
 * two crashes each nothing is kept, since only held entries are stored. Seed
 * 9219: killed three times, each time with two crashes known, 14 crashed
 * servers. */
#define UNREFUSED_CRASHES_PER_LOSS 4

static void on_answer(void *ctx, const struct web_result *result, int status,
		      const void *body, size_t size)
{
	struct soak *soak = ctx;

	soak->repeats_refused +=
		result->ok && status == 503 &&
		g_strstr_len(body, (gssize)size, "quarantined") != NULL;
}

static void on_repeat(struct timer *timer, void *ctx)
{
	static const char *const paths[] = {"/stream/ends", "/once/ends"};
	struct soak *soak = ctx;
	const struct instance *instance =
		&soak->instances[soak->repeats % INSTANCES];
	char id[32];
	struct web_header headers[] = {
		{{"request-id", 10}, {id, 0}},
		{{"deadline-ms", 11}, {"5000", 4}},
		{{"token-count", 11}, {"100,50", 6}},
		{{"authorization", 13}, {"Token ka", 8}},
	};
	const struct web_call_spec spec = {
		.address = proxy_address(instance->callers),
		.method = "POST",
		.path = paths[soak->repeats % G_N_ELEMENTS(paths)],
		.host = {"site.example", 12},
		.headers = headers,
		.header_count = G_N_ELEMENTS(headers),
		.body = SOAK_CRASH_BODY,
		.body_size = strlen(SOAK_CRASH_BODY),
		.head_usec = USEC_PER_SEC,
		.idle_usec = USEC_PER_SEC,
		.fresh = true,
	};

	if (clock_now(soak->clock) >= soak->end_at)
		return;
	headers[0].value.size =
		(size_t)snprintf(id, sizeof(id), "acme.e%u", ++soak->repeats);
	web_fetch(soak->client, &spec, 1 << 16, on_answer, soak);
	timer_start(timer, REPEAT_INTERVAL_USEC);
}

void repeats_start(struct soak *soak)
{
	timer_init(&soak->repeat_timer, soak->clock, on_repeat, soak);
	timer_start(&soak->repeat_timer, 0);
}

void repeats_check(struct soak *soak)
{
	/* Two fingerprints: one of streams, one of plain calls. */
	int64_t most =
		2 * (int64_t)CRASHED_SERVERS_MAX * (1 + soak->all_killed);
	int64_t ended = site_call(soak, "GET", "/site/ledger", NULL, "ended");

	printf("  %u repeats, %u refused, %d servers ended, all killed %u "
	       "times\n",
	       soak->repeats, soak->repeats_refused, (int)ended,
	       soak->all_killed);
	if (ended > most)
		soak_fail(soak, "%d servers ended under two works, %d may",
			  (int)ended, (int)most);
	if (ended >= UNREFUSED_CRASHES_MAX +
			     UNREFUSED_CRASHES_PER_LOSS * soak->all_killed &&
	    soak->repeats_refused == 0)
		soak_fail(soak, "%d servers ended and no repeat was refused",
			  (int)ended);
}
