#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "policies.h"

/* Sorted by name: policy_find() searches it by halves. */
static const struct policy_ops *const policies[] = {
	&policy_least_load,  &policy_prefix,	  &policy_reserve,
	&policy_round_robin, &policy_two_choices,
};

static int compare_name(const void *key, const void *entry)
{
	const struct policy_ops *const *ops = entry;

	return strcmp(key, (*ops)->name);
}

const struct policy_ops *policy_find(const char *name, struct error *err)
{
	const struct policy_ops *const *found = NULL;

	if (name != NULL)
		found = bsearch(
			name, (const void *)policies, G_N_ELEMENTS(policies),
			sizeof(const struct policy_ops *), compare_name);
	if (found != NULL)
		return *found;
	error_set(err, RESULT_BAD_CONFIG, "policy.name: no policy \"%s\"",
		  name != NULL ? name : "");
	return NULL;
}

const struct policy_ops *const *policy_all(size_t *count)
{
	*count = G_N_ELEMENTS(policies);
	return policies;
}

double policy_param(const struct config_policy *settings, const char *name,
		    double fallback)
{
	if (settings == NULL)
		return fallback;
	for (size_t i = 0; i < settings->param_count; i++) {
		if (strcmp(settings->params[i].name, name) == 0)
			return settings->params[i].value;
	}
	return fallback;
}
