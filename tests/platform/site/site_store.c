/* The simulated store: topics with one partition each. */
#include <stdlib.h>
#include <string.h>

#include "site.h"

static void record_free(gpointer data)
{
	struct record *record = data;

	g_free(record->key);
	g_free(record->value);
	g_free(record);
}

static struct topic *topic_get(struct site *site, const char *name)
{
	struct topic *topic = g_hash_table_lookup(site->topics, name);

	if (topic)
		return topic;
	topic = g_new0(struct topic, 1);
	topic->name = g_strdup(name);
	topic->records = g_ptr_array_new_with_free_func(record_free);
	g_hash_table_insert(site->topics, topic->name, topic);
	return topic;
}

static void record_add(struct topic *topic, const char *key, const char *value)
{
	struct record *record = g_new0(struct record, 1);

	record->key = g_strdup(key);
	record->value = g_strdup(value);
	g_ptr_array_add(topic->records, record);
}

void store_put(struct site *site, const char *name, const char *key,
	       const char *value)
{
	record_add(topic_get(site, name), key, value);
}

static struct record *newest(const struct topic *topic, guint at)
{
	struct record *record = topic->records->pdata[at];

	for (guint i = at + 1; i < topic->records->len; i++) {
		struct record *later = topic->records->pdata[i];

		if (g_strcmp0(record->key, later->key) == 0)
			return NULL;
	}
	return record;
}

/* The remaining records get new offsets after the old end, as if appended
 * again, so that reads at old offsets find a gap. */
void store_forget(struct site *site)
{
	GHashTableIter iter;
	struct topic *topic;

	g_hash_table_iter_init(&iter, site->topics);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&topic)) {
		GPtrArray *kept = g_ptr_array_new_with_free_func(record_free);

		for (guint i = 0; i < topic->records->len; i++) {
			struct record *record = newest(topic, i);

			if (record && record->value) {
				struct record *copy = g_new0(struct record, 1);

				copy->key = g_strdup(record->key);
				copy->value = g_strdup(record->value);
				g_ptr_array_add(kept, copy);
			}
		}
		topic->first += topic->records->len;
		g_ptr_array_unref(topic->records);
		topic->records = kept;
	}
}

static void topic_free(gpointer data)
{
	struct topic *topic = data;

	g_ptr_array_unref(topic->records);
	g_free(topic->name);
	g_free(topic);
}

static GHashTable *topics_copy(GHashTable *topics)
{
	GHashTable *copy = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 topic_free);
	const struct topic *topic;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, topics);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&topic)) {
		struct topic *same = g_new0(struct topic, 1);

		same->name = g_strdup(topic->name);
		same->first = topic->first;
		same->records = g_ptr_array_new_with_free_func(record_free);
		for (guint i = 0; i < topic->records->len; i++) {
			const struct record *record = topic->records->pdata[i];

			record_add(same, record->key, record->value);
		}
		g_hash_table_insert(copy, same->name, same);
	}
	return copy;
}

void store_copy(struct site *site)
{
	if (site->copy)
		g_hash_table_unref(site->copy);
	site->copy = topics_copy(site->topics);
}

void store_restore(struct site *site)
{
	if (!site->copy)
		return;
	g_hash_table_unref(site->topics);
	site->topics = topics_copy(site->copy);
	site->era++;
}

static void json_reply(struct web_request *request, int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	web_reply(request, status, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

static void on_newest(struct site *site, struct web_request *request,
		      struct topic *topic)
{
	uint64_t end = topic->first + topic->records->len;
	json_t *items = json_array();

	for (guint i = 0; i < topic->records->len; i++) {
		struct record *record = newest(topic, i);
		uint64_t offset = topic->first + i;
		char *value;

		if (!record || !record->value)
			continue;
		value = g_base64_encode((const guchar *)record->value,
					strlen(record->value));
		json_array_append_new(items,
				      json_pack("{s:s, s:s, s:I}", "key",
						record->key, "value", value,
						"offset", (json_int_t)offset));
		g_free(value);
	}
	json_reply(request, 200,
		   json_pack("{s:o, s:b, s:I}", "items", items, "more_pages", 0,
			     "end", (json_int_t)end));
}

static void number_add(GByteArray *out, uint64_t number, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--) {
		guint8 byte = (guint8)(number >> (8 * i));

		g_byte_array_append(out, &byte, 1);
	}
}

static void record_encode(GByteArray *out, const struct record *record)
{
	size_t key = record->key ? strlen(record->key) : 0;
	size_t value = record->value ? strlen(record->value) : 0;
	guint8 length = (guint8)key;

	if (!record->key) {
		number_add(out, value, 4);
	} else {
		number_add(out, 1 + key + value, 4);
		g_byte_array_append(out, &length, 1);
		g_byte_array_append(out, (const guint8 *)record->key,
				    (guint)key);
	}
	g_byte_array_append(out, (const guint8 *)record->value, (guint)value);
}

static void on_read(struct site *site, struct web_request *request,
		    struct topic *topic)
{
	uint64_t end = topic->first + topic->records->len;
	g_autoptr(GByteArray) out = g_byte_array_new();
	char text[32] = "0";
	uint64_t from;

	web_request_param(request, "from", text, sizeof(text));
	from = strtoull(text, NULL, 10);
	if (from < topic->first || from > end) {
		json_reply(
			request, 410,
			json_pack("{s:I}", "first", (json_int_t)topic->first));
		return;
	}
	number_add(out, end, 8);
	number_add(out, topic->first, 8);
	for (uint64_t at = from; at < end; at++)
		record_encode(out, topic->records->pdata[at - topic->first]);
	web_reply(request, 200, "application/octet-stream", out->data,
		  out->len);
}

static void on_append(struct site *site, struct web_request *request,
		      struct topic *topic)
{
	struct web_text body = web_request_body(request);
	uint64_t offset = topic->first + topic->records->len;
	uint64_t end = offset + 1;
	const char *data = body.data + 4;
	size_t size = body.size - 4;
	g_autofree char *key = NULL;
	g_autofree char *value = NULL;

	if (body.size < 4) {
		web_reply(request, 400, NULL, "short\n", 6);
		return;
	}
	if (g_str_has_prefix(topic->name, "keyed.")) {
		size_t length = (guint8)data[0];

		key = g_strndup(data + 1, length);
		data += 1 + length;
		size -= 1 + length;
	}
	value = size > 0 || !key ? g_strndup(data, size) : NULL;
	record_add(topic, key, value);
	json_reply(request, 200,
		   json_pack("{s:I, s:I}", "offset", (json_int_t)offset, "end",
			     (json_int_t)end));
}

static void on_store(void *ctx, struct web_request *request)
{
	struct site *site = ctx;
	struct web_text path = web_request_path(request);
	char name[128] = "";
	char era[24];
	struct topic *topic;

	(void)g_snprintf(era, sizeof(era), "%" G_GUINT64_FORMAT, site->era);
	web_reply_header(request, "store-era", era);
	if (site->down) {
		web_reply(request, 503, NULL, "down\n", 5);
		return;
	}
	web_request_param(request, "topic", name, sizeof(name));
	topic = topic_get(site, name);
	if (g_str_has_prefix(path.data, "/-/log-newest"))
		on_newest(site, request, topic);
	else if (g_str_has_prefix(path.data, "/-/log-read"))
		on_read(site, request, topic);
	else if (g_str_has_prefix(path.data, "/-/log-append"))
		on_append(site, request, topic);
	else
		web_reply(request, 404, NULL, "no such call\n", 13);
}

void store_serve(struct site *site)
{
	web_server_handle(site->control, "/-/", on_store, site);
}
