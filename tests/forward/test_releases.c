/* Datagrams between instances of different releases. */
#include <glib.h>

#include "../../forward/gossip_codec.h"
#include "common/error.h"

/* Offset of its flags. */
#define FLAGS_AT 30

/* A summary as the release before sends it. */
static const guint8 summary_before[] = {
	0xdc, 0x00, 0x14, 0x04, 0x00, 0x05, 0x06, 0x91, 0x94, 0x07, 0x01, 0xcd,
	0x07, 0xd0, 0xcd, 0x01, 0x2c, 0xa2, 0x6e, 0x31, 0xa4, 0x68, 0x65, 0x72,
	0x65, 0x09, 0x00, 0x03, 0x00, 0x00, 0x08, 0x90, 0x92, 0x93, 0x0a, 0x08,
	0xcd, 0x4e, 0x20, 0x93, 0x1e, 0x1e, 0xff, 0xa2, 0x6e, 0x30, 0x91, 0xcf,
	0x00, 0x00, 0x7f, 0x00, 0x00, 0x01, 0x00, 0x46, 0x90, 0x90, 0x90,
};

static void message_fill(struct gossip_message *message)
{
	struct gossip_load load = {7, {1, 2000, 300}};

	gossip_message_init(message, GOSSIP_INSTANCE_SUMMARY);
	message->boot = 5;
	message->sequence = 6;
	g_strlcpy(message->name, "n1", sizeof(message->name));
	g_strlcpy(message->group, "here", sizeof(message->group));
	g_strlcpy(message->lowest.name, "n0", sizeof(message->lowest.name));
	message->summary.version = 9;
	message->summary.waiting = 3;
	message->summary.links_lost = true;
	message->summary.mirrors[0] = (struct mirror_status){10, 8, 20000};
	message->summary.mirrors[1] = (struct mirror_status){30, 30, -1};
	g_array_append_val(message->loads, load);
	gossip_message_add(message, "127.0.0.1:70");
}

static void summary_check(const guint8 *data, size_t size)
{
	struct gossip_message message;
	struct error err;

	g_assert_true(gossip_decode(&message, data, size, &err));
	g_assert_cmpint(message.kind, ==, GOSSIP_INSTANCE_SUMMARY);
	g_assert_cmpstr(message.name, ==, "n1");
	g_assert_cmpuint(message.summary.version, ==, 9);
	g_assert_cmpuint(message.summary.mirrors[0].next, ==, 10);
	g_assert_true(message.summary.links_lost);
	g_assert_cmpuint(message.loads->len, ==, 1);
	g_assert_cmpuint(message.addresses->len, ==, 1);
	gossip_message_clear(&message);
}

/* What this release sends is what the one before reads, and it reads what that
 * one sends. */
static void test_before(void)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct gossip_message message;

	summary_check(summary_before, sizeof(summary_before));
	message_fill(&message);
	gossip_encode(&message, out);
	gossip_message_clear(&message);
	g_assert_cmpmem(out->data, out->len, summary_before,
			sizeof(summary_before));
}

/* Fields, flags and kinds of a later release are ignored. */
static void test_after(void)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	static const guint8 none[] = {0x90, 0x90};
	static const guint8 field = 0x2a;
	struct gossip_message message;
	struct error err;

	/* After the speeds of servers and the waiting requests by rank, none of
	 * them. */
	g_byte_array_append(out, summary_before, sizeof(summary_before));
	out->data[2] += 3;
	g_byte_array_append(out, none, sizeof(none));
	g_byte_array_append(out, &field, 1);
	summary_check(out->data, out->len);
	g_byte_array_set_size(out, 0);
	g_byte_array_append(out, summary_before, sizeof(summary_before));
	g_assert_cmpuint(out->data[FLAGS_AT], ==, 0x08);
	out->data[FLAGS_AT] |= 0x40;
	summary_check(out->data, out->len);
	/* [4, kind 20, 5, 6, [1, 2, 3]] */
	g_byte_array_set_size(out, 0);
	g_byte_array_append(
		out, (const guint8[]){0x95, 4, 20, 5, 6, 0x93, 1, 2, 3}, 9);
	g_assert_true(gossip_decode(&message, out->data, out->len, &err));
	g_assert_cmpint(message.kind, ==, GOSSIP_UNKNOWN);
	gossip_message_clear(&message);
}

