#include "model.h"

#include <glib.h>
#include <math.h>

#include "elastic.h"

#define SECONDS 4800
#define STEP_USEC (100 * USEC_PER_MSEC)
#define STEP_SEC 0.1
#define PREFILL_RATE 8000.0
#define STREAM_RATE 40.0
#define SLOTS 20.0
#define SMOOTHING_WEIGHT (STEP_SEC / 20)
#define FIRST_TOKEN_SEC 5.0
/* Time in which a runner finishes its work before its role changes. */
#define DRAIN_PREFILL_SEC 5
#define DRAIN_DECODE_SEC 25

struct job {
	int64_t arrived;
	int64_t end;
	double prompt;
	double output;
	double left;
};

struct model {
	GRand *rand;
	int64_t now;
	GQueue waiting;
	GQueue prefill;
	GQueue decode;
	uint32_t runners[2];
	enum role_move moving;
	int64_t move_ends_at;
	int64_t started_at;
	enum role_move last;
	double prompt_rate;
	double output_rate;
	double answer_rate;
	struct role role;
	struct elastic elastic;
	struct outcome outcome;
};

static double draw_length(GRand *rand, double mean)
{
	return mean * (0.5 + g_rand_double(rand));
}

static void arrive(struct model *m, const struct mix *mix)
{
	double prefill = mix->prompt / PREFILL_RATE;
	double decode = (mix->output / STREAM_RATE + prefill) / SLOTS;
	double rate = mix->load * MODEL_RUNNERS / (prefill + decode);
	double left = rate * STEP_SEC;
	double prompts = 0, outputs = 0;

	/* A Poisson process, by exponential intervals. */
	while ((left += log(1 - g_rand_double(m->rand))) > 0) {
		struct job *job = g_new0(struct job, 1);

		job->arrived = m->now;
		job->prompt = job->left = draw_length(m->rand, mix->prompt);
		job->output = draw_length(m->rand, mix->output);
		prompts += job->prompt;
		outputs += job->output;
		g_queue_push_tail(&m->waiting, job);
		m->outcome.requests++;
	}
	m->prompt_rate +=
		SMOOTHING_WEIGHT * (prompts / STEP_SEC - m->prompt_rate);
	m->output_rate +=
		SMOOTHING_WEIGHT * (outputs / STEP_SEC - m->output_rate);
}

static void serve(struct model *m)
{
	GList *next;
	uint32_t done = 0;
	uint32_t n = 0;

	for (GList *l = m->decode.head; l; l = next) {
		struct job *job = l->data;

		next = l->next;
		if (job->end > m->now)
			continue;
		done++;
		g_free(job);
		g_queue_delete_link(&m->decode, l);
	}
	m->answer_rate += SMOOTHING_WEIGHT * (done / STEP_SEC - m->answer_rate);
	while (m->prefill.length + m->decode.length <
		       (uint32_t)SLOTS * m->runners[1] &&
	       m->prefill.length < 2 * m->runners[0] && m->waiting.length)
		g_queue_push_tail(&m->prefill, g_queue_pop_head(&m->waiting));
	for (GList *l = m->prefill.head; l && n < m->runners[0]; l = next) {
		struct job *job = l->data;

		next = l->next;
		n++;
		job->left -= PREFILL_RATE * STEP_SEC;
		if (job->left > 0)
			continue;
		m->outcome.in_time += (double)(m->now - job->arrived) <=
				      FIRST_TOKEN_SEC * (double)USEC_PER_SEC;
		job->end = m->now + (int64_t)(job->output / STREAM_RATE *
					      (double)USEC_PER_SEC);
		g_queue_push_tail(&m->decode, job);
		g_queue_delete_link(&m->prefill, l);
	}
}

static void backlog(const GQueue *queue, struct role_load *load, bool memory)
{
	for (GList *l = queue->head; l; l = l->next) {
		const struct job *job = l->data;

		load->prefill_backlog += job->left / PREFILL_RATE;
		if (memory)
			load->decode_backlog +=
				job->output / (STREAM_RATE * SLOTS);
	}
}

static struct role_load load_of(struct model *m)
{
	struct role_load load = {
		.prefill = m->runners[0],
		.decode = m->runners[1],
		.moving = m->moving != ROLE_STAY,
		.memory_used = (m->prefill.length + m->decode.length) / SLOTS,
		.prompt_tokens_per_s = m->prompt_rate,
		.output_tokens_per_s = m->output_rate,
		.prefill_tokens_per_s = PREFILL_RATE,
		.decode_tokens_per_s = STREAM_RATE * SLOTS,
	};

	backlog(&m->waiting, &load, true);
	backlog(&m->prefill, &load, false);
	return load;
}

static void move_start(struct model *m, enum role_move move)
{
	bool to_prefill = move == ROLE_TO_PREFILL;
	int drain = to_prefill ? DRAIN_DECODE_SEC : DRAIN_PREFILL_SEC;
	int64_t since = m->now - m->started_at;

	if (m->outcome.moves++ > 0)
		m->outcome.min_interval = MIN(m->outcome.min_interval, since);
	m->outcome.reversals += m->outcome.moves > 1 && move != m->last &&
				since < 180 * USEC_PER_SEC;
	m->runners[to_prefill]--;
	m->moving = m->last = move;
	m->started_at = m->now;
	m->move_ends_at = m->now + drain * USEC_PER_SEC;
	m->outcome.min_runners =
		MIN(m->outcome.min_runners, m->runners[to_prefill]);
}

static void control(struct model *m, enum controller controller)
{
	enum role_move move = ROLE_STAY;
	struct role_load load;

	if (m->moving != ROLE_STAY && m->now >= m->move_ends_at) {
		m->runners[m->moving == ROLE_TO_DECODE]++;
		m->moving = ROLE_STAY;
	}
	load = load_of(m);
	m->elastic.throughput = m->answer_rate;
	if (controller == CONTROL_THRESHOLD)
		move = role_tick(&m->role, m->now, &load);
	else if (controller == CONTROL_ELASTIC)
		move = elastic_tick(&m->elastic, m->now, &load);
	if (move != ROLE_STAY)
		move_start(m, move);
}

struct outcome model_run(const struct scenario *scenario,
			 enum controller controller, uint32_t seed)
{
	struct model m = {
		.rand = g_rand_new_with_seed(seed),
		.runners = {MODEL_RUNNERS / 2, MODEL_RUNNERS / 2},
		.outcome = {.min_interval = CLOCK_NEVER,
			    .min_runners = MODEL_RUNNERS},
	};

	role_init(&m.role, &(struct role_settings){0});
	elastic_init(&m.elastic);
	for (int second = 0; second < SECONDS; second++) {
		struct mix mix = scenario->mix(second, seed);

		for (int i = 0; i < 10; i++) {
			m.now += STEP_USEC;
			arrive(&m, &mix);
			serve(&m);
		}
		control(&m, controller);
	}
	g_queue_clear_full(&m.waiting, g_free);
	g_queue_clear_full(&m.prefill, g_free);
	g_queue_clear_full(&m.decode, g_free);
	g_rand_free(m.rand);
	return m.outcome;
}
