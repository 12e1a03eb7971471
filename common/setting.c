#include "common/setting.h"

#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/address.h"
#include "common/clock.h"
#include "common/log.h"

#define NAME_MAX_BYTES 63
#define FILE_BYTES_MAX (64u << 10)
#define OPTION_KEY_FIRST 256
#define OPTION_KEY_HELP '?'
#define OPTION_KEY_VERSION 'V'

struct settings_parse {
	const struct setting_program *program;
	void *target;
	bool *given;
	struct error *err;
};

bool setting_address_valid(const char *text, bool zero_port)
{
	struct sockaddr_storage address;
	socklen_t size;

	if (!address_parse(text, &address, &size, NULL))
		return false;
	return zero_port || !g_str_has_suffix(text, ":0");
}

bool setting_name_valid(const char *text)
{
	size_t size = strlen(text);

	return size > 0 && size <= NAME_MAX_BYTES &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz"
			    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_") == size;
}

static bool integer_parse(const struct setting *setting, const char *text,
			  int64_t *value, struct error *err)
{
	char *end = NULL;

	errno = 0;
	*value = strtoll(text, &end, 10);
	if (text[0] < '0' || text[0] > '9' || *end != '\0')
		return error_set(err, RESULT_BAD_SETTING,
				 "'%s' is not a whole number", text);
	if (errno != 0 || (double)*value < setting->min ||
	    (double)*value > setting->max)
		return error_set(err, RESULT_BAD_SETTING,
				 "%s is not between %.0f and %.0f", text,
				 setting->min, setting->max);
	return true;
}

static bool integer_store(const struct setting *setting, void *field,
			  const char *text, struct error *err)
{
	int64_t value;

	if (!integer_parse(setting, text, &value, err))
		return false;
	if (setting->kind == SETTING_U32)
		*(uint32_t *)field = (uint32_t)value;
	else if (setting->kind == SETTING_U64)
		*(uint64_t *)field = (uint64_t)value;
	else
		*(int64_t *)field = value * USEC_PER_MSEC;
	return true;
}

static bool real_store(const struct setting *setting, double *field,
		       const char *text, struct error *err)
{
	char *end;
	double value = g_ascii_strtod(text, &end);

	if (end == text || *end != '\0' ||
	    !(value >= setting->min && value <= setting->max))
		return error_set(err, RESULT_BAD_SETTING,
				 "'%s' is not a number from %g to %g", text,
				 setting->min, setting->max);
	*field = value;
	return true;
}

