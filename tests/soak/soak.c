/* soak BUILD SEED [SECONDS [repeats|parts|asks|versions|drills|
 * framing|stops]]: one run; exit
 * status 1 when a guarantee was violated. With "repeats" a caller repeats a
 * request that crashes servers, with "parts" its requests have only a part of
 * their prompts in common, with "asks" servers announce rate limits, request
 * backoffs and announce that they are leaving, with "versions" servers restart
 * with other software versions and callers resume streams, with "drills" the
 * store comes back from old copies, with "framing" servers answer with and
 * without a length and crash in the middle of answers, with "stops" instances
 * are stopped in series and nothing else fails. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib/gstdio.h>

#include "soak.h"

#define DEFAULT_DURATION_SEC 8
#define CALL_INTERVAL_USEC (12 * USEC_PER_MSEC)
#define WATCH_INTERVAL_USEC (20 * USEC_PER_MSEC)
#define HANG_UP_SHARE 0.05
/* After the faults are cleared: time for calls to end, instances to restart,
 * and abandoned reservations and results to expire. */
#define SETTLE_USEC (10 * USEC_PER_SEC)
#define QUIET_USEC (4 * USEC_PER_SEC)

static void on_call(struct timer *timer, void *ctx)
{
	struct soak *soak = ctx;
	struct call *old;

	if (clock_now(soak->clock) >= soak->end_at)
		return;
	call_start(soak, (enum call_kind)g_rand_int_range(soak->rand, 0, KINDS),
		   g_rand_int_range(soak->rand, 0, INSTANCES),
		   caller_draw(soak));
	old = soak->calls->pdata[g_rand_int_range(soak->rand, 0,
						  (gint32)soak->calls->len)];
	if (old->web && g_rand_double(soak->rand) < HANG_UP_SHARE) {
		web_call_cancel(old->web);
		old->web = NULL;
		old->hung_up = true;
	}
	timer_start(timer, CALL_INTERVAL_USEC);
}

/* The fault is injected outside the loop, since it may call site_call(), which
 * runs the loop. */
static void on_fault(struct timer *timer, void *ctx)
{
	loop_stop(((struct soak *)ctx)->loop);
}

static void on_watch(struct timer *timer, void *ctx)
{
	instances_watch(ctx);
	timer_start(timer, WATCH_INTERVAL_USEC);
}

static void on_loop_end(struct timer *timer, void *ctx)
{
	loop_stop(((struct soak *)ctx)->loop);
}

void soak_loop_run(struct soak *soak, int64_t usec)
{
	struct timer end;

	/* A nested run could free objects that a callback is using. */
	g_assert_false(soak->loop_running);
	soak->loop_running = true;
	timer_init(&end, soak->clock, on_loop_end, soak);
	timer_start(&end, usec);
	loop_run(soak->loop);
	timer_stop(&end);
	soak->loop_running = false;
}

/* Each instance serves each kind of call again, with the last version. */
static void recovery_check(struct soak *soak)
{
	guint first = soak->calls->len;

	for (int i = 0; i < INSTANCES; i++)
		for (int kind = 0; kind < KINDS; kind++)
			call_start(soak, (enum call_kind)kind, i, CALLER_ACME);
	soak_loop_run(soak, QUIET_USEC);
	for (guint i = first; i < soak->calls->len; i++) {
		const struct call *call = soak->calls->pdata[i];

		if (call->status != 200 || !call->complete)
			soak_fail(soak, "%s: kind %d is not served again (%d)",
				  call->id, (int)call->kind, call->status);
	}
}

