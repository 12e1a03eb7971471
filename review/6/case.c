/*
 * Planned stops in turn, while callers use channels that they have kept open.
 */
#define _GNU_SOURCE
#include "../standin-2/site.h"

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define NODES 4
/* Channels to each instance that are kept for use after its stop. */
#define CHANNELS 120
/* When they are used again, after the SIGTERM. */
#define FROM_MS 2400
#define UNTIL_MS 3200
/* gap_s of the days: from one stop to the next. */
#define GAP_MS 1300
#define RUN_MS 100000
#define ANSWER_MS 1500
#define IDS_MAX (1 << 18)

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"meter\","
	"\"host\":\"site.example\",\"path_prefix\":\"/meter/\","
	"\"route_type\":\"non_idempotent\",\"timeout_ms\":600,"
	"\"target_latency_ms\":100,\"priority\":2,\"service\":\"settle\","
	"\"max_attempts\":1,\"sticky\":false,\"resumable\":false}],"
	"\"services\":[{\"name\":\"settle\",\"health_path\":\"/healthz\","
	"\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/* Runs of each request, by its number. */
static unsigned char runs[IDS_MAX];
static int last_id;
static int sent_count;
static int unread_count;
static int lost_count;
static int stop_count;

enum channel_state {
	CHANNEL_IDLE,
	CHANNEL_SENT,
	CHANNEL_DONE,
};

struct channel {
	int fd;
	enum channel_state state;
	int id;
	int64_t send_at;
	int64_t sent_at;
	int64_t ended_at;
	char answer[2048];
	size_t size;
	bool whole;
};

static bool settle_serve(struct runner *runner, int fd, struct message *m)
{
	static const char body[] = "{\"read\":1}";
	char id[TEXT_MAX];
	char headers[TEXT_MAX * 4];
	long number;

	header_get(m, "request-id", id);
	number = strtol(id + 1, NULL, 16);
	if (number > 0 && number < IDS_MAX)
		__atomic_add_fetch(&runs[number], 1, __ATOMIC_RELAXED);
	sleep_ms(15);
	snprintf(headers, sizeof(headers),
		 "Request-Id: %s\r\nServer-Signature: %s.%s\r\n", id,
		 runner->id, id);
	return answer_send(fd, 200, headers, body, sizeof(body) - 1);
}

static bool request_send(struct channel *channel)
{
	char text[512];
	int size;

	channel->id = __atomic_add_fetch(&last_id, 1, __ATOMIC_RELAXED);
	channel->size = 0;
	channel->whole = false;
	channel->sent_at = now_ms();
	size = snprintf(text, sizeof(text),
			"POST /meter/a HTTP/1.1\r\nHost: site.example\r\n"
			"Request-Id: c%07x\r\nDeadline-Ms: 600\r\n"
			"Content-Length: 2\r\n\r\n{}",
			(unsigned int)channel->id);
	return channel->id < IDS_MAX &&
	       send_all(channel->fd, text, (size_t)size);
}

/* Opens the channel and uses it once. */
static bool channel_open(const struct node *node, struct channel *channel)
{
	struct message *m = malloc(sizeof(*m));
	bool is_open;

	memset(channel, 0, sizeof(*channel));
	channel->fd = connect_to(node->callers, 0);
	is_open = channel->fd >= 0 && request_send(channel) &&
		  message_read(channel->fd, true, ANSWER_MS, m) &&
		  m->status == 200;
	if (channel->fd >= 0)
		message_clear(m);
	free(m);
	return is_open;
}

static bool answer_is_whole(const struct channel *channel)
{
	const char *end = strstr(channel->answer, "\r\n\r\n");
	const char *length = strcasestr(channel->answer, "content-length:");

	return end && length &&
	       channel->size >= (size_t)(end + 4 - channel->answer) +
					strtoul(length + 15, NULL, 10);
}

static void channel_end(struct channel *channel)
{
	channel->state = CHANNEL_DONE;
	channel->ended_at = now_ms();
	close(channel->fd);
}

static void channel_read(struct channel *channel)
{
	size_t room = sizeof(channel->answer) - 1 - channel->size;
	ssize_t n = recv(channel->fd, channel->answer + channel->size, room,
			 MSG_DONTWAIT);

	/* Closed before the caller has used it. */
	if (n <= 0 && channel->state == CHANNEL_IDLE) {
		channel_end(channel);
		return;
	}
	if (n > 0) {
		channel->size += (size_t)n;
		channel->answer[channel->size] = '\0';
		channel->whole = answer_is_whole(channel);
	}
	if (n <= 0 || channel->whole)
		channel_end(channel);
}

static void channel_tick(struct channel *channel)
{
	int64_t now = now_ms();

	if (channel->state == CHANNEL_IDLE && now >= channel->send_at) {
		channel->state = CHANNEL_SENT;
		__atomic_add_fetch(&sent_count, 1, __ATOMIC_RELAXED);
		if (!request_send(channel))
			channel_end(channel);
	} else if (channel->state == CHANNEL_SENT &&
		   now - channel->sent_at > ANSWER_MS) {
		channel_end(channel);
	}
}

