/*
 * role.h - how many runners of a cell prefill and how many decode
 *
 * DESCRIPTION
 *	Decides whether one runner of a cell should change its role. It does no
 *	I/O; the time is passed in. Load is counted in runners: the work that
 *	arrives in a second divided by what one runner does in a second, plus
 *	the waiting work spread over ROLE_CATCH_UP_SEC. The utilisation of a
 *	role is its need divided by its runners.
 *
 *	Needs are smoothed with the time constant smoothing. One runner moves
 *	when the higher utilisation is above busy_above, the move would lower it
 *	by more than the fraction gain_min, and both held at each tick for
 *	stabilisation. The minimum gain is the hysteresis: under a constant load
 *	the move back never gains. Each role keeps at least one runner, one
 *	runner moves at a time, and the next move comes no sooner than dwell
 *	after the end of the last.
 *
 * SEE ALSO
 *	docs/design/roles.md, which compares it with the controller of Gedik,
 *	Schneider, Hirzel and Wu, "Elastic Scaling for Data Stream Processing",
 *	IEEE TPDS 25(6), 2014
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

/* Fields left at 0 take the default: the ROLE_ constants, a sixth of dwell for
 * stabilisation and a third of dwell for smoothing. */
struct role_settings {
	int64_t dwell; /* microseconds from the end of a move to the next */
	int64_t stabilisation; /* microseconds that a move must be wanted */
	int64_t smoothing;     /* microseconds, time constant */
	double busy_above;     /* utilisation, 0 to 1 */
	double gain_min;       /* fraction of the utilisation, 0 to 1 */
};

/* The load of a cell. Negative and non-finite figures count as 0. */
struct role_load {
	uint32_t prefill; /* usable runners */
	uint32_t decode;
	bool moving; /* a runner is changing its role */
	/* Waiting work, in seconds of one runner. */
	double prefill_backlog;
	double decode_backlog;
	double memory_used; /* decode memory, in runners */
	/* Arriving work. */
	double prompt_tokens_per_s;
	double output_tokens_per_s;
	/* Throughput of one runner; for decode, over all its streams. */
	double prefill_tokens_per_s;
	double decode_tokens_per_s;
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
	enum role_move wanted; /* unchanged since wanted_since */
	int64_t wanted_since;
	int64_t last_tick;
	bool started;
	int64_t dwell_until;
};

void role_init(struct role *role, const struct role_settings *settings);
/* To be called about every second; a gap of more than five seconds restarts the
 * stabilisation time. */
enum role_move role_tick(struct role *role, int64_t now,
			 const struct role_load *load);
/* The need of each role, in runners, not smoothed. */
double role_need_prefill(const struct role_load *load);
double role_need_decode(const struct role_load *load);

#endif
