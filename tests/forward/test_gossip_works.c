/*
 * A request that ends each server that begins to run it, repeated for half a
 * minute at instances anywhere: how many servers it ends, and how soon all
 * refuse it, with 7, 83 and 300 instances. Without the quarantine it ended one
 * with each repeat.
 */
#include <glib.h>

#include "gossip_world.h"

/* A server that begins to run it ends so much later. */
#define END_MSEC 100
/* After the third end at most three more repeats may reach a server, once this
 * time has gone by. */
#define CONTACT_USEC (3 * USEC_PER_SEC)

struct story {
	struct site *site;
	struct request_fingerprint work;
	uint32_t ended;
	int64_t third;	  /* when the third server ended */
	uint32_t refused; /* repeats */
	uint32_t late;	  /* sent to servers after CONTACT_USEC */
};

static bool is_up(const struct instance *instance)
{
	return instance->gossip && !instance->site->still[instance->centre];
}

static void server_ends(struct story *story, struct instance *instance)
{
	int64_t now = clock_now(story->site->clock);

	if (++story->ended == 3)
		story->third = now;
	if (story->third && now - story->third > CONTACT_USEC)
		story->late++;
	if (quarantine_record_crash(instance->quarantine, &story->work,
				    story->work.low, story->ended, now))
		gossip_quarantine_changed(
			instance->gossip,
			quarantine_find(instance->quarantine, &story->work));
}

/* The request comes to some instances at the same time. */
static void repeat(struct story *story, uint32_t times)
{
	struct instance *sent[MOST];
	uint32_t count = 0;

	for (uint32_t i = 0; i < times; i++) {
		struct instance *instance =
			&story->site->instances[g_test_rand_int_range(
				0, (gint32)story->site->count)];

		if (!is_up(instance))
			continue;
		if (quarantine_holds(instance->quarantine, &story->work))
			story->refused++;
		else
			sent[count++] = instance;
	}
	turn(story->site, END_MSEC);
	for (uint32_t i = 0; i < count; i++)
		if (is_up(sent[i]))
			server_ends(story, sent[i]);
}

static uint32_t holding(const struct story *story)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < story->site->count; i++) {
		const struct instance *instance = &story->site->instances[i];

		count += instance->gossip &&
			 quarantine_holds(instance->quarantine, &story->work);
	}
	return count;
}

static struct story story_open(uint32_t count, uint64_t work)
{
	return (struct story){
		.site = site_open(count),
		.work = {work, work},
	};
}

/* One after the other, as callers repeat that wait for an answer. */
static void one_by_one(uint32_t count)
{
	struct story story = story_open(count, 1);

	for (int i = 0; i < 300; i++)
		repeat(&story, 1);
	g_test_message("%u instances: %u servers ended, %u repeats refused",
		       count, story.ended, story.refused);
	g_assert_cmpuint(story.ended, <=, 4);
	g_assert_cmpuint(story.late, ==, 0);
	g_assert_cmpuint(holding(&story), ==, count);
	site_close(story.site);
}

static void test_one_by_one(void)
{
	one_by_one(7);
	one_by_one(83);
	one_by_one(300);
}

/* Twelve at a time, at as many instances: what is sent before the first server
 * has ended cannot be helped; one more round at the most is sent after. */
static void at_once(uint32_t count)
{
	struct story story = story_open(count, 2);

	for (int i = 0; i < 100; i++)
		repeat(&story, 12);
	g_test_message("%u instances: %u servers ended, %u repeats refused",
		       count, story.ended, story.refused);
	g_assert_cmpuint(story.ended, <=, 24);
	g_assert_cmpuint(story.late, ==, 0);
	g_assert_cmpuint(holding(&story), ==, count);
	site_close(story.site);
}

static void test_at_once(void)
{
	at_once(7);
	at_once(83);
	at_once(300);
}

/* A data centre that stood still meanwhile, and instances that start, know
 * within three seconds; so do all after they were stopped at once. */
