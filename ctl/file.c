#include "ctl/file.h"

#include <glib.h>

#include "config/config.h"
#include "policy/policy.h"

bool config_file_read(struct config_file *file, const char *name,
		      struct error *err)
{
	*file = (struct config_file){0};
	if (!config_read(name, &file->data, &file->size, err))
		return false;
	file->config = config_parse(name, file->data, file->size, err);
	if (file->config && policy_check(&file->config->policy, err))
		return true;
	if (file->config)
		error_prefix(err, "%s", name);
	config_file_clear(file);
	return false;
}

void config_file_clear(struct config_file *file)
{
	config_destroy(file->config);
	g_free(file->data);
	*file = (struct config_file){0};
}