static bool string_store(const char **field, const char *text, bool valid,
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

static bool value_store(const struct setting_program *program,
			const struct setting *setting, void *target,
			const char *text, struct error *err)
{
	void *field = (char *)target + setting->offset;

	switch (setting->kind) {
	case SETTING_NAME:
		return string_store(field, text, setting_name_valid(text),
				    "a name of 1 to 63 letters, digits, '.', "
				    "'-' or '_'",
				    err);
	case SETTING_LISTEN:
		return string_store(field, text,
				    setting_address_valid(text, true),
				    "an address IP:PORT", err);
	case SETTING_ADDRESS:
		return string_store(field, text,
				    setting_address_valid(text, false),
				    "an address IP:PORT", err);
	case SETTING_PATH:
		return string_store(field, text, text[0] != '\0', "a file name",
				    err);
	case SETTING_REPEATED:
		return program->each(target, setting->flag, text, err);
	case SETTING_BOOL:
		return bool_store(field, text, err);
	case SETTING_LEVEL:
		return log_level_parse(text, field, err);
	case SETTING_REAL:
		return real_store(setting, field, text, err);
	default:
		return integer_store(setting, field, text, err);
	}
}

static bool setting_apply(struct settings_parse *parse, size_t at,
			  const char *text, const char *source)
{
	const struct setting *setting = &parse->program->table[at];

	parse->given[at] = true;
	if (value_store(parse->program, setting, parse->target, text,
			parse->err))
		return true;
	if (parse->err)
		parse->err->code = RESULT_BAD_SETTING;
	return error_prefix(parse->err, "%s", source);
}

/* A variable or a line of the file may hold several values of a repeated
 * setting, separated by commas. The values are interned, so that the target may
 * point to them. */
static bool values_apply(struct settings_parse *parse, size_t at,
			 const char *text, const char *source)
{
	g_auto(GStrv) parts = NULL;

	if (parse->program->table[at].kind != SETTING_REPEATED)
		return setting_apply(parse, at, g_intern_string(text), source);
	parts = g_strsplit(text, ",", -1);
	for (char **part = parts; *part; part++)
		if (!setting_apply(parse, at, g_intern_string(*part), source))
			return false;
	return true;
}

/* ---- flags ---- */

static void help_print(const struct argp *argp, const char *name)
{
	argp_help(argp, stdout, ARGP_HELP_STD_HELP & ~ARGP_HELP_EXIT_OK,
		  (char *)name);
	exit(EXIT_SUCCESS);
}

static error_t option_parse(int key, char *arg, struct argp_state *state)
{
	struct settings_parse *parse = state->input;
	const struct setting_program *program = parse->program;
	g_autofree char *source = NULL;

	if (key == OPTION_KEY_HELP)
		help_print(state->root_argp, program->name);
	if (key == OPTION_KEY_VERSION) {
		printf("%s %s\n", program->name, JT_VERSION);
		exit(EXIT_SUCCESS);
	}
	if (key == ARGP_KEY_ARG) {
		error_set(parse->err, RESULT_BAD_SETTING,
			  "unexpected argument '%s'", arg);
		return EINVAL;
	}
	if (key < OPTION_KEY_FIRST ||
	    key >= OPTION_KEY_FIRST + (int)program->count)
		return ARGP_ERR_UNKNOWN;
	source = g_strconcat("--", program->table[key - OPTION_KEY_FIRST].flag,
			     NULL);
	return setting_apply(parse, (size_t)(key - OPTION_KEY_FIRST), arg,
			     source)
		       ? 0
		       : EINVAL;
}

static struct argp_option *options_create(const struct setting_program *program)
{
	struct argp_option *options =
		g_new0(struct argp_option, program->count + 3);

	for (size_t i = 0; i < program->count; i++) {
		options[i].name = program->table[i].flag;
		options[i].key = OPTION_KEY_FIRST + (int)i;
		options[i].arg = program->table[i].arg;
		options[i].doc = program->table[i].help;
	}
	options[program->count].name = "help";
	options[program->count].key = OPTION_KEY_HELP;
	options[program->count].doc = "print this text";
	options[program->count + 1].name = "version";
	options[program->count + 1].key = OPTION_KEY_VERSION;
	options[program->count + 1].doc = "print the version";
	return options;
}

static bool flags_read(struct settings_parse *parse, int argc, char **argv)
{
	g_autofree struct argp_option *options = options_create(parse->program);
	struct argp argp = {
		.options = options,
		.parser = option_parse,
		.doc = parse->program->doc,
	};
	struct error *err = parse->err;

	error_set(err, RESULT_BAD_SETTING,
		  "unknown flag, or one without its value; see --help");
	if (argp_parse(&argp, argc, argv,
		       ARGP_NO_ERRS | ARGP_NO_HELP | ARGP_NO_EXIT, NULL,
		       parse) != 0)
		return false;
	if (err)
		*err = (struct error){.code = RESULT_OK};
	return true;
}

/* ---- variables, file, defaults: each applies only to settings not yet given
 */

static bool variables_read(struct settings_parse *parse)
{
	for (size_t i = 0; i < parse->program->count; i++) {
		const char *variable = parse->program->table[i].variable;
		const char *text = getenv(variable);

		if (text && !parse->given[i] &&
		    !values_apply(parse, i, text, variable))
			return false;
	}
	return true;
}

static bool line_apply(struct settings_parse *parse, const bool *given_before,
		       unsigned int number, char *line)
{
	const struct setting_program *program = parse->program;
	g_autofree char *source = NULL;
	char *value;

	g_strstrip(line);
	if (line[0] == '\0' || line[0] == '#')
		return true;
	value = strchr(line, '=');
	if (!value)
		return error_set(parse->err, RESULT_BAD_SETTING,
				 "%s:%u: not NAME=VALUE: '%s'", program->file,
				 number, line);
	*value++ = '\0';
	if (value[0] == '\0')
		return true;
	source = g_strdup_printf("%s:%u: %s", program->file, number, line);
	for (size_t i = 0; i < program->count; i++)
		if (strcmp(program->table[i].flag, line) == 0)
			return given_before[i] ||
			       values_apply(parse, i, value, source);
	log_event(LOG_NOTICE, "setting_unknown", LOG_S("file", program->file),
		  LOG_D("line", number), LOG_S("name", line));
	return true;
}

static bool file_read(struct settings_parse *parse)
{
	const struct setting_program *program = parse->program;
	g_autofree bool *given_before =
		g_memdup2(parse->given, program->count * sizeof(bool));
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	GError *error = NULL;
	gsize size;

	if (!g_file_get_contents(program->file, &text, &size, &error)) {
		error_set(parse->err, RESULT_IO, "%s", error->message);
		g_error_free(error);
		return false;
	}
	if (size > FILE_BYTES_MAX || strlen(text) != size)
		return error_set(parse->err, RESULT_BAD_SETTING,
				 "%s: not a text of at most %u bytes",
				 program->file, FILE_BYTES_MAX);
	lines = g_strsplit(text, "\n", -1);
	for (unsigned int i = 0; lines[i]; i++)
		if (!line_apply(parse, given_before, i + 1, lines[i]))
			return false;
	return true;
}

static bool defaults_apply(struct settings_parse *parse)
{
	for (size_t i = 0; i < parse->program->count; i++) {
		const struct setting *setting = &parse->program->table[i];

		if (parse->given[i])
			continue;
		if (setting->required)
			return error_set(parse->err, RESULT_BAD_SETTING,
					 "--%s (or %s) is missing",
					 setting->flag, setting->variable);
		if (setting->fallback &&
		    !setting_apply(parse, i, setting->fallback, setting->flag))
			return false;
	}
	return true;
}

bool settings_fill(const struct setting_program *program, void *target,
		   int argc, char **argv, struct error *err)
{
	g_autofree bool *given = g_new0(bool, program->count);
	struct settings_parse parse = {program, target, given, err};

	return flags_read(&parse, argc, argv) && variables_read(&parse) &&
	       (!program->file || file_read(&parse)) && defaults_apply(&parse);
}