/* RULES, LOST: a process has read a whole request, and the channel ends without
 * a complete answer once it has been passed on to a runner. */
static void channel_judge(const struct node *node,
			  const struct channel *channel, int64_t stop_at)
{
	int lasted = (int)(channel->ended_at - channel->sent_at);

	if (channel->whole || channel->sent_at == 0 ||
	    channel->sent_at < stop_at || lasted >= 600)
		return;
	if (!__atomic_load_n(&runs[channel->id], __ATOMIC_RELAXED)) {
		__atomic_add_fetch(&unread_count, 1, __ATOMIC_RELAXED);
		return;
	}
	record("LOST: c%07x, sent to %s %d ms after its SIGTERM, has run, and "
	       "its channel was closed after %d ms with %d bytes of an answer",
	       (unsigned int)channel->id, node->name,
	       (int)(channel->sent_at - stop_at), lasted, (int)channel->size);
	__atomic_add_fetch(&lost_count, 1, __ATOMIC_RELAXED);
}

static void channels_use(struct channel *channels, int count, int64_t until)
{
	struct pollfd pfds[CHANNELS];
	int left = count;

	while (left > 0 && now_ms() < until) {
		int watched = 0;
		int at[CHANNELS];

		left = 0;
		for (int i = 0; i < count; i++) {
			channel_tick(&channels[i]);
			if (channels[i].state == CHANNEL_DONE)
				continue;
			left++;
			pfds[watched] =
				(struct pollfd){channels[i].fd, POLLIN, 0};
			at[watched++] = i;
		}
		if (poll(pfds, (nfds_t)watched, 1) <= 0)
			continue;
		for (int i = 0; i < watched; i++)
			if (pfds[i].revents)
				channel_read(&channels[at[i]]);
	}
}

struct round {
	struct node *node;
	pthread_t thread;
	unsigned int seed;
};

/* Keeps channels to the instance, has it stopped, uses them, starts it again.
 */
static void *round_run(void *arg)
{
	struct round *round = arg;
	struct node *node = round->node;
	struct channel *channels = calloc(CHANNELS, sizeof(*channels));
	int64_t stop_at;
	int count = 0;

	for (int i = 0; i < CHANNELS; i++) {
		if (channel_open(node, &channels[count]))
			count++;
		else if (channels[count].fd >= 0)
			close(channels[count].fd);
	}
	stop_at = now_ms();
	if (trouble()) {
		kill(node->pid, SIGTERM);
		stop_count++;
	}
	for (int i = 0; i < count; i++)
		channels[i].send_at =
			stop_at + FROM_MS +
			rand_r(&round->seed) % (UNTIL_MS - FROM_MS);
	for (int i = 0; i < count; i++)
		channels[i].sent_at = 0;
	channels_use(channels, count, stop_at + UNTIL_MS + ANSWER_MS);
	for (int i = 0; i < count; i++)
		channel_judge(node, &channels[i], stop_at);
	free(channels);
	if (trouble()) {
		node_wait(node, 9000);
		if (!node_start(node))
			record("%s doesn't start again", node->name);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	static struct round rounds[NODES];
	bool started = true;
	int repeats = 0;

	if (argc < 2)
		return VERDICT_NOT_RUN;
	site_open(argv[1]);
	store_put("keyed.op", "config", config);
	runner_open("i-s1", "settle", "", 6, settle_serve);
	runner_open("i-s2", "settle", "", 6, settle_serve);
	for (int i = 0; i < NODES; i++) {
		char name[32];

		snprintf(name, sizeof(name), "front-%d", i + 1);
		rounds[i].node = node_open(name);
		rounds[i].seed = (unsigned int)(getpid() * NODES + i);
	}
	for (int i = 0; i < NODES; i++)
		started = node_start(rounds[i].node) && started;
	sleep_ms(2000);
	for (int turn = 0; started && now_ms() < RUN_MS; turn++) {
		struct round *round = &rounds[turn % NODES];

		if (turn >= NODES)
			pthread_join(round->thread, NULL);
		pthread_create(&round->thread, NULL, round_run, round);
		sleep_ms(GAP_MS);
	}
	for (int i = 0; started && i < NODES; i++)
		pthread_join(rounds[i].thread, NULL);
	for (int i = 0; i < IDS_MAX; i++)
		repeats += runs[i] > 1;
	record("stops %d, requests on kept channels %d, closed unread %d, "
	       "run twice %d, run and lost %d",
	       stop_count, sent_count, unread_count, repeats, lost_count);
	site_close();
	if (!started || sent_count == 0)
		_exit(VERDICT_NOT_RUN);
	_exit(lost_count > 0 ? VERDICT_BROKEN : VERDICT_HELD);
}
