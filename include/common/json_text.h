/*
 * json_text.h - writing a string into a JSON text that is built by hand
 *
 * DESCRIPTION
 *	For answers written once a token, where a tree of JSON objects would
 *cost more than the relaying itself. Everything else uses jansson.
 */
#ifndef COMMON_JSON_TEXT_H
#define COMMON_JSON_TEXT_H

#include <glib.h>
#include <stddef.h>

/* Appends text as a JSON string, quotes included; the text is UTF-8. */
void json_text_append(GString *out, const char *text, size_t size);

#endif