static void soak_run(struct soak *soak, int seconds, uint32_t seed)
{
	struct stops *stops = NULL;

	soak_start(soak);
	timer_init(&soak->watch_timer, soak->clock, on_watch, soak);
	timer_init(&soak->call_timer, soak->clock, on_call, soak);
	timer_init(&soak->fault_timer, soak->clock, on_fault, soak);
	timer_start(&soak->watch_timer, 0);
	soak_loop_run(soak, USEC_PER_SEC);
	soak->end_at = clock_now(soak->clock) + seconds * USEC_PER_SEC;
	timer_start(&soak->call_timer, 0);
	if (soak->repeats_enabled)
		repeats_start(soak);
	if (soak->backpressure_enabled)
		backpressure_start(soak);
	if (soak->versions_enabled)
		versions_start(soak);
	if (soak->drills_enabled)
		drills_start(soak);
	if (soak->framing_enabled)
		framing_start(soak);
	if (soak->stops_enabled)
		stops = stops_start(soak, seed);
	while (clock_now(soak->clock) < soak->end_at) {
		soak_loop_run(soak, g_rand_int_range(soak->rand, 50, 500) *
					    USEC_PER_MSEC);
		if (!soak->stops_enabled)
			fault_inject(soak);
	}
	if (stops)
		site_post_wait(soak);
	faults_clear(soak);
	if (soak->backpressure_enabled)
		backpressure_clear(soak);
	if (soak->framing_enabled)
		framing_clear(soak);
	soak_loop_run(soak, SETTLE_USEC);
	recovery_check(soak);
	if (soak->framing_enabled) {
		framing_remove(soak);
		recovery_check(soak);
	}
	if (soak->backpressure_enabled) {
		backpressure_check(soak);
		/* The last calls are still in progress. */
		soak_loop_run(soak, QUIET_USEC);
	}
	calls_check(soak);
	if (stops)
		stops_check(stops);
	if (soak->repeats_enabled)
		repeats_check(soak);
	if (soak->versions_enabled)
		versions_check(soak);
	if (soak->drills_enabled)
		drills_check(soak);
	if (soak->framing_enabled)
		framing_print(soak);
	timer_stop(&soak->watch_timer);
	soak_stop(soak);
}

int main(int argc, char **argv)
{
	struct soak soak = {.version = 3};
	uint32_t seed = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 1;
	int seconds = argc > 3 ? atoi(argv[3]) : DEFAULT_DURATION_SEC;

	soak.parts_enabled = argc > 4 && strcmp(argv[4], "parts") == 0;
	soak.part_form = seed;
	soak.repeats_enabled = soak.parts_enabled ||
			       (argc > 4 && strcmp(argv[4], "repeats") == 0);
	soak.versions_enabled = argc > 4 && strcmp(argv[4], "versions") == 0;
	soak.drills_enabled = argc > 4 && strcmp(argv[4], "drills") == 0;
	soak.dispatch_enabled = argc > 4 && strcmp(argv[4], "dispatch") == 0;
	soak.framing_enabled = argc > 4 && strcmp(argv[4], "framing") == 0;
	soak.stops_enabled = argc > 4 && strcmp(argv[4], "stops") == 0;
	soak.backpressure_enabled = argc > 4 && strcmp(argv[4], "asks") == 0;
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	soak.build = argc > 1 ? argv[1] : "build";
	soak.folder = g_dir_make_tmp("soak-XXXXXX", NULL);
	soak.clock = clock_create_system();
	soak.loop = loop_create(soak.clock);
	soak.client = web_client_create(soak.loop);
	soak.rand = g_rand_new_with_seed(seed);
	soak.caller_rand = g_rand_new_with_seed(seed + 1000000);
	soak.backpressure_rand = g_rand_new_with_seed(seed + 2000000);
	soak.version_rand = g_rand_new_with_seed(seed + 3000000);
	soak.drill_rand = g_rand_new_with_seed(seed + 4000000);
	soak.framing_rand = g_rand_new_with_seed(seed + 5000000);
	soak.calls = g_ptr_array_new();
	soak_run(&soak, seconds, seed);
	printf("seed %u: %s, %u calls, %u faults, %u broken%s%s\n", seed,
	       soak.failures ? "FAILED" : "ok", soak.calls->len, soak.faults,
	       soak.failures, soak.failures ? ", logs in " : "",
	       soak.failures ? soak.folder : "");
	g_rand_free(soak.rand);
	g_rand_free(soak.caller_rand);
	g_rand_free(soak.backpressure_rand);
	g_rand_free(soak.version_rand);
	g_rand_free(soak.drill_rand);
	g_rand_free(soak.framing_rand);
	g_free(soak.site_address);
	g_free(soak.folder);
	return soak.failures > 0;
}
