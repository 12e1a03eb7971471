/*
 * confirm.c - whether an answer that ended with its connection is complete
 *
 * DESCRIPTION
 *	A body without a length ends with its connection. The kernel closes the
 *	connections of a process that was killed in the same way, so the answer
 *	counts as complete only once the server is known to run: it is asked for
 *	its health on the same path. One that cannot be reached is asked again
 *	until the request's timeout. One that accepts two connections in a row
 *	without an answer still listens: it is busy or paused.
 */
#include "request.h"

#include "common/log.h"

/* Time between two checks. */
#define RETRY_USEC (100 * USEC_PER_MSEC)

static const char *const result_names[] = {
	[CHECK_ALIVE] = "alive",
	[CHECK_REPLACED] = "replaced",
	[CHECK_SILENT] = "silent",
	[CHECK_REFUSED] = "refused",
	[CHECK_UNREACHABLE] = "unreachable",
	[CHECK_REJECTED] = "rejected",
};

static void confirm_end(struct request *request, bool alive)
{
	const struct backend_end end = {
		.complete = alive,
		.connected = true,
		.text = alive ? "whole" : "the server ended with the answer",
	};

	request->call_done(request, &end);
}

/* The list shows incarnations that a health check cannot tell apart. */
static bool is_replaced(const struct request *request)
{
	const struct fleet *fleet = request->forward->parts.fleet;

	return fleet_started_ms(fleet, request->target.id) >
	       request->target.started_ms;
}

static void on_checked(void *ctx, enum check_result result)
{
	struct request *request = ctx;

	request->call = NULL;
	if (result == CHECK_ALIVE && is_replaced(request))
		result = CHECK_REPLACED;
	log_event(LOG_INFO, "answer_checked",
		  LOG_S("request", request->caller.id),
		  LOG_S("backend", request->target.id),
		  LOG_S("relay", request->relay),
		  LOG_S("result", result_names[result]));
	if (result == CHECK_SILENT && request->confirm_silent)
		result = CHECK_ALIVE;
	request->confirm_silent = result == CHECK_SILENT;
	if (result == CHECK_SILENT || result == CHECK_UNREACHABLE)
		timer_start(&request->confirm_timer, RETRY_USEC);
	else
		confirm_end(request,
			    result == CHECK_ALIVE || result == CHECK_REJECTED);
}

static void check_send(struct request *request)
{
	const struct backend_ops *ops = &request->forward->parts.backends;
	const struct backend_link link =
		link_of(&request->target, request->relay);

	request->call = ops->check(ops->ctx, &link,
				   catalog_health_path(request->service),
				   on_checked, request);
}

void confirm_timed_out(struct timer *timer, void *ctx)
{
	check_send(ctx);
}

bool request_confirm(struct request *request, const struct backend_end *end)
{
	const struct backend *backend;
	int64_t now = request_now(request);

	if (!end->complete || !end->unframed)
		return false;
	request->confirm_silent = false;
	backend = fleet_find(request->forward->parts.fleet,
			     backend_key(&request->target));
	if (backend && now < backend->backoff_until)
		timer_start(&request->confirm_timer,
			    backend->backoff_until - now);
	else
		check_send(request);
	return true;
}
