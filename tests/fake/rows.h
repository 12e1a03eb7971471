/*
 * rows.h - table-driven tests
 */
#ifndef TESTS_FAKE_ROWS_H
#define TESTS_FAKE_ROWS_H

#include <glib.h>

/* Adds a test that calls fn(row) for each row. The first field of a row is its
 * name, a string; the path of the test is folder, which ends with a slash or
 * dash, and that name. */
void rows_add(const char *folder, const void *rows, size_t count, size_t size,
	      GTestDataFunc fn);
#define ROWS_ADD(folder, rows, fn)                                             \
	rows_add(folder, rows, G_N_ELEMENTS(rows), sizeof((rows)[0]), fn)

#endif
