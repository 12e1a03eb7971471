/*
 * decode.h - decoder of the platform's configuration and server entries
 *
 * DESCRIPTION
 *	Both are JSON. A document with a missing required field or an invalid
 *	value is refused as a whole with RESULT_BAD_CONFIG and the path of the
 *	field; unknown fields are ignored.
 */
#ifndef PLATFORM_DECODE_H
#define PLATFORM_DECODE_H

#include <stddef.h>

#include "common/error.h"
#include "forward/catalog.h"
#include "forward/fleet.h"

/* Returns NULL if the configuration is refused. */
struct catalog *decode_catalog(const void *data, size_t size,
			       struct error *err);
bool decode_backend(const char *id, const void *data, size_t size,
		    struct backend_info *info, struct error *err);
/* Whether an entry was written after another of the same server, by its start
 * and heartbeat. False for one without a heartbeat. */
bool decode_backend_newer(const void *before, size_t before_size,
			  const void *data, size_t size);
/* Whether an entry was written earlier than the one known before it, by a
 * server with the same start. False if one of them has no heartbeat. */
bool decode_backend_outdated(const void *before, size_t before_size,
			     const void *data, size_t size);
/* Whether the entries differ at most in the heartbeat number. */
bool decode_backend_repeats(const void *before, size_t before_size,
			    const void *data, size_t size);
/* Whether a key of the configuration stream orders the evacuation of a data
 * centre; stores its name. */
bool decode_evacuation(const char *key, char data_centre[BACKEND_TEXT_MAX]);

#endif
