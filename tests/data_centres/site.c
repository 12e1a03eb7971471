#include "calls.h"

#include <math.h>
#include <string.h>

#define STEP_USEC (10 * USEC_PER_MSEC)
#define POLL_USEC (100 * USEC_PER_MSEC)
#define LOCAL_USEC 200
#define LINK_MS 1.5
/* Frame header, array, channel and payload header; below, TCP/IP headers. */
#define FRAME_BYTES (FRAME_HEADER + 4)
#define SEGMENT_BYTES 66
#define KEYS_TYPE 14

const char *const site_names[CENTRES_MAX] = {"a", "b", "c", "d", "e", "f", "g"};

static const struct config_service services[] = {
	{.name = "model",
	 .kind = SERVICE_MODEL,
	 .prefill_pool = "prefill",
	 .decode_pool = "decode",
	 .record_ms = 300000},
};

const struct config_service *site_service(void)
{
	return &services[0];
}

static void packet_arrive(void *data)
{
	const struct packet *packet = data;
	const struct instance *from = packet->from;
	const struct instance *to = packet->to;

	if (to->up && packet->channel == CHANNEL_MEMBER)
		membership_receive(to->membership, from->id, packet->data,
				   packet->size);
	else if (to->up && packet->channel == CHANNEL_LEDGER)
		ledger_receive(to->ledger, from->id, packet->data,
			       packet->size);
}

static double latency_of(const struct site *site, int from, int to)
{
	int last = site->settings.centres - 1;

	if (site->settings.remote_ms > 0 && (from == last || to == last))
		return site->settings.remote_ms;
	return LINK_MS;
}

int64_t site_delay(const struct site *site, int from, int to)
{
	if (from == to)
		return LOCAL_USEC;
	return (int64_t)(latency_of(site, from, to) * USEC_PER_MSEC);
}

static void job_arrive(void *data)
{
	calls_submit(data);
}

void site_submit_after(struct site *site, struct job *job, int64_t delay)
{
	call_queue_add(site->call_queue, delay, job_arrive, job, NULL);
}

static struct instance *instance_of(struct site *site, uint64_t id)
{
	for (int c = 0; c < site->settings.centres; c++)
		for (int i = 0; i < site->settings.instances; i++)
			if (site->instances[c][i].id == id)
				return &site->instances[c][i];
	return NULL;
}

static void send(void *ctx, uint64_t id, enum channel channel,
		 const void *payload, size_t size)
{
	struct instance *from = ctx;
	struct site *site = from->site;
	struct instance *to = instance_of(site, id);

	if (!to)
		return;
	if (channel == CHANNEL_LEDGER &&
	    ((const uint8_t *)payload)[1] == KEYS_TYPE) {
		site->key_messages++;
		site->key_bytes += size + FRAME_BYTES + SEGMENT_BYTES;
	}
	if (from->centre != to->centre &&
	    (site->cut[from->centre] || site->cut[to->centre]))
		return;
	call_queue_add(site->call_queue,
		       site_delay(site, from->centre, to->centre),
		       packet_arrive,
		       packet_create(from, to, channel, payload, size), g_free);
}

static void changed(void *ctx, const struct member *member,
		    const enum member_state *old)
{
	struct instance *instance = ctx;

	if (instance->ledger)
		ledger_member(instance->ledger, member);
}

static uint64_t runner_id(int centre, int number)
{
	return id_mix(id_of(site_names[centre]), (uint64_t)number + 1);
}

static void poll(struct timer *timer, void *ctx)
{
	struct instance *instance = ctx;
	int centre = instance->centre;

	for (int i = 0; i < RUNNERS; i++) {
		struct ledger_report report = {
			.runner = runner_id(centre, i),
			.reachable = !(instance->site->down[centre] & 1u << i),
		};

		if (!ledger_is_home(instance->ledger, report.runner))
			continue;
		ledger_report(instance->ledger, &report);
		if (report.reachable)
			ledger_streams(instance->ledger, report.runner, NULL,
				       0);
	}
	timer_start(timer, POLL_USEC);
}

