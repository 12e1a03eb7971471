#define _GNU_SOURCE
#include "engine.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOLDS_MAX 4096
#define RUNS_MAX 8192
#define HOLD_MS 2000
/* Prompt tokens that a prefill server reads in a millisecond. */
#define PREFILL_TOKENS_PER_MS 33

int engine_tokens = 30222;
int engine_event_ms = 10;
int engine_extra_interval;

/* The last answer of any server, to be sent a second time. */
static char last_answer[65536];
static size_t last_size;
static char last_id[TEXT_MAX];

/* Memory that a reservation or a stream takes at a server. */
struct hold {
	const struct runner *runner;
	int tokens;
	int64_t until; /* of a reservation; of a run: far off */
	bool in_use;
	bool runs;
};

static struct hold holds[HOLDS_MAX];
static char runs[RUNS_MAX][TEXT_MAX];
static int run_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static int used_tokens(const struct runner *runner, int *count)
{
	int64_t now = now_ms();
	int sum = 0;

	*count = 0;
	for (int i = 0; i < HOLDS_MAX; i++) {
		struct hold *hold = &holds[i];

		if (hold->in_use && !hold->runs && now >= hold->until)
			hold->in_use = false;
		if (!hold->in_use || hold->runner != runner)
			continue;
		sum += hold->tokens;
		++*count;
	}
	return sum;
}

/* Takes memory and a slot; -1 when there is none. */
static int hold_take(const struct runner *runner, int tokens, bool is_run)
{
	int count;
	int used = used_tokens(runner, &count);

	if (used + tokens > engine_tokens || count >= runner->slots)
		return -1;
	for (int i = 1; i < HOLDS_MAX; i++) {
		if (holds[i].in_use)
			continue;
		holds[i] = (struct hold){runner, tokens, now_ms() + HOLD_MS,
					 true, is_run};
		return i;
	}
	return -1;
}

static void hold_drop(int i)
{
	pthread_mutex_lock(&lock);
	if (i > 0 && i < HOLDS_MAX)
		holds[i].in_use = false;
	pthread_mutex_unlock(&lock);
}

bool engine_has_run(const char *id)
{
	bool found = false;

	pthread_mutex_lock(&lock);
	for (int i = 0; i < run_count; i++)
		found = found || strcmp(runs[i], id) == 0;
	pthread_mutex_unlock(&lock);
	return found;
}

static bool hold_serve(struct runner *runner, int fd, const struct message *m)
{
	const char *tokens = m->body ? strstr(m->body, "\"tokens\":") : NULL;
	char text[64];
	int i;

	if (!tokens)
		return answer_send(fd, 400, "", "", 0);
	pthread_mutex_lock(&lock);
	i = hold_take(runner, atoi(tokens + 9), false);
	pthread_mutex_unlock(&lock);
	if (i < 0)
		return answer_send(fd, 503, "", "", 0);
	snprintf(text, sizeof(text), "{\"hold\":\"h%d\"}", i);
	return answer_send(fd, 200, "Content-Type: application/json\r\n", text,
			   strlen(text));
}

static bool prefill_serve(int fd, const struct message *m, const char *id)
{
	static int count;
	char headers[TEXT_MAX + 64];
	char tokens[TEXT_MAX];
	char text[64];

	header_get(m, "token-count", tokens);
	sleep_ms(atoi(tokens) / PREFILL_TOKENS_PER_MS);
	snprintf(headers, sizeof(headers),
		 "Request-Id: %s\r\nContent-Type: application/json\r\n", id);
	snprintf(text, sizeof(text),
		 "{\"handle\":\"kv%d\",\"tokens\":%d,\"version\":1}",
		 __atomic_add_fetch(&count, 1, __ATOMIC_RELAXED), atoi(tokens));
	return answer_send(fd, 200, headers, text, strlen(text));
}

static bool has_left(int fd)
{
	struct pollfd pfd = {.fd = fd, .events = POLLIN};

	return poll(&pfd, 1, 0) > 0;
}

/* Keeps a part of an answer, from the place where it belongs. */
static size_t answer_keep(char *copy, size_t size, const char *data, size_t n)
{
	if (size + n > sizeof(last_answer))
		return size;
	memcpy(copy + size, data, n);
	return size + n;
}

static void last_set(const char *id, const char *copy, size_t size)
{
	pthread_mutex_lock(&lock);
	memcpy(last_answer, copy, size);
	last_size = size;
	snprintf(last_id, sizeof(last_id), "%s", id);
	pthread_mutex_unlock(&lock);
}

