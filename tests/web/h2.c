#include "h2.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ITERATIONS_MAX 20000
#define HEADER(n, v)                                                           \
	((nghttp2_nv){(uint8_t *)(n), (uint8_t *)(v), strlen(n), strlen(v), 0})

static int on_header(nghttp2_session *session, const nghttp2_frame *frame,
		     const uint8_t *name, size_t name_size,
		     const uint8_t *value, size_t size, uint8_t flags,
		     void *ctx)
{
	struct h2 *h2 = ctx;

	if (name_size == 7 && memcmp(name, ":status", 7) == 0)
		h2->status = atoi((const char *)value);
	return 0;
}

static int on_data(nghttp2_session *session, uint8_t flags, int32_t stream,
		   const uint8_t *data, size_t size, void *ctx)
{
	struct h2 *h2 = ctx;

	g_string_append_len(h2->body, (const char *)data, (gssize)size);
	return 0;
}

static int on_close(nghttp2_session *session, int32_t stream, uint32_t code,
		    void *ctx)
{
	struct h2 *h2 = ctx;

	h2->closed++;
	h2->code = code;
	return 0;
}

static int on_frame(nghttp2_session *session, const nghttp2_frame *frame,
		    void *ctx)
{
	struct h2 *h2 = ctx;

	if (frame->hd.type == NGHTTP2_GOAWAY)
		h2->goaway = 1;
	return 0;
}

struct h2 *h2_create(int fd)
{
	struct h2 *h2 = g_new0(struct h2, 1);
	nghttp2_session_callbacks *ops;

	h2->fd = fd;
	h2->body = g_string_new(NULL);
	nghttp2_session_callbacks_new(&ops);
	nghttp2_session_callbacks_set_on_header_callback(ops, on_header);
	nghttp2_session_callbacks_set_on_data_chunk_recv_callback(ops, on_data);
	nghttp2_session_callbacks_set_on_stream_close_callback(ops, on_close);
	nghttp2_session_callbacks_set_on_frame_recv_callback(ops, on_frame);
	nghttp2_session_client_new(&h2->session, ops, h2);
	nghttp2_session_callbacks_del(ops);
	nghttp2_submit_settings(h2->session, NGHTTP2_FLAG_NONE, NULL, 0);
	return h2;
}

void h2_destroy(struct h2 *h2)
{
	nghttp2_session_del(h2->session);
	g_string_free(h2->body, TRUE);
	close(h2->fd);
	g_free(h2);
}

static ssize_t zeroes(nghttp2_session *session, int32_t stream, uint8_t *buf,
		      size_t size, uint32_t *flags, nghttp2_data_source *source,
		      void *ctx)
{
	size_t *left = source->ptr;

	size = MIN(size, *left);
	memset(buf, '0', size);
	*left -= size;
	if (*left == 0)
		*flags |= NGHTTP2_DATA_FLAG_EOF;
	return (ssize_t)size;
}

int32_t h2_request(struct h2 *h2, const char *method, const char *path,
		   size_t size)
{
	static size_t left;
	const nghttp2_nv headers[] = {
		HEADER(":method", method),
		HEADER(":scheme", "http"),
		HEADER(":authority", "test"),
		HEADER(":path", path),
	};
	nghttp2_data_provider body = {{.ptr = &left}, zeroes};
	int32_t stream;

	left = size;
	stream = nghttp2_submit_request(h2->session, NULL, headers,
					G_N_ELEMENTS(headers),
					size > 0 ? &body : NULL, NULL);
	g_assert_cmpint(stream, >, 0);
	return stream;
}

void h2_reset(struct h2 *h2, int32_t stream)
{
	nghttp2_submit_rst_stream(h2->session, NGHTTP2_FLAG_NONE, stream,
				  NGHTTP2_CANCEL);
}

void h2_send(struct h2 *h2)
{
	const uint8_t *out;
	ssize_t n;

	while ((n = nghttp2_session_mem_send(h2->session, &out)) > 0)
		send(h2->fd, out, (size_t)n, MSG_NOSIGNAL);
}

/* True when bytes were received. */
static bool exchange(struct h2 *h2)
{
	uint8_t buf[16384];
	ssize_t n;

	h2_send(h2);
	n = recv(h2->fd, buf, sizeof(buf), MSG_DONTWAIT);
	if (n > 0)
		nghttp2_session_mem_recv(h2->session, buf, (size_t)n);
	return n > 0;
}

void h2_run(struct world *world, struct h2 *h2, const int *goal, int count)
{
	for (int i = 0; i < ITERATIONS_MAX && *goal < count; i++) {
		bool more = exchange(h2);

		loop_run_h2o(world->loop, more ? 0 : 1);
	}
	g_assert_cmpint(*goal, >=, count);
}

void h2_iterate(struct world *world, struct h2 *h2, int iterations)
{
	while (iterations-- > 0) {
		exchange(h2);
		world_iterate(world, 1);
	}
}
