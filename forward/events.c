#include "forward/events.h"

#include <string.h>

/* A buffer that was larger is freed once it is empty, since arrays never
 * shrink.
 */
#define REST_KEPT_MAX (4u << 10)

void event_cutter_init(struct event_cutter *cutter)
{
	*cutter = (struct event_cutter){.rest = g_byte_array_new()};
}

void event_cutter_clear(struct event_cutter *cutter)
{
	if (cutter->rest)
		g_byte_array_unref(cutter->rest);
	cutter->rest = NULL;
}

/* Parses "id: 12" or "id:12". Other ids are relayed, but a stream cannot be
 * resumed after them. */
static void line_parse(struct event_cutter *cutter, const char *line,
		       size_t size)
{
	uint64_t id = 0;
	size_t at = 3;

	if (size < 4 || memcmp(line, "id:", 3) != 0)
		return;
	if (line[at] == ' ')
		at++;
	if (at == size)
		return;
	for (; at < size; at++) {
		if (!g_ascii_isdigit(line[at]))
			return;
		id = id * 10 + (uint64_t)(line[at] - '0');
	}
	cutter->last_id = id;
	cutter->has_id = true;
}

/* Sets *length to the line's size without its line end, *next to the offset of
 * the next line; false when the line is incomplete. */
static bool line_find(const char *text, size_t size, size_t *length,
		      size_t *next)
{
	const char *end = memchr(text, '\n', size);

	if (!end)
		return false;
	*length = (size_t)(end - text);
	*next = *length + 1;
	if (*length > 0 && text[*length - 1] == '\r')
		--*length;
	return true;
}

bool event_cutter_feed(struct event_cutter *cutter, const void *data,
		       size_t size)
{
	if (cutter->rest->len - cutter->scanned + size > EVENT_BYTES_MAX)
		return false;
	g_byte_array_append(cutter->rest, data, (guint)size);
	return true;
}

/* Parses the lines of one event; returns its size, 0 when it is incomplete. */
static size_t event_parse(struct event_cutter *cutter, const char *text,
			  size_t size)
{
	size_t at = 0;
	size_t length;
	size_t next;

	while (line_find(text + at, size - at, &length, &next)) {
		line_parse(cutter, text + at, length);
		at += next;
		if (length == 0)
			return at;
	}
	return 0;
}

size_t event_cutter_complete_bytes(struct event_cutter *cutter)
{
	const char *text = (const char *)cutter->rest->data;
	uint64_t last_id = cutter->last_id;
	bool has_id = cutter->has_id;
	size_t size;

	while ((size = event_parse(cutter, text + cutter->scanned,
				   cutter->rest->len - cutter->scanned)) > 0) {
		cutter->scanned += size;
		cutter->events++;
		last_id = cutter->last_id;
		has_id = cutter->has_id;
	}
	/* Discards the id of an incomplete event. */
	cutter->last_id = last_id;
	cutter->has_id = has_id;
	return cutter->scanned;
}

void event_cutter_consume(struct event_cutter *cutter, size_t size)
{
	bool was_large = cutter->rest->len > REST_KEPT_MAX;

	g_byte_array_remove_range(cutter->rest, 0, (guint)size);
	cutter->scanned -= size;
	if (was_large && cutter->rest->len == 0) {
		g_byte_array_unref(cutter->rest);
		cutter->rest = g_byte_array_new();
	}
}

void event_cutter_drop(struct event_cutter *cutter)
{
	g_byte_array_set_size(cutter->rest, (guint)cutter->scanned);
}
