/*
 * exit_code.h - maps result codes to exit codes
 *
 * DESCRIPTION
 *	An exit code has only eight bits, fewer than a result code needs, so
 *	several result codes share one. jtctl(1) lists them.
 */
#ifndef CTL_EXIT_CODE_H
#define CTL_EXIT_CODE_H

#include "common/error.h"

enum exit_code {
	EXIT_CODE_OK = 0,
	EXIT_CODE_DIFFERS = 1, /* diff found a difference */
	EXIT_CODE_USAGE = 2,
	EXIT_CODE_BAD_CONFIG = 3,
	EXIT_CODE_STALE_REVISION = 4,
	EXIT_CODE_IO = 5,	/* file access failed, or no daemon reached */
	EXIT_CODE_LOG_DOWN = 6, /* not applied */
	EXIT_CODE_UNKNOWN = 7,	/* may or may not have been applied */
	EXIT_CODE_NO_CONFIG = 8,
	EXIT_CODE_REFUSED = 9, /* any other refusal by the daemon */
	EXIT_CODE_DEFECT = 70,
};

enum exit_code exit_code_of(enum result_code code);

#endif
