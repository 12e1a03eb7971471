/*
 * settings.c - flags and environment variables, read through one table
 */
#include "entry/settings.h"

#include <argp.h>
#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/log.h"
#include "web/address.h"

#define NAME_MAX_BYTES 63
#define KEY_FIRST 256
#define KEY_HELP '?'
#define KEY_VERSION 'V'

enum kind {
	KIND_NAME,
	KIND_LISTEN,
	KIND_ADDRESS,
	KIND_SEED,
	KIND_PATH,
	KIND_LEVEL,
	KIND_U32,
	KIND_U64,
	KIND_MSEC,
	KIND_BOOL,
};

struct setting {
	const char *flag;
	const char *variable;
	enum kind kind;
	size_t offset;
	int64_t min;
	int64_t max;
	const char *fallback; /* as the flag would give it; NULL: none */
	bool required;
	const char *arg;
	const char *help;
};

#define FIELD(f) offsetof(struct settings, f)
#define HOUR_MSEC INT64_C(3600000)

static const struct setting table[] = {
	{"name", "JT_NAME", KIND_NAME, FIELD(name), 0, 0, NULL, true, "NAME",
	 "this instance's name, unique in the site"},
	{"data-centre", "JT_DATA_CENTRE", KIND_NAME, FIELD(data_centre), 0, 0,
	 NULL, true, "NAME", "the data centre it runs in"},
	{"listen", "JT_LISTEN", KIND_LISTEN, FIELD(listen), 0, 0,
	 "127.0.0.1:8080", false, "IP:PORT", "address for callers"},
	{"admin-listen", "JT_ADMIN_LISTEN", KIND_LISTEN, FIELD(admin_listen), 0,
	 0, "127.0.0.1:8081", false, "IP:PORT",
	 "address for operators and the balancer"},
	{"peer-listen", "JT_PEER_LISTEN", KIND_LISTEN, FIELD(peer_listen), 0, 0,
	 "127.0.0.1:8082", false, "IP:PORT", "address for other instances"},
	{"platform", "JT_PLATFORM", KIND_ADDRESS, FIELD(platform), 0, 0, NULL,
	 false, "IP:PORT", "the platform's service"},
	{"seed", "JT_SEEDS", KIND_SEED, FIELD(seeds), 0, 0, NULL, false,
	 "NAME@DATA_CENTRE@IP:PORT",
	 "another instance; may be repeated (in the variable: commas)"},
	{"config-file", "JT_CONFIG_FILE", KIND_PATH, FIELD(config_file), 0, 0,
	 NULL, false, "FILE", "in force until the log or a peer gives one"},
	{"log-level", "JT_LOG_LEVEL", KIND_LEVEL, FIELD(log_level), 0, 0,
	 "info", false, "LEVEL", "err, warning, notice, info or debug"},
	{"random-seed", "JT_RANDOM_SEED", KIND_U32, FIELD(random_seed), 0,
	 UINT32_MAX, "0", false, "N", "0 takes one from the start time"},
	{"heartbeat-ms", "JT_HEARTBEAT_MS", KIND_MSEC, FIELD(heartbeat_usec),
	 10, 60000, "500", false, "N", "time between heartbeats"},
	{"settle-ms", "JT_SETTLE_MS", KIND_MSEC, FIELD(settle_usec), 10, 60000,
	 "2000", false, "N", "longest wait of a new home for announcements"},
	{"orphan-grace-ms", "JT_ORPHAN_GRACE_MS", KIND_MSEC,
	 FIELD(orphan_grace_usec), 0, 60000, "2000", false, "N",
	 "how long a dead instance's streams may be resumed"},
	{"coalesce-ms", "JT_COALESCE_MS", KIND_MSEC, FIELD(coalesce_usec), 0,
	 1000, "2", false, "N", "how long a message may wait for company"},
	{"peer-datagrams", "JT_PEER_DATAGRAMS", KIND_BOOL,
	 FIELD(peer_datagrams), 0, 0, "yes", false, "yes|no",
	 "small messages to other instances go as datagrams"},
	{"drain-ms", "JT_DRAIN_MS", KIND_MSEC, FIELD(drain_usec), 0,
	 24 * HOUR_MSEC, "0", false, "N",
	 "longest graceful shutdown; 0 sets no bound"},
	{"drain-delay-ms", "JT_DRAIN_DELAY_MS", KIND_MSEC,
	 FIELD(drain_delay_usec), 0, 60000, "500", false, "N",
	 "connections are still accepted this long after health says draining"},
	{"list-ms", "JT_LIST_MS", KIND_MSEC, FIELD(list_usec), 10, HOUR_MSEC,
	 "1000", false, "N", "time between readings of the instance list"},
	{"log-retention-ms", "JT_LOG_RETENTION_MS", KIND_MSEC,
	 FIELD(log_retention_usec), 1000, 366 * 24 * HOUR_MSEC, "1800000",
	 false, "N", "how long the platform's log keeps records, at least"},
	{"poll-ms", "JT_POLL_MS", KIND_MSEC, FIELD(poll_usec), 10, HOUR_MSEC,
	 "250", false, "N", "time between readings of a runner's reports"},
	{"role-dwell-ms", "JT_ROLE_DWELL_MS", KIND_MSEC, FIELD(role_dwell_usec),
	 5000, HOUR_MSEC, "60000", false, "N",
	 "least time between two role changes of a cell's runners"},
	{"body-bytes-max", "JT_BODY_BYTES_MAX", KIND_U64, FIELD(body_bytes_max),
	 1024, INT64_C(1) << 30, "8388608", false, "N", "largest request body"},
	{"connections-max", "JT_CONNECTIONS_MAX", KIND_U32,
	 FIELD(connections_max), 1, 1000000, "10000", false, "N",
	 "connections of callers at once"},
	{"requests-max", "JT_REQUESTS_MAX", KIND_U32, FIELD(requests_max), 1,
	 1000000, "10000", false, "N", "requests in flight at once"},
	{"replay-bytes-max", "JT_REPLAY_BYTES_MAX", KIND_U64,
	 FIELD(replay_bytes_max), 0, INT64_C(1) << 32, "33554432", false, "N",
	 "memory for the kept answers of keyed requests"},
};

