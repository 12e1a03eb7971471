/*
 * Applies every fault and every action of a caller at every step of a request
 * and checks the engines' ledgers afterwards. Guards against leaked memory and
 * against tokens that are counted twice or not at all.
 *
 * A caller sends a prompt of 1,000 tokens, queued behind another caller's, and
 * requests ten output tokens. It decodes as soon as the prefill is done and
 * resumes a disconnected stream once.
 */
#include <string.h>

#include "common/table.h"
#include "standin/engine_prefill.h"
#include "standin/engine_stream.h"

#define MS(n) ((n)*USEC_PER_MSEC)
#define OUTPUT 10

enum step {
	STEP_WAITS,    /* the prompt is queued behind another */
	STEP_COMPUTES, /* half of the prompt is computed */
	STEP_HELD,     /* the result is held, the decode follows at once */
	STEP_TRANSFER, /* the KV cache is transferred */
	STEP_DECODES,  /* some tokens are delivered */
	STEP_UNREAD,   /* all is computed, the connection is lost */
	STEPS,
};

static const int64_t step_at[STEPS] = {MS(50),	MS(150), MS(200),
				       MS(250), MS(350), MS(600)};

struct world {
	struct clock *clock;
	struct engine_model *p;
	struct engine_model *d;
	struct prefill *prefill; /* until it is computed */
	uint64_t result;
	char name[ENGINE_NAME_SIZE];
	struct fetch *fetch;
	uint64_t stream;
	bool resumed;
	bool caller_done; /* the caller sends nothing more */
	/* The outcome. */
	const char *refused;
	uint32_t received;
	bool ended;
};

static const struct stream_ops ops;

static struct stream *stream_now(struct world *w)
{
	return table_get(w->d->streams, w->stream);
}

static void kv_fetched(void *ctx, const struct engine_kv *kv)
{
	struct world *w = ctx;

	w->fetch = NULL;
	stream_fetched(stream_now(w), kv);
}

static void fetch_abort(void *ctx)
{
	struct world *w = ctx;

	if (w->fetch)
		fetch_cancel(w->fetch);
	w->fetch = NULL;
}

static void record_refusal(struct world *w, enum engine_refusal refusal)
{
	w->refused = engine_refusal_name(refusal);
	w->caller_done = true;
}

static const struct engine_job job = {
	.request = 1,
	.prompt_tokens = 1000,
	.output_max = OUTPUT,
};

static void prefill_request(struct world *w, const struct engine_job *spec,
			    prefill_fn fn)
{
	const struct engine_kv kv = {.length = UINT32_MAX};
	enum engine_refusal refusal;

	w->prefill = prefill_start(w->p, spec, &kv, NULL, 0, fn, w, &refusal);
	if (!w->prefill)
		record_refusal(w, refusal);
}

static void decode_request(struct world *w)
{
	enum engine_refusal refusal;
	struct stream *s = stream_reserve(w->d, &job, fetch_abort, w, &refusal);

	if (!s) {
		record_refusal(w, refusal);
		prefill_cancel(w->p, w->result);
		return;
	}
	w->stream = s->handle;
	w->fetch = fetch_start(w->p, w->name, kv_fetched, w);
	stream_attach(s, 0, true, &ops, w);
	if (!w->fetch)
		stream_fail(s, "gone");
}

static void computed(void *ctx, const struct prefill *p)
{
	struct world *w = ctx;

	w->prefill = NULL;
	w->result = p->handle;
	engine_name_write(w->p, 'p', p->handle, w->name);
}

static void other_computed(void *ctx, const struct prefill *p)
{
	prefill_cancel(p->model, p->handle);
}

static void started(void *ctx)
{
}

static bool tokens(void *ctx, const struct stream *s, uint32_t from,
		   uint32_t to)
{
	struct world *w = ctx;

	g_assert_cmpuint(from, ==, w->received);
	w->received = to;
	return true;
}

static void ended(void *ctx, const char *reason, uint32_t count)
{
	struct world *w = ctx;

	g_assert_cmpstr(reason, ==, "length");
	g_assert_cmpuint(count, ==, OUTPUT);
	w->ended = true;
}

static void disconnected(void *ctx, const char *text)
{
}

static const struct stream_ops ops = {started, tokens, ended, disconnected};

/* Events of the table below. */
static void event_none(struct world *w)
{
}

static void event_hang_up(struct world *w)
{
	struct stream *s = stream_now(w);

	w->caller_done = true;
	if (w->prefill)
		prefill_cancel(w->p, w->prefill->handle);
	if (s)
		stream_detach(s);
}

/* Cancels the work in any state, twice: a repeated cancel is harmless. */
static void event_cancel(struct world *w)
{
	w->caller_done = true;
	for (int i = 0; i < 2; i++) {
		struct stream *s = stream_now(w);

		if (s)
			stream_cancel(s);
		prefill_cancel(w->p,
			       w->prefill ? w->prefill->handle : w->result);
		w->prefill = NULL;
	}
}

static void fault_both(struct world *w, enum engine_fault fault, int64_t value)
{
	w->p->faults.faults[fault].value = value;
	w->d->faults.faults[fault].value = value;
}

