/* Fake runners: memory in pieces, streams that end when closed or cancelled. */
#include "world.h"

#include <string.h>

#define REPORT_AGE_USEC (30 * USEC_PER_MSEC)
#define CANCEL_USEC (5 * USEC_PER_MSEC)

/* A report with a listing of streams, or the answer to a cancel, in flight to
 * an instance. */
struct answer {
	struct instance *instance;
	uint64_t incarnation;
	struct ledger_report report;
	struct ledger_stream *streams;
	size_t count;
	char cancel[LEDGER_STREAM_MAX];
};

static void answer_free(void *data)
{
	struct answer *answer = data;

	g_free(answer->streams);
	g_free(answer);
}

void engine_init(struct world *world, int index, enum pool_role role,
		 uint32_t pieces)
{
	struct engine *engine = &world->engines[index];
	char *name = g_strdup_printf("runner-%d", index);

	engine->world = world;
	engine->id = id_of(name);
	engine->role = role;
	engine->pieces = pieces;
	engine->streams =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_free(name);
}

void engine_clear(struct engine *engine)
{
	g_hash_table_destroy(engine->streams);
}

struct engine *engine_find(struct world *world, uint64_t id)
{
	for (int i = 0; i < world->engine_count; i++) {
		if (world->engines[i].id == id)
			return &world->engines[i];
	}
	return NULL;
}

bool engine_open(struct engine *engine, const struct job *job, uint32_t pieces,
		 char *name)
{
	struct world *world = engine->world;
	struct engine_stream *stream;
	struct ledger_stream *entry;

	if (engine->leaving || engine->used + pieces > engine->pieces) {
		engine->refused++;
		return false;
	}
	stream = g_new0(struct engine_stream, 1);
	entry = &stream->entry;
	g_snprintf(entry->stream, sizeof(entry->stream), "s%u",
		   ++engine->next_stream);
	entry->runner = engine->id;
	entry->owner.instance = job->instance->id;
	entry->owner.incarnation = job->incarnation;
	entry->request = job->request;
	entry->attempt = job->attempt;
	entry->pieces = pieces;
	stream->stale = members_declared_dead(world, job->instance->index,
					      job->incarnation);
	engine->used += pieces;
	engine->stale += stream->stale ? pieces : 0;
	g_hash_table_insert(engine->streams, entry->stream, stream);
	g_strlcpy(name, entry->stream, LEDGER_STREAM_MAX);
	return true;
}

bool engine_has(const struct engine *engine, const char *stream)
{
	return g_hash_table_contains(engine->streams, stream);
}

void engine_close(struct engine *engine, const char *stream)
{
	const struct engine_stream *found =
		g_hash_table_lookup(engine->streams, stream);

	if (found == NULL)
		return;
	engine->used -= found->entry.pieces;
	engine->stale -= found->stale ? found->entry.pieces : 0;
	g_hash_table_remove(engine->streams, stream);
}

static bool reachable(const struct answer *answer)
{
	const struct instance *instance = answer->instance;

	return instance->up && !instance->paused;
}

static void report_receive(void *data)
{
	const struct answer *answer = data;

	if (!reachable(answer))
		return;
	ledger_report(answer->instance->ledger, &answer->report);
	ledger_streams(answer->instance->ledger, answer->report.runner,
		       answer->streams, answer->count);
}

static void runner_poll(struct instance *instance, struct engine *engine)
{
	struct answer *answer = g_new0(struct answer, 1);
	GHashTableIter iter;
	void *value;

	answer->instance = instance;
	answer->report.runner = engine->id;
	answer->report.reachable = true;
	answer->report.age = REPORT_AGE_USEC;
	answer->report.leaving = engine->leaving;
	answer->report.pieces_used = engine->used;
	answer->streams = g_new0(struct ledger_stream,
				 g_hash_table_size(engine->streams) + 1);
	g_hash_table_iter_init(&iter, engine->streams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		answer->streams[answer->count++] =
			((const struct engine_stream *)value)->entry;
	world_after(instance->world, REPORT_AGE_USEC, report_receive, answer,
		    answer_free);
}

void engine_poll(struct instance *instance)
{
	struct world *world = instance->world;

	for (int i = 0; i < world->engine_count; i++) {
		if (ledger_is_home(instance->ledger, world->engines[i].id))
			runner_poll(instance, &world->engines[i]);
	}
	timer_start(&instance->poll, world->poll_interval);
}

static void cancel_receive_answer(void *data)
{
	const struct answer *answer = data;

	if (reachable(answer))
		ledger_cancelled(answer->instance->ledger,
				 answer->report.runner, answer->cancel, true);
}

static void cancel_receive(void *data)
{
	struct answer *answer = data;
	struct world *world = answer->instance->world;
	struct engine *engine = engine_find(world, answer->report.runner);

	if (engine->ignores_cancel || world_chance(world, world->loss_rate))
		return;
	engine_close(engine, answer->cancel);
	if (!world_chance(world, world->loss_rate))
		world_after(world, CANCEL_USEC, cancel_receive_answer,
			    g_memdup2(answer, sizeof(*answer)), g_free);
}

void engine_cancel(struct instance *instance, uint64_t runner,
		   const char *stream)
{
	struct answer *answer = g_new0(struct answer, 1);

	answer->instance = instance;
	answer->report.runner = runner;
	g_strlcpy(answer->cancel, stream, sizeof(answer->cancel));
	world_after(instance->world, CANCEL_USEC, cancel_receive, answer,
		    g_free);
}
