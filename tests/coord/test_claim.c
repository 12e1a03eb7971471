/* Claims under single faults: the result that the caller receives, and the
 * records that are then in the log. Instances 0 to 2 are in one data centre, 3
 * to 5 in the other. */
#include <string.h>

#include "claim_codec.h"
#include "claim_fleet.h"
#include "common/log.h"

#define KEY 77u
#define TIMEOUT (3 * USEC_PER_SEC)

static struct fleet *fleet_ready(uint32_t seed)
{
	struct fleet *fleet = fleet_create(seed);

	for (uint32_t i = 0; i < FAKE_MEMBERS; i++)
		fleet_start(fleet, i);
	fleet_run(fleet, USEC_PER_SEC);
	return fleet;
}

/* The instance of the first data centre that is not a claim writer. */
static uint32_t fleet_requester(const struct fleet *fleet)
{
	uint32_t i = 0;

	while (i == fleet_writer(fleet, 0, 0) || i == fleet_writer(fleet, 0, 1))
		i++;
	return i;
}

static void writers_do(struct fleet *fleet, uint32_t at, bool both,
		       void (*act)(struct fleet *fleet, uint32_t i))
{
	uint32_t first = fleet_writer(fleet, at, 0);
	uint32_t second = fleet_writer(fleet, at, 1);

	act(fleet, first);
	if (both)
		act(fleet, second);
}

static void instance_pause(struct fleet *fleet, uint32_t i)
{
	fleet->instances[i].node->paused = true;
}

/* When a fault begins: before the claim is submitted, while the request is in
 * flight to the writer, while the writer's append is in flight, or when the
 * record is in the log and not read back yet. */
enum point {
	POINT_BEFORE,
	POINT_SENT,
	POINT_APPENDING,
	POINT_APPENDED,
	POINT_COUNT,
};

enum fault {
	FAULT_NONE,
	FAULT_KILL_WRITER,
	FAULT_KILL_WRITERS,
	FAULT_PAUSE_WRITER,
	FAULT_PAUSE_WRITERS,
	FAULT_PAUSE_REQUESTER,
	FAULT_ISOLATE_REQUESTER,
	FAULT_LOST_ANSWERS,
	FAULT_SLOW_LOG,
	FAULT_OUTAGE,
	FAULT_DUPLICATES,
	FAULT_COUNT,
};

static void fault_inject(struct fleet *fleet, uint32_t requester,
			 enum fault fault)
{
	switch (fault) {
	case FAULT_KILL_WRITER:
	case FAULT_KILL_WRITERS:
		writers_do(fleet, requester, fault == FAULT_KILL_WRITERS,
			   fleet_kill);
		break;
	case FAULT_PAUSE_WRITER:
	case FAULT_PAUSE_WRITERS:
		writers_do(fleet, requester, fault == FAULT_PAUSE_WRITERS,
			   instance_pause);
		break;
	case FAULT_PAUSE_REQUESTER:
		instance_pause(fleet, requester);
		break;
	case FAULT_ISOLATE_REQUESTER:
		fleet->isolated |= 1u << requester;
		break;
	case FAULT_LOST_ANSWERS:
		fleet->log->lost_percent = 100;
		break;
	case FAULT_SLOW_LOG:
		fleet->log->fixed_delay = 5 * USEC_PER_SEC;
		break;
	case FAULT_OUTAGE:
		fleet->log->outage = true;
		break;
	case FAULT_DUPLICATES:
		fleet->duplicate_percent = 100;
		break;
	case FAULT_NONE:
	case FAULT_COUNT:
		break;
	}
}

#define WON RESULT_OK
#define DOWN RESULT_LOG_DOWN
#define UNDECIDED RESULT_CLAIM_UNDECIDED

/* The result by fault and point. When answers of the log are lost, repeated
 * appends ensure that the claim is appended. */
