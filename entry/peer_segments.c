/*
 * peer_segments.c - how many TCP segments a link has sent and received
 *
 * Uses <linux/tcp.h>, since struct tcp_info in the header of the C library
 * lacks these fields. The two headers cannot be included together.
 */
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include "entry/peer_link.h"

void link_segments(const struct link *link, uint64_t *sent, uint64_t *received)
{
	struct tcp_info info;
	socklen_t size = sizeof(info);

	memset(&info, 0, sizeof(info));
	(void)getsockopt(h2o_socket_get_fd(link->socket), IPPROTO_TCP, TCP_INFO,
			 &info, &size);
	*sent = info.tcpi_segs_out;
	*received = info.tcpi_segs_in;
}
