/*
 * completion.h - completions for shells, made from the table of commands
 */
#ifndef CTL_COMPLETION_H
#define CTL_COMPLETION_H

#include <stdbool.h>
#include <stdio.h>

/* False when the shell is not known; bash, zsh and fish are. */
bool completion_print(FILE *out, const char *shell);

#endif
