#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "ctl/command.h"
#include "ctl/explain.h"
#include "ctl/print.h"

static void lines_print(FILE *out, const struct explanation *explanation)
{
	for (guint i = 0; i < explanation->lines->len; i++) {
		const struct explain_line *line = explanation->lines->pdata[i];
		g_autofree char *text = print_safe(line->text);

		fprintf(out, "%.6f %s %s\n", line->time, line->source, text);
	}
}

static void lines_print_json(FILE *out, const struct explanation *explanation)
{
	json_t *list = json_array();
	json_t *root;

	for (guint i = 0; i < explanation->lines->len; i++) {
		const struct explain_line *line = explanation->lines->pdata[i];

		json_array_append_new(list, json_pack("{s:f, s:s, s:s}", "time",
						      line->time, "source",
						      line->source, "text",
						      line->text));
	}
	root = json_pack("{s:o, s:s}", "lines", list, "cause",
			 explanation->cause);
	print_json(out, root);
	json_decref(root);
}

static bool files_read(struct explanation *explanation,
		       const struct arguments *args, struct error *err)
{
	g_autofree char *fingerprint = NULL;

	for (unsigned int i = 1; i < args->operand_count; i++)
		if (!explanation_read(explanation, args->operands[0],
				      args->operands[i], err))
			return false;
	fingerprint = explanation_fingerprint(explanation);
	for (unsigned int i = 1; fingerprint && i < args->operand_count; i++)
		if (!explanation_read_fingerprint(explanation, fingerprint,
						  args->operands[i], err))
			return false;
	return true;
}

static bool run(struct ctl *ctl, const struct arguments *args,
		struct error *err)
{
	struct explanation explanation;

	explanation_init(&explanation);
	if (!files_read(&explanation, args, err)) {
		explanation_clear(&explanation);
		return false;
	}
	if (!explanation_finish(&explanation, args->operands[0], err)) {
		explanation_clear(&explanation);
		return false;
	}
	if (args->json) {
		lines_print_json(ctl->out, &explanation);
	} else {
		lines_print(ctl->out, &explanation);
		fprintf(ctl->out, "cause: %s\n", explanation.cause);
	}
	explanation_clear(&explanation);
	return true;
}

const struct command command_explain = {
	.name = "explain",
	.summary = "Tell from logs what became of a request, and why",
	.args_doc = "REQUEST LOG...",
	.operand = OPERAND_FILE,
	.operands_min = 2,
	.operands_max = CTL_OPERANDS_MAX,
	.run = run,
};
