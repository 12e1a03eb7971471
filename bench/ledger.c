/* Cost of a decision of the ledger. One instance is home and holder, its
 * runners are full and requests wait. Each cycle releases one request, which
 * grants the next, and submits a new one. Rows of different runs are not
 * comparable.
 *
 * Usage: bench-ledger [CYCLES]
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "coord/ledger.h"

#define CYCLES_DEFAULT 3000
#define PIECES 20
#define RUNNERS_PER_PREFILL 3 /* one of them is a prefill runner */
#define BLOCKS 16
#define ITERATION_USEC 1000

struct message {
	size_t size;
	uint8_t data[];
};

struct bench {
	struct clock *clock;
	struct clock *system_clock;
	struct membership *membership;
	struct ledger *ledger;
	GQueue messages;
	GQueue granted_requests;
	uint64_t next;
	uint64_t key; /* key of the next request; 0: requests have no key */
	uint32_t runners;
};

static void bench_send(void *ctx, uint64_t to, enum channel channel,
		       const void *payload, size_t size)
{
	struct bench *bench = ctx;
	struct message *message;

	if (channel != CHANNEL_LEDGER)
		return;
	message = g_malloc(sizeof(*message) + size);
	message->size = size;
	memcpy(message->data, payload, size);
	g_queue_push_tail(&bench->messages, message);
}

static void on_granted(void *ctx, const struct ledger_grant *grant)
{
	struct bench *bench = ctx;

	g_queue_push_tail(&bench->granted_requests,
			  GSIZE_TO_POINTER(grant->request));
}

static void on_refused(void *ctx, const struct ledger_refusal *refusal)
{
	g_error("request refused: %s", result_label(refusal->code));
}

static void on_duplicate(void *ctx, const struct ledger_duplicate *duplicate)
{
}

static void on_revoked(void *ctx, uint64_t request, uint32_t attempt)
{
}

static void on_cancel(void *ctx, uint64_t runner, const char *stream)
{
}

static void on_homes_changed(void *ctx)
{
}

static const struct ledger_ops ops = {
	.granted = on_granted,
	.refused = on_refused,
	.duplicate = on_duplicate,
	.revoked = on_revoked,
	.cancel = on_cancel,
	.homes_changed = on_homes_changed,
};

static const struct config_pool pools[] = {
	{.name = "prefill",
	 .role = POOL_PREFILL,
	 .piece_tokens = 2048,
	 .kv_bytes_per_token = 1,
	 .link_bytes_per_s = UINT64_C(1) << 50,
	 .prefill_tokens_per_s = 1u << 30},
	{.name = "decode",
	 .role = POOL_DECODE,
	 .piece_tokens = 2048,
	 .pieces = PIECES,
	 .decode_tokens_per_s = 100},
};

static const struct config_service service = {.name = "model",
					      .kind = SERVICE_MODEL,
					      .prefill_pool = "prefill",
					      .decode_pool = "decode",
					      .record_ms = 600000};

static struct config config = {.pools = pools,
			       .pool_count = 2,
			       .services = &service,
			       .service_count = 1};

/* Delivers messages until none are pending, then advances the clock. */
static void iteration_run(struct bench *bench)
{
	struct ledger *ledger = bench->ledger;
	uint64_t self = membership_self(bench->membership)->id;
	struct message *message;

	do {
		while ((message = g_queue_pop_head(&bench->messages)) != NULL) {
			ledger_receive(ledger, self, message->data,
				       message->size);
			g_free(message);
		}
		clock_advance(bench->clock, clock_now(bench->clock) + 1);
	} while (!g_queue_is_empty(&bench->messages));
	clock_advance(bench->clock, clock_now(bench->clock) + ITERATION_USEC);
}

static void request_submit(struct bench *bench)
{
	struct ledger_request request = {
		.request = ++bench->next,
		.service = "model",
		.key = bench->key != 0 ? bench->key++ : 0,
		.idempotent = true,
		.need = {.class = bench->next % 4 == 0 ? CLASS_DEFERRABLE
						       : CLASS_URGENT,
			 .arrived = clock_now(bench->clock),
			 .deadline = CLOCK_NEVER,
			 .first_token_by = CLOCK_NEVER,
			 .prompt_tokens = 1500,
			 .output_tokens_max = 500,
			 .block_count = BLOCKS}};

	for (uint32_t i = 0; i < BLOCKS; i++)
		request.need.blocks[i] =
			id_mix(i < BLOCKS / 2 ? 0 : bench->next, i);
	ledger_submit(bench->ledger, &request);
}

static void report(struct bench *bench, uint64_t runner)
{
	struct ledger_report report = {.runner = runner, .reachable = true};

	ledger_report(bench->ledger, &report);
	ledger_streams(bench->ledger, runner, NULL, 0);
}

static void add_runners(struct bench *bench)
{
	struct ledger_runner *list =
		g_new0(struct ledger_runner, bench->runners);

	for (uint32_t i = 0; i < bench->runners; i++)
		list[i] = (struct ledger_runner){
			.id = id_mix(i, 1),
			.pool = i % RUNNERS_PER_PREFILL == 0 ? "prefill"
							     : "decode",
			.data_centre = "hall-a"};
	ledger_runners(bench->ledger, list, bench->runners);
	iteration_run(bench);
	for (uint32_t i = 0; i < bench->runners; i++)
		report(bench, list[i].id);
	g_free(list);
}

