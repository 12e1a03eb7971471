/*
 * settings.c - the daemon's settings
 */
#include "entry/settings.h"

#include <stddef.h>
#include <string.h>

#include <glib.h>

#include "common/setting.h"

#define FIELD(f) offsetof(struct settings, f)
#define HOUR_MSEC INT64_C(3600000)

static bool part_copy(char *to, size_t size, const char *from, size_t length)
{
	if (length >= size)
		return false;
	memcpy(to, from, length);
	to[length] = '\0';
	return true;
}

bool settings_seed_parse(struct settings_seed *seed, const char *text,
			 struct error *err)
{
	const char *first = strchr(text, '@');
	const char *second = first ? strchr(first + 1, '@') : NULL;

	if (second &&
	    part_copy(seed->name, sizeof(seed->name), text,
		      (size_t)(first - text)) &&
	    part_copy(seed->data_centre, sizeof(seed->data_centre), first + 1,
		      (size_t)(second - first - 1)) &&
	    part_copy(seed->address, sizeof(seed->address), second + 1,
		      strlen(second + 1)) &&
	    setting_name_valid(seed->name) &&
	    setting_name_valid(seed->data_centre) &&
	    setting_address_valid(seed->address, false))
		return true;
	return error_set(err, RESULT_BAD_SETTING,
			 "'%s' is not NAME@DATA_CENTRE@IP:PORT", text);
}

static bool seed_add(void *target, const char *flag, const char *text,
		     struct error *err)
{
	struct settings *settings = target;
	struct settings_seed seed;

	if (settings->seed_count == SETTINGS_SEEDS_MAX)
		return error_set(err, RESULT_BAD_SETTING, "more than %d seeds",
				 SETTINGS_SEEDS_MAX);
	if (!settings_seed_parse(&seed, text, err))
		return false;
	settings->seeds[settings->seed_count++] = text;
	return true;
}

static const struct setting table[] = {
	{"name", "JT_NAME", SETTING_NAME, FIELD(name), 0, 0, NULL, true, "NAME",
	 "this instance's name, unique in the site"},
	{"data-centre", "JT_DATA_CENTRE", SETTING_NAME, FIELD(data_centre), 0,
	 0, NULL, true, "NAME", "the data centre it runs in"},
	{"listen", "JT_LISTEN", SETTING_LISTEN, FIELD(listen), 0, 0,
	 "127.0.0.1:8080", false, "IP:PORT", "address for callers"},
	{"admin-listen", "JT_ADMIN_LISTEN", SETTING_LISTEN, FIELD(admin_listen),
	 0, 0, "127.0.0.1:8081", false, "IP:PORT",
	 "address for operators and the balancer"},
	{"peer-listen", "JT_PEER_LISTEN", SETTING_LISTEN, FIELD(peer_listen), 0,
	 0, "127.0.0.1:8082", false, "IP:PORT", "address for other instances"},
	{"platform", "JT_PLATFORM", SETTING_ADDRESS, FIELD(platform), 0, 0,
	 NULL, false, "IP:PORT", "the platform's service"},
	{"seed", "JT_SEEDS", SETTING_REPEATED, FIELD(seeds), 0, 0, NULL, false,
	 "NAME@DATA_CENTRE@IP:PORT",
	 "another instance; may be repeated (in the variable: commas)"},
	{"config-file", "JT_CONFIG_FILE", SETTING_PATH, FIELD(config_file), 0,
	 0, NULL, false, "FILE", "in force until the log or a peer gives one"},
	{"log-level", "JT_LOG_LEVEL", SETTING_LEVEL, FIELD(log_level), 0, 0,
	 "info", false, "LEVEL", "err, warning, notice, info or debug"},
	{"random-seed", "JT_RANDOM_SEED", SETTING_U32, FIELD(random_seed), 0,
	 UINT32_MAX, "0", false, "N", "0 takes one from the start time"},
	{"heartbeat-ms", "JT_HEARTBEAT_MS", SETTING_MSEC, FIELD(heartbeat_usec),
	 10, 60000, "500", false, "N", "time between heartbeats"},
	{"settle-ms", "JT_SETTLE_MS", SETTING_MSEC, FIELD(settle_usec), 10,
	 60000, "2000", false, "N",
	 "longest wait of a new home for announcements"},
	{"orphan-grace-ms", "JT_ORPHAN_GRACE_MS", SETTING_MSEC,
	 FIELD(orphan_grace_usec), 0, 60000, "2000", false, "N",
	 "how long a dead instance's streams may be resumed"},
	{"coalesce-ms", "JT_COALESCE_MS", SETTING_MSEC, FIELD(coalesce_usec), 0,
	 1000, "2", false, "N",
	 "longest delay of a message so that it shares a frame"},
	{"peer-datagrams", "JT_PEER_DATAGRAMS", SETTING_BOOL,
	 FIELD(peer_datagrams), 0, 0, "yes", false, "yes|no",
	 "small messages to other instances go as datagrams"},
	{"drain-ms", "JT_DRAIN_MS", SETTING_MSEC, FIELD(drain_usec), 0,
	 24 * HOUR_MSEC, "0", false, "N",
	 "longest graceful shutdown; 0 sets no bound"},
	{"drain-delay-ms", "JT_DRAIN_DELAY_MS", SETTING_MSEC,
	 FIELD(drain_delay_usec), 0, 60000, "500", false, "N",
	 "connections are still accepted this long after health says draining"},
	{"list-ms", "JT_LIST_MS", SETTING_MSEC, FIELD(list_usec), 10, HOUR_MSEC,
	 "1000", false, "N", "time between readings of the instance list"},
	{"log-retention-ms", "JT_LOG_RETENTION_MS", SETTING_MSEC,
	 FIELD(log_retention_usec), 1000, 366 * 24 * HOUR_MSEC, "1800000",
	 false, "N", "how long the platform's log keeps records, at least"},
	{"poll-ms", "JT_POLL_MS", SETTING_MSEC, FIELD(poll_usec), 10, HOUR_MSEC,
	 "250", false, "N", "time between readings of a runner's reports"},
	{"role-dwell-ms", "JT_ROLE_DWELL_MS", SETTING_MSEC,
	 FIELD(role_dwell_usec), 5000, HOUR_MSEC, "60000", false, "N",
	 "least time between two role changes of a cell's runners"},
	{"body-bytes-max", "JT_BODY_BYTES_MAX", SETTING_U64,
	 FIELD(body_bytes_max), 1024, INT64_C(1) << 30, "8388608", false, "N",
	 "largest request body"},
	{"connections-max", "JT_CONNECTIONS_MAX", SETTING_U32,
	 FIELD(connections_max), 1, 1000000, "10000", false, "N",
	 "connections of callers at once"},
	{"requests-max", "JT_REQUESTS_MAX", SETTING_U32, FIELD(requests_max), 1,
	 1000000, "10000", false, "N", "requests in flight at once"},
	{"replay-bytes-max", "JT_REPLAY_BYTES_MAX", SETTING_U64,
	 FIELD(replay_bytes_max), 0, INT64_C(1) << 32, "33554432", false, "N",
	 "memory for the kept answers of keyed requests"},
};

bool settings_read(struct settings *settings, int argc, char **argv,
		   struct error *err)
{
	static const struct setting_program program = {
		.name = "jtentry",
		.doc = "Routes requests to prefill, decode and plain pools.",
		.table = table,
		.count = G_N_ELEMENTS(table),
		.each = seed_add,
	};

	*settings = (struct settings){0};
	return settings_fill(&program, settings, argc, argv, err);
}
