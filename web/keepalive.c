#include "keepalive.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "common/log.h"

/* An idle connection is reset after KEEPALIVE_IDLE_SEC and KEEPALIVE_PROBES
 * intervals of KEEPALIVE_INTERVAL_SEC. That is longer than the 3.6 s after
 * which a caller abandons a silent stream, so no stream is reset while its
 * caller still waits for it. Without probes, a run on a dead connection holds
 * its memory until its time limit of 14 s. */
#define KEEPALIVE_IDLE_SEC 2
#define KEEPALIVE_INTERVAL_SEC 1
#define KEEPALIVE_PROBES 3
#define USER_TIMEOUT_MSEC 5000

static void option_set(int fd, int level, int name, int value)
{
	if (setsockopt(fd, level, name, &value, sizeof(value)) != 0)
		log_event(LOG_WARNING, "socket_option_failed",
			  LOG_D("option", name), LOG_S("why", strerror(errno)));
}

void keepalive_enable(int fd)
{
	option_set(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	option_set(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_SEC);
	option_set(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SEC);
	option_set(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	option_set(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MSEC);
}
