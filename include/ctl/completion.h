/*
 * completion.h - generates shell completions from the table of commands
 */
#ifndef CTL_COMPLETION_H
#define CTL_COMPLETION_H

#include <stdbool.h>
#include <stdio.h>

/* False when the shell is not bash, zsh or fish. */
bool completion_print(FILE *out, const char *shell);

#endif
