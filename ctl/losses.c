#include "ctl/losses.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/explain.h"
#include "ctl/log_file.h"

static const char *const loss_names[LOSS_COUNT] = {
	[LOSS_NONE] = "none",
	[LOSS_REFUSED_EARLY] = "refused-early",
	[LOSS_REFUSED_LATE] = "refused-late",
	[LOSS_REFUSED_OTHER] = "refused-other",
	[LOSS_OVER_ALLOTMENT] = "over-allotment",
	[LOSS_SERVER_ERROR] = "server-error",
	[LOSS_SERVER_LOST] = "server-lost",
	[LOSS_TIME_OVER] = "time-over",
	[LOSS_CALLER_LEFT] = "caller-left",
	[LOSS_PAUSED] = "paused",
	[LOSS_LATE_WAITED] = "late-waited",
	[LOSS_LATE_PREFILL] = "late-prefill",
	[LOSS_LATE_BEGIN] = "late-begin",
	[LOSS_LATE_ANSWER] = "late-answer",
	[LOSS_UNKNOWN] = "unknown",
};

const char *loss_name(enum loss loss)
{
	return loss_names[loss];
}

void losses_init(struct losses *losses)
{
	*losses = (struct losses){
		.routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL),
		.seconds = g_hash_table_new(g_direct_hash, g_direct_equal),
	};
}

void losses_clear(struct losses *losses)
{
	g_hash_table_destroy(losses->routes);
	g_hash_table_destroy(losses->seconds);
}

/* The integer value of a field; -1 when the line lacks it. */
static int64_t field_integer(const char *line, const char *key)
{
	g_autofree char *text = log_line_value(line, key);

	return text && *text ? g_ascii_strtoll(text, NULL, 10) : -1;
}

static enum loss refusal_cause(const char *why)
{
	if (g_strcmp0(why, "queue-full") == 0)
		return LOSS_REFUSED_EARLY;
	if (g_strcmp0(why, "deadline") == 0)
		return LOSS_REFUSED_LATE;
	if (g_strcmp0(why, "over-allotment") == 0 ||
	    g_strcmp0(why, "allotment-too-small") == 0)
		return LOSS_OVER_ALLOTMENT;
	return LOSS_REFUSED_OTHER;
}

static bool is_timeout(const char *why)
{
	return why && (strstr(why, "time limit") || strstr(why, "timed out"));
}

/* The longest of the phases of a late stream up to its first event: waiting for
 * a server, prefill, or the start of the run. */
static enum loss late_cause(const char *line)
{
	int64_t placed_ms = field_integer(line, "placed_ms");
	int64_t prefilled_ms = field_integer(line, "prefilled_ms");
	int64_t first_ms = field_integer(line, "first_ms");

	if (first_ms < 0)
		return LOSS_LATE_ANSWER;
	if (placed_ms < 0)
		return LOSS_UNKNOWN;
	prefilled_ms = MAX(prefilled_ms, placed_ms);
	if (placed_ms >= prefilled_ms - placed_ms &&
	    placed_ms >= first_ms - prefilled_ms)
		return LOSS_LATE_WAITED;
	return prefilled_ms - placed_ms >= first_ms - prefilled_ms
		       ? LOSS_LATE_PREFILL
		       : LOSS_LATE_BEGIN;
}

static enum loss answered_cause(const char *line)
{
	if (field_integer(line, "status") >= 500)
		return LOSS_SERVER_ERROR;
	if (field_integer(line, "late") == 1)
		return late_cause(line);
	return field_integer(line, "stalled") == 1 ? LOSS_PAUSED : LOSS_NONE;
}

enum loss loss_cause(const char *line)
{
	g_autofree char *outcome = log_line_value(line, "outcome");
	g_autofree char *why = log_line_value(line, "why");

	if (g_strcmp0(outcome, "answered") == 0)
		return answered_cause(line);
	if (g_strcmp0(outcome, "refused") == 0)
		return refusal_cause(why);
	if (g_strcmp0(outcome, "gone") == 0)
		return LOSS_CALLER_LEFT;
	if (g_strcmp0(outcome, "failed") != 0 &&
	    g_strcmp0(outcome, "broken") != 0)
		return LOSS_UNKNOWN;
	return is_timeout(why) ? LOSS_TIME_OVER : LOSS_SERVER_LOST;
}

static void count_add(GHashTable *table, gpointer key, gpointer stored_key)
{
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(table, key));

	g_hash_table_replace(table, stored_key, GUINT_TO_POINTER(count + 1));
}

static void loss_add(struct losses *losses, enum loss loss, const char *route,
		     double time)
{
	gpointer second =
		GINT_TO_POINTER((gint)floor(time - losses->first_time));

	losses->lost++;
	losses->causes[loss]++;
	count_add(losses->routes, (gpointer)route, g_strdup(route));
	count_add(losses->seconds, second, second);
}

static void line_add(void *ctx, const char *text)
{
	struct losses *losses = ctx;
	const char *at = strstr(text, ">time=");
	double time = at ? g_ascii_strtod(at + strlen(">time="), NULL) : 0.0;
	g_autofree char *route = NULL;
	enum loss loss;

	if (!at)
		return;
	if (losses->first_time == 0.0)
		losses->first_time = time;
	if (!strstr(text, " event=request_end ") ||
	    strstr(text, " outcome=denied "))
		return;
	losses->requests++;
	loss = loss_cause(text);
	if (loss == LOSS_NONE)
		return;
	route = log_line_value(text, "route");
	loss_add(losses, loss, route && *route ? route : "-", time);
}

bool losses_read(struct losses *losses, const char *file, struct error *err)
{
	return log_file_read(file, line_add, losses, err);
}
