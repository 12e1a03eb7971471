/*
 * poller.h - polls the runners whose home is this instance
 *
 * DESCRIPTION
 *	Every poll_usec, with 25 % of jitter either way, the poller fetches the
 *	load and the cache events of each such runner, and from decode runners
 *	the streams that hold memory. From each server of a plain pool whose
 *	home is this instance it fetches the load. The reports go to the ledger,
 *	and a server that reports that it is leaving is marked in the directory.
 *	A report is not requested again while a call for it is in flight.
 */
#ifndef ENTRY_POLLER_H
#define ENTRY_POLLER_H

struct entry;
struct poller;

struct poller *poller_create(struct entry *entry);
void poller_destroy(struct poller *poller);
/* Call after a change of homes or of the directory. */
void poller_refresh(struct poller *poller);

#endif
