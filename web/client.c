#include "web/client.h"

#include <string.h>

#include "call.h"
#include "common/address.h"

/* Shorter than the keep-alive timeout of known backend servers, so that a call
 * rarely uses a connection that the server has just closed. */
#define KEEPALIVE_MSEC 2000
#define POOL_CONNECTIONS 65536
/* So long that h2o's timeout never fires: each call has its own timer. */
#define IO_MSEC (UINT64_C(24) * 60 * 60 * 1000)

static void pool_destroy(void *ptr)
{
	struct pool *pool = ptr;

	h2o_socketpool_dispose(&pool->keepalive);
	h2o_socketpool_dispose(&pool->fresh);
	g_free(pool);
}

struct web_client *web_client_create(struct loop *loop)
{
	struct web_client *client = g_new0(struct web_client, 1);

	client->loop = loop;
	h2o_timeout_init(loop_h2o(loop), &client->io, IO_MSEC);
	client->context.loop = loop_h2o(loop);
	client->context.io_timeout = &client->io;
	client->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      pool_destroy);
	return client;
}

void web_client_destroy(struct web_client *client)
{
	if (!client)
		return;
	while (client->calls.head)
		web_call_cancel(client->calls.head->data);
	g_hash_table_destroy(client->pools);
	h2o_timeout_dispose(client->context.loop, &client->io);
	g_free(client);
}

static void sockets_init(struct web_client *client, h2o_socketpool_t *sockets,
			 struct sockaddr_storage *peer, socklen_t size)
{
	h2o_socketpool_init_by_address(sockets, (struct sockaddr *)peer, size,
				       0, POOL_CONNECTIONS);
	h2o_socketpool_set_timeout(sockets, client->context.loop,
				   KEEPALIVE_MSEC);
}

static struct pool *pool_get(struct web_client *client, const char *address)
{
	struct pool *pool = g_hash_table_lookup(client->pools, address);
	struct sockaddr_storage peer;
	socklen_t size;

	if (pool)
		return pool;
	if (!address_parse(address, &peer, &size, NULL))
		return NULL;
	pool = g_new0(struct pool, 1);
	sockets_init(client, &pool->keepalive, &peer, size);
	sockets_init(client, &pool->fresh, &peer, size);
	g_hash_table_insert(client->pools, g_strdup(address), pool);
	return pool;
}

static bool text_is_valid(const char *text, size_t size)
{
	for (size_t i = 0; i < size; i++)
		if (text[i] == '\r' || text[i] == '\n' || text[i] == '\0')
			return false;
	return true;
}

static bool token_is_valid(const char *text)
{
	return text && text[0] && !strpbrk(text, " \r\n");
}

static bool spec_is_valid(const struct web_call_spec *spec)
{
	if (!spec->address || !token_is_valid(spec->method) ||
	    !token_is_valid(spec->path) ||
	    (spec->relay && !token_is_valid(spec->relay_path)) ||
	    !text_is_valid(spec->host.data, spec->host.size))
		return false;
	for (size_t i = 0; i < spec->header_count; i++) {
		const struct web_header *header = &spec->headers[i];

		if (!text_is_valid(header->name.data, header->name.size) ||
		    !text_is_valid(header->value.data, header->value.size))
			return false;
	}
	return true;
}

/* Without "connection: close", also where this side closes the connection after
 * the answer: it would invite the server to leave out the length of the body.
 */
static GString *request_print(const struct web_call_spec *spec)
{
	GString *out = g_string_sized_new(256 + spec->body_size);

	g_string_append_printf(out, "%s %s HTTP/1.1\r\nhost: ", spec->method,
			       spec->path);
	if (spec->host.size > 0)
		g_string_append_len(out, spec->host.data,
				    (gssize)spec->host.size);
	else
		g_string_append(out, spec->address);
	g_string_append(out, "\r\n");
	for (size_t i = 0; i < spec->header_count; i++) {
		const struct web_header *header = &spec->headers[i];

		g_string_append_len(out, header->name.data,
				    (gssize)header->name.size);
		g_string_append(out, ": ");
		g_string_append_len(out, header->value.data,
				    (gssize)header->value.size);
		g_string_append(out, "\r\n");
	}
	if (spec->body_size > 0 || (strcmp(spec->method, "GET") != 0 &&
				    strcmp(spec->method, "HEAD") != 0))
		g_string_append_printf(out, "content-length: %zu\r\n",
				       spec->body_size);
	g_string_append(out, "\r\n");
	g_string_append_len(out, spec->body, (gssize)spec->body_size);
	return out;
}

struct web_call *web_call(struct web_client *client,
			  const struct web_call_spec *spec,
			  const struct web_call_ops *ops, void *ctx)
{
	struct web_call *call = call_create(client, spec, ops, ctx);
	struct pool *pool;

	if (!spec_is_valid(spec)) {
		call_fail_later(call, "the request is malformed");
		return call;
	}
	pool = pool_get(client, spec->address);
	if (!pool) {
		call_fail_later(call, "the address is not of the form IP:port");
		return call;
	}
	call->request = request_print(spec);
	if (spec->relay) {
		struct pool *relay = pool_get(client, spec->relay);

		if (relay)
			tunnel_connect(call, spec, &relay->fresh, &pool->fresh);
		else
			call_fail_later(call, "the relay's address is not of "
					      "the form IP:port");
		return call;
	}
	call_timer_start(call);
	call_connect(call, spec->fresh ? &pool->fresh : &pool->keepalive);
	return call;
}
