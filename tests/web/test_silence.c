/* Socket options that make the kernel reset dead connections. */
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../web/keepalive.h"

static int option(int fd, int level, int name)
{
	socklen_t size = sizeof(int);
	int value = -1;

	g_assert_cmpint(getsockopt(fd, level, name, &value, &size), ==, 0);
	return value;
}

/* A dead connection is reset after five seconds, idle or with unacknowledged
 * data, and so not before a caller's timeout of 3.6 s. */
static void test_options(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int idle;

	keepalive_enable(fd);
	g_assert_cmpint(option(fd, SOL_SOCKET, SO_KEEPALIVE), ==, 1);
	idle = option(fd, IPPROTO_TCP, TCP_KEEPIDLE) +
	       option(fd, IPPROTO_TCP, TCP_KEEPINTVL) *
		       option(fd, IPPROTO_TCP, TCP_KEEPCNT);
	g_assert_cmpint(idle, ==, 5);
	g_assert_cmpint(option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT), ==, 5000);
	close(fd);
}

/* On a socket without these options the failure is logged; it stays usable. */
static void test_other_socket(void)
{
	int fds[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), ==, 0);
	keepalive_enable(fds[0]);
	g_assert_cmpint(write(fds[0], "x", 1), ==, 1);
	close(fds[0]);
	close(fds[1]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/web/silence/options", test_options);
	g_test_add_func("/web/silence/other-socket", test_other_socket);
	return g_test_run();
}
