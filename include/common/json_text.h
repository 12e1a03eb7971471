/*
 * json_text.h - JSON strings for output that is written without jansson
 *
 * DESCRIPTION
 *	Used for answers that are written once per token, where building a tree
 *	of JSON objects would cost more than relaying the token. All other code
 *	uses jansson.
 */
#ifndef COMMON_JSON_TEXT_H
#define COMMON_JSON_TEXT_H

#include <glib.h>
#include <stddef.h>

/* Appends text, which must be UTF-8, as a JSON string with its quotes. */
void json_text_append(GString *out, const char *text, size_t size);

#endif
