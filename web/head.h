/*
 * head.h - a look at an answer's head before h2o reads it
 */
#ifndef WEB_HEAD_H
#define WEB_HEAD_H

#include <stdbool.h>
#include <stddef.h>

/* Whether h2o can read the body that the bytes so far announce: h2o 2.2.5 ends
 * the process (an assertion) for a length that is no number or a transfer
 * coding that it does not know. Also true while the head is not whole. */
bool head_is_sound(const char *data, size_t size);

#endif
