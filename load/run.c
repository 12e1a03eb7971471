#include "load/run.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "load/arrival.h"
#include "load/call.h"
#include "load/check.h"
#include "load/ledgers.h"
#include "load/plan.h"
#include "load/tally.h"
#include "load/targets.h"
#include "load/workload.h"
#include "web/client.h"
#include "web/loop.h"

#define PROGRESS_USEC (2 * USEC_PER_SEC)
#define SETTLE_POLL_USEC (100 * USEC_PER_MSEC)
#define DEFAULT_CLASS "default"

struct active_call {
	struct load_run *run;
	struct call_plan *plan;
	struct load_call *call;
	GList *link;
};

struct load_run {
	struct run_settings settings;
	const struct workload *workload;
	struct loop *loop;
	struct clock *clock;
	struct web_client *client;
	GRand *rand; /* arrivals and plans; reproducible by seed */
	struct targets *targets;
	struct call_env env;
	char name[32];
	struct tally *kinds;
	GHashTable *classes; /* name to struct tally */
	GArray *records;
	GQueue active;
	struct ledgers *ledgers;
	struct timer arrival;
	struct timer progress;
	struct timer wait; /* for calls in flight, then for ledger polls */
	int64_t started;
	int64_t stopped;
	int64_t next_arrival; /* relative to started */
	int64_t settle_deadline;
	uint64_t sent;
	bool stopping;
	bool reading;
	bool ended;
};

static void call_result_record(struct load_run *run,
			       const struct call_plan *plan,
			       const struct call_result *result)
{
	const struct load_kind *kind = plan->kind;
	const char *class = kind->class != NULL ? kind->class : DEFAULT_CLASS;
	struct check_record record = {
		.kind = kind,
		.verdict = result->verdict,
		.outcome = result->outcome,
		.may_have_run = result->may_have_run,
	};

	g_strlcpy(record.key, plan->key, sizeof(record.key));
	g_strlcpy(record.request_id, result->request_id,
		  sizeof(record.request_id));
	g_array_append_val(run->records, record);
	tally_add(&run->kinds[kind - run->workload->kinds], kind, result);
	tally_add(g_hash_table_lookup(run->classes, class), kind, result);
}

static void active_call_free(struct active_call *active)
{
	g_queue_delete_link(&active->run->active, active->link);
	plan_destroy(active->plan);
	g_free(active);
}

static void ledgers_poll(struct load_run *run);

static void run_end(struct load_run *run)
{
	run->ended = true;
	timer_stop(&run->progress);
	loop_stop(run->loop);
}

static void ledgers_polled(void *ctx)
{
	struct load_run *run = ctx;

	run->reading = false;
	if (ledgers_held(run->ledgers) == 0 ||
	    clock_now(run->clock) >= run->settle_deadline)
		run_end(run);
	else
		timer_start(&run->wait, SETTLE_POLL_USEC);
}

static void ledgers_poll(struct load_run *run)
{
	run->reading = true;
	ledgers_read(run->ledgers, ledgers_polled, run);
}

static void run_settle(struct load_run *run)
{
	run->stopped = clock_now(run->clock);
	run->settle_deadline = run->stopped + run->settings.settle_usec;
	ledgers_poll(run);
}

static void call_ended(void *ctx, const struct call_plan *plan,
		       const struct call_result *result)
{
	struct active_call *active = ctx;
	struct load_run *run = active->run;

	call_result_record(run, plan, result);
	active_call_free(active);
	if (!run->stopping || run->active.length > 0)
		return;
	timer_stop(&run->wait);
	run_settle(run);
}

static void calls_abandon(struct load_run *run)
{
	static const struct call_result unanswered = {
		.verdict = CALL_UNANSWERED,
		.outcome = OUTCOME_UNKNOWN,
		.may_have_run = true,
		.attempts = 1,
	};

	struct active_call *active;

	while ((active = g_queue_peek_head(&run->active)) != NULL) {
		call_result_record(run, active->plan, &unanswered);
		call_cancel(active->call);
		active_call_free(active);
	}
}

