#include "request.h"

#include "common/log.h"

/* Retry interval of a check without a result. */
#define CHECK_RETRY_USEC (500 * USEC_PER_MSEC)
/* Incarnations tracked at a time; a failure domain of a large site has fewer
 * servers. */
#define CHECKS_MAX 256u
/* Requests lost at one incarnation: twice what an engine runs at a time (64).
 */
#define REQUESTS_MAX 128u

/* An incarnation of a server that broke off requests. */
struct check {
	struct crash_detector *detector;
	struct backend_info server;
	uint64_t key;
	char *health_path;
	GArray *requests; /* struct suspects, not yet reported */
	struct web_call *call;
	char relay[ADDRESS_TEXT_MAX]; /* of the last call; empty: direct */
	struct timer timer;
	int64_t started_at;
	bool refused;  /* it did not listen at an earlier check */
	bool answered; /* now: it, or another one at its address */
	bool crashed;
};

struct crash_detector {
	struct crash_detector_parts parts;
	GHashTable *checks; /* key to struct check */
};

static const char *const result_names[] = {
	[CHECK_ALIVE] = "alive",
	[CHECK_REPLACED] = "replaced",
	[CHECK_SILENT] = "silent",
	[CHECK_REFUSED] = "refused",
	[CHECK_UNREACHABLE] = "unreachable",
	[CHECK_REJECTED] = "rejected",
};

static void check_free(gpointer data)
{
	struct check *check = data;

	if (check->call)
		web_call_cancel(check->call);
	timer_stop(&check->timer);
	g_array_unref(check->requests);
	g_free(check->health_path);
	g_free(check);
}

struct crash_detector *
crash_detector_create(const struct crash_detector_parts *parts)
{
	struct crash_detector *detector = g_new0(struct crash_detector, 1);

	detector->parts = *parts;
	detector->checks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, check_free);
	return detector;
}

void crash_detector_destroy(struct crash_detector *detector)
{
	if (!detector)
		return;
	g_hash_table_destroy(detector->checks);
	g_free(detector);
}

/* How long a check without a result is repeated. */
static int64_t watch_usec(const struct check *check)
{
	return fleet_unlisting_usec(check->detector->parts.fleet);
}

static void check_drop(struct check *check)
{
	g_hash_table_remove(check->detector->checks, &check->key);
}

static void crashes_report(struct check *check)
{
	const struct crash_detector_parts *parts = &check->detector->parts;

	for (guint i = 0; i < check->requests->len; i++)
		parts->fn(parts->ctx, &check->server,
			  &g_array_index(check->requests, struct suspects, i));
	g_array_set_size(check->requests, 0);
}

static void check_log(const struct check *check, enum check_result result)
{
	const struct crash_detector_parts *parts = &check->detector->parts;

	log_event(LOG_NOTICE, "server_checked",
		  LOG_S("backend", check->server.id),
		  LOG_D("born", check->server.started_ms),
		  LOG_S("result", result_names[result]),
		  LOG_S("relay", check->relay),
		  LOG_D("requests", check->requests->len),
		  LOG_D("after_ms",
			(clock_now(parts->clock) - check->started_at) /
				USEC_PER_MSEC));
}

/* The check is kept for a while: further requests may notice the lost
 * connection later. */
static void check_set_crashed(struct check *check)
{
	check->crashed = true;
	crashes_report(check);
	timer_start(&check->timer, watch_usec(check));
}

/* The list takes precedence: an answer under the same id may come from a later
 * incarnation, and an unlisted server that does not answer has crashed. */
static enum check_result check_apply_list(const struct check *check,
					  enum check_result result)
{
	const struct fleet *fleet = check->detector->parts.fleet;

	if (fleet_started_ms(fleet, check->server.id) >
	    check->server.started_ms)
		return CHECK_REPLACED;
	if (result != CHECK_ALIVE && !fleet_find(fleet, check->key))
		return CHECK_REPLACED;
	return result;
}

static void check_call(struct check *check);

/* Repeats a check that was refused through another instance, since a lost link
 * refuses connections, too; false when no instance is available. */
static bool check_relay(struct check *check)
{
	const struct crash_detector_parts *parts = &check->detector->parts;

	if (check->relay[0] ||
	    !parts->relay_choose(parts->ctx, &check->server, check->relay))
		return false;
	check_call(check);
	return true;
}

/* Without another instance to ask, a refused connection counts unless those to
 * other servers fail as well. */
