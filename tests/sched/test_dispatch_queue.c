/* One queue of plain calls, see sched/dispatch.h, without instances. */
#include <glib.h>

#include "sched/dispatch.h"

#define NOW INT64_C(1000000)

struct log {
	GString *text;
};

static void log_answered(void *ctx, const struct dispatch_call *call,
			 const struct dispatch_answer *answer)
{
	struct log *log = ctx;

	if (answer->result == DISPATCH_GRANTED)
		g_string_append_printf(log->text, "%u@%u ", (unsigned)call->id,
				       (unsigned)answer->server);
	else
		g_string_append_printf(log->text, "%u- ", (unsigned)call->id);
}

static void log_returned(void *ctx, const struct dispatch_call *call)
{
	struct log *log = ctx;

	g_string_append_printf(log->text, "%u> ", (unsigned)call->id);
}

static double half(void *ctx)
{
	return 0.5;
}

static const struct dispatch_ops unit_ops = {log_answered, log_returned, half};

static struct dispatch *unit_open(struct log *log, uint32_t servers,
				  uint32_t slots)
{
	struct dispatch *dispatch = dispatch_create(&unit_ops, log);

	log->text = g_string_new(NULL);
	for (uint32_t i = 1; i <= servers; i++)
		dispatch_set_server(dispatch, i, slots, true);
	return dispatch;
}

static void unit_close(struct dispatch *dispatch, struct log *log)
{
	dispatch_destroy(dispatch);
	g_string_free(log->text, TRUE);
}

static void log_expect(struct log *log, const char *text)
{
	g_assert_cmpstr(log->text->str, ==, text);
	g_string_truncate(log->text, 0);
}

static enum dispatch_result ask(struct dispatch *dispatch, int64_t now,
				uint64_t id, uint32_t urgency,
				uint64_t organisation, int64_t target_usec)
{
	const struct dispatch_call call = {
		.from = 1,
		.id = id,
		.urgency = urgency,
		.organisation = organisation,
		.target_usec = target_usec,
		.limit_usec = 1500000,
	};
	struct dispatch_answer answer;

	return dispatch_request(dispatch, now, &call, &answer);
}

static void end(struct dispatch *dispatch, int64_t now, uint64_t id,
		const struct server_load *load)
{
	struct dispatch_end done = {.from = 1, .id = id};

	if (load)
		done.load = *load;
	dispatch_done(dispatch, now, &done);
}

/* Guards against a call of low urgency, or of the organisation that sends most,
 * that takes the slot before another. */
static void test_order(void)
{
	struct log log;
	struct dispatch *dispatch = unit_open(&log, 1, 1);

	g_assert_cmpint(ask(dispatch, NOW, 1, 1, 7, 300000), ==,
			DISPATCH_GRANTED);
	g_assert_cmpint(ask(dispatch, NOW, 2, 1, 7, 300000), ==,
			DISPATCH_GRANTED);
	g_assert_cmpint(ask(dispatch, NOW, 3, 1, 7, 300000), ==,
			DISPATCH_WAITING);
	g_assert_cmpint(ask(dispatch, NOW, 4, 1, 8, 300000), ==,
			DISPATCH_WAITING);
	g_assert_cmpint(ask(dispatch, NOW, 5, 0, 7, 300000), ==,
			DISPATCH_WAITING);
	end(dispatch, NOW + 1000, 1, NULL);
	log_expect(&log, "5@1 ");
	end(dispatch, NOW + 2000, 2, NULL);
	log_expect(&log, "4@1 ");
	end(dispatch, NOW + 3000, 5, NULL);
	log_expect(&log, "3@1 ");
	unit_close(dispatch, &log);
}

/* Guards against a slot that stays taken when the end of a call was lost, and
 * against one that is freed twice when the end comes after all. */