static void runners_announce(struct instance *instance)
{
	const struct site *site = instance->site;
	struct ledger_runner runners[RUNNERS];
	size_t count = 0;

	for (int i = 0; i < RUNNERS; i++) {
		if (site->unlisted[instance->centre] & 1u << i)
			continue;
		runners[count++] = (struct ledger_runner){
			.id = runner_id(instance->centre, i),
			.pool = i < RUNNERS / 2 ? "prefill" : "decode",
			.data_centre = site_names[instance->centre]};
	}
	ledger_runners(instance->ledger, runners, count);
}

void site_list(struct site *site, int centre)
{
	for (int i = 0; i < site->settings.instances; i++)
		if (site->instances[centre][i].up)
			runners_announce(&site->instances[centre][i]);
}

static void config_fill(struct site *site)
{
	static const struct config_pool pools[] = {
		{.name = "prefill",
		 .role = POOL_PREFILL,
		 .piece_tokens = 2048,
		 .kv_bytes_per_token = 1000,
		 .link_bytes_per_s = 1000000000,
		 .prefill_tokens_per_s = 200000},
		{.name = "decode",
		 .role = POOL_DECODE,
		 .piece_tokens = 2048,
		 .pieces = 8,
		 .kv_bytes_per_token = 1000,
		 .link_bytes_per_s = 1000000000,
		 .decode_tokens_per_s = 5000},
	};
	int count = site->settings.centres;
	struct config_data_centre *centres =
		g_new0(struct config_data_centre, count);
	struct config_link *links = g_new0(struct config_link, count * count);
	struct config_service *own = g_memdup2(services, sizeof(services));
	struct config *config = &site->config;

	own->queue_max = site->settings.queue_max;
	for (int i = 0; i < count; i++) {
		centres[i].name = site_names[i];
		for (int j = 0; j < count; j++)
			links[i * count + j] = (struct config_link){
				.from = site_names[i],
				.to = site_names[j],
				.latency_ms = latency_of(site, i, j)};
	}
	*config = (struct config){.data_centres = centres,
				  .data_centre_count = (size_t)count,
				  .links = links,
				  .link_count = (size_t)(count * count),
				  .pools = pools,
				  .pool_count = G_N_ELEMENTS(pools),
				  .services = own,
				  .service_count = 1,
				  .policy = {.name = "reserve"}};
}

static struct member member_of(int centre, int number)
{
	struct member member = {.incarnation = 1};

	g_snprintf(member.name, sizeof(member.name), "%s%d", site_names[centre],
		   number);
	member.id = id_of(member.name);
	g_strlcpy(member.data_centre, site_names[centre],
		  sizeof(member.data_centre));
	return member;
}

static void instance_start(struct site *site, int centre, int number)
{
	static const struct membership_ops ops = {.changed = changed};
	struct instance *instance = &site->instances[centre][number];
	struct membership_settings settings = {
		.seed = (uint32_t)(centre * INSTANCES_MAX + number + 1)};
	struct transport transport = {.send = send, .ctx = instance};
	struct member self = member_of(centre, number);
	struct error err;

	instance->site = site;
	instance->centre = centre;
	instance->number = number;
	instance->id = self.id;
	instance->up = true;
	instance->membership = membership_create(site->clock, &self, &settings,
						 &transport, &ops, instance);
	instance->ledger =
		ledger_create(site->clock, instance->membership, NULL,
			      &transport, &calls_ops, instance);
	g_assert_true(ledger_configure(instance->ledger, &site->config, &err));
	runners_announce(instance);
	timer_init(&instance->poll, site->clock, poll, instance);
	timer_start(&instance->poll, 1 + number * USEC_PER_MSEC);
}

