#include "crash_detector.h"

#include "common/log.h"

/* A check that could not be made is repeated after this time. */
#define AGAIN_USEC (500 * USEC_PER_MSEC)
/* Lives that are kept in mind at once; a domain of a large site has fewer. */
#define CHECKS_MAX 256u
/* Works lost at one life: twice what an engine runs at once (64). */
#define WORKS_MAX 128u

/* One life of a server that broke off requests. */
struct check {
	struct ended *ended;
	struct backend_info server;
	uint64_t key;
	char *health_path;
	GArray *works; /* struct request_identity, not yet judged */
	struct web_call *call;
	struct timer timer;
	int64_t began;
	bool sure; /* it has ended */
};

struct ended {
	struct crash_detector_parts parts;
	GHashTable *checks; /* key to struct check */
};

static const char *const result_names[] = {
	[CHECK_ALIVE] = "alive",
	[CHECK_ENDED] = "ended",
	[CHECK_UNKNOWN] = "unknown",
};

static void check_free(gpointer data)
{
	struct check *check = data;

	if (check->call)
		web_call_cancel(check->call);
	timer_stop(&check->timer);
	g_array_unref(check->works);
	g_free(check->health_path);
	g_free(check);
}

struct ended *crash_detector_create(const struct crash_detector_parts *parts)
{
	struct ended *ended = g_new0(struct ended, 1);

	ended->parts = *parts;
	ended->checks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      check_free);
	return ended;
}

void crash_detector_destroy(struct ended *ended)
{
	if (!ended)
		return;
	g_hash_table_destroy(ended->checks);
	g_free(ended);
}

static void check_drop(struct check *check)
{
	g_hash_table_remove(check->ended->checks, &check->key);
}

static void works_report(struct check *check)
{
	const struct crash_detector_parts *parts = &check->ended->parts;

	for (guint i = 0; i < check->works->len; i++)
		parts->fn(parts->ctx, &check->server,
			  &g_array_index(check->works, struct request_identity,
					 i));
	g_array_set_size(check->works, 0);
}

static void check_log(const struct check *check, enum check_result result)
{
	const struct crash_detector_parts *parts = &check->ended->parts;

	log_event(LOG_NOTICE, "server_checked",
		  LOG_S("backend", check->server.id),
		  LOG_D("born", check->server.started_ms),
		  LOG_S("result", result_names[result]),
		  LOG_D("requests", check->works->len),
		  LOG_D("after_ms", (clock_now(parts->clock) - check->began) /
					    USEC_PER_MSEC));
}

/* Kept for a while: requests may find out later that their connection is gone.
 */
static void check_settle(struct check *check)
{
	check->sure = true;
	works_report(check);
	timer_start(&check->timer, CRASH_WATCH_USEC);
}

/* What the list says goes before an answer under the same id, which may be the
 * next life's; and before none: who has left it and does not answer is gone. */
static enum check_result check_judge(const struct check *check,
				     enum check_result result)
{
	const struct fleet *fleet = check->ended->parts.fleet;

	if (fleet_started_ms(fleet, check->server.id) >
	    check->server.started_ms)
		return CHECK_ENDED;
	if (result == CHECK_UNKNOWN && !fleet_find(fleet, check->key))
		return CHECK_ENDED;
	return result;
}

static void on_checked(void *ctx, enum check_result result)
{
	struct check *check = ctx;
	const struct crash_detector_parts *parts = &check->ended->parts;

	check->call = NULL;
	result = check_judge(check, result);
	check_log(check, result);
	if (result == CHECK_ENDED)
		check_settle(check);
	else if (result == CHECK_ALIVE ||
		 clock_now(parts->clock) - check->began >= CRASH_WATCH_USEC)
		check_drop(check);
	else
		timer_start(&check->timer, AGAIN_USEC);
}

/* Waits for the end of the server's backoff. */
static void check_ask(struct check *check)
{
	const struct crash_detector_parts *parts = &check->ended->parts;
	const struct backend_ops *ops = parts->backends;
	const struct backend *backend = fleet_find(parts->fleet, check->key);
	int64_t now = clock_now(parts->clock);

	if (backend && now < backend->backoff_until) {
		timer_start(&check->timer, backend->backoff_until - now);
		return;
	}

	check->call = ops->check(ops->ctx, &check->server, check->health_path,
				 on_checked, check);
}

static void on_timer(struct timer *timer, void *ctx)
{
	struct check *check = ctx;

	if (check->sure)
		check_drop(check);
	else
		check_ask(check);
}

static struct check *check_begin(struct ended *ended, uint64_t key,
				 const struct backend_info *server,
				 const char *health_path)
{
	struct check *check;

	if (g_hash_table_size(ended->checks) >= CHECKS_MAX)
		return NULL;
	check = g_new0(struct check, 1);
	check->ended = ended;
	check->server = *server;
	check->key = key;
	check->health_path = g_strdup(health_path);
	check->works =
		g_array_new(FALSE, FALSE, sizeof(struct request_identity));
	check->began = clock_now(ended->parts.clock);
	timer_init(&check->timer, ended->parts.clock, on_timer, check);
	g_hash_table_insert(ended->checks, &check->key, check);
	check_ask(check);
	return check;
}

/* One that said so ends by itself, whatever runs there. */
static bool is_leaving(const struct ended *ended, uint64_t key)
{
	const struct backend *backend = fleet_find(ended->parts.fleet, key);

	return backend && backend_leaving(backend);
}

void crash_detector_check(struct ended *ended,
			  const struct backend_info *server,
			  const char *health_path,
			  const struct request_identity *lost)
{
	uint64_t key = backend_key(server);
	struct check *check = g_hash_table_lookup(ended->checks, &key);

	if (is_leaving(ended, key))
		return;
	if (!check)
		check = check_begin(ended, key, server, health_path);
	if (!check || check->works->len >= WORKS_MAX) {
		log_event(LOG_NOTICE, "server_not_checked",
			  LOG_S("backend", server->id),
			  LOG_S("reason", "too many at once"));
		return;
	}
	g_array_append_val(check->works, *lost);
	if (check->sure)
		works_report(check);
}
