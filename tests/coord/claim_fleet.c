#include "claim_fleet.h"

#include "claim_codec.h"
#include "letter.h"

struct news {
	struct instance *to;
	uint32_t about;
	bool alive;
};

static void letter_arrived(void *data)
{
	const struct letter *letter = data;
	const struct instance *from = letter->from;
	const struct instance *to = letter->to;

	if (to->claims)
		claims_receive(to->claims, from->membership.self.id,
			       letter->data, letter->size);
}

static void letter_send(struct instance *from, struct instance *to,
			const void *payload, size_t size)
{
	struct fleet *fleet = from->fleet;

	world_post(to->node, world_draw(fleet->world, fleet->link_delay),
		   letter_arrived,
		   letter_create(from, to, CHANNEL_CLAIM, payload, size),
		   g_free, false);
}

static void fleet_send(void *ctx, uint64_t id, enum channel channel,
		       const void *payload, size_t size)
{
	struct instance *from = ctx;
	struct fleet *fleet = from->fleet;
	struct instance *to = NULL;
	uint32_t ends = 1u << from->index;

	g_assert_cmpint(channel, ==, CHANNEL_CLAIM);
	for (uint32_t i = 0; i < FAKE_MEMBERS; i++) {
		if (fleet->members[i].id == id)
			to = &fleet->instances[i];
	}
	g_assert_nonnull(to);
	if (to != from && (fleet->cut & (ends | 1u << to->index)))
		return;
	if (to != from && world_chance(fleet->world, fleet->drop_percent))
		return;
	letter_send(from, to, payload, size);
	if (world_chance(fleet->world, fleet->double_percent))
		letter_send(from, to, payload, size);
}

static void fleet_answered(void *ctx, uint64_t request, enum result_code code,
			   const struct owner *winner)
{
	struct instance *instance = ctx;
	struct take *take =
		g_ptr_array_index(instance->fleet->takes, request - 1);

	take->answers++;
	take->code = code;
	take->winner = *winner;
	take->late = clock_now(instance->node->clock) >= take->deadline;
}

static void news_arrived(void *data)
{
	struct news *news = data;

	if (!news->to->claims)
		return;
	news->to->membership.alive[news->about] = news->alive;
	claims_member_changed(news->to->claims,
			      &news->to->fleet->members[news->about]);
}

static void fleet_tell(struct fleet *fleet, uint32_t about, bool alive)
{
	for (uint32_t i = 0; i < FAKE_MEMBERS; i++) {
		struct news *news = g_new0(struct news, 1);

		*news = (struct news){&fleet->instances[i], about, alive};
		world_post(fleet->instances[i].node,
			   world_draw(fleet->world, fleet->view_lag),
			   news_arrived, news, g_free, false);
	}
}

void fleet_start(struct fleet *fleet, uint32_t i)
{
	struct instance *instance = &fleet->instances[i];
	struct log_store store = fake_log_store(&instance->client);
	struct transport transport = {fleet_send, instance};

	fleet->members[i].incarnation++;
	instance->membership.self = fleet->members[i];
	instance->membership.all = fleet->members;
	for (uint32_t j = 0; j < FAKE_MEMBERS; j++)
		instance->membership.alive[j] =
			j == i || fleet->instances[j].claims;
	node_start(instance->node);
	instance->claims =
		claims_create(instance->node->clock, &instance->membership,
			      &store, &transport, fleet_answered, instance);
	claims_start(instance->claims);
	fleet_tell(fleet, i, true);
}

void fleet_kill(struct fleet *fleet, uint32_t i)
{
	struct instance *instance = &fleet->instances[i];

	claims_destroy(instance->claims);
	instance->claims = NULL;
	node_stop(instance->node);
	fleet_tell(fleet, i, false);
}

struct fleet *fleet_create(uint32_t seed)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->world = world_create(seed);
	fleet->log = fake_log_create(fleet->world->clock, fleet->world->later,
				     fleet->world->rand);
	fleet->takes = g_ptr_array_new_with_free_func(g_free);
	fleet->link_delay = 2 * USEC_PER_MSEC;
	fleet->view_lag = 1;
	for (uint32_t i = 0; i < FAKE_MEMBERS; i++) {
		struct instance *instance = &fleet->instances[i];
		struct member *member = &fleet->members[i];

		g_snprintf(member->name, sizeof(member->name), "i%u", i);
		member->data_centre[0] = i < FAKE_MEMBERS / 2 ? 'a' : 'b';
		member->id = id_of(member->name);
		instance->fleet = fleet;
		instance->index = i;
		instance->node = world_add(fleet->world);
		instance->client.log = fleet->log;
		instance->client.node = instance->node;
		instance->client.post = node_post;
	}
	return fleet;
}