static void test_lease(void)
{
	struct log log;
	struct dispatch *dispatch = unit_open(&log, 1, 1);

	(void)ask(dispatch, NOW, 1, 0, 0, 150000);
	(void)ask(dispatch, NOW, 2, 0, 0, 150000);
	dispatch_tick(dispatch, NOW + DISPATCH_LEASE_MIN_USEC - 1);
	g_assert_cmpuint(dispatch_outstanding(dispatch), ==, 2);
	dispatch_tick(dispatch, NOW + DISPATCH_LEASE_MIN_USEC);
	g_assert_cmpuint(dispatch_outstanding(dispatch), ==, 0);
	g_assert_cmpint(ask(dispatch, NOW + 300000, 3, 0, 0, 150000), ==,
			DISPATCH_GRANTED);
	end(dispatch, NOW + 300000, 1, NULL);
	end(dispatch, NOW + 300000, 2, NULL);
	g_assert_cmpuint(dispatch_outstanding(dispatch), ==, 1);
	unit_close(dispatch, &log);
}

/* Guards against calls that wait until their time has run out, and against an
 * idle server while the only call would be late. */
static void test_refused(void)
{
	struct log log;
	struct dispatch *dispatch = unit_open(&log, 1, 1);
	uint32_t refused = 0;

	/* The only call is sent although it is late, one at a time. */
	g_assert_cmpint(ask(dispatch, NOW, 1, 0, 0, 10000), ==,
			DISPATCH_GRANTED);
	g_assert_cmpint(ask(dispatch, NOW, 2, 0, 0, 10000), ==,
			DISPATCH_REFUSED);
	g_assert_cmpint(ask(dispatch, NOW, 3, 0, 0, 150000), ==,
			DISPATCH_GRANTED);
	for (uint64_t id = 10; id < 20; id++)
		refused += ask(dispatch, NOW, id, 0, 0, 150000) ==
			   DISPATCH_REFUSED;
	g_assert_cmpuint(dispatch_queued(dispatch), ==, 3);
	g_assert_cmpuint(refused, ==, 7);
	/* Without an end, the rest is refused before its target. */
	for (int64_t now = NOW; now < NOW + 90000; now += 5000)
		dispatch_tick(dispatch, now);
	g_assert_cmpuint(dispatch_queued(dispatch), ==, 0);
	unit_close(dispatch, &log);
}

/* Guards against a dispatcher that knows only its own grants, after a start or
 * beside another one: what servers state counts for a while. */
static void test_others(void)
{
	static const struct server_load full = {true, 5, 0, 2, 1.0};
	struct log log;
	struct dispatch *dispatch = unit_open(&log, 1, 2);

	(void)ask(dispatch, NOW, 1, 0, 0, 150000);
	end(dispatch, NOW, 1, &full);
	g_assert_cmpint(ask(dispatch, NOW, 2, 0, 0, 150000), ==,
			DISPATCH_WAITING);
	dispatch_tick(dispatch, NOW + 50000);
	log_expect(&log, "");
	dispatch_tick(dispatch, NOW + DISPATCH_STATED_USEC / 2 + 10000);
	end(dispatch, NOW, 2, NULL);
	g_assert_cmpint(
		ask(dispatch, NOW + DISPATCH_STATED_USEC, 3, 0, 0, 150000), ==,
		DISPATCH_GRANTED);
	unit_close(dispatch, &log);
}

/* Guards against grants at a server that has left the list, and against the
 * loss of the queue when a dispatcher drains. */
static void test_left(void)
{
	struct log log;
	struct dispatch *dispatch = unit_open(&log, 2, 1);

	for (uint64_t id = 1; id <= 4; id++)
		g_assert_cmpint(ask(dispatch, NOW, id, 0, 0, 150000), ==,
				DISPATCH_GRANTED);
	g_assert_cmpint(ask(dispatch, NOW, 5, 0, 0, 150000), ==,
			DISPATCH_WAITING);
	g_assert_cmpint(ask(dispatch, NOW, 6, 0, 0, 150000), ==,
			DISPATCH_WAITING);
	dispatch_sweep(dispatch);
	dispatch_set_server(dispatch, 1, 1, true);
	dispatch_sweep(dispatch);
	for (uint64_t id = 1; id <= 4; id++)
		end(dispatch, NOW, id, NULL);
	g_assert_cmpstr(log.text->str, ==, "5@1 6@1 ");
	g_string_truncate(log.text, 0);
	(void)ask(dispatch, NOW, 7, 0, 0, 150000);
	g_assert_cmpuint(dispatch_queued(dispatch), ==, 1);
	dispatch_flush(dispatch);
	log_expect(&log, "7> ");
	g_assert_cmpuint(dispatch_queued(dispatch), ==, 0);
	unit_close(dispatch, &log);
}

