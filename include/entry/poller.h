/*
 * poller.h - reads the reports of the runners that this instance is home to
 *
 * DESCRIPTION
 *	Every poll_usec, a quarter either way, each such runner is asked for
 *	its load, the streams that hold its memory and its cache events, and
 *	each server of a plain pool that this instance is home to for its load.
 *	What comes back is fed to the ledger; a server that says that it is
 *	leaving is marked in the directory. Calls that have not ended are not
 *	made again.
 */
#ifndef ENTRY_POLLER_H
#define ENTRY_POLLER_H

struct entry;
struct poller;

struct poller *poller_create(struct entry *entry);
void poller_destroy(struct poller *poller);
/* The runners that this instance is home to changed, or the directory did. */
void poller_refresh(struct poller *poller);

#endif
