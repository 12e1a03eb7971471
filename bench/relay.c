/*
 * relay.c - overhead of the daemon, compared with direct calls
 *
 * Run by scripts/bench, which starts the site. Prints tables in Markdown.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "drive.h"
#include "memory.h"
#include "process.h"
#include "stream.h"

#define BODY "{\"item\":\"0123456789abcdef\"}"
#define MEASURE_USEC (3 * USEC_PER_SEC)
#define WARM_USEC (500 * USEC_PER_MSEC)
/* Sweep over calls in flight: target rate in calls per second, and the service
 * time of the stand-in without a slow fault. */
#define SWEEP_RATE 2500
#define SWEEP_SERVICE_USEC (4 * USEC_PER_MSEC)
#define IDLE_CONNECTIONS 5000
#define MEMORY_STREAMS 1000
#define TOKEN_STREAMS 300

struct args {
	const char *entry;
	const char *echo;
	const char *slow;
	const char *engines;
	int entry_pid;
	int echo_pid;
	const char *part;
};

static const struct argp_option options[] = {
	{"entry", 'e', "IP:PORT", 0, "address of the daemon for callers", 0},
	{"entry-pid", 'E', "PID", 0, "process of the daemon", 0},
	{"echo", 's', "IP:PORT", 0, "a plain service that responds at once", 0},
	{"echo-pid", 'S', "PID", 0, "process of the echo service", 0},
	{"slow", 'w', "IP:PORT", 0, "a plain service that takes 4 ms", 0},
	{"engines", 'd', "IP:PORT,...", 0, "the decode engines", 0},
	{"part", 'p', "NAME", 0,
	 "only memory, latency, throughput, flight or tokens", 0},
	{0},
};

