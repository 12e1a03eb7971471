#include "common/json_text.h"

static void append_escaped(GString *out, unsigned char c)
{
	switch (c) {
	case '"':
		g_string_append(out, "\\\"");
		return;
	case '\\':
		g_string_append(out, "\\\\");
		return;
	case '\n':
		g_string_append(out, "\\n");
		return;
	case '\t':
		g_string_append(out, "\\t");
		return;
	default:
		g_string_append_printf(out, "\\u%04x", c);
	}
}

static int needs_escape(unsigned char c)
{
	return c < 0x20 || c == '"' || c == '\\';
}

void json_text_append(GString *out, const char *text, size_t size)
{
	size_t start = 0;

	g_string_append_c(out, '"');
	for (size_t i = 0; i < size; i++) {
		unsigned char c = (unsigned char)text[i];

		if (!needs_escape(c))
			continue;
		g_string_append_len(out, text + start, (gssize)(i - start));
		append_escaped(out, c);
		start = i + 1;
	}
	g_string_append_len(out, text + start, (gssize)(size - start));
	g_string_append_c(out, '"');
}
