/*
 * Answers whose framing is written in any form do not end the process, and
 * valid ones are relayed whole.
 */
#include <string.h>

#include "script.h"
#include "world.h"

#define ANSWERS 1500
/* Each is sent once for each of its bytes. */
#define CUT_ANSWERS 5
#define BODY "hello, world"
#define BODY_SIZE 12
#define CHUNKS "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"

enum body_form {
	BODY_LENGTH,
	BODY_CHUNKS,
	BODY_BOTH, /* chunks, and a length that does not count */
	BODY_UNTIL_CLOSE,
	BODY_FORMS,
};

/* What a server may send for a list of one element; %s is the element. */
static const char *const values[] = {
	"%s",	   " %s",  "\t%s",  "%s ",     " %s\t",	 " \t%s \t ",
	" %s, %s", ",%s,", " , %s", "\r\n %s", "\n\t%s", " %s,\r\n %s",
};

static const char *const broken_lengths[] = {
	"+12",
	"-12",
	"12x",
	"1 2",
	"0x12",
	"12, 13",
	"",
	",",
	"12;a",
	"12345678901234567890",
	"99999999999999999999999",
};

static const char *const broken_codings[] = {
	"gzip",
	"gzip, chunked",
	"chunked, gzip",
	"chunked;a=b",
	"",
	" ,",
	"chunke",
	"chunkedd",
	"\"chunked\"",
	"identity;chunked",
	"chunked chunked",
};

static const char *const connections[] = {
	"close", "keep-alive", "Keep-Alive, x-b", "x-b,CLOSE", "upgrade",
};

struct answer {
	GString *text;
	bool is_valid;
	bool closes; /* the end of the connection ends the body */
};

static bool chance(int percent)
{
	return g_test_rand_int_range(0, 100) < percent;
}

static const char *pick(const char *const *list, gsize count)
{
	return list[g_test_rand_int_range(0, (gint32)count)];
}

#define PICK(list) pick(list, G_N_ELEMENTS(list))

static void line_end(GString *text)
{
	g_string_append(text, chance(80) ? "\r\n" : "\n");
}

static void append_in_any_case(GString *text, const char *word)
{
	for (; *word; word++)
		g_string_append_c(text,
				  chance(50) ? g_ascii_toupper(*word) : *word);
}

static void field_append(GString *text, const char *name, const char *value)
{
	append_in_any_case(text, name);
	g_string_append(text, chance(10) ? " :" : ":");
	g_string_append(text, value);
	line_end(text);
}

static void element_append(GString *text, const char *name, const char *element)
{
	g_autoptr(GString) value = g_string_new(NULL);
	const char *form = PICK(values);

	for (; *form; form++) {
		if (*form != '%') {
			g_string_append_c(value, *form);
			continue;
		}
		append_in_any_case(value, element);
		form++;
	}
	field_append(text, name, value->str);
}

static void framing_append(struct answer *answer, enum body_form form)
{
	GString *text = answer->text;
	int repeats = chance(20) ? 2 : 1;

	for (int i = 0; i < repeats && form == BODY_LENGTH; i++)
		element_append(text, "content-length", "12");
	if (form == BODY_BOTH)
		element_append(text, "content-length", "7");
	for (int i = 0; i < repeats; i++)
		if (form == BODY_CHUNKS || form == BODY_BOTH)
			element_append(text, "transfer-encoding", "chunked");
	if (form == BODY_UNTIL_CLOSE && chance(50))
		element_append(text, "transfer-encoding", "identity");
	if (!answer->is_valid && chance(50))
		field_append(text, "transfer-encoding", PICK(broken_codings));
	else if (!answer->is_valid)
		field_append(text, "content-length", PICK(broken_lengths));
}

static struct answer answer_create(void)
{
	enum body_form form = g_test_rand_int_range(0, BODY_FORMS);
	struct answer answer = {
		.text = g_string_new(NULL),
		.is_valid = chance(70),
		.closes = form == BODY_UNTIL_CLOSE,
	};

	if (chance(10))
		g_string_append(answer.text, "HTTP/1.1 103 Early Hints\r\n"
					     "content-length: x\r\n\r\n");
	g_string_append(answer.text, "HTTP/1.1 200 OK");
	line_end(answer.text);
	if (chance(50))
		element_append(answer.text, "connection", PICK(connections));
	framing_append(&answer, form);
	field_append(answer.text, "x-last", " \tvalue ");
	line_end(answer.text);
	g_string_append(answer.text, form == BODY_CHUNKS || form == BODY_BOTH
					     ? CHUNKS
					     : BODY);
	return answer;
}

