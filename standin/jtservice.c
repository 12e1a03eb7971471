/* Stand-in for a plain service. See docs/design/standins.md. */
#include <argp.h>
#include <stdlib.h>

#include "common/option.h"
#include "standin/backend.h"
#include "standin/service.h"

struct settings {
	struct registration_spec spec;
	const char *listen;
	int64_t work_usec;
};

static void leave_hook(void *ctx)
{
	service_leave(ctx);
}

static bool idle_hook(void *ctx)
{
	return service_idle(ctx);
}

static const struct backend_ops backend_ops = {
	.leave = leave_hook,
	.idle = idle_hook,
};

static const struct argp_option options[] = {
	{"name", 'n', "NAME", 0, "name of the instance", 0},
	{"pool", 'p', "NAME", 0, "its pool", 0},
	{"data-centre", 'd', "NAME", 0, "its data centre", 0},
	{"listen", 'l', "IP:PORT", 0, "own address; port 0 picks one", 0},
	{"platform", 'P', "IP:PORT", 0, "register there", 0},
	{"work-ms", 'w', "X", 0, "time that a call takes", 0},
	{0},
};

static error_t option_parse(int key, char *arg, struct argp_state *state)
{
	struct settings *settings = state->input;

	switch (key) {
	case 'n':
		settings->spec.name = arg;
		return 0;
	case 'p':
		settings->spec.pool = arg;
		return 0;
	case 'd':
		settings->spec.data_centre = arg;
		return 0;
	case 'l':
		settings->listen = arg;
		return 0;
	case 'P':
		settings->spec.platform = arg;
		return 0;
	case 'w':
		settings->work_usec =
			(int64_t)(option_number(arg, 0, 1e9, state) *
				  USEC_PER_MSEC);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = option_parse,
		.doc = "Stands in for one plain service in tests.",
	};
	struct settings settings = {
		.spec = {.kind = "server",
			 .name = "service",
			 .pool = "pool",
			 .data_centre = "local"},
		.listen = "127.0.0.1:0",
	};
	struct standin_backend backend;
	struct service *service;

	argp_program_version = "jtservice " JT_VERSION;
	argp_parse(&argp, argc, argv, 0, NULL, &settings);
	if (!backend_open(&backend, "jtservice", settings.listen))
		return EXIT_FAILURE;
	service = service_create(backend.clock, backend.server,
				 settings.work_usec);
	backend_run(&backend, &settings.spec, &backend_ops, service);
	backend_close_server(&backend);
	service_destroy(service);
	backend_close(&backend);
	return EXIT_SUCCESS;
}
