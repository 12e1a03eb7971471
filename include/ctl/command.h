/*
 * command.h - interface of a sub-command
 *
 * DESCRIPTION
 *	Each sub-command has its own file, ctl/command_NAME.c, that defines one
 *	struct command; ctl/command.c lists them sorted by name. run() returns
 *	false with err set when it fails, possibly after some output.
 */
#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

#include <stddef.h>

#include "ctl/ctl.h"

/* Options of single sub-commands, in addition to the common ones. */
enum option_bit {
	OPTION_REMOTE = 1 << 0,
	OPTION_BASE = 1 << 1,
	OPTION_AUTHOR = 1 << 2,
	OPTION_WINDOW = 1 << 3,
	OPTION_SAVE = 1 << 4,
	OPTION_APPLY = 1 << 5,
};

enum operand_kind {
	OPERAND_NONE,
	OPERAND_FILE,
	OPERAND_SHELL,
};

struct command {
	const char *name;
	const char *summary;
	const char *args_doc;
	unsigned int options; /* of enum option_bit */
	enum operand_kind operand;
	unsigned int operands_min;
	unsigned int operands_max;
	bool (*run)(struct ctl *ctl, const struct arguments *args,
		    struct error *err);
};

extern const struct command command_apply;
extern const struct command command_completions;
extern const struct command command_diff;
extern const struct command command_explain;
extern const struct command command_losses;
extern const struct command command_history;
extern const struct command command_measures;
extern const struct command command_policies;
extern const struct command command_show;
extern const struct command command_status;
extern const struct command command_validate;
extern const struct command command_where;

/* NULL when no command has that name. */
const struct command *command_find(const char *name);
/* All commands, sorted by name. */
const struct command *const *command_all(size_t *count);

#endif
