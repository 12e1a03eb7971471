#include "remember.h"

#include <math.h>

#define PERIOD_USEC (60 * USEC_PER_SEC)
#define SENSITIVITY 0.55 /* share of the ideal change, as the paper's s */
#define BACKLOG_SEC 3.0
#define MEMORY_FULL 0.99

static void forget(struct remember *r, uint32_t from, uint32_t to, double value)
{
	for (uint32_t i = from; i < to; i++)
		r->gave[i] = value;
}

void remember_init(struct remember *r)
{
	*r = (struct remember){0};
	forget(r, 0, REMEMBER_POINTS, INFINITY);
}

/* P1 and P2 for two roles: the one that is congested wants a runner. */
static enum role_move pressure(const struct role_load *load)
{
	if (load->memory_used >= MEMORY_FULL * load->decode)
		return ROLE_TO_DECODE;
	if (load->prefill_backlog > BACKLOG_SEC * load->prefill)
		return ROLE_TO_PREFILL;
	return ROLE_STAY;
}

/* P3 and P4: the load has changed while the point did not. */
static bool load_changed(const struct remember *r, enum role_move press,
			 double gave)
{
	double first = r->first[r->point];
	double ideal = first / fmax(1, r->point);

	if (r->before != r->point)
		return false;
	return press != r->pressed || fabs(gave - first) > SENSITIVITY * ideal;
}

static enum role_move step(struct remember *r, enum role_move press,
			   double gave)
{
	uint32_t next = press == ROLE_TO_PREFILL ? r->point + 1 : r->point - 1;
	bool arrived = r->before != r->point;

	/* P5: congested as before, and nothing gained. */
	if (arrived && r->last == press && gave <= r->gave[r->before])
		return press == ROLE_TO_PREFILL ? ROLE_TO_DECODE
						: ROLE_TO_PREFILL;
	return press != ROLE_STAY && r->gave[next] > gave ? press : ROLE_STAY;
}

static enum role_move period(struct remember *r, const struct role_load *load,
			     double gave)
{
	enum role_move press = pressure(load);
	enum role_move move;

	r->point = load->prefill;
	if (r->before != r->point)
		r->first[r->point] = gave;
	if (load_changed(r, press, gave)) {
		forget(r, 0, REMEMBER_POINTS, INFINITY);
		r->first[r->point] = gave;
	}
	r->gave[r->point] = gave;
	move = step(r, press, gave);
	r->before = r->point;
	r->pressed = press;
	r->last = move;
	return move;
}

enum role_move remember_tick(struct remember *r, int64_t now,
			     const struct role_load *load)
{
	enum role_move move;
	double gave;

	if (load->moving)
		r->rest_until = now + ROLE_DWELL_USEC;
	if (load->moving || now < r->rest_until - PERIOD_USEC) {
		r->period_end = now + PERIOD_USEC;
		r->sum = 0;
		r->ticks = 0;
		return ROLE_STAY;
	}
	r->sum += r->throughput;
	r->ticks++;
	if (now < r->period_end)
		return ROLE_STAY;
	gave = r->sum / r->ticks;
	r->period_end = now + PERIOD_USEC;
	r->sum = 0;
	r->ticks = 0;
	move = period(r, load, gave);
	if ((move == ROLE_TO_PREFILL && load->decode < 2) ||
	    (move == ROLE_TO_DECODE && load->prefill < 2))
		return ROLE_STAY;
	return move;
}
