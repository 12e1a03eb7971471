#include "script.h"

#include <string.h>
#include <unistd.h>

#include "world.h"

void script_setup(struct script *script)
{
	memset(script, 0, sizeof(*script));
	script->fd = -1;
	script->listener = raw_listen(script->address, sizeof(script->address));
}

void script_teardown(struct script *script)
{
	if (script->fd >= 0)
		close(script->fd);
	close(script->listener);
}

void script_close(struct script *script, enum conn_end end)
{
	static const struct linger abortive = {.l_onoff = 1};

	if (end == CONN_KEEP)
		return;
	if (end == CONN_RESET)
		setsockopt(script->fd, SOL_SOCKET, SO_LINGER, &abortive,
			   sizeof(abortive));
	close(script->fd);
	script->fd = -1;
}

bool script_receive(struct script *script, enum conn_end end)
{
	ssize_t size = 0;
	int fd = accept4(script->listener, NULL, NULL, SOCK_NONBLOCK);

	if (fd >= 0) {
		if (script->fd >= 0)
			close(script->fd);
		script->fd = fd;
		script->accepted++;
		if (end == CONN_CLOSE_UNREAD)
			script_close(script, end);
	}
	if (script->fd >= 0)
		size = recv(script->fd, script->request,
			    sizeof(script->request) - 1, 0);
	script->request[MAX(size, 0)] = '\0';
	return size > 0;
}
