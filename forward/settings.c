/*
 * settings.c - settings through one table
 */
#include "forward/settings.h"

#include <argp.h>
#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/log.h"
#include "web/address.h"

#define PROGRAM "jtforward"
#define KEY_FIRST 256
#define KEY_HELP '?'
#define KEY_VERSION 'V'
#define FILE_BYTES_MAX (64u << 10)

enum kind {
	KIND_NAME,
	KIND_ADDRESS,
	KIND_LEVEL,
	KIND_U32,
	KIND_REAL,
};

struct setting {
	const char *flag;
	const char *variable;
	enum kind kind;
	size_t offset;
	double min;
	double max;
	const char *fallback; /* NULL: the setting must be given */
	const char *arg;
	const char *help;
};

#define FIELD(f) offsetof(struct forward_settings, f)

static const struct setting table[] = {
	{"name", "JT_NAME", KIND_NAME, FIELD(name), 0, 0, NULL, "NAME",
	 "this instance's name, unique in the site"},
	{"data-centre", "JT_DATA_CENTRE", KIND_NAME, FIELD(data_centre), 0, 0,
	 NULL, "NAME", "the data centre it runs in"},
	{"listen", "JT_LISTEN", KIND_ADDRESS, FIELD(listen), 0, 0, NULL,
	 "IP:PORT", "address for callers"},
	{"health-listen", "JT_HEALTH_LISTEN", KIND_ADDRESS,
	 FIELD(health_listen), 0, 0, NULL, "IP:PORT",
	 "address for the balancer's health checks"},
	{"peer-listen", "JT_PEER_LISTEN", KIND_ADDRESS, FIELD(peer_listen), 0,
	 0, NULL, "IP:PORT",
	 "address for other instances (TCP and UDP) and for metrics"},
	{"platform", "JT_PLATFORM", KIND_ADDRESS, FIELD(platform), 0, 0, NULL,
	 "IP:PORT", "the platform's store"},
	{"log-level", "JT_LOG_LEVEL", KIND_LEVEL, FIELD(log_level), 0, 0,
	 "info", "LEVEL", "err, warning, notice, info or debug"},
	{"retry-ratio", "JT_RETRY_RATIO", KIND_REAL, FIELD(retry_ratio), 0, 1,
	 "0.2", "X", "further sends of all instances, as a part of requests"},
	{"retry-slack", "JT_RETRY_SLACK", KIND_REAL, FIELD(retry_slack), 0, 1e6,
	 "10", "N", "further sends of all instances beyond that part"},
	{"retry-window-s", "JT_RETRY_WINDOW_S", KIND_REAL,
	 FIELD(retry_window_sec), 0.1, 3600, "10", "S",
	 "time over which further sends are counted"},
	{"grace-s", "JT_GRACE_S", KIND_REAL, FIELD(grace_sec), 1, 86400, "8",
	 "S", "longest graceful shutdown"},
	{"connections-max", "JT_CONNECTIONS_MAX", KIND_U32,
	 FIELD(connections_max), 1, 1000000, "1500", "N",
	 "connections of callers at once"},
};

#define TABLE_SIZE G_N_ELEMENTS(table)

struct reading {
	struct forward_settings *settings;
	bool given[TABLE_SIZE];
	struct error *err;
};

static bool name_store(char *field, const char *text, struct error *err)
{
	if (strlen(text) >= FORWARD_TEXT_MAX || strpbrk(text, " \t\"="))
		return error_set(err, RESULT_BAD_SETTING, "'%s' is no name",
				 text);
	g_strlcpy(field, text, FORWARD_TEXT_MAX);
	return true;
}

static bool address_store(char *field, const char *text, struct error *err)
{
	struct sockaddr_storage address;
	socklen_t size;

	if (strlen(text) >= FORWARD_TEXT_MAX ||
	    !address_parse(text, &address, &size, NULL))
		return error_set(err, RESULT_BAD_SETTING,
				 "'%s' is no address IP:PORT", text);
	g_strlcpy(field, text, FORWARD_TEXT_MAX);
	return true;
}

static bool number_store(const struct setting *setting, void *field,
			 const char *text, struct error *err)
{
	char *end;
	double value = g_ascii_strtod(text, &end);

	if (end == text || *end != '\0' ||
	    !(value >= setting->min && value <= setting->max))
		return error_set(err, RESULT_BAD_SETTING,
				 "'%s' is not a number from %g to %g", text,
				 setting->min, setting->max);
	if (setting->kind == KIND_U32)
		*(uint32_t *)field = (uint32_t)value;
	else
		*(double *)field = value;
	return true;
}

static bool value_store(const struct setting *setting,
			struct forward_settings *settings, const char *text,
			struct error *err)
{
	void *field = (char *)settings + setting->offset;

	switch (setting->kind) {
	case KIND_NAME:
		return name_store(field, text, err);
	case KIND_ADDRESS:
		return address_store(field, text, err);
	case KIND_LEVEL:
		return log_level_parse(text, field, err);
	default:
		return number_store(setting, field, text, err);
	}
}

static bool setting_apply(struct reading *reading, size_t at, const char *text,
			  const char *source)
{
	reading->given[at] = true;
	if (value_store(&table[at], reading->settings, text, reading->err))
		return true;
	return error_prefix(reading->err, "%s", source);
}

