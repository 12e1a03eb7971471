#include <argp.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/log.h"
#include "common/option.h"
#include "load/command.h"
#include "load/report.h"
#include "load/run.h"
#include "load/workload.h"
#include "web/loop.h"

#define DEFAULT_TIMEOUT_USEC (60 * USEC_PER_SEC)
#define EXIT_CHECKS_FAILED 3

enum option_key {
	OPTION_WORKLOAD = 'w',
	OPTION_TARGET = 't',
	OPTION_RATE = 'r',
	OPTION_REPORT = 'o',
	OPTION_LEDGERS = 256,
	OPTION_HEALTH,
	OPTION_DURATION,
	OPTION_COUNT,
	OPTION_SEED,
	OPTION_HANG_UP,
	OPTION_HANG_UP_MS,
	OPTION_TIMEOUT_MS,
	OPTION_DRAIN_MS,
	OPTION_SETTLE_MS,
	OPTION_NO_RETRY,
	OPTION_EXACT,
	OPTION_PROGRESS,
	OPTION_LABEL,
	OPTION_BURSTS,
};

struct arguments {
	struct run_settings run;
	const char *workload;
	const char *report;
	char **targets;
	char **ledgers;
	char **health;
	struct load_bursts bursts;
	bool seed_given;
};

static const struct argp_option options[] = {
	{"workload", OPTION_WORKLOAD, "FILE", 0, "Kinds of calls, in YAML", 0},
	{"target", OPTION_TARGET, "IP:PORT,...", 0,
	 "Where calls go, spread over all", 0},
	{"ledgers", OPTION_LEDGERS, "IP:PORT,...", 0,
	 "Engines and plain services to compare with", 0},
	{"health", OPTION_HEALTH, "IP:PORT,...", 0,
	 "Admin addresses of the targets, in their order: as a balancer "
	 "would, send no call to one whose health is not good",
	 0},
	{"rate", OPTION_RATE, "N", 0, "Calls a second, instead of the file's",
	 0},
	{"bursts", OPTION_BURSTS, "FACTOR,SHARE,MS", 0,
	 "Bursts, instead of the file's", 0},
	{"duration", OPTION_DURATION, "S", 0, "How long calls start (10)", 0},
	{"count", OPTION_COUNT, "N", 0, "At most so many calls", 0},
	{"seed", OPTION_SEED, "N", 0, "Of arrivals and calls; printed", 0},
	{"hang-up-percent", OPTION_HANG_UP, "P", 0, "Calls that we cancel", 0},
	{"hang-up-ms", OPTION_HANG_UP_MS, "MS", 0,
	 "Latest time of a cancel after the start (1000)", 0},
	{"timeout-ms", OPTION_TIMEOUT_MS, "MS", 0,
	 "Longest silence of an answer (60000)", 0},
	{"drain-ms", OPTION_DRAIN_MS, "MS", 0,
	 "Longest wait for the last answers (60000)", 0},
	{"settle-ms", OPTION_SETTLE_MS, "MS", 0,
	 "Longest wait for engine memory to be free (5000)", 0},
	{"no-retry", OPTION_NO_RETRY, NULL, 0, "Send every call once", 0},
	{"exact", OPTION_EXACT, NULL, 0,
	 "Ask for just as many tokens as the answer has", 0},
	{"progress", OPTION_PROGRESS, NULL, 0,
	 "Show progress also when it is no terminal", 0},
	{"label", OPTION_LABEL, "TEXT", 0, "Name of the run in the report", 0},
	{"report", OPTION_REPORT, "FILE", 0, "Where to write the JSON", 0},
	{0},
};

static int64_t msec_parse(const char *text, struct argp_state *state)
{
	return (int64_t)(option_number(text, 0, 1e9, state) * USEC_PER_MSEC);
}

static void list_parse(const char *text, char ***list)
{
	g_strfreev(*list);
	*list = g_strsplit(text, ",", -1);
}

static void bursts_parse(const char *text, struct load_bursts *bursts,
			 struct argp_state *state)
{
	char **parts = g_strsplit(text, ",", -1);

	if (g_strv_length(parts) != 3)
		argp_error(state, "not FACTOR,SHARE,MS: %s", text);
	bursts->factor = option_number(parts[0], 0, 1e6, state);
	bursts->share = option_number(parts[1], 0, 1, state);
	bursts->period_ms = (uint32_t)option_number(parts[2], 0, 1e9, state);
	g_strfreev(parts);
	if (bursts->factor < 1 || bursts->factor * bursts->share > 1 ||
	    bursts->share <= 0 || bursts->share >= 1 || !bursts->period_ms)
		argp_error(state, "bursts: factor is at least 1, share "
				  "between 0 and 1, their product at most 1");
}

