/*
 * apply.h - puts a file in force and waits until it was read back
 */
#ifndef CTL_APPLY_H
#define CTL_APPLY_H

#include <stdint.h>

#include "ctl/ctl.h"

struct apply_result {
	uint64_t base;
	uint64_t revision;
};

/* Checks the file here first. Based on args->base, else on the revision in
 * force. RESULT_STALE_REVISION says who changed it meanwhile. */
bool apply_file(struct ctl *ctl, const struct arguments *args, const char *name,
		struct apply_result *result, struct error *err);

#endif
