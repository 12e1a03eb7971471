/*
 * stream.h - functions shared by stream.c and stream_run.c
 */
#ifndef FORWARD_STREAM_H
#define FORWARD_STREAM_H

#include "request.h"

/* The server that the decode memory is charged to; NULL when it is no longer
 * listed. */
struct backend *stream_decode(struct request *request);
/* Records that the server refused a reservation, or a run that had one. */
void stream_record_full(struct request *request, struct backend *backend);
/* Returns the request to the waiting queue, or ends it if it may not be
 * retried.
 */
void stream_retry(struct request *request, enum result_code code,
		  const char *why);
void stream_failed_log(const struct request *request, const char *step,
		       const struct backend_end *end);
/* Lifetime of a reservation. */
int64_t stream_reserve_usec(const struct request *request);
/* Records a failed call in the state of its server. */
void stream_record_failure(struct request *request, struct backend *backend,
			   const struct backend_end *end);
/* Sends the run to the server where memory is reserved. */
void stream_run(struct request *request);

#endif
