/*
 * directory_sync.h - the directory of one data centre, read by two
 *
 * DESCRIPTION
 *	The platform's list is long when there are many instances, so only the
 *	two instances of a data centre with the highest rendezvous weight for it
 *	read it each --list-ms, and tell the others of the data centre what
 *	changed. The others ask one of the two now and then for what they
 *	missed, and read the list themselves when that is older than they allow.
 *
 *	An instance that starts while the platform cannot be read asks one live
 *	instance after another until it has a directory from anywhere. What the
 *	platform says later goes first.
 */
#ifndef ENTRY_DIRECTORY_SYNC_H
#define ENTRY_DIRECTORY_SYNC_H

#include <stdint.h>

struct entry;
struct directory_sync;

struct directory_sync *directory_sync_create(struct entry *entry);
void directory_sync_destroy(struct directory_sync *sync);
/* The list is to be read once in so many periods of --list-ms. */
uint32_t directory_sync_every(const struct directory_sync *sync);

#endif
