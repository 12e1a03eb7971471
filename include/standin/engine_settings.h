/*
 * engine_settings.h - command-line flags of jtengine, see jtengine(1)
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

/* Parses the flags. params are scaled by the time scale. Exits with a usage
 * error if a flag is invalid. */
void engine_settings_read(struct engine_settings *settings, int argc,
			  char **argv);

#endif
