#include <glib.h>
#include <math.h>

#include "config/document.h"
#include "config/rule.h"

#define LATENCY_MS_MAX 60000.0
#define PATH_SIZE 64

static bool version_check(const struct check *check,
			  const struct document *document)
{
	if (!decimal_check(check, "version"))
		return false;
	if (document->version == CONFIG_FORMAT_VERSION)
		return true;
	return outline_refuse(check->outline, check->err, "version",
			      "format %u is not known, only %u",
			      document->version, CONFIG_FORMAT_VERSION);
}

/* libcyaml parses a number's prefix and ignores what follows it. */
static bool float_check(const struct check *check, const char *path,
			double value)
{
	const struct outline_node *node = outline_find(check->outline, path);
	char *end;

	if (!node || !node->text)
		return true;
	g_ascii_strtod(node->text, &end);
	if (*end == '\0' && end != node->text && isfinite(value))
		return true;
	return outline_refuse(check->outline, check->err, path, "not a number");
}

static bool data_centres_check(const struct check *check,
			       const struct config *config, GHashTable *names)
{
	char path[PATH_SIZE];

	for (size_t i = 0; i < config->data_centre_count; i++) {
		const char *name = config->data_centres[i].name;

		g_snprintf(path, sizeof(path), "data_centres[%zu].name", i);
		if (!name_check(check, path, name))
			return false;
		if (!g_hash_table_add(names, (char *)name))
			return outline_refuse(check->outline, check->err, path,
					      "duplicate name \"%s\"", name);
	}
	return true;
}

static bool endpoint_check(const struct check *check, GHashTable *names,
			   size_t i, const char *field, const char *name)
{
	char path[PATH_SIZE];

	if (g_hash_table_contains(names, name))
		return true;
	g_snprintf(path, sizeof(path), "links[%zu].%s", i, field);
	return outline_refuse(check->outline, check->err, path,
			      "unknown data centre \"%s\"", name);
}

static bool link_check(const struct check *check, struct config_link *link,
		       size_t i)
{
	static const struct number_rule rules[] = {
		{"bytes_per_s", offsetof(struct config_link, bytes_per_s),
		 sizeof(link->bytes_per_s), 1, UINT64_MAX, 0, 1, 1},
	};
	char path[PATH_SIZE];
	char field[PATH_SIZE];
	struct subject subject = {
		.check = check,
		.path = path,
		.kind_label = "a link",
		.kind = 1,
		.object = link,
	};

	g_snprintf(path, sizeof(path), "links[%zu]", i);
	g_snprintf(field, sizeof(field), "%s.latency_ms", path);
	if (!float_check(check, field, link->latency_ms))
		return false;
	if (link->latency_ms < 0 || link->latency_ms > LATENCY_MS_MAX)
		return field_refuse(&subject, "latency_ms",
				    "must be from 0 to %.0f", LATENCY_MS_MAX);
	return numbers_check(&subject, rules, G_N_ELEMENTS(rules));
}

static bool links_check(const struct check *check, struct config *config,
			GHashTable *names)
{
	g_autoptr(GHashTable) pairs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char path[PATH_SIZE];

	for (size_t i = 0; i < config->link_count; i++) {
		struct config_link *link =
			(struct config_link *)&config->links[i];

		if (!endpoint_check(check, names, i, "from", link->from) ||
		    !endpoint_check(check, names, i, "to", link->to) ||
		    !link_check(check, link, i))
			return false;
		g_snprintf(path, sizeof(path), "links[%zu]", i);
		if (!g_hash_table_add(
			    pairs,
			    g_strdup_printf("%s>%s", link->from, link->to)))
			return outline_refuse(
				check->outline, check->err, path,
				"duplicate link from \"%s\" to \"%s\"",
				link->from, link->to);
	}
	return true;
}

static bool policy_check(const struct check *check,
			 const struct config_policy *policy)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	char path[PATH_SIZE];

	if (!name_check(check, "policy.name", policy->name))
		return false;
	for (size_t i = 0; i < policy->param_count; i++) {
		const struct config_param *param = &policy->params[i];

		g_snprintf(path, sizeof(path), "policy.parameters[%zu].name",
			   i);
		if (!name_check(check, path, param->name))
			return false;
		if (!g_hash_table_add(names, (char *)param->name))
			return outline_refuse(check->outline, check->err, path,
					      "duplicate name \"%s\"",
					      param->name);
		g_snprintf(path, sizeof(path), "policy.parameters[%zu].value",
			   i);
		if (!float_check(check, path, param->value))
			return false;
	}
	return true;
}

bool document_check(const struct check *check, struct document *document)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	struct config *config = &document->config;

	return version_check(check, document) &&
	       name_check(check, "site", config->site) &&
	       data_centres_check(check, config, names) &&
	       links_check(check, config, names) &&
	       pools_check(check, config) && services_check(check, config) &&
	       policy_check(check, &config->policy);
}