static void wait_due(struct timer *timer, void *ctx)
{
	struct load_run *run = ctx;

	if (run->active.length == 0) {
		ledgers_poll(run);
		return;
	}
	calls_abandon(run);
	run_settle(run);
}

void load_run_stop(struct load_run *run)
{
	if (run->stopping)
		return;
	run->stopping = true;
	timer_stop(&run->arrival);
	if (run->active.length == 0)
		run_settle(run);
	else
		timer_start(&run->wait, run->settings.drain_usec);
}

static void arrival_start(struct load_run *run)
{
	const struct run_settings *settings = &run->settings;
	int64_t now = clock_now(run->clock) - run->started;
	bool over;

	run->next_arrival =
		arrival_next(run->rand, settings->rate, &run->workload->bursts,
			     run->next_arrival);
	over = run->next_arrival >= settings->duration_usec ||
	       (settings->count > 0 && run->sent >= settings->count);
	if (over)
		load_run_stop(run);
	else
		timer_start(&run->arrival, MAX(0, run->next_arrival - now));
}

static void hang_up_draw(struct load_run *run, struct call_plan *plan)
{
	const struct run_settings *settings = &run->settings;
	double chance = g_rand_double(run->rand) * 100;
	double delay = g_rand_double(run->rand);

	if (chance < settings->hang_up_percent)
		plan->hang_up_usec =
			1 + (int64_t)(delay * (double)settings->hang_up_usec);
}

static void arrival_due(struct timer *timer, void *ctx)
{
	struct load_run *run = ctx;
	struct active_call *active = g_new0(struct active_call, 1);

	active->run = run;
	active->plan =
		plan_draw(run->rand, run->workload, run->name, run->sent++);
	hang_up_draw(run, active->plan);
	g_queue_push_tail(&run->active, active);
	active->link = run->active.tail;
	active->call = call_start(&run->env, active->plan, call_ended, active);
	arrival_start(run);
}

static void progress_due(struct timer *timer, void *ctx)
{
	struct load_run *run = ctx;
	int64_t now = clock_now(run->clock) - run->started;
	int64_t within_targets = 0;
	int64_t whole = 0;

	for (unsigned int i = 0; i < run->workload->kinds_count; i++) {
		within_targets += run->kinds[i].within_targets;
		whole += run->kinds[i].verdicts[CALL_WHOLE];
	}
	fprintf(stderr,
		"%5.1f s: sent %" G_GUINT64_FORMAT ", in flight %u, whole "
		"%" G_GINT64_FORMAT ", within targets %" G_GINT64_FORMAT "\n",
		(double)now / USEC_PER_SEC, run->sent, run->active.length,
		whole, within_targets);
	timer_start(&run->progress, PROGRESS_USEC);
}

static void baseline_read(void *ctx)
{
	struct load_run *run = ctx;

	run->started = clock_now(run->clock);
	if (run->settings.progress)
		timer_start(&run->progress, PROGRESS_USEC);
	arrival_start(run);
}

static void tally_free(void *data)
{
	tally_clear(data);
	g_free(data);
}

static void tallies_create(struct load_run *run)
{
	unsigned int count = run->workload->kinds_count;

	run->kinds = g_new0(struct tally, count);
	run->classes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     tally_free);
	for (unsigned int i = 0; i < count; i++) {
		const struct load_kind *kind = &run->workload->kinds[i];
		char *class = kind->class != NULL ? kind->class : DEFAULT_CLASS;
		struct tally *tally;

		tally_init(&run->kinds[i], kind->name);
		if (g_hash_table_contains(run->classes, class))
			continue;
		tally = g_new0(struct tally, 1);
		tally_init(tally, class);
		g_hash_table_insert(run->classes, class, tally);
	}
}

