/*
 * own_platform_private.h - types shared by the files of the platform adapter
 */
#ifndef ENTRY_OWN_PLATFORM_PRIVATE_H
#define ENTRY_OWN_PLATFORM_PRIVATE_H

#include "entry/own_platform.h"

struct platform_list {
	struct platform_self self;
	struct platform_list_ops ops;
	void *ctx;
	struct timer timer;
	struct web_call *read;
	struct web_call *put;
	bool started;
	bool leaving;
	bool self_current; /* this read has the up-to-date own entry */
	uint32_t skipped;  /* periods since the last read */
	int status;	   /* of the answer being received */
	GByteArray *body;
	char *etag;	 /* of the last complete read; NULL: none */
	char *next_etag; /* of the answer being received */
	int64_t listed_at;
	struct counter *reads;
	struct counter *failures;
	struct counter *malformed;
	struct counter *registrations;
	struct counter *bytes;
};

struct platform {
	struct loop *loop;
	struct clock *clock;
	struct web_client *client;
	GRand *rand;
	char *address;
	int64_t call_usec;
	int64_t list_usec;
	struct log_store store;
	GHashTable *calls; /* set of struct log_call */
	struct counter *appends;
	struct counter *appends_not_run;
	struct counter *appends_unknown;
	struct counter *log_reads;
	struct counter *log_read_failures;
	struct platform_list list;
};

void platform_log_init(struct platform *platform, struct counter_set *counters);
void platform_log_finish(struct platform *platform);
void platform_list_init(struct platform *platform,
			struct counter_set *counters);
void platform_list_finish(struct platform *platform);

#endif