void fleet_destroy(struct fleet *fleet)
{
	for (uint32_t i = 0; i < FAKE_MEMBERS; i++)
		claims_destroy(fleet->instances[i].claims);
	for (uint32_t i = 0; i < FAKE_MEMBERS; i++)
		fleet->instances[i].claims = NULL;
	world_destroy(fleet->world);
	fake_log_destroy(fleet->log);
	g_ptr_array_free(fleet->takes, TRUE);
	g_free(fleet);
}

void fleet_run(struct fleet *fleet, int64_t usec)
{
	int64_t end = clock_now(fleet->world->clock) + usec;

	while (clock_now(fleet->world->clock) < end)
		world_step(fleet->world);
}

struct take *fleet_take(struct fleet *fleet, uint32_t i, uint64_t key,
			int64_t timeout)
{
	struct instance *instance = &fleet->instances[i];
	struct take *take = g_new0(struct take, 1);

	take->instance = i;
	take->epoch = instance->node->epoch;
	take->key = key;
	take->owner = (struct owner){instance->membership.self.id,
				     instance->membership.self.incarnation};
	take->deadline = clock_now(instance->node->clock) + timeout;
	g_ptr_array_add(fleet->takes, take);
	claims_submit(instance->claims, fleet->takes->len, key, timeout);
	return take;
}

uint32_t fleet_writer(const struct fleet *fleet, uint32_t i, uint32_t rank)
{
	const struct instance *instance = &fleet->instances[i];
	uint64_t id = membership_home(&instance->membership,
				      fleet->members[i].data_centre,
				      id_of(LOG_STREAM_CLAIMS), rank);
	uint32_t index = 0;

	while (index < FAKE_MEMBERS - 1 && fleet->members[index].id != id)
		index++;
	g_assert_cmpuint(fleet->members[index].id, ==, id);
	return index;
}

/* The claims of the log by key: for each the first, and all requests seen. */
struct truth {
	GHashTable *first;    /* key to struct claim */
	GHashTable *requests; /* set of requests */
};

static struct truth truth_read(const struct fleet *fleet)
{
	const GPtrArray *records =
		fake_log_records(fleet->log, LOG_STREAM_CLAIMS);
	struct truth truth = {
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				      g_free),
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      NULL),
	};
	struct claim_record record = {
		.claims = g_array_new(FALSE, FALSE, sizeof(struct claim))};

	for (guint i = 0; i < records->len; i++) {
		const struct log_record *raw = records->pdata[i];

		g_assert_true(
			claim_record_decode(&record, raw->data, raw->size));
		for (guint j = 0; j < record.claims->len; j++) {
			struct claim *claim = g_memdup2(
				&g_array_index(record.claims, struct claim, j),
				sizeof(*claim));

			g_hash_table_add(truth.requests,
					 g_memdup2(&claim->id.request, 8));
			if (g_hash_table_contains(truth.first, &claim->key))
				g_free(claim);
			else
				g_hash_table_insert(truth.first, &claim->key,
						    claim);
		}
	}
	g_array_unref(record.claims);
	return truth;
}

static void take_check(const struct fleet *fleet, const struct truth *truth,
		       uint64_t request)
{
	const struct take *take = fleet->takes->pdata[request - 1];
	const struct claim *first =
		g_hash_table_lookup(truth->first, &take->key);
	bool killed =
		fleet->instances[take->instance].node->epoch != take->epoch;

	g_assert_cmpint(take->answers, <=, 1);
	g_assert_true(take->answers == 1 || killed);
	if (!take->answers)
		return;
	switch (take->code) {
	case RESULT_OK:
		g_assert_nonnull(first);
		g_assert_cmpuint(first->id.request, ==, request);
		g_assert_false(take->late);
		break;
	case RESULT_ALREADY_CLAIMED:
		g_assert_nonnull(first);
		g_assert_cmpuint(first->id.request, !=, request);
		g_assert_cmpuint(first->id.owner.instance, ==,
				 take->winner.instance);
		g_assert_cmpuint(first->id.owner.incarnation, ==,
				 take->winner.incarnation);
		break;
	case RESULT_LOG_DOWN:
		g_assert_false(
			g_hash_table_contains(truth->requests, &request));
		break;
	default:
		g_assert_cmpint(take->code, ==, RESULT_CLAIM_UNDECIDED);
		break;
	}
}

int fleet_check(const struct fleet *fleet)
{
	struct truth truth = truth_read(fleet);
	GHashTable *won = g_hash_table_new(g_int64_hash, g_int64_equal);
	int winners;

	for (guint i = 0; i < fleet->takes->len; i++) {
		struct take *take = fleet->takes->pdata[i];

		if (take->answers && take->code == RESULT_OK)
			g_assert_true(g_hash_table_add(won, &take->key));
		take_check(fleet, &truth, i + 1);
	}
	winners = (int)g_hash_table_size(won);
	g_hash_table_destroy(won);
	g_hash_table_destroy(truth.first);
	g_hash_table_destroy(truth.requests);
	return winners;
}
