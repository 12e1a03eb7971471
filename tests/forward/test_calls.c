/*
 * The messages of plain calls. One that is cut short, of another size or with a
 * figure out of bounds must be rejected as a whole: a grant without a server,
 * or a load beyond any server's, would reach a decision otherwise.
 */
#include <glib.h>
#include <msgpack.h>

#include "../../forward/gossip_codec.h"
#include "common/error.h"
#include "common/pack.h"

static bool decoded(const GByteArray *bytes, struct gossip_message *message)
{
	struct error err;

	return gossip_decode(message, bytes->data, bytes->len, &err);
}

static void round_trip(struct gossip_message *message,
		       struct gossip_message *out)
{
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	message->boot = 7;
	message->sequence = 8;
	gossip_encode(message, bytes);
	g_assert_true(decoded(bytes, out));
	g_assert_cmpint(out->kind, ==, message->kind);
}

static void test_request(void)
{
	struct gossip_message message;
	struct gossip_message out;

	gossip_message_init(&message, GOSSIP_CALL_REQUEST);
	message.call_request = (struct call_request){
		.service = 9,
		.call = {.id = 1,
			 .urgency = 2,
			 .organisation = 3,
			 .target_usec = 150000,
			 .limit_usec = 1500000,
			 .avoid = {4, 5, 6, UINT64_MAX},
			 .avoid_count = 4},
	};
	round_trip(&message, &out);
	g_assert_cmpuint(out.call_request.service, ==, 9);
	g_assert_cmpuint(out.call_request.call.id, ==, 1);
	g_assert_cmpuint(out.call_request.call.urgency, ==, 2);
	g_assert_cmpuint(out.call_request.call.organisation, ==, 3);
	g_assert_cmpint(out.call_request.call.target_usec, ==, 150000);
	g_assert_cmpint(out.call_request.call.limit_usec, ==, 1500000);
	g_assert_cmpuint(out.call_request.call.avoid_count, ==, 4);
	g_assert_cmpuint(out.call_request.call.avoid[3], ==, UINT64_MAX);
	gossip_message_clear(&message);
	gossip_message_clear(&out);
}

static void test_answer(void)
{
	for (int result = CALL_GRANTED; result <= CALL_QUEUED; result++) {
		struct gossip_message message;
		struct gossip_message out;

		gossip_message_init(&message, GOSSIP_CALL_ANSWER);
		message.call_answer = (struct call_answer){
			1, 9, (enum call_result)result, 4, 70000};
		round_trip(&message, &out);
		g_assert_cmpuint(out.call_answer.id, ==, 1);
		g_assert_cmpuint(out.call_answer.service, ==, 9);
		g_assert_cmpint(out.call_answer.result, ==, result);
		g_assert_cmpuint(out.call_answer.server, ==, 4);
		g_assert_cmpint(out.call_answer.usec, ==, 70000);
		gossip_message_clear(&message);
		gossip_message_clear(&out);
	}
}

static void test_done(void)
{
	for (int known = 0; known < 2; known++) {
		struct gossip_message message;
		struct gossip_message out;

		gossip_message_init(&message, GOSSIP_CALL_DONE);
		message.call_done = (struct call_done){
			.service = 9,
			.server = 4,
			.end = {.id = 1,
				.usec = 31000,
				.load = {known, 5, 1, 6, 2.5},
				.refused = true},
		};
		round_trip(&message, &out);
		g_assert_cmpuint(out.call_done.service, ==, 9);
		g_assert_cmpuint(out.call_done.server, ==, 4);
		g_assert_cmpuint(out.call_done.end.id, ==, 1);
		g_assert_cmpint(out.call_done.end.usec, ==, 31000);
		g_assert_true(out.call_done.end.refused);
		g_assert_cmpint(out.call_done.end.load.known, ==, known);
		g_assert_cmpuint(out.call_done.end.load.running, ==, known * 5);
		g_assert_cmpfloat(out.call_done.end.load.pace, ==, known * 2.5);
		gossip_message_clear(&message);
		gossip_message_clear(&out);
	}
}

/* A body of integers; -1000 stands for an empty array at the end. */
static bool body_decoded(int kind, const int64_t *fields, uint32_t count)
{
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	struct gossip_message message;
	msgpack_packer packer;
	bool ok;

	msgpack_packer_init(&packer, bytes, pack_append);
	msgpack_pack_array(&packer, 5);
	msgpack_pack_int(&packer, GOSSIP_FORMAT);
	msgpack_pack_int(&packer, kind);
	msgpack_pack_int(&packer, 7);
	msgpack_pack_int(&packer, 8);
	msgpack_pack_array(&packer, count);
	for (uint32_t i = 0; i < count; i++) {
		if (fields[i] == -1000)
			msgpack_pack_array(&packer, 0);
		else
			msgpack_pack_int64(&packer, fields[i]);
	}
	ok = decoded(bytes, &message);
	gossip_message_clear(&message);
	return ok;
}

static void test_malformed(void)
{
	static const struct {
		int kind;
		uint32_t count;
		bool ok;
		int64_t fields[9];
	} rows[] = {
		{10, 7, true, {1, 2, 0, 0, 5, 6, -1000}},
		{10, 6, false, {1, 2, 0, 0, 5, 6}},
		{10, 7, false, {1, 2, 0, 0, 5, 6, 7}},
		{10, 7, false, {1, 2, 0, 0, -5, 6, -1000}},
		{10, 7, false, {1, 2, 0, 0, 5, INT64_MAX, -1000}},
		{10, 7, false, {1, 2, INT64_MAX, 0, 5, 6, -1000}},
		{11, 5, true, {1, 2, 0, 3, 0}},
		{11, 5, true, {1, 2, 1, 0, 70}},
		{11, 5, false, {1, 2, 0, 0, 0}}, /* granted, without a server */
		{11, 5, false, {1, 2, 4, 3, 0}},
		{11, 5, false, {1, 2, 1, 0, -1}},
		{11, 4, false, {1, 2, 1, 0}},
		{12, 9, true, {1, 2, 3, 30000, 5, 1, 6, 250, 0}},
		{12, 9, true, {1, 2, 3, 0, 0, 0, 0, 0, 1}},
		{12, 9, false, {1, 2, 3, 0, 5, 0, 0, 0, 1}}, /* no slots */
		{12, 9, false, {1, 2, 3, 0, -5, 1, 6, 250, 0}},
		{12, 9, false, {1, 2, 3, 0, 5000000, 1, 6, 250, 0}},
		{12, 9, false, {1, 2, 3, 0, 5, 1, 6, 50000, 0}},
		{12, 9, false, {1, 2, 3, -1, 5, 1, 6, 250, 0}},
		{12, 9, false, {1, 2, 3, 0, 5, 1, 6, 250, 2}},
		{12, 8, false, {1, 2, 3, 0, 5, 1, 6, 250}},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		if (body_decoded(rows[i].kind, rows[i].fields, rows[i].count) !=
		    rows[i].ok)
			g_error("row %zu", i);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/calls/request", test_request);
	g_test_add_func("/forward/calls/answer", test_answer);
	g_test_add_func("/forward/calls/done", test_done);
	g_test_add_func("/forward/calls/malformed", test_malformed);
	return g_test_run();
}
