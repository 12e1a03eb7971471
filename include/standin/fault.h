/*
 * fault.h - faults that a test sets in a stand-in, by name
 *
 * DESCRIPTION
 *	Each stand-in has a table of the names that it knows; a fault is then
 *	an index into it. A fault set with times > 0 is used up by that many
 *	fault_take(); with times 0 it stays until set again with value 0.
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
/* Value 0 turns it off. RESULT_USAGE when the name is unknown. */
bool fault_set(struct fault_set *set, const char *name, int64_t value,
	       uint32_t times, struct error *err);
/* Sets one from {"fault": name, "value": n, "times": n}; value defaults to 1,
 * times to 0. */
bool fault_read(struct fault_set *set, const char *body, size_t size,
		struct error *err);
/* The value when set, else 0; does not use it up. */
int64_t fault_value(const struct fault_set *set, unsigned int fault);
/* As fault_value(), and uses it up once. */
int64_t fault_take(struct fault_set *set, unsigned int fault);

#endif
