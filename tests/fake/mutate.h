/*
 * mutate.h - random edits of sound bytes
 */
#ifndef TESTS_FAKE_MUTATE_H
#define TESTS_FAKE_MUTATE_H

#include <glib.h>

/* Sets, flips, removes, adds or cuts at one to edits_max places, by the random
 * numbers of the test. */
void bytes_mutate(GByteArray *bytes, int edits_max);

#endif
