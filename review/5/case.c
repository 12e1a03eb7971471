/*
 * A planned stop while streams wait for the memory of model servers.
 */
#include "../standin-2/engine.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Callers that keep the servers busy through the other instance. */
#define LIGHT_CALLERS 18
/* Requests to the instance that is stopped. */
#define HEAVY_REQUESTS 3
/* grace_s and lost_ms of the pages. */
#define GRACE_MS 8000
#define LOST_MS 200
#define TIMEOUT_MS 14000

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"digest\","
	"\"host\":\"site.example\",\"path_prefix\":\"/digest/\","
	"\"route_type\":\"streaming\",\"timeout_ms\":14000,"
	"\"target_latency_ms\":2000,\"priority\":2,\"service\":\"llm\","
	"\"max_attempts\":2,\"sticky\":true,\"resumable\":true,"
	"\"gap_aim_ms\":300}],\"services\":[{\"name\":\"llm\","
	"\"health_path\":\"/healthz\",\"max_connections\":470,"
	"\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":12,"
	"\"kv_tokens\":30222,\"kv_token_bytes\":163840,"
	"\"link_mbps\":740000.0,\"moves\":true,\"backups\":true,"
	"\"stride\":14,\"most\":12,\"handle_ttl_s\":0.5,\"switch_s\":6.0,"
	"\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static struct node *stopped;
static struct node *other;
static volatile bool over;

struct heavy {
	char id[64];
	int64_t at; /* after the stop */
	int64_t sent_at;
	int64_t ended_at;
	int status;
	bool whole;
	bool answered;
	pthread_t thread;
};

static struct heavy heavies[HEAVY_REQUESTS];

static bool stream_call(const struct node *node, const char *id, int prompt,
			int output, struct message *m, int64_t *sent_at)
{
	char request[1024];
	int fd = connect_to(node->callers, 0);
	int size = snprintf(request, sizeof(request),
			    "POST /digest/a HTTP/1.1\r\nHost: site.example\r\n"
			    "Request-Id: %s\r\nModel: m\r\n"
			    "Token-Count: %d,%d\r\n"
			    "Prefix-Hash: 5c1e07a2:200,%s:%d\r\n"
			    "Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}",
			    id, prompt, output, id, prompt - 200, TIMEOUT_MS);
	bool is_whole;

	memset(m, 0, sizeof(*m));
	if (fd < 0)
		return false;
	send_all(fd, request, (size_t)size);
	*sent_at = now_ms();
	is_whole = message_read(fd, true, TIMEOUT_MS + 1000, m);
	close(fd);
	return is_whole;
}

static void *light_caller(void *arg)
{
	struct message *m = malloc(sizeof(*m));
	int number = *(int *)arg;

	for (int i = 0; !over; i++) {
		char id[64];
		int64_t sent_at;

		snprintf(id, sizeof(id), "%04x%04x", 0xa000 + number, i);
		stream_call(other, id, 3000, 160, m, &sent_at);
		if (m->status != 200)
			sleep_ms(500);
		message_clear(m);
	}
	free(m);
	return NULL;
}

static void *heavy_caller(void *arg)
{
	struct heavy *heavy = arg;
	struct message *m = malloc(sizeof(*m));

	sleep_until(heavy->at);
	record("%s is sent to %s", heavy->id, stopped->name);
	heavy->whole =
		stream_call(stopped, heavy->id, 6600, 160, m, &heavy->sent_at);
	heavy->ended_at = now_ms();
	heavy->status = m->status;
	heavy->answered = m->status != 0;
	record("%s ends after %d ms: status %d, %s, %s", heavy->id,
	       (int)(heavy->ended_at - heavy->sent_at), heavy->status,
	       heavy->whole ? "whole" : "not whole",
	       engine_has_run(heavy->id) ? "has run" : "has not run");
	message_clear(m);
	free(m);
	return NULL;
}

/* RULES, LOST: a process has read a whole request, and the channel ends
 * without an answer later than lost_ms after its last byte was sent. */
static int lost_count(int64_t stop_at)
{
	int lost = 0;

	for (int i = 0; i < HEAVY_REQUESTS; i++) {
		const struct heavy *heavy = &heavies[i];
		int64_t lasted = heavy->ended_at - heavy->sent_at;

		if (heavy->answered || lasted <= LOST_MS ||
		    lasted >= TIMEOUT_MS ||
		    heavy->ended_at > stop_at + GRACE_MS + 1000)
			continue;
		record("LOST: %s, closed without an answer after %d ms, %s",
		       heavy->id, (int)lasted,
		       engine_has_run(heavy->id) ? "has run" : "has not run");
		lost++;
	}
	return lost;
}

int main(int argc, char **argv)
{
	static int numbers[LIGHT_CALLERS];
	static pthread_t lights[LIGHT_CALLERS];
	int64_t stop_at;
	int lost;

	if (argc < 2)
		return VERDICT_NOT_RUN;
	site_open(argv[1]);
	engine_event_ms = 18;
	store_put("keyed.op", "config", config);
	runner_open("i-p1", "llm", "prefill", 12, engine_serve);
	runner_open("i-d1", "llm", "decode", 12, engine_serve);
	runner_open("i-d2", "llm", "decode", 12, engine_serve);
	stopped = node_open("front-1");
	other = node_open("front-2");
	if (!node_start(stopped) || !node_start(other)) {
		site_close();
		return VERDICT_NOT_RUN;
	}
	sleep_ms(2000);
	for (int i = 0; i < LIGHT_CALLERS; i++) {
		numbers[i] = i;
		pthread_create(&lights[i], NULL, light_caller, &numbers[i]);
	}
	sleep_ms(5000);
	stop_at = now_ms();
	if (trouble()) {
		record("SIGTERM to %s", stopped->name);
		kill(stopped->pid, SIGTERM);
	}
	for (int i = 0; i < HEAVY_REQUESTS; i++) {
		heavies[i].at = stop_at + 100 + i * 300;
		snprintf(heavies[i].id, sizeof(heavies[i].id), "bb%06x", i);
		pthread_create(&heavies[i].thread, NULL, heavy_caller,
			       &heavies[i]);
	}
	for (int i = 0; i < HEAVY_REQUESTS; i++)
		pthread_join(heavies[i].thread, NULL);
	over = true;
	lost = lost_count(stop_at);
	node_log_record(stopped, (const char *[]){"request_end"}, 1);
	node_log_record(stopped, (const char *[]){"drained"}, 1);
	record("requests lost: %d of %d", lost, HEAVY_REQUESTS);
	site_close();
	_exit(lost > 0 ? VERDICT_BROKEN : VERDICT_HELD);
}
