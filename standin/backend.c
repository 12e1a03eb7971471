#include "standin/backend.h"

#include <signal.h>

#include "common/error.h"
#include "common/log.h"
#include "web/client.h"
#include "web/loop.h"
#include "web/server.h"

#define IDLE_CHECK_USEC (20 * USEC_PER_MSEC)

static const struct web_limits limits = {
	.body_bytes = (size_t)64 << 20,
	.connections = 20000,
	.idle_usec = 300 * USEC_PER_SEC,
	.request_usec = 60 * USEC_PER_SEC,
};

bool backend_open(struct standin_backend *backend, const char *program,
		  const char *listen)
{
	struct error err;

	*backend = (struct standin_backend){0};
	backend->clock = clock_create_system();
	log_setup(backend->clock, program, LOG_INFO);
	backend->loop = loop_create(backend->clock);
	backend->client = web_client_create(backend->loop);
	backend->server =
		web_server_create(backend->loop, listen, &limits, &err);
	if (backend->server)
		return true;
	log_event(LOG_ERR, "listen_failed", LOG_S("address", listen),
		  LOG_S("error", err.text));
	return false;
}

static void entry_removed(void *ctx)
{
	struct standin_backend *backend = ctx;

	loop_stop(backend->loop);
}

static void idle_check(struct timer *timer, void *ctx)
{
	struct standin_backend *backend = ctx;

	if (!backend->ops->idle(backend->ctx)) {
		timer_start(timer, IDLE_CHECK_USEC);
		return;
	}
	backend->ending = true;
	registration_remove(backend->registration, entry_removed, backend);
}

static void signal_handle(void *ctx, int signal)
{
	struct standin_backend *backend = ctx;

	if (backend->leaving) {
		loop_stop(backend->loop);
		return;
	}
	backend->leaving = true;
	log_event(LOG_INFO, "leaving", LOG_D("signal", signal));
	registration_set_leaving(backend->registration);
	backend->ops->leave(backend->ctx);
	timer_start(&backend->idle_timer, IDLE_CHECK_USEC);
}

void backend_run(struct standin_backend *backend,
		 struct registration_spec *spec, const struct backend_ops *ops,
		 void *ctx)
{
	const char *address = web_server_address(backend->server);

	backend->ops = ops;
	backend->ctx = ctx;
	timer_init(&backend->idle_timer, backend->clock, idle_check, backend);
	loop_on_signal(backend->loop, SIGTERM, signal_handle, backend);
	loop_on_signal(backend->loop, SIGINT, signal_handle, backend);
	spec->address = address;
	spec->incarnation = (uint64_t)clock_unix(backend->clock);
	backend->registration =
		registration_create(backend->loop, backend->client, spec);
	log_event(LOG_INFO, "listening", LOG_S("name", spec->name),
		  LOG_S("address", address));
	loop_run(backend->loop);
	log_event(LOG_INFO, "stopped", LOG_S("name", spec->name));
}

void backend_close_server(struct standin_backend *backend)
{
	timer_stop(&backend->idle_timer);
	registration_destroy(backend->registration);
	web_server_destroy(backend->server);
}

void backend_close(struct standin_backend *backend)
{
	web_client_destroy(backend->client);
	loop_destroy(backend->loop);
	clock_destroy(backend->clock);
}
