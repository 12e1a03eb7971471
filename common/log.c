#include "common/log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/error.h"

/* Size of the buffer: one second of the lines of a busy instance. */
#define BUFFER_BYTES_MAX ((size_t)256 << 10)
/* Token bucket for the bytes written: 200 requests per second with two lines
 * each take half of the rate. */
#define BYTES_PER_SEC (128 << 10)
#define BURST_BYTES (256 << 10)
/* Lines of this level and of the more verbose ones use at most half of the
 * buffer and of the burst. */
#define LOW_PRIORITY_LEVEL LOG_INFO

static struct {
	const struct clock *clock;
	const char *program;
	int level;
	int fd;
	GString *buffer; /* NULL: lines are written to standard error at once */
	double budget;	 /* bytes left in the token bucket */
	int64_t budget_at; /* time of the last refill */
	uint64_t dropped;  /* lines since the last log_lines_dropped */
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

/* Numbers are formatted on the stack: g_string_append_printf() would allocate
 * memory for each, which takes half of the time needed for a line. */
static void append_field(GString *out, const struct log_field *field)
{
	char text[32] = "";

	g_string_append_c(out, ' ');
	g_string_append(out, field->key);
	g_string_append_c(out, '=');
	switch (field->kind) {
	case LOG_KIND_STRING:
		append_text(out, field->text);
		return;
	case LOG_KIND_INT:
		(void)snprintf(text, sizeof(text), "%" PRId64, field->number);
		break;
	case LOG_KIND_HEX:
		(void)snprintf(text, sizeof(text), "%016" PRIx64,
			       (uint64_t)field->number);
		break;
	case LOG_KIND_REAL:
		(void)snprintf(text, sizeof(text), "%g", field->real);
		break;
	case LOG_KIND_END:
		break;
	}
	g_string_append(out, text);
}

static void append_start(GString *out, int level)
{
	int64_t now = log_state.clock ? clock_unix(log_state.clock) : 0;
	char text[64];

	if (now)
		(void)snprintf(text, sizeof(text),
			       "<%d>time=%" PRId64 ".%06" PRId64, level,
			       now / USEC_PER_SEC, now % USEC_PER_SEC);
	else
		(void)snprintf(text, sizeof(text), "<%d>time=0", level);
	g_string_append(out, text);
	g_string_append(out, " level=");
	g_string_append(out, level_name(level));
	g_string_append(out, " event=");
}

void log_format(GString *out, int level, const char *event,
		const struct log_field *fields)
{
	append_start(out, level);
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

void log_redirect(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	log_state.fd = fd;
	log_state.budget = BURST_BYTES;
	if (!log_state.buffer)
		log_state.buffer = g_string_sized_new(4096);
}

void log_flush(void)
{
	GString *buffer = log_state.buffer;

	while (buffer && buffer->len > 0) {
		ssize_t n = write(log_state.fd, buffer->str, buffer->len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		g_string_erase(buffer, 0, n);
	}
}

static void budget_refill(void)
{
	int64_t now = log_state.clock ? clock_now(log_state.clock) : 0;
	double usec = (double)(now - log_state.budget_at);

	log_state.budget += usec * BYTES_PER_SEC / (double)USEC_PER_SEC;
	log_state.budget = MIN(log_state.budget, BURST_BYTES);
	log_state.budget_at = now;
}

/* Returns false, and counts a dropped line, when the buffer or the token bucket
 * has no room for a line of that level. */
static bool budget_take(int level, size_t size)
{
	double share = level >= LOW_PRIORITY_LEVEL ? 0.5 : 1.0;

	budget_refill();
	if ((double)(log_state.buffer->len + size) > share * BUFFER_BYTES_MAX ||
	    log_state.budget - (double)size < (1.0 - share) * BURST_BYTES) {
		log_state.dropped++;
		return false;
	}
	log_state.budget -= (double)size;
	return true;
}

static void line_buffer(int level, const GString *line)
{
	uint64_t dropped = log_state.dropped;

	if (!budget_take(level, line->len))
		return;
	g_string_append_len(log_state.buffer, line->str, (gssize)line->len);
	if (dropped == 0)
		return;
	log_state.dropped = 0;
	log_event(LOG_WARNING, "log_lines_dropped", LOG_D("lines", dropped));
}

void log_write(int level, const char *event, const struct log_field *fields)
{
	GString *line;

	if (level > log_state.level)
		return;
	line = g_string_sized_new(256);
	log_format(line, level, event, fields);
	if (log_state.buffer) {
		line_buffer(level, line);
	} else {
		fwrite(line->str, 1, line->len, stderr);
		fflush(stderr);
	}
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
