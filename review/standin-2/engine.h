/*
 * engine.h - model servers of the deployment: reservations, prefills, streams
 */
#ifndef REVIEW_ENGINE_H
#define REVIEW_ENGINE_H

#include "site.h"

/* A runner_fn of prefill and decode servers. A stream has the number of output
 * tokens that Token-Count names, one event for each, event_ms apart. */
bool engine_serve(struct runner *runner, int fd, struct message *m);

/* Tokens of memory of each server, and time between events. */
extern int engine_tokens;
extern int engine_event_ms;
/* Of so many streams one is preceded, on its channel, by a second answer to an
 * earlier request, which arrives late; 0: none. */
extern int engine_extra_interval;

/* Whether a server has begun to run that request. */
bool engine_has_run(const char *id);

#endif
