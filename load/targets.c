#include "load/targets.h"

#include <glib.h>

#include "web/client.h"

#define ANSWER_BYTES_MAX 4096

struct target {
	struct targets *owner;
	const char *address;
	const char *health;
	bool unhealthy;
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
	target->unhealthy = !result->ok || status != 200;
	timer_start(&target->timer, TARGETS_HEALTH_INTERVAL_USEC);
}

static void health_due(struct timer *timer, void *ctx)
{
	struct target *target = ctx;
	struct web_call_spec spec = {
		.method = "GET",
		.address = target->health,
		.path = "/health",
		.head_usec = TARGETS_HEALTH_INTERVAL_USEC,
	};

	target->call = web_fetch(target->owner->client, &spec, ANSWER_BYTES_MAX,
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

static bool target_eligible(const struct target *target, const char *last)
{
	return !target->unhealthy && target->address != last;
}

const char *targets_pick(struct targets *targets, const char *last)
{
	unsigned int eligible = 0;
	unsigned int pick;

	for (unsigned int i = 0; i < targets->count; i++)
		eligible += target_eligible(&targets->targets[i], last);
	if (eligible == 0) {
		pick = (unsigned int)g_rand_int_range(targets->rand, 0,
						      (int)targets->count);
		return targets->targets[pick].address;
	}
	pick = (unsigned int)g_rand_int_range(targets->rand, 0, (int)eligible);
	for (unsigned int i = 0; i < targets->count; i++)
		if (target_eligible(&targets->targets[i], last) && pick-- == 0)
			return targets->targets[i].address;
	return targets->targets[0].address;
}
