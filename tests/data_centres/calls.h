/*
 * calls.h - the interface between calls.c and site.c
 */
#ifndef TESTS_DATA_CENTRES_CALLS_H
#define TESTS_DATA_CENTRES_CALLS_H

#include "site.h"

/* calls.c: requests at the instances. */
extern const struct ledger_ops calls_ops;
/* Submits the job at its present instance. */
void calls_submit(struct job *job);

/* site.c: instances, runners and the link. */
extern const char *const site_names[CENTRES_MAX];
int64_t site_delay(const struct site *site, int from, int to);
/* Submits the job after the delay. */
void site_submit_after(struct site *site, struct job *job, int64_t delay);

#endif
