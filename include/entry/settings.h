/*
 * settings.h - settings of the daemon, from flags and the environment
 *
 * DESCRIPTION
 *	Each setting has a flag (--data-centre) and an environment variable
 *	(JT_DATA_CENTRE). The flag takes precedence. Every value is checked at
 *	the start, and a bad one is refused with RESULT_BAD_SETTING and the
 *	setting's name.
 *	Flags give times in milliseconds; the fields hold microseconds.
 */
#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"

#define SETTINGS_SEEDS_MAX 16

struct settings {
	const char *name; /* name of this instance, unique in the site */
	const char *data_centre;
	const char *listen;	  /* for callers, "IP:port"; port 0: any */
	const char *admin_listen; /* for operators and the load balancer */
	const char *peer_listen;
	const char *platform; /* address of the platform's service */
	const char *seeds[SETTINGS_SEEDS_MAX]; /* "NAME@DATA_CENTRE@IP:port" */
	unsigned int seed_count;
	const char *config_file; /* used until the log supplies one; optional */
	int log_level;
	uint32_t random_seed; /* 0: taken from the start time */
	int64_t heartbeat_usec;
	int64_t settle_usec;
	int64_t orphan_grace_usec;
	int64_t coalesce_usec;
	bool peer_datagrams;
	int64_t drain_usec;	    /* longest graceful shutdown; 0: no bound */
	int64_t drain_delay_usec;   /* announcement until accepting stops */
	int64_t list_usec;	    /* between reads of the platform's list */
	int64_t log_retention_usec; /* least retention of the platform's log */
	int64_t role_dwell_usec;    /* between two role changes of a cell */
	int64_t poll_usec;	    /* between polls of a runner's reports */
	uint64_t body_bytes_max;
	uint32_t connections_max;
	uint32_t requests_max;	   /* limit on requests in flight */
	uint64_t replay_bytes_max; /* for kept answers of keyed requests */
};

/* Reads the environment and argv. Exits the process only for --help and
 * --version. The strings in settings point into argv or the environment, or
 * have static lifetime. */
bool settings_read(struct settings *settings, int argc, char **argv,
		   struct error *err);

/* The three parts of a seed "NAME@DATA_CENTRE@IP:port". */
struct settings_seed {
	char name[64];
	char data_centre[64];
	char address[64];
};
bool settings_seed_parse(struct settings_seed *seed, const char *text,
			 struct error *err);

#endif
