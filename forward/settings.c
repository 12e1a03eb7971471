/*
 * settings.c - table of the forwarding process's settings
 */
#include "forward/settings.h"

#include <stddef.h>
#include <string.h>

#include <glib.h>

#include "common/setting.h"
#include "coord/quarantine.h"

#define FIELD(f) offsetof(struct forward_settings, f)

static const struct setting table[] = {
	{"name", "JT_NAME", SETTING_NAME, FIELD(name), 0, 0, NULL, true, "NAME",
	 "this instance's name, unique in the site"},
	{"data-centre", "JT_DATA_CENTRE", SETTING_NAME, FIELD(data_centre), 0,
	 0, NULL, true, "NAME", "the data centre it runs in"},
	{"listen", "JT_LISTEN", SETTING_LISTEN, FIELD(listen), 0, 0, NULL, true,
	 "IP:PORT", "address for callers"},
	{"health-listen", "JT_HEALTH_LISTEN", SETTING_LISTEN,
	 FIELD(health_listen), 0, 0, NULL, true, "IP:PORT",
	 "address for the balancer's health checks"},
	{"peer-listen", "JT_PEER_LISTEN", SETTING_LISTEN, FIELD(peer_listen), 0,
	 0, NULL, true, "IP:PORT",
	 "address for other instances (TCP and UDP) and for metrics"},
	{"platform", "JT_PLATFORM", SETTING_ADDRESS, FIELD(platform), 0, 0,
	 NULL, true, "IP:PORT", "the platform's store"},
	{"seed", "JT_SEEDS", SETTING_REPEATED, FIELD(seeds), 0, 0, NULL, false,
	 "IP:PORT",
	 "peer-listen of another instance, for discovery without the "
	 "platform's store; may be repeated"},
	{"region", "JT_REGIONS", SETTING_REPEATED, FIELD(regions), 0, 0, NULL,
	 false, "DATA-CENTRE:REGION",
	 "the region of a data centre; may be repeated"},
	{"log-level", "JT_LOG_LEVEL", SETTING_LEVEL, FIELD(log_level), 0, 0,
	 "info", false, "LEVEL", "err, warning, notice, info or debug"},
	{"retry-ratio", "JT_RETRY_RATIO", SETTING_REAL, FIELD(retry_ratio), 0,
	 1, "0.2", false, "X",
	 "retries of all instances, as a fraction of requests"},
	{"retry-slack", "JT_RETRY_SLACK", SETTING_REAL, FIELD(retry_slack), 0,
	 1e6, "10", false, "N",
	 "retries of all instances beyond that fraction"},
	{"retry-window-s", "JT_RETRY_WINDOW_S", SETTING_REAL,
	 FIELD(retry_window_sec), 0.1, 3600, "10", false, "S",
	 "time over which retries are counted, in seconds"},
	{"grace-s", "JT_GRACE_S", SETTING_REAL, FIELD(grace_sec), 1, 86400, "8",
	 false, "S", "longest graceful shutdown, in seconds"},
	{"connections-max", "JT_CONNECTIONS_MAX", SETTING_U32,
	 FIELD(connections_max), 1, 1000000, "1500", false, "N",
	 "concurrent connections of callers"},
	/* 3 is the least number at which no harmless request is refused, see
	 * coord/quarantine.h. */
	{"quarantine-ends", "JT_QUARANTINE_ENDS", SETTING_U32,
	 FIELD(quarantine_crashes), 2, QUARANTINE_CRASHES_MAX, "3", false, "N",
	 "crashed servers after which a request is refused"},
	{"heartbeat-ms", "JT_HEARTBEAT_MS", SETTING_MSEC, FIELD(heartbeat_usec),
	 10, 600000, "1200", false, "MS",
	 "how often backend servers renew their entries in the list"},
	{"limits", "JT_LIMITS", SETTING_NAME, FIELD(limits), 0, 0, "counts",
	 false, "POLICY",
	 "how instances share allotments: counts, demand or equal"},
	{"plain-queue", "JT_PLAIN_QUEUE", SETTING_NAME, FIELD(plain_queue_name),
	 0, 0, "auto", false, "WHEN",
	 "one queue for the plain calls of a service: off, on or auto"},
};

static bool plain_queue_find(const char *name, enum plain_queue *queue)
{
	static const char *const names[] = {
		[PLAIN_QUEUE_OFF] = "off",
		[PLAIN_QUEUE_ON] = "on",
		[PLAIN_QUEUE_AUTO] = "auto",
	};

	for (unsigned int i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(name, names[i]) != 0)
			continue;
		*queue = (enum plain_queue)i;
		return true;
	}
	return false;
}

static bool seed_add(struct forward_settings *settings, const char *text,
		     struct error *err)
{
	if (!setting_address_valid(text, false))
		return error_set(err, RESULT_BAD_SETTING, "'%s' is not IP:PORT",
				 text);
	if (settings->seed_count >= FORWARD_SEEDS_MAX)
		return error_set(err, RESULT_BAD_SETTING, "more than %u seeds",
				 FORWARD_SEEDS_MAX);
	settings->seeds[settings->seed_count++] = text;
	return true;
}

static bool region_add(struct forward_settings *settings, const char *text,
		       struct error *err)
{
	g_auto(GStrv) parts = g_strsplit(text, ":", -1);
	struct centre_region *region;

	if (g_strv_length(parts) != 2 || !setting_name_valid(parts[0]) ||
	    !setting_name_valid(parts[1]))
		return error_set(err, RESULT_BAD_SETTING,
				 "'%s' is not DATA-CENTRE:REGION", text);
	if (settings->region_count >= FORWARD_CENTRES_MAX)
		return error_set(err, RESULT_BAD_SETTING,
				 "more than %u regions", FORWARD_CENTRES_MAX);
	region = &settings->regions[settings->region_count++];
	region->data_centre = g_intern_string(parts[0]);
	region->region = g_intern_string(parts[1]);
	return true;
}

static bool repeated_add(void *target, const char *flag, const char *text,
			 struct error *err)
{
	if (strcmp(flag, "region") == 0)
		return region_add(target, text, err);
	return seed_add(target, text, err);
}

bool forward_settings_read(struct forward_settings *settings, const char *file,
			   int argc, char **argv, struct error *err)
{
	const struct setting_program program = {
		.name = "jtforward",
		.doc = "Forwards requests to backend servers as they came.",
		.file = file,
		.table = table,
		.count = G_N_ELEMENTS(table),
		.each = repeated_add,
	};
	struct forward_settings fresh = {0};

	if (!settings_fill(&program, &fresh, argc, argv, err))
		return false;
	if (!limit_policy_find(fresh.limits, &fresh.limit_policy))
		return error_set(err, RESULT_BAD_SETTING,
				 "limits: '%s' is not counts, demand or equal",
				 fresh.limits);
	if (!plain_queue_find(fresh.plain_queue_name, &fresh.plain_queue))
		return error_set(err, RESULT_BAD_SETTING,
				 "plain-queue: '%s' is not off, on or auto",
				 fresh.plain_queue_name);
	*settings = fresh;
	return true;
}
