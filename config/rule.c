#include "config/rule.h"

#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

bool field_refuse(const struct subject *subject, const char *field,
		  const char *fmt, ...)
{
	g_autofree char *path = g_strdup_printf("%s.%s", subject->path, field);
	g_autofree char *text = NULL;
	va_list args;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	return outline_refuse(subject->check->outline, subject->check->err,
			      path, "%s", text);
}

bool field_given(const struct subject *subject, const char *field)
{
	g_autofree char *path = g_strdup_printf("%s.%s", subject->path, field);

	return outline_find(subject->check->outline, path) != NULL;
}

bool absent_check(const struct subject *subject, const char *field)
{
	if (!field_given(subject, field))
		return true;
	return field_refuse(subject, field, "has no meaning for %s",
			    subject->kind_label);
}

bool decimal_check(const struct check *check, const char *path)
{
	const struct outline_node *node = outline_find(check->outline, path);
	const char *text = node ? node->text : NULL;

	if (!text)
		return true;
	/* libcyaml parses 010 as octal 8 and ignores what follows the digits.
	 */
	if (strspn(text, "0123456789") == strlen(text) &&
	    (text[0] != '0' || text[1] == '\0'))
		return true;
	return outline_refuse(check->outline, check->err, path,
			      "not a decimal number");
}

static uint64_t number_load(const struct subject *subject,
			    const struct number_rule *rule)
{
	const char *at = (const char *)subject->object + rule->offset;
	uint32_t small;
	uint64_t large;

	if (rule->size == sizeof(small)) {
		memcpy(&small, at, sizeof(small));
		return small;
	}
	memcpy(&large, at, sizeof(large));
	return large;
}

static void number_store(const struct subject *subject,
			 const struct number_rule *rule, uint64_t value)
{
	char *at = (char *)subject->object + rule->offset;
	uint32_t small = (uint32_t)value;

	if (rule->size == sizeof(small))
		memcpy(at, &small, sizeof(small));
	else
		memcpy(at, &value, sizeof(value));
}

static bool number_check(const struct subject *subject,
			 const struct number_rule *rule)
{
	g_autofree char *path =
		g_strdup_printf("%s.%s", subject->path, rule->field);
	uint64_t value;

	if (!(rule->allowed & subject->kind))
		return absent_check(subject, rule->field);
	if (!outline_find(subject->check->outline, path)) {
		if (rule->required & subject->kind)
			return field_refuse(subject, rule->field, "missing");
		number_store(subject, rule, rule->default_value);
		return true;
	}
	if (!decimal_check(subject->check, path))
		return false;
	value = number_load(subject, rule);
	if (value < rule->min || value > rule->max)
		return field_refuse(subject, rule->field,
				    "must be from %" PRIu64 " to %" PRIu64,
				    rule->min, rule->max);
	return true;
}

bool numbers_check(const struct subject *subject,
		   const struct number_rule *rules, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (!number_check(subject, &rules[i]))
			return false;
	}
	return true;
}

bool texts_check(const struct subject *subject, const struct text_rule *rules,
		 size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const struct text_rule *rule = &rules[i];

		if (!(rule->allowed & subject->kind)) {
			if (!absent_check(subject, rule->field))
				return false;
		} else if ((rule->required & subject->kind) &&
			   !field_given(subject, rule->field)) {
			return field_refuse(subject, rule->field, "missing");
		}
	}
	return true;
}

/* libcyaml takes any unknown word for true. */
static bool flag_check(const struct subject *subject,
		       const struct flag_rule *rule)
{
	g_autofree char *path =
		g_strdup_printf("%s.%s", subject->path, rule->field);
	const struct outline_node *node =
		outline_find(subject->check->outline, path);

	if (!node || !node->text || strcmp(node->text, "true") == 0 ||
	    strcmp(node->text, "false") == 0)
		return true;
	return field_refuse(subject, rule->field, "neither true nor false");
}

bool flags_check(const struct subject *subject, const struct flag_rule *rules,
		 size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (!(rules[i].allowed & subject->kind)) {
			if (!absent_check(subject, rules[i].field))
				return false;
		} else if (!flag_check(subject, &rules[i])) {
			return false;
		}
	}
	return true;
}

bool name_check(const struct check *check, const char *path, const char *name)
{
	if (!g_ascii_isalnum(name[0]))
		goto refuse;
	for (const char *c = name; *c; c++) {
		if (!g_ascii_isalnum(*c) && !strchr("._-", *c))
			goto refuse;
	}
	return true;
refuse:
	return outline_refuse(check->outline, check->err, path,
			      "only letters, digits and \"._-\", a letter or "
			      "digit first");
}
