/*
 * own_platform_list.c - reads the platform's instance list, registers this one
 */
#include "own_platform_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/hex.h"
#include "common/log.h"

#define LIST_ANSWER_BYTES_MAX (8u << 20)
#define PUT_ANSWER_BYTES_MAX 4096
#define PATH_MAX_BYTES 256
#define STATUS_OK 200
#define STATUS_NOT_MODIFIED 304
#define ETAG_HEADER "etag"
#define IF_NONE_MATCH_HEADER "if-none-match"

static bool text_get(const json_t *item, const char *name, char *to,
		     size_t size)
{
	const char *text = json_string_value(json_object_get(item, name));

	return text && g_strlcpy(to, text, size) < size;
}

static uint64_t id_get(const json_t *item, const char *name)
{
	const char *text = json_string_value(json_object_get(item, name));
	uint64_t id = 0;

	if (text)
		(void)hex_parse(text, strlen(text), &id);
	return id;
}

static bool item_is_leaving(const json_t *item)
{
	const char *state = json_string_value(json_object_get(item, "state"));

	return state && strcmp(state, "leaving") == 0;
}

static bool member_handle(struct platform *platform, const json_t *item)
{
	struct platform_list *list = &platform->list;
	struct member member = {.state = MEMBER_ALIVE};

	if (!text_get(item, "name", member.name, sizeof(member.name)) ||
	    !text_get(item, "data_centre", member.data_centre,
		      sizeof(member.data_centre)) ||
	    !text_get(item, "address", member.http_address,
		      sizeof(member.http_address)) ||
	    !text_get(item, "peer_address", member.peer_address,
		      sizeof(member.peer_address)))
		return false;
	member.id = id_of(member.name);
	member.incarnation = id_get(item, "incarnation");
	if (item_is_leaving(item))
		member.state = MEMBER_LEAVING;
	if (strcmp(member.name, list->self.name) != 0) {
		list->ops.member(list->ctx, &member);
		return true;
	}
	if (member.incarnation == list->self.incarnation &&
	    (member.state == MEMBER_LEAVING) == list->leaving)
		list->self_current = true;
	return true;
}

static bool backend_handle(struct platform *platform, const json_t *item)
{
	struct platform_list *list = &platform->list;
	struct backend backend = {.listed = true};

	if (!text_get(item, "name", backend.name, sizeof(backend.name)) ||
	    !text_get(item, "pool", backend.pool, sizeof(backend.pool)) ||
	    !text_get(item, "data_centre", backend.data_centre,
		      sizeof(backend.data_centre)) ||
	    !text_get(item, "address", backend.address,
		      sizeof(backend.address)))
		return false;
	backend.id = id_of(backend.name);
	backend.incarnation = id_get(item, "incarnation");
	backend.leaving = item_is_leaving(item);
	list->ops.backend(list->ctx, &backend);
	return true;
}

static bool item_handle(struct platform *platform, const json_t *item)
{
	const char *kind = json_string_value(json_object_get(item, "kind"));

	if (!kind)
		return false;
	if (strcmp(kind, "entry") == 0)
		return member_handle(platform, item);
	if (strcmp(kind, "runner") == 0 || strcmp(kind, "server") == 0)
		return backend_handle(platform, item);
	return false;
}

static void put_done(void *ctx, const struct web_result *result, int status,
		     const void *body, size_t size)
{
	struct platform *platform = ctx;

	platform->list.put = NULL;
	if (!result->ok || status != STATUS_OK)
		log_event(LOG_NOTICE, "registration_failed",
			  LOG_D("status", status),
			  LOG_S("reason", result->text ? result->text : ""));
}

static char *self_format(const struct platform_list *list)
{
	char incarnation[HEX_ID_SIZE];

	hex_id(incarnation, list->self.incarnation);
	json_t *json = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "name",
		list->self.name, "kind", "entry", "pool", "", "data_centre",
		list->self.data_centre, "address", list->self.address,
		"peer_address", list->self.peer_address, "admin_address",
		list->self.admin_address, "incarnation", incarnation, "state",
		list->leaving ? "leaving" : "live");
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

static void self_register(struct platform *platform)
{
	struct platform_list *list = &platform->list;
	char path[PATH_MAX_BYTES];
	char *body = self_format(list);

	if (list->put)
		web_call_cancel(list->put);
	(void)snprintf(path, sizeof(path), "/instances/%s", list->self.name);
	struct web_call_spec spec = {
		.address = platform->address,
		.method = "PUT",
		.path = path,
		.body = body,
		.body_size = strlen(body),
		.head_usec = platform->call_usec,
		.idle_usec = platform->call_usec,
	};

	list->registrations->value++;
	list->put = web_fetch(platform->client, &spec, PUT_ANSWER_BYTES_MAX,
			      put_done, platform);
	free(body);
}

static void items_handle(struct platform *platform, const json_t *items)
{
	struct platform_list *list = &platform->list;
	const json_t *item;
	size_t i;

	list->self_current = false;
	json_array_foreach (items, i, item) {
		if (!item_handle(platform, item))
			list->malformed->value++;
	}
	list->listed_at = clock_now(platform->clock);
	list->ops.read_complete(list->ctx);
	if (!list->self_current)
		self_register(platform);
}

static void read_failed(struct platform_list *list, const char *reason)
{
	list->failures->value++;
	log_event(LOG_NOTICE, "list_read_failed", LOG_D("status", list->status),
		  LOG_S("reason", reason));
}

