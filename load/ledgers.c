#include "load/ledgers.h"

#include <jansson.h>
#include <string.h>

#include "web/client.h"

#define LEDGER_MAX (256u << 20)

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
	json_t *first;
	json_t *last; /* NULL: the last reading failed */
};

struct ledgers {
	struct web_client *client;
	struct ledger *ledgers;
	unsigned int count;
	unsigned int waiting;
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
		json_decref(ledger->first);
		json_decref(ledger->last);
	}
	g_free(ledgers->ledgers);
	g_free(ledgers);
}

static void ledger_done(struct ledger *ledger, json_t *json)
{
	struct ledgers *owner = ledger->owner;

	json_decref(ledger->last);
	ledger->last = json;
	if (ledger->first == NULL)
		ledger->first = json_incref(json);
	if (--owner->waiting == 0)
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

	ledger->call =
		web_fetch(ledger->owner->client, &spec, LEDGER_MAX, fn, ledger);
}

/* Parses the answer to a fetch of the ledger; NULL if that failed. */
static json_t *answer_read(struct ledger *ledger,
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
	json_t *json = answer_read(ledger, result, status, body, size);

	if (json != NULL)
		ledger->kind = LEDGER_ENGINE;
	ledger_done(ledger, json);
}

static void service_answered(void *ctx, const struct web_result *result,
			     int status, const void *body, size_t size)
{
	struct ledger *ledger = ctx;
	json_t *json = answer_read(ledger, result, status, body, size);

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
	ledgers->waiting = ledgers->count;
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
		unread += ledgers->ledgers[i].last == NULL;
	return unread;
}

static int64_t field_of(const json_t *json, const char *field)
{
	return json_integer_value(json_object_get(json, field));
}

int64_t ledgers_sum(const struct ledgers *ledgers, const char *field)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < ledgers->count; i++) {
		const struct ledger *ledger = &ledgers->ledgers[i];

		if (ledger->last != NULL)
			sum += field_of(ledger->last, field) -
			       field_of(ledger->first, field);
	}
	return sum;
}

int64_t ledgers_request(const struct ledgers *ledgers, const char *id,
			const char *field)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < ledgers->count; i++) {
		json_t *all =
			json_object_get(ledgers->ledgers[i].last, "requests");

		sum += field_of(json_object_get(all, id), field);
	}
	return sum;
}

/* Adds the useful tokens of an engine's requests to the sum, and updates the
 * largest count of each request. */
static void useful_add(const json_t *engine, GHashTable *largest, int64_t *sum)
{
	const char *id;
	json_t *request;

	json_object_foreach (json_object_get(engine, "requests"), id, request) {
		int64_t useful = field_of(request, "useful_tokens");
		int64_t most =
			GPOINTER_TO_INT(g_hash_table_lookup(largest, id));

		*sum += useful;
		if (useful > most)
			g_hash_table_insert(largest, (void *)id,
					    GINT_TO_POINTER((int)useful));
	}
}

static int64_t repeated_at(const struct ledgers *ledgers, bool first)
{
	GHashTable *largest = g_hash_table_new(g_str_hash, g_str_equal);
	int64_t repeated = 0;
	GHashTableIter iter;
	void *id;
	void *most;

	for (unsigned int i = 0; i < ledgers->count; i++) {
		const struct ledger *ledger = &ledgers->ledgers[i];

		if (ledger->last != NULL)
			useful_add(first ? ledger->first : ledger->last,
				   largest, &repeated);
	}
	g_hash_table_iter_init(&iter, largest);
	while (g_hash_table_iter_next(&iter, &id, &most))
		repeated -= GPOINTER_TO_INT(most);
	g_hash_table_destroy(largest);
	return repeated;
}

int64_t ledgers_repeated(const struct ledgers *ledgers)
{
	return repeated_at(ledgers, false) - repeated_at(ledgers, true);
}

int64_t ledgers_key(const struct ledgers *ledgers, const char *key)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < ledgers->count; i++)
		sum += field_of(
			json_object_get(ledgers->ledgers[i].last, "keys"), key);
	return sum;
}

int64_t ledgers_held(const struct ledgers *ledgers)
{
	int64_t held = 0;

	for (unsigned int i = 0; i < ledgers->count; i++)
		held += (int64_t)json_array_size(
			json_object_get(ledgers->ledgers[i].last, "held"));
	return held;
}