static void event_refuse(struct world *w)
{
	fault_both(w, ENGINE_REFUSE, 1);
}

static void event_leave(struct world *w)
{
	engine_leave(w->p);
	engine_leave(w->d);
}

static void event_role(struct world *w)
{
	enum engine_role role = ENGINE_PREFILL;

	engine_order(w->d, &role, NULL, 1);
	role = ENGINE_DECODE;
	engine_order(w->p, &role, NULL, 1);
}

static void event_stall(struct world *w)
{
	fault_both(w, ENGINE_STALL_TRANSFER, 1);
}

static void event_drop(struct world *w)
{
	w->d->faults.faults[ENGINE_DROP_STREAM] = (struct fault){4, 1};
}

static void event_lose(struct world *w)
{
	w->d->faults.faults[ENGINE_LOSE_STREAM] = (struct fault){4, 1};
}

static void event_slow(struct world *w)
{
	fault_both(w, ENGINE_SLOW, 3);
}

static void event_freeze(struct world *w)
{
	fault_both(w, ENGINE_FREEZE_REPORTS, 1);
}

/* The prefill engine fails: its results can't be fetched any more. */
static void event_source_dies(struct world *w)
{
	bool transferring = w->fetch != NULL;

	if (!transferring && w->stream)
		return;
	w->caller_done = true;
	fetch_abort(w);
	if (transferring)
		stream_fail(stream_now(w), "source");
	prefill_cancel(w->p, w->prefill ? w->prefill->handle : w->result);
}

/* Expected outcome of each event at each step: wasted tokens / tokens delivered
 * / decodes finished / pieces held at the end, and the reason of a refusal. */
static const struct {
	const char *name;
	void (*run)(struct world *w);
	const char *expected[STEPS];
} rows[] = {
#define ALL(x)                                                                 \
	{                                                                      \
		x, x, x, x, x, x                                               \
	}
	{"none", event_none, ALL("0/10/1/0")},
	{"freeze_reports", event_freeze, ALL("0/10/1/0")},
	{"slow", event_slow, ALL("0/10/1/0")},
	{"hang_up",
	 event_hang_up,
	 {"0/0/0/0", "500/0/0/0", "1000/0/0/0", "0/0/1/0", "0/2/1/0",
	  "0/2/1/0"}},
	{"cancel",
	 event_cancel,
	 {"0/0/0/0", "500/0/0/0", "1000/0/0/0", "1000/0/0/0", "0/2/0/0",
	  "0/2/1/0"}},
	{"refuse",
	 event_refuse,
	 {"1000/0/0/0 full", "1000/0/0/0 full", "1000/0/0/0 full", "0/10/1/0",
	  "0/10/1/0", "0/10/1/0"}},
	{"leave",
	 event_leave,
	 {"1000/0/0/0 leaving", "1000/0/0/0 leaving", "1000/0/0/0 leaving",
	  "0/10/1/0", "0/10/1/0", "0/10/1/0"}},
	{"role",
	 event_role,
	 {"1000/0/0/0 role", "1000/0/0/0 role", "1000/0/0/0 role", "0/10/1/0",
	  "0/10/1/0", "0/10/1/0"}},
	/* A stalled transfer holds its memory until it is cancelled. */
	{"stall_transfer",
	 event_stall,
	 {"0/0/0/2", "0/0/0/2", "0/0/0/2", "0/10/1/0", "0/10/1/0", "0/10/1/0"}},
	/* At the last step the caller has already resumed once. */
	{"drop_stream",
	 event_drop,
	 {"0/10/1/0", "0/10/1/0", "0/10/1/0", "0/10/1/0", "0/10/1/0",
	  "0/6/1/0"}},
	{"lose_stream",
	 event_lose,
	 {"0/4/0/0", "0/4/0/0", "0/4/0/0", "0/4/0/0", "0/4/0/0", "0/6/1/0"}},
	{"source_dies",
	 event_source_dies,
	 {"0/0/0/0", "500/0/0/0", "1000/0/0/0", "1000/0/0/0", "0/10/1/0",
	  "0/10/1/0"}},
};

static const char *const step_names[STEPS] = {"waits",	  "computes", "held",
					      "transfer", "decodes",  "unread"};

static struct engine_model *engine_new(struct clock *clock,
				       enum engine_role role)
{
	const struct engine_params params = {
		.role = role,
		.pieces = 4,
		.piece_tokens = 1000,
		.slots = 2,
		.queue = 2,
		.prefill_tokens_per_s = 10000,
		.decode_tokens_per_s = 50,
		.kv_bytes_per_token = 1000,
		.link_bytes_per_s = 10e6,
		.hold_usec = MS(800),
		.resume_usec = MS(1000),
		.report_lag_usec = MS(100),
		.time_scale = 1,
	};

	return engine_create(clock, &params);
}

