/*
 * setting.h - settings of a program through one table
 *
 * DESCRIPTION
 *	Each setting has a flag (--data-centre), an environment variable
 *	(JT_DATA_CENTRE), and, for programs that read one, a line of a settings
 *	file (data-centre=...). Flags go before variables, these before the
 *	file, and this before the fallback. Every value is checked; a bad one
 *	is refused with RESULT_BAD_SETTING, and the error names the file and
 *	line, variable or flag. Empty values of the file count as not given,
 *	and names that are not known there are passed over with a log line, so
 *	that a newer file can be read.
 *
 *	A field of the target is a const char * for texts, which point into
 *	argv, the environment, or live for ever; and the type that the kind
 *	names.
 */
#ifndef COMMON_SETTING_H
#define COMMON_SETTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"

enum setting_kind {
	SETTING_NAME,	 /* 1 to 63 letters, digits, '.', '-' or '_' */
	SETTING_LISTEN,	 /* "IP:port", port 0 picks a free one */
	SETTING_ADDRESS, /* "IP:port" */
	SETTING_PATH,
	SETTING_LEVEL, /* int, of syslog */
	SETTING_U32,
	SETTING_U64,
	SETTING_MSEC, /* int64_t, in microseconds */
	SETTING_REAL, /* double */
	SETTING_BOOL, /* yes or no */
	SETTING_EACH, /* may be repeated */
};

struct setting {
	const char *flag;
	const char *variable;
	enum setting_kind kind;
	size_t offset;
	double min;
	double max;
	const char *fallback; /* as the flag would give it; NULL: none */
	bool required;
	const char *arg;
	const char *help;
};

struct setting_program {
	const char *name;
	const char *doc;
	const char *file; /* settings file, or NULL */
	const struct setting *table;
	size_t count;
	/* Takes each text of a setting of SETTING_EACH, named by its flag; NULL
	 * where there is none. */
	bool (*each)(void *target, const char *flag, const char *text,
		     struct error *err);
};

/* Fills target, which must be zeroed. Exits by itself only for --help and
 * --version. */
bool settings_fill(const struct setting_program *program, void *target,
		   int argc, char **argv, struct error *err);
bool setting_name_valid(const char *text);
/* Whether text is "IP:port", IPv6 in brackets. Port 0 only when zero_port. */
bool setting_address_valid(const char *text, bool zero_port);

#endif
