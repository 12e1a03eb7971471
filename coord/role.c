#include "coord/role.h"

#include <math.h>

/* After so long without a tick nothing is known about the time between. */
#define GAP_USEC (5 * USEC_PER_SEC)

static double sane(double value)
{
	return isfinite(value) && value > 0 ? value : 0;
}

static double share(double amount, double rate)
{
	return sane(rate) > 0 ? sane(amount) / rate : 0;
}

double role_need_prefill(const struct role_load *load)
{
	return share(load->prompt_tokens_per_s, load->prefill_tokens_per_s) +
	       sane(load->prefill_backlog) / ROLE_CATCH_UP_SEC;
}

double role_need_decode(const struct role_load *load)
{
	double arriving =
		share(load->output_tokens_per_s, load->decode_tokens_per_s);

	return fmax(arriving, sane(load->memory_used)) +
	       sane(load->decode_backlog) / ROLE_CATCH_UP_SEC;
}

void role_init(struct role *role, const struct role_settings *settings)
{
	*role = (struct role){.settings = *settings};
	if (role->settings.dwell <= 0)
		role->settings.dwell = ROLE_DWELL_USEC;
	if (role->settings.smooth <= 0)
		role->settings.smooth = role->settings.dwell / 3;
	if (role->settings.stabilisation <= 0)
		role->settings.stabilisation = role->settings.dwell / 6;
	if (sane(role->settings.busy) <= 0)
		role->settings.busy = ROLE_BUSY;
	if (sane(role->settings.gain) <= 0)
		role->settings.gain = ROLE_GAIN;
}

/* The move that lowers the higher use enough, if any. */
static enum role_move role_wish(const struct role *role,
				const struct role_load *load)
{
	double p = load->prefill;
	double d = load->decode;
	double now, then;

	if (p < 1 || d < 1)
		return ROLE_STAY;
	now = fmax(role->prefill / p, role->decode / d);
	if (now <= role->settings.busy)
		return ROLE_STAY;
	then = now * (1 - role->settings.gain);
	if (d > 1 &&
	    fmax(role->prefill / (p + 1), role->decode / (d - 1)) < then)
		return ROLE_TO_PREFILL;
	if (p > 1 &&
	    fmax(role->prefill / (p - 1), role->decode / (d + 1)) < then)
		return ROLE_TO_DECODE;
	return ROLE_STAY;
}

static void role_observe(struct role *role, int64_t now,
			 const struct role_load *load)
{
	double gap = (double)(now - role->ticked);
	double weight = -expm1(-gap / (double)role->settings.smooth);
	double prefill = role_need_prefill(load);
	double decode = role_need_decode(load);

	if (!role->started || now - role->ticked > GAP_USEC) {
		weight = 1;
		role->wanted = ROLE_STAY;
	}
	role->prefill += weight * (prefill - role->prefill);
	role->decode += weight * (decode - role->decode);
	role->started = true;
	role->ticked = now;
}

enum role_move role_tick(struct role *role, int64_t now,
			 const struct role_load *load)
{
	enum role_move wish;

	role_observe(role, now, load);
	if (load->moving) {
		role->wanted = ROLE_STAY;
		role->rest_until = now + role->settings.dwell;
		return ROLE_STAY;
	}
	wish = role_wish(role, load);
	if (wish != role->wanted)
		role->wanted_since = now;
	role->wanted = wish;
	if (now - role->wanted_since < role->settings.stabilisation ||
	    now < role->rest_until)
		return ROLE_STAY;
	if (wish != ROLE_STAY)
		role->rest_until = now + role->settings.dwell;
	return wish;
}
