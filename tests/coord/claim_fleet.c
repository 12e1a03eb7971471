#include "claim_fleet.h"

#include "claim_codec.h"
#include "packet.h"

struct view_update {
	struct instance *to;
	uint32_t about;
	bool alive;
};

static void message_arrived(void *data)
{
	const struct packet *packet = data;
	const struct instance *from = packet->from;
	const struct instance *to = packet->to;

	if (to->claims)
		claims_receive(to->claims, from->membership.self.id,
			       packet->data, packet->size);
}

static void message_send(struct instance *from, struct instance *to,
			 const void *payload, size_t size)
{
	struct fleet *fleet = from->fleet;

	world_post(to->node, world_draw(fleet->world, fleet->link_delay),
		   message_arrived,
		   packet_create(from, to, CHANNEL_CLAIM, payload, size),
		   g_free, false);
}

static void fleet_send(void *ctx, uint64_t id, enum channel channel,
		       const void *payload, size_t size)
{
	struct instance *from = ctx;
	struct fleet *fleet = from->fleet;
	struct instance *to = NULL;
	uint32_t from_bit = 1u << from->index;

	g_assert_cmpint(channel, ==, CHANNEL_CLAIM);
	for (uint32_t i = 0; i < FAKE_MEMBERS; i++) {
		if (fleet->members[i].id == id)
			to = &fleet->instances[i];
	}
	g_assert_nonnull(to);
	if (to != from && (fleet->isolated & (from_bit | 1u << to->index)))
		return;
	if (to != from && world_chance(fleet->world, fleet->drop_percent))
		return;
	message_send(from, to, payload, size);
	if (world_chance(fleet->world, fleet->duplicate_percent))
		message_send(from, to, payload, size);
}

static void fleet_claim_ended(void *ctx, uint64_t request,
			      enum result_code code, const struct owner *winner)
{
	struct instance *instance = ctx;
	struct submission *submission =
		g_ptr_array_index(instance->fleet->submissions, request - 1);

	submission->answers++;
	submission->code = code;
	submission->winner = *winner;
	submission->late =
		clock_now(instance->node->clock) >= submission->deadline;
}

static void view_update_arrived(void *data)
{
	struct view_update *update = data;

	if (!update->to->claims)
		return;
	update->to->membership.alive[update->about] = update->alive;
	claims_member_changed(update->to->claims,
			      &update->to->fleet->members[update->about]);
}

static void fleet_update_views(struct fleet *fleet, uint32_t about, bool alive)
{
	for (uint32_t i = 0; i < FAKE_MEMBERS; i++) {
		struct view_update *update = g_new0(struct view_update, 1);

		*update = (struct view_update){&fleet->instances[i], about,
					       alive};
		world_post(fleet->instances[i].node,
			   world_draw(fleet->world, fleet->view_lag),
			   view_update_arrived, update, g_free, false);
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
			      &store, &transport, fleet_claim_ended, instance);
	claims_start(instance->claims);
	fleet_update_views(fleet, i, true);
}

void fleet_kill(struct fleet *fleet, uint32_t i)
{
	struct instance *instance = &fleet->instances[i];

	claims_destroy(instance->claims);
	instance->claims = NULL;
	node_stop(instance->node);
	fleet_update_views(fleet, i, false);
}

struct fleet *fleet_create(uint32_t seed)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->world = world_create(seed);
	fleet->log =
		fake_log_create(fleet->world->clock, fleet->world->call_queue,
				fleet->world->rand);
	fleet->submissions = g_ptr_array_new_with_free_func(g_free);
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
	g_ptr_array_free(fleet->submissions, TRUE);
	g_free(fleet);
}

void fleet_run(struct fleet *fleet, int64_t usec)
{
	int64_t end = clock_now(fleet->world->clock) + usec;

	while (clock_now(fleet->world->clock) < end)
		world_step(fleet->world);
}

struct submission *fleet_submit(struct fleet *fleet, uint32_t i, uint64_t key,
				int64_t timeout)
{
	struct instance *instance = &fleet->instances[i];
	struct submission *submission = g_new0(struct submission, 1);

	submission->instance = i;
	submission->epoch = instance->node->epoch;
	submission->key = key;
	submission->owner =
		(struct owner){instance->membership.self.id,
			       instance->membership.self.incarnation};
	submission->deadline = clock_now(instance->node->clock) + timeout;
	g_ptr_array_add(fleet->submissions, submission);
	claims_submit(instance->claims, fleet->submissions->len, key, timeout);
	return submission;
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

/* The claims in the log: the first of each key, and all requests. */
struct log_content {
	GHashTable *first;    /* key to struct claim */
	GHashTable *requests; /* set of requests */
};

static struct log_content log_content_read(const struct fleet *fleet)
{
	const GPtrArray *records =
		fake_log_records(fleet->log, LOG_STREAM_CLAIMS);
	struct log_content log_content = {
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

			g_hash_table_add(log_content.requests,
					 g_memdup2(&claim->id.request, 8));
			if (g_hash_table_contains(log_content.first,
						  &claim->key))
				g_free(claim);
			else
				g_hash_table_insert(log_content.first,
						    &claim->key, claim);
		}
	}
	g_array_unref(record.claims);
	return log_content;
}

static void submission_check(const struct fleet *fleet,
			     const struct log_content *log_content,
			     uint64_t request)
{
	const struct submission *submission =
		fleet->submissions->pdata[request - 1];
	const struct claim *first =
		g_hash_table_lookup(log_content->first, &submission->key);
	bool killed = fleet->instances[submission->instance].node->epoch !=
		      submission->epoch;

	g_assert_cmpint(submission->answers, <=, 1);
	g_assert_true(submission->answers == 1 || killed);
	if (!submission->answers)
		return;
	switch (submission->code) {
	case RESULT_OK:
		g_assert_nonnull(first);
		g_assert_cmpuint(first->id.request, ==, request);
		g_assert_false(submission->late);
		break;
	case RESULT_ALREADY_CLAIMED:
		g_assert_nonnull(first);
		g_assert_cmpuint(first->id.request, !=, request);
		g_assert_cmpuint(first->id.owner.instance, ==,
				 submission->winner.instance);
		g_assert_cmpuint(first->id.owner.incarnation, ==,
				 submission->winner.incarnation);
		break;
	case RESULT_LOG_DOWN:
		g_assert_false(
			g_hash_table_contains(log_content->requests, &request));
		break;
	default:
		g_assert_cmpint(submission->code, ==, RESULT_CLAIM_UNDECIDED);
		break;
	}
}

int fleet_check(const struct fleet *fleet)
{
	struct log_content log_content = log_content_read(fleet);
	GHashTable *won = g_hash_table_new(g_int64_hash, g_int64_equal);
	int winners;

	for (guint i = 0; i < fleet->submissions->len; i++) {
		struct submission *submission = fleet->submissions->pdata[i];

		if (submission->answers && submission->code == RESULT_OK)
			g_assert_true(g_hash_table_add(won, &submission->key));
		submission_check(fleet, &log_content, i + 1);
	}
	winners = (int)g_hash_table_size(won);
	g_hash_table_destroy(won);
	g_hash_table_destroy(log_content.first);
	g_hash_table_destroy(log_content.requests);
	return winners;
}
