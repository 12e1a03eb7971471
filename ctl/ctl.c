#include "ctl/ctl.h"

#include <glib.h>
#include <jansson.h>

#include "ctl/arguments.h"
#include "ctl/command.h"
#include "ctl/exit_code.h"
#include "ctl/print.h"

static void error_report(const struct ctl *ctl, bool json,
			 const struct error *err)
{
	g_autofree char *text = print_safe(err->text);
	json_t *report;

	if (!json) {
		fprintf(ctl->err, "jtctl: %s: %s\n", result_label(err->code),
			text);
		return;
	}
	report = json_pack("{s:{s:i, s:s, s:s, s:s}}", "error", "code",
			   (int)err->code, "result", result_label(err->code),
			   "message", text, "outcome",
			   outcome_label(result_outcome(err->code)));
	print_json(ctl->err, report);
	json_decref(report);
}

int ctl_run(struct ctl *ctl, int argc, char **argv)
{
	struct arguments args = {
		.admin = ctl->admin ? ctl->admin : CTL_ADMIN_DEFAULT,
		.author = ctl->author,
	};
	const struct command *command = NULL;
	struct error err = {0};

	ctl->exit_code = EXIT_CODE_OK;
	if (!arguments_parse(ctl, argc, argv, &command, &args, &err) ||
	    (command && !command->run(ctl, &args, &err))) {
		error_report(ctl, args.json, &err);
		return (int)exit_code_of(err.code);
	}
	return ctl->exit_code;
}
