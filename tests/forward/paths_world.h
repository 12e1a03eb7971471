/*
 * paths_world.h - the forwarding core with all that it calls written down
 *
 * DESCRIPTION
 *	The web layer and the backend servers are replaced by lines of text,
 *	and a step of a script stands for each thing that they may do. One
 *	service of plain servers s1, s2 and one of runners p1, p2 (prefill) and
 *	d1, d2 (decode). See paths.txt for the steps.
 */
#ifndef TESTS_FORWARD_PATHS_WORLD_H
#define TESTS_FORWARD_PATHS_WORLD_H

#include <glib.h>

/* Runs the steps and returns what happened, a line each. */
GString *paths_run(const char *steps);

#endif
