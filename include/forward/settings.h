/*
 * settings.h - what a forwarding process is told: flags, environment, a file
 *
 * DESCRIPTION
 *	Each setting has a flag (--data-centre), an environment variable
 *	(JT_DATA_CENTRE) and a line of the settings file (data-centre=...);
 *flags go before variables, these before the file. Every value is checked; a
 *bad one is refused with RESULT_BAD_SETTING, and the error names the file and
 *	line, variable or flag. Empty values of the file count as not given, and
 *	names that are not known are passed over with a log line, so that a
 *newer file can be read.
 *
 *	The file may be read again while the process runs; a bad one leaves the
 *	settings as they were.
 */
#ifndef FORWARD_SETTINGS_H
#define FORWARD_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"

#define FORWARD_TEXT_MAX 128

struct forward_settings {
	char name[FORWARD_TEXT_MAX];
	char data_centre[FORWARD_TEXT_MAX];
	char listen[FORWARD_TEXT_MAX];	      /* callers, "IP:port" */
	char health_listen[FORWARD_TEXT_MAX]; /* the balancer */
	char peer_listen[FORWARD_TEXT_MAX];   /* other instances, metrics */
	char platform[FORWARD_TEXT_MAX];      /* the platform's store */
	int log_level;
	double retry_ratio;
	double retry_slack;
	double retry_window_sec;
	double grace_sec; /* from SIGTERM to SIGKILL */
	uint32_t connections_max;
};

/* Reads the file (NULL: none), the environment and argv. Exits by itself only
 * for --help and --version. */
bool forward_settings_read(struct forward_settings *settings, const char *file,
			   int argc, char **argv, struct error *err);

#endif
