/*
 * apply.h - applies a configuration file
 */
#ifndef CTL_APPLY_H
#define CTL_APPLY_H

#include <stdint.h>

#include "ctl/ctl.h"

struct apply_result {
	uint64_t base;
	uint64_t revision;
};

/* Validates the file, sends it, and waits until the daemon has read it back
 * from the log. It is based on args->base, else on the revision in force. The
 * text of RESULT_STALE_REVISION names the author of the newer revision. */
bool apply_file(struct ctl *ctl, const struct arguments *args, const char *name,
		struct apply_result *result, struct error *err);

#endif
