#include "unsent.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

size_t unsent_bytes(int fd)
{
	int bytes = 0;

	return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? (size_t)bytes
							     : 0;
}
