#include "head.h"

#include <string.h>

#include <glib.h>

struct part {
	const char *data;
	size_t size;
};

static struct part part_trim(struct part part)
{
	while (part.size > 0 && (part.data[part.size - 1] == ' ' ||
				 part.data[part.size - 1] == '\t' ||
				 part.data[part.size - 1] == '\r'))
		part.size--;
	while (part.size > 0 && (*part.data == ' ' || *part.data == '\t')) {
		part.data++;
		part.size--;
	}
	return part;
}

static bool part_is(struct part part, const char *word)
{
	return part.size == strlen(word) &&
	       g_ascii_strncasecmp(part.data, word, part.size) == 0;
}

/* 18 digits fit in h2o's 64-bit length. */
static bool length_is_valid(struct part value)
{
	if (value.size == 0 || value.size > 18)
		return false;
	for (size_t i = 0; i < value.size; i++)
		if (!g_ascii_isdigit(value.data[i]))
			return false;
	return true;
}

static bool line_is_valid(struct part line)
{
	const char *colon = memchr(line.data, ':', line.size);
	struct part name;
	struct part value;

	if (!colon)
		return true;
	name = (struct part){line.data, (size_t)(colon - line.data)};
	value = part_trim((struct part){colon + 1, line.size - name.size - 1});
	name = part_trim(name);
	if (part_is(name, "content-length"))
		return length_is_valid(value);
	if (part_is(name, "transfer-encoding"))
		return part_is(value, "chunked") || part_is(value, "identity");
	return true;
}

/* Informational heads (100 Continue) may precede the final one, so lines are
 * checked up to the empty line that ends the final head. The body needs no
 * check, since h2o parses the head in the same iteration of the event loop. */
bool head_is_valid(const char *data, size_t size)
{
	bool informational = false;

	for (size_t at = 0; at < size;) {
		const char *end = memchr(data + at, '\n', size - at);
		struct part line = {data + at, 0};

		if (!end)
			return true;
		line.size = (size_t)(end - line.data);
		at += line.size + 1;
		line = part_trim(line);
		if (line.size > 9 && memcmp(line.data, "HTTP/1.", 7) == 0)
			informational = line.data[9] == '1';
		else if (line.size == 0 && !informational)
			return true;
		else if (!line_is_valid(line))
			return false;
	}
	return true;
}
