/*
 * role.h - how many runners of a cell work as prefill, how many as decode
 *
 * DESCRIPTION
 *	Decides, for runners that accept orders to change role, whether one of
 *	them should change. It does no I/O and knows no time but what is passed
 *	in. Work is counted in runners: what arrives in a second, by what one
 *	runner does in a second, and what waits, spread over ROLE_CATCH_UP. A
 *	role's use is its need divided by its runners.
 *
 *	Needs are smoothed over smooth. One runner moves when the busier role is
 *	used above busy, the move would lower the higher of the two uses by the
 *	share gain, and both were so at each tick for patience. That margin is
 *the hysteresis: under an unchanged load the way back never gains. No role is
 *left without a runner, one runner moves at a time, and after a move the cell
 *rests for dwell.
 *
 * SEE ALSO
 *	docs/design/roles.md, which also has the figures of the control ideas
 *	of Gedik, Schneider, Hirzel and Wu, "Elastic Scaling for Data Stream
 *	Processing", IEEE TPDS 25(6), 2014
 */
#ifndef COORD_ROLE_H
#define COORD_ROLE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

#define ROLE_DWELL_USEC (60 * USEC_PER_SEC)
#define ROLE_STABILISATION_USEC (ROLE_DWELL_USEC / 6)
#define ROLE_CATCH_UP_SEC 30.0
#define ROLE_BUSY 0.8
#define ROLE_GAIN 0.1

/* What is not given (0) takes the default: a sixth of dwell for patience, a
 * third for smooth. */
struct role_settings {
	int64_t dwell; /* microseconds from the end of a move to the next */
	int64_t stabilisation; /* microseconds that the reason must last */
	int64_t smoothing;     /* microseconds, time constant */
	double busy_above;     /* 0 to 1 */
	double gain_min;       /* 0 to 1 */
};

/* The cell now. Negative, infinite and absent figures count as 0. */
struct role_load {
	uint32_t prefill; /* usable runners */
	uint32_t decode;
	bool moving; /* a move is under way */
	/* Seconds of one runner's work that wait. */
	double prefill_backlog;
	double decode_backlog;
	double memory_used; /* decode memory, in runners */
	/* What arrives, and what one runner does. */
	double prompt_tokens_per_s;
	double output_tokens_per_s;
	double prefill_tokens_per_s;
	double decode_tokens_per_s; /* all its streams together */
};

enum role_move {
	ROLE_STAY,
	ROLE_TO_PREFILL, /* one decode runner becomes a prefill runner */
	ROLE_TO_DECODE,
};

struct role {
	struct role_settings settings;
	double need_prefill; /* in runners, smoothed */
	double need_decode;
	enum role_move wanted; /* at all ticks since then */
	int64_t wanted_since;
	int64_t last_tick;
	bool started;
	int64_t dwell_until;
};

void role_init(struct role *role, const struct role_settings *settings);
/* To be called every second or so; a longer gap starts patience anew. */
enum role_move role_tick(struct role *role, int64_t now,
			 const struct role_load *load);
/* The need of each role, in runners, for the operators' view. */
double role_need_prefill(const struct role_load *load);
double role_need_decode(const struct role_load *load);

#endif
