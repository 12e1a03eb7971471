#include "forward/budget.h"

#include <glib.h>

/* The window slides by one slice, so the sum may cover up to one slice more
 * than the window, which allows fewer sends rather than more. */
#define SLICES 10
/* Fraction of the allowance that is used. The rest is a margin: requests are
 * counted when they arrive here, and sends reach a server up to a transit time
 * later. */
#define USED_FRACTION 0.85

struct slice {
	uint32_t requests;
	uint32_t sends;
};

struct budget {
	uint64_t service;
	int64_t newest; /* number of the newest slice */
	struct slice slices[SLICES + 1];
};

struct budgets {
	struct budget_settings settings;
	int64_t started_at;
	GHashTable *services; /* id to struct budget */
};

struct budgets *budgets_create(const struct budget_settings *settings,
			       int64_t now)
{
	struct budgets *budgets = g_new0(struct budgets, 1);

	budgets->settings = *settings;
	budgets->started_at = now;
	budgets->services = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	return budgets;
}

void budgets_destroy(struct budgets *budgets)
{
	if (!budgets)
		return;
	g_hash_table_destroy(budgets->services);
	g_free(budgets);
}

void budgets_configure(struct budgets *budgets,
		       const struct budget_settings *settings)
{
	budgets->settings = *settings;
}

static struct budget *budget_get(struct budgets *budgets, uint64_t service)
{
	struct budget *budget =
		g_hash_table_lookup(budgets->services, &service);

	if (budget)
		return budget;
	budget = g_new0(struct budget, 1);
	budget->service = service;
	g_hash_table_insert(budgets->services, &budget->service, budget);
	return budget;
}

/* The current slice; clears those that began since the last call. */
static struct slice *slice_now(struct budgets *budgets, struct budget *budget,
			       int64_t now)
{
	int64_t at = now / MAX(budgets->settings.window_usec / SLICES, 1);
	int64_t passed = MIN(at - budget->newest, SLICES + 1);

	for (int64_t i = 0; i < passed; i++)
		budget->slices[(at - i) % (SLICES + 1)] = (struct slice){0};
	budget->newest = MAX(budget->newest, at);
	return &budget->slices[budget->newest % (SLICES + 1)];
}

void budget_request(struct budgets *budgets, uint64_t service, int64_t now)
{
	slice_now(budgets, budget_get(budgets, service), now)->requests++;
}

/* This instance's share of the slack. */
static double slack_share(const struct budgets *budgets, int64_t now,
			  uint32_t instances)
{
	const struct budget_settings *settings = &budgets->settings;
	double age = (double)(now - budgets->started_at) /
		     (double)MAX(settings->window_usec, 1);

	return settings->slack * MIN(age, 1.0) / (double)MAX(instances, 1u);
}

bool budget_take(struct budgets *budgets, uint64_t service, int64_t now,
		 uint32_t instances)
{
	const struct budget_settings *settings = &budgets->settings;
	struct budget *budget = budget_get(budgets, service);
	struct slice *slice = slice_now(budgets, budget, now);
	double sends = 1.0;
	double requests = 0.0;
	double allowed;

	for (int i = 0; i <= SLICES; i++) {
		sends += budget->slices[i].sends;
		requests += budget->slices[i].requests;
	}
	allowed = settings->ratio * requests +
		  slack_share(budgets, now, instances);
	if (sends > allowed * USED_FRACTION)
		return false;
	slice->sends++;
	return true;
}
