#include "ctl/command.h"
#include "ctl/print.h"
#include "policy/policy.h"

static void policies_print(FILE *out)
{
	struct columns *columns = columns_create(2);
	const struct policy_ops *const *policies;
	size_t count;

	policies = policy_all(&count);
	for (size_t i = 0; i < count; i++)
		columns_add(columns, policies[i]->name, policies[i]->summary);
	columns_print(columns, out);
}

static void policies_print_json(FILE *out)
{
	json_t *list = json_array();
	const struct policy_ops *const *policies;
	size_t count;

	policies = policy_all(&count);
	for (size_t i = 0; i < count; i++)
		json_array_append_new(
			list, json_pack("{s:s, s:s}", "name", policies[i]->name,
					"summary", policies[i]->summary));
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
