#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "policies.h"

/* Sorted by name for the binary search of policy_find(). */
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

static const struct policy_param *param_find(const struct policy_ops *ops,
					     const char *name)
{
	for (size_t i = 0; i < ops->param_count; i++) {
		if (strcmp(ops->params[i].name, name) == 0)
			return &ops->params[i];
	}
	return NULL;
}

static bool param_check(const struct policy_ops *ops,
			const struct config_param *given, size_t index,
			struct error *err)
{
	const struct policy_param *param = param_find(ops, given->name);

	if (param == NULL)
		return error_set(err, RESULT_BAD_CONFIG,
				 "policy.parameters[%zu].name: policy \"%s\" "
				 "has no parameter \"%s\"",
				 index, ops->name, given->name);
	if (given->value >= param->min && given->value <= param->max)
		return true;
	return error_set(err, RESULT_BAD_CONFIG,
			 "policy.parameters[%zu].value: \"%s\" must be from "
			 "%g to %g",
			 index, param->name, param->min, param->max);
}

bool policy_check(const struct config_policy *settings, struct error *err)
{
	const struct policy_ops *ops = policy_find(settings->name, err);

	if (ops == NULL)
		return false;
	for (size_t i = 0; i < settings->param_count; i++) {
		if (!param_check(ops, &settings->params[i], i, err))
			return false;
	}
	return true;
}

double policy_value(const struct policy_ops *ops,
		    const struct config_policy *settings, const char *name)
{
	for (size_t i = 0; settings != NULL && i < settings->param_count; i++) {
		if (strcmp(settings->params[i].name, name) == 0)
			return settings->params[i].value;
	}
	return param_find(ops, name)->fallback;
}
