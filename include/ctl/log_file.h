/*
 * log_file.h - reads the log of a process line by line
 */
#ifndef CTL_LOG_FILE_H
#define CTL_LOG_FILE_H

#include <stdbool.h>

struct error;

typedef void (*log_line_fn)(void *ctx, const char *text);

/* Calls fn for each line of the file; text is valid until fn returns. False
 * with RESULT_IO when the file cannot be read. */
bool log_file_read(const char *file, log_line_fn fn, void *ctx,
		   struct error *err);

#endif
