/*
 * own_platform.c - creates the platform adapter from its log and list parts
 */
#include "entry/own_platform.h"

#include "own_platform_private.h"

#define CALL_TIMEOUT_DEFAULT_USEC (2 * USEC_PER_SEC)
#define LIST_INTERVAL_DEFAULT_USEC (1 * USEC_PER_SEC)

struct platform *platform_create(struct loop *loop, struct web_client *client,
				 struct counter_set *counters,
				 const struct platform_settings *settings)
{
	struct platform *platform = g_new0(struct platform, 1);

	platform->loop = loop;
	platform->clock = loop_clock(loop);
	platform->client = client;
	platform->rand = g_rand_new_with_seed(settings->seed);
	platform->address = g_strdup(settings->address);
	platform->call_usec = settings->call_usec ? settings->call_usec
						  : CALL_TIMEOUT_DEFAULT_USEC;
	platform->list_usec = settings->list_usec ? settings->list_usec
						  : LIST_INTERVAL_DEFAULT_USEC;
	platform_log_init(platform, counters);
	platform_list_init(platform, counters);
	return platform;
}

void platform_destroy(struct platform *platform)
{
	if (!platform)
		return;
	platform_list_finish(platform);
	platform_log_finish(platform);
	g_rand_free(platform->rand);
	g_free(platform->address);
	g_free(platform);
}

const struct log_store *platform_log(const struct platform *platform)
{
	return &platform->store;
}
