/*
 * engine_settings.h - the flags of jtengine; see jtengine(1)
 */
#ifndef STANDIN_ENGINE_SETTINGS_H
#define STANDIN_ENGINE_SETTINGS_H

#include "standin/engine_model.h"
#include "standin/register.h"

struct engine_settings {
	struct registration_spec spec;
	const char *listen;
	struct engine_params params;
};

/* Reads the flags into params already scaled; ends the process with a usage
 * error when one is bad. */
void engine_settings_read(struct engine_settings *settings, int argc,
			  char **argv);

#endif
