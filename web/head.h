/*
 * head.h - validates an answer's head before h2o parses it
 */
#ifndef WEB_HEAD_H
#define WEB_HEAD_H

#include <stdbool.h>
#include <stddef.h>

/* False when the Content-Length is not a number or the Transfer-Encoding is
 * unknown: h2o 2.2.5 fails an assertion on both. True while the head is
 * incomplete and valid so far. */
bool head_is_valid(const char *data, size_t size);

#endif
