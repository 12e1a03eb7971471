#include "ctl/command.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Sorted by name. */
static const struct command *const commands[] = {
	&command_apply,	   &command_completions, &command_diff,
	&command_explain,  &command_history,	 &command_losses,
	&command_measures, &command_policies,	 &command_show,
	&command_status,   &command_validate,	 &command_where,
};

static int compare(const void *key, const void *entry)
{
	const struct command *const *command = entry;

	return strcmp(key, (*command)->name);
}

const struct command *command_find(const char *name)
{
	const struct command *const *found =
		bsearch(name, commands, G_N_ELEMENTS(commands),
			sizeof(const struct command *), compare);

	return found ? *found : NULL;
}

const struct command *const *command_all(size_t *count)
{
	*count = G_N_ELEMENTS(commands);
	return commands;
}
