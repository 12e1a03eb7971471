/*
 * Decodes bytes as a gossip datagram. A message that is accepted must be the
 * same after it is encoded and decoded again. With clang's -fsanitize=fuzzer
 * and -DFUZZ_ENGINE this is a fuzz target; as a test it runs seeded mutations
 * of valid datagrams.
 */
#include <glib.h>
#include <stdint.h>
#include <string.h>

#include "../../forward/gossip_codec.h"
#include "common/error.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void same_check(const struct gossip_message *a,
		       const struct gossip_message *b)
{
	g_assert_cmpint(a->kind, ==, b->kind);
	g_assert_cmpuint(a->boot, ==, b->boot);
	g_assert_cmpuint(a->sequence, ==, b->sequence);
	g_assert_cmpmem(
		a->loads->data, a->loads->len * sizeof(struct gossip_load),
		b->loads->data, b->loads->len * sizeof(struct gossip_load));
	g_assert_cmpmem(a->quarantine->data,
			a->quarantine->len * sizeof(struct quarantine_entry),
			b->quarantine->data,
			b->quarantine->len * sizeof(struct quarantine_entry));
	g_assert_cmpuint(a->summary.changing_count, ==,
			 b->summary.changing_count);
	for (uint32_t i = 0; i < a->summary.changing_count; i++)
		g_assert_cmpint(a->summary.changing[i].left_usec, ==,
				b->summary.changing[i].left_usec);
	g_assert_cmpuint(a->usage->len, ==, b->usage->len);
	for (guint i = 0; i < a->usage->len; i++) {
		const struct limit_entry *one =
			&g_array_index(a->usage, struct limit_entry, i);
		const struct limit_entry *other =
			&g_array_index(b->usage, struct limit_entry, i);

		g_assert_cmpuint(one->account, ==, other->account);
		g_assert_cmpint(one->used, ==, other->used);
		g_assert_cmpint(one->level, ==, other->level);
	}
	g_assert_cmpuint(a->call_request.call.avoid_count, ==,
			 b->call_request.call.avoid_count);
	g_assert_cmpint(a->call_request.call.target_usec, ==,
			b->call_request.call.target_usec);
	g_assert_cmpuint(a->call_answer.server, ==, b->call_answer.server);
	g_assert_cmpint(a->call_answer.result, ==, b->call_answer.result);
	g_assert_cmpuint(a->call_done.end.load.waiting, ==,
			 b->call_done.end.load.waiting);
	g_assert_cmpfloat(a->call_done.end.load.pace, ==,
			  b->call_done.end.load.pace);
	g_assert_cmpstr(a->name, ==, b->name);
	g_assert_cmpstr(a->lowest.name, ==, b->lowest.name);
	g_assert_cmpuint(a->summary.waiting, ==, b->summary.waiting);
	g_assert_cmpuint(a->addresses->len, ==, b->addresses->len);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct gossip_message first;
	struct gossip_message second;
	struct error err;

	if (gossip_decode(&first, data, size, &err)) {
		GByteArray *out = g_byte_array_new();

		gossip_encode(&first, out);
		g_assert_true(
			gossip_decode(&second, out->data, out->len, &err));
		same_check(&first, &second);
		gossip_message_clear(&second);
		g_byte_array_unref(out);
	}
	gossip_message_clear(&first);
	return 0;
}

#ifndef FUZZ_ENGINE
#include "../fake/mutate.h"

#define MUTATIONS 60000

