#include <string.h>

#include <glib.h>

#include "ctl/admin.h"
#include "ctl/command.h"
#include "ctl/print.h"

#define HOST_OPERAND 0
#define PATH_OPERAND 1
#define OPERANDS_MIN 2

static const char *const parameters[] = {"prompt", "output", "estimate",
					 "organisation"};

static bool is_parameter(const char *text)
{
	for (size_t i = 0; i < G_N_ELEMENTS(parameters); i++) {
		size_t size = strlen(parameters[i]);

		if (strncmp(text, parameters[i], size) == 0 &&
		    text[size] == '=')
			return true;
	}
	return false;
}

static void parameter_add(GString *path, const char *name, const char *value)
{
	g_autofree char *escaped = g_uri_escape_string(value, NULL, FALSE);

	g_string_append_printf(path, "%c%s=%s",
			       strchr(path->str, '?') ? '&' : '?', name,
			       escaped);
}

static bool path_make(GString *path, const struct arguments *args,
		      struct error *err)
{
	g_string_assign(path, "/where");
	parameter_add(path, "host", args->operands[HOST_OPERAND]);
	parameter_add(path, "path", args->operands[PATH_OPERAND]);
	for (unsigned int i = OPERANDS_MIN; i < args->operand_count; i++) {
		const char *text = args->operands[i];
		g_autofree char *name = NULL;

		if (!is_parameter(text))
			return error_set(err, RESULT_USAGE,
					 "where: \"%s\" is not prompt=, "
					 "output=, estimate= or organisation=",
					 text);
		name = g_strndup(text, strcspn(text, "="));
		parameter_add(path, name, strchr(text, '=') + 1);
	}
	return true;
}

static void candidates_print(FILE *out, const json_t *step)
{
	struct columns *columns = columns_create(7);
	const json_t *candidate;
	size_t i;

	columns_add(columns, "SERVER", "DATA CENTRE", "COST", "REQUESTS",
		    "TOKENS", "PATH", "BARRED");
	json_array_foreach (json_object_get(step, "candidates"), i, candidate) {
		const json_t *load = json_object_get(candidate, "load");
		const json_t *cost = json_object_get(candidate, "cost");
		g_autofree char *text =
			cost ? g_strdup_printf("%10.3f", json_real_value(cost))
			     : g_strdup("");
		g_autofree char *requests =
			g_strdup_printf("%" JSON_INTEGER_FORMAT,
					object_number(load, "requests"));
		g_autofree char *tokens = g_strdup_printf(
			"%" JSON_INTEGER_FORMAT,
			object_number(load, "decode_tokens") +
				object_number(load, "prefill_tokens"));
		const char *barred = object_text(candidate, "barred");

		columns_add(columns, object_text(candidate, "server"),
			    object_text(candidate, "data_centre"), text,
			    requests, tokens, object_text(candidate, "path"),
			    !cost && !*barred ? "no room" : barred);
	}
	columns_print(columns, out);
}

static void service_print(FILE *out, const json_t *service)
{
	const json_t *queue = json_object_get(service, "queue");
	const char *server = object_text(service, "server");
	const json_t *step;
	size_t i;

	fprintf(out, "service %s, weight %" JSON_INTEGER_FORMAT ": %s%s%s\n",
		object_text(service, "service"),
		object_number(service, "weight"),
		object_text(service, "verdict"), *server ? " to " : "", server);
	if (json_is_true(json_object_get(service, "dispatched")))
		fprintf(out, "unless the dispatcher of the service grants "
			     "another server\n");
	fprintf(out,
		"waiting here %" JSON_INTEGER_FORMAT
		", at all instances %" JSON_INTEGER_FORMAT "\n",
		object_number(queue, "here"),
		object_number(queue, "all_instances"));
	json_array_foreach (json_object_get(service, "steps"), i, step) {
		const char *chosen = object_text(step, "chosen");

		fprintf(out, "\n%s: %s\n", object_text(step, "step"),
			*chosen ? chosen : "no server");
		candidates_print(out, step);
	}
}

static void answer_print(FILE *out, const json_t *answer)
{
	const json_t *service;
	size_t i;

	fprintf(out,
		"route %s, version %" JSON_INTEGER_FORMAT
		", urgency %" JSON_INTEGER_FORMAT
		"\nlist of servers read %" JSON_INTEGER_FORMAT " ms ago\n",
		object_text(answer, "route"), object_number(answer, "version"),
		object_number(answer, "urgency"),
		object_number(answer, "list_age_ms"));
	json_array_foreach (json_object_get(answer, "services"), i, service)
		service_print(out, service);
}

static bool run(struct ctl *ctl, const struct arguments *args,
		struct error *err)
{
	g_autoptr(GString) path = g_string_new(NULL);
	json_t *answer;

	if (!path_make(path, args, err))
		return false;
	answer = admin_get(ctl, args->admin, path->str, err);
	if (!answer)
		return false;
	if (args->json)
		print_json(ctl->out, answer);
	else
		answer_print(ctl->out, answer);
	json_decref(answer);
	return true;
}

const struct command command_where = {
	.name = "where",
	.summary = "Explain where a request would go now, without sending it",
	.args_doc = "HOST PATH [prompt=N] [output=N] [estimate=N] "
		    "[organisation=NAME]",
	.operand = OPERAND_NONE,
	.operands_min = OPERANDS_MIN,
	.operands_max = OPERANDS_MIN + G_N_ELEMENTS(parameters),
	.run = run,
};
