/*
 * A SIGTERM that arrives while the process still reads its settings must end it
 * in an orderly way. If signals are not blocked from the first line of main()
 * on, the default action kills the process. The settings file is a FIFO, which
 * keeps the process reading until the signal has been sent.
 */
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <spawn.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define VARIABLE "JACINTHTRESTLE_NODE_FILE"
#define WAIT_TRIES 4000
#define WAIT_USEC 5000

/* Nothing listens on the store's port. */
static const char settings[] = "name=f1\n"
			       "data-centre=north\n"
			       "listen=127.0.0.1:0\n"
			       "health-listen=127.0.0.1:0\n"
			       "peer-listen=127.0.0.1:0\n"
			       "platform=127.0.0.1:9\n";

static pid_t forward_spawn(const char *fifo)
{
	g_autofree char *file = g_strconcat(VARIABLE "=", fifo, NULL);
	char *const environment[] = {file, NULL};
	char *const argv[] = {PROGRAM, NULL};
	pid_t pid;

	g_assert_cmpint(
		posix_spawn(&pid, PROGRAM, NULL, NULL, argv, environment), ==,
		0);
	return pid;
}

/* Returns when the process has opened the FIFO for reading. */
static int fifo_open(const char *path)
{
	for (int i = 0; i < WAIT_TRIES; i++) {
		int fd = open(path, O_WRONLY | O_NONBLOCK);

		if (fd >= 0)
			return fd;
		g_assert_cmpint(errno, ==, ENXIO);
		g_usleep(WAIT_USEC);
	}
	g_error("the process did not open the settings file");
}

static int forward_signal(const char *fifo, int signal)
{
	pid_t pid = forward_spawn(fifo);
	int fd = fifo_open(fifo);
	int status;

	g_assert_cmpint(kill(pid, signal), ==, 0);
	g_usleep(WAIT_USEC);
	g_assert_cmpint(write(fd, settings, strlen(settings)), ==,
			(int)strlen(settings));
	close(fd);
	g_assert_cmpint(waitpid(pid, &status, 0), ==, pid);
	return status;
}

static void test_early(void)
{
	g_autofree char *folder = g_dir_make_tmp("signals-XXXXXX", NULL);
	g_autofree char *fifo = g_build_filename(folder, "settings", NULL);
	int status;

	g_assert_cmpint(mkfifo(fifo, 0600), ==, 0);
	status = forward_signal(fifo, SIGTERM);
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 0);
	g_unlink(fifo);
	g_rmdir(folder);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/signals/early", test_early);
	return g_test_run();
}