/* Guards against a second grant for a repeated question, and against a wait
 * that goes on after its caller has left. */
static void test_repeated(void)
{
	struct log log;
	struct dispatch *dispatch = unit_open(&log, 1, 1);

	for (int i = 0; i < 3; i++)
		g_assert_cmpint(ask(dispatch, NOW, 1, 0, 0, 150000), ==,
				DISPATCH_GRANTED);
	g_assert_cmpuint(dispatch_outstanding(dispatch), ==, 1);
	(void)ask(dispatch, NOW, 2, 0, 0, 150000);
	for (int i = 0; i < 3; i++)
		g_assert_cmpint(ask(dispatch, NOW, 3, 0, 0, 150000), ==,
				DISPATCH_WAITING);
	g_assert_cmpuint(dispatch_queued(dispatch), ==, 1);
	end(dispatch, NOW, 3, NULL);
	g_assert_cmpuint(dispatch_queued(dispatch), ==, 0);
	end(dispatch, NOW, 1, NULL);
	log_expect(&log, "");
	unit_close(dispatch, &log);
}

/* Guards against a slow server that is preferred because it is idle. */
static void test_pace(void)
{
	static const struct server_load slow = {true, 1, 0, 2, 2.5};
	struct log log;
	struct dispatch *dispatch = unit_open(&log, 2, 2);
	struct dispatch_call call = {
		.from = 1,
		.id = 1,
		.target_usec = 150000,
		.limit_usec = 1500000,
		.avoid = {2},
		.avoid_count = 1,
	};
	struct dispatch_answer answer;

	(void)dispatch_request(dispatch, NOW, &call, &answer);
	g_assert_cmpuint(answer.server, ==, 1);
	end(dispatch, NOW, 1, &slow);
	call.avoid_count = 0;
	for (call.id = 2; call.id <= 4; call.id++) {
		(void)dispatch_request(dispatch, NOW, &call, &answer);
		g_assert_cmpuint(answer.server, ==, 2);
	}
	g_assert_cmpfloat(answer.terms.wait_usec, >, 0.0);
	(void)dispatch_request(dispatch, NOW, &call, &answer);
	g_assert_cmpuint(answer.server, ==, 1);
	g_assert_cmpfloat_with_epsilon(answer.terms.pace, 2.5, 1e-6);
	unit_close(dispatch, &log);
}

/* Guards against calls with a short target that are refused for earlier ones
 * which could still wait. */
static void test_targets(void)
{
	struct log log;
	struct dispatch *dispatch = unit_open(&log, 1, 1);

	g_assert_cmpint(ask(dispatch, NOW, 1, 1, 0, 150000), ==,
			DISPATCH_GRANTED);
	g_assert_cmpint(ask(dispatch, NOW, 2, 1, 0, 150000), ==,
			DISPATCH_GRANTED);
	g_assert_cmpint(ask(dispatch, NOW, 3, 1, 0, 200000), ==,
			DISPATCH_WAITING);
	g_assert_cmpint(ask(dispatch, NOW + 1000, 4, 1, 0, 150000), ==,
			DISPATCH_WAITING);
	end(dispatch, NOW + 2000, 1, NULL);
	log_expect(&log, "4@1 ");
	end(dispatch, NOW + 3000, 2, NULL);
	log_expect(&log, "3@1 ");
	unit_close(dispatch, &log);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched/dispatch-queue/order", test_order);
	g_test_add_func("/sched/dispatch-queue/targets", test_targets);
	g_test_add_func("/sched/dispatch-queue/lease", test_lease);
	g_test_add_func("/sched/dispatch-queue/refused", test_refused);
	g_test_add_func("/sched/dispatch-queue/others", test_others);
	g_test_add_func("/sched/dispatch-queue/left", test_left);
	g_test_add_func("/sched/dispatch-queue/repeated", test_repeated);
	g_test_add_func("/sched/dispatch-queue/pace", test_pace);
	return g_test_run();
}
