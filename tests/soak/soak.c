/* soak BUILD SEED [SECONDS [repeats|asks]]: one run; exit status 1 when a
 * promise broke. With "repeats" a caller sends again and again what ends
 * servers, with "asks" servers name limits, ask for rest and say that they
 * leave. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib/gstdio.h>

#include "soak.h"

#define SECONDS 8
#define CALL_USEC (12 * USEC_PER_MSEC)
#define WATCH_USEC (20 * USEC_PER_MSEC)
#define HANG_UP_SHARE 0.05
/* After all faults have ended: calls end, all instances are back, and what was
 * held for nobody has run out. */
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
	timer_start(timer, CALL_USEC);
}

/* Set apart from the timer, since a strike may call and so turn the loop. */
static void on_fault(struct timer *timer, void *ctx)
{
	loop_stop(((struct soak *)ctx)->loop);
}

static void on_watch(struct timer *timer, void *ctx)
{
	instances_watch(ctx);
	timer_start(timer, WATCH_USEC);
}

static void on_turn_end(struct timer *timer, void *ctx)
{
	loop_stop(((struct soak *)ctx)->loop);
}

void soak_turn(struct soak *soak, int64_t usec)
{
	struct timer end;

	/* A callback may be using what a turn within it would free. */
	g_assert_false(soak->turning);
	soak->turning = true;
	timer_init(&end, soak->clock, on_turn_end, soak);
	timer_start(&end, usec);
	loop_run(soak->loop);
	timer_stop(&end);
	soak->turning = false;
}

/* Every instance serves every kind again, with the version that came last. */
static void recovery_check(struct soak *soak)
{
	guint first = soak->calls->len;

	for (int i = 0; i < INSTANCES; i++)
		for (int kind = 0; kind < KINDS; kind++)
			call_start(soak, (enum call_kind)kind, i, CALLER_ACME);
	soak_turn(soak, QUIET_USEC);
	for (guint i = first; i < soak->calls->len; i++) {
		const struct call *call = soak->calls->pdata[i];

		if (call->status != 200 || !call->whole)
			soak_fail(soak, "%s: kind %d is not served again (%d)",
				  call->id, (int)call->kind, call->status);
	}
}

static void soak_run(struct soak *soak, int seconds)
{
	soak_start(soak);
	timer_init(&soak->watch_timer, soak->clock, on_watch, soak);
	timer_init(&soak->call_timer, soak->clock, on_call, soak);
	timer_init(&soak->fault_timer, soak->clock, on_fault, soak);
	timer_start(&soak->watch_timer, 0);
	soak_turn(soak, USEC_PER_SEC);
	soak->end_at = clock_now(soak->clock) + seconds * USEC_PER_SEC;
	timer_start(&soak->call_timer, 0);
	if (soak->repeating)
		repeats_start(soak);
	if (soak->asking)
		asks_start(soak);
	while (clock_now(soak->clock) < soak->end_at) {
		soak_turn(soak, g_rand_int_range(soak->rand, 50, 500) *
					USEC_PER_MSEC);
		fault_strike(soak);
	}
	faults_heal(soak);
	if (soak->asking)
		asks_heal(soak);
	soak_turn(soak, SETTLE_USEC);
	recovery_check(soak);
	if (soak->asking) {
		asks_check(soak);
		/* The last calls are still under way. */
		soak_turn(soak, QUIET_USEC);
	}
	calls_check(soak);
	if (soak->repeating)
		repeats_check(soak);
	timer_stop(&soak->watch_timer);
	soak_stop(soak);
}

int main(int argc, char **argv)
{
	struct soak soak = {.version = 3};
	uint32_t seed = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 1;
	int seconds = argc > 3 ? atoi(argv[3]) : SECONDS;

	soak.repeating = argc > 4 && strcmp(argv[4], "repeats") == 0;
	soak.asking = argc > 4 && strcmp(argv[4], "asks") == 0;
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	soak.build = argc > 1 ? argv[1] : "build";
	soak.folder = g_dir_make_tmp("soak-XXXXXX", NULL);
	soak.clock = clock_create_system();
	soak.loop = loop_create(soak.clock);
	soak.client = web_client_create(soak.loop);
	soak.rand = g_rand_new_with_seed(seed);
	soak.callers = g_rand_new_with_seed(seed + 1000000);
	soak.asks = g_rand_new_with_seed(seed + 2000000);
	soak.calls = g_ptr_array_new();
	soak_run(&soak, seconds);
	printf("seed %u: %s, %u calls, %u faults, %u broken%s%s\n", seed,
	       soak.failures ? "FAILED" : "ok", soak.calls->len, soak.faults,
	       soak.failures, soak.failures ? ", logs in " : "",
	       soak.failures ? soak.folder : "");
	g_rand_free(soak.rand);
	g_rand_free(soak.callers);
	g_rand_free(soak.asks);
	g_free(soak.site_address);
	g_free(soak.folder);
	return soak.failures > 0;
}
