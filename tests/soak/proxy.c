#include "proxy.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SLOW_DELAY_USEC 100000
#define POLL_MSEC 50

struct proxy {
	int listener;
	char address[32];
	struct sockaddr_in to;
	gint mode;  /* atomic */
	gint epoch; /* atomic; connections of earlier epochs are reset */
	gint heads; /* atomic; of responses */
};

struct pump {
	struct proxy *proxy;
	int from;
	int to;
	gboolean responses;
	gint epoch;
	gboolean discarding; /* for good: no gaps in a stream */
	gint *open_pumps;    /* pumps that use the two sockets */
};

static void sock_reset(int fd)
{
	static const struct linger hard = {.l_onoff = 1};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	shutdown(fd, SHUT_RDWR);
}

/* Discarded data is never delivered later, so nothing may follow it: the pump
 * discards until the connection ends, while new connections follow the mode. */
static gboolean pump_forwards(struct pump *pump, enum proxy_mode mode)
{
	if (mode == PROXY_SILENT || (mode == PROXY_ONE_WAY && pump->responses))
		pump->discarding = TRUE;
	return !pump->discarding;
}

static void send_all(int fd, const char *data, ssize_t size)
{
	while (size > 0) {
		ssize_t n = send(fd, data, (size_t)size, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		data += n;
		size -= n;
	}
}

/* Writes "name:VALUE " for "name: VALUE". */
static void value_shift(char *data, size_t size, const char *name)
{
	size_t name_size = strlen(name);
	char *end = data + size;
	char *value;
	char *line_end;

	for (; data + name_size < end; data++)
		if (g_ascii_strncasecmp(data, name, name_size) == 0)
			break;
	value = data + name_size + 1;
	line_end =
		value < end ? memchr(value, '\r', (size_t)(end - value)) : NULL;
	if (!line_end)
		return;
	memmove(value - 1, value, (size_t)(line_end - value));
	line_end[-1] = ' ';
}

/* Respells each second head of a response, to another valid form. */
static void head_respell(struct proxy *proxy, char *data, size_t size)
{
	char *body;

	if (size < 9 || memcmp(data, "HTTP/1.1 ", 9) != 0 ||
	    g_atomic_int_add(&proxy->heads, 1) % 2 == 0)
		return;
	body = memmem(data, size, "\r\n\r\n", 4);
	if (body)
		size = (size_t)(body - data) + 2;
	value_shift(data, size, "\r\ncontent-length:");
	value_shift(data, size, "\r\ntransfer-encoding:");
}

static void pump_run(struct pump *pump)
{
	struct pollfd pfd = {.fd = pump->from, .events = POLLIN};
	char data[16384];

	while (pump->epoch == g_atomic_int_get(&pump->proxy->epoch)) {
		enum proxy_mode mode;
		ssize_t n;

		if (poll(&pfd, 1, POLL_MSEC) <= 0)
			continue;
		n = recv(pump->from, data, sizeof(data), 0);
		mode = (enum proxy_mode)g_atomic_int_get(&pump->proxy->mode);
		if (n <= 0 && pump_forwards(pump, mode)) {
			shutdown(pump->to, SHUT_WR);
			return;
		}
		if (n <= 0)
			return;
		if (mode == PROXY_SLOW)
			g_usleep(SLOW_DELAY_USEC);
		if (pump->responses)
			head_respell(pump->proxy, data, (size_t)n);
		if (pump_forwards(pump, mode))
			send_all(pump->to, data, n);
	}
	sock_reset(pump->from);
	sock_reset(pump->to);
}

static gpointer pump_thread(gpointer data)
{
	struct pump *pump = data;

	pump_run(pump);
	if (g_atomic_int_dec_and_test(pump->open_pumps)) {
		close(pump->from);
		close(pump->to);
		g_free(pump->open_pumps);
	}
	g_free(pump);
	return NULL;
}

static void pump_start(struct proxy *proxy, int from, int to,
		       gboolean responses, gint *open_pumps)
{
	struct pump *pump = g_new0(struct pump, 1);

	*pump = (struct pump){proxy,
			      from,
			      to,
			      responses,
			      g_atomic_int_get(&proxy->epoch),
			      FALSE,
			      open_pumps};
	g_thread_unref(g_thread_new("pump", pump_thread, pump));
}

static void connection_start(struct proxy *proxy, int fd)
{
	int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	gint *open_pumps;

	if (g_atomic_int_get(&proxy->mode) == PROXY_RESET ||
	    connect(to, (struct sockaddr *)&proxy->to, sizeof(proxy->to)) !=
		    0) {
		sock_reset(fd);
		close(fd);
		close(to);
		return;
	}
	open_pumps = g_new(gint, 1);
	*open_pumps = 2;
	pump_start(proxy, fd, to, FALSE, open_pumps);
	pump_start(proxy, to, fd, TRUE, open_pumps);
}

static gpointer proxy_thread(gpointer data)
{
	struct proxy *proxy = data;

	for (;;) {
		int fd = accept4(proxy->listener, NULL, NULL, SOCK_CLOEXEC);

		if (fd >= 0)
			connection_start(proxy, fd);
	}
	return NULL;
}

struct proxy *proxy_create(const char *address)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	struct sockaddr_in own = {.sin_family = AF_INET};
	socklen_t size = sizeof(own);
	char host[32];

	proxy->to.sin_family = AF_INET;
	g_assert_nonnull(memccpy(host, address, ':', sizeof(host)));
	*strchr(host, ':') = '\0';
	proxy->to.sin_addr.s_addr = inet_addr(host);
	proxy->to.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
	own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	proxy->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(proxy->listener, (struct sockaddr *)&own, size),
			==, 0);
	g_assert_cmpint(listen(proxy->listener, 128), ==, 0);
	getsockname(proxy->listener, (struct sockaddr *)&own, &size);
	g_snprintf(proxy->address, sizeof(proxy->address), "127.0.0.1:%d",
		   ntohs(own.sin_port));
	g_thread_unref(g_thread_new("proxy", proxy_thread, proxy));
	return proxy;
}

const char *proxy_address(const struct proxy *proxy)
{
	return proxy->address;
}

void proxy_set(struct proxy *proxy, enum proxy_mode mode)
{
	g_atomic_int_set(&proxy->mode, (gint)mode);
	if (mode == PROXY_RESET)
		g_atomic_int_inc(&proxy->epoch);
}
