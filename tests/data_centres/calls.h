/*
 * calls.h - what the two halves of the site call of each other
 */
#ifndef TESTS_DATA_CENTRES_CALLS_H
#define TESTS_DATA_CENTRES_CALLS_H

#include "site.h"

/* calls.c: requests at the instances. */
extern const struct ledger_ops calls_ops;
/* Asks for the job at the instance where it is. */
void calls_submit(struct job *job);

/* site.c: instances, runners and the link. */
extern const char *const site_names[CENTRES_MAX];
int64_t site_delay(const struct site *site, int from, int to);
/* Has the job asked for after a while. */
void site_arrives(struct site *site, struct job *job, int64_t delay);

#endif