static GByteArray *valid_datagram(int i)
{
	GByteArray *out = g_byte_array_new();
	struct gossip_message message;

	gossip_message_init(&message, (enum gossip_kind)(i % GOSSIP_UNKNOWN));
	message.boot = 5;
	message.sequence = (uint64_t)i;
	g_strlcpy(message.name, "n1", sizeof(message.name));
	g_strlcpy(message.group, "here", sizeof(message.group));
	g_strlcpy(message.lowest.name, "n0", sizeof(message.lowest.name));
	message.summary.waiting = 3;
	message.summary.changing_count = (uint32_t)(i % 3);
	message.summary.changing[0] =
		(struct backend_change){7, STAGE_PREFILL, 5000000};
	message.summary.changing[1] =
		(struct backend_change){8, STAGE_DECODE, 1000};
	message.call_request = (struct call_request){
		.service = 4,
		.call = {.id = 3,
			 .urgency = 1,
			 .target_usec = 150000,
			 .limit_usec = 1500000,
			 .avoid = {8, 9},
			 .avoid_count = (uint32_t)(i % 3)},
	};
	message.call_answer =
		(struct call_answer){3, 4, CALL_GRANTED, UINT64_MAX, 20000};
	message.call_done = (struct call_done){
		.service = 4,
		.server = 8,
		.end = {.id = 3,
			.usec = 30000,
			.load = {i % 2 == 0, 5, 1, 6, 2.5}},
	};
	for (int k = g_test_rand_int_range(0, 4); k > 0; k--) {
		struct gossip_load load = {(uint64_t)k, {1, -2000, 300}};

		g_array_append_val(message.loads, load);
	}
	for (int k = g_test_rand_int_range(0, 4); k > 0; k--) {
		struct quarantine_entry entry = {
			.fingerprint = {(uint64_t)k, 7},
			.epoch = 1,
			.count = 3,
			.servers = {5, 6, UINT64_MAX},
			.stored = k == 2,
		};

		g_array_append_val(message.quarantine, entry);
	}
	for (int k = g_test_rand_int_range(0, 4); k > 0; k--) {
		struct limit_entry entry = {(uint64_t)k, 3, -k, 70000, -9};

		g_array_append_val(message.usage, entry);
	}
	gossip_message_add(&message, "127.0.0.1:70");
	gossip_message_add(&message, "[::1]:7");
	gossip_encode(&message, out);
	gossip_message_clear(&message);
	return out;
}

static void test_mutations(void)
{
	for (int i = 0; i < MUTATIONS; i++) {
		GByteArray *bytes = valid_datagram(i);

		LLVMFuzzerTestOneInput(bytes->data, bytes->len);
		bytes_mutate(bytes, 3);
		LLVMFuzzerTestOneInput(bytes->data, bytes->len);
		g_byte_array_unref(bytes);
	}
}

static int64_t extreme_number(void)
{
	static const int64_t numbers[] = {
		0,	   -1,	      INT32_MAX,     UINT32_MAX,
		INT64_MAX, INT64_MIN, INT64_MAX / 2, (int64_t)1 << 40};

	return numbers[g_test_rand_int_range(0, G_N_ELEMENTS(numbers))];
}

static void numbers_fill(struct gossip_message *message)
{
	struct gossip_load load = {
		1, {extreme_number(), extreme_number(), extreme_number()}};
	struct limit_entry usage = {1, 2, extreme_number(), 3,
				    extreme_number()};
	struct backpressure_fact fact = {
		.server = 1,
		.limit = (double)extreme_number() * 1e20,
		.age_usec = extreme_number(),
		.cold_usec = extreme_number(),
		.cold_limit = (double)extreme_number() * 1e20,
	};

	g_array_append_val(message->loads, load);
	g_array_append_val(message->usage, usage);
	g_array_append_val(message->facts, fact);
	message->summary.demand = (double)extreme_number() * 1e20;
	message->summary.prefill_rates = (double)extreme_number() * 1e20;
	message->summary.changing[0].left_usec = extreme_number();
	message->summary.changing_count = 1;
	message->summary.unreachable[0].left_usec = extreme_number();
	message->summary.unreachable_count = 1;
	message->claim.tokens = (uint32_t)extreme_number();
	message->claim.usec = extreme_number();
	message->call_request.call.target_usec = extreme_number();
	message->answer.retry_usec = extreme_number();
	message->request.fact = fact;
}

/* An instance with an extreme number must not be refused by its peers. */
static void test_extreme_numbers(void)
{
	for (int i = 0; i < 2000; i++) {
		g_autoptr(GByteArray) out = g_byte_array_new();
		struct gossip_message message;
		struct gossip_message read;
		struct error err;

		gossip_message_init(&message,
				    (enum gossip_kind)(i % GOSSIP_UNKNOWN));
		g_strlcpy(message.name, "n1", sizeof(message.name));
		g_strlcpy(message.group, "here", sizeof(message.group));
		g_strlcpy(message.lowest.name, "n0",
			  sizeof(message.lowest.name));
		message.call_answer.server = 8;
		numbers_fill(&message);
		gossip_encode(&message, out);
		g_assert_true(gossip_decode(&read, out->data, out->len, &err));
		gossip_message_clear(&read);
		gossip_message_clear(&message);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fuzz/gossip", test_mutations);
	g_test_add_func("/fuzz/gossip/extreme-numbers", test_extreme_numbers);
	return g_test_run();
}
#endif
