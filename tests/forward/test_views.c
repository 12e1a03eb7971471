/* Placement by many small instances on views of the load that are out of date,
 * with short and long delays of load updates. */
#include <glib.h>
#include <string.h>

#include "forward/place.h"

#define INSTANCES 28
#define SERVERS 5
#define MEMORY 67000u
#define TOKENS 12000u /* load of a request, the same in truth */
#define HELD_USEC (3300 * USEC_PER_MSEC)
#define STEP (1 * USEC_PER_MSEC)
#define SECONDS 120
/* Arrivals a second that nearly fill the servers, which hold 5 requests each
 * for 3.3 s. */
#define RATE 7.0

/* A load change, applied to the other instances' views at a later time. */
struct load_update {
	int64_t at;
	int from;
	int server;
	int32_t change; /* of requests */
};

struct site {
	struct clock *clock;
	GRand *rand;
	struct fleet *fleets[INSTANCES];
	struct backend *views[INSTANCES][SERVERS];
	uint32_t requests[SERVERS]; /* actual */
	GQueue local_updates;	    /* struct load_update, by time */
	GQueue remote_updates;	    /* the same, for the other data centre */
	GQueue ends;		    /* the same; requests of from end */
	int64_t delay;		    /* of updates in the data centre */
	int64_t delay_remote;	    /* between the two */
	bool ignore_staleness;	    /* views are used as if up to date */
	uint32_t placed;
	uint32_t overloaded; /* placed on a server without enough memory */
	uint32_t unplaced;   /* found no server with room */
};

/* With two data centres every second instance and server is in the other one.
 */
static const char *centre_of(const struct site *site, int i)
{
	return site->delay_remote > 0 && i % 2 ? "there" : "here";
}

static void site_open(struct site *site, int64_t delay, int64_t delay_remote)
{
	*site = (struct site){
		.clock = clock_create(0),
		.delay = delay,
		.delay_remote = delay_remote,
		.ignore_staleness = site->ignore_staleness,
	};
	site->rand = g_rand_new_with_seed(21);
	clock_advance(site->clock, 60 * USEC_PER_SEC);
	for (int i = 0; i < INSTANCES; i++) {
		site->fleets[i] = fleet_create(site->clock, centre_of(site, i));
		for (int k = 0; k < SERVERS; k++) {
			struct backend_info info = {
				.service = 1,
				.stage = STAGE_DECODE,
				.slots = 12,
			};

			g_snprintf(info.id, sizeof(info.id), "d%d", k);
			g_strlcpy(info.data_centre, centre_of(site, k),
				  sizeof(info.data_centre));
			site->views[i][k] = fleet_put(site->fleets[i], &info);
		}
	}
}

static void site_close(struct site *site)
{
	g_queue_clear_full(&site->local_updates, g_free);
	g_queue_clear_full(&site->remote_updates, g_free);
	g_queue_clear_full(&site->ends, g_free);
	for (int i = 0; i < INSTANCES; i++)
		fleet_destroy(site->fleets[i]);
	g_rand_free(site->rand);
	clock_destroy(site->clock);
}

static void own_change(struct backend_load *load, int32_t change)
{
	load->requests += (uint32_t)change;
	load->decode_tokens += (uint32_t)change * TOKENS;
}

static void peers_change(struct load_sum *load, int32_t change)
{
	load->requests += change;
	load->decode_tokens += (int64_t)change * TOKENS;
}

static void update_schedule(GQueue *queue, int64_t at, int from, int server,
			    int32_t change)
{
	struct load_update *update = g_new(struct load_update, 1);

	*update = (struct load_update){at, from, server, change};
	g_queue_push_tail(queue, update);
}

/* Changes the instance's own load: at once in its own view, later in those of
 * the others. */
static void change(struct site *site, int instance, int server, int32_t by)
{
	own_change(&site->views[instance][server]->own, by);
	site->requests[server] += (uint32_t)by;
	update_schedule(&site->local_updates,
			clock_now(site->clock) + site->delay, instance, server,
			by);
	if (site->delay_remote > 0)
		update_schedule(&site->remote_updates,
				clock_now(site->clock) + site->delay_remote,
				instance, server, by);
}

static struct load_update *update_due(GQueue *queue, int64_t now)
{
	struct load_update *first = g_queue_peek_head(queue);

	return first && first->at <= now ? g_queue_pop_head(queue) : NULL;
}

