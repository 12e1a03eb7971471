#include <glib.h>

#include "ctl/admin.h"
#include "ctl/command.h"
#include "ctl/print.h"

static void change_add(struct columns *columns, const json_t *change)
{
	g_autofree char *time = print_time(object_number(change, "unix_us"));
	g_autofree char *revision = g_strdup_printf(
		"%" JSON_INTEGER_FORMAT, object_number(change, "revision"));
	g_autofree char *base = g_strdup_printf("%" JSON_INTEGER_FORMAT,
						object_number(change, "base"));
	g_autofree char *size = g_strdup_printf("%" JSON_INTEGER_FORMAT,
						object_number(change, "size"));
	bool accepted = object_number(change, "code") == RESULT_OK;

	columns_add(columns, time, revision, base,
		    object_text(change, "author"), size,
		    accepted ? "accepted" : object_text(change, "result"),
		    object_text(change, "reason"));
}

static bool run(struct ctl *ctl, const struct arguments *args,
		struct error *err)
{
	json_t *history = admin_get(ctl, args->admin, "/history", err);
	struct columns *columns;
	json_t *change;
	size_t i;

	if (!history)
		return false;
	if (args->json) {
		print_json(ctl->out, history);
		json_decref(history);
		return true;
	}
	columns = columns_create(7);
	columns_add(columns, "TIME", "REVISION", "BASE", "AUTHOR", "BYTES",
		    "RESULT", "REASON");
	json_array_foreach (json_object_get(history, "changes"), i, change)
		change_add(columns, change);
	columns_print(columns, ctl->out);
	json_decref(history);
	return true;
}

const struct command command_history = {
	.name = "history",
	.summary = "Print the audit trail of changes",
	.args_doc = "",
	.run = run,
};