static void instance_join(struct instance *instance)
{
	const struct site_settings *settings = &instance->site->settings;

	membership_start(instance->membership);
	for (int c = 0; c < settings->centres; c++)
		for (int i = 0; i < settings->instances; i++) {
			struct member member = member_of(c, i);

			membership_hint(instance->membership, &member);
		}
}

struct site *site_create(const struct site_settings *settings)
{
	struct site *site = g_new0(struct site, 1);

	site->settings = *settings;
	if (!site->settings.queue_max)
		site->settings.queue_max = 200;
	site->clock = clock_create(USEC_PER_SEC);
	site->rand = g_rand_new_with_seed(settings->seed);
	site->jobs = g_ptr_array_new_with_free_func(g_free);
	site->call_queue = call_queue_create(site->clock);
	config_fill(site);
	for (int c = 0; c < settings->centres; c++)
		for (int i = 0; i < settings->instances; i++)
			instance_start(site, c, i);
	for (int c = 0; c < settings->centres; c++)
		for (int i = 0; i < settings->instances; i++)
			instance_join(&site->instances[c][i]);
	site_run(site, 10 * USEC_PER_SEC);
	return site;
}

void site_kill(struct site *site, int centre, int number)
{
	struct instance *instance = &site->instances[centre][number];

	timer_stop(&instance->poll);
	ledger_destroy(instance->ledger);
	membership_destroy(instance->membership);
	instance->up = false;
	instance->ledger = NULL;
	instance->membership = NULL;
	for (guint i = 0; i < site->jobs->len; i++) {
		struct job *job = g_ptr_array_index(site->jobs, i);

		if (job->centre == centre && job->instance == number)
			timer_stop(&job->timer);
	}
}

void site_destroy(struct site *site)
{
	for (int c = 0; c < site->settings.centres; c++)
		for (int i = 0; i < site->settings.instances; i++)
			if (site->instances[c][i].up)
				site_kill(site, c, i);
	call_queue_destroy(site->call_queue);
	for (guint i = 0; i < site->jobs->len; i++)
		timer_stop(&((struct job *)site->jobs->pdata[i])->timer);
	g_ptr_array_free(site->jobs, TRUE);
	g_free((void *)site->config.data_centres);
	g_free((void *)site->config.links);
	g_free((void *)site->config.services);
	g_rand_free(site->rand);
	clock_destroy(site->clock);
	g_free(site);
}

void site_cut(struct site *site, int centre, bool cut)
{
	site->cut[centre] = cut;
}

static struct instance *first_up(struct site *site, int centre)
{
	for (int i = 0; i < site->settings.instances; i++)
		if (site->instances[centre][i].up)
			return &site->instances[centre][i];
	return NULL;
}

struct instance *site_home(struct site *site, int centre)
{
	const struct instance *any = first_up(site, centre);
	uint64_t cell = cell_id(&services[0], site_names[centre]);

	return instance_of(site, membership_home(any->membership,
						 site_names[centre], cell, 0));
}

enum cell_level site_level(struct site *site, int seen_from, int centre)
{
	const struct instance *any = first_up(site, seen_from);

	return cell_load_get(any->membership,
			     cell_id(&services[0], site_names[centre]));
}

uint32_t site_share(struct site *site, int centre)
{
	const struct instance *any = first_up(site, centre);

	return cell_load_share(any->membership,
			       cell_id(&services[0], site_names[centre]));
}

static void levels_watch(struct site *site)
{
	for (int c = 0; c < site->settings.centres; c++) {
		uint32_t level =
			site_level(site, c, c) * 100u + site_share(site, c);

		site->level_changes += level != site->levels[c];
		site->levels[c] = level;
	}
}

void site_run(struct site *site, int64_t usec)
{
	int64_t end = clock_now(site->clock) + usec;

	while (clock_now(site->clock) < end) {
		clock_advance(site->clock,
			      MIN(end, clock_now(site->clock) + STEP_USEC));
		levels_watch(site);
	}
}
