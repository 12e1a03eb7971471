#include <string.h>

#include "config/config.h"
#include "ctl/admin.h"
#include "ctl/command.h"
#include "ctl/exit_code.h"
#include "ctl/field_diff.h"
#include "ctl/print.h"

static bool config_fetch(struct ctl *ctl, const struct arguments *args,
			 char **data, size_t *size, struct error *err)
{
	json_t *config = admin_get(ctl, args->admin, "/config", err);

	if (!config)
		return false;
	*data = g_strdup(object_text(config, "content"));
	*size = strlen(*data);
	json_decref(config);
	if (*size > 0)
		return true;
	g_clear_pointer(data, g_free);
	error_set(err, RESULT_NO_CONFIG, "no file has been applied yet");
	return false;
}

static void change_print(FILE *out, const struct field_change *change)
{
	g_autofree char *path = print_safe(change->path);
	g_autofree char *before = print_safe(change->before);
	g_autofree char *after = print_safe(change->after);

	if (!change->before)
		fprintf(out, "+ %s: %s\n", path, after);
	else if (!change->after)
		fprintf(out, "- %s: %s\n", path, before);
	else
		fprintf(out, "~ %s: %s -> %s\n", path, before, after);
}

static void changes_print(FILE *out, const GPtrArray *changes)
{
	for (guint i = 0; i < changes->len; i++)
		change_print(out, changes->pdata[i]);
}

static void changes_print_json(FILE *out, const GPtrArray *changes)
{
	json_t *list = json_array();

	for (guint i = 0; i < changes->len; i++) {
		const struct field_change *change = changes->pdata[i];

		json_array_append_new(list, json_pack("{s:s, s:s?, s:s?}",
						      "path", change->path,
						      "before", change->before,
						      "after", change->after));
	}
	print_json(out, list);
	json_decref(list);
}

static bool compare(struct ctl *ctl, const struct arguments *args,
		    const char *before, size_t before_size, struct error *err)
{
	bool one = args->operand_count == 1;
	const char *before_name = one ? "in force" : args->operands[0];
	const char *after_name = args->operands[one ? 0 : 1];
	g_autofree char *after = NULL;
	GPtrArray *changes;
	size_t after_size;

	if (!config_read(after_name, &after, &after_size, err))
		return false;
	changes = field_diff(before_name, before, before_size, after_name,
			     after, after_size, err);
	if (!changes)
		return false;
	if (args->json)
		changes_print_json(ctl->out, changes);
	else
		changes_print(ctl->out, changes);
	if (changes->len > 0)
		ctl->exit_code = EXIT_CODE_DIFFERS;
	g_ptr_array_free(changes, TRUE);
	return true;
}

static bool run(struct ctl *ctl, const struct arguments *args,
		struct error *err)
{
	char *before = NULL;
	size_t size;
	bool ok;

	if (args->operand_count == 1)
		ok = config_fetch(ctl, args, &before, &size, err);
	else
		ok = config_read(args->operands[0], &before, &size, err);
	if (!ok)
		return false;
	ok = compare(ctl, args, before, size, err);
	g_free(before);
	return ok;
}

const struct command command_diff = {
	.name = "diff",
	.summary = "Compare a file with the one in force, or two files",
	.args_doc = "[BEFORE] AFTER",
	.operand = OPERAND_FILE,
	.operands_min = 1,
	.operands_max = 2,
	.run = run,
};
