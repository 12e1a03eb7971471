/*
 * file.h - reads and validates a configuration file
 */
#ifndef CTL_FILE_H
#define CTL_FILE_H

#include <stdbool.h>
#include <stddef.h>

#include "common/error.h"

struct config;

struct file {
	char *data;
	size_t size;
	struct config *config;
};

/* Makes the checks of a daemon: syntax, semantics, the policy and its
 * parameters. Nothing needs to be freed after a failure. */
bool file_read(struct file *file, const char *name, struct error *err);
void file_clear(struct file *file);

#endif
