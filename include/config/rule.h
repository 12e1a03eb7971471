/*
 * rule.h - validation rules for the fields of pools and services
 *
 * DESCRIPTION
 *	Private to config/. A rule holds the kinds of object that may have a
 *	field, those that must have it, its range and its default. Kinds are
 *	bit masks of 1 << enum pool_role or 1 << enum service_kind.
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
	uint64_t default_value;
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

/* The pool, service or link being validated, its path in the file and kind. */
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
/* Refuses a field that the file has but that does not apply to the kind. */
bool absent_check(const struct subject *subject, const char *field);
bool field_given(const struct subject *subject, const char *field);
/* Sets an error at a field of the subject. Always returns false. */
bool field_refuse(const struct subject *subject, const char *field,
		  const char *fmt, ...) __attribute__((format(printf, 3, 4)));
/* Allows letters, digits and "._-", with a letter or digit first. */
bool name_check(const struct check *check, const char *path, const char *name);
/* Refuses a number that is not written in decimal digits. */
bool decimal_check(const struct check *check, const char *path);

#endif
