#include "ctl/print.h"

#include <glib.h>

struct columns {
	unsigned int column_count;
	GPtrArray *cells;
};

struct columns *columns_create(unsigned int column_count)
{
	struct columns *columns = g_new0(struct columns, 1);

	columns->column_count = column_count;
	columns->cells = g_ptr_array_new_with_free_func(g_free);
	return columns;
}

char *print_safe(const char *text)
{
	char *safe = g_utf8_make_valid(text ? text : "", -1);
	GString *out = g_string_new(NULL);

	for (const char *c = safe; *c; c = g_utf8_next_char(c)) {
		gunichar ch = g_utf8_get_char(c);

		g_string_append_unichar(out, g_unichar_iscntrl(ch) ? '?' : ch);
	}
	g_free(safe);
	return g_string_free(out, FALSE);
}

void columns_add_row(struct columns *columns, const char *const *row)
{
	for (unsigned int i = 0; i < columns->column_count; i++)
		g_ptr_array_add(columns->cells, print_safe(row[i]));
}

static const char *cell(const struct columns *columns, guint i)
{
	const char *text = columns->cells->pdata[i];

	return text && *text ? text : "-";
}

static int column_width(const struct columns *columns, unsigned int column)
{
	glong size = 0;

	for (guint i = column; i < columns->cells->len;
	     i += columns->column_count)
		size = MAX(size, g_utf8_strlen(cell(columns, i), -1));
	return (int)size;
}

static void cell_print(const struct columns *columns, guint i, int size,
		       FILE *out)
{
	const char *text = cell(columns, i);
	int pad = size - (int)g_utf8_strlen(text, -1);

	if ((i + 1) % columns->column_count == 0)
		fprintf(out, "%s\n", text);
	else
		fprintf(out, "%s%*s", text, pad + 2, "");
}

void columns_print(struct columns *columns, FILE *out)
{
	int *sizes = g_new0(int, columns->column_count);

	for (unsigned int i = 0; i < columns->column_count; i++)
		sizes[i] = column_width(columns, i);
	for (guint i = 0; i < columns->cells->len; i++)
		cell_print(columns, i, sizes[i % columns->column_count], out);
	g_free(sizes);
	g_ptr_array_free(columns->cells, TRUE);
	g_free(columns);
}

char *print_time(int64_t unix_us)
{
	GDateTime *time = g_date_time_new_from_unix_utc(unix_us / 1000000);
	char *text;

	if (!time)
		return g_strdup("-");
	text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");
	g_date_time_unref(time);
	return text;
}

void print_json(FILE *out, const json_t *json)
{
	json_dumpf(json, out, JSON_INDENT(2) | JSON_ENCODE_ANY);
	fputc('\n', out);
}
