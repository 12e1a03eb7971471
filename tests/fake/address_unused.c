#include "address_unused.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Returns a loopback address of this process alone. With a shared one, a test
 * could get a port that another test has just released, and the instances of
 * the two would reach each other. */
static uint32_t own_loopback(void)
{
	return (127u << 24) | (1u << 22) | ((uint32_t)getpid() & 0x3fffffu);
}

void address_pick_unused(char out[ADDRESS_UNUSED_MAX])
{
	char host[INET_ADDRSTRLEN];
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	address.sin_addr.s_addr = htonl(own_loopback());
	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, size), ==, 0);
	getsockname(fd, (struct sockaddr *)&address, &size);
	inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host));
	g_snprintf(out, ADDRESS_UNUSED_MAX, "%s:%d", host,
		   ntohs(address.sin_port));
	close(fd);
}
