/*
 * main.c - the daemon: reads its settings, runs its components, drains
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#include "common/log.h"
#include "entry/entry.h"

#define PROGRAM "jtentry"
/* Result codes above this do not fit an exit status. */
#define EXIT_CODE_MAX 125

#define RESTARTS_MAX 5
#define RESTART_WINDOW_USEC (30 * USEC_PER_SEC)
#define RESTART_DELAY_USEC (200 * USEC_PER_MSEC)

static void fd_limit_raise(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int exit_status(enum result_code code)
{
	return code <= EXIT_CODE_MAX ? (int)code : EXIT_FAILURE;
}

static void on_gave_up(void *ctx, const char *name, const struct error *cause)
{
	struct entry *entry = ctx;

	entry->exit_code =
		cause->code != RESULT_OK ? cause->code : RESULT_DEFECT;
	loop_stop(entry->loop);
}

static void on_signal(void *ctx, int signal)
{
	struct entry *entry = ctx;

	if (entry->draining) {
		log_event(LOG_NOTICE, "signal_ignored",
			  LOG_D("signal", signal));
		return;
	}
	entry_drain(entry);
}

static void on_iteration(void *ctx, int64_t gap_usec)
{
	entry_paused(ctx, gap_usec);
	log_flush();
}

static uint32_t seed_choose(const struct entry *entry)
{
	if (entry->settings.random_seed != 0)
		return entry->settings.random_seed;
	return (uint32_t)clock_unix(entry->clock);
}

static void entry_setup(struct entry *entry)
{
	uint32_t seed = seed_choose(entry);

	entry->rand = g_rand_new_with_seed(seed);
	entry->loop = loop_create(entry->clock);
	entry->counters = counter_set_create();
	entry->drain = drain_create(entry);
	loop_on_signal(entry->loop, SIGTERM, on_signal, entry);
	loop_on_signal(entry->loop, SIGINT, on_signal, entry);
	loop_on_iteration(entry->loop, on_iteration, entry);
	log_event(LOG_NOTICE, "started", LOG_S("version", JT_VERSION),
		  LOG_S("name", entry->settings.name),
		  LOG_S("data_centre", entry->settings.data_centre),
		  LOG_D("seed", seed));
}

static void entry_teardown(struct entry *entry)
{
	supervisor_destroy(entry->supervisor);
	config_destroy(entry->config);
	drain_destroy(entry->drain);
	counter_set_destroy(entry->counters);
	loop_destroy(entry->loop);
	g_rand_free(entry->rand);
}

static void entry_run(struct entry *entry)
{
	static const struct supervisor_settings settings = {
		.restarts_max = RESTARTS_MAX,
		.window_usec = RESTART_WINDOW_USEC,
		.delay_usec = RESTART_DELAY_USEC,
	};

	entry->supervisor = supervisor_create(entry->clock, entry_components,
					      entry_component_count, &settings,
					      on_gave_up, entry);
	supervisor_start(entry->supervisor);
	if (entry->exit_code == RESULT_OK)
		loop_run(entry->loop);
}

int main(int argc, char **argv)
{
	struct entry entry = {.exit_code = RESULT_OK};
	struct error err;

	signal(SIGPIPE, SIG_IGN);
	fd_limit_raise();
	entry.clock = clock_create_system();
	log_setup(entry.clock, PROGRAM, LOG_INFO);
	log_redirect(STDOUT_FILENO);
	if (!settings_read(&entry.settings, argc, argv, &err)) {
		log_event(LOG_ERR, "bad_setting", LOG_D("code", err.code),
			  LOG_S("reason", err.text));
		log_flush();
		clock_destroy(entry.clock);
		return exit_status(err.code);
	}
	log_setup(entry.clock, PROGRAM, entry.settings.log_level);
	entry_setup(&entry);
	entry_run(&entry);
	entry_teardown(&entry);
	log_event(LOG_NOTICE, "stopped", LOG_D("code", entry.exit_code));
	log_flush();
	clock_destroy(entry.clock);
	return exit_status(entry.exit_code);
}
