#include "ctl/arguments.h"

#include <argp.h>
#include <glib.h>
#include <math.h>
#include <string.h>

#define WINDOW_MAX_S 86400.0
#define OPTIONS_MAX 16

enum {
	KEY_HELP = '?',
	KEY_VERSION = 'V',
	KEY_ADMIN = 'a',
	KEY_JSON = 'j',
	KEY_BASE = 'b',
	KEY_REMOTE = 'r',
	KEY_SAVE = 's',
	KEY_WINDOW = 'w',
	KEY_AUTHOR = 256,
	KEY_APPLY,
};

static const struct argp_option all_options[] = {
	{"admin", KEY_ADMIN, "IP:PORT[,...]", 0,
	 "Admin address of a daemon (JT_ADMIN, else " CTL_ADMIN_DEFAULT ")", 0},
	{"json", KEY_JSON, NULL, 0, "Print JSON", 0},
	{"help", KEY_HELP, NULL, 0, "Print this help", -1},
	{"version", KEY_VERSION, NULL, 0, "Print the version", -1},
	{"remote", KEY_REMOTE, NULL, 0,
	 "Compare with the backend servers that a daemon knows, too", 0},
	{"base", KEY_BASE, "REVISION", 0,
	 "Revision that the file is based on, else the one in force", 0},
	{"author", KEY_AUTHOR, "NAME", 0,
	 "Name for the audit trail (JT_AUTHOR, else USER)", 0},
	{"window", KEY_WINDOW, "SECONDS", 0,
	 "Measure two windows of this length, one after the other", 0},
	{"save", KEY_SAVE, "FILE", 0, "Write the last report to FILE", 0},
	{"apply", KEY_APPLY, "FILE", 0, "Apply FILE between the two windows",
	 0},
};

static const unsigned int option_bits[G_N_ELEMENTS(all_options)] = {
	0,
	0,
	0,
	0,
	OPTION_REMOTE,
	OPTION_BASE,
	OPTION_AUTHOR,
	OPTION_WINDOW,
	OPTION_SAVE,
	OPTION_APPLY,
};

/* State of one argp_parse(), over the arguments before or after the command. */
struct parse {
	struct ctl *ctl;
	const struct command *command; /* NULL before the name is known */
	const struct argp *argp;
	struct arguments *args;
	struct error *err;
	char *program;
	int command_index; /* in argv; 0: not found */
	bool printed;	   /* help or the version */
};

static bool base_parse(struct arguments *args, const char *text,
		       struct error *err)
{
	guint64 base;

	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &base, NULL))
		return error_set(err, RESULT_USAGE,
				 "--base: \"%s\" is not a revision", text);
	args->base = base;
	args->has_base = true;
	return true;
}

static bool window_parse(struct arguments *args, const char *text,
			 struct error *err)
{
	char *end;

	args->window_s = g_ascii_strtod(text, &end);
	if (end != text && *end == '\0' && isfinite(args->window_s) &&
	    args->window_s > 0 && args->window_s <= WINDOW_MAX_S)
		return true;
	return error_set(err, RESULT_USAGE,
			 "--window: \"%s\" is not a number of seconds above 0 "
			 "and up to %.0f",
			 text, WINDOW_MAX_S);
}

static bool operand_add(struct parse *parse, const char *text)
{
	struct arguments *args = parse->args;
	const struct command *command = parse->command;

	if (args->operand_count == command->operands_max)
		return error_set(parse->err, RESULT_USAGE,
				 "%s: \"%s\" is one argument too many",
				 command->name, text);
	args->operands[args->operand_count++] = text;
	return true;
}

static void help_print(struct parse *parse)
{
	size_t count;
	const struct command *const *commands = command_all(&count);

	parse->printed = true;
	argp_help(parse->argp, parse->ctl->out, ARGP_HELP_STD_HELP,
		  parse->program);
	if (parse->command)
		return;
	fprintf(parse->ctl->out, "\nCommands:\n");
	for (size_t i = 0; i < count; i++)
		fprintf(parse->ctl->out, "  %-12s %s\n", commands[i]->name,
			commands[i]->summary);
}

static void version_print(struct parse *parse)
{
	parse->printed = true;
	fprintf(parse->ctl->out, "jtctl %s\n", JT_VERSION);
}

