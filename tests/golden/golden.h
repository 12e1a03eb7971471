/*
 * golden.h - comparison with expected output in files
 */
#ifndef TESTS_GOLDEN_H
#define TESTS_GOLDEN_H

#include <stdbool.h>

/* Whether text equals the content of the file; prints both when it does not. If
 * the environment variable JT_GOLDEN_WRITE is set, the file is first
 * overwritten with text, for review. */
bool golden_same(const char *path, const char *text);

#endif
