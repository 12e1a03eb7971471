/*
 * fake_member.h - who lives, as a test says, in place of the real membership
 *
 * DESCRIPTION
 *	Defines what claims need of coord/member.h. Each instance has a view
 *	of its own, which the test may let lag.
 */
#ifndef TESTS_FAKE_MEMBER_H
#define TESTS_FAKE_MEMBER_H

#include "coord/member.h"

#define FAKE_MEMBERS 6u

struct membership {
	struct member self;
	const struct member *all; /* FAKE_MEMBERS of them */
	bool alive[FAKE_MEMBERS];
};

#endif
