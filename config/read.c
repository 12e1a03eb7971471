#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "common/error.h"
#include "config/config.h"

static bool read_all(int fd, GString *text)
{
	char chunk[16384];
	ssize_t got;

	/* Reads past the limit to detect a file that is too large. */
	while (text->len <= CONFIG_FILE_MAX) {
		got = read(fd, chunk, sizeof(chunk));
		if (got == 0)
			return true;
		if (got < 0 && errno == EINTR)
			continue;
		if (got < 0)
			return false;
		g_string_append_len(text, chunk, got);
	}
	return true;
}

bool config_read(const char *file, char **data, size_t *size, struct error *err)
{
	int fd = open(file, O_RDONLY | O_CLOEXEC);
	GString *text;
	bool ok;

	if (fd < 0)
		return error_set(err, RESULT_IO, "%s: %s", file,
				 strerror(errno));
	text = g_string_new(NULL);
	ok = read_all(fd, text);
	if (!ok)
		error_set(err, RESULT_IO, "%s: %s", file, strerror(errno));
	close(fd);
	if (ok && text->len > CONFIG_FILE_MAX)
		ok = error_set(err, RESULT_BAD_CONFIG,
			       "%s: larger than %u bytes", file,
			       CONFIG_FILE_MAX);
	*size = text->len;
	*data = g_string_free(text, !ok);
	return ok;
}
