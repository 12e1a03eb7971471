#include "common/option.h"

#include <argp.h>
#include <glib.h>

double option_number(const char *text, double min, double max,
		     struct argp_state *state)
{
	char *end;
	double number = g_ascii_strtod(text, &end);

	if (end == text || *end != '\0' || !(number >= min && number <= max))
		argp_error(state, "not a number from %g to %g: %s", min, max,
			   text);
	return number;
}