/* Runs to a step, with the caller's actions before it. */
static void step_reach(struct world *w, enum step step)
{
	const struct engine_job other = {.request = 2, .prompt_tokens = 1000};
	struct stream *s;

	prefill_request(w, &other, other_computed);
	prefill_request(w, &job, computed);
	clock_advance(w->clock, MIN(step_at[step], MS(200)));
	if (step > STEP_HELD)
		decode_request(w);
	clock_advance(w->clock, MIN(step_at[step], MS(350)));
	s = stream_now(w);
	if (step == STEP_UNREAD)
		stream_detach(s);
	clock_advance(w->clock, step_at[step]);
}

/* Runs the caller until the given time. */
static void caller_run(struct world *w, int64_t until)
{
	struct stream *s;

	for (int64_t t = clock_now(w->clock); t <= until; t += MS(10)) {
		clock_advance(w->clock, t);
		if (w->caller_done)
			continue;
		if (w->result && !w->stream)
			decode_request(w);
		s = stream_now(w);
		if (s && !s->ops && !w->resumed) {
			w->resumed = true;
			stream_attach(s, w->received, false, &ops, w);
		}
	}
}

/* Runs the caller to its end, until whatever remains has expired. */
static void caller_finish(struct world *w)
{
	caller_run(w, clock_now(w->clock) + MS(5000));
}

static void cell_run(size_t row, enum step step)
{
	struct world w = {.clock = clock_create(0)};
	uint32_t held = 0;
	struct request_stats *stats;
	char *outcome;

	w.p = engine_new(w.clock, ENGINE_PREFILL);
	w.d = engine_new(w.clock, ENGINE_DECODE);
	step_reach(&w, step);
	rows[row].run(&w);
	caller_finish(&w);
	stats = engine_request_stats(w.d, 1);
	held = w.d->pieces_used;
	/* The other prompt's 1,000 tokens are always wasted. */
	outcome = g_strdup_printf(
		"%u/%u/%u/%u%s%s",
		(unsigned int)w.p->ledger.wasted_tokens - 1000, w.received,
		stats->finished, held, w.refused ? " " : "",
		w.refused ? w.refused : "");
	g_test_message("%s at %s", rows[row].name, step_names[step]);
	g_assert_cmpstr(outcome, ==, rows[row].expected[step]);
	g_assert_cmpint(w.ended, ==, w.received == OUTPUT);
	g_free(outcome);
	engine_destroy(w.d);
	engine_destroy(w.p);
	clock_destroy(w.clock);
}

static void test_cell(gconstpointer data)
{
	size_t cell = GPOINTER_TO_SIZE(data);

	cell_run(cell / STEPS, (enum step)(cell % STEPS));
}

/* After any events, once all is cancelled: no memory is held, and each computed
 * token is either useful or wasted. */
static void invariants_check(struct world *w)
{
	const struct engine_ledger *l = &w->p->ledger;
	uint64_t useful = 0;

	g_assert_null(w->fetch);
	g_assert_cmpuint(w->p->pieces_used, ==, 0);
	g_assert_cmpuint(w->d->pieces_used, ==, 0);
	g_assert_cmpuint(table_count(w->p->prefills), ==, 0);
	g_assert_cmpuint(table_count(w->d->streams), ==, 0);
	for (uint64_t request = 1; request <= 2; request++)
		useful += engine_request_stats(w->p, request)->useful_tokens;
	g_assert_cmpuint(l->prefill_tokens, ==, useful + l->wasted_tokens);
	g_assert_cmpuint(w->received, <=, OUTPUT);
	g_assert_cmpint(w->ended, ==, w->received == OUTPUT);
	g_assert_cmpuint(engine_request_stats(w->d, 1)->finished, <=, 1);
}

static void pair_test(size_t first, enum step at, size_t second, enum step then)
{
	struct world w = {.clock = clock_create(0)};

	w.p = engine_new(w.clock, ENGINE_PREFILL);
	w.d = engine_new(w.clock, ENGINE_DECODE);
	step_reach(&w, at);
	rows[first].run(&w);
	caller_run(&w, step_at[then]);
	rows[second].run(&w);
	caller_finish(&w);
	event_cancel(&w);
	/* On a slow engine the other prompt may be queued for longer. */
	clock_advance(w.clock, clock_now(w.clock) + MS(5000));
	invariants_check(&w);
	engine_destroy(w.d);
	engine_destroy(w.p);
	clock_destroy(w.clock);
}

/* Any two events at any two steps, in either order. */
static void test_pairs(void)
{
	const size_t count = G_N_ELEMENTS(rows);

	for (size_t i = 0; i < count * count * STEPS * STEPS; i++) {
		size_t steps = i % (STEPS * STEPS);
		size_t pair = i / (STEPS * STEPS);
		enum step at = (enum step)(steps / STEPS);
		enum step then = (enum step)(steps % STEPS);

		if (at <= then)
			pair_test(pair / count, at, pair % count, then);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(rows) * STEPS; i++) {
		char *name = g_strdup_printf("/standin/engine/%s/%s",
					     rows[i / STEPS].name,
					     step_names[i % STEPS]);

		g_test_add_data_func(name, GSIZE_TO_POINTER(i), test_cell);
		g_free(name);
	}
	g_test_add_func("/standin/engine/pairs", test_pairs);
	return g_test_run();
}
