/*
 * Runs each script of sessions/ on engine models with a paused clock and
 * compares the output with the script itself. Lines that start with "> " are
 * commands, those that start with "#" are comments, and all others are the
 * expected output. With JT_GOLDEN_WRITE set the scripts are rewritten instead.
 */
#include <stdlib.h>
#include <string.h>

#include "common/table.h"
#include "golden.h"
#include "standin/engine_cache.h"
#include "standin/engine_prefill.h"
#include "standin/engine_stream.h"

#define SESSIONS SOURCE_ROOT "/tests/standin/sessions"
#define WORDS_MAX 24

struct world {
	struct clock *clock;
	GHashTable *engines; /* name -> struct engine_model */
	GHashTable *items;   /* name -> struct item */
	GString *out;
	char **words; /* of the current command */
};

/* A prefill, or a stream with its reader and its fetch from the source. */
struct item {
	struct world *world;
	char *name;
	struct engine_model *model;
	uint64_t handle;
	char result[ENGINE_NAME_SIZE];
	struct fetch *fetch;
	uint32_t from; /* tokens received but not printed: from..to-1 */
	uint32_t to;
	int busy; /* number of further deliveries that the reader rejects */
};

static void print(struct world *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
static void print(struct world *w, const char *fmt, ...)
{
	int64_t us = clock_now(w->clock);
	va_list args;

	g_string_append_printf(w->out, "%" G_GINT64_FORMAT ".%03d ",
			       us / USEC_PER_MSEC, (int)(us % USEC_PER_MSEC));
	va_start(args, fmt);
	g_string_append_vprintf(w->out, fmt, args);
	va_end(args);
	g_string_append_c(w->out, '\n');
}

/* Returns the value of "key=value" in the command, or NULL. */
static const char *param(const struct world *w, const char *key)
{
	size_t size = strlen(key);

	for (char **p = w->words; *p; p++)
		if (strncmp(*p, key, size) == 0 && (*p)[size] == '=')
			return *p + size + 1;
	return NULL;
}

static double param_number(const struct world *w, const char *key,
			   double fallback)
{
	const char *text = param(w, key);

	return text ? g_ascii_strtod(text, NULL) : fallback;
}

static int64_t param_usec(const struct world *w, const char *key,
			  double fallback)
{
	return (int64_t)(param_number(w, key, fallback) * USEC_PER_MSEC);
}

static struct engine_model *engine_of(struct world *w, const char *name)
{
	struct engine_model *model = g_hash_table_lookup(w->engines, name);

	g_assert_nonnull(model);
	return model;
}

static struct item *item_of(struct world *w, const char *name)
{
	struct item *item = g_hash_table_lookup(w->items, name);

	g_assert_nonnull(item);
	return item;
}

static struct item *item_add(struct world *w, const char *name,
			     struct engine_model *model)
{
	struct item *item = g_new0(struct item, 1);

	item->world = w;
	item->name = g_strdup(name);
	item->model = model;
	g_hash_table_replace(w->items, item->name, item);
	return item;
}

static void item_free(gpointer data)
{
	struct item *item = data;

	g_free(item->name);
	g_free(item);
}

static void tokens_flush(struct item *item)
{
	if (item->to > item->from)
		print(item->world, "%s tokens %u..%u", item->name, item->from,
		      item->to - 1);
	item->from = item->to;
}

static void computed(void *ctx, const struct prefill *p)
{
	struct item *item = ctx;

	engine_name_write(p->model, 'p', p->handle, item->result);
	print(item->world, "%s computed %u cached %u", item->name, p->computed,
	      p->cached);
}

static void started(void *ctx)
{
	struct item *item = ctx;

	print(item->world, "%s started", item->name);
}

static bool tokens(void *ctx, const struct stream *s, uint32_t from,
		   uint32_t to)
{
	struct item *item = ctx;

	if (item->busy > 0) {
		item->busy--;
		return false;
	}
	if (from != item->to) {
		tokens_flush(item);
		item->from = from;
	}
	item->to = to;
	return true;
}

static void ended(void *ctx, const char *reason, uint32_t count)
{
	struct item *item = ctx;

	tokens_flush(item);
	print(item->world, "%s end %s %u", item->name, reason, count);
}

static void disconnected(void *ctx, const char *text)
{
	struct item *item = ctx;

	tokens_flush(item);
	print(item->world, "%s cut %s", item->name, text ? text : "");
}

static const struct stream_ops ops = {started, tokens, ended, disconnected};

static void fetch_abort(void *ctx)
{
	struct item *item = ctx;

	if (item->fetch)
		fetch_cancel(item->fetch);
	item->fetch = NULL;
}

static void kv_fetched(void *ctx, const struct engine_kv *kv)
{
	struct item *item = ctx;

	item->fetch = NULL;
	stream_fetched(table_get(item->model->streams, item->handle), kv);
}

static void run_engine(struct world *w)
{
	struct engine_params params = {
		.pieces = (uint32_t)param_number(w, "pieces", 10),
		.piece_tokens = (uint32_t)param_number(w, "piece_tokens", 1000),
		.slots = (uint32_t)param_number(w, "slots", 4),
		.queue = (uint32_t)param_number(w, "queue", 8),
		.prefill_tokens_per_s = param_number(w, "prefill_rate", 10000),
		.decode_tokens_per_s = param_number(w, "decode_rate", 50),
		.kv_bytes_per_token = 1000,
		.link_bytes_per_s = param_number(w, "link", 10e6),
		.hold_usec = param_usec(w, "hold", 800),
		.resume_usec = param_usec(w, "resume", 5000),
		.report_lag_usec = param_usec(w, "report_lag", 300),
		.event_lag_usec = param_usec(w, "event_lag", 100),
		.event_gap_percent = (uint32_t)param_number(w, "gap", 0),
		.checks_fencing = param_number(w, "fencing", 0) != 0,
		.cache_blocks = (uint32_t)param_number(w, "cache", 0),
		.time_scale = param_number(w, "scale", 1),
		.seed = 7,
	};

	g_assert_true(engine_role_parse(param(w, "role"), &params.role));
	engine_params_scale(&params);
	g_hash_table_replace(w->engines, g_strdup(w->words[1]),
			     engine_create(w->clock, &params));
}

static struct engine_job job_read(const struct world *w)
{
	return (struct engine_job){
		.request = (uint64_t)param_number(w, "request", 1),
		.owner = {2, 3},
		.priority = (uint32_t)param_number(w, "priority", 0),
		.prompt_tokens = (uint32_t)param_number(w, "prompt", 1000),
		.output_max = (uint32_t)param_number(w, "max", 10),
		.output_from = (uint32_t)param_number(w, "from", 0),
	};
}

/* prefill NAME ENGINE [request= prompt= priority= blocks=FIRST:COUNT] */
static void run_prefill(struct world *w)
{
	struct item *item = item_add(w, w->words[1], engine_of(w, w->words[2]));
	const char *range = param(w, "blocks");
	struct engine_job job = job_read(w);
	struct engine_kv kv = {
		.prompt = 5,
		.length = (uint32_t)param_number(w, "length", 1e9)};
	uint64_t blocks[64];
	uint32_t count = 0;
	enum engine_refusal refusal;
	struct prefill *p;

	if (range)
		count = (uint32_t)atoi(strchr(range, ':') + 1);
	for (uint32_t i = 0; i < count; i++)
		blocks[i] = (uint64_t)atoi(range) + i;
	p = prefill_start(item->model, &job, &kv, blocks, count, computed, item,
			  &refusal);
	if (p)
		item->handle = p->handle;
	else
		print(w, "%s refused %s", item->name,
		      engine_refusal_name(refusal));
}

/* drop PREFILL */
static void run_drop(struct world *w)
{
	struct item *item = item_of(w, w->words[1]);

	print(w, "%s %s", item->name,
	      prefill_cancel(item->model, item->handle) ? "dropped" : "gone");
}

/* decode NAME ENGINE source=PREFILL [request= prompt= max= from=] */
static void run_decode(struct world *w)
{
	struct item *item = item_add(w, w->words[1], engine_of(w, w->words[2]));
	struct item *source = item_of(w, param(w, "source"));
	struct engine_job job = job_read(w);
	enum engine_refusal refusal;
	struct stream *s =
		stream_reserve(item->model, &job, fetch_abort, item, &refusal);

	if (!s) {
		print(w, "%s refused %s", item->name,
		      engine_refusal_name(refusal));
		return;
	}
	item->handle = s->handle;
	item->from = job.output_from;
	item->to = job.output_from;
	item->fetch =
		fetch_start(source->model, source->result, kv_fetched, item);
	stream_attach(s, job.output_from, true, &ops, item);
	if (!item->fetch)
		stream_fail(s, "no such result");
}

static struct stream *stream_of(struct world *w, struct item *item)
{
	struct stream *s = table_get(item->model->streams, item->handle);

	if (!s)
		print(w, "%s gone", item->name);
	return s;
}

/* busy NAME TIMES */
static void run_busy(struct world *w)
{
	item_of(w, w->words[1])->busy = atoi(w->words[2]);
}

/* resume NAME OFFSET, hangup NAME, cancel NAME */
static void run_resume(struct world *w)
{
	struct item *item = item_of(w, w->words[1]);
	struct stream *s = stream_of(w, item);
	uint32_t offset = (uint32_t)atoi(w->words[2]);

	if (s && !stream_attach(s, offset, false, &ops, item))
		print(w, "%s has no offset %u", item->name, offset);
}

static void run_hangup(struct world *w)
{
	struct item *item = item_of(w, w->words[1]);
	struct stream *s = stream_of(w, item);

	tokens_flush(item);
	if (s)
		stream_detach(s);
}

static void run_cancel(struct world *w)
{
	struct item *item = item_of(w, w->words[1]);
	struct stream *s = stream_of(w, item);

	if (s)
		print(w, "%s freed %u", item->name, stream_cancel(s));
}

/* fault ENGINE NAME VALUE TIMES */
static void run_fault(struct world *w)
{
	struct engine_model *model = engine_of(w, w->words[1]);

	g_assert_true(fault_set(&model->faults, w->words[2], atoi(w->words[3]),
				(uint32_t)atoi(w->words[4]), NULL));
}

/* order ENGINE FENCE [role=] [model=] */
static void run_order(struct world *w)
{
	struct engine_model *model = engine_of(w, w->words[1]);
	const char *text = param(w, "role");
	enum engine_role role = text && g_str_equal(text, "decode")
					? ENGINE_DECODE
					: ENGINE_PREFILL;
	bool accepted =
		engine_order(model, text ? &role : NULL, param(w, "model"),
			     (uint64_t)atoi(w->words[2]));

	print(w, "%s %s", w->words[1], accepted ? "obeyed" : "fenced off");
}

static void run_leave(struct world *w)
{
	engine_leave(engine_of(w, w->words[1]));
}

static void tokens_flush_all(struct world *w)
{
	GList *items = g_list_sort(g_hash_table_get_keys(w->items),
				   (GCompareFunc)strcmp);

	for (GList *l = items; l; l = l->next)
		tokens_flush(item_of(w, l->data));
	g_list_free(items);
}

static int64_t target_time(const struct world *w)
{
	double ms = g_ascii_strtod(w->words[1], NULL);

	return clock_now(w->clock) + (int64_t)(ms * USEC_PER_MSEC);
}

/* advance MS, jump MS (the event loop does not run in between) */
static void run_advance(struct world *w)
{
	clock_advance(w->clock, target_time(w));
	tokens_flush_all(w);
}

static void run_jump(struct world *w)
{
	clock_jump(w->clock, target_time(w));
	tokens_flush_all(w);
}

/* load ENGINE, ledger ENGINE, events ENGINE FROM */
static void run_load(struct world *w)
{
	struct engine_model *model = engine_of(w, w->words[1]);
	const struct engine_report *r = engine_report(model);

	print(w,
	      "%s load %s%s pieces %u running %u waiting %u queue %u rate %g "
	      "age %d%s",
	      w->words[1], engine_role_name(r->role),
	      r->leaving ? " leaving" : "", r->pieces_used, r->running,
	      r->waiting, (unsigned int)r->queue_tokens, r->tokens_per_s,
	      (int)((clock_now(w->clock) - r->taken_at) / USEC_PER_MSEC),
	      engine_idle(model) ? " idle" : "");
}

static void run_ledger(struct world *w)
{
	struct engine_model *model = engine_of(w, w->words[1]);
	const struct engine_ledger *l = &model->ledger;
	const struct request_stats *t;

	print(w,
	      "%s ledger prefills %u computed %u wasted %u decodes %u tokens "
	      "%u held %u",
	      w->words[1], (unsigned int)l->prefills,
	      (unsigned int)l->prefill_tokens, (unsigned int)l->wasted_tokens,
	      (unsigned int)l->decodes, (unsigned int)l->tokens,
	      model->pieces_used);
	for (uint64_t id = 0; id < 10; id++) {
		t = g_hash_table_lookup(l->requests, &id);
		if (t)
			print(w,
			      "  request %u prefills %u decodes %u finished %u "
			      "cancelled %u computed %u useful %u",
			      (unsigned int)id, t->prefills, t->decodes,
			      t->finished, t->cancelled,
			      (unsigned int)t->prefill_tokens,
			      (unsigned int)t->useful_tokens);
	}
}

static void run_events(struct world *w)
{
	struct cache_event events[64];
	uint64_t next;
	bool gap;
	uint32_t count = engine_cache_events(engine_of(w, w->words[1])->cache,
					     (uint64_t)atoi(w->words[2]),
					     events, 64, &next, &gap);
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < count; i++)
		g_string_append_printf(text, " %c%u",
				       events[i].stored ? '+' : '-',
				       (unsigned int)events[i].block);
	print(w, "%s events%s next %u%s", w->words[1], text->str,
	      (unsigned int)next, gap ? " gap" : "");
	g_string_free(text, TRUE);
}

