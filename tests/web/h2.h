/* An HTTP/2 client on nghttp2 that runs together with the world's loop. */
#ifndef TESTS_WEB_H2_H
#define TESTS_WEB_H2_H

#include <nghttp2/nghttp2.h>

#include "world.h"

struct h2 {
	nghttp2_session *session;
	int fd;
	int goaway;
	int status;    /* of the last answer */
	int closed;    /* streams closed */
	uint32_t code; /* error code of the last closed stream */
	GString *body;
};

struct h2 *h2_create(int fd);
/* Also closes the socket. */
void h2_destroy(struct h2 *h2);
/* Sends a request with a body of size '0' characters; returns the stream. */
int32_t h2_request(struct h2 *h2, const char *method, const char *path,
		   size_t size);
void h2_reset(struct h2 *h2, int32_t stream);
/* Sends what is pending without running the loop. */
void h2_send(struct h2 *h2);
/* Sends, receives and runs the loop until *goal is at least count. */
void h2_run(struct world *world, struct h2 *h2, const int *goal, int count);
void h2_iterate(struct world *world, struct h2 *h2, int iterations);

#endif
