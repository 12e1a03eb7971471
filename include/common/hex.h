/*
 * hex.h - 64-bit identifiers as 16 lower-case hexadecimal digits
 */
#ifndef COMMON_HEX_H
#define COMMON_HEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HEX_ID_SIZE 17

/* Writes the digits and a NUL to text, which holds HEX_ID_SIZE bytes; returns
 * text. */
char *hex_id(char *text, uint64_t id);
/* Parses exactly 16 digits; returns false for anything else. */
bool hex_parse(const char *text, size_t size, uint64_t *id);

#endif
