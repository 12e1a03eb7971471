/*
 * position.h - positions in the logs of the platform's store
 *
 * DESCRIPTION
 *	The store may come back from an older copy. What was written since is
 *	lost then, offsets are given out again, and the store counts one era
 *	more. So an offset means something only within its era. A position is
 *	both in one number: the era above, the offset below. Positions of a
 *	later era are higher than all of earlier ones, and positions of one era
 *	count records like offsets do. A store without eras has era 0, and its
 *	positions are its offsets.
 *
 * SEE ALSO
 *	docs/design/eras.md
 */
#ifndef COMMON_POSITION_H
#define COMMON_POSITION_H

#include <stdint.h>

/* Records of one log that an era can have; no log grows as long. */
#define POSITION_OFFSET_BITS 40

static inline uint64_t position_make(uint64_t era, uint64_t offset)
{
	return era << POSITION_OFFSET_BITS | offset;
}

static inline uint64_t position_era(uint64_t position)
{
	return position >> POSITION_OFFSET_BITS;
}

static inline uint64_t position_offset(uint64_t position)
{
	return position & (((uint64_t)1 << POSITION_OFFSET_BITS) - 1);
}

#endif
