#include "ctl/apply.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "ctl/admin.h"
#include "ctl/file.h"
#include "ctl/print.h"

#define AUTHOR_MAX_BYTES 63u

/* Replaces the error by one with the author and time of the revision in force,
 * if the audit trail has them. */
static void stale_error_set(struct ctl *ctl, const char *addresses,
			    uint64_t base, struct error *err)
{
	json_t *history = admin_get(ctl, addresses, "/history", NULL);
	json_int_t revision = object_number(history, "revision");
	json_t *change;
	size_t i;

	json_array_foreach (json_object_get(history, "changes"), i, change) {
		g_autofree char *time =
			print_time(object_number(change, "unix_us"));

		if (object_number(change, "revision") != revision ||
		    object_number(change, "code") != RESULT_OK)
			continue;
		error_set(err, RESULT_STALE_REVISION,
			  "the file is based on revision %" PRIu64
			  ", but %s put revision %" JSON_INTEGER_FORMAT
			  " in force at %s; look at jtctl diff, then apply "
			  "again",
			  base, object_text(change, "author"), revision, time);
	}
	json_decref(history);
}

static bool base_find(struct ctl *ctl, const struct arguments *args,
		      uint64_t *base, struct error *err)
{
	json_t *config;

	*base = args->base;
	if (args->has_base)
		return true;
	config = admin_get(ctl, args->admin, "/config", err);
	if (!config)
		return false;
	*base = (uint64_t)object_number(config, "revision");
	json_decref(config);
	return true;
}

static bool send_file(struct ctl *ctl, const struct arguments *args,
		      const struct config_file *file,
		      struct apply_result *result, struct error *err)
{
	const char *author = args->author ? args->author : "unknown";
	g_autofree char *escaped = g_uri_escape_string(author, NULL, FALSE);
	g_autofree char *path = g_strdup_printf(
		"/config?base=%" PRIu64 "&author=%s", result->base, escaped);
	struct admin_request request = {.method = "POST",
					.path = path,
					.body = file->data,
					.body_size = file->size};
	struct error cause = {0};
	json_t *answer = admin_call(ctl, args->admin, &request, &cause);

	if (!answer) {
		if (cause.code == RESULT_STALE_REVISION)
			stale_error_set(ctl, args->admin, result->base, &cause);
		return error_set(err, cause.code, "%s", cause.text);
	}
	result->revision = (uint64_t)object_number(answer, "revision");
	json_decref(answer);
	return true;
}

/* The audit trail stores authors of 1 to AUTHOR_MAX_BYTES bytes of UTF-8. */
static bool author_check(const char *author, struct error *err)
{
	if (!author || (*author && strlen(author) <= AUTHOR_MAX_BYTES &&
			g_utf8_validate(author, -1, NULL)))
		return true;
	return error_set(err, RESULT_USAGE,
			 "--author: not 1 to %u bytes of UTF-8",
			 AUTHOR_MAX_BYTES);
}

bool apply_file(struct ctl *ctl, const struct arguments *args, const char *name,
		struct apply_result *result, struct error *err)
{
	struct config_file file;
	bool ok;

	if (!author_check(args->author, err) ||
	    !config_file_read(&file, name, err))
		return false;
	ok = base_find(ctl, args, &result->base, err) &&
	     send_file(ctl, args, &file, result, err);
	config_file_clear(&file);
	return ok;
}
