#include <stdio.h>
#include <string.h>

#include "load/command.h"

static const struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} commands[] = {
	{"run", command_run, "send calls and check every answer"},
	{"compare", command_compare, "put two reports side by side"},
	{"table", command_table, "medians of many reports, as Markdown"},
	{"plot", command_plot, "draw reports as an SVG"},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void usage_print(FILE *out)
{
	fputs("usage: jtload COMMAND [--help | OPTION...]\n", out);
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].help);
}

int main(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], "--help") == 0) {
		usage_print(stdout);
		return 0;
	}
	if (argc > 1 && strcmp(argv[1], "--version") == 0) {
		puts("jtload " JT_VERSION);
		return 0;
	}
	for (size_t i = 0; argc > 1 && i < COMMAND_COUNT; i++)
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	usage_print(stderr);
	return 2;
}
