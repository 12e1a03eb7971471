#include "load/targets.h"

#include <glib.h>

#include "web/client.h"

#define ANSWER_MAX 4096

struct target {
	struct targets *owner;
	const char *address;
	const char *health;
	bool down;
	struct web_call *call;
	struct timer timer;
};

struct targets {
	struct web_client *client;
	GRand *rand;
	unsigned int count;
	struct target *targets;
};

static void health_answered(void *ctx, const struct web_result *result,
			    int status, const void *body, size_t size)
{
	struct target *target = ctx;

	target->call = NULL;
	target->down = !result->ok || status != 200;
	timer_start(&target->timer, TARGETS_HEALTH_USEC);
}

static void health_due(struct timer *timer, void *ctx)
{
	struct target *target = ctx;
	struct web_call_spec spec = {
		.method = "GET",
		.address = target->health,
		.path = "/health",
		.head_usec = TARGETS_HEALTH_USEC,
	};

	target->call = web_fetch(target->owner->client, &spec, ANSWER_MAX,
				 health_answered, target);
}

struct targets *targets_create(struct web_client *client, struct clock *clock,
			       const char *const *addresses,
			       const char *const *health, unsigned int count,
			       uint32_t seed)
{
	struct targets *targets = g_new0(struct targets, 1);

	targets->client = client;
	targets->rand = g_rand_new_with_seed(seed);
	targets->count = count;
	targets->targets = g_new0(struct target, count);
	for (unsigned int i = 0; i < count; i++) {
		struct target *target = &targets->targets[i];

		target->owner = targets;
		target->address = addresses[i];
		timer_init(&target->timer, clock, health_due, target);
		if (health == NULL)
			continue;
		target->health = health[i];
		timer_start(&target->timer, 0);
	}
	return targets;
}

void targets_destroy(struct targets *targets)
{
	if (targets == NULL)
		return;
	for (unsigned int i = 0; i < targets->count; i++) {
		timer_stop(&targets->targets[i].timer);
		if (targets->targets[i].call != NULL)
			web_call_cancel(targets->targets[i].call);
	}
	g_rand_free(targets->rand);
	g_free(targets->targets);
	g_free(targets);
}

static bool target_good(const struct target *target, const char *last)
{
	return !target->down && target->address != last;
}

const char *targets_draw(struct targets *targets, const char *last)
{
	unsigned int good = 0;
	unsigned int draw;

	for (unsigned int i = 0; i < targets->count; i++)
		good += target_good(&targets->targets[i], last);
	if (good == 0) {
		draw = (unsigned int)g_rand_int_range(targets->rand, 0,
						      (int)targets->count);
		return targets->targets[draw].address;
	}
	draw = (unsigned int)g_rand_int_range(targets->rand, 0, (int)good);
	for (unsigned int i = 0; i < targets->count; i++)
		if (target_good(&targets->targets[i], last) && draw-- == 0)
			return targets->targets[i].address;
	return targets->targets[0].address;
}