/* Speeds of servers reach the receiver as they were sent; a summary without
 * them, as releases before send it, has none. */
static void test_speeds(void)
{
	static const struct speed_entry entries[] = {
		{.server = 7, .percent = 55, .weight = 1, .age_msec = 0},
		{.server = UINT64_MAX,
		 .percent = SPEED_PERCENT_MAX,
		 .weight = SPEED_WEIGHT_MAX,
		 .age_msec = 30000},
	};
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct gossip_message message;
	struct error err;

	message_fill(&message);
	g_array_append_vals(message.speeds, entries, G_N_ELEMENTS(entries));
	gossip_encode(&message, out);
	gossip_message_clear(&message);
	summary_check(out->data, out->len);
	g_assert_true(gossip_decode(&message, out->data, out->len, &err));
	g_assert_cmpuint(message.speeds->len, ==, G_N_ELEMENTS(entries));
	for (guint i = 0; i < message.speeds->len; i++) {
		const struct speed_entry *entry =
			&g_array_index(message.speeds, struct speed_entry, i);

		g_assert_cmpuint(entry->server, ==, entries[i].server);
		g_assert_cmpuint(entry->percent, ==, entries[i].percent);
		g_assert_cmpuint(entry->weight, ==, entries[i].weight);
		g_assert_cmpuint(entry->age_msec, ==, entries[i].age_msec);
	}
	gossip_message_clear(&message);
	g_assert_true(gossip_decode(&message, summary_before,
				    sizeof(summary_before), &err));
	g_assert_cmpuint(message.speeds->len, ==, 0);
	gossip_message_clear(&message);
}

/* A faulty peer's speeds must not be read in part: the datagram is rejected. */
static void test_speeds_malformed(void)
{
	/* Each is the field that follows the summary of the release before. */
	static const struct {
		const char *what;
		guint8 bytes[16];
		gsize size;
	} rows[] = {
		{"not an array", {0x2a}, 1},
		{"entry not an array", {0x91, 0x2a}, 2},
		{"three figures", {0x91, 0x93, 7, 55, 1}, 5},
		{"five figures", {0x91, 0x95, 7, 55, 1, 0, 0}, 7},
		{"no time", {0x91, 0x94, 7, 0, 1, 0}, 6},
		{"24 percent", {0x91, 0x94, 7, 24, 1, 0}, 6},
		{"401 percent", {0x91, 0x94, 7, 0xcd, 0x01, 0x91, 1, 0}, 8},
		{"no weight", {0x91, 0x94, 7, 55, 0, 0}, 6},
		{"weight 101", {0x91, 0x94, 7, 55, 101, 0}, 6},
		{"30,001 ms", {0x91, 0x94, 7, 55, 1, 0xcd, 0x75, 0x31}, 8},
		{"negative age", {0x91, 0x94, 7, 55, 1, 0xff}, 6},
		{"negative server", {0x91, 0x94, 0xff, 55, 1, 0}, 6},
		{"text", {0x91, 0x94, 7, 0xa1, 'x', 1, 0}, 7},
		{"seven entries", {0x97}, 1},
	};
	static const guint8 entry[] = {0x94, 7, 55, 1, 0};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_autoptr(GByteArray) out = g_byte_array_new();
		struct gossip_message message;
		struct error err;

		g_byte_array_append(out, summary_before,
				    sizeof(summary_before));
		out->data[2]++;
		g_byte_array_append(out, rows[i].bytes, (guint)rows[i].size);
		for (int k = 0; rows[i].bytes[0] == 0x97 && k < 7; k++)
			g_byte_array_append(out, entry, sizeof(entry));
		if (gossip_decode(&message, out->data, out->len, &err))
			g_error("accepted: %s", rows[i].what);
		gossip_message_clear(&message);
	}
}

/* Where streams are ranked, a summary has two fields more. Receivers that do
 * not know them, or get none, must read the rest. */