static bool option_parse(struct parse *parse, int key, char *text)
{
	struct arguments *args = parse->args;

	switch (key) {
	case KEY_HELP:
		help_print(parse);
		return true;
	case KEY_VERSION:
		version_print(parse);
		return true;
	case KEY_ADMIN:
		args->admin = text;
		return true;
	case KEY_JSON:
		args->json = true;
		return true;
	case KEY_REMOTE:
		args->remote = true;
		return true;
	case KEY_BASE:
		return base_parse(args, text, parse->err);
	case KEY_AUTHOR:
		args->author = text;
		return true;
	case KEY_WINDOW:
		return window_parse(args, text, parse->err);
	case KEY_SAVE:
		args->save_file = text;
		return true;
	default:
		args->apply_file = text;
		return true;
	}
}

static error_t on_argp_key(int key, char *text, struct argp_state *state)
{
	struct parse *parse = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->err_stream = parse->ctl->err;
		state->out_stream = parse->ctl->out;
		return 0;
	case ARGP_KEY_ARG:
		if (parse->command)
			return operand_add(parse, text) ? 0 : EINVAL;
		parse->command_index = state->next - 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_ARGS:
	case ARGP_KEY_NO_ARGS:
	case ARGP_KEY_END:
	case ARGP_KEY_SUCCESS:
	case ARGP_KEY_ERROR:
	case ARGP_KEY_FINI:
		return ARGP_ERR_UNKNOWN;
	default:
		return option_parse(parse, key, text) ? 0 : EINVAL;
	}
}

/* Copies the options that the command takes, terminated by an empty one. */
static void options_select(struct argp_option *options, unsigned int bits)
{
	size_t used = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(all_options); i++) {
		if ((option_bits[i] & bits) == option_bits[i])
			options[used++] = all_options[i];
	}
	options[used] = (struct argp_option){0};
}

static bool words_parse(struct parse *parse, int argc, char **argv)
{
	const struct command *command = parse->command;
	struct argp_option options[OPTIONS_MAX];
	struct argp argp = {
		.options = options,
		.parser = on_argp_key,
		.args_doc = command ? command->args_doc : "COMMAND [ARGS...]",
		.doc = command ? command->summary
			       : "Puts files in force on a running site and "
				 "reads what it does.",
	};
	error_t failed;

	options_select(options, command ? command->options : 0);
	parse->argp = &argp;
	argv[0] = parse->program;
	failed = argp_parse(&argp, argc, argv,
			    ARGP_IN_ORDER | ARGP_NO_EXIT | ARGP_NO_HELP, NULL,
			    parse);
	if (!failed)
		return true;
	/* argp has already reported an unknown option. */
	if (parse->err->code == RESULT_OK)
		error_set(parse->err, RESULT_USAGE, "see %s --help",
			  parse->program);
	return false;
}

static bool operands_check(const struct parse *parse)
{
	const struct command *command = parse->command;

	if (parse->args->operand_count >= command->operands_min)
		return true;
	return error_set(parse->err, RESULT_USAGE, "%s: %s is missing",
			 command->name, command->args_doc);
}

static bool command_parse(struct parse *parse, int argc, char **argv)
{
	const char *name = argv[parse->command_index];

	parse->command = command_find(name);
	if (!parse->command)
		return error_set(parse->err, RESULT_USAGE,
				 "unknown command \"%s\"; see jtctl --help",
				 name);
	g_free(parse->program);
	parse->program = g_strdup_printf("jtctl %s", name);
	return words_parse(parse, argc - parse->command_index,
			   argv + parse->command_index) &&
	       (parse->printed || operands_check(parse));
}

bool arguments_parse(struct ctl *ctl, int argc, char **argv,
		     const struct command **command, struct arguments *args,
		     struct error *err)
{
	struct parse parse = {
		.ctl = ctl,
		.args = args,
		.err = err,
		.program = g_strdup("jtctl"),
	};
	bool ok = words_parse(&parse, argc, argv);

	if (ok && !parse.printed && parse.command_index == 0)
		ok = error_set(err, RESULT_USAGE,
			       "a command is missing; see jtctl --help");
	if (ok && !parse.printed)
		ok = command_parse(&parse, argc, argv);
	*command = parse.printed ? NULL : parse.command;
	g_free(parse.program);
	return ok;
}

const struct option_info *arguments_options(size_t *count)
{
	static struct option_info infos[G_N_ELEMENTS(all_options)];

	*count = G_N_ELEMENTS(all_options);
	for (size_t i = 0; i < *count; i++) {
		const struct argp_option *option = &all_options[i];

		infos[i] = (struct option_info){
			.name = option->name,
			.short_name =
				option->key < 256 && option->key != KEY_HELP
					? (char)option->key
					: 0,
			.arg = option->arg,
			.doc = option->doc,
			.bit = option_bits[i],
		};
	}
	return infos;
}
