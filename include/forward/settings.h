/*
 * settings.h - what a forwarding process is told: flags, environment, a file
 *
 * DESCRIPTION
 *	Through common/setting.h: flags go before environment variables, these
 *	before the settings file. The file may be read again while the process
 *	runs; a bad one leaves the settings as they were.
 */
#ifndef FORWARD_SETTINGS_H
#define FORWARD_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "coord/limit.h"

#define FORWARD_SEEDS_MAX 16u
#define FORWARD_CENTRES_MAX 64u

/* Where a data centre lies. */
struct centre_region {
	const char *data_centre;
	const char *region;
};

struct forward_settings {
	const char *name;
	const char *data_centre;
	const char *listen;	   /* callers, "IP:port" */
	const char *health_listen; /* the balancer */
	const char *peer_listen;   /* other instances, metrics */
	const char *platform;	   /* the platform's store */
	/* Other instances that may run, by peer_listen. */
	const char *seeds[FORWARD_SEEDS_MAX];
	uint32_t seed_count;
	struct centre_region regions[FORWARD_CENTRES_MAX];
	uint32_t region_count;
	int log_level;
	double retry_ratio;
	double retry_slack;
	double retry_window_sec;
	double grace_sec; /* from SIGTERM to SIGKILL */
	uint32_t connections_max;
	/* Servers that ended under a request, from which on it is refused. */
	uint32_t quarantine_crashes;
	const char *limits; /* name of limit_policy */
	enum limit_policy limit_policy;
};

/* Reads the file (NULL: none), the environment and argv. Exits by itself only
 * for --help and --version. */
bool forward_settings_read(struct forward_settings *settings, const char *file,
			   int argc, char **argv, struct error *err);

#endif
