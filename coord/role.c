#include "coord/role.h"

#include <math.h>

/* After a longer gap between ticks the smoothed needs are discarded. */
#define TICK_GAP_MAX_USEC (5 * USEC_PER_SEC)

static double finite_or_zero(double value)
{
	return isfinite(value) && value > 0 ? value : 0;
}

static double ratio(double amount, double rate)
{
	return finite_or_zero(rate) > 0 ? finite_or_zero(amount) / rate : 0;
}

double role_need_prefill(const struct role_load *load)
{
	return ratio(load->prompt_tokens_per_s, load->prefill_tokens_per_s) +
	       finite_or_zero(load->prefill_backlog) / ROLE_CATCH_UP_SEC;
}

double role_need_decode(const struct role_load *load)
{
	double arriving =
		ratio(load->output_tokens_per_s, load->decode_tokens_per_s);

	return fmax(arriving, finite_or_zero(load->memory_used)) +
	       finite_or_zero(load->decode_backlog) / ROLE_CATCH_UP_SEC;
}

void role_init(struct role *role, const struct role_settings *settings)
{
	*role = (struct role){.settings = *settings};
	if (role->settings.dwell <= 0)
		role->settings.dwell = ROLE_DWELL_USEC;
	if (role->settings.smoothing <= 0)
		role->settings.smoothing = role->settings.dwell / 3;
	if (role->settings.stabilisation <= 0)
		role->settings.stabilisation = role->settings.dwell / 6;
	if (finite_or_zero(role->settings.busy_above) <= 0)
		role->settings.busy_above = ROLE_BUSY;
	if (finite_or_zero(role->settings.gain_min) <= 0)
		role->settings.gain_min = ROLE_GAIN;
}

/* The move that lowers the higher utilisation by more than gain_min, if any. */
static enum role_move role_choose_move(const struct role *role,
				       const struct role_load *load)
{
	double p = load->prefill;
	double d = load->decode;
	double now, then;

	if (p < 1 || d < 1)
		return ROLE_STAY;
	now = fmax(role->need_prefill / p, role->need_decode / d);
	if (now <= role->settings.busy_above)
		return ROLE_STAY;
	then = now * (1 - role->settings.gain_min);
	if (d > 1 && fmax(role->need_prefill / (p + 1),
			  role->need_decode / (d - 1)) < then)
		return ROLE_TO_PREFILL;
	if (p > 1 && fmax(role->need_prefill / (p - 1),
			  role->need_decode / (d + 1)) < then)
		return ROLE_TO_DECODE;
	return ROLE_STAY;
}

static void role_observe(struct role *role, int64_t now,
			 const struct role_load *load)
{
	double gap = (double)(now - role->last_tick);
	double weight = -expm1(-gap / (double)role->settings.smoothing);
	double prefill = role_need_prefill(load);
	double decode = role_need_decode(load);

	if (!role->started || now - role->last_tick > TICK_GAP_MAX_USEC) {
		weight = 1;
		role->wanted = ROLE_STAY;
	}
	role->need_prefill += weight * (prefill - role->need_prefill);
	role->need_decode += weight * (decode - role->need_decode);
	role->started = true;
	role->last_tick = now;
}

enum role_move role_tick(struct role *role, int64_t now,
			 const struct role_load *load)
{
	enum role_move move;

	role_observe(role, now, load);
	if (load->moving) {
		role->wanted = ROLE_STAY;
		role->dwell_until = now + role->settings.dwell;
		return ROLE_STAY;
	}
	move = role_choose_move(role, load);
	if (move != role->wanted)
		role->wanted_since = now;
	role->wanted = move;
	if (now - role->wanted_since < role->settings.stabilisation ||
	    now < role->dwell_until)
		return ROLE_STAY;
	if (move != ROLE_STAY)
		role->dwell_until = now + role->settings.dwell;
	return move;
}
