/*
 * golden.h - expected output in files, and the one way to write it anew
 */
#ifndef TESTS_GOLDEN_H
#define TESTS_GOLDEN_H

#include <stdbool.h>

/* Whether text is what the file holds; both are printed when not. Where
 * JT_GOLDEN_WRITE is set the file is written first, for review. */
bool golden_same(const char *path, const char *text);

#endif
