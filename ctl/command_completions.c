#include "ctl/command.h"
#include "ctl/completion.h"

static bool run(struct ctl *ctl, const struct arguments *args,
		struct error *err)
{
	if (completion_print(ctl->out, args->operands[0]))
		return true;
	return error_set(err, RESULT_USAGE,
			 "completions: \"%s\" is not bash, zsh or fish",
			 args->operands[0]);
}

const struct command command_completions = {
	.name = "completions",
	.summary = "Print completions for bash, zsh or fish",
	.args_doc = "SHELL",
	.operand = OPERAND_SHELL,
	.operands_min = 1,
	.operands_max = 1,
	.run = run,
};
