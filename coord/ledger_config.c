#include "ledger_parts.h"

#include <string.h>

/* A decode runner's memory is accounted in one cell, so services that share a
 * decode pool must share the prefill pool. */
static bool decode_pools_unshared(const struct config *config,
				  struct error *err)
{
	for (size_t i = 0; i < config->service_count; i++) {
		const struct config_service *a = &config->services[i];

		for (size_t j = 0; j < i; j++) {
			const struct config_service *b = &config->services[j];

			if (a->kind != SERVICE_MODEL ||
			    b->kind != SERVICE_MODEL ||
			    strcmp(a->decode_pool, b->decode_pool) != 0 ||
			    strcmp(a->prefill_pool, b->prefill_pool) == 0)
				continue;
			return error_set(err, RESULT_BAD_CONFIG,
					 "services \"%s\" and \"%s\" share "
					 "decode pool \"%s\" but not the "
					 "prefill pool",
					 b->name, a->name, a->decode_pool);
		}
	}
	return true;
}

static bool pools_known(const struct config *config, struct error *err)
{
	for (size_t i = 0; i < config->service_count; i++) {
		const struct config_service *s = &config->services[i];

		if (s->kind != SERVICE_MODEL ||
		    (config_pool(config, s->prefill_pool) != NULL &&
		     config_pool(config, s->decode_pool) != NULL))
			continue;
		return error_set(err, RESULT_BAD_CONFIG,
				 "service \"%s\" names an unknown pool",
				 s->name);
	}
	return true;
}

static char *policy_key(const struct config_policy *policy)
{
	GString *key = g_string_new(policy->name);

	for (size_t i = 0; i < policy->param_count; i++)
		g_string_append_printf(key, " %s=%.17g", policy->params[i].name,
				       policy->params[i].value);
	return g_string_free(key, FALSE);
}

/* Replaces the policy in force if its name or parameters have changed. */
static bool policy_replace(struct ledger *ledger, const struct config *config,
			   struct error *err)
{
	const struct policy_ops *ops;
	char *key;
	void *state;

	if (!policy_check(&config->policy, err))
		return false;
	ops = policy_find(config->policy.name, err);
	key = policy_key(&config->policy);
	if (g_strcmp0(key, ledger->policy_key) == 0) {
		g_free(key);
		return true;
	}
	state = ops->create(&config->policy, err);
	if (state == NULL) {
		g_free(key);
		return false;
	}
	if (ledger->policy != NULL)
		ledger->policy->destroy(ledger->policy_state);
	g_free(ledger->policy_key);
	ledger->policy = ops;
	ledger->policy_state = state;
	ledger->policy_key = key;
	log_event(LOG_NOTICE, "policy_in_force", LOG_S("policy", ops->name));
	return true;
}

static struct cell *cell_configure(struct ledger *ledger,
				   const struct config *config,
				   const struct config_service *service)
{
	bool plain = service->kind == SERVICE_PLAIN;
	const char *prefill = plain ? service->pool : service->prefill_pool;
	const char *decode = plain ? service->pool : service->decode_pool;
	uint64_t id = cell_id_of(ledger, prefill, decode);
	struct cell *cell = cell_find(ledger, id);
	bool created = false;

	if (cell == NULL) {
		cell = cell_create(ledger, id, prefill, decode);
		g_ptr_array_add(ledger->cells, cell);
		created = true;
	}
	cell->prefill = plain ? NULL : config_pool(config, prefill);
	cell->decode = plain ? NULL : config_pool(config, decode);
	runners_configure(cell);
	if (created)
		runners_set(cell,
			    (const struct ledger_runner *)(void *)
				    ledger->runner_list->data,
			    ledger->runner_list->len);
	return cell;
}

static void service_add(struct ledger *ledger, const struct config *config,
			const struct config_service *config_service)
{
	struct service *service = g_new0(struct service, 1);

	service->id = (uint32_t)id_of(config_service->name);
	service->config = config_service;
	service->plain = config_service->kind == SERVICE_PLAIN;
	service->cell = cell_configure(ledger, config, config_service);
	g_ptr_array_add(ledger->services, service);
}

/* Pending requests keep their place unless their service was removed or has
 * other pools. In the latter case the holders resubmit to the other cell. */
static void relink_pending(struct cell *cell)
{
	struct ledger *ledger = cell->ledger;
	GPtrArray *list = cell_pending_requests(cell);

	for (guint i = 0; i < list->len; i++) {
		struct pending *pending = g_ptr_array_index(list, i);

		pending->service = service_find(ledger, pending->service_id);
		if (pending->service != NULL && pending->lane_position != NULL)
			pending->service->waiting++;
	}
	for (guint i = 0; i < list->len; i++) {
		struct pending *pending = g_ptr_array_index(list, i);

		if (pending->service == NULL)
			pending_refuse(pending, RESULT_NO_BACKEND,
				       USEC_PER_SEC);
		else if (pending->service->cell != cell)
			pending_remove(pending);
	}
	g_ptr_array_free(list, TRUE);
}

/* Ranks all pending requests with the policy in force. */
static void cell_rerank(struct cell *cell)
{
	struct ledger *ledger = cell->ledger;
	struct policy_view view;

	view_fill(cell, &view);
	for (int class = 0; class < CLASS_COUNT; class ++) {
		GSequenceIter *iter =
			g_sequence_get_begin_iter(cell->lanes[class]);

		while (!g_sequence_iter_is_end(iter)) {
			struct pending *pending = g_sequence_get(iter);

			pending->rank = ledger->policy->rank(
				ledger->policy_state, &view, &pending->need);
			iter = g_sequence_iter_next(iter);
		}
	}
	lanes_sort(cell);
	cell_schedule_scan(cell);
}

static void unlink_services(struct ledger *ledger)
{
	for (guint i = 0; i < ledger->cells->len; i++) {
		struct cell *cell = g_ptr_array_index(ledger->cells, i);

		cell->prefill = NULL;
		cell->decode = NULL;
	}
	g_ptr_array_set_size(ledger->services, 0);
}

bool ledger_check(const struct config *config, struct error *err)
{
	if (config == NULL)
		return error_set(err, RESULT_NO_CONFIG, "no configuration");
	return pools_known(config, err) && decode_pools_unshared(config, err);
}

bool ledger_configure(struct ledger *ledger, const struct config *config,
		      struct error *err)
{
	if (!ledger_check(config, err) || !policy_replace(ledger, config, err))
		return false;
	ledger->config = config;
	unlink_services(ledger);
	for (size_t i = 0; i < config->service_count; i++)
		service_add(ledger, config, &config->services[i]);
	for (guint i = 0; i < ledger->cells->len; i++)
		relink_pending(g_ptr_array_index(ledger->cells, i));
	for (guint i = 0; i < ledger->cells->len; i++) {
		struct cell *cell = g_ptr_array_index(ledger->cells, i);

		cell_update_home(cell);
		cell_rerank(cell);
	}
	holder_relink(ledger);
	return true;
}