static const struct {
	const char *name;
	void (*run)(struct world *w);
	guint words; /* minimum, including the name */
} commands[] = {
	{"engine", run_engine, 3}, {"prefill", run_prefill, 3},
	{"drop", run_drop, 2},	   {"decode", run_decode, 4},
	{"resume", run_resume, 3}, {"hangup", run_hangup, 2},
	{"cancel", run_cancel, 2}, {"fault", run_fault, 5},
	{"order", run_order, 3},   {"busy", run_busy, 3},
	{"leave", run_leave, 2},   {"advance", run_advance, 2},
	{"jump", run_jump, 2},	   {"load", run_load, 2},
	{"ledger", run_ledger, 2}, {"events", run_events, 3},
};

static void command_run(struct world *w, const char *line)
{
	w->words = g_strsplit(line, " ", WORDS_MAX);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!g_str_equal(commands[i].name, w->words[0]))
			continue;
		g_assert_cmpuint(g_strv_length(w->words), >=,
				 commands[i].words);
		commands[i].run(w);
		g_strfreev(w->words);
		return;
	}
	g_error("unknown command: %s", line);
}

static char *script_run(const char *script)
{
	struct world w = {
		.clock = clock_create(0),
		.engines =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)engine_destroy),
		.items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       item_free),
		.out = g_string_new(NULL),
	};
	char **lines = g_strsplit(script, "\n", -1);

	for (char **line = lines; *line && line[1]; line++) {
		bool command = g_str_has_prefix(*line, "> ");

		if (!command && **line != '#' && **line != '\0')
			continue;
		g_string_append_printf(w.out, "%s\n", *line);
		if (command)
			command_run(&w, *line + 2);
	}
	g_strfreev(lines);
	g_hash_table_destroy(w.engines);
	g_hash_table_destroy(w.items);
	clock_destroy(w.clock);
	return g_string_free(w.out, FALSE);
}

static void test_session(gconstpointer data)
{
	const char *path = data;
	char *script;
	char *printed;

	g_assert_true(g_file_get_contents(path, &script, NULL, NULL));
	printed = script_run(script);
	g_assert_true(golden_same(path, printed));
	g_free(printed);
	g_free(script);
}

int main(int argc, char **argv)
{
	GDir *dir = g_dir_open(SESSIONS, 0, NULL);
	const char *name;
	unsigned int count = 0;

	g_test_init(&argc, &argv, NULL);
	g_assert_nonnull(dir);
	while ((name = g_dir_read_name(dir))) {
		char *test = g_strconcat("/standin/engine/", name, NULL);

		g_test_add_data_func_full(test,
					  g_strconcat(SESSIONS "/", name, NULL),
					  test_session, g_free);
		g_free(test);
		count++;
	}
	g_dir_close(dir);
	g_assert_cmpuint(count, >, 0);
	return g_test_run();
}
