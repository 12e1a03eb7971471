#include "remember.h"

#include <math.h>

#define PERIOD_USEC (60 * USEC_PER_SEC)
#define SENSITIVITY 0.55 /* fraction of the ideal change, s in the paper */
#define BACKLOG_SEC 3.0
#define MEMORY_FULL 0.99

static void points_set(struct elastic *r, uint32_t from, uint32_t to,
		       double value)
{
	for (uint32_t i = from; i < to; i++)
		r->measured[i] = value;
}

void elastic_init(struct elastic *r)
{
	*r = (struct elastic){0};
	points_set(r, 0, ELASTIC_POINTS, INFINITY);
}

/* P1 and P2 for two roles: the move that helps the congested role. */
static enum role_move congested_role(const struct role_load *load)
{
	if (load->memory_used >= MEMORY_FULL * load->decode)
		return ROLE_TO_DECODE;
	if (load->prefill_backlog > BACKLOG_SEC * load->prefill)
		return ROLE_TO_PREFILL;
	return ROLE_STAY;
}

/* P3 and P4: the load has changed at the same point. */
static bool load_changed(const struct elastic *r, enum role_move pressure,
			 double throughput)
{
	double first = r->first_measured[r->point];
	double ideal = first / fmax(1, r->point);

	if (r->previous_point != r->point)
		return false;
	return pressure != r->last_pressure ||
	       fabs(throughput - first) > SENSITIVITY * ideal;
}

static enum role_move step(struct elastic *r, enum role_move pressure,
			   double throughput)
{
	uint32_t next =
		pressure == ROLE_TO_PREFILL ? r->point + 1 : r->point - 1;
	bool arrived = r->previous_point != r->point;

	/* P5: undoes a step that did not relieve the congestion and gained no
	 * throughput. */
	if (arrived && r->last == pressure &&
	    throughput <= r->measured[r->previous_point])
		return pressure == ROLE_TO_PREFILL ? ROLE_TO_DECODE
						   : ROLE_TO_PREFILL;
	return pressure != ROLE_STAY && r->measured[next] > throughput
		       ? pressure
		       : ROLE_STAY;
}

static enum role_move period(struct elastic *r, const struct role_load *load,
			     double throughput)
{
	enum role_move pressure = congested_role(load);
	enum role_move move;

	r->point = load->prefill;
	if (r->previous_point != r->point)
		r->first_measured[r->point] = throughput;
	if (load_changed(r, pressure, throughput)) {
		points_set(r, 0, ELASTIC_POINTS, INFINITY);
		r->first_measured[r->point] = throughput;
	}
	r->measured[r->point] = throughput;
	move = step(r, pressure, throughput);
	r->previous_point = r->point;
	r->last_pressure = pressure;
	r->last = move;
	return move;
}

enum role_move elastic_tick(struct elastic *r, int64_t now,
			    const struct role_load *load)
{
	enum role_move move;
	double throughput;

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
	throughput = r->sum / r->ticks;
	r->period_end = now + PERIOD_USEC;
	r->sum = 0;
	r->ticks = 0;
	move = period(r, load, throughput);
	if ((move == ROLE_TO_PREFILL && load->decode < 2) ||
	    (move == ROLE_TO_DECODE && load->prefill < 2))
		return ROLE_STAY;
	return move;
}
