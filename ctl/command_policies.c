#include <glib.h>

#include "ctl/command.h"
#include "ctl/print.h"
#include "policy/policy.h"

static void params_add(struct columns *columns, const struct policy_ops *policy)
{
	for (size_t i = 0; i < policy->param_count; i++) {
		const struct policy_param *param = &policy->params[i];
		g_autofree char *min = g_strdup_printf("%g", param->min);
		g_autofree char *max = g_strdup_printf("%g", param->max);
		g_autofree char *fallback =
			g_strdup_printf("%g", param->fallback);

		columns_add(columns, policy->name, param->name, min, max,
			    fallback, param->help);
	}
}

static void policies_print(FILE *out)
{
	struct columns *columns = columns_create(2);
	struct columns *params = columns_create(6);
	const struct policy_ops *const *policies;
	size_t count;

	policies = policy_all(&count);
	columns_add(params, "POLICY", "PARAMETER", "FROM", "TO", "DEFAULT",
		    "MEANING");
	for (size_t i = 0; i < count; i++) {
		columns_add(columns, policies[i]->name, policies[i]->summary);
		params_add(params, policies[i]);
	}
	columns_print(columns, out);
	fputc('\n', out);
	columns_print(params, out);
}

static json_t *params_json(const struct policy_ops *policy)
{
	json_t *list = json_array();

	for (size_t i = 0; i < policy->param_count; i++) {
		const struct policy_param *param = &policy->params[i];

		json_array_append_new(
			list, json_pack("{s:s, s:f, s:f, s:f, s:s}", "name",
					param->name, "min", param->min, "max",
					param->max, "default", param->fallback,
					"help", param->help));
	}
	return list;
}

static void policies_print_json(FILE *out)
{
	json_t *list = json_array();
	const struct policy_ops *const *policies;
	size_t count;

	policies = policy_all(&count);
	for (size_t i = 0; i < count; i++)
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:o}", "name", policies[i]->name,
				  "summary", policies[i]->summary, "parameters",
				  params_json(policies[i])));
	print_json(out, list);
	json_decref(list);
}

static bool run(struct ctl *ctl, const struct arguments *args,
		struct error *err)
{
	if (args->json)
		policies_print_json(ctl->out);
	else
		policies_print(ctl->out);
	return true;
}

const struct command command_policies = {
	.name = "policies",
	.summary = "List the routing policies that a file may name",
	.args_doc = "",
	.run = run,
};
