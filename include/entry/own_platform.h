/*
 * own_platform.h - the adapter towards the platform: log service and instance
 *list
 *
 * DESCRIPTION
 *	Spoken as in docs/PROTOCOLS.md, which is this project's own interface;
 *	the users' platform is met by platform/. To meet yet another one in this
 *	daemon, replace the files entry/own_platform*.c.
 *
 *	The log store tells apart what surely was not appended (RESULT_LOG_DOWN:
 *	429, 503, other 4xx, or no byte was written) from what may have been
 *	(RESULT_LOG_UNKNOWN: anything else that is no 200 with an offset).
 *	Nothing is sent again by the adapter.
 *
 *	A list that the platform says is unchanged (ETag, 304) counts as read.
 *
 *	Without an address every log call answers RESULT_LOG_DOWN in a later
 *	turn, and nothing is listed.
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
	int64_t call_usec;   /* time to an answer; default 2 s */
	int64_t list_usec;   /* between readings of the list; default 1 s */
	uint32_t seed;
};

struct platform *platform_create(struct loop *loop, struct web_client *client,
				 struct counter_set *counters,
				 const struct platform_settings *settings);
/* Ends all calls; their callbacks do not run. */
void platform_destroy(struct platform *platform);
const struct log_store *platform_log(const struct platform *platform);

/* How an append ended, by the result and the answer's status (0: none) and
 * whether the answer's body held an offset. */
enum result_code platform_append_code(const struct web_result *result,
				      int status, bool offset);

/* What the list holds, as read. */
struct platform_list_ops {
	void (*member)(void *ctx, const struct member *member);
	void (*backend)(void *ctx, const struct backend *backend);
	/* All of one reading was given. */
	void (*read_complete)(void *ctx);
	/* The list is to be read once in so many periods; NULL: each time. */
	uint32_t (*periods_per_read)(void *ctx);
};

/* The own entry in the list. */
struct platform_self {
	const char *name;
	const char *data_centre;
	const char *address;
	const char *peer_address;
	const char *admin_address;
	uint64_t incarnation;
};

/* Registers the own instance and reads the list from now on; the strings must
 * live until platform_list_stop(). It is registered again whenever the list
 * shows it otherwise than it is. */
void platform_list_start(struct platform *platform,
			 const struct platform_self *self,
			 const struct platform_list_ops *ops, void *ctx);
void platform_list_stop(struct platform *platform);
/* Marks the own instance as leaving. */
void platform_leave(struct platform *platform);
/* Clock time of the last whole reading, or -1. */
int64_t platform_listed_at(const struct platform *platform);

#endif
