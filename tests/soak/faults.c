/* Injects random faults and clears them. */
#include <signal.h>
#include <stdio.h>

#include "soak.h"

static const char *const servers[] = {"s1", "s2", "p1", "p2", "d1", "d2"};
static const char *const server_faults[] = {"reset", "error",  "busy",
					    "cut",   "silent", "unsigned"};

static struct instance *instance_pick(struct soak *soak)
{
	return &soak->instances[g_rand_int_range(soak->rand, 0, INSTANCES)];
}

static void kill_one(struct soak *soak)
{
	instance_signal(instance_pick(soak), SIGKILL);
}

static void kill_all(struct soak *soak)
{
	soak->all_killed++;
	for (int i = 0; i < INSTANCES; i++)
		instance_signal(&soak->instances[i], SIGKILL);
}

static void stop_one(struct soak *soak)
{
	struct instance *instance = instance_pick(soak);

	instance->stopping = instance->pid > 0;
	instance_signal(instance, SIGTERM);
}

static void pause_one(struct soak *soak)
{
	struct instance *instance = instance_pick(soak);

	if (instance->pid <= 0)
		return;
	instance_signal(instance, SIGSTOP);
	instance->wake_at =
		clock_now(soak->clock) +
		g_rand_int_range(soak->rand, 200, 3000) * USEC_PER_MSEC;
}

static void reload_one(struct soak *soak)
{
	struct instance *instance = instance_pick(soak);

	instance->reloaded = true;
	instance_signal(instance, SIGHUP);
}

static void store_proxy(struct soak *soak)
{
	proxy_set(
		instance_pick(soak)->store,
		(enum proxy_mode)g_rand_int_range(soak->rand, 0, PROXY_MODES));
}

static void callers_proxy(struct soak *soak)
{
	proxy_set(
		instance_pick(soak)->callers,
		(enum proxy_mode)g_rand_int_range(soak->rand, 0, PROXY_MODES));
}

static void server_fault(struct soak *soak)
{
	g_autofree char *body = g_strdup_printf(
		"{\"server\":\"%s\",\"fault\":\"%s\",\"count\":%d}",
		servers[g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(servers))],
		server_faults[g_rand_int_range(soak->rand, 0,
					       G_N_ELEMENTS(server_faults))],
		g_rand_int_range(soak->rand, 1, 6));

	site_call(soak, "POST", "/site/fault", body, NULL);
}

static void server_state(struct soak *soak)
{
	static const char *const states[] = {"ready", "draining", "gone"};
	g_autofree char *body = g_strdup_printf(
		"{\"server\":\"%s\",\"state\":\"%s\"}",
		servers[g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(servers))],
		states[g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(states))]);

	site_call(soak, "POST", "/site/state", body, NULL);
}

static void store_state(struct soak *soak)
{
	static const char *const states[] = {"up", "down", "forget"};
	g_autofree char *body = g_strdup_printf(
		"{\"state\":\"%s\"}",
		states[g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(states))]);

	site_call(soak, "POST", "/site/store", body, NULL);
}

static void config_change(struct soak *soak)
{
	g_autofree char *body = NULL;

	soak->version += (uint64_t)g_rand_int_range(soak->rand, 1, 4);
	body = g_strdup_printf("{\"version\":%d,\"extra\":\"/v%d/\"}",
			       (int)soak->version, (int)soak->version);
	site_call(soak, "POST", "/site/config", body, NULL);
}

static void (*const injectors[])(struct soak *soak) = {
	kill_one,     kill_all,	     stop_one,	    pause_one,	   reload_one,
	store_proxy,  callers_proxy, server_fault,  server_fault,  server_fault,
	server_state, store_state,   config_change, config_change,
};

void fault_inject(struct soak *soak)
{
	soak->faults++;
	injectors[g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(injectors))](
		soak);
}

void faults_clear(struct soak *soak)
{
	for (int i = 0; i < INSTANCES; i++) {
		proxy_set(soak->instances[i].store, PROXY_FORWARD);
		proxy_set(soak->instances[i].callers, PROXY_FORWARD);
		soak->instances[i].wake_at = 1;
	}
	site_call(soak, "POST", "/site/store", "{\"state\":\"up\"}", NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
		g_autofree char *fault = g_strdup_printf(
			"{\"server\":\"%s\",\"fault\":\"none\"}", servers[i]);
		g_autofree char *state = g_strdup_printf(
			"{\"server\":\"%s\",\"state\":\"ready\"}", servers[i]);

		site_call(soak, "POST", "/site/fault", fault, NULL);
		site_call(soak, "POST", "/site/state", state, NULL);
	}
}
