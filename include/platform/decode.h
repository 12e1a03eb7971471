/*
 * decode.h - the platform's configuration and list entries as our types
 *
 * DESCRIPTION
 *	Both are JSON. A document that lacks something needed, or has a value
 *	that makes no sense, is refused as a whole with RESULT_BAD_CONFIG and
 *	the path of the field; fields that are not known are passed over.
 */
#ifndef PLATFORM_DECODE_H
#define PLATFORM_DECODE_H

#include <stddef.h>

#include "common/error.h"
#include "forward/catalog.h"
#include "forward/fleet.h"

/* NULL when it is refused. */
struct catalog *decode_catalog(const void *data, size_t size,
			       struct error *err);
bool decode_backend(const char *id, const void *data, size_t size,
		    struct backend_info *info, struct error *err);
/* Whether both entries are the same but for the number of the heartbeat. */
bool decode_backend_repeats(const void *before, size_t before_size,
			    const void *data, size_t size);
/* Whether the key, beside that of the configuration, evacuates a data centre;
 * and which. */
bool decode_evacuation(const char *key, char data_centre[BACKEND_TEXT_MAX]);

#endif
