#include "ctl/log_file.h"

#include <stdio.h>

#include "common/error.h"

/* The daemons write no line longer than this. A longer one is passed on in
 * parts. */
#define LINE_MAX_BYTES 16384

bool log_file_read(const char *file, log_line_fn fn, void *ctx,
		   struct error *err)
{
	FILE *in = fopen(file, "re");
	char text[LINE_MAX_BYTES];
	bool good;

	if (!in)
		return error_set(err, RESULT_IO, "%s: cannot be read", file);
	while (fgets(text, sizeof(text), in))
		fn(ctx, text);
	good = !ferror(in);
	fclose(in);
	return good || error_set(err, RESULT_IO, "%s: reading failed", file);
}
