#include "linger.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "common/log.h"

void linger_reset(int fd, bool reset)
{
	const struct linger linger = {.l_onoff = reset};

	if (setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger)) != 0)
		log_event(LOG_WARNING, "socket_option_failed",
			  LOG_D("option", SO_LINGER),
			  LOG_S("why", strerror(errno)));
}
