/*
 * print.h - aligned columns, times and JSON on a stream
 */
#ifndef CTL_PRINT_H
#define CTL_PRINT_H

#include <jansson.h>
#include <stdint.h>
#include <stdio.h>

struct columns;

struct columns *columns_create(unsigned int column_count);
/* Adds a row of column_count strings. They are copied. */
#define columns_add(columns, ...)                                              \
	columns_add_row(columns, (const char *const[]){__VA_ARGS__})
void columns_add_row(struct columns *columns, const char *const *row);
/* Prints all rows, two spaces between columns, and frees the columns. */
void columns_print(struct columns *columns, FILE *out);

/* A copy with '?' for each control character, which could otherwise send
 * commands to the terminal. */
char *print_safe(const char *text);
/* Formats microseconds since 1970 as "2026-01-31T12:00:00Z". */
char *print_time(int64_t unix_us);
/* Prints one JSON value, indented, and a newline. */
void print_json(FILE *out, const json_t *json);

#endif
