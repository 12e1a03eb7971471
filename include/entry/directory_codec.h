/*
 * directory_codec.h - messages on backend servers between instances
 *
 * DESCRIPTION
 *	MessagePack arrays on CHANNEL_DIRECTORY:
 *	[1, epoch, since]                     requests the changes after since
 *	[2, epoch, since, until, whole, age_ms, [backend...]]
 *	with backend [name, pool, data centre, address, incarnation, leaving,
 *	listed]. The epoch is the incarnation of the process that sends the
 *	update: change numbers are valid only within it. If whole is set, a
 *	server that is not named is unlisted. age_ms is the time since the
 *	sender's directory was last read from the list.
 */
#ifndef ENTRY_DIRECTORY_CODEC_H
#define ENTRY_DIRECTORY_CODEC_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/directory.h"

/* The age_ms of a directory that was never read from the list. */
#define DIRECTORY_AGE_NEVER UINT64_MAX

struct directory_request {
	uint64_t epoch; /* 0: requests the whole directory */
	uint64_t since;
};

struct directory_update {
	uint64_t epoch;
	uint64_t since;
	uint64_t until;
	bool whole;
	uint64_t age_ms;
};

void directory_request_encode(const struct directory_request *request,
			      GByteArray *out);
/* Appends the backends from the directory: those changed after since or, if
 * whole is set, all that are listed. */
void directory_update_encode(const struct directory_update *update,
			     const struct directory *directory,
			     GByteArray *out);

/* For a request directory_decode() calls request; for an update, update, then
 * backend for each entry, then end. It returns false for malformed data,
 * without a call. */
struct directory_codec_ops {
	void (*request)(void *ctx, const struct directory_request *request);
	void (*update)(void *ctx, const struct directory_update *update);
	void (*backend)(void *ctx, const struct backend *backend);
	void (*end)(void *ctx, const struct directory_update *update);
};
bool directory_decode(const void *data, size_t size,
		      const struct directory_codec_ops *ops, void *ctx);

#endif
