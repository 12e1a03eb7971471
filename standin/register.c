#include "standin/register.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "standin/reply.h"
#include "web/client.h"
#include "web/loop.h"

#define CALL_TIMEOUT_USEC (1 * USEC_PER_SEC)
#define ANSWER_BYTES_MAX 4096

struct registration {
	struct web_client *client;
	char *platform;
	char *path;
	json_t *entry;
	struct timer timer;
	struct web_call *call;
	bool changed; /* the entry changed while a call was in flight */
	registration_removed_fn removed_fn;
	void *ctx;
};

static void entry_send(struct registration *registration);

static void put_answered(void *ctx, const struct web_result *result, int status,
			 const void *body, size_t size)
{
	struct registration *registration = ctx;

	registration->call = NULL;
	if (registration->changed)
		entry_send(registration);
	else
		timer_start(&registration->timer, REGISTER_INTERVAL_USEC);
}

static void delete_answered(void *ctx, const struct web_result *result,
			    int status, const void *body, size_t size)
{
	struct registration *registration = ctx;

	registration->call = NULL;
	registration->removed_fn(registration->ctx);
}

static void entry_call(struct registration *registration, const char *method,
		       const char *body, web_answer_fn fn)
{
	static const struct web_header content_type = {
		{"content-type", 12}, {"application/json", 16}};
	struct web_call_spec spec = {
		.address = registration->platform,
		.method = method,
		.path = registration->path,
		.headers = &content_type,
		.header_count = 1,
		.body = body,
		.body_size = strlen(body),
		.head_usec = CALL_TIMEOUT_USEC,
	};

	timer_stop(&registration->timer);
	registration->call = web_fetch(registration->client, &spec,
				       ANSWER_BYTES_MAX, fn, registration);
}

/* Sends one call at a time, so that the platform receives them in order. */
static void entry_send(struct registration *registration)
{
	char *body;

	registration->changed = registration->call != NULL;
	if (registration->changed)
		return;
	if (registration->removed_fn) {
		entry_call(registration, "DELETE", "", delete_answered);
		return;
	}
	body = json_dumps(registration->entry, JSON_COMPACT);
	entry_call(registration, "PUT", body, put_answered);
	free(body);
}

static void put_due(struct timer *timer, void *ctx)
{
	entry_send(ctx);
}

struct registration *registration_create(struct loop *loop,
					 struct web_client *client,
					 const struct registration_spec *spec)
{
	struct registration *registration = g_new0(struct registration, 1);

	registration->client = client;
	registration->platform = g_strdup(spec->platform);
	registration->path = g_strconcat("/instances/", spec->name, NULL);
	registration->entry = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:o, s:s}", "name", spec->name,
		"kind", spec->kind, "pool", spec->pool, "data_centre",
		spec->data_centre, "address", spec->address, "incarnation",
		json_from_id(spec->incarnation), "state", "live");
	timer_init(&registration->timer, loop_clock(loop), put_due,
		   registration);
	if (registration->platform)
		entry_send(registration);
	return registration;
}

void registration_destroy(struct registration *registration)
{
	if (!registration)
		return;
	timer_stop(&registration->timer);
	if (registration->call)
		web_call_cancel(registration->call);
	json_decref(registration->entry);
	g_free(registration->path);
	g_free(registration->platform);
	g_free(registration);
}

void registration_set_pool(struct registration *registration, const char *pool,
			   uint64_t incarnation)
{
	const json_t *current = json_object_get(registration->entry, "pool");

	if (strcmp(json_string_value(current), pool) == 0)
		return;
	json_object_set_new(registration->entry, "pool", json_string(pool));
	json_object_set_new(registration->entry, "incarnation",
			    json_from_id(incarnation));
	if (registration->platform)
		entry_send(registration);
}

void registration_set_leaving(struct registration *registration)
{
	json_object_set_new(registration->entry, "state",
			    json_string("leaving"));
	if (registration->platform)
		entry_send(registration);
}

void registration_remove(struct registration *registration,
			 registration_removed_fn fn, void *ctx)
{
	registration->removed_fn = fn;
	registration->ctx = ctx;
	if (registration->platform)
		entry_send(registration);
	else
		fn(ctx);
}
