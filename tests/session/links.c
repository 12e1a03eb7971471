/*
 * links.c - jtforward whose links to the backend servers can be cut
 *
 * DESCRIPTION
 *	jtforward-links FILE ARG... is jtforward ARG..., except that its
 *	connections to 127.0.0.2, where the stand-ins of backend servers
 *	listen, follow the first word of FILE, or its absence:
 *
 *	refused	  new connections are refused; open ones go on
 *	reset	  the same, and open ones are closed
 *	silent	  new connections hang
 */
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_USEC 5000
#define FDS_MAX 1024
/* Nothing listens there. */
#define CLOSED_PORT 1

int forward_main(int argc, char **argv);

static const char *links_file;
static struct sockaddr_in silent_address;

static bool mode_is(const char *mode)
{
	char text[16] = "";
	int fd = open(links_file, O_RDONLY | O_CLOEXEC);
	ssize_t size = fd < 0 ? 0 : read(fd, text, sizeof(text) - 1);

	if (fd >= 0)
		close(fd);
	return size > 0 && strncmp(text, mode, strlen(mode)) == 0;
}

static bool is_server(const struct sockaddr *address)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)address;

	return address->sa_family == AF_INET &&
	       ntohl(in->sin_addr.s_addr) == INADDR_LOOPBACK + 1;
}

/* A listener that never accepts, with a full queue. */
static void silent_listen(void)
{
	int (*real)(int, const struct sockaddr *, socklen_t) =
		(int (*)(int, const struct sockaddr *, socklen_t))dlsym(
			RTLD_NEXT, "connect");
	socklen_t size = sizeof(silent_address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	silent_address = (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	if (bind(fd, (struct sockaddr *)&silent_address, size) != 0 ||
	    listen(fd, 0) != 0)
		abort();
	getsockname(fd, (struct sockaddr *)&silent_address, &size);
	for (int i = 0; i < 4; i++)
		(void)real(socket(AF_INET,
				  SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK,
				  0),
			   (struct sockaddr *)&silent_address, size);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
	static int (*real)(int, const struct sockaddr *, socklen_t);
	struct sockaddr_in closed;

	if (!real)
		real = (int (*)(int, const struct sockaddr *, socklen_t))dlsym(
			RTLD_NEXT, "connect");
	if (!is_server(address))
		return real(fd, address, size);
	if (mode_is("silent"))
		return real(fd, (struct sockaddr *)&silent_address,
			    sizeof(silent_address));
	if (!mode_is("reset") && !mode_is("refused"))
		return real(fd, address, size);
	closed = *(const struct sockaddr_in *)address;
	closed.sin_port = htons(CLOSED_PORT);
	return real(fd, (struct sockaddr *)&closed, sizeof(closed));
}

static void open_connections_close(void)
{
	for (int fd = 0; fd < FDS_MAX; fd++) {
		struct sockaddr_storage peer = {0};
		socklen_t size = sizeof(peer);

		if (getpeername(fd, (struct sockaddr *)&peer, &size) == 0 &&
		    is_server((struct sockaddr *)&peer))
			shutdown(fd, SHUT_RDWR);
	}
}

static void *links_watch(void *ctx)
{
	bool was_reset = false;

	for (;;) {
		bool is_reset = mode_is("reset");

		if (is_reset && !was_reset)
			open_connections_close();
		was_reset = is_reset;
		usleep(POLL_USEC);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t thread;
	sigset_t all;
	sigset_t before;

	if (argc < 2)
		return 2;
	links_file = argv[1];
	argv[1] = argv[0];
	silent_listen();
	/* The thread must not take the signals that forward_main() blocks. */
	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &before);
	pthread_create(&thread, NULL, links_watch, NULL);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	return forward_main(argc - 1, argv + 1);
}
