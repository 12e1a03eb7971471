#include "head.h"

#include <string.h>

#define VERSION_PREFIX "HTTP/1."
/* "HTTP/1.1 200" */
#define STATUS_LINE_MIN 12
#define STATUS_MAX 599

/* Offsets into the text, which moves while it grows. */
struct head_field {
	size_t name_at;
	size_t name_size;
	size_t value_at;
	size_t value_size;
};

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

static struct web_text text_trim(struct web_text text)
{
	while (text.size > 0 && is_blank(text.data[text.size - 1]))
		text.size--;
	while (text.size > 0 && is_blank(*text.data)) {
		text.data++;
		text.size--;
	}
	return text;
}

static bool text_equals(struct web_text text, const char *word)
{
	return text.size == strlen(word) &&
	       g_ascii_strncasecmp(text.data, word, text.size) == 0;
}

/* Takes the first element of a comma-separated list, trimmed; false at the end
 * of the list. Empty elements are skipped. */
static bool list_next(struct web_text *list, struct web_text *element)
{
	while (list->size > 0) {
		const char *comma = memchr(list->data, ',', list->size);
		size_t size = comma ? (size_t)(comma - list->data) : list->size;

		*element = text_trim((struct web_text){list->data, size});
		size += comma != NULL;
		list->data += size;
		list->size -= size;
		if (element->size > 0)
			return true;
	}
	return false;
}

/* At most INT64_MAX, so that sums of sizes do not overflow. */
static bool length_parse(struct web_text text, uint64_t *length)
{
	*length = 0;
	for (size_t i = 0; i < text.size; i++) {
		if (!g_ascii_isdigit(text.data[i]) ||
		    *length > (INT64_MAX - 9) / 10)
			return false;
		*length = *length * 10 + (uint64_t)(text.data[i] - '0');
	}
	return text.size > 0;
}

/* RFC 9112 6.3 accepts a list of equal lengths. */
static bool length_read(struct head *head, struct web_text list)
{
	struct web_text element;
	uint64_t length;
	bool is_empty = true;

	while (list_next(&list, &element)) {
		if (!length_parse(element, &length) ||
		    (head->has_length && length != head->length))
			return false;
		head->has_length = true;
		head->length = length;
		is_empty = false;
	}
	return !is_empty;
}

/* "identity" was a coding of earlier versions of HTTP/1.1. No server applies
 * chunked twice; some repeat the field. */
static bool coding_read(struct head *head, struct web_text list)
{
	struct web_text element;
	bool is_empty = true;

	while (list_next(&list, &element)) {
		if (text_equals(element, "chunked"))
			head->framing = FRAMING_CHUNKED;
		else if (!text_equals(element, "identity"))
			return false;
		is_empty = false;
	}
	head->has_coding = true;
	return !is_empty;
}

static void connection_read(struct head *head, struct web_text list)
{
	struct web_text element;

	while (list_next(&list, &element))
		if (text_equals(element, "close"))
			head->closes = true;
}

static enum head_result head_invalid(struct head *head, const char *why)
{
	head->text_invalid = why;
	return HEAD_INVALID;
}

static bool line_is_valid(struct web_text line)
{
	for (size_t i = 0; i < line.size; i++)
		if (g_ascii_iscntrl(line.data[i]) && line.data[i] != '\t')
			return false;
	return true;
}

static enum head_result status_line_read(struct head *head,
					 struct web_text line)
{
	static const size_t prefix = sizeof(VERSION_PREFIX) - 1;
	const char *digits = line.data + prefix + 2;

	if (line.size < STATUS_LINE_MIN ||
	    memcmp(line.data, VERSION_PREFIX, prefix) != 0 ||
	    !g_ascii_isdigit(line.data[prefix]) || digits[-1] != ' ')
		return head_invalid(head, "no HTTP/1 status line");
	if (!line_is_valid(line))
		return head_invalid(head, "control character in a status line");
	for (int i = 0; i < 3; i++) {
		if (!g_ascii_isdigit(digits[i]))
			return head_invalid(head, "no status");
		head->status = head->status * 10 + (digits[i] - '0');
	}
	if (head->status < 100 || head->status > STATUS_MAX ||
	    (line.size > STATUS_LINE_MIN && digits[3] != ' '))
		return head_invalid(head, "no status");
	head->closes = line.data[prefix] == '0';
	return HEAD_INCOMPLETE;
}

static bool name_is_valid(struct web_text name)
{
	for (size_t i = 0; i < name.size; i++)
		if (!g_ascii_isalnum(name.data[i]) &&
		    (!name.data[i] || !strchr("!#$%&'*+-.^_`|~", name.data[i])))
			return false;
	return name.size > 0;
}

static struct head_field *field_last(const struct head *head)
{
	if (!head->fields || head->fields->len == 0)
		return NULL;
	return &g_array_index(head->fields, struct head_field,
			      head->fields->len - 1);
}

static void text_append(struct head *head, struct web_text text)
{
	g_string_append_len(head->text, text.data, (gssize)text.size);
}

static void field_add(struct head *head, struct web_text name,
		      struct web_text value)
{
	struct head_field field = {
		.name_size = name.size,
		.value_size = value.size,
	};

	if (!head->text) {
		head->text = g_string_new(NULL);
		head->fields =
			g_array_new(FALSE, FALSE, sizeof(struct head_field));
	}
	field.name_at = head->text->len;
	for (size_t i = 0; i < name.size; i++)
		g_string_append_c(head->text, g_ascii_tolower(name.data[i]));
	field.value_at = head->text->len;
	text_append(head, value);
	g_array_append_val(head->fields, field);
}

/* The last value is at the end of the text. */
static enum head_result field_unfold(struct head *head, struct web_text line)
{
	struct head_field *field = field_last(head);
	struct web_text value = text_trim(line);

