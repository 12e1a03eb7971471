/*
 * orders.c - the callbacks of coord/order.h on the ledger, directory and
 * engines
 */
#include "entry/orders.h"

#include <glib.h>
#include <string.h>

#include "common/hex.h"
#include "coord/ledger.h"
#include "coord/order.h"
#include "entry/directory.h"
#include "entry/engine_order.h"
#include "entry/entry.h"
#include "entry/own_platform.h"

/* Weight of one tick in the moving averages of a cell's arrivals. */
#define ARRIVAL_EWMA_WEIGHT 0.05

/* A cell's arrival counters at the last tick, and their averages. */
struct arrivals {
	struct ledger_demand total;
	double cached_tokens;
	int64_t at;
	struct ledger_demand mean; /* per second */
	double uncached;	   /* uncached prompt tokens per second */
};

/* A call to a runner on behalf of coord/order.h. */
struct runner_call {
	struct entry_orders *orders;
	uint64_t runner;
	struct engine_role_call call;
};

struct entry_orders {
	struct entry *entry;
	struct orders *orders;
	GHashTable *arrivals; /* by cell id: struct arrivals */
	GHashTable *calls;    /* by runner id: struct runner_call */
	GArray *runners;      /* struct order_runner of the current cell */
	struct timer arrivals_timer;
};

static bool is_paired_otherwise(const struct config *config,
				const struct config_pool *prefill,
				const struct config_pool *decode)
{
	for (size_t i = 0; i < config->service_count; i++) {
		const struct config_service *s = &config->services[i];
		bool same_prefill, same_decode;

		if (s->kind != SERVICE_MODEL)
			continue;
		same_prefill = strcmp(s->prefill_pool, prefill->name) == 0;
		same_decode = strcmp(s->decode_pool, decode->name) == 0;
		if (same_prefill != same_decode)
			return true;
	}
	return false;
}

static bool swaps_roles(const struct entry_orders *orders,
			const struct ledger_cell *cell)
{
	return cell->settled && cell->prefill->swaps_role &&
	       cell->decode->swaps_role &&
	       !is_paired_otherwise(orders->entry->config, cell->prefill,
				    cell->decode);
}

static struct arrivals *arrivals_get(struct entry_orders *orders, uint64_t cell)
{
	struct arrivals *arrivals =
		g_hash_table_lookup(orders->arrivals, &cell);

	if (arrivals)
		return arrivals;
	arrivals = g_new0(struct arrivals, 1);
	g_hash_table_insert(orders->arrivals, g_memdup2(&cell, sizeof(cell)),
			    arrivals);
	return arrivals;
}

static void mean_update(double *mean, double amount, double seconds)
{
	*mean += ARRIVAL_EWMA_WEIGHT * (amount / seconds - *mean);
}

static void arrivals_update(struct arrivals *arrivals,
			    const struct ledger_cell *cell, int64_t now,
			    struct role_load *load)
{
	const struct ledger_demand *total = &cell->arrived;
	double seconds = (double)(now - arrivals->at) / (double)USEC_PER_SEC;
	bool first = arrivals->at == 0;
	struct ledger_demand last = arrivals->total;
	double prompts, cached;

	if (now == arrivals->at)
		return;
	prompts = total->prompt_tokens - last.prompt_tokens;
	cached = cell->cached_tokens - arrivals->cached_tokens;
	arrivals->total = *total;
	arrivals->cached_tokens = cell->cached_tokens;
	arrivals->at = now;
	if (first)
		return;
	load->prompt_tokens_per_s = MAX(prompts - cached, 0) / seconds;
	load->output_tokens_per_s =
		(total->output_tokens - last.output_tokens) / seconds;
	mean_update(&arrivals->mean.requests, total->requests - last.requests,
		    seconds);
	mean_update(&arrivals->mean.pieces, total->pieces - last.pieces,
		    seconds);
}

/* Number of requests of average size that fit on one decode runner. */
static double batch_size(const struct arrivals *arrivals,
			 const struct config_pool *decode)
{
	double pieces = 1;

	if (arrivals->mean.requests > 0)
		pieces =
			MAX(arrivals->mean.pieces / arrivals->mean.requests, 1);
	return MAX(MIN(decode->slots, decode->pieces / pieces), 1);
}

static void runner_add(struct entry_orders *orders,
		       const struct policy_runner *runner,
		       const struct backend *backend, uint32_t grants)
{
	struct order_runner out = {
		.id = runner->id,
		.name = backend->name,
		.role = runner->role,
		.usable = runner->usable,
		.empty = runner->reported_pieces == 0 &&
			 runner->reported_running == 0 &&
			 runner->reported_waiting == 0 &&
			 runner->reported_queue_tokens == 0,
		.reported_at = runner->reported_at,
		.grants = grants,
	};

	g_array_append_val(orders->runners, out);
}

