#include <glib.h>
#include <jansson.h>

#include "ctl/command.h"
#include "ctl/losses.h"
#include "ctl/print.h"

static double share_of(const struct losses *losses, uint32_t count)
{
	return (double)count / (double)MAX(losses->lost, 1u);
}

static void row_print(FILE *out, const struct losses *losses, const char *kind,
		      const char *name, uint32_t count)
{
	g_autofree char *safe = print_safe(name);

	fprintf(out, "%-7s %-20s %7u %6.1f%%\n", kind, safe, count,
		100.0 * share_of(losses, count));
}

static void causes_print(FILE *out, const struct losses *losses)
{
	for (int i = LOSS_NONE + 1; i < LOSS_COUNT; i++)
		if (losses->causes[i] > 0)
			row_print(out, losses, "cause", loss_name(i),
				  losses->causes[i]);
}

static void routes_print(FILE *out, const struct losses *losses)
{
	g_autoptr(GList) names = g_list_sort(
		g_hash_table_get_keys(losses->routes), (GCompareFunc)g_strcmp0);

	for (GList *link = names; link; link = link->next)
		row_print(out, losses, "route", link->data,
			  GPOINTER_TO_UINT(g_hash_table_lookup(losses->routes,
							       link->data)));
}

static gint second_compare(gconstpointer a, gconstpointer b)
{
	return GPOINTER_TO_INT(a) - GPOINTER_TO_INT(b);
}

static void seconds_print(FILE *out, const struct losses *losses)
{
	g_autoptr(GList) seconds = g_list_sort(
		g_hash_table_get_keys(losses->seconds), second_compare);

	for (GList *link = seconds; link; link = link->next) {
		g_autofree char *name =
			g_strdup_printf("%d", GPOINTER_TO_INT(link->data));

		row_print(out, losses, "second", name,
			  GPOINTER_TO_UINT(g_hash_table_lookup(losses->seconds,
							       link->data)));
	}
}

static json_t *routes_json(const struct losses *losses)
{
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer name;
	gpointer count;

	g_hash_table_iter_init(&iter, losses->routes);
	while (g_hash_table_iter_next(&iter, &name, &count))
		json_object_set_new(object, name,
				    json_integer(GPOINTER_TO_UINT(count)));
	return object;
}

static json_t *seconds_json(const struct losses *losses)
{
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer second;
	gpointer count;

	g_hash_table_iter_init(&iter, losses->seconds);
	while (g_hash_table_iter_next(&iter, &second, &count)) {
		g_autofree char *name =
			g_strdup_printf("%d", GPOINTER_TO_INT(second));

		json_object_set_new(object, name,
				    json_integer(GPOINTER_TO_UINT(count)));
	}
	return object;
}

static void losses_print_json(FILE *out, const struct losses *losses)
{
	json_t *causes = json_object();
	json_t *root;

	for (int i = LOSS_NONE + 1; i < LOSS_COUNT; i++)
		json_object_set_new(causes, loss_name(i),
				    json_integer(losses->causes[i]));
	root = json_pack("{s:i, s:i, s:o, s:o, s:o}", "requests",
			 (int)losses->requests, "lost", (int)losses->lost,
			 "causes", causes, "routes", routes_json(losses),
			 "seconds", seconds_json(losses));
	print_json(out, root);
	json_decref(root);
}

static bool run(struct ctl *ctl, const struct arguments *args,
		struct error *err)
{
	struct losses losses;

	losses_init(&losses);
	for (unsigned int i = 0; i < args->operand_count; i++) {
		if (losses_read(&losses, args->operands[i], err))
			continue;
		losses_clear(&losses);
		return false;
	}
	if (args->json) {
		losses_print_json(ctl->out, &losses);
	} else {
		fprintf(ctl->out, "%u of %u requests lost\n", losses.lost,
			losses.requests);
		causes_print(ctl->out, &losses);
		routes_print(ctl->out, &losses);
		seconds_print(ctl->out, &losses);
	}
	losses_clear(&losses);
	return true;
}

const struct command command_losses = {
	.name = "losses",
	.summary = "Count what callers lost, by cause, route and second",
	.args_doc = "LOG...",
	.operand = OPERAND_FILE,
	.operands_min = 1,
	.operands_max = CTL_OPERANDS_MAX,
	.run = run,
};
