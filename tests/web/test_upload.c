/*
 * Answers without a length to requests that the server has not received in
 * whole. Guards against a part of such an answer that is taken for the whole
 * one.
 */
#include <string.h>
#include <sys/socket.h>

#include "relay_handler.h"
#include "script.h"
#include "world.h"

#define HEAD "HTTP/1.1 200 OK\r\n"
/* Of the receive buffer of the server, so that it does not take small uploads
 * unread. */
#define UPLOAD_WINDOW 2048

enum upload_end {
	UPLOAD_RESET,	     /* the server resets the connection at once */
	UPLOAD_CLOSED,	     /* it ends its side in order */
	UPLOAD_CLOSED_RESET, /* and resets the connection later */
	UPLOAD_RECEIVED	     /* it has read the whole request before */
};

/* Reads at least so many bytes of the request. */
static void upload_receive(struct world *world, struct script *script,
			   size_t want)
{
	size_t got = 0;

	for (int i = 0; i < 20000 && got < want; i++) {
		if (script_receive(script, CONN_KEEP))
			got += strlen(script->request);
		world_iterate(world, 1);
	}
	g_assert_cmpuint(got, >=, want);
}

static void upload_answer(struct world *world, enum upload_end end, size_t size,
			  const char *relay)
{
	static const char answer[] = HEAD "\r\npart";
	static const int window = UPLOAD_WINDOW;
	g_autofree char *body = g_strnfill(size, 'x');
	g_autofree char *path = NULL;
	struct script script;

	script_setup(&script);
	setsockopt(script.listener, SOL_SOCKET, SO_RCVBUF, &window,
		   sizeof(window));
	path = g_strconcat("/", script.address, NULL);
	world_call(world, (struct web_call_spec){.address = script.address,
						 .method = "POST",
						 .body = body,
						 .body_size = size,
						 .relay = relay,
						 .relay_path = path});
	upload_receive(world, &script, end == UPLOAD_RECEIVED ? size : 1);
	raw_send(script.fd, answer, sizeof(answer) - 1);
	if (end != UPLOAD_RESET)
		shutdown(script.fd, SHUT_WR);
	if (end == UPLOAD_CLOSED_RESET)
		world_iterate(world, 200);
	if (end == UPLOAD_RESET || end == UPLOAD_CLOSED_RESET)
		script_close(&script, CONN_RESET);
	for (int i = 0; i < 20000 && !world->done; i++) {
		if (script.fd >= 0)
			(void)script_receive(&script, CONN_KEEP);
		world_iterate(world, 1);
	}
	g_assert_true(world->done);
	g_assert_true(world->result.ok == (end == UPLOAD_RECEIVED));
	script_teardown(&script);
}

static void test_upload(struct world *world, gconstpointer data)
{
	static const size_t sizes[] = {16 << 10, 1 << 20};
	const char *address = web_server_address(world->server);
	struct relay_handler relay;

	relay_handler_setup(&relay, world);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (int end = UPLOAD_RESET; end <= UPLOAD_RECEIVED; end++) {
			upload_answer(world, (enum upload_end)end, sizes[i],
				      NULL);
			upload_answer(world, (enum upload_end)end, sizes[i],
				      address);
		}
	}
	relay_handler_teardown(&relay, world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/web/upload", struct world, NULL, world_setup, test_upload,
		   world_teardown);
	return g_test_run();
}
