/*
 * ctl.h - the operator's command line as a function
 *
 * DESCRIPTION
 *	ctl_run() performs one invocation of jtctl, for main() and for tests: it
 *	finds the sub-command by name, parses its arguments, runs it on the
 *	given loop and writes to the given streams. It returns the exit code
 *	(include/ctl/exit_code.h).
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "common/error.h"

#define CTL_ADMIN_DEFAULT "127.0.0.1:8081"
/* A request id and 400 logs; a site has up to 360 instances. */
#define CTL_OPERANDS_MAX 401

struct loop;
struct web_client;

struct ctl {
	struct loop *loop;
	struct web_client *client;
	FILE *out;
	FILE *err;
	/* From the environment; NULL: not set. */
	const char *admin;
	const char *author;
	int exit_code; /* returned when the command ends without an error */
};

/* The parsed command line. Strings belong to argv. */
struct arguments {
	const char *admin; /* "IP:port", several separated by commas */
	const char *author;
	const char *operands[CTL_OPERANDS_MAX];
	unsigned int operand_count;
	bool json;
	bool remote;
	bool has_base;
	uint64_t base;
	double window_s; /* 0: none */
	const char *save_file;
	const char *apply_file;
};

int ctl_run(struct ctl *ctl, int argc, char **argv);

#endif
