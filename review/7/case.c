/*
 * A server's report whose answer is lost is carried out late by the store,
 * after the server has reported that it is draining.
 */
#define _GNU_SOURCE
#include "../standin-2/site.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NODES 2
#define CALLERS 8
#define HEARTBEAT_MS 1200
/* After the report whose answer is lost: when the server drains, and when the
 * store carries that report out (1 to 6 s later). */
#define DRAIN_AFTER_MS 3300
#define LATE_MS 5800
#define LEAVE_AFTER_MS 9500
/* drain_ms of the pages. */
#define DRAIN_MS 2000

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"quote\","
	"\"host\":\"site.example\",\"path_prefix\":\"/quote/\","
	"\"route_type\":\"idempotent\",\"timeout_ms\":600,"
	"\"target_latency_ms\":100,\"priority\":2,\"service\":\"settle\","
	"\"max_attempts\":2,\"sticky\":false,\"resumable\":false}],"
	"\"services\":[{\"name\":\"settle\",\"health_path\":\"/healthz\","
	"\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static struct node *nodes[NODES];
static struct runner *leaving;
static volatile bool over;
static volatile int64_t drained_at; /* when the store took that report; or 0 */
static int after_count;
static int run_count;
static int last_id;

static bool settle_serve(struct runner *runner, int fd, struct message *m)
{
	static const char body[] = "{\"quote\":1}";
	char id[TEXT_MAX];
	char headers[TEXT_MAX * 4];
	int64_t late = drained_at ? now_ms() - drained_at : 0;

	header_get(m, "request-id", id);
	__atomic_add_fetch(&run_count, 1, __ATOMIC_RELAXED);
	if (runner == leaving && late > DRAIN_MS) {
		record("DRAIN: %s runs %s, %d ms after the store took its "
		       "draining",
		       runner->id, id, (int)late);
		__atomic_add_fetch(&after_count, 1, __ATOMIC_RELAXED);
	}
	sleep_ms(15);
	snprintf(headers, sizeof(headers),
		 "Request-Id: %s\r\nServer-Signature: %s.%s\r\n", id,
		 runner->id, id);
	return answer_send(fd, 200, headers, body, sizeof(body) - 1);
}

static void *caller(void *arg)
{
	const struct node *node = arg;
	struct message *m = malloc(sizeof(*m));

	while (!over) {
		char request[512];
		int id = __atomic_add_fetch(&last_id, 1, __ATOMIC_RELAXED);
		int fd = connect_to(node->callers, 0);
		int size = snprintf(request, sizeof(request),
				    "GET /quote/a HTTP/1.1\r\n"
				    "Host: site.example\r\n"
				    "Request-Id: d%07x\r\n"
				    "Deadline-Ms: 600\r\n\r\n",
				    (unsigned int)id);

		if (fd >= 0 && send_all(fd, request, (size_t)size) &&
		    message_read(fd, true, 1000, m))
			message_clear(m);
		if (fd >= 0)
			close(fd);
		sleep_ms(100);
	}
	free(m);
	return NULL;
}

/* Reports at the usual interval until that time. */
static void reports_until(int64_t until)
{
	while (now_ms() + HEARTBEAT_MS <= until) {
		sleep_ms(HEARTBEAT_MS);
		runner_report(leaving);
	}
	sleep_until(until);
}

int main(int argc, char **argv)
{
	pthread_t threads[CALLERS];
	char lost[1024];
	int lost_sequence;
	int64_t lost_at;
	bool started = true;

	if (argc < 2)
		return VERDICT_NOT_RUN;
	site_open(argv[1]);
	store_put("keyed.op", "config", config);
	runner_open("i-s1", "settle", "", 6, settle_serve);
	leaving = runner_open("i-s2", "settle", "", 6, settle_serve);
	sleep_ms(100);
	leaving->is_silent = true; /* from here on reports are made here */
	for (int i = 0; i < NODES; i++) {
		char name[32];

		snprintf(name, sizeof(name), "front-%d", i + 1);
		nodes[i] = node_open(name);
	}
	for (int i = 0; i < NODES; i++)
		started = node_start(nodes[i]) && started;
	if (!started) {
		site_close();
		return VERDICT_NOT_RUN;
	}
	for (int i = 0; i < CALLERS; i++)
		pthread_create(&threads[i], NULL, caller, nodes[i % NODES]);
	reports_until(now_ms() + 4000);

	/* The store carries this report out, but late, and does not answer. */
	lost_at = now_ms();
	lost_sequence = ++leaving->sequence;
	runner_report_print(leaving, "ready", lost_sequence, lost,
			    sizeof(lost));
	if (trouble())
		record("%s writes sequence %d (ready) and gets no answer",
		       leaving->id, lost_sequence);
	else
		store_put("keyed.servers", leaving->id, lost);
	reports_until(lost_at + DRAIN_AFTER_MS);

	snprintf(leaving->state, sizeof(leaving->state), "draining");
	runner_report(leaving);
	drained_at = now_ms();
	record("the store has taken sequence %d of %s (draining)",
	       leaving->sequence, leaving->id);
	reports_until(lost_at + LATE_MS - 100);
	if (trouble()) {
		sleep_until(lost_at + LATE_MS);
		store_put("keyed.servers", leaving->id, lost);
		record("the store carries out sequence %d of %s (ready), %d ms "
		       "after it was sent; the newest was %d",
		       lost_sequence, leaving->id, (int)(now_ms() - lost_at),
		       leaving->sequence);
	}
	reports_until(lost_at + LEAVE_AFTER_MS);
	store_put("keyed.servers", leaving->id, NULL);
	record("%s leaves", leaving->id);
	over = true;
	for (int i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	for (int i = 0; i < NODES; i++)
		node_log_record(nodes[i],
				(const char *[]){"backend_changed", "i-s2"}, 2);
	record("requests run %d, by the draining server later than %d ms: %d",
	       run_count, DRAIN_MS, after_count);
	site_close();
	if (run_count == 0)
		_exit(VERDICT_NOT_RUN);
	_exit(after_count > 0 ? VERDICT_BROKEN : VERDICT_HELD);
}
