/*
 * engine_order.c - client of the engines' order interface (docs/PROTOCOLS.md)
 */
#include "entry/engine_order.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

#define CALL_TIMEOUT_USEC (2 * USEC_PER_SEC)
#define ANSWER_BYTES_MAX (64u << 10)

enum {
	STATUS_OK = 200,
	STATUS_CONFLICT = 409,
	STATUS_SERVER_ERROR = 500,
	STATUS_UNAVAILABLE = 503,
};

static bool role_parse(const void *body, size_t size, enum pool_role *role)
{
	json_t *json = json_loadb(body, size, 0, NULL);
	const char *text = json_string_value(json_object_get(json, "role"));
	bool decode = text && strcmp(text, "decode") == 0;
	bool known = decode || (text && strcmp(text, "prefill") == 0);

	*role = decode ? POOL_DECODE : POOL_PREFILL;
	json_decref(json);
	return known;
}

static void role_answered(void *ctx, const struct web_result *result,
			  int status, const void *body, size_t size)
{
	struct engine_role_call *call = ctx;
	enum pool_role role = POOL_PREFILL;
	bool ok = result->ok && status == STATUS_OK &&
		  role_parse(body, size, &role);

	call->call = NULL;
	call->role(call->ctx, ok, role);
}

void engine_role_read(struct entry *entry, const char *address,
		      struct engine_role_call *call)
{
	struct web_call_spec spec = {
		.address = address,
		.method = "GET",
		.path = "/load",
		.head_usec = CALL_TIMEOUT_USEC,
		.idle_usec = CALL_TIMEOUT_USEC,
	};

	call->call = web_fetch(entry->client, &spec, ANSWER_BYTES_MAX,
			       role_answered, call);
}

/* An order counts as refused only if it was not sent or the engine said so; any
 * other failure leaves open whether it took effect. */
static enum order_answer answer_classify(const struct web_result *result,
					 int status)
{
	if (!result->ok)
		return result->sent ? ORDER_LOST : ORDER_REFUSED;
	if (status == STATUS_OK)
		return ORDER_TAKEN;
	if (status == STATUS_CONFLICT)
		return ORDER_FENCED;
	if (status < STATUS_SERVER_ERROR || status == STATUS_UNAVAILABLE)
		return ORDER_REFUSED;
	return ORDER_LOST;
}

static void order_answered(void *ctx, const struct web_result *result,
			   int status, const void *body, size_t size)
{
	struct engine_role_call *call = ctx;

	call->call = NULL;
	call->order(call->ctx, answer_classify(result, status));
}

void engine_role_order(struct entry *entry, const char *address,
		       enum pool_role role, const char *pool, uint64_t fence,
		       struct engine_role_call *call)
{
	json_t *body =
		json_pack("{s:s, s:s, s:s, s:I}", "order", "role", "role",
			  role == POOL_DECODE ? "decode" : "prefill", "pool",
			  pool, "fence", (json_int_t)fence);
	char *text = json_dumps(body, JSON_COMPACT);
	struct web_call_spec spec = {
		.address = address,
		.method = "POST",
		.path = "/orders",
		.body = text,
		.body_size = strlen(text),
		.head_usec = CALL_TIMEOUT_USEC,
		.idle_usec = CALL_TIMEOUT_USEC,
	};

	call->call = web_fetch(entry->client, &spec, ANSWER_BYTES_MAX,
			       order_answered, call);
	free(text);
	json_decref(body);
}
