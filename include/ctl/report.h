/*
 * report.h - measures of one or more instances, in total or over a time window
 *
 * DESCRIPTION
 *	A report is the JSON of GET /measures. Counts of several instances are
 *	added up. Latency quantiles cannot be added, so each is the highest of
 *	all instances. A window is the difference of two reports and has counts
 *	only.
 */
#ifndef CTL_REPORT_H
#define CTL_REPORT_H

#include <jansson.h>

#include "ctl/ctl.h"

/* Fetches the report of every address of the list and merges them. */
json_t *report_fetch(struct ctl *ctl, const char *addresses, struct error *err);
json_t *report_load(const char *file, struct error *err);
bool report_save(const json_t *report, const char *file, struct error *err);
/* The difference of two reports of the same instances. RESULT_IO when an
 * instance was restarted in between, which resets its counts. */
json_t *report_window(const json_t *before, const json_t *after,
		      struct error *err);
/* Prints one report, or two side by side (after may be NULL). */
void report_print(FILE *out, const json_t *before, const json_t *after);
/* The row of a class, borrowed from the report; NULL when it has none. */
json_t *report_class(const json_t *report, const char *service,
		     const char *class);

#endif
