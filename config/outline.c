#include "config/outline.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>
#include <yaml.h>

#define ROOT_TEXT "file"

struct outline {
	char *file;
	GPtrArray *nodes;
	GHashTable *by_path;
};

/* A mapping or sequence whose end event has not been parsed yet. */
struct level {
	enum outline_kind kind;
	size_t path_size;
	uint32_t entries;
	bool has_key; /* in a mapping, between a key and its value */
};

struct scan {
	struct outline *outline;
	struct error *err;
	const char *data;
	size_t size;
	struct level levels[OUTLINE_DEPTH_MAX];
	unsigned int depth;
	GString *path;
	yaml_mark_t key_mark;
	unsigned int documents;
};

static void node_free(void *data)
{
	struct outline_node *node = data;

	g_free((char *)node->path);
	g_free((char *)node->text);
	g_free(node);
}

static bool scan_refuse(struct scan *scan, yaml_mark_t mark, const char *text)
{
	return error_set(scan->err, RESULT_BAD_CONFIG, "%s:%zu:%zu: %s",
			 scan->outline->file, mark.line + 1, mark.column + 1,
			 text);
}

static bool key_valid(const char *key, size_t size)
{
	if (size == 0 || size > OUTLINE_KEY_MAX)
		return false;
	for (size_t i = 0; i < size; i++) {
		if (!g_ascii_isalnum(key[i]) && key[i] != '_' && key[i] != '-')
			return false;
	}
	return true;
}

static bool scan_key(struct scan *scan, const yaml_event_t *event)
{
	struct level *level = &scan->levels[scan->depth - 1];
	const char *key;

	if (event->type != YAML_SCALAR_EVENT)
		return scan_refuse(scan, event->start_mark,
				   "a field's name must be plain text");
	key = (const char *)event->data.scalar.value;
	if (!key_valid(key, event->data.scalar.length))
		return scan_refuse(scan, event->start_mark,
				   "a field's name has other characters than "
				   "letters, digits, '_' and '-', or is too "
				   "long");
	if (scan->path->len > 0)
		g_string_append_c(scan->path, '.');
	g_string_append(scan->path, key);
	scan->key_mark = event->start_mark;
	level->has_key = true;
	return true;
}

/* Extends the path to the node that starts; returns the node's position. */
static yaml_mark_t scan_enter(struct scan *scan, const yaml_event_t *event)
{
	struct level *level;

	if (scan->depth == 0)
		return event->start_mark;
	level = &scan->levels[scan->depth - 1];
	if (level->kind == OUTLINE_MAPPING)
		return scan->key_mark;
	g_string_append_printf(scan->path, "[%u]", level->entries);
	return event->start_mark;
}

/* Truncates the path to the parent of the node that ended. */
static void scan_leave(struct scan *scan)
{
	struct level *level;

	if (scan->depth == 0)
		return;
	level = &scan->levels[scan->depth - 1];
	level->entries++;
	level->has_key = false;
	g_string_truncate(scan->path, level->path_size);
}

static bool scan_add(struct scan *scan, enum outline_kind kind,
		     const char *text, yaml_mark_t mark)
{
	struct outline *outline = scan->outline;
	struct outline_node *node;

	if (g_hash_table_contains(outline->by_path, scan->path->str)) {
		g_autofree char *what =
			g_strdup_printf("%s: duplicate field", scan->path->str);

		return scan_refuse(scan, mark, what);
	}
	if (outline->nodes->len >= OUTLINE_NODES_MAX)
		return scan_refuse(scan, mark, "too many fields");
	node = g_new0(struct outline_node, 1);
	node->path = g_strdup(scan->path->str);
	node->kind = kind;
	node->text = g_strdup(text);
	node->line = (uint32_t)mark.line + 1;
	node->column = (uint32_t)mark.column + 1;
	g_ptr_array_add(outline->nodes, node);
	g_hash_table_insert(outline->by_path, (char *)node->path, node);
	return true;
}

static bool scan_scalar(struct scan *scan, const yaml_event_t *event)
{
	const char *text = (const char *)event->data.scalar.value;
	yaml_mark_t mark = scan_enter(scan, event);

	if (event->data.scalar.anchor)
		return scan_refuse(scan, event->start_mark,
				   "anchors are not allowed");
	if (strlen(text) != event->data.scalar.length)
		return scan_refuse(scan, event->start_mark,
				   "a value has a null character");
	if (!scan_add(scan, OUTLINE_SCALAR, text, mark))
		return false;
	scan_leave(scan);
	return true;
}

static bool scan_open(struct scan *scan, const yaml_event_t *event,
		      enum outline_kind kind, const yaml_char_t *anchor)
{
	yaml_mark_t mark = scan_enter(scan, event);
	struct level *level;

	if (anchor)
		return scan_refuse(scan, event->start_mark,
				   "anchors are not allowed");
	if (scan->depth == OUTLINE_DEPTH_MAX)
		return scan_refuse(scan, event->start_mark,
				   "nested too deeply");
	if (!scan_add(scan, kind, NULL, mark))
		return false;
	level = &scan->levels[scan->depth++];
	*level = (struct level){.kind = kind, .path_size = scan->path->len};
	return true;
}

