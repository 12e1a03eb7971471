#include <glib.h>
#include <inttypes.h>

#include "common/clock.h"
#include "ctl/apply.h"
#include "ctl/command.h"
#include "ctl/print.h"
#include "ctl/report.h"
#include "web/loop.h"

/* The reports to print: one, or two side by side. */
struct report_pair {
	json_t *before;
	json_t *after; /* NULL: only one */
};

static void on_window_end(struct timer *timer, void *ctx)
{
	loop_stop(ctx);
}

static void window_wait(struct ctl *ctl, double seconds)
{
	struct timer timer;

	timer_init(&timer, loop_clock(ctl->loop), on_window_end, ctl->loop);
	timer_start(&timer, (int64_t)(seconds * USEC_PER_SEC));
	loop_run(ctl->loop);
	timer_stop(&timer);
}

static json_t *window_measure(struct ctl *ctl, const struct arguments *args,
			      struct error *err)
{
	json_t *start = report_fetch(ctl, args->admin, err);
	json_t *window = NULL;
	json_t *end;

	if (!start)
		return NULL;
	window_wait(ctl, args->window_s);
	end = report_fetch(ctl, args->admin, err);
	if (end)
		window = report_window(start, end, err);
	json_decref(start);
	json_decref(end);
	return window;
}

/* Applies the file of --apply between the windows. Without --apply, tells the
 * operator that the first window has ended. */
static bool window_switch(struct ctl *ctl, const struct arguments *args,
			  struct error *err)
{
	struct apply_result result;

	if (!args->apply_file) {
		fprintf(ctl->err, "first window measured, second begins\n");
		return true;
	}
	if (!apply_file(ctl, args, args->apply_file, &result, err))
		return false;
	fprintf(ctl->err,
		"first window measured, revision %" PRIu64
		" is in force, second begins\n",
		result.revision);
	return true;
}

static bool windows_measure(struct ctl *ctl, const struct arguments *args,
			    struct report_pair *pair, struct error *err)
{
	pair->before = window_measure(ctl, args, err);
	if (!pair->before || !window_switch(ctl, args, err))
		return false;
	pair->after = window_measure(ctl, args, err);
	return pair->after != NULL;
}

static bool pair_read(struct ctl *ctl, const struct arguments *args,
		      struct report_pair *pair, struct error *err)
{
	if (args->window_s > 0)
		return windows_measure(ctl, args, pair, err);
	if (args->operand_count == 0) {
		pair->before = report_fetch(ctl, args->admin, err);
		return pair->before != NULL;
	}
	pair->before = report_load(args->operands[0], err);
	if (!pair->before)
		return false;
	if (args->operand_count == 1)
		return true;
	pair->after = report_load(args->operands[1], err);
	return pair->after != NULL;
}

static void pair_print(FILE *out, const struct report_pair *pair, bool json)
{
	json_t *both;

	if (!json) {
		report_print(out, pair->before, pair->after);
		return;
	}
	if (!pair->after) {
		print_json(out, pair->before);
		return;
	}
	both = json_pack("{s:O, s:O}", "before", pair->before, "after",
			 pair->after);
	print_json(out, both);
	json_decref(both);
}

static bool arguments_check(const struct arguments *args, struct error *err)
{
	if (args->window_s > 0 && args->operand_count > 0)
		return error_set(err, RESULT_USAGE,
				 "measures: --window reads daemons, not files");
	if (args->apply_file && args->window_s == 0)
		return error_set(err, RESULT_USAGE,
				 "measures: --apply needs --window");
	return true;
}

static bool run(struct ctl *ctl, const struct arguments *args,
		struct error *err)
{
	struct report_pair pair = {0};
	bool ok;

	if (!arguments_check(args, err))
		return false;
	ok = pair_read(ctl, args, &pair, err);
	if (ok)
		pair_print(ctl->out, &pair, args->json);
	if (ok && args->save_file)
		ok = report_save(pair.after ? pair.after : pair.before,
				 args->save_file, err);
	json_decref(pair.before);
	json_decref(pair.after);
	return ok;
}

const struct command command_measures = {
	.name = "measures",
	.summary = "Print goodput and wasted prefill, before and after",
	.args_doc = "[BEFORE [AFTER]]",
	.options = OPTION_WINDOW | OPTION_SAVE | OPTION_APPLY | OPTION_AUTHOR,
	.operand = OPERAND_FILE,
	.operands_max = 2,
	.run = run,
};