#define TABLE_SIZE G_N_ELEMENTS(table)

/* What argp's parser needs besides the table. */
struct reading {
	struct settings *settings;
	bool given[TABLE_SIZE];
	struct error *err;
};

bool settings_address_valid(const char *text, bool zero_port)
{
	struct sockaddr_storage address;
	socklen_t size;

	if (!address_parse(text, &address, &size, NULL))
		return false;
	return zero_port || !g_str_has_suffix(text, ":0");
}

static bool name_valid(const char *text)
{
	size_t size = strlen(text);

	return size > 0 && size <= NAME_MAX_BYTES &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz"
			    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_") == size;
}

static bool part_copy(char *to, size_t size, const char *from, size_t length)
{
	if (length >= size)
		return false;
	memcpy(to, from, length);
	to[length] = '\0';
	return true;
}

bool settings_seed_parse(struct settings_seed *seed, const char *text,
			 struct error *err)
{
	const char *first = strchr(text, '@');
	const char *second = first ? strchr(first + 1, '@') : NULL;

	if (second &&
	    part_copy(seed->name, sizeof(seed->name), text,
		      (size_t)(first - text)) &&
	    part_copy(seed->data_centre, sizeof(seed->data_centre), first + 1,
		      (size_t)(second - first - 1)) &&
	    part_copy(seed->address, sizeof(seed->address), second + 1,
		      strlen(second + 1)) &&
	    name_valid(seed->name) && name_valid(seed->data_centre) &&
	    settings_address_valid(seed->address, false))
		return true;
	return error_set(err, RESULT_BAD_SETTING,
			 "'%s' is not NAME@DATA_CENTRE@IP:PORT", text);
}

static bool seed_add(struct settings *settings, const char *text,
		     struct error *err)
{
	struct settings_seed seed;

	if (settings->seed_count == SETTINGS_SEEDS_MAX)
		return error_set(err, RESULT_BAD_SETTING, "more than %d seeds",
				 SETTINGS_SEEDS_MAX);
	if (!settings_seed_parse(&seed, text, err))
		return false;
	settings->seeds[settings->seed_count++] = text;
	return true;
}

static bool number_parse(const struct setting *setting, const char *text,
			 int64_t *value, struct error *err)
{
	char *end = NULL;

	errno = 0;
	*value = strtoll(text, &end, 10);
	if (text[0] < '0' || text[0] > '9' || *end != '\0')
		return error_set(err, RESULT_BAD_SETTING,
				 "'%s' is not a whole number", text);
	if (errno != 0 || *value < setting->min || *value > setting->max)
		return error_set(err, RESULT_BAD_SETTING,
				 "%s is not between %lld and %lld", text,
				 (long long)setting->min,
				 (long long)setting->max);
	return true;
}

static bool number_store(const struct setting *setting, void *field,
			 const char *text, struct error *err)
{
	int64_t value;

	if (!number_parse(setting, text, &value, err))
		return false;
	if (setting->kind == KIND_U32)
		*(uint32_t *)field = (uint32_t)value;
	else if (setting->kind == KIND_U64)
		*(uint64_t *)field = (uint64_t)value;
	else
		*(int64_t *)field = value * USEC_PER_MSEC;
	return true;
}

static bool text_store(const char **field, const char *text, bool valid,
		       const char *what, struct error *err)
{
	if (!valid)
		return error_set(err, RESULT_BAD_SETTING, "'%s' is not %s",
				 text, what);
	*field = text;
	return true;
}