struct load_run *load_run_create(struct loop *loop,
				 const struct run_settings *settings,
				 const struct workload *workload)
{
	struct load_run *run = g_new0(struct load_run, 1);

	run->settings = *settings;
	run->workload = workload;
	run->loop = loop;
	run->clock = loop_clock(loop);
	run->client = web_client_create(loop);
	run->rand = g_rand_new_with_seed(settings->seed);
	run->targets = targets_create(
		run->client, run->clock, settings->targets, settings->health,
		settings->target_count, settings->seed + 1);
	run->env = (struct call_env){
		.client = run->client,
		.clock = run->clock,
		.targets = run->targets,
		.timeout_usec = settings->timeout_usec,
		.retry = settings->retry,
		.exact = settings->exact,
	};
	/* The time keeps keys unique among runs on one site with one seed. */
	g_snprintf(run->name, sizeof(run->name), "%x-%" G_GINT64_MODIFIER "x",
		   settings->seed, clock_unix(run->clock));
	run->records = g_array_new(FALSE, FALSE, sizeof(struct check_record));
	run->ledgers = ledgers_create(run->client, settings->ledgers,
				      settings->ledger_count);
	tallies_create(run);
	timer_init(&run->arrival, run->clock, arrival_due, run);
	timer_init(&run->progress, run->clock, progress_due, run);
	timer_init(&run->wait, run->clock, wait_due, run);
	return run;
}

void load_run_start(struct load_run *run)
{
	ledgers_read(run->ledgers, baseline_read, run);
}

void load_run_destroy(struct load_run *run)
{
	if (run == NULL)
		return;
	timer_stop(&run->arrival);
	timer_stop(&run->progress);
	timer_stop(&run->wait);
	calls_abandon(run);
	ledgers_destroy(run->ledgers);
	for (unsigned int i = 0; i < run->workload->kinds_count; i++)
		tally_clear(&run->kinds[i]);
	g_free(run->kinds);
	g_hash_table_destroy(run->classes);
	g_array_free(run->records, TRUE);
	g_rand_free(run->rand);
	targets_destroy(run->targets);
	web_client_destroy(run->client);
	g_free(run);
}

static json_t *kinds_json(struct load_run *run)
{
	json_t *json = json_array();

	for (unsigned int i = 0; i < run->workload->kinds_count; i++)
		json_array_append_new(json, tally_json(&run->kinds[i]));
	return json;
}

static json_t *classes_json(struct load_run *run)
{
	GList *names = g_hash_table_get_keys(run->classes);
	json_t *json = json_array();

	names = g_list_sort(names, (GCompareFunc)strcmp);
	for (GList *link = names; link != NULL; link = link->next)
		json_array_append_new(json, tally_json(g_hash_table_lookup(
						    run->classes, link->data)));
	g_list_free(names);
	return json;
}

static json_t *prefill_json(const struct load_run *run)
{
	int64_t tokens = ledgers_sum(run->ledgers, "prefill_tokens");
	int64_t wasted = ledgers_sum(run->ledgers, "wasted_tokens") +
			 ledgers_recomputed(run->ledgers);
	double percent = 100.0 * (double)wasted / (double)MAX(1, tokens);

	return json_pack("{s:I, s:I, s:f}", "tokens", (json_int_t)tokens,
			 "wasted", (json_int_t)wasted, "wasted_percent",
			 percent);
}

json_t *load_run_report(struct load_run *run, bool *ok)
{
	const struct run_settings *settings = &run->settings;
	double duration = (double)(run->stopped - run->started) / USEC_PER_MSEC;
	json_t *checks;

	if (!run->ended)
		return NULL;
	checks = checks_run(run->records, run->ledgers, ok);
	return json_pack("{s:s, s:I, s:f, s:f, s:I, s:o, s:o, s:o, s:o, s:b}",
			 "label", settings->label, "seed",
			 (json_int_t)settings->seed, "rate", settings->rate,
			 "duration_ms", duration, "sent", (json_int_t)run->sent,
			 "classes", classes_json(run), "kinds", kinds_json(run),
			 "prefill", prefill_json(run), "checks", checks,
			 "ledgers", settings->ledger_count > 0);
}
