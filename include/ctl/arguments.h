/*
 * arguments.h - reads the command line through argp
 */
#ifndef CTL_ARGUMENTS_H
#define CTL_ARGUMENTS_H

#include "ctl/command.h"

/* Reads what stands before and after the command's name. Sets *command to NULL
 * when help or the version was asked for and has been printed. */
bool arguments_read(struct ctl *ctl, int argc, char **argv,
		    const struct command **command, struct arguments *args,
		    struct error *err);

/* One option, for completions. */
struct option_text {
	const char *name;
	char letter; /* 0 when it has no short form */
	const char *arg;
	const char *doc;
	unsigned int bit; /* 0: all commands take it */
};

const struct option_text *arguments_options(size_t *count);

#endif
