/*
 * One server that announces a limit, with 7, 73 and 300 instances: the requests
 * that reach it in any four seconds, and the part of its limit that is used.
 * The users require at most one and a half times the limit, and five requests.
 */
#include <glib.h>

#include "gossip_world.h"

#define WINDOW_USEC (4 * USEC_PER_SEC)
#define ALLOWED_FACTOR 1.5
#define ALLOWED_EXTRA 5.0
#define MIN_UTILISATION 0.8
/* Time from the first announcement of a limit until it must hold. */
#define SETTLE_MSEC 3000
#define STEP_MSEC 50
#define SERVER_CENTRE 1

struct scenario {
	struct site *site;
	double limit;
	double requested_rate; /* requests a second, by all */
	uint32_t callers;
	GArray *sent; /* int64_t, when a request reached the server */
	int64_t binds;
};

static void request_send(struct scenario *scenario, struct instance *instance)
{
	const struct backpressure_signals signals = {
		.limited = true,
		.limit = scenario->limit,
		.of_request = true,
	};
	int64_t now = clock_now(scenario->site->clock);

	g_array_append_val(scenario->sent, now);
	backpressure_answer(instance->backpressure, now,
			    server(instance, SERVER_CENTRE)->key, &signals);
}

static void granted(struct instance *instance, uint64_t key)
{
	request_send(instance->site->ctx, instance);
}

static void request_arrive(struct scenario *scenario)
{
	gint32 at = g_test_rand_int_range(0, (gint32)scenario->callers);
	struct instance *instance = &scenario->site->instances[at];

	if (instance->gossip && !scenario->site->paused[instance->centre] &&
	    permit(instance, SERVER_CENTRE))
		request_send(scenario, instance);
}

static void requests_run(struct scenario *scenario, int64_t msec)
{
	double expected = scenario->requested_rate * STEP_MSEC / 1000.0;
	double due = 0.0;

	for (int64_t i = 0; i < msec; i += STEP_MSEC) {
		due += expected;
		while (due >= 1.0) {
			request_arrive(scenario);
			due -= 1.0;
		}
		site_advance(scenario->site, STEP_MSEC);
	}
}

static struct scenario *scenario_open(uint32_t count, double limit,
				      double requested_rate)
{
	struct scenario *scenario = g_new0(struct scenario, 1);

	scenario->site = site_open(count);
	scenario->limit = limit;
	scenario->requested_rate = requested_rate;
	scenario->callers = count;
	scenario->sent = g_array_new(FALSE, FALSE, sizeof(int64_t));
	scenario->site->granted = granted;
	scenario->site->ctx = scenario;
	requests_run(scenario, SETTLE_MSEC);
	g_array_set_size(scenario->sent, 0);
	return scenario;
}

static void scenario_close(struct scenario *scenario)
{
	site_close(scenario->site);
	g_array_unref(scenario->sent);
	g_free(scenario);
}

static guint max_sent(const struct scenario *scenario)
{
	guint most = 0;
	guint from = 0;

	for (guint to = 0; to < scenario->sent->len; to++) {
		while (g_array_index(scenario->sent, int64_t, to) -
			       g_array_index(scenario->sent, int64_t, from) >
		       WINDOW_USEC)
			from++;
		most = MAX(most, to + 1 - from);
	}
	return most;
}

static void rate_check(const struct scenario *scenario, const char *what)
{
	double allowed =
		ALLOWED_FACTOR * scenario->limit * WINDOW_USEC / USEC_PER_SEC +
		ALLOWED_EXTRA;

	g_test_message(
		"%u instances, limit %.1f, %.0f requested, %s: max %u in "
		"4 s, allowed %.0f, limit %.0f",
		scenario->site->count, scenario->limit,
		scenario->requested_rate, what, max_sent(scenario), allowed,
		scenario->limit * WINDOW_USEC / USEC_PER_SEC);
	g_assert_cmpfloat(max_sent(scenario), <=, allowed);
}

