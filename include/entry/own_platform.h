/*
 * own_platform.h - platform adapter: log service and instance list
 *
 * DESCRIPTION
 *	Implements this project's own platform interface, which
 *	docs/PROTOCOLS.md specifies. The adapter for the users' platform is in
 *	platform/. To support another platform in this daemon, replace the files
 *	entry/own_platform*.c.
 *
 *	The log store distinguishes records that were certainly not appended
 *	(RESULT_LOG_DOWN: 429, 503, other 4xx, or no byte was written) from
 *	records that may have been (RESULT_LOG_UNKNOWN: any other outcome except
 *	a 200 with an offset). The adapter does not retry.
 *
 *	A list that the platform reports as unchanged (ETag, 304) counts as
 *	read.
 *
 *	Without an address every log call answers RESULT_LOG_DOWN in a later
 *	loop iteration, and no list is read.
 */
#ifndef ENTRY_OWN_PLATFORM_H
#define ENTRY_OWN_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"
#include "coord/log_store.h"
#include "coord/member.h"
#include "entry/directory.h"
#include "web/client.h"
#include "web/loop.h"

struct platform;

#define PLATFORM_RECORD_MAX (512u << 10)

/* Times in microseconds; 0 takes the default. */
struct platform_settings {
	const char *address; /* may be NULL */
	int64_t call_usec;   /* answer timeout; default 2 s */
	int64_t list_usec;   /* between reads of the list; default 1 s */
	uint32_t seed;
};

struct platform *platform_create(struct loop *loop, struct web_client *client,
				 struct counter_set *counters,
				 const struct platform_settings *settings);
/* Ends all calls; their callbacks do not run. */
void platform_destroy(struct platform *platform);
const struct log_store *platform_log(const struct platform *platform);

/* The outcome of an append from the call's result, the answer's status (0: no
 * answer) and whether its body held an offset. */
enum result_code platform_append_code(const struct web_result *result,
				      int status, bool offset);

/* Receives the entries of the list as it is read. */
struct platform_list_ops {
	void (*member)(void *ctx, const struct member *member);
	void (*backend)(void *ctx, const struct backend *backend);
	/* All entries of one read were passed. */
	void (*read_complete)(void *ctx);
	/* The list is read once in this many periods; NULL: in each. */
	uint32_t (*periods_per_read)(void *ctx);
};

/* The list entry of this instance. */
struct platform_self {
	const char *name;
	const char *data_centre;
	const char *address;
	const char *peer_address;
	const char *admin_address;
	uint64_t incarnation;
};

/* Registers this instance and starts to read the list periodically. The strings
 * must live until platform_list_stop(). The instance is registered again when
 * its entry is missing from the list or out of date. */
void platform_list_start(struct platform *platform,
			 const struct platform_self *self,
			 const struct platform_list_ops *ops, void *ctx);
void platform_list_stop(struct platform *platform);
/* Registers this instance as leaving. */
void platform_leave(struct platform *platform);
/* Clock time of the last complete read, or -1. */
int64_t platform_listed_at(const struct platform *platform);

#endif