static void comes_back(uint32_t count)
{
	struct story story = story_open(count, 3);
	struct site *site = story.site;

	site->still[2] = true;
	for (int i = 0; i < 60; i++)
		repeat(&story, 1);
	site->still[2] = false;
	turn(site, 3000);
	g_assert_cmpuint(holding(&story), ==, count);
	for (uint32_t i = 0; i < count; i += 4) {
		instance_stop(&site->instances[i]);
		instance_start(&site->instances[i]);
		meet_all(site, &site->instances[i]);
	}
	turn(site, 3000);
	g_assert_cmpuint(holding(&story), ==, count);
	for (uint32_t i = 0; i < count; i++)
		instance_stop(&site->instances[i]);
	for (uint32_t i = 0; i < count; i++)
		instance_start(&site->instances[i]);
	g_assert_cmpuint(site->stored_count, >=, 1);
	g_assert_cmpuint(holding(&story), ==, count);
	for (int i = 0; i < 60; i++)
		repeat(&story, 1);
	g_assert_cmpuint(story.ended, <=, 4);
	g_assert_cmpuint(story.late, ==, 0);
	site_close(site);
}

static void test_comes_back(void)
{
	comes_back(7);
	comes_back(83);
	comes_back(300);
}

/* What instances start with that had no store: they learn from the others. */
static void test_without_store(void)
{
	struct story story = story_open(100, 4);
	struct site *site = story.site;

	for (int i = 0; i < 10; i++)
		repeat(&story, 1);
	site->stored_count = 0;
	for (uint32_t i = 0; i < 50; i++) {
		instance_stop(&site->instances[i]);
		instance_start(&site->instances[i]);
		meet_all(site, &site->instances[i]);
	}
	turn(site, 3000);
	g_assert_cmpuint(holding(&story), ==, 100);
	site_close(site);
}

/* Sent by one instance in twelve seconds, on average: a multiple of the time
 * from one list of members to the next. */
static struct gossip_traffic traffic(struct site *site)
{
	struct gossip_traffic sum = {0};

	for (int after = 0; after < 2; after++) {
		for (uint32_t i = 0; i < site->count; i++) {
			const struct gossip_traffic *one =
				gossip_traffic(site->instances[i].gossip);

			sum.sent += after ? one->sent : -one->sent;
			sum.sent_bytes +=
				after ? one->sent_bytes : -one->sent_bytes;
		}
		if (!after)
			turn(site, 12000);
	}
	g_assert_cmpuint(site->count, >, 0);
	sum.sent /= site->count;
	sum.sent_bytes /= site->count;
	return sum;
}

/* Told for good, a held work costs each instance two datagrams a second, of
 * some 60 bytes. */
static void test_bytes(void)
{
	struct story story = story_open(100, 5);
	struct gossip_traffic calm;
	struct gossip_traffic held;

	/* Strangers are no more tried then. */
	turn(story.site, 15000);
	calm = traffic(story.site);
	for (int i = 0; i < 10; i++)
		repeat(&story, 1);
	turn(story.site, 3000);
	held = traffic(story.site);
	g_test_message("calm %d datagrams, %d bytes; held %d, %d",
		       (int)calm.sent, (int)calm.sent_bytes, (int)held.sent,
		       (int)held.sent_bytes);
	/* The rest differs by some 20 from one ten seconds to the next. */
	g_assert_cmpuint(held.sent, <=, calm.sent + 21 + 40);
	g_assert_cmpuint(held.sent_bytes, <, calm.sent_bytes + 2000);
	site_close(story.site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/gossip/works/one-by-one", test_one_by_one);
	g_test_add_func("/forward/gossip/works/at-once", test_at_once);
	g_test_add_func("/forward/gossip/works/comes-back", test_comes_back);
	g_test_add_func("/forward/gossip/works/without-store",
			test_without_store);
	g_test_add_func("/forward/gossip/works/bytes", test_bytes);
	return g_test_run();
}
