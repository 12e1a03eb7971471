/*
 * prober.h - checks whether lost direct paths to servers are back
 *
 * DESCRIPTION
 *	After a failed connection requests reach a server through relays, so
 *	they do not notice when the direct path works again. The prober sends
 *	health checks on that path, one at a time, and as long as they succeed
 *	without a pause.
 */
#ifndef FORWARD_PROBER_H
#define FORWARD_PROBER_H

struct forward;
struct prober;

struct prober *prober_create(struct forward *forward);
/* Cancels the check in flight. */
void prober_destroy(struct prober *prober);

#endif
