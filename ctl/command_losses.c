#include <string.h>

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

static char *route_name(gpointer key)
{
	return g_strdup(key);
}

static char *second_name(gpointer key)
{
	return g_strdup_printf("%d", GPOINTER_TO_INT(key));
}

static gint route_compare(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static gint second_compare(gconstpointer a, gconstpointer b)
{
	return GPOINTER_TO_INT(a) - GPOINTER_TO_INT(b);
}

static void counts_print(FILE *out, const struct losses *losses,
			 const char *kind, GHashTable *counts,
			 char *(*name_of)(gpointer key), GCompareFunc compare)
{
	g_autoptr(GList) keys =
		g_list_sort(g_hash_table_get_keys(counts), compare);

	for (GList *link = keys; link; link = link->next) {
		g_autofree char *name = name_of(link->data);

		row_print(out, losses, kind, name,
			  GPOINTER_TO_UINT(
				  g_hash_table_lookup(counts, link->data)));
	}
}

static json_t *counts_json(GHashTable *counts, char *(*name_of)(gpointer key))
{
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer key;
	gpointer count;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &key, &count)) {
		g_autofree char *name = name_of(key);

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
			 "causes", causes, "routes",
			 counts_json(losses->routes, route_name), "seconds",
			 counts_json(losses->seconds, second_name));
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
		counts_print(ctl->out, &losses, "route", losses.routes,
			     route_name, route_compare);
		counts_print(ctl->out, &losses, "second", losses.seconds,
			     second_name, second_compare);
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
