/* A store that comes back from old copies in new eras. */
#include <stdio.h>
#include <string.h>

#include "soak.h"

#define NEW_ROUTE "/last/x"
/* A change is in force everywhere within this time. */
#define CONFIG_USEC (2 * USEC_PER_SEC)
#define AWAY_USEC (1 * USEC_PER_SEC)
/* Versions of the configuration that are lost. */
#define LOST 3
#define ANSWER_USEC (2 * USEC_PER_SEC)

static const struct {
	const char *state;
	gint32 wait_min; /* ms until the next step */
	gint32 wait_max;
} steps[] = {
	{"copy", 500, 2500},
	{"down", 200, 1500},
	{"restore", 0, 300},
	{"up", 500, 2000},
};

static void on_drill(struct timer *timer, void *ctx)
{
	struct soak *soak = ctx;
	size_t step = soak->drills++ % G_N_ELEMENTS(steps);
	g_autofree char *body =
		g_strdup_printf("{\"state\":\"%s\"}", steps[step].state);

	if (clock_now(soak->clock) >= soak->end_at)
		return;
	site_post(soak, "/site/store", body);
	timer_start(timer,
		    g_rand_int_range(soak->drill_rand, steps[step].wait_min,
				     steps[step].wait_max) *
			    USEC_PER_MSEC);
}

void drills_start(struct soak *soak)
{
	timer_init(&soak->drill_timer, soak->clock, on_drill, soak);
	timer_start(&soak->drill_timer, 0);
}

static void on_answer(void *ctx, const struct web_result *result, int status,
		      const void *body, size_t size)
{
	uint32_t *served = ctx;

	*served += result->ok && status == 200;
}

static void store_set(struct soak *soak, const char *state)
{
	g_autofree char *body = g_strdup_printf("{\"state\":\"%s\"}", state);

	site_call(soak, "POST", "/site/store", body, NULL);
}

static void config_write(struct soak *soak, const char *route)
{
	g_autofree char *body =
		g_strdup_printf("{\"version\":%d,\"extra\":\"%s\"}",
				(int)++soak->version, route);

	site_call(soak, "POST", "/site/config", body, NULL);
}

/* One more drill, after which the log is as long as before; the operator's
 * configuration of now is written again by it. */
static void last_drill(struct soak *soak)
{
	store_set(soak, "copy");
	for (int i = 0; i < LOST; i++)
		config_write(soak, "/lost/");
	soak_loop_run(soak, CONFIG_USEC);
	store_set(soak, "down");
	soak_loop_run(soak, AWAY_USEC);
	store_set(soak, "restore");
	for (int i = 1; i < LOST; i++)
		config_write(soak, "/last/");
	store_set(soak, "up");
}

/* A route that was added after a drill is served by each instance two seconds
 * later. */
void drills_check(struct soak *soak)
{
	const struct web_header headers[] = {
		{{"request-id", 10}, {"acme.last", 9}},
		{{"deadline-ms", 11}, {"2000", 4}},
		{{"authorization", 13}, {"Token ka", 8}},
	};
	uint32_t served = 0;

	last_drill(soak);
	soak_loop_run(soak, CONFIG_USEC);
	for (int i = 0; i < INSTANCES; i++) {
		const struct web_call_spec spec = {
			.address = proxy_address(soak->instances[i].callers),
			.method = "GET",
			.path = NEW_ROUTE,
			.host = {"site.example", 12},
			.headers = headers,
			.header_count = G_N_ELEMENTS(headers),
			.head_usec = ANSWER_USEC,
			.idle_usec = ANSWER_USEC,
			.fresh = true,
		};

		web_fetch(soak->client, &spec, 1 << 16, on_answer, &served);
	}
	soak_loop_run(soak, ANSWER_USEC);
	printf("  %u drills, new route served by %u of %d\n",
	       soak->drills / (uint32_t)G_N_ELEMENTS(steps), served, INSTANCES);
	if (served < INSTANCES)
		soak_fail(soak, "a new route is served by %u of %d instances",
			  served, INSTANCES);
}
