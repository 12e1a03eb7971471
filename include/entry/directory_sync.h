/*
 * directory_sync.h - exchange of the directory between instances
 *
 * DESCRIPTION
 *	The platform's list grows with the number of instances, so only two
 *	instances of a data centre, its readers, read it each --list-ms and send
 *	the changes to the others of the data centre. The readers are the
 *	instances with the highest rendezvous weight for the list. The others
 *	request missed changes from one of the two from time to time, and read
 *	the list themselves rarely, or more often once what they have is stale.
 *
 *	An instance that starts while the platform cannot be read requests the
 *	directory from one live instance after another, of any data centre,
 *	until it has one. A list read from the platform later takes
 *	precedence.
 */
#ifndef ENTRY_DIRECTORY_SYNC_H
#define ENTRY_DIRECTORY_SYNC_H

#include <stdint.h>

struct entry;
struct directory_sync;

struct directory_sync *directory_sync_create(struct entry *entry);
void directory_sync_destroy(struct directory_sync *sync);
/* Number of --list-ms periods between two reads of the list. */
uint32_t directory_sync_every(const struct directory_sync *sync);

#endif
