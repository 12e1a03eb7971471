/*
 * option.h - numbers on the command line
 */
#ifndef COMMON_OPTION_H
#define COMMON_OPTION_H

struct argp_state;

/* The number that text is; ends the program by argp_error() when it is none or
 * not from min to max. */
double option_number(const char *text, double min, double max,
		     struct argp_state *state);

#endif