static const struct {
	const char *name;
	enum result_code codes[POINT_COUNT];
} expected[FAULT_COUNT] = {
	[FAULT_NONE] = {"none", {WON, WON, WON, WON}},
	[FAULT_KILL_WRITER] = {"kill the writer", {WON, WON, WON, WON}},
	/* The third instance becomes the writer. */
	[FAULT_KILL_WRITERS] = {"kill both writers", {WON, WON, WON, WON}},
	[FAULT_PAUSE_WRITER] = {"pause the writer", {WON, WON, WON, WON}},
	/* The request was sent and neither writer replied, so the claim may
	 * still be appended. */
	[FAULT_PAUSE_WRITERS] = {"pause both writers",
				 {UNDECIDED, UNDECIDED, UNDECIDED, UNDECIDED}},
	[FAULT_PAUSE_REQUESTER] = {"pause the requester past its timeout",
				   {UNDECIDED, UNDECIDED, UNDECIDED,
				    UNDECIDED}},
	[FAULT_ISOLATE_REQUESTER] = {"isolate the requester",
				     {UNDECIDED, UNDECIDED, UNDECIDED,
				      UNDECIDED}},
	[FAULT_LOST_ANSWERS] = {"lose the log's answers", {WON, WON, WON, WON}},
	[FAULT_SLOW_LOG] = {"slow log",
			    {UNDECIDED, UNDECIDED, UNDECIDED, UNDECIDED}},
	/* Appended before the outage, but not readable during it. */
	[FAULT_OUTAGE] = {"log outage", {DOWN, DOWN, UNDECIDED, UNDECIDED}},
	[FAULT_DUPLICATES] = {"duplicate every message", {WON, WON, WON, WON}},
};

static void run_until_appended(struct fleet *fleet)
{
	const GPtrArray *records =
		fake_log_records(fleet->log, LOG_STREAM_CLAIMS);

	for (int step = 0; step < 100 && !records->len; step++)
		world_step(fleet->world);
	g_assert_cmpuint(records->len, ==, 1);
}

static void case_run(enum fault fault, enum point point)
{
	struct fleet *fleet = fleet_ready(1);
	uint32_t requester = fleet_requester(fleet);
	struct submission *submission, *rival;

	/* A read in flight must not return the record within the same step. */
	fleet->log->delay = 30 * USEC_PER_MSEC;
	if (point == POINT_BEFORE)
		fault_inject(fleet, requester, fault);
	submission = fleet_submit(fleet, requester, KEY, TIMEOUT);
	if (point == POINT_APPENDING)
		world_step(fleet->world);
	if (point == POINT_APPENDED)
		run_until_appended(fleet);
	if (point != POINT_BEFORE)
		fault_inject(fleet, requester, fault);
	fleet_run(fleet, TIMEOUT + USEC_PER_SEC);
	for (uint32_t i = 0; i < FAKE_MEMBERS; i++)
		fleet->instances[i].node->paused = false;
	fleet_run(fleet, USEC_PER_SEC);
	g_assert_cmpint(submission->answers, ==, 1);
	g_assert_cmpint(submission->code, ==, expected[fault].codes[point]);

	/* Afterwards the other data centre finds the state of the key that is
	 * in the log. */
	fleet->log->outage = false;
	fleet->log->lost_percent = 0;
	fleet->log->fixed_delay = 0;
	fleet_run(fleet, 25 * USEC_PER_SEC);
	rival = fleet_submit(fleet, 4, KEY, TIMEOUT);
	fleet_run(fleet, TIMEOUT + USEC_PER_SEC);
	g_assert_cmpint(rival->answers, ==, 1);
	if (submission->code == RESULT_OK)
		g_assert_cmpint(rival->code, ==, RESULT_ALREADY_CLAIMED);
	if (submission->code == RESULT_LOG_DOWN)
		g_assert_cmpint(rival->code, ==, RESULT_OK);
	fleet_check(fleet);
	fleet_destroy(fleet);
}

