/*
 * model.h - what the engines of a service are like, learnt from requests
 *
 * DESCRIPTION
 *	Each instance notes how long its own streams held a place, how fast
 *	prompts were read and how often a stream stalled. The sums lose half of
 *	their weight in MODEL_HALF_USEC and add up over instances, so what all
 *	have seen is known to each from a few numbers.
 *
 *	Times a token are kept as logarithms: output lengths against the
 *	caller's estimate spread by factors, and one slow server among several
 *	moves a mean of logarithms little. One sample counts as at most
 *	MODEL_CLIP times more or less than what is known.
 *
 *	A caller's estimate is right in the median, so the median time for each
 *	estimated token is the pace of an engine.
 *
 *	Times are in microseconds, rates in tokens a second.
 */
#ifndef FORWARD_MODEL_H
#define FORWARD_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/* Engines change when servers are replaced or turn slow: within tens of
 * seconds; a site sees some ten requests a second. */
#define MODEL_HALF_USEC (20 * USEC_PER_SEC)
#define MODEL_CLIP 4.0
/* The moments ahead, in parts of the mean time that a place is held, for which
 * memory is foretold: expected memory of a request that begins is highest
 * between a quarter and three quarters of that time. */
#define MODEL_MOMENTS 4

/* Decayed sums; they add up over instances. */
struct model_sums {
	double streams;		 /* whole streams seen */
	double pace_log;	 /* of ln(usec an estimated token) */
	double pace_log_squares; /* the same squared */
	double held_sec;	 /* of the time that a place was held */
	double reads;		 /* prompts read */
	double read_log;	 /* of ln(tokens a second) */
};

struct model {
	struct model_sums sums;
	int64_t at; /* when they were decayed last */
};

/* What the sums of all instances say. */
struct model_view {
	bool paces;	 /* pace, spread and held are known */
	double pace;	 /* tokens that a stream gains a usec */
	double log_mean; /* of ln(usec an estimated token) */
	double log_spread;
	int64_t held_usec; /* mean time that a place is held */
	double read_rate;  /* tokens a second of one prefill server; 0: unknown
			    */
};

/* One request, for a forecast of its memory. */
struct model_run {
	uint32_t prompt;
	uint32_t expected; /* output tokens, by the caller's estimate */
	uint32_t most;	   /* output tokens */
	int64_t age_usec;  /* since its first event; 0: it has not begun */
};

void model_decay(struct model *model, int64_t now);
/* A whole stream without a stall held its place for so long. */
void model_note_stream(struct model *model, const struct model_view *known,
		       uint32_t expected, int64_t held_usec);
/* A prompt was read, with so many tokens before it and of its own. */
void model_note_read(struct model *model, const struct model_view *known,
		     uint32_t tokens, int64_t took_usec);
void model_add(struct model_sums *sums, const struct model_sums *more);
void model_view(struct model_view *view, const struct model_sums *sums);

/* Microseconds ahead of moment i, below MODEL_MOMENTS. */
int64_t model_moment(const struct model_view *view, int i);
/* Tokens that the run is expected to hold so far ahead: what it will hold if it
 * still runs, times the chance that it does. All that it may come to, at any
 * time, while nothing is known. */
double model_memory(const struct model_view *view, const struct model_run *run,
		    int64_t ahead_usec);

#endif