static struct bench *bench_create(const char *policy, uint32_t runners)
{
	struct bench *bench = g_new0(struct bench, 1);
	struct transport transport = {.send = bench_send, .ctx = bench};
	static const struct membership_ops none;
	struct member self = {
		.incarnation = 1, .name = "a", .data_centre = "hall-a"};

	self.id = id_of(self.name);
	config.policy.name = policy;
	bench->clock = clock_create(0);
	bench->system_clock = clock_create_system();
	bench->runners = runners;
	bench->membership = membership_create(bench->clock, &self, NULL,
					      &transport, &none, NULL);
	bench->ledger = ledger_create(bench->clock, bench->membership, NULL,
				      &transport, &ops, bench);
	ledger_configure(bench->ledger, &config, NULL);
	add_runners(bench);
	iteration_run(bench);
	return bench;
}

static void bench_destroy(struct bench *bench)
{
	ledger_destroy(bench->ledger);
	membership_destroy(bench->membership);
	g_queue_clear_full(&bench->messages, g_free);
	g_queue_clear(&bench->granted_requests);
	clock_destroy(bench->clock);
	clock_destroy(bench->system_clock);
	g_free(bench);
}

static size_t heap_used(void)
{
	return mallinfo2().uordblks;
}

static uint32_t capacity(const struct bench *bench)
{
	uint32_t prefill = (bench->runners + RUNNERS_PER_PREFILL - 1) /
			   RUNNERS_PER_PREFILL;

	return (bench->runners - prefill) * PIECES;
}

static void requests_submit(struct bench *bench, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		request_submit(bench);
		if (i % 64 == 0)
			iteration_run(bench);
	}
	iteration_run(bench);
	iteration_run(bench);
}

static void cycle(struct bench *bench)
{
	uint64_t request =
		GPOINTER_TO_SIZE(g_queue_pop_head(&bench->granted_requests));

	ledger_release(bench->ledger, request, RELEASE_DONE);
	request_submit(bench);
	iteration_run(bench);
}

static void run(const char *policy, uint32_t runners, uint32_t waiting,
		uint32_t cycles, bool keyed)
{
	struct bench *bench = bench_create(policy, runners);
	struct ledger_stats before, after;
	size_t heap_idle, heap_loaded;
	int64_t start;

	bench->key = keyed;
	requests_submit(bench, capacity(bench));
	heap_idle = heap_used();
	requests_submit(bench, waiting);
	heap_loaded = heap_used();
	ledger_stats(bench->ledger, &before);
	clock_follow(bench->system_clock);
	start = clock_now(bench->system_clock);
	for (uint32_t i = 0; i < cycles; i++)
		cycle(bench);
	clock_follow(bench->system_clock);
	ledger_stats(bench->ledger, &after);
	printf("%-12s %7u %7u %7u %9.0f %9.0f %9.0f\n", policy, runners,
	       before.waiting, before.grants,
	       (double)(clock_now(bench->system_clock) - start) * 1000 / cycles,
	       (double)(after.sent_bytes - before.sent_bytes) / cycles,
	       waiting > 0 ? (double)(heap_loaded - heap_idle) / waiting : 0);
	bench_destroy(bench);
}

/* Prints the heap bytes per runner or, without runners, per ended request. */
static void state_size(const char *what, uint32_t runners, uint32_t waiting,
		       bool keyed)
{
	struct bench *bench = bench_create("reserve", 3);
	size_t before = heap_used();
	uint32_t count = 0;

	bench->key = keyed;
	if (runners > 0) {
		bench->runners = runners;
		add_runners(bench);
		count = runners;
	}
	for (uint32_t i = 0; i < waiting; i++) {
		request_submit(bench);
		iteration_run(bench);
		while (!g_queue_is_empty(&bench->granted_requests))
			ledger_release(bench->ledger,
				       GPOINTER_TO_SIZE(g_queue_pop_head(
					       &bench->granted_requests)),
				       RELEASE_DONE);
		iteration_run(bench);
		count++;
	}
	printf("%-34s %9.0f bytes\n", what,
	       (double)(heap_used() - before) / count);
	bench_destroy(bench);
}

int main(int argc, char **argv)
{
	static const uint32_t waiting[] = {1, 10, 100, 1000, 10000};
	static const uint32_t runners[] = {20, 600};
	uint32_t cycles = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10)
				   : CYCLES_DEFAULT;

	log_setup(NULL, "bench", LOG_ERR);
	printf("%-12s %7s %7s %7s %9s %9s %9s\n", "policy", "runners",
	       "waiting", "granted", "ns", "sent B", "state B");
	for (size_t r = 0; r < G_N_ELEMENTS(runners); r++) {
		for (size_t w = 0; w < G_N_ELEMENTS(waiting); w++)
			run("reserve", runners[r], waiting[w], cycles, false);
		run("reserve", runners[r], 100, cycles, true);
		run("least_load", runners[r], 0, cycles, false);
	}
	state_size("record of an ended key", 0, 5000, true);
	state_size("runner", 600, 0, false);
	return 0;
}
