/*
 * stream.h - what the steps of a stream share: stream.c, stream_run.c
 */
#ifndef FORWARD_STREAM_H
#define FORWARD_STREAM_H

#include "request.h"

/* The server that its decode memory is charged to; NULL when that has left. */
struct backend *stream_decode(struct request *request);
/* The server has refused a reservation, or the run that had one. */
void stream_full(struct request *request, struct backend *backend);
/* Back to placing, or the end when there is no way left. */
void stream_retry(struct request *request, enum result_code code,
		  const char *why);
void stream_failed_log(const struct request *request, const char *step,
		       const struct backend_end *end);
/* How long a reservation is kept. */
int64_t stream_reserve_usec(const struct request *request);
/* Notes what a failed call tells about its server. */
void stream_record_failure(struct request *request, struct backend *backend,
			   const struct backend_end *end);
/* Sends the run to the server that holds the memory. */
void stream_run(struct request *request);

#endif
