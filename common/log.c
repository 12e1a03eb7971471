#include "common/log.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/error.h"

static struct {
	const struct clock *clock;
	const char *program;
	int level;
} log_state = {.level = LOG_INFO};

static const struct {
	const char *name;
	int level;
} levels[] = {
	{"err", LOG_ERR},   {"warning", LOG_WARNING}, {"notice", LOG_NOTICE},
	{"info", LOG_INFO}, {"debug", LOG_DEBUG},
};

static const char *level_name(int level)
{
	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (levels[i].level >= level)
			return levels[i].name;
	}
	return "debug";
}

static bool text_plain(const char *text)
{
	if (!*text)
		return false;
	for (; *text; text++) {
		unsigned char c = (unsigned char)*text;

		if (c <= ' ' || c == '"' || c == '\\' || c == '=' || c == 0x7f)
			return false;
	}
	return true;
}

static void append_escaped(GString *out, unsigned char c)
{
	if (c == '"' || c == '\\')
		g_string_append_printf(out, "\\%c", c);
	else if (c == '\n')
		g_string_append(out, "\\n");
	else if (c == '\t')
		g_string_append(out, "\\t");
	else if (c < ' ' || c == 0x7f)
		g_string_append_printf(out, "\\x%02x", c);
	else
		g_string_append_c(out, (char)c);
}

static void append_text(GString *out, const char *text)
{
	if (!text)
		text = "";
	if (text_plain(text)) {
		g_string_append(out, text);
		return;
	}
	g_string_append_c(out, '"');
	for (; *text; text++)
		append_escaped(out, (unsigned char)*text);
	g_string_append_c(out, '"');
}

static void append_field(GString *out, const struct log_field *field)
{
	g_string_append_printf(out, " %s=", field->key);
	switch (field->kind) {
	case LOG_KIND_STRING:
		append_text(out, field->text);
		break;
	case LOG_KIND_INT:
		g_string_append_printf(out, "%" PRId64, field->number);
		break;
	case LOG_KIND_HEX:
		g_string_append_printf(out, "%016" PRIx64,
				       (uint64_t)field->number);
		break;
	case LOG_KIND_REAL:
		g_string_append_printf(out, "%g", field->real);
		break;
	case LOG_KIND_END:
		break;
	}
}

void log_format(GString *out, int level, const char *event,
		const struct log_field *fields)
{
	int64_t now = log_state.clock ? clock_unix(log_state.clock) : 0;

	g_string_append_printf(out, "<%d>time=", level);
	if (now)
		g_string_append_printf(out, "%" PRId64 ".%06" PRId64,
				       now / USEC_PER_SEC, now % USEC_PER_SEC);
	else
		g_string_append_c(out, '0');
	g_string_append_printf(out, " level=%s event=", level_name(level));
	append_text(out, event);
	if (log_state.program) {
		g_string_append(out, " program=");
		append_text(out, log_state.program);
	}
	for (; fields && fields->kind != LOG_KIND_END; fields++)
		append_field(out, fields);
	g_string_append_c(out, '\n');
}

void log_setup(const struct clock *clock, const char *program, int level)
{
	log_state.clock = clock;
	log_state.program = program;
	log_state.level = level;
}

void log_write(int level, const char *event, const struct log_field *fields)
{
	GString *line;

	if (level > log_state.level)
		return;
	line = g_string_sized_new(256);
	log_format(line, level, event, fields);
	fwrite(line->str, 1, line->len, stderr);
	fflush(stderr);
	g_string_free(line, TRUE);
}

bool log_level_parse(const char *text, int *level, struct error *err)
{
	for (size_t i = 0; text && i < G_N_ELEMENTS(levels); i++) {
		if (strcmp(levels[i].name, text) == 0) {
			*level = levels[i].level;
			return true;
		}
	}
	return error_set(err, RESULT_BAD_SETTING,
			 "\"%s\" is not one of err, warning, notice, info, "
			 "debug",
			 text ? text : "");
}
