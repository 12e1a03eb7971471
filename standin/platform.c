#include "standin/platform.h"

#include <argp.h>
#include <limits.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "common/log.h"
#include "common/option.h"
#include "standin/reply.h"
#include "web/loop.h"
#include "web/server.h"

#define PROGRAM "jtplatform"
#define OPTION_VALUE_MAX 1e12

const char *argp_program_version = PROGRAM " " JT_VERSION;

enum option_key {
	OPTION_LISTEN = 256,
	OPTION_APPEND_RATE,
	OPTION_RETAIN_MS,
	OPTION_RETAIN_RECORDS,
	OPTION_LIST_LAG_MS,
	OPTION_WEIGHT_RATE,
};

static const struct argp_option options[] = {
	{"listen", OPTION_LISTEN, "IP:PORT", 0,
	 "Address to listen on; port 0 picks one", 0},
	{"append-rate", OPTION_APPEND_RATE, "N", 0,
	 "Appends a second over all streams; 0: no limit", 0},
	{"retain-ms", OPTION_RETAIN_MS, "MS", 0,
	 "Drop records older than this; 0: never", 0},
	{"retain-records", OPTION_RETAIN_RECORDS, "N", 0,
	 "Records kept in each stream; 0: all", 0},
	{"list-lag-ms", OPTION_LIST_LAG_MS, "MS", 0,
	 "How late the list of instances shows a change", 0},
	{"weight-rate", OPTION_WEIGHT_RATE, "BYTES", 0,
	 "Bytes a second of the weight store, shared by its readers", 0},
	{0},
};

static error_t option_parse(int key, char *arg, struct argp_state *state)
{
	struct platform_settings *settings = state->input;

	switch (key) {
	case OPTION_LISTEN:
		settings->listen = arg;
		return 0;
	case OPTION_APPEND_RATE:
		settings->append_rate =
			(unsigned int)option_number(arg, 0, UINT_MAX, state);
		return 0;
	case OPTION_RETAIN_MS:
		settings->retain_usec =
			(int64_t)option_number(arg, 0, OPTION_VALUE_MAX,
					       state) *
			USEC_PER_MSEC;
		return 0;
	case OPTION_RETAIN_RECORDS:
		settings->retain_records = (uint64_t)option_number(
			arg, 0, OPTION_VALUE_MAX, state);
		return 0;
	case OPTION_LIST_LAG_MS:
		settings->list_lag_usec =
			(int64_t)option_number(arg, 0, OPTION_VALUE_MAX,
					       state) *
			USEC_PER_MSEC;
		return 0;
	case OPTION_WEIGHT_RATE:
		settings->weight_rate =
			option_number(arg, 1, OPTION_VALUE_MAX, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = option_parse,
	.doc = "Stands in for the platform: log, weights, list of instances",
};

/* Serves reads one after the other, so that readers share the rate. */
static void weights_handle(void *ctx, struct web_request *request)
{
	struct platform *platform = ctx;
	int64_t now = clock_now(platform->clock);
	char text[32];
	uint64_t bytes;
	double usec;

	if (platform_apply_cut(platform, request))
		return;
	if (!web_request_param(request, "bytes", text, sizeof(text))) {
		platform_answer_error(platform, request, 400, "no bytes");
		return;
	}
	bytes = g_ascii_strtoull(text, NULL, 10);
	usec = (double)bytes * USEC_PER_SEC / platform->settings.weight_rate;
	platform->weights_busy_until = MAX(platform->weights_busy_until, now);
	platform->weights_busy_until += (int64_t)MIN(usec, 1e15);
	platform_answer(platform, request, 200,
			json_pack("{s:I}", "bytes", (json_int_t)bytes),
			platform->weights_busy_until - now);
}

static void ledger_handle(void *ctx, struct web_request *request)
{
	struct platform *platform = ctx;

	reply_json(request, 200, platform_log_ledger(platform->log));
}

static void faults_handle(void *ctx, struct web_request *request)
{
	struct platform *platform = ctx;

	reply_fault_set(request, &platform->faults);
}

static void unknown_path_handle(void *ctx, struct web_request *request)
{
	platform_answer_error(ctx, request, 404, "no such path");
}

static void signal_handle(void *ctx, int signal)
{
	loop_stop(ctx);
}

static bool platform_start(struct platform *platform, struct error *err)
{
	static const struct web_limits limits = {
		.body_bytes = PLATFORM_RECORD_MAX + 1024,
		.connections = 4096,
		.idle_usec = 60 * USEC_PER_SEC,
		.request_usec = 10 * USEC_PER_SEC,
	};
	struct web_server *server;

	platform->clock = clock_create_system();
	log_setup(platform->clock, PROGRAM, LOG_INFO);
	platform_faults_init(platform);
	platform->loop = loop_create(platform->clock);
	platform->log = platform_log_create(platform);
	platform->list = platform_list_create(platform);
	server = web_server_create(platform->loop, platform->settings.listen,
				   &limits, err);
	if (server == NULL)
		return false;
	platform->server = server;
	web_server_handle(server, "/log", platform_log_handle, platform->log);
	web_server_handle(server, "/instances", platform_list_handle,
			  platform->list);
	web_server_handle(server, "/weights", weights_handle, platform);
	web_server_handle(server, "/ledger", ledger_handle, platform);
	web_server_handle(server, "/faults", faults_handle, platform);
	web_server_handle(server, "/", unknown_path_handle, platform);
	loop_on_signal(platform->loop, SIGTERM, signal_handle, platform->loop);
	loop_on_signal(platform->loop, SIGINT, signal_handle, platform->loop);
	return true;
}

static void platform_stop(struct platform *platform)
{
	if (platform->server != NULL)
		web_server_destroy(platform->server);
	platform_answers_clear(platform);
	platform_list_destroy(platform->list);
	platform_log_destroy(platform->log);
	loop_destroy(platform->loop);
	clock_destroy(platform->clock);
}

int main(int argc, char **argv)
{
	struct platform platform = {
		.settings =
			{
				.listen = "127.0.0.1:0",
				.append_rate = 400,
				.list_lag_usec = 1000 * USEC_PER_MSEC,
				.weight_rate = 1e9,
			},
	};
	struct error err = {0};
	bool ok;

	argp_parse(&argp, argc, argv, 0, NULL, &platform.settings);
	ok = platform_start(&platform, &err);
	if (ok) {
		log_event(
			LOG_NOTICE, "listening",
			LOG_S("address", web_server_address(platform.server)));
		loop_run(platform.loop);
	} else {
		log_event(LOG_ERR, "start_failed", LOG_D("code", err.code),
			  LOG_S("text", err.text));
	}
	platform_stop(&platform);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
