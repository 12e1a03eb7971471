/* Stand-in for a model engine. See docs/design/standins.md. */
#include <stdlib.h>

#include "standin/backend.h"
#include "standin/engine_http.h"
#include "standin/engine_model.h"
#include "standin/engine_settings.h"

static void jtengine_leave(void *ctx)
{
	engine_leave(ctx);
}

static bool jtengine_idle(void *ctx)
{
	return engine_idle(ctx);
}

static void jtengine_pool_changed(void *ctx, const char *pool)
{
	const struct standin_backend *backend = ctx;

	registration_set_pool(backend->registration, pool,
			      (uint64_t)clock_unix(backend->clock));
}

static const struct backend_ops backend_ops = {
	.leave = jtengine_leave,
	.idle = jtengine_idle,
};

int main(int argc, char **argv)
{
	struct engine_settings settings;
	struct standin_backend backend;
	struct engine_model *model;
	struct engine_http *http;

	engine_settings_read(&settings, argc, argv);
	if (!backend_open(&backend, "jtengine", settings.listen))
		return EXIT_FAILURE;
	model = engine_create(backend.clock, &settings.params);
	http = engine_http_create(model, backend.server, backend.client);
	engine_http_on_pool(http, jtengine_pool_changed, &backend);
	backend_run(&backend, &settings.spec, &backend_ops, model);
	backend_close_server(&backend);
	engine_destroy(model);
	engine_http_destroy(http);
	backend_close(&backend);
	return EXIT_SUCCESS;
}
