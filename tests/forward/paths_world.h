/*
 * paths_world.h - runs scripts against the forwarding core with fake peers
 *
 * DESCRIPTION
 *	The web layer and the backend servers are fakes: they record each call
 *	as a line of text, and the steps of a script trigger their answers.
 *	There is one service of plain servers s1, s2 and one of runners p1, p2
 *	(prefill) and d1, d2 (decode). See paths.txt for the steps.
 */
#ifndef TESTS_FORWARD_PATHS_WORLD_H
#define TESTS_FORWARD_PATHS_WORLD_H

#include <glib.h>

/* Runs the steps and returns the recorded lines. */
GString *paths_run(const char *steps);

#endif