static void body_handle(struct platform *platform)
{
	struct platform_list *list = &platform->list;
	json_t *json = json_loadb((const char *)list->body->data,
				  list->body->len, 0, NULL);
	const json_t *items = json_object_get(json, "instances");

	if (json_is_array(items)) {
		g_free(list->etag);
		list->etag = g_steal_pointer(&list->next_etag);
		items_handle(platform, items);
	} else {
		read_failed(list, "the answer is not an instance list");
	}
	json_decref(json);
}

/* An unchanged list counts as read. */
static void unchanged_handle(struct platform *platform)
{
	struct platform_list *list = &platform->list;

	list->listed_at = clock_now(platform->clock);
	if (!list->self_current)
		self_register(platform);
}

static void on_head(void *ctx, int status, const struct web_header *headers,
		    size_t count)
{
	struct platform *platform = ctx;
	struct platform_list *list = &platform->list;

	list->status = status;
	for (size_t i = 0; i < count; i++) {
		const struct web_header *header = &headers[i];

		if (web_text_is(header->name, ETAG_HEADER))
			list->next_etag = g_strndup(header->value.data,
						    header->value.size);
	}
}

/* A chunk that exceeds the limit is dropped, so the body does not parse. */
static void on_body(void *ctx, const void *data, size_t size)
{
	struct platform *platform = ctx;
	struct platform_list *list = &platform->list;

	list->bytes->value += (int64_t)size;
	if (list->body->len + size <= LIST_ANSWER_BYTES_MAX)
		g_byte_array_append(list->body, data, (guint)size);
}

static void on_done(void *ctx, const struct web_result *result)
{
	struct platform *platform = ctx;
	struct platform_list *list = &platform->list;

	list->read = NULL;
	if (result->ok && list->status == STATUS_OK)
		body_handle(platform);
	else if (result->ok && list->status == STATUS_NOT_MODIFIED &&
		 list->etag)
		unchanged_handle(platform);
	else
		read_failed(list,
			    result->text ? result->text : "unexpected status");
	g_byte_array_set_size(list->body, 0);
	g_clear_pointer(&list->next_etag, g_free);
}

/* Jitter of 25 % either way spreads the reads of the instances. */
static int64_t list_delay(struct platform *platform)
{
	double factor = g_rand_double_range(platform->rand, 0.75, 1.25);

	return (int64_t)((double)platform->list_usec * factor);
}

static void list_read(struct platform *platform)
{
	static const struct web_call_ops ops = {
		.head = on_head,
		.body = on_body,
		.done = on_done,
	};
	struct platform_list *list = &platform->list;
	struct web_header etag = {
		.name = {IF_NONE_MATCH_HEADER, strlen(IF_NONE_MATCH_HEADER)},
		.value = {list->etag, list->etag ? strlen(list->etag) : 0},
	};
	struct web_call_spec spec = {
		.address = platform->address,
		.method = "GET",
		.path = "/instances",
		.headers = &etag,
		.header_count = list->etag ? 1 : 0,
		.head_usec = platform->call_usec,
		.idle_usec = platform->call_usec,
	};

	list->reads->value++;
	list->status = 0;
	list->read = web_call(platform->client, &spec, &ops, platform);
}

static void list_fire(struct timer *timer, void *ctx)
{
	struct platform *platform = ctx;
	struct platform_list *list = &platform->list;
	uint32_t periods = list->ops.periods_per_read
				   ? list->ops.periods_per_read(list->ctx)
				   : 1;

	timer_start(timer, list_delay(platform));
	if (list->read || ++list->skipped < periods)
		return;
	list->skipped = 0;
	list_read(platform);
}

void platform_list_init(struct platform *platform, struct counter_set *counters)
{
	struct platform_list *list = &platform->list;

	list->listed_at = -1;
	list->body = g_byte_array_new();
	timer_init(&list->timer, platform->clock, list_fire, platform);
	list->reads = counter_get(counters, "jt_list_reads_total",
				  "Readings of the instance list", NULL);
	list->failures =
		counter_get(counters, "jt_list_read_failures_total",
			    "Readings of the instance list that failed", NULL);
	list->malformed =
		counter_get(counters, "jt_list_malformed_total",
			    "Entries of the list not understood", NULL);
	list->registrations =
		counter_get(counters, "jt_list_registrations_total",
			    "Registrations of the own instance", NULL);
	list->bytes = counter_get(counters, "jt_list_read_bytes_total",
				  "Bytes of the instance list read", NULL);
}

void platform_list_start(struct platform *platform,
			 const struct platform_self *self,
			 const struct platform_list_ops *ops, void *ctx)
{
	struct platform_list *list = &platform->list;

	list->self = *self;
	list->ops = *ops;
	list->ctx = ctx;
	list->started = true;
	if (!platform->address)
		return;
	self_register(platform);
	timer_start(&list->timer, 0);
}

void platform_list_stop(struct platform *platform)
{
	struct platform_list *list = &platform->list;

	list->started = false;
	timer_stop(&list->timer);
	if (list->read)
		web_call_cancel(list->read);
	if (list->put)
		web_call_cancel(list->put);
	list->read = NULL;
	list->put = NULL;
	g_byte_array_set_size(list->body, 0);
	g_clear_pointer(&list->next_etag, g_free);
	g_clear_pointer(&list->etag, g_free);
}

void platform_list_finish(struct platform *platform)
{
	platform_list_stop(platform);
	g_byte_array_unref(platform->list.body);
}

void platform_leave(struct platform *platform)
{
	platform->list.leaving = true;
	if (platform->list.started && platform->address)
		self_register(platform);
}

int64_t platform_listed_at(const struct platform *platform)
{
	return platform->list.listed_at;
}
