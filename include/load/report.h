/*
 * report.h - reports of load runs as text, comparison, table and plot
 */
#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

struct error;

json_t *report_read(const char *file, struct error *err);
bool report_write(const char *file, const json_t *report, struct error *err);
/* Formats the report as lines of text. */
void report_print(const json_t *report, GString *out);
/* Formats two reports as a table of value before, value after, difference. */
void report_compare(const json_t *a, const json_t *b, GString *out);
/* Formats a Markdown table with a row for each label and rate, which gives the
 * medians over its reports. */
void report_table(json_t *const *reports, size_t count, GString *out);
/* Draws an SVG: lines over the rate if a label occurs in several reports, else
 * a bar for each report. */
void report_plot(json_t *const *reports, size_t count, GString *out);

#endif
