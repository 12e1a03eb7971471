#include "load/ledgers.h"

#include <jansson.h>
#include <string.h>

#include "web/client.h"

#define LEDGER_BYTES_MAX (256u << 20)

enum ledger_kind {
	LEDGER_UNKNOWN,
	LEDGER_ENGINE,
	LEDGER_SERVICE,
};

struct ledger {
	struct ledgers *owner;
	const char *address;
	enum ledger_kind kind;
	struct web_call *call;
	json_t *baseline;
	json_t *latest; /* NULL: the last reading failed */
};

struct ledgers {
	struct web_client *client;
	struct ledger *ledgers;
	unsigned int count;
	unsigned int pending;
	ledgers_fn fn;
	void *ctx;
};

struct ledgers *ledgers_create(struct web_client *client,
			       const char *const *addresses, unsigned int count)
{
	struct ledgers *ledgers = g_new0(struct ledgers, 1);

	ledgers->client = client;
	ledgers->count = count;
	ledgers->ledgers = g_new0(struct ledger, count);
	for (unsigned int i = 0; i < count; i++) {
		ledgers->ledgers[i].owner = ledgers;
		ledgers->ledgers[i].address = addresses[i];
	}
	return ledgers;
}

void ledgers_destroy(struct ledgers *ledgers)
{
	if (ledgers == NULL)
		return;
	for (unsigned int i = 0; i < ledgers->count; i++) {
		struct ledger *ledger = &ledgers->ledgers[i];

		if (ledger->call != NULL)
			web_call_cancel(ledger->call);
		json_decref(ledger->baseline);
		json_decref(ledger->latest);
	}
	g_free(ledgers->ledgers);
	g_free(ledgers);
}

static void ledger_done(struct ledger *ledger, json_t *json)
{
	struct ledgers *owner = ledger->owner;

	json_decref(ledger->latest);
	ledger->latest = json;
	if (ledger->baseline == NULL)
		ledger->baseline = json_incref(json);
	if (--owner->pending == 0)
		owner->fn(owner->ctx);
}

static void ledger_fetch(struct ledger *ledger, const char *path,
			 web_answer_fn fn)
{
	struct web_call_spec spec = {
		.address = ledger->address,
		.method = "GET",
		.path = path,
	};

	ledger->call = web_fetch(ledger->owner->client, &spec, LEDGER_BYTES_MAX,
				 fn, ledger);
}

/* Parses the answer to a fetch of the ledger; NULL if that failed. */
static json_t *ledger_parse(struct ledger *ledger,
			    const struct web_result *result, int status,
			    const void *body, size_t size)
{
	ledger->call = NULL;
	if (!result->ok || status != 200)
		return NULL;
	return json_loadb(body, size, 0, NULL);
}

static void engine_answered(void *ctx, const struct web_result *result,
			    int status, const void *body, size_t size)
{
	struct ledger *ledger = ctx;
	json_t *json = ledger_parse(ledger, result, status, body, size);

	if (json != NULL)
		ledger->kind = LEDGER_ENGINE;
	ledger_done(ledger, json);
}

static void service_answered(void *ctx, const struct web_result *result,
			     int status, const void *body, size_t size)
{
	struct ledger *ledger = ctx;
	json_t *json = ledger_parse(ledger, result, status, body, size);

	if (json == NULL && ledger->kind != LEDGER_SERVICE) {
		ledger_fetch(ledger, "/ledger", engine_answered);
		return;
	}
	if (json != NULL)
		ledger->kind = LEDGER_SERVICE;
	ledger_done(ledger, json);
}

void ledgers_read(struct ledgers *ledgers, ledgers_fn fn, void *ctx)
{
	ledgers->fn = fn;
	ledgers->ctx = ctx;
	ledgers->pending = ledgers->count;
	for (unsigned int i = 0; i < ledgers->count; i++) {
		struct ledger *ledger = &ledgers->ledgers[i];

		if (ledger->kind == LEDGER_ENGINE)
			ledger_fetch(ledger, "/ledger", engine_answered);
		else
			ledger_fetch(ledger, "/-/ledger", service_answered);
	}
	if (ledgers->count == 0)
		fn(ctx);
}

unsigned int ledgers_count(const struct ledgers *ledgers)
{
	return ledgers->count;
}

unsigned int ledgers_unread(const struct ledgers *ledgers)
{
	unsigned int unread = 0;

	for (unsigned int i = 0; i < ledgers->count; i++)
		unread += ledgers->ledgers[i].latest == NULL;
	return unread;
}

static int64_t field_get(const json_t *json, const char *field)
{
	return json_integer_value(json_object_get(json, field));
}

int64_t ledgers_sum(const struct ledgers *ledgers, const char *field)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < ledgers->count; i++) {
		const struct ledger *ledger = &ledgers->ledgers[i];

		if (ledger->latest != NULL)
			sum += field_get(ledger->latest, field) -
			       field_get(ledger->baseline, field);
	}
	return sum;
}

int64_t ledgers_request_sum(const struct ledgers *ledgers, const char *id,
			    const char *field)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < ledgers->count; i++) {
		json_t *all =
			json_object_get(ledgers->ledgers[i].latest, "requests");

		sum += field_get(json_object_get(all, id), field);
	}
	return sum;
}

/* Adds the useful tokens of an engine's requests to the sum, and updates the
 * largest count of each request. */
static void useful_tokens_add(const json_t *engine, GHashTable *max_by_request,
			      int64_t *sum)
{
	const char *id;
	json_t *request;

	json_object_foreach (json_object_get(engine, "requests"), id, request) {
		int64_t useful = field_get(request, "useful_tokens");
		int64_t max = GPOINTER_TO_INT(
			g_hash_table_lookup(max_by_request, id));

		*sum += useful;
		if (useful > max)
			g_hash_table_insert(max_by_request, (void *)id,
					    GINT_TO_POINTER((int)useful));
	}
}

static int64_t recomputed_count(const struct ledgers *ledgers, bool baseline)
{
	GHashTable *max_by_request = g_hash_table_new(g_str_hash, g_str_equal);
	int64_t recomputed = 0;
	GHashTableIter iter;
	void *id;
	void *max;

	for (unsigned int i = 0; i < ledgers->count; i++) {
		const struct ledger *ledger = &ledgers->ledgers[i];

		if (ledger->latest != NULL)
			useful_tokens_add(baseline ? ledger->baseline
						   : ledger->latest,
					  max_by_request, &recomputed);
	}
	g_hash_table_iter_init(&iter, max_by_request);
	while (g_hash_table_iter_next(&iter, &id, &max))
		recomputed -= GPOINTER_TO_INT(max);
	g_hash_table_destroy(max_by_request);
	return recomputed;
}

int64_t ledgers_recomputed(const struct ledgers *ledgers)
{
	return recomputed_count(ledgers, false) -
	       recomputed_count(ledgers, true);
}

int64_t ledgers_key_runs(const struct ledgers *ledgers, const char *key)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < ledgers->count; i++)
		sum += field_get(
			json_object_get(ledgers->ledgers[i].latest, "keys"),
			key);
	return sum;
}

int64_t ledgers_held(const struct ledgers *ledgers)
{
	int64_t held = 0;

	for (unsigned int i = 0; i < ledgers->count; i++)
		held += (int64_t)json_array_size(
			json_object_get(ledgers->ledgers[i].latest, "held"));
	return held;
}
