/*
 * setting.h - program settings described by a table
 *
 * DESCRIPTION
 *	Each setting has a flag (--data-centre), an environment variable
 *	(JT_DATA_CENTRE), and, for programs that read one, a line of a settings
 *	file (data-centre=...). Flags take precedence over variables, variables
 *	over the file, and the file over the default. Every value is validated;
 *	an invalid one is refused with RESULT_BAD_SETTING, and the error names
 *	the flag, the variable, or the file and line. An empty value in the file
 *	counts as not given. An unknown name in the file is logged and ignored,
 *	so that an older program can read a newer file.
 *
 *	The field in the target has the type that the setting's kind implies.
 *	Strings are stored as const char * and are not freed: they point into
 *	argv, or to interned strings or literals.
 */
#ifndef COMMON_SETTING_H
#define COMMON_SETTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"

enum setting_kind {
	SETTING_NAME,	 /* 1 to 63 letters, digits, '.', '-' or '_' */
	SETTING_LISTEN,	 /* "IP:port"; port 0 selects a free port */
	SETTING_ADDRESS, /* "IP:port" */
	SETTING_PATH,
	SETTING_LEVEL, /* int, a syslog priority */
	SETTING_U32,
	SETTING_U64,
	SETTING_MSEC,	  /* given in ms, stored as int64_t in microseconds */
	SETTING_REAL,	  /* double */
	SETTING_BOOL,	  /* "yes" or "no" */
	SETTING_REPEATED, /* may be repeated */
};

struct setting {
	const char *flag;
	const char *variable;
	enum setting_kind kind;
	size_t offset;
	double min;
	double max;
	const char *fallback; /* default, as the flag takes it, or NULL */
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
	/* Stores one value of a SETTING_REPEATED setting, identified by its
	 * flag; a variable or line may hold several, separated by commas. NULL
	 * when the table has no such setting. */
	bool (*each)(void *target, const char *flag, const char *text,
		     struct error *err);
};

/* Fills target, which must be zeroed. Exits only for --help and --version. */
bool settings_fill(const struct setting_program *program, void *target,
		   int argc, char **argv, struct error *err);
bool setting_name_valid(const char *text);
/* Whether text is "IP:port", IPv6 in brackets. Port 0 is valid only with
 * zero_port. */
bool setting_address_valid(const char *text, bool zero_port);

#endif