struct rate_sums {
	double prefill_rate;
	double decode_rate;
};

static void load_add(struct role_load *load, struct rate_sums *rates,
		     const struct policy_runner *runner, int64_t now)
{
	int64_t busy = runner->busy_until - now;

	if (!runner->usable)
		return;
	if (runner->role == POOL_PREFILL) {
		load->prefill++;
		load->prefill_backlog +=
			(double)MAX(busy, 0) / (double)USEC_PER_SEC;
		rates->prefill_rate += runner->prefill_tokens_per_s;
	} else if (runner->role == POOL_DECODE) {
		load->decode++;
		if (runner->pieces > 0)
			load->memory_used += (double)runner->granted_pieces /
					     (double)runner->pieces;
		rates->decode_rate += runner->decode_tokens_per_s;
	}
}

static void load_finish(struct role_load *load, const struct rate_sums *rates,
			const struct ledger_cell *cell, double batch)
{
	double prefill = cell->prefill->prefill_tokens_per_s;
	double decode = cell->decode->decode_tokens_per_s;

	if (load->prefill > 0)
		prefill = rates->prefill_rate / load->prefill;
	if (load->decode > 0)
		decode = rates->decode_rate / load->decode;
	load->prefill_tokens_per_s = prefill;
	load->decode_tokens_per_s = decode * batch;
	load->prefill_backlog += cell->waiting.prompt_tokens / MAX(prefill, 1);
	load->decode_backlog =
		cell->waiting.output_tokens / MAX(decode * batch, 1);
}

static void cell_fill(struct entry_orders *orders,
		      const struct ledger_cell *cell, struct order_cell *out)
{
	int64_t now = clock_now(orders->entry->clock);
	struct arrivals *arrivals = arrivals_get(orders, cell->id);
	struct rate_sums rates = {0};

	*out = (struct order_cell){
		.id = cell->id,
		.checks_fencing = cell->prefill->checks_fencing &&
				  cell->decode->checks_fencing,
	};
	arrivals_update(arrivals, cell, now, &out->load);
	g_array_set_size(orders->runners, 0);
	for (uint32_t i = 0; i < cell->runner_count; i++) {
		const struct policy_runner *runner = &cell->runners[i];
		const struct backend *backend =
			directory_find(orders->entry->directory, runner->id);

		if (!backend || !backend->listed || backend->leaving)
			continue;
		load_add(&out->load, &rates, runner, now);
		runner_add(orders, runner, backend, cell->grants[i]);
	}
	load_finish(&out->load, &rates, cell,
		    batch_size(arrivals, cell->decode));
	out->runners =
		(const struct order_runner *)(void *)orders->runners->data;
	out->runner_count = orders->runners->len;
}

static bool ops_cell_next(void *ctx, uint32_t *cursor, struct order_cell *out)
{
	struct entry_orders *orders = ctx;
	struct ledger_cell cell;

	while (orders->entry->config &&
	       ledger_cell_next(orders->entry->ledger, cursor, &cell)) {
		if (!swaps_roles(orders, &cell))
			continue;
		cell_fill(orders, &cell, out);
		return true;
	}
	return false;
}

static void ops_withhold(void *ctx, uint64_t runner, bool withheld)
{
	const struct entry_orders *orders = ctx;

	ledger_withhold(orders->entry->ledger, runner, withheld);
}

static void call_free(void *data)
{
	struct runner_call *call = data;

	if (call->call.call)
		web_call_cancel(call->call.call);
	g_free(call);
}

static void ops_cancel(void *ctx, uint64_t runner)
{
	const struct entry_orders *orders = ctx;

	g_hash_table_remove(orders->calls, &runner);
}

static void read_done(void *ctx, bool ok, enum pool_role role)
{
	struct runner_call *call = ctx;
	struct entry_orders *orders = call->orders;
	uint64_t runner = call->runner;

	g_hash_table_remove(orders->calls, &runner);
	orders_read_done(orders->orders, runner, ok, role);
}

static void answer_count(const struct entry *entry, enum order_answer answer)
{
	static const char *const labels[] = {
		[ORDER_TAKEN] = "answer=\"taken\"",
		[ORDER_LOST] = "answer=\"lost\"",
		[ORDER_FENCED] = "answer=\"fenced\"",
		[ORDER_REFUSED] = "answer=\"refused\"",
	};

	counter_get(entry->counters, "jt_role_orders_total",
		    "Orders to engines to take a role", labels[answer])
		->value++;
}