/* Bytes that are no answer at all. */
static void answer_spoil(struct answer *answer)
{
	for (int edits = g_test_rand_int_range(1, 4); edits > 0; edits--)
		answer->text->str[g_test_rand_int_range(
			0, (gint32)answer->text->len)] =
			(char)g_test_rand_int_range(0, 256);
}

/* Sends the bytes up to each cut, and lets the client read them. */
static void answer_send(struct world *world, struct script *script,
			const GString *text, const size_t *cuts, int count)
{
	size_t at = 0;

	for (int i = 0; i <= count && !world->done; i++) {
		size_t end = i < count ? MAX(cuts[i], at) : text->len;

		if (end > at)
			raw_send(script->fd, text->str + at, end - at);
		at = end;
		world_iterate(world, 2);
	}
}

static void answer_play(struct world *world, struct script *script,
			const struct answer *answer, const size_t *cuts,
			int count)
{
	int accepted = script->accepted;

	world_call(world, (struct web_call_spec){.address = script->address,
						 .idle_usec = USEC_PER_SEC,
						 .fresh = chance(50)});
	while (!script_receive(script, CONN_KEEP))
		world_iterate(world, 1);
	g_assert_cmpint(script->accepted, ==, accepted + 1);
	answer_send(world, script, answer->text, cuts, count);
	if (answer->closes)
		script_close(script, CONN_CLOSE);
	for (int i = 0; i < 50 && !world->done; i++)
		world_iterate(world, 1);
	/* What is incomplete ends by its time-outs. */
	for (int i = 0; i < 40 && !world->done; i++) {
		clock_advance(world->clock,
			      clock_now(world->clock) + USEC_PER_SEC);
		world_iterate(world, 2);
	}
	g_assert_true(world->done);
	/* A reset keeps no port occupied. */
	if (script->fd >= 0)
		script_close(script, CONN_RESET);
	world_iterate(world, 2);
}

static void answer_check(const struct world *world, const struct answer *answer)
{
	if (world->result.ok != answer->is_valid)
		g_error("%s (%s): %s", answer->is_valid ? "lost" : "accepted",
			world->result.text ? world->result.text : "whole",
			answer->text->str);
	if (!answer->is_valid)
		return;
	g_assert_cmpint(world->status, ==, 200);
	g_assert_cmpstr(world->body->str, ==, BODY);
	g_assert_nonnull(strstr(world->heads->str, "x-last: value\n"));
}

static void test_any(struct world *world, gconstpointer data)
{
	struct script script;

	script_setup(&script);
	for (int i = 0; i < ANSWERS; i++) {
		struct answer answer = answer_create();
		bool is_spoilt = chance(20);
		size_t cuts[3];
		int count = g_test_rand_int_range(0, G_N_ELEMENTS(cuts) + 1);

		if (is_spoilt)
			answer_spoil(&answer);
		for (int k = 0; k < count; k++)
			cuts[k] = (size_t)g_test_rand_int_range(
				0, (gint32)answer.text->len);
		answer_play(world, &script, &answer, cuts, count);
		if (!is_spoilt)
			answer_check(world, &answer);
		g_string_free(answer.text, TRUE);
	}
	script_teardown(&script);
}

/* A head or body that arrives in two parts. */
static void test_cuts(struct world *world, gconstpointer data)
{
	struct script script;

	script_setup(&script);
	for (int i = 0; i < CUT_ANSWERS; i++) {
		struct answer answer = answer_create();

		for (size_t cut = 0; cut < answer.text->len; cut++) {
			answer_play(world, &script, &answer, &cut, 1);
			answer_check(world, &answer);
		}
		g_string_free(answer.text, TRUE);
	}
	script_teardown(&script);
}

/* More fields than h2o's client takes. */
static void test_many_fields(struct world *world, gconstpointer data)
{
	struct answer answer = {
		.text = g_string_new("HTTP/1.1 200 OK\r\n"),
		.is_valid = true,
	};
	struct script script;

	script_setup(&script);

	for (int i = 0; i < 300; i++)
		g_string_append_printf(answer.text, "x-%d: %d\r\n", i, i);
	g_string_append(answer.text, "x-last: value\r\n"
				     "content-length: 12\r\n\r\n" BODY);
	answer_play(world, &script, &answer, NULL, 0);
	answer_check(world, &answer);
	g_assert_nonnull(strstr(world->heads->str, "x-299: 299\n"));
	script_teardown(&script);
	g_string_free(answer.text, TRUE);
}

#define TEST(name, fn)                                                         \
	g_test_add("/web/answers/" name, struct world, NULL, world_setup, fn,  \
		   world_teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	TEST("any", test_any);
	TEST("cuts", test_cuts);
	TEST("many-fields", test_many_fields);
	return g_test_run();
}