static bool is_crash(const struct check *check, enum check_result result)
{
	return result == CHECK_REPLACED ||
	       (result == CHECK_REFUSED &&
		(check->relay[0] ||
		 !fleet_links_lost(check->detector->parts.fleet)));
}

static bool is_over(const struct check *check)
{
	const struct clock *clock = check->detector->parts.clock;

	return clock_now(clock) - check->started_at >= watch_usec(check);
}

static void check_repeat(struct check *check, enum check_result result)
{
	/* Only a refused check is repeated through another instance. */
	check->refused |= result == CHECK_REFUSED || check->relay[0];
	timer_start(&check->timer, CHECK_RETRY_USEC);
}

static void on_checked(void *ctx, enum check_result result)
{
	struct check *check = ctx;

	check->call = NULL;
	result = check_apply_list(check, result);
	check_log(check, result);
	check->answered = check->refused && result == CHECK_ALIVE;
	if (result == CHECK_REFUSED && check_relay(check))
		return;
	if (is_crash(check, result))
		check_set_crashed(check);
	else if ((result == CHECK_ALIVE && !check->answered) || is_over(check))
		check_drop(check);
	else
		check_repeat(check, result);
}

static void check_call(struct check *check)
{
	const struct backend_ops *ops = check->detector->parts.backends;
	const struct backend_link link = link_of(&check->server, check->relay);

	check->call = ops->check(ops->ctx, &link, check->health_path,
				 on_checked, check);
}

/* Sends the check, after the end of the server's backoff. */
static void check_send(struct check *check)
{
	const struct crash_detector_parts *parts = &check->detector->parts;
	const struct backend *backend = fleet_find(parts->fleet, check->key);
	int64_t now = clock_now(parts->clock);

	if (backend && now < backend->backoff_until) {
		timer_start(&check->timer, backend->backoff_until - now);
		return;
	}
	check->relay[0] = '\0';
	check_call(check);
}

/* A server that did not listen and answers now has either started again, which
 * the list will show, or could not be reached for a moment. */
static void check_watch_list(struct check *check)
{
	const struct backend *backend =
		fleet_find(check->detector->parts.fleet, check->key);

	if (is_over(check) || (backend && backend_leaving(backend))) {
		check_drop(check);
	} else if (backend) {
		timer_start(&check->timer, CHECK_RETRY_USEC);
	} else {
		check->answered = false;
		check_set_crashed(check);
	}
}

static void on_timer(struct timer *timer, void *ctx)
{
	struct check *check = ctx;

	if (check->answered)
		check_watch_list(check);
	else if (check->crashed)
		check_drop(check);
	else
		check_send(check);
}

static struct check *check_begin(struct crash_detector *detector, uint64_t key,
				 const struct backend_info *server,
				 const char *health_path)
{
	struct check *check;

	if (g_hash_table_size(detector->checks) >= CHECKS_MAX)
		return NULL;
	check = g_new0(struct check, 1);
	check->detector = detector;
	check->server = *server;
	check->key = key;
	check->health_path = g_strdup(health_path);
	check->requests = g_array_new(FALSE, FALSE, sizeof(struct suspects));
	check->started_at = clock_now(detector->parts.clock);
	timer_init(&check->timer, detector->parts.clock, on_timer, check);
	g_hash_table_insert(detector->checks, &check->key, check);
	check_send(check);
	return check;
}

/* It has broken off another request since it answered. */
static void check_restart(struct check *check)
{
	check->answered = false;
	check->started_at = clock_now(check->detector->parts.clock);
	timer_stop(&check->timer);
	check_send(check);
}

/* A leaving server stops by itself, whatever runs there. */
static bool is_leaving(const struct crash_detector *detector, uint64_t key)
{
	const struct backend *backend = fleet_find(detector->parts.fleet, key);

	return backend && backend_leaving(backend);
}

void crash_detector_check(struct crash_detector *detector,
			  const struct backend_info *server,
			  const char *health_path,
			  const struct suspects *suspects)
{
	uint64_t key = backend_key(server);
	struct check *check = g_hash_table_lookup(detector->checks, &key);

	if (is_leaving(detector, key))
		return;
	if (!check)
		check = check_begin(detector, key, server, health_path);
	if (!check || check->requests->len >= REQUESTS_MAX) {
		log_event(LOG_NOTICE, "server_not_checked",
			  LOG_S("backend", server->id),
			  LOG_S("reason", "too many checks or requests"));
		return;
	}
	g_array_append_val(check->requests, *suspects);
	if (check->crashed)
		crashes_report(check);
	else if (check->answered)
		check_restart(check);
}