static void order_done(void *ctx, enum order_answer answer)
{
	struct runner_call *call = ctx;
	struct entry_orders *orders = call->orders;
	uint64_t runner = call->runner;

	g_hash_table_remove(orders->calls, &runner);
	answer_count(orders->entry, answer);
	orders_send_done(orders->orders, runner, answer);
}

static struct runner_call *call_create(struct entry_orders *orders,
				       uint64_t runner)
{
	struct runner_call *call = g_new0(struct runner_call, 1);

	call->orders = orders;
	call->runner = runner;
	call->call.role = read_done;
	call->call.order = order_done;
	call->call.ctx = call;
	g_hash_table_replace(orders->calls, &call->runner, call);
	return call;
}

/* Empty for a runner that has left the directory: the call then fails in a
 * later iteration of the event loop. */
static const char *address_of(const struct entry_orders *orders,
			      uint64_t runner)
{
	const struct backend *backend =
		directory_find(orders->entry->directory, runner);

	return backend ? backend->address : "";
}

static void ops_read(void *ctx, uint64_t runner)
{
	struct entry_orders *orders = ctx;
	struct runner_call *call = call_create(orders, runner);

	engine_role_read(orders->entry, address_of(orders, runner),
			 &call->call);
}

static const char *pool_of(const struct entry_orders *orders, uint64_t cell_id,
			   enum pool_role role)
{
	struct ledger_cell cell;
	uint32_t cursor = 0;

	while (ledger_cell_next(orders->entry->ledger, &cursor, &cell)) {
		if (cell.id == cell_id)
			return role == POOL_DECODE ? cell.decode->name
						   : cell.prefill->name;
	}
	return "";
}

static void ops_send(void *ctx, const struct order *order)
{
	struct entry_orders *orders = ctx;
	struct runner_call *call = call_create(orders, order->runner);

	engine_role_order(orders->entry, address_of(orders, order->runner),
			  order->role,
			  pool_of(orders, order->cell, order->role),
			  order->fence, &call->call);
}

static void arrivals_fire(struct timer *timer, void *ctx)
{
	struct entry_orders *orders = ctx;
	struct counter_set *counters = orders->entry->counters;
	struct orders_stats stats;

	orders_stats(orders->orders, &stats);
	counter_get(counters, "jt_role_changes_total",
		    "Runners that changed their role", NULL)
		->value = (int64_t)stats.changes;
	counter_get(counters, "jt_role_change_failures_total",
		    "Role changes given up or not shown by the list", NULL)
		->value = (int64_t)stats.failures;
	gauge_get(counters, "jt_role_leases",
		  "Cells whose runners are ordered from here", NULL)
		->value = stats.leases;
	timer_start(timer, ORDER_TICK_USEC);
}

struct entry_orders *entry_orders_create(struct entry *entry)
{
	static const struct order_ops ops = {
		.cell_next = ops_cell_next,
		.withhold = ops_withhold,
		.read = ops_read,
		.send = ops_send,
		.cancel = ops_cancel,
	};
	struct entry_orders *orders = g_new0(struct entry_orders, 1);
	struct owner self = {id_of(entry->settings.name), entry->incarnation};
	struct role_settings settings = {
		.dwell = entry->settings.role_dwell_usec,
	};

	orders->entry = entry;
	orders->arrivals = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
	orders->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      call_free);
	orders->runners =
		g_array_new(FALSE, FALSE, sizeof(struct order_runner));
	orders->orders = orders_create(entry->clock, &self,
				       platform_log(entry->platform), &settings,
				       &ops, orders);
	timer_init(&orders->arrivals_timer, entry->clock, arrivals_fire,
		   orders);
	timer_start(&orders->arrivals_timer, 0);
	return orders;
}

void entry_orders_destroy(struct entry_orders *orders)
{
	if (!orders)
		return;
	timer_stop(&orders->arrivals_timer);
	orders_destroy(orders->orders);
	g_hash_table_destroy(orders->calls);
	g_hash_table_destroy(orders->arrivals);
	g_array_free(orders->runners, TRUE);
	g_free(orders);
}

json_t *entry_orders_json(const struct entry_orders *orders)
{
	json_t *list = json_array();
	struct orders_status s;
	uint32_t cursor = 0;
	char cell[HEX_ID_SIZE];

	while (orders && orders_next(orders->orders, &cursor, &s))
		json_array_append_new(
			list,
			json_pack(
				"{s:s, s:b, s:I, s:s, s:s, s:s, s:i, s:f, s:f}",
				"cell", hex_id(cell, s.cell), "lease", s.held,
				"fence", (json_int_t)s.fence, "step", s.step,
				"runner", s.runner, "role",
				s.role == POOL_DECODE ? "decode" : "prefill",
				"changes", (int)s.changes, "need_prefill",
				s.need_prefill, "need_decode", s.need_decode));
	return list;
}
