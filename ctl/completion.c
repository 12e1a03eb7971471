#include "ctl/completion.h"

#include <string.h>

#include "ctl/arguments.h"
#include "ctl/command.h"

#define SHELLS "bash zsh fish"

static bool option_applies(const struct option_info *option,
			   const struct command *command)
{
	return (option->bit & command->options) == option->bit;
}

static bool option_is_file(const struct option_info *option)
{
	return option->arg && strcmp(option->arg, "FILE") == 0;
}

static void bash_words(FILE *out, const struct command *command)
{
	size_t count;
	const struct option_info *options = arguments_options(&count);

	fprintf(out, "\t%s) words=\"", command->name);
	for (size_t i = 0; i < count; i++) {
		if (option_applies(&options[i], command))
			fprintf(out, "%s--%s", i > 0 ? " " : "",
				options[i].name);
	}
	if (command->operand == OPERAND_SHELL)
		fprintf(out, " " SHELLS);
	fprintf(out, "\"; files=%d ;;\n", command->operand == OPERAND_FILE);
}

static void bash_print(FILE *out)
{
	size_t count;
	const struct command *const *commands = command_all(&count);

	fprintf(out, "# bash completion for jtctl; "
		     "written by \"jtctl completions bash\".\n"
		     "_jtctl() {\n"
		     "\tlocal cur=${COMP_WORDS[COMP_CWORD]} words= files=0 i\n"
		     "\tlocal command=\n"
		     "\tfor ((i = 1; i < COMP_CWORD; i++)); do\n"
		     "\t\tcase ${COMP_WORDS[i]} in\n"
		     "\t\t-a | --admin) ((i++)) ;;\n"
		     "\t\t-*) ;;\n"
		     "\t\t*) command=${COMP_WORDS[i]}; break ;;\n"
		     "\t\tesac\n"
		     "\tdone\n"
		     "\tcase $command in\n"
		     "\t'') words=\"--admin --json --help --version");
	for (size_t i = 0; i < count; i++)
		fprintf(out, " %s", commands[i]->name);
	fprintf(out, "\" ;;\n");
	for (size_t i = 0; i < count; i++)
		bash_words(out, commands[i]);
	fprintf(out, "\tesac\n"
		     "\tCOMPREPLY=($(compgen -W \"$words\" -- \"$cur\"))\n"
		     "\tif [ \"$files\" = 1 ]; then\n"
		     "\t\tCOMPREPLY+=($(compgen -f -- \"$cur\"))\n"
		     "\tfi\n"
		     "}\n"
		     "complete -o filenames -F _jtctl jtctl\n");
}

static void zsh_options(FILE *out, const struct command *command)
{
	size_t count;
	const struct option_info *options = arguments_options(&count);

	for (size_t i = 0; i < count; i++) {
		const struct option_info *option = &options[i];

		if (!option_applies(option, command))
			continue;
		fprintf(out, "\t\t\t'--%s%s[%s]", option->name,
			option->arg ? "=" : "", option->doc);
		if (option->arg)
			fprintf(out, ":%.*s:%s",
				(int)strcspn(option->arg, "[:"), option->arg,
				option_is_file(option) ? "_files" : "");
		fprintf(out, "' \\\n");
	}
	if (command->operand == OPERAND_FILE)
		fprintf(out, "\t\t\t'*:file:_files' ;;\n");
	else if (command->operand == OPERAND_SHELL)
		fprintf(out, "\t\t\t'1:shell:(" SHELLS ")' ;;\n");
	else
		fprintf(out, "\t\t\t&& return ;;\n");
}

static void zsh_print(FILE *out)
{
	size_t count;
	const struct command *const *commands = command_all(&count);

	fprintf(out, "#compdef jtctl\n"
		     "# Written by \"jtctl completions zsh\".\n"
		     "_jtctl() {\n"
		     "\tlocal -a commands\n"
		     "\tcommands=(\n");
	for (size_t i = 0; i < count; i++)
		fprintf(out, "\t\t'%s:%s'\n", commands[i]->name,
			commands[i]->summary);
	fprintf(out, "\t)\n"
		     "\tif ((CURRENT == 2)); then\n"
		     "\t\t_describe command commands\n"
		     "\t\treturn\n"
		     "\tfi\n"
		     "\tshift words\n"
		     "\t((CURRENT--))\n"
		     "\tcase ${words[1]} in\n");
	for (size_t i = 0; i < count; i++) {
		fprintf(out, "\t%s)\n\t\t_arguments \\\n", commands[i]->name);
		zsh_options(out, commands[i]);
	}
	fprintf(out, "\tesac\n"
		     "}\n"
		     "_jtctl \"$@\"\n");
}

/* Writes the names of all commands that take the option. */
static void fish_option_commands(FILE *out, const struct option_info *option)
{
	size_t count;
	const struct command *const *commands = command_all(&count);

	for (size_t i = 0; i < count; i++) {
		if (option_applies(option, commands[i]))
			fprintf(out, " %s", commands[i]->name);
	}
}

static void fish_option(FILE *out, const struct option_info *option)
{
	fprintf(out, "complete -c jtctl");
	if (option->bit) {
		fprintf(out, " -n '__fish_seen_subcommand_from");
		fish_option_commands(out, option);
		fprintf(out, "'");
	}
	fprintf(out, " -l %s", option->name);
	if (option->short_name)
		fprintf(out, " -s %c", option->short_name);
	if (option->arg)
		fprintf(out, option_is_file(option) ? " -r -F" : " -x");
	fprintf(out, " -d '%s'\n", option->doc);
}

static void fish_command(FILE *out, const struct command *command)
{
	const char *name = command->name;

	fprintf(out,
		"complete -c jtctl -n __fish_use_subcommand -a %s -d '%s'\n",
		name, command->summary);
	if (command->operand == OPERAND_FILE)
		fprintf(out,
			"complete -c jtctl -n "
			"'__fish_seen_subcommand_from %s' -F\n",
			name);
	else if (command->operand == OPERAND_SHELL)
		fprintf(out,
			"complete -c jtctl -n "
			"'__fish_seen_subcommand_from %s' -a '" SHELLS "'\n",
			name);
}

static void fish_print(FILE *out)
{
	size_t count;
	const struct command *const *commands = command_all(&count);
	const struct option_info *options;

	fprintf(out, "# Written by \"jtctl completions fish\".\n"
		     "complete -c jtctl -f\n");
	for (size_t i = 0; i < count; i++)
		fish_command(out, commands[i]);
	options = arguments_options(&count);
	for (size_t i = 0; i < count; i++)
		fish_option(out, &options[i]);
}

bool completion_print(FILE *out, const char *shell)
{
	static const struct {
		const char *shell;
		void (*print)(FILE *out);
	} printers[] = {
		{"bash", bash_print},
		{"fish", fish_print},
		{"zsh", zsh_print},
	};

	for (size_t i = 0; i < sizeof(printers) / sizeof(printers[0]); i++) {
		if (strcmp(printers[i].shell, shell) != 0)
			continue;
		printers[i].print(out);
		return true;
	}
	return false;
}