static bool bool_store(bool *field, const char *text, struct error *err)
{
	*field = strcmp(text, "yes") == 0;
	if (!*field && strcmp(text, "no") != 0)
		return error_set(err, RESULT_BAD_SETTING,
				 "'%s' is neither yes nor no", text);
	return true;
}

static bool value_store(const struct setting *setting,
			struct settings *settings, const char *text,
			struct error *err)
{
	void *field = (char *)settings + setting->offset;

	switch (setting->kind) {
	case KIND_NAME:
		return text_store(field, text, name_valid(text),
				  "a name of 1 to 63 letters, digits, '.', "
				  "'-' or '_'",
				  err);
	case KIND_LISTEN:
		return text_store(field, text,
				  settings_address_valid(text, true),
				  "an address IP:PORT", err);
	case KIND_ADDRESS:
		return text_store(field, text,
				  settings_address_valid(text, false),
				  "an address IP:PORT", err);
	case KIND_PATH:
		return text_store(field, text, text[0] != '\0', "a file name",
				  err);
	case KIND_SEED:
		return seed_add(settings, text, err);
	case KIND_BOOL:
		return bool_store(field, text, err);
	case KIND_LEVEL:
		return log_level_parse(text, field, err);
	default:
		return number_store(setting, field, text, err);
	}
}

static bool setting_apply(const struct setting *setting,
			  struct settings *settings, const char *text,
			  const char *source, struct error *err)
{
	if (value_store(setting, settings, text, err))
		return true;
	if (err)
		err->code = RESULT_BAD_SETTING;
	return error_prefix(err, "%s", source);
}

/* The variable's seeds are one text, so each is cut out and kept for ever. */
static bool variable_apply(const struct setting *setting,
			   struct settings *settings, const char *text,
			   struct error *err)
{
	if (setting->kind != KIND_SEED)
		return setting_apply(setting, settings, text, setting->variable,
				     err);
	g_auto(GStrv) parts = g_strsplit(text, ",", -1);
	for (char **part = parts; *part; part++) {
		const char *kept = g_intern_string(*part);

		if (!setting_apply(setting, settings, kept, setting->variable,
				   err))
			return false;
	}
	return true;
}

static void help_print(const struct argp *argp)
{
	argp_help(argp, stdout, ARGP_HELP_STD_HELP & ~ARGP_HELP_EXIT_OK,
		  (char *)"jtentry");
	exit(EXIT_SUCCESS);
}

static error_t option_parse(int key, char *arg, struct argp_state *state)
{
	struct reading *reading = state->input;

	if (key == KEY_HELP)
		help_print(state->root_argp);
	if (key == KEY_VERSION) {
		printf("jtentry %s\n", JT_VERSION);
		exit(EXIT_SUCCESS);
	}
	if (key == ARGP_KEY_ARG) {
		error_set(reading->err, RESULT_BAD_SETTING,
			  "unexpected argument '%s'", arg);
		return EINVAL;
	}
	if (key < KEY_FIRST || key >= KEY_FIRST + (int)TABLE_SIZE)
		return ARGP_ERR_UNKNOWN;

	const struct setting *setting = &table[key - KEY_FIRST];
	char source[64];

	(void)snprintf(source, sizeof(source), "--%s", setting->flag);
	reading->given[key - KEY_FIRST] = true;
	if (!setting_apply(setting, reading->settings, arg, source,
			   reading->err))
		return EINVAL;
	return 0;
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
		.doc = "Routes requests to prefill, decode and plain pools.",
	};
	struct error *err = reading->err;

	options_fill(options);
	error_set(err, RESULT_BAD_SETTING,
		  "unknown flag, or one without its value; see --help");
	if (argp_parse(&argp, argc, argv,
		       ARGP_NO_ERRS | ARGP_NO_HELP | ARGP_NO_EXIT, NULL,
		       reading) != 0)
		return false;
	if (err)
		*err = (struct error){.code = RESULT_OK};
	return true;
}

static bool rest_read(struct reading *reading, const struct setting *setting)
{
	const char *text = getenv(setting->variable);

	if (text)
		return variable_apply(setting, reading->settings, text,
				      reading->err);
	if (setting->required)
		return error_set(reading->err, RESULT_BAD_SETTING,
				 "--%s (or %s) is missing", setting->flag,
				 setting->variable);
	if (!setting->fallback)
		return true;
	return setting_apply(setting, reading->settings, setting->fallback,
			     setting->flag, reading->err);
}

bool settings_read(struct settings *settings, int argc, char **argv,
		   struct error *err)
{
	struct reading reading = {.settings = settings, .err = err};

	*settings = (struct settings){0};
	if (!flags_read(&reading, argc, argv))
		return false;
	for (size_t i = 0; i < TABLE_SIZE; i++) {
		if (!reading.given[i] && !rest_read(&reading, &table[i]))
			return false;
	}
	return true;
}