static error_t option_parse(int key, char *arg, struct argp_state *state)
{
	struct args *args = state->input;

	switch (key) {
	case 'e':
		args->entry = arg;
		return 0;
	case 'E':
		args->entry_pid = (int)strtol(arg, NULL, 10);
		return 0;
	case 's':
		args->echo = arg;
		return 0;
	case 'S':
		args->echo_pid = (int)strtol(arg, NULL, 10);
		return 0;
	case 'w':
		args->slow = arg;
		return 0;
	case 'd':
		args->engines = arg;
		return 0;
	case 'p':
		args->part = arg;
		return 0;
	case ARGP_KEY_END:
		if (!args->entry || !args->echo || !args->slow ||
		    !args->engines || !args->entry_pid || !args->echo_pid)
			argp_error(state, "an address or PID is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void on_fault_reply(void *ctx, const struct web_result *result,
			   int status, const void *body, size_t size)
{
	struct bench *bench = ctx;

	if (!result->ok || status != 200)
		g_error("stand-in refused the fault: status %d", status);
	loop_stop(bench->loop);
}

/* Sets a fault that multiplies the service time of a stand-in. */
static void slow_fault_set(struct bench *bench, const char *address,
			   const char *path, int times)
{
	char body[64];
	const struct web_call_spec spec = {
		.address = address,
		.method = "POST",
		.path = path,
		.body = body,
		.body_size = (size_t)g_snprintf(
			body, sizeof(body),
			"{\"fault\":\"slow\",\"value\":%d,\"times\":0}", times),
	};

	web_fetch(bench->client, &spec, 4096, on_fault_reply, bench);
	loop_run(bench->loop);
}

static void engines_slow_fault_set(struct bench *bench, const struct args *args,
				   int times)
{
	char **list = g_strsplit(args->engines, ",", 0);

	for (char **at = list; *at; at++)
		slow_fault_set(bench, *at, "/faults", times);
	g_strfreev(list);
}

static double cpu_per_call(const struct drive_result *result)
{
	return result->calls ? (double)result->cpu_usec / (double)result->calls
			     : 0;
}

static double call_rate(const struct drive_result *result)
{
	return (double)result->calls * USEC_PER_SEC / (double)result->usec;
}

static void latency_row(struct bench *bench, const struct args *args,
			unsigned int callers)
{
	struct drive_spec spec = {.address = args->echo,
				  .path = "/echo",
				  .body = BODY,
				  .callers = callers,
				  .warm_usec = WARM_USEC,
				  .measure_usec = MEASURE_USEC,
				  .pid = args->echo_pid};
	struct drive_result direct;
	struct drive_result relayed;

	drive_run(bench, &spec, &direct);
	spec.address = args->entry;
	spec.pid = args->entry_pid;
	drive_run(bench, &spec, &relayed);
	printf("| %u | %" PRIi64 " | %" PRIi64 " | %" PRIi64 " | %" PRIi64
	       " | %" PRIi64 " | %" PRIi64 " | %" PRIu64 " |\n",
	       callers, drive_quantile(&direct, 0.5),
	       drive_quantile(&relayed, 0.5),
	       drive_quantile(&relayed, 0.5) - drive_quantile(&direct, 0.5),
	       drive_quantile(&direct, 0.99), drive_quantile(&relayed, 0.99),
	       drive_quantile(&relayed, 0.99) - drive_quantile(&direct, 0.99),
	       direct.failures + relayed.failures);
	drive_result_clear(&direct);
	drive_result_clear(&relayed);
}

static void latency(struct bench *bench, const struct args *args)
{
	printf("\n| callers | direct p50 | daemon p50 | added | direct p99 | "
	       "daemon p99 | added | failures |\n"
	       "|---|---|---|---|---|---|---|---|\n");
	latency_row(bench, args, 1);
	latency_row(bench, args, 16);
}

static void throughput_row(struct bench *bench, const char *name,
			   const char *address, int pid)
{
	const struct drive_spec spec = {.address = address,
					.path = "/echo",
					.body = BODY,
					.callers = 128,
					.warm_usec = WARM_USEC,
					.measure_usec = MEASURE_USEC,
					.pid = pid};
	struct drive_result result;
	double cpu;

	drive_run(bench, &spec, &result);
	cpu = cpu_per_call(&result);
	printf("| %s | %.0f | %.0f%% | %.1f | %.0f | %" PRIu64 " |\n", name,
	       call_rate(&result),
	       100.0 * (double)result.cpu_usec / (double)result.usec, cpu,
	       cpu > 0 ? USEC_PER_SEC / cpu : 0, result.failures);
	drive_result_clear(&result);
}

static void throughput(struct bench *bench, const struct args *args)
{
	printf("\n| 128 callers | calls a second | core used | us of CPU a "
	       "call "
	       "| calls a core-second | failures "
	       "|\n|---|---|---|---|---|---|\n");
	throughput_row(bench, "direct (the stand-in's CPU)", args->echo,
		       args->echo_pid);
	throughput_row(bench, "through the daemon (its CPU)", args->entry,
		       args->entry_pid);
}

struct in_flight_case {
	const char *path;
	unsigned int callers;
	unsigned int served; /* callers served at a time; the rest wait */
};

/* Sets the service time so that the throughput is SWEEP_RATE calls a second. */
static void in_flight_row(struct bench *bench, const struct args *args,
			  const struct in_flight_case *c)
{
	int times = (int)(c->served * USEC_PER_SEC / SWEEP_RATE /
			  SWEEP_SERVICE_USEC);
	int64_t service_usec = times * SWEEP_SERVICE_USEC;
	int64_t ramp = service_usec * c->callers / c->served;
	const struct drive_spec spec = {.address = args->entry,
					.path = c->path,
					.body = BODY,
					.callers = c->callers,
					.ramp_usec = ramp,
					.warm_usec = ramp + WARM_USEC,
					.measure_usec = MEASURE_USEC,
					.pid = args->entry_pid};
	struct drive_result result;

	slow_fault_set(bench, args->slow, "/-/faults", times);
	drive_run(bench, &spec, &result);
	printf("| %u | %u | %.0f | %.1f | %.1f | %.1f | %.1f | %" PRIu64 " |\n",
	       c->callers, c->callers - c->served, call_rate(&result),
	       cpu_per_call(&result), (double)ramp / USEC_PER_MSEC,
	       (double)(drive_quantile(&result, 0.5) - ramp) / USEC_PER_MSEC,
	       (double)(drive_quantile(&result, 0.99) - ramp) / USEC_PER_MSEC,
	       result.failures);
	fflush(stdout);
	drive_result_clear(&result);
}

static void in_flight(struct bench *bench, const struct args *args)
{
	static const struct in_flight_case cases[] = {
		{"/slow", 10, 10},     {"/slow", 100, 100},
		{"/slow", 1000, 1000}, {"/slow", 5000, 5000},
		{"/slow", 9500, 9500}, {"/queue", 10000, 2000},
	};

	printf("\n| in flight | of them waiting | calls a second | us of CPU a "
	       "call | least time, ms | p50 above it | p99 above it | failures "
	       "|\n|---|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		in_flight_row(bench, args, &cases[i]);
	slow_fault_set(bench, args->slow, "/-/faults", 0);
}

/* Waits for the first token of all streams, for at most 10 s. */
static bool streams_wait(struct bench *bench, const struct streams *streams,
			 unsigned int count)
{
	struct stream_counts counts = {0};

	for (int i = 0; i < 100 && counts.begun < count; i++) {
		bench_wait(bench, 100 * USEC_PER_MSEC);
		streams_count(streams, &counts);
	}
	return counts.begun == count;
}

static void tokens_row(struct bench *bench, const struct args *args,
		       const char *name, int slow)
{
	struct streams *streams;
	struct stream_counts before;
	struct stream_counts after;
	int64_t start_usec;
	int64_t cpu;
	int64_t usec;
	double rate;
	bool begun;

	engines_slow_fault_set(bench, args, slow);
	streams = streams_open(bench, args->entry, TOKEN_STREAMS, 2000);
	begun = streams_wait(bench, streams, TOKEN_STREAMS);
	start_usec = clock_now(bench->clock);
	cpu = process_cpu_usec(args->entry_pid);
	streams_count(streams, &before);
	bench_wait(bench, MEASURE_USEC);
	streams_count(streams, &after);
	cpu = process_cpu_usec(args->entry_pid) - cpu;
	usec = clock_now(bench->clock) - start_usec;
	rate = (double)(after.tokens - before.tokens) * USEC_PER_SEC /
	       (double)usec;
	printf("| %s%s | %.0f | %.0f%% | %.1f | %.0f | %u |\n", name,
	       begun ? "" : " (not all begun)", rate,
	       100.0 * (double)cpu / (double)usec,
	       (double)cpu / (double)(after.tokens - before.tokens),
	       rate * (double)usec / (double)cpu, after.failed);
	streams_close(streams);
	bench_wait(bench, WARM_USEC);
}

static void tokens(struct bench *bench, const struct args *args)
{
	printf("\n| %d streams | tokens a second | core used | us of CPU a "
	       "token | tokens a core-second | failed |\n"
	       "|---|---|---|---|---|---|\n",
	       TOKEN_STREAMS);
	tokens_row(bench, args, "slow, each token alone", 12);
	tokens_row(bench, args, "as fast as they go", 0);
}

static void memory(struct bench *bench, const struct args *args)
{
	double idle = memory_of_idle(args->entry, "/echo", args->entry_pid,
				     IDLE_CONNECTIONS);
	struct streams *streams;
	int64_t before;
	int64_t after;
	bool begun;

	bench_wait(bench, WARM_USEC);
	engines_slow_fault_set(bench, args, 50);
	before = process_memory(args->entry_pid);
	streams = streams_open(bench, args->entry, MEMORY_STREAMS, 2000);
	begun = streams_wait(bench, streams, MEMORY_STREAMS);
	after = process_memory(args->entry_pid);
	streams_close(streams);
	engines_slow_fault_set(bench, args, 0);
	bench_wait(bench, WARM_USEC);
	printf("\n| resident memory of the daemon | KiB each |\n|---|---|\n"
	       "| idle connection (of %d) | %.1f |\n"
	       "| streaming request with both connections (of %d%s) | %.1f |\n",
	       IDLE_CONNECTIONS, idle / 1024, MEMORY_STREAMS,
	       begun ? "" : ", not all begun",
	       (double)(after - before) / MEMORY_STREAMS / 1024);
}

static void fd_limit_raise(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = option_parse,
		.doc = "Measures a running daemon; see scripts/bench.",
	};
	/* The memory part runs first, because it would otherwise reuse heap
	 * that the other parts have freed. */
	static const struct {
		const char *name;
		void (*run)(struct bench *bench, const struct args *args);
	} parts[] = {
		{"memory", memory},	    {"latency", latency},
		{"throughput", throughput}, {"flight", in_flight},
		{"tokens", tokens},
	};
	struct args args = {0};
	struct bench bench;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	fd_limit_raise();
	bench_open(&bench);
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		if (args.part && strcmp(args.part, parts[i].name) != 0)
			continue;
		parts[i].run(&bench, &args);
		printf("\nLoad of the machine after this: %.2f.\n",
		       load_average() / 100.0);
		fflush(stdout);
	}
	bench_close(&bench);
	return EXIT_SUCCESS;
}
