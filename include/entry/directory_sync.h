/*
 * directory_sync.h - learning the backend servers from another instance
 *
 * DESCRIPTION
 *	An instance that starts while the platform cannot be read asks one live
 *	instance after another, each ASK_USEC, for its directory until it has
 *	one from anywhere. An instance that knows answers with all listed
 *	servers in one message. What the platform says later goes first.
 */
#ifndef ENTRY_DIRECTORY_SYNC_H
#define ENTRY_DIRECTORY_SYNC_H

struct entry;
struct directory_sync;

struct directory_sync *directory_sync_create(struct entry *entry);
void directory_sync_destroy(struct directory_sync *sync);

#endif
