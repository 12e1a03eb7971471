/*
 * fake_member.h - a membership whose live members are set by the test
 *
 * DESCRIPTION
 *	Defines the functions of coord/member.h that claims use. Each instance
 *	has its own view, which the test may update late.
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
