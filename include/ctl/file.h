/*
 * file.h - an operators' file that was read and checked
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

/* Checks what a daemon checks, too: shape, meaning, the policy and its
 * parameters. Nothing is left to free when it fails. */
bool file_read(struct file *file, const char *name, struct error *err);
void file_clear(struct file *file);

#endif
