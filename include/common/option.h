/*
 * option.h - numeric command-line options
 */
#ifndef COMMON_OPTION_H
#define COMMON_OPTION_H

struct argp_state;

/* Parses text as a number from min to max. Reports anything else with
 * argp_error(), which exits. */
double option_number(const char *text, double min, double max,
		     struct argp_state *state);

#endif
