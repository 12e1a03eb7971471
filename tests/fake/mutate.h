/*
 * mutate.h - random mutations of valid input
 */
#ifndef TESTS_FAKE_MUTATE_H
#define TESTS_FAKE_MUTATE_H

#include <glib.h>

/* Applies one to edits_max random edits: sets, flips, removes or appends a
 * byte, or truncates. Uses the random numbers of GLib's test framework. */
void bytes_mutate(GByteArray *bytes, int edits_max);

#endif
