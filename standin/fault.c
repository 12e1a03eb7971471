#include "standin/fault.h"

#include <jansson.h>
#include <string.h>

#include "common/error.h"

void fault_init(struct fault_set *set, const char *const *names)
{
	*set = (struct fault_set){.names = names};
}

bool fault_set(struct fault_set *set, const char *name, int64_t value,
	       uint32_t times, struct error *err)
{
	for (unsigned int i = 0; set->names[i]; i++) {
		if (strcmp(set->names[i], name) != 0)
			continue;
		set->faults[i] = (struct fault){value, times};
		return true;
	}
	return error_set(err, RESULT_USAGE, "unknown fault '%s'", name);
}

bool fault_parse(struct fault_set *set, const char *body, size_t size,
		 struct error *err)
{
	json_error_t detail;
	json_t *root = json_loadb(body, size, 0, &detail);
	const char *name = NULL;
	json_int_t value = 1;
	json_int_t times = 0;
	bool ok;

	if (json_unpack_ex(root, &detail, 0, "{s:s, s?I, s?I}", "fault", &name,
			   "value", &value, "times", &times) != 0)
		ok = error_set(err, RESULT_USAGE, "%s", detail.text);
	else if (value < 0 || times < 0 || times > UINT32_MAX)
		ok = error_set(err, RESULT_USAGE, "out of range");
	else
		ok = fault_set(set, name, value, (uint32_t)times, err);
	json_decref(root);
	return ok;
}

int64_t fault_value(const struct fault_set *set, unsigned int fault)
{
	return set->faults[fault].value;
}

int64_t fault_take(struct fault_set *set, unsigned int fault)
{
	struct fault *f = &set->faults[fault];
	int64_t value = f->value;

	if (value != 0 && f->times > 0 && --f->times == 0)
		f->value = 0;
	return value;
}
