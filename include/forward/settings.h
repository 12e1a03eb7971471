/*
 * settings.h - settings of a forwarding process: flags, environment and file
 *
 * DESCRIPTION
 *	Read with common/setting.h: flags override environment variables, which
 *	override the settings file. The file may be read again while the process
 *	runs; an invalid one leaves the settings unchanged.
 */
#ifndef FORWARD_SETTINGS_H
#define FORWARD_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "coord/limit.h"
#include "forward/calls.h"

#define FORWARD_SEEDS_MAX 16u
#define FORWARD_CENTRES_MAX 64u

/* The region of a data centre. */
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
	/* Other instances' peer_listen, contacted at the start. */
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
	/* Crashed servers after which a request is refused. */
	uint32_t quarantine_crashes;
	int64_t heartbeat_usec; /* of backend servers, in the list */
	const char *limits;	/* name of limit_policy */
	enum limit_policy limit_policy;
	const char *plain_queue_name; /* off, on or auto */
	enum plain_queue plain_queue;
};

/* Reads the file (NULL: none), the environment and argv. Exits the process only
 * for --help and --version. */
bool forward_settings_read(struct forward_settings *settings, const char *file,
			   int argc, char **argv, struct error *err);

#endif
