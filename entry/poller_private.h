/*
 * poller_private.h - what the poller's two files share
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

/* How often homes are looked at anew when nothing tells of a change. */
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
	uint64_t events_offset;
};

struct poller {
	struct entry *entry;
	GHashTable *targets; /* id to struct target */
	struct timer refresh;
	struct counter *polled;
	struct counter *reads;
	struct counter *failures;
	struct counter *gaps;
};

/* Asks for all reports of the target. */
void target_poll(struct target *target);

#endif
