#include <glib.h>

#include "config/config.h"
#include "ctl/admin.h"
#include "ctl/command.h"
#include "ctl/file.h"
#include "ctl/print.h"

static json_t *report_create(const char *name, const struct config *config)
{
	return json_pack(
		"{s:s, s:s, s:i, s:i, s:i, s:s}", "file", name, "site",
		config->site, "data_centres", (int)config->data_centre_count,
		"pools", (int)config->pool_count, "services",
		(int)config->service_count, "policy", config->policy.name);
}

static json_int_t servers_in_pool(const json_t *status, const char *pool)
{
	json_int_t count = 0;
	json_t *runner;
	size_t i;

	json_array_foreach (json_object_get(status, "runners"), i, runner)
		count += g_str_equal(object_text(runner, "pool"), pool);
	return count;
}

/* Counts backend servers whose pool is not in the file. */
static json_int_t servers_without_pool(const json_t *status,
				       const struct config *config)
{
	json_int_t count = 0;
	json_t *runner;
	size_t i;

	json_array_foreach (json_object_get(status, "runners"), i, runner)
		count += config_pool(config, object_text(runner, "pool")) ==
			 NULL;
	return count;
}

static bool server_counts_add(struct ctl *ctl, const struct arguments *args,
			      const struct config *config, json_t *report,
			      struct error *err)
{
	json_t *status = admin_get(ctl, args->admin, "/status", err);
	json_t *counts = json_object();

	if (!status) {
		json_decref(counts);
		return false;
	}
	for (size_t i = 0; i < config->pool_count; i++) {
		const char *name = config->pools[i].name;

		json_object_set_new(
			counts, name,
			json_integer(servers_in_pool(status, name)));
	}
	json_object_set_new(report, "servers", counts);
	json_object_set_new(report, "servers_without_pool",
			    json_integer(servers_without_pool(status, config)));
	json_decref(status);
	return true;
}

static void report_print(FILE *out, const json_t *report)
{
	json_t *servers = json_object_get(report, "servers");
	const char *pool;
	json_t *count;

	fprintf(out,
		"%s: valid: site %s, %" JSON_INTEGER_FORMAT
		" data centres, %" JSON_INTEGER_FORMAT
		" pools, %" JSON_INTEGER_FORMAT " services, policy %s\n",
		object_text(report, "file"), object_text(report, "site"),
		object_number(report, "data_centres"),
		object_number(report, "pools"),
		object_number(report, "services"),
		object_text(report, "policy"));
	if (!servers)
		return;
	json_object_foreach (servers, pool, count)
		fprintf(out,
			"pool %s: %" JSON_INTEGER_FORMAT " backend servers\n",
			pool, json_integer_value(count));
	if (object_number(report, "servers_without_pool") > 0)
		fprintf(out,
			"warning: %" JSON_INTEGER_FORMAT
			" backend servers belong to pools that the file "
			"lacks\n",
			object_number(report, "servers_without_pool"));
}

static bool run(struct ctl *ctl, const struct arguments *args,
		struct error *err)
{
	const char *name = args->operands[0];
	struct config_file file;
	json_t *report;
	bool ok = true;

	if (!config_file_read(&file, name, err))
		return false;
	report = report_create(name, file.config);
	if (args->remote)
		ok = server_counts_add(ctl, args, file.config, report, err);
	if (ok && args->json)
		print_json(ctl->out, report);
	else if (ok)
		report_print(ctl->out, report);
	json_decref(report);
	config_file_clear(&file);
	return ok;
}

const struct command command_validate = {
	.name = "validate",
	.summary = "Check a file without applying it",
	.args_doc = "FILE",
	.options = OPTION_REMOTE,
	.operand = OPERAND_FILE,
	.operands_min = 1,
	.operands_max = 1,
	.run = run,
};
