/* Servers of several software versions that change at restarts, and callers
 * that resume streams which were broken off. */
#include <stdio.h>
#include <string.h>

#include "soak.h"

#define CHANGE_INTERVAL_USEC (700 * USEC_PER_MSEC)
#define RESUME_INTERVAL_USEC (50 * USEC_PER_MSEC)

static const char *const decoders[] = {"d1", "d2"};

static void version_set(struct soak *soak, const char *field)
{
	g_autofree char *state = g_strdup_printf(
		"{\"server\":\"%s\",\"state\":\"ready\",\"%s\":\"v%d\"}",
		decoders[g_rand_int_range(soak->version_rand, 0,
					  G_N_ELEMENTS(decoders))],
		field, g_rand_int_range(soak->version_rand, 1, 4));

	site_post(soak, "/site/state", state);
}

/* The next request crashes the server, which comes back with another version.
 */
static void on_change(struct timer *timer, void *ctx)
{
	struct soak *soak = ctx;
	g_autofree char *crash = g_strdup_printf(
		"{\"server\":\"%s\",\"fault\":\"end\",\"count\":1}",
		decoders[g_rand_int_range(soak->version_rand, 0,
					  G_N_ELEMENTS(decoders))]);

	if (clock_now(soak->clock) >= soak->end_at)
		return;
	version_set(soak, "next_version");
	site_post(soak, "/site/fault", crash);
	timer_start(timer, CHANGE_INTERVAL_USEC);
}

static void on_resume(struct timer *timer, void *ctx)
{
	struct soak *soak = ctx;
	guint count = soak->calls->len;

	if (clock_now(soak->clock) >= soak->end_at)
		return;
	for (guint i = 0; i < count; i++) {
		struct call *call = soak->calls->pdata[i];

		if (call->kind != KIND_RESUME || call->resumed ||
		    !(call->done || call->hung_up) || call->status != 200 ||
		    call->complete || call_events(call) == 0)
			continue;
		call->resumed = true;
		call_resume(soak, call,
			    g_rand_int_range(soak->version_rand, 0, INSTANCES));
	}
	timer_start(timer, RESUME_INTERVAL_USEC);
}

void versions_set(struct soak *soak)
{
	for (size_t i = 0; i < G_N_ELEMENTS(decoders); i++) {
		g_autofree char *state = g_strdup_printf(
			"{\"server\":\"%s\",\"state\":\"ready\","
			"\"version\":\"v%d\"}",
			decoders[i], (int)i + 1);

		site_post(soak, "/site/state", state);
	}
	site_post_wait(soak);
}

void versions_start(struct soak *soak)
{
	timer_init(&soak->change_timer, soak->clock, on_change, soak);
	timer_init(&soak->resume_timer, soak->clock, on_resume, soak);
	timer_start(&soak->change_timer, CHANGE_INTERVAL_USEC);
	timer_start(&soak->resume_timer, RESUME_INTERVAL_USEC);
}

void versions_check(struct soak *soak)
{
	uint32_t resumed = 0;
	uint32_t gone_on = 0;

	for (guint i = 0; i < soak->calls->len; i++) {
		const struct call *call = soak->calls->pdata[i];

		if (!call->before)
			continue;
		resumed++;
		gone_on += call_events(call) > 0;
		if (call_events(call) > 0 &&
		    strcmp(call_version(call), call_version(call->before)) != 0)
			soak_fail(soak, "%s: goes on at %s, began at %s",
				  call->id, call_version(call),
				  call_version(call->before));
	}
	printf("  %u streams resumed, %u went on\n", resumed, gone_on);
}
