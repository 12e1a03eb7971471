#include "forward/model.h"

#include <glib.h>
#include <math.h>

/* Nothing is told from fewer requests. */
#define STREAMS_LEAST 3.0
#define READS_LEAST 3.0
/* Spread of ln(output / estimate), also with few samples: estimates are often
 * off by a factor of two. */
#define SPREAD_LEAST 0.2
/* A run that has outlived nearly all others still ends some time. */
#define SURVIVAL_LEAST 0.02

static const double moment_parts[MODEL_MOMENTS] = {0.0, 0.25, 0.5, 0.75};

void model_decay(struct model *model, int64_t now)
{
	double kept =
		exp2(-(double)(now - model->at) / (double)MODEL_HALF_USEC);
	struct model_sums *sums = &model->sums;

	model->at = now;
	sums->streams *= kept;
	sums->pace_log *= kept;
	sums->pace_log_squares *= kept;
	sums->held_sec *= kept;
	sums->reads *= kept;
	sums->read_log *= kept;
}

static double clipped(double value, double known)
{
	return CLAMP(value, known / MODEL_CLIP, known * MODEL_CLIP);
}

void model_note_stream(struct model *model, const struct model_view *known,
		       uint32_t expected, int64_t held_usec)
{
	double each = (double)MAX(held_usec, 1) / (double)MAX(expected, 1u);
	double logarithm;

	if (known->paces)
		each = clipped(each, exp(known->log_mean));
	logarithm = log(each);
	model->sums.streams += 1.0;
	model->sums.pace_log += logarithm;
	model->sums.pace_log_squares += logarithm * logarithm;
	model->sums.held_sec += (double)held_usec / (double)USEC_PER_SEC;
}

void model_note_read(struct model *model, const struct model_view *known,
		     uint32_t tokens, int64_t took_usec)
{
	double rate = (double)MAX(tokens, 1u) * (double)USEC_PER_SEC /
		      (double)MAX(took_usec, 1);

	if (known->read_rate > 0.0)
		rate = clipped(rate, known->read_rate);
	model->sums.reads += 1.0;
	model->sums.read_log += log(rate);
}

void model_add(struct model_sums *sums, const struct model_sums *more)
{
	sums->streams += more->streams;
	sums->pace_log += more->pace_log;
	sums->pace_log_squares += more->pace_log_squares;
	sums->held_sec += more->held_sec;
	sums->reads += more->reads;
	sums->read_log += more->read_log;
}

void model_view(struct model_view *view, const struct model_sums *sums)
{
	double variance;

	*view = (struct model_view){.paces = sums->streams >= STREAMS_LEAST};
	if (sums->reads >= READS_LEAST)
		view->read_rate = exp(sums->read_log / sums->reads);
	if (!view->paces)
		return;
	view->log_mean = sums->pace_log / sums->streams;
	variance = sums->pace_log_squares / sums->streams -
		   view->log_mean * view->log_mean;
	view->log_spread = MAX(sqrt(MAX(variance, 0.0)), SPREAD_LEAST);
	view->pace = exp(-view->log_mean);
	view->held_usec = (int64_t)(sums->held_sec / sums->streams *
				    (double)USEC_PER_SEC);
}

int64_t model_moment(const struct model_view *view, int i)
{
	return (int64_t)(moment_parts[i] * (double)view->held_usec);
}

/* The chance that a run lasts so long from its first event. */
static double survival(const struct model_view *view,
		       const struct model_run *run, double usec)
{
	double each = usec / (double)MAX(run->expected, 1u);

	if (usec <= 0.0)
		return 1.0;
	if (usec * view->pace > (double)run->most)
		return 0.0;
	return 0.5 * erfc((log(each) - view->log_mean) /
			  (view->log_spread * M_SQRT2));
}

double model_memory(const struct model_view *view, const struct model_run *run,
		    int64_t ahead_usec)
{
	double age = (double)run->age_usec;
	double then = age + (double)ahead_usec;
	double lasts;

	if (!view->paces)
		return (double)run->prompt + (double)run->expected;
	lasts = survival(view, run, then) /
		MAX(survival(view, run, age), SURVIVAL_LEAST);
	return MIN(lasts, 1.0) * ((double)run->prompt +
				  MIN(then * view->pace, (double)run->most));
}