static void update_apply(struct site *site, const struct load_update *update,
			 bool remote)
{
	const char *from = centre_of(site, update->from);

	for (int i = 0; i < INSTANCES; i++)
		if (i != update->from &&
		    (strcmp(centre_of(site, i), from) != 0) == remote)
			peers_change(&site->views[i][update->server]->peers,
				     update->change);
}

static int server_of(const struct site *site, int instance,
		     const struct backend *backend)
{
	int k = 0;

	while (site->views[instance][k] != backend)
		k++;
	return k;
}

static void request_arrive(struct site *site)
{
	static const struct engine_traits engine = {.slots = 12,
						    .memory_tokens = MEMORY};
	int instance = g_rand_int_range(site->rand, 0, INSTANCES);
	const struct place place = {
		.fleet = site->fleets[instance],
		.now = clock_now(site->clock),
		.service = 1,
		.rand = site->rand,
		.stale_local = site->ignore_staleness ? 0 : site->delay,
		.stale_remote = site->ignore_staleness ? 0 : site->delay_remote,
	};
	struct backend *backend = place_decode(&place, &engine, TOKENS);
	int server;

	if (!backend) {
		site->unplaced++;
		return;
	}
	server = server_of(site, instance, backend);
	change(site, instance, server, 1);
	update_schedule(&site->ends, place.now + HELD_USEC, instance, server,
			-1);
	site->placed++;
	site->overloaded += site->requests[server] * TOKENS > MEMORY;
}

static void step(struct site *site, double rate)
{
	int64_t now = clock_now(site->clock);
	struct load_update *one;

	while ((one = update_due(&site->ends, now))) {
		change(site, one->from, one->server, -1);
		g_free(one);
	}
	while ((one = update_due(&site->local_updates, now))) {
		update_apply(site, one, false);
		g_free(one);
	}
	while ((one = update_due(&site->remote_updates, now))) {
		update_apply(site, one, true);
		g_free(one);
	}
	if (g_rand_double(site->rand) <
	    rate * (double)STEP / (double)USEC_PER_SEC)
		request_arrive(site);
	clock_advance(site->clock, now + STEP);
}

static void site_run(struct site *site, int64_t delay, int64_t delay_remote,
		     double rate)
{
	site_open(site, delay, delay_remote);
	for (int64_t i = 0; i < SECONDS * USEC_PER_SEC / STEP; i++)
		step(site, rate);
	g_test_message("updates take %d ms, %d ms remote%s: %u placed, %u "
		       "found no room, %u without enough memory",
		       (int)(delay / USEC_PER_MSEC),
		       (int)(delay_remote / USEC_PER_MSEC),
		       site->ignore_staleness ? ", staleness ignored" : "",
		       site->placed, site->unplaced, site->overloaded);
	site_close(site);
}

/* With updates that take 350 ms, the mean of local and remote peers when loads
 * are sent at intervals only, 164 of 845 requests are placed on a server whose
 * memory runs out. With 3 ms it is 3 of 780, and 69 more find no room and wait.
 */
static void test_load(void)
{
	struct site late = {.ignore_staleness = true};
	struct site soon = {.ignore_staleness = true};

	site_run(&late, 350 * USEC_PER_MSEC, 0, RATE);
	site_run(&soon, 3 * USEC_PER_MSEC, 0, RATE);
	g_assert_cmpuint(late.overloaded, >, 4 * soon.overloaded);
	g_assert_cmpuint(soon.overloaded * 50, <, soon.placed);
	g_assert_cmpuint(soon.placed, >, late.placed * 9 / 10);
}

/* Two data centres under overload, with 350 ms for updates between them. */
static void test_elsewhere(void)
{
	struct site ignore_staleness = {.ignore_staleness = true};
	struct site cautious = {0};

	site_run(&ignore_staleness, 3 * USEC_PER_MSEC, 350 * USEC_PER_MSEC,
		 1.4 * RATE);
	site_run(&cautious, 3 * USEC_PER_MSEC, 350 * USEC_PER_MSEC, 1.4 * RATE);
	g_assert_cmpuint(cautious.overloaded * 4, <,
			 ignore_staleness.overloaded);
	g_assert_cmpuint(cautious.placed, >, ignore_staleness.placed * 8 / 10);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/views/load", test_load);
	g_test_add_func("/forward/views/elsewhere", test_elsewhere);
	return g_test_run();
}
