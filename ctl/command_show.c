#include "ctl/admin.h"
#include "ctl/command.h"
#include "ctl/print.h"

static bool run(struct ctl *ctl, const struct arguments *args,
		struct error *err)
{
	json_t *config = admin_get(ctl, args->admin, "/config", err);
	const char *content = object_text(config, "content");

	if (!config)
		return false;
	if (object_number(config, "revision") == 0) {
		json_decref(config);
		return error_set(err, RESULT_NO_CONFIG,
				 "no file has been applied yet");
	}
	if (args->json)
		print_json(ctl->out, config);
	else
		fputs(content, ctl->out);
	json_decref(config);
	return true;
}

const struct command command_show = {
	.name = "show",
	.summary = "Print the file in force",
	.args_doc = "",
	.run = run,
};
