/*
 * The queue of plain calls in front of all servers, see dispatch_model.h.
 * Guards against calls that queue at one server while another has a free slot,
 * against calls that run twice, and against a dispatcher whose failure is worse
 * than none at all.
 */
#include <glib.h>

#include "common/clock.h"
#include "dispatch_model.h"

#define RUN_USEC (24 * USEC_PER_SEC)
#define SEEDS 3u

static double part(uint32_t count, uint32_t of)
{
	return of > 0 ? (double)count / of : 0.0;
}

static void result_add(struct model_result *sum, const struct model_result *one)
{
	sum->calls += one->calls;
	sum->in_time += one->in_time;
	sum->late += one->late;
	sum->refused += one->refused;
	sum->gone += one->gone;
	sum->sends += one->sends;
	sum->sends_refused += one->sends_refused;
	sum->runs_max = MAX(sum->runs_max, one->runs_max);
	sum->leftover += one->leftover;
}

static void view_run(bool dispatched, enum model_view view,
		     enum model_fault fault, double demand,
		     struct model_result *sum)
{
	*sum = (struct model_result){0};
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		const struct model_setup setup = {
			.dispatched = dispatched,
			.view = view,
			.fault = fault,
			.demand = demand,
			.usec = RUN_USEC,
			.seed = seed,
		};
		struct model_result one;

		model_run(&setup, &one);
		result_add(sum, &one);
	}
	g_test_message(
		"%s, view %d, fault %d, demand %.1f: calls %u, in time %.4f, "
		"late %.4f, refused %.4f, gone %.4f; sends refused "
		"%.4f; runs %u",
		dispatched ? "dispatched" : "direct", (int)view, (int)fault,
		demand, sum->calls, part(sum->in_time, sum->calls),
		part(sum->late, sum->calls), part(sum->refused, sum->calls),
		part(sum->gone, sum->calls),
		part(sum->sends_refused, sum->sends), sum->runs_max);
}

static void run(bool dispatched, enum model_fault fault, double demand,
		struct model_result *sum)
{
	view_run(dispatched, VIEW_STALE, fault, demand, sum);
}

/* Guards against a dispatcher that costs more than it gives: announcing each
 * load at once, without delay, must not have fewer late calls. */
static void test_views(void)
{
	static const double demands[] = {0.9, 1.3};

	for (size_t i = 0; i < G_N_ELEMENTS(demands); i++) {
		struct model_result dispatched;

		run(true, FAULT_NONE, demands[i], &dispatched);
		for (int view = VIEW_STALE; view <= VIEW_TWO; view++) {
			struct model_result direct;

			view_run(false, (enum model_view)view, FAULT_NONE,
				 demands[i], &direct);
			g_assert_cmpuint(dispatched.late, <=, direct.late);
		}
	}
}

/* At least half of the late calls are gone and servers refuse hardly any send,
 * below and above the capacity. */
static void test_load(gconstpointer data)
{
	const double *demand = data;
	struct model_result direct;
	struct model_result dispatched;

	run(false, FAULT_NONE, *demand, &direct);
	run(true, FAULT_NONE, *demand, &dispatched);
	g_assert_cmpuint(2 * dispatched.late, <=, direct.late);
	g_assert_cmpfloat(part(dispatched.in_time, dispatched.calls), >=,
			  part(direct.in_time, direct.calls));
	g_assert_cmpfloat(part(dispatched.sends_refused, dispatched.sends), <,
			  0.01);
	g_assert_cmpuint(dispatched.runs_max, ==, 1);
	g_assert_cmpuint(dispatched.leftover, ==, 0);
}

/* One failure at a time: no worse than without a dispatcher in the same
 * failure, and no call runs twice. */
static void test_fault(gconstpointer data)
{
	static const double demands[] = {0.9, 1.3};
	enum model_fault fault = (enum model_fault)GPOINTER_TO_INT(data);

	for (size_t i = 0; i < G_N_ELEMENTS(demands); i++) {
		struct model_result direct;
		struct model_result dispatched;

		run(false, fault, demands[i], &direct);
		run(true, fault, demands[i], &dispatched);
		g_assert_cmpfloat(part(dispatched.in_time, dispatched.calls) +
					  0.02,
				  >=, part(direct.in_time, direct.calls));
		g_assert_cmpuint(dispatched.runs_max, ==, 1);
		g_assert_cmpuint(dispatched.leftover, ==, 0);
	}
}

int main(int argc, char **argv)
{
	static const double demands[] = {0.9, 1.3};
	static const char *const faults[] = {
		[FAULT_KILLED] = "killed",
		[FAULT_FROZEN] = "frozen",
		[FAULT_CUT_OFF] = "cut-off",
		[FAULT_TWO] = "two-dispatchers",
		[FAULT_LOST] = "datagrams-lost",
		[FAULT_DONE_LOST] = "done-lost",
		[FAULT_WITHDRAWN] = "server-withdrawn",
		[FAULT_DRAINING] = "draining",
		[FAULT_CALLERS_KILLED] = "callers-killed",
	};

	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/sched/dispatch/load/below", &demands[0],
			     test_load);
	g_test_add_data_func("/sched/dispatch/load/above", &demands[1],
			     test_load);
	g_test_add_func("/sched/dispatch/views", test_views);
	for (int i = FAULT_KILLED; i <= FAULT_CALLERS_KILLED; i++) {
		g_autofree char *path =
			g_strdup_printf("/sched/dispatch/fault/%s", faults[i]);

		g_test_add_data_func(path, GINT_TO_POINTER(i), test_fault);
	}
	return g_test_run();
}
