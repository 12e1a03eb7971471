#include "common/error.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct result {
	enum result_code code;
	const char *label;
	enum outcome outcome;
	int status;
};

static const struct result results[] = {
#define X(name, number, label, outcome, status) {name, label, outcome, status},
	RESULT_CODES(X)
#undef X
};

static const struct result unknown = {
	.code = RESULT_DEFECT,
	.label = "unknown",
	.outcome = OUTCOME_UNKNOWN,
	.status = 500,
};

static const struct result *result_find(enum result_code code)
{
	for (size_t i = 0; i < sizeof(results) / sizeof(results[0]); i++) {
		if (results[i].code == code)
			return &results[i];
	}
	return &unknown;
}

/* Error texts are put into JSON, which must be UTF-8. A text may quote invalid
 * bytes from a caller, and truncation may split a character. */
static void text_make_utf8(char *text)
{
	const char *end;

	while (!g_utf8_validate(text, -1, &end)) {
		text = (char *)end;
		*text++ = '?';
	}
}

bool error_set(struct error *e, enum result_code code, const char *fmt, ...)
{
	va_list args;

	if (!e)
		return false;
	e->code = code;
	va_start(args, fmt);
	g_vsnprintf(e->text, sizeof(e->text), fmt, args);
	va_end(args);
	text_make_utf8(e->text);
	return false;
}

bool error_prefix(struct error *e, const char *fmt, ...)
{
	char text[ERROR_TEXT_MAX * 2];
	va_list args;
	size_t used;

	if (!e)
		return false;
	va_start(args, fmt);
	g_vsnprintf(text, ERROR_TEXT_MAX, fmt, args);
	va_end(args);
	used = strlen(text);
	snprintf(text + used, sizeof(text) - used, ": %s", e->text);
	memcpy(e->text, text, sizeof(e->text) - 1);
	e->text[sizeof(e->text) - 1] = '\0';
	text_make_utf8(e->text);
	return false;
}

const char *result_label(enum result_code code)
{
	return result_find(code)->label;
}

enum outcome result_outcome(enum result_code code)
{
	return result_find(code)->outcome;
}

int result_status(enum result_code code)
{
	return result_find(code)->status;
}

const char *outcome_label(enum outcome outcome)
{
	switch (outcome) {
	case OUTCOME_NOT_RUN:
		return "not-run";
	case OUTCOME_RUN:
		return "run";
	case OUTCOME_UNKNOWN:
		break;
	}
	return "unknown";
}