static void test_ranked(void)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct gossip_message message;
	struct error err;

	message_fill(&message);
	message.summary.ranked = true;
	message.summary.waiting_ranked[1] = 3;
	gossip_encode(&message, out);
	gossip_message_clear(&message);
	g_assert_cmpuint(out->data[2], ==, 22);
	g_assert_cmpmem(out->data + 3, sizeof(summary_before) - 3,
			summary_before + 3, sizeof(summary_before) - 3);
	summary_check(out->data, out->len);
	g_assert_true(gossip_decode(&message, out->data, out->len, &err));
	g_assert_true(message.summary.ranked);
	g_assert_cmpuint(message.summary.waiting_ranked[1], ==, 3);
	g_assert_cmpuint(message.summary.waiting_ranked[0], ==, 0);
	gossip_message_clear(&message);
	g_assert_true(gossip_decode(&message, summary_before,
				    sizeof(summary_before), &err));
	g_assert_false(message.summary.ranked);
	gossip_message_clear(&message);
	/* More ranks than there are. */
	out->data[sizeof(summary_before) + 1]++;
	g_byte_array_append(out, (const guint8[]){0}, 1);
	g_assert_false(gossip_decode(&message, out->data, out->len, &err));
	gossip_message_clear(&message);
}

static bool claim_decode(const guint8 *body, size_t size,
			 struct gossip_message *message)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct error err;

	g_byte_array_append(out, (const guint8[]){0x95, 4, 13, 5, 6}, 5);
	g_byte_array_append(out, body, (guint)size);
	return gossip_decode(message, out->data, out->len, &err);
}

/* The kind of a claim is 13 on the wire, whatever comes before it. A claim of
 * a rank that does not exist must be rejected: it indexes tables. */
static void test_claim(void)
{
	static const guint8 body[] = {0x95, 7, 2, 50, 100, 90};
	static const guint8 bad_rank[] = {0x95, 7, 8, 50, 100, 90};
	static const guint8 negative[] = {0x95, 7, 2, 50, 0xff, 90};
	static const guint8 cut[] = {0x94, 7, 2, 50, 100};
	static const guint8 number[] = {7};
	g_autoptr(GByteArray) out = g_byte_array_new();
	struct gossip_message message;
	struct error err;

	g_assert_true(claim_decode(body, sizeof(body), &message));
	g_assert_cmpint(message.kind, ==, GOSSIP_ROOM_CLAIM);
	g_assert_cmpuint(message.claim.request, ==, 7);
	g_assert_cmpuint(message.claim.rank, ==, 2);
	g_assert_cmpuint(message.claim.server, ==, 50);
	g_assert_cmpuint(message.claim.tokens, ==, 100);
	g_assert_cmpint(message.claim.usec, ==, 90000);
	gossip_encode(&message, out);
	gossip_message_clear(&message);
	g_assert_cmpmem(out->data + 5, out->len - 5, body, sizeof(body));
	g_assert_cmpuint(out->data[2], ==, 13);
	g_assert_false(claim_decode(bad_rank, sizeof(bad_rank), &message));
	gossip_message_clear(&message);
	g_assert_false(claim_decode(negative, sizeof(negative), &message));
	gossip_message_clear(&message);
	g_assert_false(claim_decode(cut, sizeof(cut), &message));
	gossip_message_clear(&message);
	g_assert_false(claim_decode(number, sizeof(number), &message));
	gossip_message_clear(&message);
	/* Kinds that later releases may use. */
	for (guint8 kind = 14; kind <= 16; kind++) {
		const guint8 other[] = {0x95, 4, kind, 5, 6, 0x91, 1};

		g_assert_true(
			gossip_decode(&message, other, sizeof(other), &err));
		g_assert_cmpint(message.kind, ==, GOSSIP_UNKNOWN);
		gossip_message_clear(&message);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/releases/before", test_before);
	g_test_add_func("/forward/releases/after", test_after);
	g_test_add_func("/forward/releases/speeds", test_speeds);
	g_test_add_func("/forward/releases/speeds-malformed",
			test_speeds_malformed);
	g_test_add_func("/forward/releases/ranked", test_ranked);
	g_test_add_func("/forward/releases/claim", test_claim);
	return g_test_run();
}
