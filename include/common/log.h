/*
 * log.h - structured log lines of key=value pairs, one per event
 *
 * DESCRIPTION
 *	A line is "<N>time=... level=... event=... key=value ...", N being the
 *	syslog priority as in syslog(3). Values with spaces, quotes,
 *	backslashes, "=" or control characters are quoted and escaped. The time
 *	is read from the clock given to log_setup(); lines before that call
 *	have time=0.
 *
 *	Lines are written to standard error at once, unless log_redirect()
 *	has set another file: then they are buffered and written by log_flush(),
 *	which never blocks. The buffer and the bytes written per second are
 *	bounded. When the reader does not keep up, or there are too many lines,
 *	those of level info and debug are dropped first, and a line
 *	log_lines_dropped gives the number dropped.
 *
 *	log_event(LOG_INFO, "lease_renewed", LOG_S("holder", name),
 *		  LOG_D("offset", offset));
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <syslog.h>

struct clock;
struct error;

enum log_kind {
	LOG_KIND_END,
	LOG_KIND_STRING,
	LOG_KIND_INT,
	LOG_KIND_HEX,
	LOG_KIND_REAL,
};

struct log_field {
	enum log_kind kind;
	const char *key;
	const char *text;
	int64_t number;
	double real;
};

#define LOG_S(k, v)                                                            \
	((struct log_field){.kind = LOG_KIND_STRING, .key = (k), .text = (v)})
#define LOG_D(k, v)                                                            \
	((struct log_field){                                                   \
		.kind = LOG_KIND_INT, .key = (k), .number = (int64_t)(v)})
#define LOG_X(k, v)                                                            \
	((struct log_field){                                                   \
		.kind = LOG_KIND_HEX, .key = (k), .number = (int64_t)(v)})
#define LOG_F(k, v)                                                            \
	((struct log_field){.kind = LOG_KIND_REAL, .key = (k), .real = (v)})

#define log_event(level, name, ...)                                            \
	log_write(level, name,                                                 \
		  (struct log_field[]){                                        \
			  __VA_ARGS__ __VA_OPT__(, ){.kind = LOG_KIND_END}})

/* Sets the clock, the name of the program and the most verbose level that is
 * logged. */
void log_setup(const struct clock *clock, const char *program, int level);
/* Buffers further lines for fd, which is made non-blocking. */
void log_redirect(int fd);
/* Writes as much of the buffer as fd accepts without blocking. */
void log_flush(void);
void log_write(int level, const char *event, const struct log_field *fields);
/* Appends the line that log_write() would write, newline included. */
void log_format(GString *out, int level, const char *event,
		const struct log_field *fields);
/* Parses "err", "warning", "notice", "info" or "debug". */
bool log_level_parse(const char *text, int *level, struct error *err);

#endif
