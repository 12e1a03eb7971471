/* Fakes of the coord/ functions that directory and poller call. They record the
 * calls. */
#ifndef TESTS_ENTRY_FAKE_COORD_H
#define TESTS_ENTRY_FAKE_COORD_H

#include <glib.h>
#include <stdint.h>

struct fake_coord {
	GString *events;
	uint64_t home; /* the only runner with this home */
	uint64_t rank; /* key for which this instance has rank 0 */
	/* The last fact that was set. */
	uint64_t key;
	uint64_t version;
	GByteArray *value;
};

extern struct fake_coord fake_coord;

void fake_coord_setup(void);
void fake_coord_teardown(void);

#endif
