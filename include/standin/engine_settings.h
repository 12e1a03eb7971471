/*
 * engine_settings.h - the flags of jtengine; see jtengine(1)
 */
#ifndef STANDIN_ENGINE_SETTINGS_H
#define STANDIN_ENGINE_SETTINGS_H

#include "standin/engine_model.h"

struct engine_settings {
	const char *name;
	const char *pool;
	const char *data_centre;
	const char *listen;
	const char *platform; /* NULL: none */
	struct engine_params params;
};

/* Reads the flags into params already scaled; ends the process with a usage
 * error when one is bad. */
void engine_settings_read(struct engine_settings *settings, int argc,
			  char **argv);

#endif
