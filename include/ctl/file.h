/*
 * file.h - reads and validates a configuration file
 */
#ifndef CTL_FILE_H
#define CTL_FILE_H

#include <stdbool.h>
#include <stddef.h>

#include "common/error.h"

struct config;

struct config_file {
	char *data;
	size_t size;
	struct config *config;
};

/* Makes the checks of a daemon: syntax, semantics, the policy and its
 * parameters. Nothing needs to be freed after a failure. */
bool config_file_read(struct config_file *file, const char *name,
		      struct error *err);
void config_file_clear(struct config_file *file);

#endif