static void test_faults(void)
{
	for (int fault = 0; fault < FAULT_COUNT; fault++) {
		for (int point = 0; point < POINT_COUNT; point++) {
			g_test_message("%s, point %d", expected[fault].name,
				       point);
			case_run((enum fault)fault, (enum point)point);
		}
	}
}

/* Claims submitted at the same time share an append. */
static void test_grouped(void)
{
	struct fleet *fleet = fleet_ready(2);
	uint32_t requester = fleet_requester(fleet);
	uint64_t previous = fleet->log->appends;

	for (uint64_t key = 1; key <= 1000; key++)
		fleet_submit(fleet, requester, key, TIMEOUT);
	fleet_run(fleet, TIMEOUT);
	g_assert_cmpint(fleet_check(fleet), ==, 1000);
	g_assert_cmpuint(fleet->log->appends - previous, <=, 2);
	fleet_destroy(fleet);
}

/* The writers append at most 20 times a second. */
static void test_append_rate(void)
{
	struct fleet *fleet = fleet_ready(3);
	uint32_t requester = fleet_requester(fleet);
	uint64_t previous = fleet->log->appends;

	for (uint64_t key = 1; key <= 1000; key++) {
		fleet_submit(fleet, requester, key, TIMEOUT);
		world_step(fleet->world);
	}
	fleet_run(fleet, TIMEOUT);
	g_assert_cmpint(fleet_check(fleet), ==, 1000);
	g_assert_cmpuint(fleet->log->appends - previous, <=, 105);
	fleet_destroy(fleet);
}

/* A writer that starts knows the keys in the log, and no keys whose records
 * were dropped by retention before. */
static void test_late_writers(void)
{
	for (int forget = 0; forget < 2; forget++) {
		struct fleet *fleet = fleet_ready(4);
		uint32_t requester = fleet_requester(fleet);
		struct submission *submission =
			fleet_submit(fleet, requester, KEY, TIMEOUT);

		fleet_run(fleet, USEC_PER_SEC);
		for (uint32_t i = 0; i < FAKE_MEMBERS; i++)
			fleet_kill(fleet, i);
		if (forget)
			fleet->log->retention = USEC_PER_SEC;
		fleet_run(fleet, 2 * USEC_PER_SEC);
		for (uint32_t i = 0; i < FAKE_MEMBERS; i++)
			fleet_start(fleet, i);
		fleet_run(fleet, USEC_PER_SEC);
		g_assert_cmpint(submission->code, ==, RESULT_OK);
		submission = fleet_submit(fleet, requester, KEY, TIMEOUT);
		fleet_run(fleet, TIMEOUT);
		g_assert_cmpint(submission->code, ==,
				forget ? RESULT_OK : RESULT_ALREADY_CLAIMED);
		fleet_destroy(fleet);
	}
}

/* A writer does not accept claims until it has read the whole log. */
static void test_behind(void)
{
	struct fleet *fleet = fleet_create(5);
	struct submission *submission;

	fleet->log->outage = true;
	for (uint32_t i = 0; i < FAKE_MEMBERS; i++)
		fleet_start(fleet, i);
	submission = fleet_submit(fleet, 0, KEY, TIMEOUT);
	fleet_run(fleet, TIMEOUT);
	g_assert_cmpint(submission->code, ==, RESULT_LOG_DOWN);
	g_assert_cmpuint(fleet->log->appends, ==, 0);
	fleet->log->outage = false;
	fleet_run(fleet, 10 * USEC_PER_SEC);
	submission = fleet_submit(fleet, 0, KEY, TIMEOUT);
	fleet_run(fleet, TIMEOUT);
	g_assert_cmpint(submission->code, ==, RESULT_OK);
	fleet_check(fleet);
	fleet_destroy(fleet);
}

