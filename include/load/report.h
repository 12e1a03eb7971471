/*
 * report.h - reports of load runs: text, side by side, and as a picture
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
/* The report as lines of text. */
void report_print(const json_t *report, GString *out);
/* A table of two reports: value before, value after, difference. */
void report_compare(const json_t *a, const json_t *b, GString *out);
/* A Markdown table: a row for each label and rate, medians over its reports. */
void report_table(json_t *const *reports, size_t count, GString *out);
/* An SVG: lines over the rate when reports of one label differ in it, else a
 * bar for each report. */
void report_plot(json_t *const *reports, size_t count, GString *out);

#endif