static error_t number_option_parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;
	struct run_settings *run = &arguments->run;

	switch (key) {
	case OPTION_RATE:
		run->rate = option_number(arg, 0, 1e6, state);
		return 0;
	case OPTION_DURATION:
		run->duration_usec = msec_parse(arg, state) * 1000;
		return 0;
	case OPTION_COUNT:
		run->count = (uint64_t)option_number(arg, 0, 1e9, state);
		return 0;
	case OPTION_SEED:
		run->seed = (uint32_t)option_number(arg, 0, UINT32_MAX, state);
		arguments->seed_given = true;
		return 0;
	case OPTION_HANG_UP:
		run->hang_up_percent = option_number(arg, 0, 100, state);
		return 0;
	case OPTION_HANG_UP_MS:
		run->hang_up_usec = msec_parse(arg, state);
		return 0;
	case OPTION_TIMEOUT_MS:
		run->timeout_usec = msec_parse(arg, state);
		return 0;
	case OPTION_DRAIN_MS:
		run->drain_usec = msec_parse(arg, state);
		return 0;
	case OPTION_SETTLE_MS:
		run->settle_usec = msec_parse(arg, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t option_parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case OPTION_WORKLOAD:
		arguments->workload = arg;
		return 0;
	case OPTION_TARGET:
		list_parse(arg, &arguments->targets);
		return 0;
	case OPTION_LEDGERS:
		list_parse(arg, &arguments->ledgers);
		return 0;
	case OPTION_HEALTH:
		list_parse(arg, &arguments->health);
		return 0;
	case OPTION_BURSTS:
		bursts_parse(arg, &arguments->bursts, state);
		return 0;
	case OPTION_NO_RETRY:
		arguments->run.retry = false;
		return 0;
	case OPTION_EXACT:
		arguments->run.exact = true;
		return 0;
	case OPTION_PROGRESS:
		arguments->run.progress = true;
		return 0;
	case OPTION_LABEL:
		arguments->run.label = arg;
		return 0;
	case OPTION_REPORT:
		arguments->report = arg;
		return 0;
	case ARGP_KEY_END:
		if (arguments->workload == NULL || arguments->targets == NULL)
			argp_error(state, "--workload and --target are needed");
		if (arguments->health != NULL &&
		    g_strv_length(arguments->health) !=
			    g_strv_length(arguments->targets))
			argp_error(state, "--health has not one address for "
					  "each target");
		return 0;
	default:
		return number_option_parse(key, arg, state);
	}
}

static void signal_handle(void *ctx, int signal)
{
	load_run_stop(ctx);
}

static json_t *run_execute(struct arguments *arguments,
			   struct workload *workload, struct clock *clock,
			   bool *ok)
{
	struct loop *loop = loop_create(clock);
	struct load_run *run = load_run_create(loop, &arguments->run, workload);
	json_t *report;

	loop_on_signal(loop, SIGINT, signal_handle, run);
	loop_on_signal(loop, SIGTERM, signal_handle, run);
	load_run_start(run);
	loop_run(loop);
	report = load_run_report(run, ok);
	load_run_destroy(run);
	loop_destroy(loop);
	return report;
}

static bool report_output(const struct arguments *arguments,
			  const json_t *report, struct error *err)
{
	GString *out = g_string_new(NULL);

	report_print(report, out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	return arguments->report == NULL ||
	       report_write(arguments->report, report, err);
}

static void arguments_resolve(struct arguments *arguments,
			      struct workload *workload, struct clock *clock)
{
	struct run_settings *run = &arguments->run;

	if (arguments->bursts.factor > 0)
		workload->bursts = arguments->bursts;
	if (run->rate <= 0)
		run->rate = workload->rate;
	if (!arguments->seed_given)
		run->seed = (uint32_t)clock_unix(clock);
	run->targets = (const char *const *)arguments->targets;
	run->target_count = g_strv_length(arguments->targets);
	run->health = (const char *const *)arguments->health;
	run->ledgers = (const char *const *)arguments->ledgers;
	if (arguments->ledgers != NULL)
		run->ledger_count = g_strv_length(arguments->ledgers);
}

static int arguments_run(struct arguments *arguments)
{
	struct error err = {0};
	struct workload *workload = workload_load(arguments->workload, &err);
	struct clock *clock;
	json_t *report;
	bool ok = false;

	if (workload == NULL) {
		fprintf(stderr, "jtload: %s\n", err.text);
		return EXIT_FAILURE;
	}
	clock = clock_create_system();
	log_setup(clock, "jtload", LOG_WARNING);
	arguments_resolve(arguments, workload, clock);
	fprintf(stderr, "seed %u\n", arguments->run.seed);
	report = run_execute(arguments, workload, clock, &ok);
	if (!report_output(arguments, report, &err)) {
		fprintf(stderr, "jtload: %s\n", err.text);
		ok = false;
	}
	json_decref(report);
	clock_destroy(clock);
	workload_destroy(workload);
	return ok ? EXIT_SUCCESS : EXIT_CHECKS_FAILED;
}

int command_run(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = option_parse,
		.doc = "Sends calls at a rate and checks every answer; exit "
		       "status 3 when a check does not hold",
	};
	struct arguments arguments = {
		.run =
			{
				.label = "run",
				.duration_usec = 10 * USEC_PER_SEC,
				.hang_up_usec = 1 * USEC_PER_SEC,
				.timeout_usec = DEFAULT_TIMEOUT_USEC,
				.drain_usec = DEFAULT_TIMEOUT_USEC,
				.settle_usec = 5 * USEC_PER_SEC,
				.retry = true,
				.progress = isatty(STDERR_FILENO) == 1,
			},
	};
	int status;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	status = arguments_run(&arguments);
	g_strfreev(arguments.targets);
	g_strfreev(arguments.ledgers);
	g_strfreev(arguments.health);
	return status;
}
