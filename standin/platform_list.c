#include <string.h>

#include "common/hex.h"
#include "common/id.h"
#include "standin/platform.h"
#include "standin/reply.h"
#include "web/server.h"

#define INSTANCE_NAME_MAX 128

/* A change that becomes visible to readers after the lag. */
struct change {
	int64_t changed_at;
	char *name;
	json_t *instance; /* NULL: removed */
};

struct platform_list {
	struct platform *platform;
	json_t *visible; /* name to instance */
	GQueue changes;
};

struct platform_list *platform_list_create(struct platform *platform)
{
	struct platform_list *list = g_new0(struct platform_list, 1);

	list->platform = platform;
	list->visible = json_object();
	return list;
}

static void change_free(void *data)
{
	struct change *change = data;

	json_decref(change->instance);
	g_free(change->name);
	g_free(change);
}

void platform_list_destroy(struct platform_list *list)
{
	if (list == NULL)
		return;
	g_queue_clear_full(&list->changes, change_free);
	json_decref(list->visible);
	g_free(list);
}

static int64_t list_lag(const struct platform *platform)
{
	int64_t fault = fault_value(&platform->faults, PLATFORM_LAG);

	return fault > 0 ? fault * USEC_PER_MSEC
			 : platform->settings.list_lag_usec;
}

static void list_apply_changes(struct platform_list *list)
{
	int64_t visible_until =
		clock_now(list->platform->clock) - list_lag(list->platform);
	struct change *change;

	while ((change = g_queue_peek_head(&list->changes)) != NULL &&
	       change->changed_at <= visible_until) {
		if (change->instance != NULL)
			json_object_set(list->visible, change->name,
					change->instance);
		else
			json_object_del(list->visible, change->name);
		change_free(g_queue_pop_head(&list->changes));
	}
}

static void list_queue_change(struct platform_list *list, const char *name,
			      json_t *instance)
{
	struct change *change = g_new0(struct change, 1);

	change->changed_at = clock_now(list->platform->clock);
	change->name = g_strdup(name);
	change->instance = instance;
	g_queue_push_tail(&list->changes, change);
}

/* Answers 304 to a reader that already has this list. */
static void list_answer_tagged(struct platform_list *list,
			       struct web_request *request, json_t *body)
{
	struct web_text known = web_request_header(request, "if-none-match");
	char *text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
	char id[HEX_ID_SIZE];
	char *tag = g_strdup_printf("\"%s\"",
				    hex_id(id, id_hash(text, strlen(text))));
	bool same = web_text_is(known, tag);

	web_reply_header(request, "etag", tag);
	platform_answer(list->platform, request, same ? 304 : 200, body, 0);
	g_free(tag);
	free(text);
}

static void list_answer(struct platform_list *list, struct web_request *request)
{
	json_t *array = json_array();
	const char *name;
	json_t *instance;

	list_apply_changes(list);
	json_object_foreach (list->visible, name, instance)
		json_array_append(array, instance);
	list_answer_tagged(list, request,
			   json_pack("{s:o}", "instances", array));
}

static bool string_is_one_of(const json_t *value, const char *const *choices)
{
	const char *text = json_string_value(value);

	return text != NULL && g_strv_contains(choices, text);
}

static bool instance_is_valid(const json_t *json)
{
	static const char *const kinds[] = {"entry", "runner", "server", NULL};
	static const char *const states[] = {"live", "leaving", NULL};
	static const char *const texts[] = {"data_centre", "address",
					    "incarnation"};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		if (!json_is_string(json_object_get(json, texts[i])))
			return false;
	return string_is_one_of(json_object_get(json, "kind"), kinds) &&
	       string_is_one_of(json_object_get(json, "state"), states);
}

static void list_put(struct platform_list *list, const char *name,
		     struct web_request *request)
{
	json_t *json = request_parse_json(request);

	if (json == NULL)
		return;
	if (!instance_is_valid(json)) {
		json_decref(json);
		platform_answer_error(list->platform, request, 400,
				      "not an instance");
		return;
	}
	json_object_set_new(json, "name", json_string(name));
	list_queue_change(list, name, json);
	platform_answer_effect(list->platform, request, 200, json_object());
}

void platform_list_handle(void *ctx, struct web_request *request)
{
	struct platform_list *list = ctx;
	char name[INSTANCE_NAME_MAX];
	bool named =
		request_path_suffix(request, "/instances", name, sizeof(name));

	if (platform_apply_cut(list->platform, request))
		return;
	if (!named && request_method_is(request, "GET")) {
		list_answer(list, request);
	} else if (named && request_method_is(request, "PUT")) {
		list_put(list, name, request);
	} else if (named && request_method_is(request, "DELETE")) {
		list_queue_change(list, name, NULL);
		platform_answer_effect(list->platform, request, 200,
				       json_object());
	} else {
		platform_answer_error(list->platform, request, 405, "method");
	}
}
