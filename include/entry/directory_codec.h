/*
 * directory_codec.h - what instances tell each other of backend servers
 *
 * DESCRIPTION
 *	MessagePack arrays on CHANNEL_DIRECTORY:
 *	[1, epoch, since]                     asks for the changes since
 *	[2, epoch, since, until, whole, age_ms, [backend...]]
 *	with backend [name, pool, data centre, address, incarnation, leaving,
 *	listed]. The epoch is the answering process's incarnation: numbers of
 *	changes mean nothing beyond it. whole: what is not named is unlisted.
 *	age_ms tells how old the teller's own reading of the list is.
 */
#ifndef ENTRY_DIRECTORY_CODEC_H
#define ENTRY_DIRECTORY_CODEC_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/directory.h"

/* An age that says: never read. */
#define DIRECTORY_AGE_NEVER UINT64_MAX

struct directory_request {
	uint64_t epoch; /* 0: all is wanted */
	uint64_t since;
};

struct directory_update {
	uint64_t epoch;
	uint64_t since;
	uint64_t until;
	bool whole;
	uint64_t age_ms;
};

void directory_request_encode(const struct directory_request *ask,
			      GByteArray *out);
/* Takes the backends from the directory itself: those changed since, or all
 * that are listed when whole. */
void directory_update_encode(const struct directory_update *news,
			     const struct directory *directory,
			     GByteArray *out);

/* Calls ask, or news, backend for each, and end. False with nothing called when
 * the bytes are neither. */
struct directory_codec_ops {
	void (*ask)(void *ctx, const struct directory_request *ask);
	void (*news)(void *ctx, const struct directory_update *news);
	void (*backend)(void *ctx, const struct backend *backend);
	void (*end)(void *ctx, const struct directory_update *news);
};
bool directory_decode(const void *data, size_t size,
		      const struct directory_codec_ops *ops, void *ctx);

#endif
