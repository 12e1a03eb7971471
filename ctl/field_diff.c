#include "ctl/field_diff.h"

#include <string.h>

#include "config/outline.h"

static const char *child_text(const struct outline *outline, const char *path,
			      const char *field)
{
	g_autofree char *below = g_strdup_printf("%s.%s", path, field);
	const struct outline_node *node = outline_find(outline, below);

	return node ? node->text : NULL;
}

/* The key of the list entry at path: its name, or "from>to" for a link. NULL
 * when it has neither. */
static char *entry_key(const struct outline *outline, const char *path)
{
	const char *name = child_text(outline, path, "name");
	const char *from = child_text(outline, path, "from");
	const char *to = child_text(outline, path, "to");

	if (name)
		return g_strdup(name);
	if (from && to)
		return g_strdup_printf("%s>%s", from, to);
	return NULL;
}

/* The path with list indices replaced by the keys of their entries. */
static char *named_path(const struct outline *outline, const char *path)
{
	GString *named = g_string_new(NULL);
	const char *at = path;

	while (*at) {
		const char *end = strchr(at, ']');
		const char *start = strchr(at, '[');
		g_autofree char *entry = NULL;
		g_autofree char *name = NULL;

		if (!start || !end)
			break;
		entry = g_strndup(path, end + 1 - path);
		name = entry_key(outline, entry);
		if (name) {
			g_string_append_len(named, at, start + 1 - at);
			g_string_append_printf(named, "%s]", name);
		} else {
			g_string_append_len(named, at, end + 1 - at);
		}
		at = end + 1;
	}
	g_string_append(named, at);
	return g_string_free(named, FALSE);
}

/* Maps the named path of each scalar to its text. */
static GHashTable *fields_read(const char *name, const char *data, size_t size,
			       struct error *err)
{
	struct outline *outline = outline_create(name, data, size, err);
	const struct outline_node *const *nodes;
	GHashTable *fields;
	size_t count;

	if (!outline)
		return NULL;
	fields = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	nodes = outline_nodes(outline, &count);
	for (size_t i = 0; i < count; i++) {
		if (nodes[i]->text)
			g_hash_table_insert(fields,
					    named_path(outline, nodes[i]->path),
					    g_strdup(nodes[i]->text));
	}
	outline_destroy(outline);
	return fields;
}

static void change_free(void *data)
{
	struct field_change *change = data;

	g_free(change->path);
	g_free(change->before);
	g_free(change->after);
	g_free(change);
}

static int change_compare(const void *a, const void *b)
{
	const struct field_change *const *left = a;
	const struct field_change *const *right = b;

	return strcmp((*left)->path, (*right)->path);
}

static void change_add(GPtrArray *changes, const char *path, const char *before,
		       const char *after)
{
	struct field_change *change;

	if (g_strcmp0(before, after) == 0)
		return;
	change = g_new0(struct field_change, 1);
	change->path = g_strdup(path);
	change->before = g_strdup(before);
	change->after = g_strdup(after);
	g_ptr_array_add(changes, change);
}

static GPtrArray *compare(GHashTable *before, GHashTable *after)
{
	GPtrArray *changes = g_ptr_array_new_with_free_func(change_free);
	GHashTableIter iter;
	void *path;
	void *text;

	g_hash_table_iter_init(&iter, before);
	while (g_hash_table_iter_next(&iter, &path, &text))
		change_add(changes, path, text,
			   g_hash_table_lookup(after, path));
	g_hash_table_iter_init(&iter, after);
	while (g_hash_table_iter_next(&iter, &path, &text)) {
		if (!g_hash_table_contains(before, path))
			change_add(changes, path, NULL, text);
	}
	g_ptr_array_sort(changes, change_compare);
	return changes;
}

GPtrArray *field_diff(const char *before_name, const char *before,
		      size_t before_size, const char *after_name,
		      const char *after, size_t after_size, struct error *err)
{
	GHashTable *old = fields_read(before_name, before, before_size, err);
	GPtrArray *changes = NULL;
	GHashTable *new;

	if (!old)
		return NULL;
	new = fields_read(after_name, after, after_size, err);
	if (new) {
		changes = compare(old, new);
		g_hash_table_destroy(new);
	}
	g_hash_table_destroy(old);
	return changes;
}
