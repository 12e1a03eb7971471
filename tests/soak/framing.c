/* Servers that change the framing of their answers and crash in the middle of
 * them, while instances are killed, stopped and paused in series. */
#include <signal.h>
#include <stdio.h>

#include "soak.h"

#define CHANGE_MIN_MSEC 50
#define CHANGE_MAX_MSEC 200
#define PAUSE_MIN_MSEC 100
#define PAUSE_MAX_MSEC 1500
#define TIMEOUT_MIN_MSEC 1000
#define TIMEOUT_MAX_MSEC 10000
/* Share of the signals that all instances get at once. */
#define ALL_SHARE 0.15

#define CUT_OFF_EVERY 3 /* instances */

static const char stages[] = {'s', 'p', 'd'};
#define SERVERS ((int)G_N_ELEMENTS(stages) * SERVERS_A_STAGE)

bool framing_is_cut_off(const struct soak *soak,
			const struct instance *instance)
{
	return soak->framing_enabled &&
	       (instance - soak->instances) % CUT_OFF_EVERY == 0;
}

char *framing_links_file(const struct soak *soak)
{
	return g_strdup_printf("%s/links", soak->folder);
}

static void links_set(struct soak *soak, const char *mode)
{
	g_autofree char *file = framing_links_file(soak);

	g_assert_true(g_file_set_contents(file, mode, -1, NULL));
}

static void links_change(struct soak *soak)
{
	static const char *const modes[] = {"refused", "refused", "refused",
					    "reset",   "silent",  ""};

	links_set(soak, modes[g_rand_int_range(soak->framing_rand, 0,
					       G_N_ELEMENTS(modes))]);
}

static void framing_set(struct soak *soak, const char *server, bool unframed)
{
	g_autofree char *body = g_strdup_printf(
		"{\"server\":\"%s\",\"state\":\"ready\",\"unframed\":%s}",
		server, unframed ? "true" : "false");

	site_post(soak, "/site/state", body);
}

/* The name is valid until the next call. */
static const char *server_name(int index)
{
	static char name[8];

	(void)g_snprintf(name, sizeof(name), "%c%d",
			 stages[index / SERVERS_A_STAGE],
			 index % SERVERS_A_STAGE + 1);
	return name;
}

static const char *server_pick(struct soak *soak)
{
	return server_name(g_rand_int_range(soak->framing_rand, 0, SERVERS));
}

static void framing_change(struct soak *soak)
{
	const char *server = server_pick(soak);

	framing_set(soak, server, g_rand_boolean(soak->framing_rand));
}

static void fault_set(struct soak *soak, const char *server, const char *fault)
{
	g_autofree char *body = g_strdup_printf(
		"{\"server\":\"%s\",\"fault\":\"%s\",\"count\":1}", server,
		fault);

	site_post(soak, "/site/fault", body);
}

static void server_crash(struct soak *soak)
{
	fault_set(soak, server_pick(soak), "end-later");
}

static void timeout_set(struct soak *soak, int timeout_msec)
{
	g_autofree char *body = NULL;

	soak->version++;
	body = g_strdup_printf(
		"{\"version\":%d,\"extra\":\"/v%d/\",\"timeout_ms\":%d}",
		(int)soak->version, (int)soak->version, timeout_msec);

	site_post(soak, "/site/config", body);
}

static void timeout_change(struct soak *soak)
{
	timeout_set(soak, g_rand_int_range(soak->framing_rand, TIMEOUT_MIN_MSEC,
					   TIMEOUT_MAX_MSEC));
}

static void instance_hit(struct soak *soak, struct instance *instance,
			 int number)
{
	if (instance->pid <= 0)
		return;
	if (number == SIGTERM)
		instance->stopping = true;
	if (number == SIGSTOP)
		instance->wake_at =
			clock_now(soak->clock) +
			g_rand_int_range(soak->framing_rand, PAUSE_MIN_MSEC,
					 PAUSE_MAX_MSEC) *
				USEC_PER_MSEC;
	instance_signal(instance, number);
}

static void signal_send(struct soak *soak)
{
	static const int numbers[] = {SIGKILL, SIGTERM, SIGSTOP};
	int number = numbers[g_rand_int_range(soak->framing_rand, 0,
					      G_N_ELEMENTS(numbers))];
	bool all = g_rand_double(soak->framing_rand) < ALL_SHARE;
	int one = g_rand_int_range(soak->framing_rand, 0, INSTANCES);

	for (int i = 0; i < INSTANCES; i++)
		if (all || i == one)
			instance_hit(soak, &soak->instances[i], number);
}

static void (*const changes[])(struct soak *soak) = {
	framing_change, framing_change, server_crash,
	server_crash,	server_crash,	signal_send,
	signal_send,	links_change,	timeout_change,
};

static void on_change(struct timer *timer, void *ctx)
{
	struct soak *soak = ctx;

	if (clock_now(soak->clock) >= soak->end_at)
		return;
	changes[g_rand_int_range(soak->framing_rand, 0, G_N_ELEMENTS(changes))](
		soak);
	timer_start(timer, g_rand_int_range(soak->framing_rand, CHANGE_MIN_MSEC,
					    CHANGE_MAX_MSEC) *
				   USEC_PER_MSEC);
}

void framing_start(struct soak *soak)
{
	links_set(soak, "refused");
	timer_init(&soak->framing_timer, soak->clock, on_change, soak);
	timer_start(&soak->framing_timer, 0);
}

void framing_clear(struct soak *soak)
{
	site_post_wait(soak);
	links_set(soak, "");
	timeout_set(soak, TIMEOUT_MAX_MSEC);
	for (int i = 0; i < SERVERS; i++)
		fault_set(soak, server_name(i), "none");
	site_post_wait(soak);
}

void framing_remove(struct soak *soak)
{
	for (int i = 0; i < SERVERS; i++)
		framing_set(soak, server_name(i), true);
	site_post_wait(soak);
}

void framing_print(struct soak *soak)
{
	uint32_t whole = 0;
	uint32_t cut = 0;

	for (guint i = 0; i < soak->calls->len; i++) {
		const struct call *call = soak->calls->pdata[i];

		whole += call->status == 200 && call->complete;
		cut += call->status == 200 && !call->complete;
	}
	printf("  %u answers whole, %u cut, %d servers crashed\n", whole, cut,
	       (int)site_call(soak, "GET", "/site/ledger", NULL, "ended"));
}
