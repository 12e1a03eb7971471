#include "address_free.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

void address_free(char out[ADDRESS_FREE_MAX])
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, size), ==, 0);
	getsockname(fd, (struct sockaddr *)&address, &size);
	g_snprintf(out, ADDRESS_FREE_MAX, "127.0.0.1:%d",
		   ntohs(address.sin_port));
	close(fd);
}