static void request_deliver(struct fleet *fleet, uint32_t writer,
			    uint64_t attempt)
{
	struct claim_message message = {
		.kind = CLAIM_MESSAGE_REQUEST,
		.request = 9,
		.incarnation = 1,
		.attempt = attempt,
		.key = KEY,
		.decide_usec = 200 * USEC_PER_MSEC,
	};
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	claim_message_encode(&buffer, &message);
	claims_receive(fleet->instances[writer].claims, fleet->members[4].id,
		       buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

/* After a writer has replied that nothing was appended, it must not append a
 * late copy of the same request; a new attempt may be appended. */
static void test_late_copies(void)
{
	struct fleet *fleet = fleet_ready(8);
	const GPtrArray *records =
		fake_log_records(fleet->log, LOG_STREAM_CLAIMS);
	uint32_t writer = fleet_writer(fleet, 0, 0);

	fleet->log->outage = true;
	request_deliver(fleet, writer, 1);
	fleet_run(fleet, USEC_PER_SEC);
	fleet->log->outage = false;
	fleet_run(fleet, 10 * USEC_PER_SEC);
	request_deliver(fleet, writer, 1);
	fleet_run(fleet, USEC_PER_SEC);
	g_assert_cmpuint(records->len, ==, 0);
	request_deliver(fleet, writer, 2);
	fleet_run(fleet, USEC_PER_SEC);
	g_assert_cmpuint(records->len, ==, 1);
	fleet_destroy(fleet);
}

/* A request submitted twice is answered once; one with a negative timeout is
 * answered at once, but not from within the call. */
static void test_bad_calls(void)
{
	struct fleet *fleet = fleet_ready(6);
	struct submission *submission = fleet_submit(fleet, 0, KEY, TIMEOUT);

	claims_submit(fleet->instances[0].claims, 1, KEY, TIMEOUT);
	fleet_run(fleet, TIMEOUT);
	g_assert_cmpint(submission->answers, ==, 1);
	submission = fleet_submit(fleet, 0, KEY + 1, -5);
	g_assert_cmpint(submission->answers, ==, 0);
	fleet_run(fleet, USEC_PER_SEC);
	g_assert_cmpint(submission->answers, ==, 1);
	g_assert_cmpint(submission->code, ==, RESULT_LOG_DOWN);
	fleet_check(fleet);
	fleet_destroy(fleet);
}

/* Random bytes from peers and in the log are ignored. */
static void test_garbage(void)
{
	struct fleet *fleet = fleet_ready(7);
	struct claims *claims = fleet->instances[0].claims;
	struct submission *submission;
	uint8_t bytes[24];

	for (int i = 0; i < 20000; i++) {
		size_t size = (size_t)g_test_rand_int_range(0, sizeof(bytes));

		for (size_t j = 0; j < size; j++)
			bytes[j] = (uint8_t)g_test_rand_int_range(0, 256);
		if (size && i % 2)
			bytes[0] = 0x96 + (i / 2) % 2; /* request or reply */
		claims_receive(claims, fleet->members[1].id, bytes, size);
		if (i % 100 == 0)
			fake_log_put(fleet->log, LOG_STREAM_CLAIMS, bytes,
				     size);
	}
	submission = fleet_submit(fleet, 0, KEY, TIMEOUT);
	fleet_run(fleet, TIMEOUT);
	g_assert_cmpint(submission->code, ==, RESULT_OK);
	fleet_destroy(fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_setup(NULL, NULL, LOG_CRIT);
	g_test_add_func("/claim/faults", test_faults);
	g_test_add_func("/claim/grouped", test_grouped);
	g_test_add_func("/claim/append_rate", test_append_rate);
	g_test_add_func("/claim/late_writers", test_late_writers);
	g_test_add_func("/claim/behind", test_behind);
	g_test_add_func("/claim/late_copies", test_late_copies);
	g_test_add_func("/claim/bad_calls", test_bad_calls);
	g_test_add_func("/claim/garbage", test_garbage);
	return g_test_run();
}
