#include <inttypes.h>

#include "ctl/apply.h"
#include "ctl/command.h"
#include "ctl/print.h"

static bool run(struct ctl *ctl, const struct arguments *args,
		struct error *err)
{
	struct apply_result result;
	json_t *report;

	if (!apply_file(ctl, args, args->operands[0], &result, err))
		return false;
	if (!args->json) {
		fprintf(ctl->out,
			"revision %" PRIu64 " is in force (was %" PRIu64 ")\n",
			result.revision, result.base);
		return true;
	}
	report =
		json_pack("{s:I, s:I}", "revision", (json_int_t)result.revision,
			  "base", (json_int_t)result.base);
	print_json(ctl->out, report);
	json_decref(report);
	return true;
}

const struct command command_apply = {
	.name = "apply",
	.summary = "Put a file in force, whole",
	.args_doc = "FILE",
	.options = OPTION_BASE | OPTION_AUTHOR,
	.operand = OPERAND_FILE,
	.operands_min = 1,
	.operands_max = 1,
	.run = run,
};