/* Sends the last answer once more, to whoever waits on this channel. */
static void extra_send(const struct runner *runner, int fd, const char *id)
{
	static int count;
	int number = __atomic_add_fetch(&count, 1, __ATOMIC_RELAXED);

	if (engine_extra_interval == 0 || number % engine_extra_interval != 0)
		return;
	pthread_mutex_lock(&lock);
	if (last_size > 0 && strcmp(last_id, id) != 0) {
		record("%s: a second answer to %s arrives on the channel of %s",
		       runner->id, last_id, id);
		(void)send_all(fd, last_answer, last_size);
	}
	pthread_mutex_unlock(&lock);
}

static bool events_send(int fd, const char *id, int count, char *copy,
			size_t *kept)
{
	for (int i = 1; i <= count; i++) {
		char event[128];
		char chunk[192];
		int size = snprintf(event, sizeof(event),
				    "id: %d\ndata: %.32s-%d\n\n", i, id, i);
		int n = snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", size,
				 event);

		sleep_ms(engine_event_ms);
		/* A server drops a request when its channel closes. */
		if (has_left(fd) || !send_all(fd, chunk, (size_t)n))
			return false;
		*kept = answer_keep(copy, *kept, chunk, (size_t)n);
	}
	*kept = answer_keep(copy, *kept, "0\r\n\r\n", 5);
	return send_all(fd, "0\r\n\r\n", 5);
}

static bool run_serve(struct runner *runner, int fd, const struct message *m,
		      const char *id)
{
	char text[TEXT_MAX];
	char head[TEXT_MAX * 2];
	int held = 0;
	int prompt;
	int output = 0;
	char *copy;
	size_t kept;
	bool whole;

	header_get(m, "token-count", text);
	prompt = atoi(text);
	if (strchr(text, ','))
		output = atoi(strchr(text, ',') + 1);
	if (header_get(m, "hold", text))
		held = atoi(text + 1);
	pthread_mutex_lock(&lock);
	if (held > 0 && held < HOLDS_MAX && holds[held].in_use)
		holds[held].runs = true;
	else
		held = hold_take(runner, prompt, true);
	if (held > 0 && run_count < RUNS_MAX)
		snprintf(runs[run_count++], sizeof(runs[0]), "%s", id);
	pthread_mutex_unlock(&lock);
	snprintf(head, sizeof(head), "Request-Id: %.64s\r\nNot-Executed: 1\r\n",
		 id);
	if (held <= 0)
		return answer_send(fd, 503, head, "", 0);
	record("%s runs %s", runner->id, id);
	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nRequest-Id: %.64s\r\n"
		 "Server-Signature: %.64s.%.64s\r\n"
		 "Content-Type: text/event-stream\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n",
		 id, runner->id, id);
	extra_send(runner, fd, id);
	copy = malloc(sizeof(last_answer));
	kept = answer_keep(copy, 0, head, strlen(head));
	whole = send_all(fd, head, strlen(head)) &&
		events_send(fd, id, output, copy, &kept);
	if (whole)
		last_set(id, copy, kept);
	free(copy);
	hold_drop(held);
	record("%s ends %s %s", runner->id, id,
	       whole ? "whole" : "(its channel closed)");
	return whole;
}

bool engine_serve(struct runner *runner, int fd, struct message *m)
{
	char id[TEXT_MAX];
	char text[TEXT_MAX];
	char headers[TEXT_MAX + 64];
	bool is_prefill = header_get(m, "stage", text);

	if (strncmp(m->line, "POST /-/hold-take ", 18) == 0)
		return hold_serve(runner, fd, m);
	if (strncmp(m->line, "DELETE /-/hold-drop/h", 21) == 0) {
		hold_drop(atoi(m->line + 21));
		return answer_send(fd, 200, "", "", 0);
	}
	if (strncmp(m->line, "DELETE ", 7) == 0)
		return answer_send(fd, 200, "", "", 0);
	if (strncmp(m->line, "POST /-/order ", 14) == 0) {
		record("%s gets an order: %s", runner->id,
		       m->body ? m->body : "");
		return answer_send(fd, 409, "", "", 0);
	}
	header_get(m, "request-id", id);
	snprintf(headers, sizeof(headers), "Request-Id: %s\r\n", id);
	if (is_prefill != (strcmp(runner->stage, "prefill") == 0))
		return answer_send(fd, 421, headers, "", 0);
	return is_prefill ? prefill_serve(fd, m, id)
			  : run_serve(runner, fd, m, id);
}
