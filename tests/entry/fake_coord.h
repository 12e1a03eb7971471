/* What directory and poller call of coord/, written down instead of done. */
#ifndef TESTS_ENTRY_FAKE_COORD_H
#define TESTS_ENTRY_FAKE_COORD_H

#include <glib.h>
#include <stdint.h>

struct fake_coord {
	GString *events;
	uint64_t home; /* the one runner that we are home to */
	uint64_t rank; /* the pool's key that we have rank 0 for */
	/* The last fact that was set. */
	uint64_t key;
	uint64_t version;
	GByteArray *value;
};

extern struct fake_coord fake_coord;

void fake_coord_setup(void);
void fake_coord_teardown(void);

#endif
