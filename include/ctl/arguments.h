/*
 * arguments.h - parses the command line with argp
 */
#ifndef CTL_ARGUMENTS_H
#define CTL_ARGUMENTS_H

#include "ctl/command.h"

/* Parses the arguments before and after the command's name. Sets *command to
 * NULL when help or the version was requested and has been printed. */
bool arguments_parse(struct ctl *ctl, int argc, char **argv,
		     const struct command **command, struct arguments *args,
		     struct error *err);

/* Describes one option, for shell completions. */
struct option_info {
	const char *name;
	char short_name; /* short form; 0: none */
	const char *arg;
	const char *doc;
	unsigned int bit; /* of enum option_bit; 0: all commands take it */
};

const struct option_info *arguments_options(size_t *count);

#endif
