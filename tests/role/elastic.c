#include "elastic.h"

#include <math.h>

#define PERIOD_USEC (60 * USEC_PER_SEC)
#define SENSITIVITY 0.55 /* fraction of the ideal change, s in the paper */
#define BACKLOG_SEC 3.0
#define MEMORY_FULL 0.99

static void points_set(struct elastic *e, uint32_t from, uint32_t to,
		       double value)
{
	for (uint32_t i = from; i < to; i++)
		e->measured[i] = value;
}

void elastic_init(struct elastic *e)
{
	*e = (struct elastic){0};
	points_set(e, 0, ELASTIC_POINTS, INFINITY);
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
static bool load_changed(const struct elastic *e, enum role_move pressure,
			 double throughput)
{
	double first = e->first_measured[e->point];
	double ideal = first / fmax(1, e->point);

	if (e->previous_point != e->point)
		return false;
	return pressure != e->last_pressure ||
	       fabs(throughput - first) > SENSITIVITY * ideal;
}

static enum role_move move_choose(struct elastic *e, enum role_move pressure,
				  double throughput)
{
	uint32_t next =
		pressure == ROLE_TO_PREFILL ? e->point + 1 : e->point - 1;
	bool arrived = e->previous_point != e->point;

	/* P5: undoes a step that did not relieve the congestion and gained no
	 * throughput. */
	if (arrived && e->last_move == pressure &&
	    throughput <= e->measured[e->previous_point])
		return pressure == ROLE_TO_PREFILL ? ROLE_TO_DECODE
						   : ROLE_TO_PREFILL;
	return pressure != ROLE_STAY && e->measured[next] > throughput
		       ? pressure
		       : ROLE_STAY;
}

static enum role_move period_finish(struct elastic *e,
				    const struct role_load *load,
				    double throughput)
{
	enum role_move pressure = congested_role(load);
	enum role_move move;

	e->point = load->prefill;
	if (e->previous_point != e->point)
		e->first_measured[e->point] = throughput;
	if (load_changed(e, pressure, throughput)) {
		points_set(e, 0, ELASTIC_POINTS, INFINITY);
		e->first_measured[e->point] = throughput;
	}
	e->measured[e->point] = throughput;
	move = move_choose(e, pressure, throughput);
	e->previous_point = e->point;
	e->last_pressure = pressure;
	e->last_move = move;
	return move;
}

enum role_move elastic_tick(struct elastic *e, int64_t now,
			    const struct role_load *load)
{
	enum role_move move;
	double throughput;

	if (load->moving)
		e->dwell_until = now + ROLE_DWELL_USEC;
	if (load->moving || now < e->dwell_until - PERIOD_USEC) {
		e->period_end = now + PERIOD_USEC;
		e->sum = 0;
		e->ticks = 0;
		return ROLE_STAY;
	}
	e->sum += e->throughput;
	e->ticks++;
	if (now < e->period_end)
		return ROLE_STAY;
	throughput = e->sum / e->ticks;
	e->period_end = now + PERIOD_USEC;
	e->sum = 0;
	e->ticks = 0;
	move = period_finish(e, load, throughput);
	if ((move == ROLE_TO_PREFILL && load->decode < 2) ||
	    (move == ROLE_TO_DECODE && load->prefill < 2))
		return ROLE_STAY;
	return move;
}
