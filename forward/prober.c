#include "prober.h"

#include "request.h"

/* Pause between checks. */
#define PROBE_INTERVAL_USEC (250 * USEC_PER_MSEC)

struct prober {
	struct forward *forward;
	struct timer timer;
	struct web_call *call;
	struct backend_info server; /* of the check in flight */
};

static void on_checked(void *ctx, enum check_result result)
{
	struct prober *prober = ctx;
	const struct forward_parts *parts = &prober->forward->parts;
	struct backend *backend =
		fleet_find(parts->fleet, backend_key(&prober->server));
	bool connected = result != CHECK_REFUSED && result != CHECK_UNREACHABLE;

	prober->call = NULL;
	if (backend && connected)
		backend_reached(backend);
	else if (backend)
		backend_probe_failed(backend, clock_now(parts->clock));
	if (backend && result == CHECK_REJECTED)
		backend_failed(backend, clock_now(parts->clock));
	timer_start(&prober->timer, connected ? 0 : PROBE_INTERVAL_USEC);
}

static const char *health_path(const struct forward *forward, uint64_t service)
{
	const struct catalog_service *found =
		forward->catalog ? catalog_service(forward->catalog, service)
				 : NULL;

	return catalog_health_path(found);
}

static void on_timer(struct timer *timer, void *ctx)
{
	struct prober *prober = ctx;
	const struct forward_parts *parts = &prober->forward->parts;
	const struct backend *next =
		fleet_probe_next(parts->fleet, parts->rand);
	struct backend_link link = {.to = &prober->server};

	if (!next) {
		timer_start(timer, PROBE_INTERVAL_USEC);
		return;
	}
	prober->server = next->info;
	prober->call = parts->backends.check(
		parts->backends.ctx, &link,
		health_path(prober->forward, next->info.service), on_checked,
		prober);
}

struct prober *prober_create(struct forward *forward)
{
	struct prober *prober = g_new0(struct prober, 1);

	prober->forward = forward;
	timer_init(&prober->timer, forward->parts.clock, on_timer, prober);
	timer_start(&prober->timer, PROBE_INTERVAL_USEC);
	return prober;
}

void prober_destroy(struct prober *prober)
{
	timer_stop(&prober->timer);
	if (prober->call)
		web_call_cancel(prober->call);
	g_free(prober);
}
