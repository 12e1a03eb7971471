#include "drive.h"

#include <string.h>

#include "process.h"

#define STEP_USEC (5 * USEC_PER_MSEC)

struct drive {
	struct bench *bench;
	const struct drive_spec *spec;
	struct drive_result *result;
	struct timer timer;
	unsigned int started;
	unsigned int running;
	bool measuring;
	bool ending;
	int64_t start_usec;
	int64_t cpu_start_usec;
};

struct caller {
	struct drive *drive;
	int64_t start_usec;
	int status;
};

void bench_open(struct bench *bench)
{
	bench->clock = clock_create_system();
	bench->loop = loop_create(bench->clock);
	bench->client = web_client_create(bench->loop);
}

void bench_close(struct bench *bench)
{
	web_client_destroy(bench->client);
	loop_destroy(bench->loop);
	clock_destroy(bench->clock);
}

static void on_wait_end(struct timer *timer, void *ctx)
{
	loop_stop(ctx);
}

void bench_wait(struct bench *bench, int64_t usec)
{
	struct timer timer;

	timer_init(&timer, bench->clock, on_wait_end, bench->loop);
	timer_start(&timer, usec);
	loop_run(bench->loop);
}

static void caller_start(struct caller *caller);

static void on_head(void *ctx, int status, const struct web_header *headers,
		    size_t count)
{
	struct caller *caller = ctx;

	caller->status = status;
}

static void call_record(struct caller *caller, const struct web_result *result)
{
	bool ok = result->ok && caller->status == 200;
	struct drive *drive = caller->drive;
	int64_t usec = clock_now(drive->bench->clock) - caller->start_usec;

	if (!drive->measuring)
		return;
	if (!ok) {
		if (drive->result->failures++ == 0)
			g_printerr("first failure: status %d, %s\n",
				   caller->status,
				   result->text ? result->text : "complete");
		return;
	}
	drive->result->calls++;
	g_array_append_val(drive->result->latencies, usec);
}

static void on_done(void *ctx, const struct web_result *result)
{
	struct caller *caller = ctx;
	struct drive *drive = caller->drive;

	call_record(caller, result);
	if (!drive->ending) {
		caller_start(caller);
		return;
	}
	g_free(caller);
	if (--drive->running == 0)
		loop_stop(drive->bench->loop);
}

static void caller_start(struct caller *caller)
{
	static const struct web_call_ops ops = {on_head, NULL, on_done};
	const struct drive_spec *spec = caller->drive->spec;
	const struct web_call_spec call = {
		.address = spec->address,
		.method = "POST",
		.path = spec->path,
		.body = spec->body,
		.body_size = strlen(spec->body),
		.head_usec = 60 * USEC_PER_SEC,
	};

	caller->start_usec = clock_now(caller->drive->bench->clock);
	caller->status = 0;
	web_call(caller->drive->bench->client, &call, &ops, caller);
}

static void measure_begin(struct drive *drive)
{
	drive->measuring = true;
	drive->start_usec = clock_now(drive->bench->clock);
	drive->cpu_start_usec = process_cpu_usec(drive->spec->pid);
	timer_start(&drive->timer, drive->spec->measure_usec);
}

static void measure_end(struct drive *drive)
{
	struct drive_result *result = drive->result;

	drive->measuring = false;
	drive->ending = true;
	result->usec = clock_now(drive->bench->clock) - drive->start_usec;
	result->cpu_usec =
		process_cpu_usec(drive->spec->pid) - drive->cpu_start_usec;
}

/* Returns the number of callers to start per step of the ramp. */
static unsigned int step_size(const struct drive_spec *spec)
{
	return (unsigned int)(spec->callers * STEP_USEC /
			      (spec->ramp_usec + 1)) +
	       1;
}

static void on_step(struct timer *timer, void *ctx)
{
	struct drive *drive = ctx;

	if (drive->measuring) {
		measure_end(drive);
		return;
	}
	if (drive->started == drive->spec->callers) {
		measure_begin(drive);
		return;
	}
	for (unsigned int i = 0; i < step_size(drive->spec); i++) {
		struct caller *caller;

		if (drive->started == drive->spec->callers)
			break;
		caller = g_new0(struct caller, 1);
		caller->drive = drive;
		drive->started++;
		drive->running++;
		caller_start(caller);
	}
	timer_start(timer, drive->started == drive->spec->callers
				   ? drive->spec->warm_usec
				   : STEP_USEC);
}

static gint usec_order(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

void drive_run(struct bench *bench, const struct drive_spec *spec,
	       struct drive_result *result)
{
	struct drive drive = {.bench = bench, .spec = spec, .result = result};

	memset(result, 0, sizeof(*result));
	result->latencies = g_array_new(FALSE, FALSE, sizeof(int64_t));
	timer_init(&drive.timer, bench->clock, on_step, &drive);
	timer_start(&drive.timer, 0);
	loop_run(bench->loop);
	g_array_sort(result->latencies, usec_order);
}

void drive_result_clear(struct drive_result *result)
{
	g_array_free(result->latencies, TRUE);
	result->latencies = NULL;
}

int64_t drive_quantile(const struct drive_result *result, double q)
{
	guint len = result->latencies->len;

	if (len == 0)
		return 0;
	return g_array_index(result->latencies, int64_t,
			     (guint)(q * (len - 1)));
}