static bool line_apply(struct reading *reading, const char *file,
		       unsigned int number, char *line)
{
	char *value = strchr(line, '=');
	g_autofree char *source = NULL;

	g_strstrip(line);
	if (line[0] == '\0' || line[0] == '#')
		return true;
	if (!value)
		return error_set(reading->err, RESULT_BAD_SETTING,
				 "%s:%u: not NAME=VALUE: '%s'", file, number,
				 line);
	*value++ = '\0';
	if (value[0] == '\0')
		return true;
	source = g_strdup_printf("%s:%u: %s", file, number, line);
	for (size_t i = 0; i < TABLE_SIZE; i++)
		if (strcmp(table[i].flag, line) == 0)
			return setting_apply(reading, i, value, source);
	log_event(LOG_NOTICE, "setting_unknown", LOG_S("file", file),
		  LOG_D("line", number), LOG_S("name", line));
	return true;
}

static bool file_read(struct reading *reading, const char *file)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	GError *error = NULL;
	gsize size;

	if (!g_file_get_contents(file, &text, &size, &error)) {
		error_set(reading->err, RESULT_IO, "%s", error->message);
		g_error_free(error);
		return false;
	}
	if (size > FILE_BYTES_MAX || strlen(text) != size)
		return error_set(reading->err, RESULT_BAD_SETTING,
				 "%s: not a text of at most %u bytes", file,
				 FILE_BYTES_MAX);
	lines = g_strsplit(text, "\n", -1);
	for (unsigned int i = 0; lines[i]; i++)
		if (!line_apply(reading, file, i + 1, lines[i]))
			return false;
	return true;
}

static bool environment_read(struct reading *reading)
{
	for (size_t i = 0; i < TABLE_SIZE; i++) {
		const char *text = getenv(table[i].variable);

		if (text && !setting_apply(reading, i, text, table[i].variable))
			return false;
	}
	return true;
}

static void help_print(const struct argp *argp)
{
	argp_help(argp, stdout, ARGP_HELP_STD_HELP & ~ARGP_HELP_EXIT_OK,
		  (char *)PROGRAM);
	exit(EXIT_SUCCESS);
}

static error_t option_parse(int key, char *arg, struct argp_state *state)
{
	struct reading *reading = state->input;
	g_autofree char *source = NULL;

	if (key == KEY_HELP)
		help_print(state->root_argp);
	if (key == KEY_VERSION) {
		printf(PROGRAM " %s\n", JT_VERSION);
		exit(EXIT_SUCCESS);
	}
	if (key == ARGP_KEY_ARG) {
		error_set(reading->err, RESULT_BAD_SETTING,
			  "unexpected argument '%s'", arg);
		return EINVAL;
	}
	if (key < KEY_FIRST || key >= KEY_FIRST + (int)TABLE_SIZE)
		return ARGP_ERR_UNKNOWN;
	source = g_strconcat("--", table[key - KEY_FIRST].flag, NULL);
	return setting_apply(reading, (size_t)(key - KEY_FIRST), arg, source)
		       ? 0
		       : EINVAL;
}

static void options_fill(struct argp_option *options)
{
	for (size_t i = 0; i < TABLE_SIZE; i++) {
		options[i].name = table[i].flag;
		options[i].key = KEY_FIRST + (int)i;
		options[i].arg = table[i].arg;
		options[i].doc = table[i].help;
	}
	options[TABLE_SIZE].name = "help";
	options[TABLE_SIZE].key = KEY_HELP;
	options[TABLE_SIZE].doc = "print this text";
	options[TABLE_SIZE + 1].name = "version";
	options[TABLE_SIZE + 1].key = KEY_VERSION;
	options[TABLE_SIZE + 1].doc = "print the version";
}

static bool flags_read(struct reading *reading, int argc, char **argv)
{
	struct argp_option options[TABLE_SIZE + 3] = {0};
	struct argp argp = {
		.options = options,
		.parser = option_parse,
		.doc = "Forwards requests to backend servers as they came.",
	};

	options_fill(options);
	error_set(reading->err, RESULT_BAD_SETTING,
		  "unknown flag, or one without its value; see --help");
	return argp_parse(&argp, argc, argv,
			  ARGP_NO_ERRS | ARGP_NO_HELP | ARGP_NO_EXIT, NULL,
			  reading) == 0;
}

static bool rest_apply(struct reading *reading)
{
	for (size_t i = 0; i < TABLE_SIZE; i++) {
		const struct setting *setting = &table[i];

		if (reading->given[i])
			continue;
		if (!setting->fallback)
			return error_set(reading->err, RESULT_BAD_SETTING,
					 "%s (--%s, %s) is missing",
					 setting->flag, setting->flag,
					 setting->variable);
		if (!setting_apply(reading, i, setting->fallback,
				   setting->flag))
			return false;
	}
	return true;
}

bool forward_settings_read(struct forward_settings *settings, const char *file,
			   int argc, char **argv, struct error *err)
{
	struct forward_settings fresh = {0};
	struct reading reading = {.settings = &fresh, .err = err};

	if (file && !file_read(&reading, file))
		return false;
	if (!environment_read(&reading) || !flags_read(&reading, argc, argv) ||
	    !rest_apply(&reading))
		return false;
	*settings = fresh;
	return true;
}
