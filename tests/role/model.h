/*
 * model.h - a queueing model of a cell: requests wait for decode memory, then
 * for a prefill runner, then decode
 */
#ifndef TESTS_ROLE_MODEL_H
#define TESTS_ROLE_MODEL_H

#include "coord/role.h"

#define MODEL_RUNNERS 14u

enum controller {
	CONTROL_NONE,
	CONTROL_THRESHOLD,
	CONTROL_ELASTIC,
};

struct mix {
	double prompt; /* mean tokens */
	double output;
	double load; /* fraction of the capacity of the best split */
};

struct scenario {
	const char *name;
	/* The mix at a second of the run; may depend on the seed. */
	struct mix (*mix)(int second, uint32_t seed);
};

struct outcome {
	uint32_t requests;
	uint32_t in_time; /* first token within five seconds */
	uint32_t moves;
	uint32_t reversals;   /* moves back within 180 s */
	int64_t min_interval; /* between the starts of two moves */
	uint32_t min_runners; /* of either role */
};

struct outcome model_run(const struct scenario *scenario,
			 enum controller controller, uint32_t seed);

#endif
