#include <glib.h>
#include <string.h>

#include "ctl/admin.h"
#include "ctl/command.h"
#include "ctl/print.h"

#define USEC_PER_SEC_REAL 1e6

static double object_seconds(const json_t *object, const char *name)
{
	return (double)object_number(object, name) / USEC_PER_SEC_REAL;
}

static bool object_flag(const json_t *object, const char *name)
{
	return json_is_true(json_object_get(object, name));
}

static void instance_print(FILE *out, const json_t *status)
{
	const json_t *self = json_object_get(status, "instance");
	const json_t *platform = json_object_get(status, "platform");
	double age = object_seconds(platform, "list_age_us");

	fprintf(out, "instance %s in %s, version %s, up %.0f s%s\n",
		object_text(self, "name"), object_text(self, "data_centre"),
		object_text(status, "version"),
		object_seconds(self, "uptime_us"),
		object_flag(self, "draining") ? ", draining" : "");
	fprintf(out, "revision %" JSON_INTEGER_FORMAT ", policy %s\n",
		object_number(status, "revision"),
		object_text(status, "policy"));
	if (!object_flag(platform, "configured"))
		fprintf(out, "platform: none configured\n");
	else if (age < 0)
		fprintf(out, "platform: its list was not read yet\n");
	else
		fprintf(out, "platform: list read %.1f s ago\n", age);
}

static int name_compare(const void *a, const void *b)
{
	json_t *const *left = a;
	json_t *const *right = b;

	return strcmp(object_text(*left, "name"), object_text(*right, "name"));
}

/* The list's entries sorted by name; they still belong to the list. */
static GPtrArray *sorted_by_name(const json_t *list)
{
	GPtrArray *entries = g_ptr_array_new();
	json_t *entry;
	size_t i;

	json_array_foreach (list, i, entry)
		g_ptr_array_add(entries, entry);
	g_ptr_array_sort(entries, name_compare);
	return entries;
}

static void members_print(FILE *out, const json_t *members)
{
	struct columns *columns = columns_create(5);
	GPtrArray *entries = sorted_by_name(members);

	columns_add(columns, "MEMBER", "DATA CENTRE", "STATE", "PEER ADDRESS",
		    "ADDRESS");
	for (guint i = 0; i < entries->len; i++) {
		const json_t *member = entries->pdata[i];

		columns_add(columns, object_text(member, "name"),
			    object_text(member, "data_centre"),
			    object_text(member, "state"),
			    object_text(member, "peer_address"),
			    object_text(member, "address"));
	}
	g_ptr_array_free(entries, TRUE);
	fputc('\n', out);
	columns_print(columns, out);
}

static void runners_print(FILE *out, const json_t *runners)
{
	struct columns *columns = columns_create(6);
	json_t *runner;
	size_t i;

	columns_add(columns, "BACKEND SERVER", "POOL", "DATA CENTRE", "ADDRESS",
		    "STATE", "HOME");
	json_array_foreach (runners, i, runner)
		columns_add(columns, object_text(runner, "name"),
			    object_text(runner, "pool"),
			    object_text(runner, "data_centre"),
			    object_text(runner, "address"),
			    object_flag(runner, "leaving")  ? "leaving"
			    : object_flag(runner, "listed") ? "live"
							    : "unlisted",
			    object_flag(runner, "home") ? "here" : "");
	fputc('\n', out);
	columns_print(columns, out);
}

static void counts_print(FILE *out, const json_t *status)
{
	const json_t *ledger = json_object_get(status, "ledger");

	fprintf(out,
		"\nrequests in flight %zu, waiting %" JSON_INTEGER_FORMAT
		", grants %" JSON_INTEGER_FORMAT
		", grants held %" JSON_INTEGER_FORMAT
		", records %" JSON_INTEGER_FORMAT "\n",
		json_array_size(json_object_get(status, "requests")),
		object_number(ledger, "waiting"),
		object_number(ledger, "grants"), object_number(ledger, "held"),
		object_number(ledger, "records"));
}

static bool run(struct ctl *ctl, const struct arguments *args,
		struct error *err)
{
	json_t *status = admin_get(ctl, args->admin, "/status", err);

	if (!status)
		return false;
	if (args->json) {
		print_json(ctl->out, status);
	} else {
		instance_print(ctl->out, status);
		members_print(ctl->out, json_object_get(status, "members"));
		runners_print(ctl->out, json_object_get(status, "runners"));
		counts_print(ctl->out, status);
	}
	json_decref(status);
	return true;
}

const struct command command_status = {
	.name = "status",
	.summary = "Print what an instance knows of the site",
	.args_doc = "",
	.run = run,
};
