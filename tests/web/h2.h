/* An HTTP/2 caller on nghttp2, turned together with the world's loop. */
#ifndef TESTS_WEB_H2_H
#define TESTS_WEB_H2_H

#include <nghttp2/nghttp2.h>

#include "world.h"

struct h2 {
	nghttp2_session *session;
	int fd;
	int goaway;
	int status;    /* of the answer that came last */
	int closed;    /* streams closed */
	uint32_t code; /* with which the last one was */
	GString *body;
};

struct h2 *h2_create(int fd);
/* Frees the caller; its socket is closed. */
void h2_destroy(struct h2 *h2);
/* Sends a request with a body of size zero bytes; returns the stream. */
int32_t h2_request(struct h2 *h2, const char *method, const char *path,
		   size_t size);
void h2_reset(struct h2 *h2, int32_t stream);
/* Exchanges what is due and turns the loop until *goal is at least count. */
void h2_run(struct world *world, struct h2 *h2, const int *goal, int count);
void h2_turns(struct world *world, struct h2 *h2, int turns);

#endif
