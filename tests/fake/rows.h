/*
 * rows.h - a test for each row of a table
 */
#ifndef TESTS_FAKE_ROWS_H
#define TESTS_FAKE_ROWS_H

#include <glib.h>

/* Adds fn(row) for each row under folder, which ends with a slash or dash. A
 * row's first field is its name, a string. */
void rows_add(const char *folder, const void *rows, size_t count, size_t size,
	      GTestDataFunc fn);
#define ROWS_ADD(folder, rows, fn)                                             \
	rows_add(folder, rows, G_N_ELEMENTS(rows), sizeof((rows)[0]), fn)

#endif
