/*
 * report.h - the measures of one or more instances, and of a window of time
 *
 * DESCRIPTION
 *	A report is the JSON of GET /measures. Reports of several instances are
 *	added up; of latencies, which cannot be added, the worst instance's
 *	stands. A window is the difference of two reports and has counts only.
 */
#ifndef CTL_REPORT_H
#define CTL_REPORT_H

#include <jansson.h>

#include "ctl/ctl.h"

/* Asks every address of the list and adds the answers up. */
json_t *report_fetch(struct ctl *ctl, const char *addresses, struct error *err);
json_t *report_load(const char *file, struct error *err);
bool report_save(const json_t *report, const char *file, struct error *err);
/* What happened between two reports of the same instances. RESULT_IO when an
 * instance was started anew in between. */
json_t *report_window(const json_t *before, const json_t *after,
		      struct error *err);
/* One report, or two side by side (after may be NULL). */
void report_print(FILE *out, const json_t *before, const json_t *after);
json_t *report_class(const json_t *report, const char *service,
		     const char *class);

#endif
