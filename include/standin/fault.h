/*
 * fault.h - faults that a test injects into a stand-in, by name
 *
 * DESCRIPTION
 *	Each stand-in has a table of the fault names that it knows, and a fault
 *	is an index into it. A fault set with times > 0 is off after that many
 *	calls of fault_take(). With times 0 it stays on until it is set to
 *	value 0.
 */
#ifndef STANDIN_FAULT_H
#define STANDIN_FAULT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct error;

#define FAULT_MAX 16

struct fault {
	int64_t value; /* 0: off */
	uint32_t times;
};

struct fault_set {
	const char *const *names; /* ends with NULL */
	struct fault faults[FAULT_MAX];
};

void fault_init(struct fault_set *set, const char *const *names);
/* Value 0 turns the fault off. RESULT_USAGE if the name is unknown. */
bool fault_set(struct fault_set *set, const char *name, int64_t value,
	       uint32_t times, struct error *err);
/* Sets a fault from {"fault": name, "value": n, "times": n}; value defaults to
 * 1, times to 0. RESULT_USAGE if the body is malformed or the name
 * is unknown. */
bool fault_parse(struct fault_set *set, const char *body, size_t size,
		 struct error *err);
/* The value, or 0 if the fault is off. Does not count as a use. */
int64_t fault_value(const struct fault_set *set, unsigned int fault);
/* As fault_value(), and counts as one use. */
int64_t fault_take(struct fault_set *set, unsigned int fault);

#endif