static void utilisation_check(const struct scenario *scenario, int64_t msec)
{
	double used = (double)scenario->sent->len * 1000.0 /
		      (scenario->limit * (double)msec);

	g_test_message("%.2f of the limit used", used);
	g_assert_cmpfloat(used, >=, MIN_UTILISATION);
}

static void limit_check(uint32_t count, double limit, double requested_rate)
{
	struct scenario *scenario = scenario_open(count, limit, requested_rate);

	requests_run(scenario, 12000);
	rate_check(scenario, "all instances");
	utilisation_check(scenario, 12000);
	scenario_close(scenario);
}

static void limits_check(uint32_t count)
{
	static const double limits[] = {0.7, 4.7, 30.0};

	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
		limit_check(count, limits[i], 60.0);
		limit_check(count, limits[i], 300.0);
	}
}

/* All callers use one instance. */
static void one_caller_check(uint32_t count)
{
	struct scenario *scenario = scenario_open(count, 4.7, 60.0);

	scenario->callers = 1;
	requests_run(scenario, 12000);
	rate_check(scenario, "one instance");
	utilisation_check(scenario, 12000);
	scenario_close(scenario);
}

/* All instances restart at once without any state, three times. */
static void restarts_check(uint32_t count)
{
	struct scenario *scenario = scenario_open(count, 4.7, 300.0);
	struct site *site = scenario->site;

	for (int k = 0; k < 3; k++) {
		for (uint32_t i = 0; i < count; i++) {
			instance_stop(&site->instances[i]);
			instance_start(&site->instances[i]);
		}
		for (uint32_t i = 0; i < count; i++)
			add_all_peers(site, &site->instances[i]);
		requests_run(scenario, SETTLE_MSEC);
		g_array_set_size(scenario->sent, 0);
		requests_run(scenario, 5000);
		rate_check(scenario, "all restarted");
	}
	scenario_close(scenario);
}

/* The server's data centre, with the homes, is paused and resumes. */
static void paused_check(uint32_t count)
{
	struct scenario *scenario = scenario_open(count, 4.7, 300.0);

	scenario->site->paused[SERVER_CENTRE] = true;
	requests_run(scenario, 6000);
	scenario->site->paused[SERVER_CENTRE] = false;
	requests_run(scenario, 6000);
	rate_check(scenario, "homes paused");
	scenario_close(scenario);
}

/* A limit that is lowered, raised, and removed. */
static void limit_changes_check(uint32_t count)
{
	struct scenario *scenario = scenario_open(count, 30.0, 300.0);
	struct instance *first = &scenario->site->instances[0];
	uint64_t key = server(first, SERVER_CENTRE)->key;
	const struct backpressure_signals none = {.of_request = true};

	scenario->limit = 4.7;
	requests_run(scenario, SETTLE_MSEC);
	g_array_set_size(scenario->sent, 0);
	requests_run(scenario, 6000);
	rate_check(scenario, "lowered");
	scenario->limit = 30.0;
	requests_run(scenario, SETTLE_MSEC);
	g_array_set_size(scenario->sent, 0);
	requests_run(scenario, 6000);
	rate_check(scenario, "raised");
	utilisation_check(scenario, 6000);
	site_advance(scenario->site, 1000);
	backpressure_answer(first->backpressure,
			    clock_now(scenario->site->clock), key, &none);
	site_advance(scenario->site, 2000);
	for (uint32_t i = 0; i < count; i++)
		g_assert_true(
			permit(&scenario->site->instances[i], SERVER_CENTRE));
	scenario_close(scenario);
}

static void count_check(uint32_t count)
{
	limits_check(count);
	one_caller_check(count);
	restarts_check(count);
	paused_check(count);
	limit_changes_check(count);
}

static void test_few(void)
{
	count_check(7);
}

static void test_many(void)
{
	count_check(73);
}

static void test_most(void)
{
	limit_check(300, 4.7, 300.0);
	restarts_check(300);
	paused_check(300);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/gossip/permits/7", test_few);
	g_test_add_func("/forward/gossip/permits/73", test_many);
	g_test_add_func("/forward/gossip/permits/300", test_most);
	return g_test_run();
}