	if (!field)
		return head_invalid(head, "folded line without a field");
	if (value.size == 0)
		return HEAD_INCOMPLETE;
	if (field->value_size > 0)
		g_string_append_c(head->text, ' ');
	text_append(head, value);
	field->value_size = head->text->len - field->value_at;
	return HEAD_INCOMPLETE;
}

static enum head_result field_read(struct head *head, struct web_text line)
{
	const char *colon = memchr(line.data, ':', line.size);
	struct web_text name;

	if (!line_is_valid(line))
		return head_invalid(head, "control character in a field");
	if (is_blank(*line.data))
		return field_unfold(head, line);
	if (!colon)
		return head_invalid(head, "field without a colon");
	name = (struct web_text){line.data, (size_t)(colon - line.data)};
	line.data = colon + 1;
	line.size -= name.size + 1;
	name = text_trim(name);
	if (!name_is_valid(name))
		return head_invalid(head, "invalid name of a field");
	field_add(head, name, text_trim(line));
	return HEAD_INCOMPLETE;
}

static struct web_header header_of(const struct head *head, guint index)
{
	const struct head_field *field =
		&g_array_index(head->fields, struct head_field, index);

	return (struct web_header){
		.name = {head->text->str + field->name_at, field->name_size},
		.value = {head->text->str + field->value_at, field->value_size},
	};
}

/* Reads the framing, once no more lines can be folded. */
static enum head_result head_end(struct head *head)
{
	guint count = head->fields ? head->fields->len : 0;

	if (!head->is_request && head->status < 200 &&
	    head->status != STATUS_SWITCHING)
		return HEAD_INFORMATIONAL;
	for (guint i = 0; i < count; i++) {
		const struct web_header header = header_of(head, i);

		if (web_text_is(header.name, "content-length") &&
		    !length_read(head, header.value))
			return head_invalid(head, "invalid content-length");
		if (web_text_is(header.name, "transfer-encoding") &&
		    !coding_read(head, header.value))
			return head_invalid(head, "invalid transfer-encoding");
		if (web_text_is(header.name, "connection"))
			connection_read(head, header.value);
	}
	if (head->has_coding && head->has_length)
		head->closes = true;
	if (head->has_length && head->framing == FRAMING_NONE)
		head->framing = FRAMING_LENGTH;
	return HEAD_COMPLETE;
}

/* h2o has read the start line of a request, and skips an empty line before
 * it. */
static enum head_result start_line_read(struct head *head, struct web_text line)
{
	head->has_start_line = !head->is_request || line.size > 0;
	return head->is_request ? HEAD_INCOMPLETE
				: status_line_read(head, line);
}

/* Whether an incomplete line may still become a status line. */
static bool status_line_begins(const char *data, size_t size)
{
	return memcmp(data, VERSION_PREFIX,
		      MIN(size, sizeof(VERSION_PREFIX) - 1)) == 0;
}

enum head_result head_read(struct head *head, const char *data, size_t size)
{
	enum head_result result = HEAD_INCOMPLETE;

	while (result == HEAD_INCOMPLETE && head->size < size) {
		struct web_text line = {data + head->size, size - head->size};
		const char *end = memchr(line.data + head->scanned, '\n',
					 line.size - head->scanned);

		if (!end) {
			head->scanned = line.size;
			if (!head->has_start_line && !head->is_request &&
			    !status_line_begins(line.data, line.size))
				return head_invalid(head,
						    "no HTTP/1 status line");
			return HEAD_INCOMPLETE;
		}
		line.size = (size_t)(end - line.data);
		if (line.size > 0 && end[-1] == '\r')
			line.size--;
		if (!head->has_start_line)
			result = start_line_read(head, line);
		else if (line.size == 0)
			result = head_end(head);
		else
			result = field_read(head, line);
		head->size = (size_t)(end - data) + 1;
		head->scanned = 0;
	}
	return result;
}

struct web_header *head_headers(const struct head *head, size_t *count)
{
	struct web_header *headers;

	*count = head->fields ? head->fields->len : 0;
	headers = g_new(struct web_header, *count + 1);
	for (size_t i = 0; i < *count; i++)
		headers[i] = header_of(head, (guint)i);
	return headers;
}

GString *head_print(const struct head *head)
{
	GString *out = g_string_sized_new(128);

	g_string_append_printf(out, VERSION_PREFIX "1 %03d \r\n", head->status);
	if (head->framing == FRAMING_CHUNKED)
		g_string_append(out, "transfer-encoding: chunked\r\n");
	if (head->framing == FRAMING_LENGTH)
		g_string_append_printf(
			out, "content-length: %" G_GUINT64_FORMAT "\r\n",
			head->length);
	if (head->closes)
		g_string_append(out, "connection: close\r\n");
	g_string_append(out, "\r\n");
	return out;
}

bool head_request_is_framed(const char *data, size_t size)
{
	struct head head = {.is_request = true};
	bool is_framed = head_read(&head, data, size) == HEAD_COMPLETE &&
			 !(head.has_coding && head.has_length);

	head_clear(&head);
	return is_framed;
}

bool head_request_size(const char *data, size_t size, uint64_t *total)
{
	struct head head = {.is_request = true};
	enum head_result result = head_read(&head, data, size);

	*total = UINT64_MAX;
	if (result == HEAD_COMPLETE && !head.has_coding)
		*total = head.size + head.length;
	head_clear(&head);
	return result != HEAD_INCOMPLETE;
}

void head_clear(struct head *head)
{
	if (head->text)
		g_string_free(head->text, TRUE);
	if (head->fields)
		g_array_unref(head->fields);
	memset(head, 0, sizeof(*head));
}
