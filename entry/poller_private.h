/*
 * poller_private.h - types shared by the files of the poller
 */
#ifndef ENTRY_POLLER_PRIVATE_H
#define ENTRY_POLLER_PRIVATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counter.h"
#include "config/config.h"
#include "web/client.h"

/* Interval at which homes are checked when no change is signalled. */
#define REFRESH_INTERVAL_USEC (1 * USEC_PER_SEC)

struct entry;
struct target;

enum report {
	REPORT_LOAD,
	REPORT_STREAMS,
	REPORT_EVENTS,
	REPORT_COUNT,
};

struct report_call {
	struct target *target;
	struct web_call *call;
};

struct target {
	struct poller *poller;
	uint64_t id;
	enum pool_role role;
	bool wanted;
	struct timer timer;
	struct report_call calls[REPORT_COUNT];
	uint64_t events_offset; /* of the next cache event to fetch */
};

struct poller {
	struct entry *entry;
	GHashTable *targets; /* id -> struct target */
	struct timer refresh;
	struct counter *polled;
	struct counter *reads;
	struct counter *failures;
	struct counter *gaps;
};

/* Fetches all reports of the target. */
void target_poll(struct target *target);

#endif
