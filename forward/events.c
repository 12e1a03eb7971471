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

void event_cutter_begin(struct event_cutter *cutter, bool resumes,
			uint64_t after)
{
	cutter->resumes = resumes;
	cutter->after = after;
	cutter->is_numbered = false;
	cutter->began_anew = false;
}

struct event {
	size_t size;
	uint64_t id;
	bool has_id;
	bool has_data;
};

/* Parses "id: 12" or "id:12". Other ids are relayed, but a stream cannot be
 * resumed after them. */
static void line_parse(struct event *event, const char *line, size_t size)
{
	uint64_t id = 0;
	size_t at = 3;

	if (size >= 4 && memcmp(line, "data", 4) == 0)
		event->has_data = true;
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
	event->id = id;
	event->has_id = true;
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

/* Parses the lines of one event; false when it is incomplete. */
static bool event_parse(struct event *event, const char *text, size_t size)
{
	size_t length;
	size_t next;

	*event = (struct event){.size = 0};
	while (line_find(text + event->size, size - event->size, &length,
			 &next)) {
		line_parse(event, text + event->size, length);
		event->size += next;
		if (length == 0)
			return true;
	}
	return false;
}

/* Whether the event may follow what was relayed before. Comments and the like
 * have neither an id nor data. */
static bool event_follows(const struct event_cutter *cutter,
			  const struct event *event)
{
	if (!cutter->resumes)
		return true;
	if (event->has_id)
		return event->id > cutter->after;
	return !event->has_data || cutter->is_numbered;
}

static void event_record(struct event_cutter *cutter, const struct event *event)
{
	cutter->events++;
	if (event->has_id) {
		cutter->position = EVENTS_NUMBERED;
		cutter->last_id = event->id;
		cutter->is_numbered = true;
	} else if (event->has_data) {
		cutter->position = EVENTS_UNNUMBERED;
	}
}

size_t event_cutter_complete_bytes(struct event_cutter *cutter)
{
	const char *text = (const char *)cutter->rest->data;
	struct event event;

	while (event_parse(&event, text + cutter->scanned,
			   cutter->rest->len - cutter->scanned)) {
		if (!event_follows(cutter, &event)) {
			cutter->began_anew = true;
			break;
		}
		cutter->scanned += event.size;
		event_record(cutter, &event);
	}
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
	cutter->began_anew = false;
}