static bool scan_event(struct scan *scan, const yaml_event_t *event)
{
	const struct level *level = NULL;

	if (scan->depth > 0)
		level = &scan->levels[scan->depth - 1];
	switch (event->type) {
	case YAML_DOCUMENT_START_EVENT:
		if (scan->documents++ > 0)
			return scan_refuse(scan, event->start_mark,
					   "a second document");
		return true;
	case YAML_ALIAS_EVENT:
		return scan_refuse(scan, event->start_mark,
				   "aliases are not allowed");
	case YAML_MAPPING_END_EVENT:
	case YAML_SEQUENCE_END_EVENT:
		scan->depth--;
		scan_leave(scan);
		return true;
	default:
		break;
	}
	if (level && level->kind == OUTLINE_MAPPING && !level->has_key &&
	    event->type != YAML_DOCUMENT_END_EVENT)
		return scan_key(scan, event);
	switch (event->type) {
	case YAML_SCALAR_EVENT:
		return scan_scalar(scan, event);
	case YAML_MAPPING_START_EVENT:
		return scan_open(scan, event, OUTLINE_MAPPING,
				 event->data.mapping_start.anchor);
	case YAML_SEQUENCE_START_EVENT:
		return scan_open(scan, event, OUTLINE_SEQUENCE,
				 event->data.sequence_start.anchor);
	default:
		return true;
	}
}

/* Converts a byte offset to a mark: libyaml's reader errors have no mark. */
static yaml_mark_t mark_at(const struct scan *scan, size_t offset)
{
	yaml_mark_t mark = {0};

	for (size_t i = 0; i < offset && i < scan->size; i++) {
		mark.column++;
		if (scan->data[i] != '\n')
			continue;
		mark.line++;
		mark.column = 0;
	}
	return mark;
}

static bool scan_syntax_error(struct scan *scan, const yaml_parser_t *parser)
{
	yaml_mark_t mark = parser->problem_mark;
	const char *problem = parser->problem;

	if (parser->error == YAML_READER_ERROR)
		mark = mark_at(scan, parser->problem_offset);
	return scan_refuse(scan, mark, problem ? problem : "not YAML");
}

static bool scan_run(struct scan *scan, yaml_parser_t *parser)
{
	yaml_event_t event;
	bool end = false;
	bool ok = true;

	while (ok && !end) {
		if (!yaml_parser_parse(parser, &event))
			return scan_syntax_error(scan, parser);
		ok = scan_event(scan, &event);
		end = event.type == YAML_STREAM_END_EVENT;
		yaml_event_delete(&event);
	}
	if (ok && scan->outline->nodes->len == 0)
		return scan_refuse(scan, (yaml_mark_t){0}, "nothing in it");
	return ok;
}

struct outline *outline_create(const char *file, const void *data, size_t size,
			       struct error *err)
{
	struct outline *outline = g_new0(struct outline, 1);
	struct scan scan = {
		.outline = outline, .err = err, .data = data, .size = size};
	yaml_parser_t parser;
	bool ok;

	outline->file = g_strdup(file);
	outline->nodes = g_ptr_array_new_with_free_func(node_free);
	outline->by_path = g_hash_table_new(g_str_hash, g_str_equal);
	if (!yaml_parser_initialize(&parser)) {
		error_set(err, RESULT_DEFECT,
			  "out of memory for the YAML parser");
		outline_destroy(outline);
		return NULL;
	}
	yaml_parser_set_input_string(&parser, data, size);
	/* A byte order mark could otherwise select UTF-16, and the text of a
	 * file must be UTF-8 to be embedded in JSON. */
	yaml_parser_set_encoding(&parser, YAML_UTF8_ENCODING);
	scan.path = g_string_new(NULL);
	ok = scan_run(&scan, &parser);
	g_string_free(scan.path, TRUE);
	yaml_parser_delete(&parser);
	if (ok)
		return outline;
	outline_destroy(outline);
	return NULL;
}

void outline_destroy(struct outline *outline)
{
	if (!outline)
		return;
	g_hash_table_destroy(outline->by_path);
	g_ptr_array_free(outline->nodes, TRUE);
	g_free(outline->file);
	g_free(outline);
}

const struct outline_node *outline_find(const struct outline *outline,
					const char *path)
{
	return g_hash_table_lookup(outline->by_path, path);
}

const struct outline_node *const *outline_nodes(const struct outline *outline,
						size_t *count)
{
	*count = outline->nodes->len;
	return (const struct outline_node *const *)outline->nodes->pdata;
}

/* The node at the path or, if there is none, its closest ancestor. */
static const struct outline_node *node_enclosing(const struct outline *outline,
						 const char *path)
{
	g_autofree char *ancestor = g_strdup(path);
	const struct outline_node *node = outline_find(outline, ancestor);

	while (!node && *ancestor) {
		size_t size = strlen(ancestor) - 1;

		while (size > 0 && ancestor[size] != '.' &&
		       ancestor[size] != '[')
			size--;
		ancestor[size] = '\0';
		node = outline_find(outline, ancestor);
	}
	return node;
}

bool outline_refuse(const struct outline *outline, struct error *err,
		    const char *path, const char *fmt, ...)
{
	const struct outline_node *node = node_enclosing(outline, path);
	g_autofree char *text = NULL;
	va_list args;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	return error_set(err, RESULT_BAD_CONFIG, "%s:%u:%u: %s: %s",
			 outline->file, node ? node->line : 1,
			 node ? node->column : 1, *path ? path : ROOT_TEXT,
			 text);
}
