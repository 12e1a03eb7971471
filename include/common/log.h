/*
 * log.h - one line of key=value pairs an event
 *
 * DESCRIPTION
 *	A line is "<N>time=... level=... event=... key=value ...", N being the
 *	syslog priority as in syslog(3). Values with spaces, quotes or control
 *	characters are quoted and escaped. The time is that of the clock given
 *	to log_setup(); lines before it carry time=0.
 *
 *	Lines go to standard error at once, unless log_to() has chosen another
 *	file: then they are kept and written by log_flush(), which never waits.
 *	What is kept, and what is written a second, is bounded: when a reader
 *	does not keep up, or there are too many lines, those of level info and
 *	below go first, and a line log_lines_dropped counts them.
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

/* Sets the clock, the component's name and the most verbose level kept. */
void log_setup(const struct clock *clock, const char *program, int level);
/* Lines go to fd from now on, bounded; fd is made non-blocking. */
void log_to(int fd);
/* Writes what is kept as far as fd takes it. */
void log_flush(void);
void log_write(int level, const char *event, const struct log_field *fields);
/* Appends the line that log_write() would print, with its newline. */
void log_format(GString *out, int level, const char *event,
		const struct log_field *fields);
/* Parses "err", "warning", "notice", "info" or "debug". */
bool log_level_parse(const char *text, int *level, struct error *err);

#endif
