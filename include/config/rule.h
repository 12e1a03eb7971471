/*
 * rule.h - tables of what each field of a pool or service may hold
 *
 * DESCRIPTION
 *	Private to config/. A rule says for which kinds of object a field has a
 *	meaning, for which it must be given, its range and its default. Kinds
 *	are bits, 1 << enum pool_role or 1 << enum service_kind.
 */
#ifndef CONFIG_RULE_H
#define CONFIG_RULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/document.h"

struct number_rule {
	const char *field;
	size_t offset;
	size_t size; /* of the member: 4 or 8 bytes */
	uint64_t min;
	uint64_t max;
	uint64_t fallback;
	unsigned int allowed;
	unsigned int required;
};

struct text_rule {
	const char *field;
	size_t offset;
	unsigned int allowed;
	unsigned int required;
};

struct flag_rule {
	const char *field;
	unsigned int allowed;
};

/* The object of one check, its path in the file and its kind. */
struct subject {
	const struct check *check;
	const char *path;
	const char *kind_label;
	unsigned int kind;
	void *object;
};

bool numbers_check(const struct subject *subject,
		   const struct number_rule *rules, size_t count);
bool texts_check(const struct subject *subject, const struct text_rule *rules,
		 size_t count);
bool flags_check(const struct subject *subject, const struct flag_rule *rules,
		 size_t count);
/* Refuses a field that the file gives though it has no meaning here. */
bool field_absent(const struct subject *subject, const char *field);
bool field_given(const struct subject *subject, const char *field);
/* Sets an error at a field of the subject; always returns false. */
bool field_refuse(const struct subject *subject, const char *field,
		  const char *fmt, ...) __attribute__((format(printf, 3, 4)));
/* Letters, digits and "._-", not starting with one of the three. */
bool name_check(const struct check *check, const char *path, const char *name);
/* False when text, other than decimal digits only, was given as a number. */
bool decimal_check(const struct check *check, const char *path);

#endif
