#define _GNU_SOURCE
#include "site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#ifndef PROGRAM
#define PROGRAM "target/platform/jtforward"
#endif
#define HEARTBEAT_MS 1200
#define TOPICS_MAX 32
#define RECORDS_MAX 20000
#define NODES_MAX 16
#define START_MS 10000

static struct timespec started_at;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char folder_path[TEXT_MAX];
static struct node nodes[NODES_MAX];
static int node_count;

/* ---- time and record ---- */

int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (now.tv_sec - started_at.tv_sec) * 1000 +
	       (now.tv_nsec - started_at.tv_nsec) / 1000000;
}

void sleep_ms(int64_t ms)
{
	struct timespec left = {ms / 1000, ms % 1000 * 1000000};

	while (ms > 0 && nanosleep(&left, &left) != 0 && errno == EINTR)
		continue;
}

void sleep_until(int64_t at_ms)
{
	sleep_ms(at_ms - now_ms());
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	if (record_file) {
		int64_t now = now_ms();

		fprintf(record_file, "%4d.%03d ", (int)(now / 1000),
			(int)(now % 1000));
		va_start(args, format);
		vfprintf(record_file, format, args);
		va_end(args);
		fputc('\n', record_file);
		fflush(record_file);
	}
	pthread_mutex_unlock(&record_lock);
}

bool trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

/* ---- HTTP/1.1 ---- */

static void address_set(struct sockaddr_in *to, const char *address)
{
	char text[TEXT_MAX];
	char *colon;

	snprintf(text, sizeof(text), "%s", address);
	colon = strchr(text, ':');
	*to = (struct sockaddr_in){.sin_family = AF_INET};
	if (!colon)
		return;
	*colon = '\0';
	to->sin_port = htons((uint16_t)atoi(colon + 1));
	inet_pton(AF_INET, text, &to->sin_addr);
}

int listen_any(char address[TEXT_MAX])
{
	struct sockaddr_in to;
	socklen_t size = sizeof(to);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address_set(&to, "127.0.0.1:0");
	if (fd < 0 || bind(fd, (struct sockaddr *)&to, sizeof(to)) != 0 ||
	    listen(fd, 1024) != 0 ||
	    getsockname(fd, (struct sockaddr *)&to, &size) != 0)
		exit(VERDICT_NOT_RUN);
	snprintf(address, TEXT_MAX, "127.0.0.1:%d", ntohs(to.sin_port));
	return fd;
}

int connect_to(const char *address, int rcvbuf)
{
	struct sockaddr_in to;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address_set(&to, address);
	if (rcvbuf > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof(rcvbuf));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return fd;
	close(fd);
	return -1;
}

bool send_all(int fd, const void *data, size_t size)
{
	const char *at = data;

	while (size > 0) {
		ssize_t n = send(fd, at, size, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		at += n;
		size -= (size_t)n;
	}
	return true;
}

/* Reads up to size bytes before the time; 0 at the end or then. */
static size_t read_some(int fd, char *out, size_t size, int64_t until,
			struct message *m)
{
	int64_t left = until - now_ms();
	struct pollfd pfd = {.fd = fd, .events = POLLIN};
	ssize_t n;

	if (left < 0 || poll(&pfd, 1, (int)left) <= 0)
		return 0;
	n = recv(fd, out, size, 0);
	if (n > 0)
		return (size_t)n;
	m->is_closed = true;
	return 0;
}

static bool read_exactly(int fd, char *out, size_t size, int64_t until,
			 struct message *m)
{
	while (size > 0) {
		size_t n = read_some(fd, out, size, until, m);

		if (n == 0)
			return false;
		out += n;
		size -= n;
	}
	return true;
}

bool header_get(const struct message *m, const char *name, char out[TEXT_MAX])
{
	size_t size = strlen(name);
	const char *line = strchr(m->head, '\n');

	while (line && line[1]) {
		line++;
		if (strncasecmp(line, name, size) == 0 && line[size] == ':') {
			const char *value = line + size + 1;

			while (*value == ' ')
				value++;
			snprintf(out, TEXT_MAX, "%.*s",
				 (int)strcspn(value, "\r\n"), value);
			return true;
		}
		line = strchr(line, '\n');
	}
	out[0] = '\0';
	return false;
}

/* A head is read byte by byte, so that nothing beyond it is taken. */
static bool head_read(int fd, int64_t until, struct message *m)
{
	size_t size = 0;

	while (size + 1 < sizeof(m->head)) {
		if (!read_exactly(fd, m->head + size, 1, until, m))
			return false;
		m->head[++size] = '\0';
		if (size >= 4 && memcmp(m->head + size - 4, "\r\n\r\n", 4) == 0)
			return true;
	}
	return false;
}

static bool body_add(struct message *m, const char *data, size_t size)
{
	m->body = realloc(m->body, m->body_size + size + 1);
	memcpy(m->body + m->body_size, data, size);
	m->body_size += size;
	m->body[m->body_size] = '\0';
	return true;
}

static bool chunk_line_read(int fd, char *line, size_t max, int64_t until,
			    struct message *m)
{
	size_t size = 0;

	while (size + 1 < max) {
		if (!read_exactly(fd, line + size, 1, until, m))
			return false;
		line[++size] = '\0';
		if (line[size - 1] == '\n')
			return true;
	}
	return false;
}

static bool chunks_read(int fd, int64_t until, struct message *m)
{
	for (;;) {
		char line[64];
		char data[4096];
		size_t size;

		if (!chunk_line_read(fd, line, sizeof(line), until, m))
			return false;
		size = strtoul(line, NULL, 16);
		if (size == 0)
			return chunk_line_read(fd, line, sizeof(line), until,
					       m);
		while (size > 0) {
			size_t part = size < sizeof(data) ? size : sizeof(data);

			if (!read_exactly(fd, data, part, until, m))
				return false;
			body_add(m, data, part);
			size -= part;
		}
		if (!chunk_line_read(fd, line, sizeof(line), until, m))
			return false;
	}
}

static bool sized_read(int fd, size_t size, int64_t until, struct message *m)
{
	m->body = malloc(size + 1);
	m->body_size = size;
	m->body[size] = '\0';
	return read_exactly(fd, m->body, size, until, m);
}

bool message_read(int fd, bool is_answer, int timeout_ms, struct message *m)
{
	int64_t until = now_ms() + timeout_ms;
	char text[TEXT_MAX];

	memset(m, 0, sizeof(*m));
	if (!head_read(fd, until, m))
		return false;
	snprintf(m->line, sizeof(m->line), "%.*s",
		 (int)strcspn(m->head, "\r\n"), m->head);
	if (is_answer && strlen(m->line) > 9)
		m->status = atoi(m->line + 9);
	if (header_get(m, "transfer-encoding", text))
		m->is_whole = chunks_read(fd, until, m);
	else if (header_get(m, "content-length", text))
		m->is_whole = sized_read(fd, strtoul(text, NULL, 10), until, m);
	else
		m->is_whole = true;
	return m->is_whole;
}

void message_clear(struct message *m)
{
	free(m->body);
	m->body = NULL;
}

bool answer_send(int fd, int status, const char *headers, const void *body,
		 size_t size)
{
	char head[1024];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n",
			 status, headers ? headers : "", size);

	return send_all(fd, head, (size_t)n) && send_all(fd, body, size);
}

struct accepted {
	int fd;
	void *ctx;
	bool (*serve)(void *ctx, int fd, struct message *m);
};

static void *connection_thread(void *arg)
{
	struct accepted accepted = *(struct accepted *)arg;
	struct message *m = malloc(sizeof(*m));
	bool goes_on = true;

	free(arg);
	while (goes_on && message_read(accepted.fd, false, 60000, m)) {
		goes_on = accepted.serve(accepted.ctx, accepted.fd, m);
		message_clear(m);
	}
	message_clear(m);
	free(m);
	close(accepted.fd);
	return NULL;
}

struct listener {
	int fd;
	void *ctx;
	bool (*serve)(void *ctx, int fd, struct message *m);
};

static void thread_start(void *(*fn)(void *arg), void *arg)
{
	pthread_t thread;
	pthread_attr_t attr;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&thread, &attr, fn, arg) != 0)
		exit(VERDICT_NOT_RUN);
	pthread_detach(thread);
	pthread_attr_destroy(&attr);
}

static void *listener_thread(void *arg)
{
	struct listener *listener = arg;
	int one = 1;

	for (;;) {
		int fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
		struct accepted *accepted;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		accepted = malloc(sizeof(*accepted));
		*accepted =
			(struct accepted){fd, listener->ctx, listener->serve};
		thread_start(connection_thread, accepted);
	}
	return NULL;
}

static void serve_on(int fd, void *ctx,
		     bool (*serve)(void *ctx, int fd, struct message *m))
{
	struct listener *listener = malloc(sizeof(*listener));

	*listener = (struct listener){fd, ctx, serve};
	thread_start(listener_thread, listener);
}

/* ---- the store ---- */

struct stored {
	char *data; /* as appended, without its length */
	size_t size;
};

struct topic {
	char name[TEXT_MAX];
	struct stored *records;
	size_t count;
};

static struct topic topics[TOPICS_MAX];
static int topic_count;
static char store_at[TEXT_MAX];
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

const char *store_address(void)
{
	return store_at;
}

static struct topic *topic_get(const char *name)
{
	struct topic *topic;

	for (int i = 0; i < topic_count; i++)
		if (strcmp(topics[i].name, name) == 0)
			return &topics[i];
	if (topic_count == TOPICS_MAX)
		exit(VERDICT_NOT_RUN);
	topic = &topics[topic_count++];
	snprintf(topic->name, sizeof(topic->name), "%s", name);
	topic->records = calloc(RECORDS_MAX, sizeof(*topic->records));
	return topic;
}

static void topic_append(struct topic *topic, const char *data, size_t size)
{
	struct stored *stored = &topic->records[topic->count];

	if (topic->count + 1 >= RECORDS_MAX)
		exit(VERDICT_NOT_RUN);
	stored->data = malloc(size + 1);
	memcpy(stored->data, data, size);
	stored->size = size;
	topic->count++;
}

void store_put(const char *topic, const char *key, const char *value)
{
	size_t key_size = strlen(key);
	size_t size = 1 + key_size + (value ? strlen(value) : 0);
	char *data = malloc(size + 1);

	/* The length of the key goes before it; the NUL isn't stored. */
	data[0] = (char)key_size;
	(void)snprintf(data + 1, size, "%s%s", key, value ? value : "");
	pthread_mutex_lock(&store_lock);
	topic_append(topic_get(topic), data, size);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	free(data);
}

static bool query_get(const char *line, const char *name, char out[TEXT_MAX])
{
	size_t size = strlen(name);
	const char *at = strchr(line, '?');

	out[0] = '\0';
	while (at && *at != ' ') {
		at++;
		if (strncmp(at, name, size) == 0 && at[size] == '=') {
			snprintf(out, TEXT_MAX, "%.*s",
				 (int)strcspn(at + size + 1, "& "),
				 at + size + 1);
			return true;
		}
		at += strcspn(at, "& ");
	}
	return false;
}

static void base64_add(char **out, const unsigned char *data, size_t size)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijkl"
				     "mnopqrstuvwxyz0123456789+/";
	char *at = *out;

	for (size_t i = 0; i < size; i += 3) {
		uint32_t bits = (uint32_t)data[i] << 16;

		bits |= i + 1 < size ? (uint32_t)data[i + 1] << 8 : 0;
		bits |= i + 2 < size ? (uint32_t)data[i + 2] : 0;
		*at++ = digits[bits >> 18];
		*at++ = digits[bits >> 12 & 63];
		*at++ = i + 1 < size ? digits[bits >> 6 & 63] : '=';
		*at++ = i + 2 < size ? digits[bits & 63] : '=';
	}
	*out = at;
}

static bool key_same(const struct stored *a, const struct stored *b)
{
	return a->data[0] == b->data[0] &&
	       memcmp(a->data, b->data, 1 + (size_t)a->data[0]) == 0;
}

/* Few keys are used, so one page holds them all. */
static bool newest_answer(int fd, struct topic *topic)
{
	char *out = malloc(1 << 20);
	char *at = out;
	bool is_first = true;
	bool sent;

	at += sprintf(at, "{\"items\":[");
	for (size_t i = 0; i < topic->count; i++) {
		const struct stored *stored = &topic->records[i];
		size_t key = (size_t)stored->data[0];
		bool is_newest = stored->size > 1 + key;

		for (size_t j = i + 1; is_newest && j < topic->count; j++)
			is_newest = !key_same(stored, &topic->records[j]);
		if (!is_newest)
			continue;
		at += sprintf(at, "%s{\"key\":\"%.*s\",\"value\":\"",
			      is_first ? "" : ",", (int)key, stored->data + 1);
		base64_add(&at, (unsigned char *)stored->data + 1 + key,
			   stored->size - 1 - key);
		at += sprintf(at, "\",\"offset\":%zu}", i);
		is_first = false;
	}
	at += sprintf(at, "],\"more_pages\":false,\"end\":%zu}", topic->count);
	sent = answer_send(fd, 200, "Content-Type: application/json\r\n", out,
			   (size_t)(at - out));
	free(out);
	return sent;
}

static void big_endian_put(char *out, uint64_t number, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--, number >>= 8)
		out[i] = (char)(number & 255);
}

static bool read_answer(int fd, struct topic *topic, size_t from)
{
	size_t size = 16;
	char *out = malloc(4 << 20);
	bool sent;

	big_endian_put(out, topic->count, 8);
	big_endian_put(out + 8, 0, 8);
	for (size_t i = from; i < topic->count && size < 128 * 1024; i++) {
		const struct stored *stored = &topic->records[i];

		big_endian_put(out + size, stored->size, 4);
		memcpy(out + size + 4, stored->data, stored->size);
		size += 4 + stored->size;
	}
	sent = answer_send(fd, 200, "", out, size);
	free(out);
	return sent;
}

/* Waits until the topic has that record, or for the time. */
static void record_await(struct topic *topic, size_t from, int64_t wait_ms)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	while (topic->count <= from &&
	       pthread_cond_timedwait(&store_changed, &store_lock, &until) == 0)
		continue;
}

static bool append_answer(int fd, struct topic *topic, const struct message *m)
{
	size_t offset = topic->count;
	size_t at = 0;
	char text[TEXT_MAX];

	while (at + 4 <= m->body_size) {
		const unsigned char *b = (unsigned char *)m->body + at;
		size_t size = (size_t)b[0] << 24 | (size_t)b[1] << 16 |
			      (size_t)b[2] << 8 | b[3];

		if (at + 4 + size > m->body_size)
			break;
		topic_append(topic, m->body + at + 4, size);
		at += 4 + size;
	}
	pthread_cond_broadcast(&store_changed);
	snprintf(text, sizeof(text), "{\"offset\":%zu,\"end\":%zu}", offset,
		 topic->count);
	return answer_send(fd, 200, "Content-Type: application/json\r\n", text,
			   strlen(text));
}

static bool store_serve(void *ctx, int fd, struct message *m)
{
	char name[TEXT_MAX];
	char from[TEXT_MAX];
	char wait[TEXT_MAX];
	struct topic *topic;
	bool sent;

	if (!query_get(m->line, "topic", name))
		return answer_send(fd, 404, "", "", 0);
	pthread_mutex_lock(&store_lock);
	topic = topic_get(name);
	if (strstr(m->line, "/-/log-newest")) {
		sent = newest_answer(fd, topic);
	} else if (strstr(m->line, "/-/log-read")) {
		query_get(m->line, "from", from);
		query_get(m->line, "wait_ms", wait);
		record_await(topic, strtoul(from, NULL, 10), atoi(wait));
		sent = read_answer(fd, topic, strtoul(from, NULL, 10));
	} else if (strstr(m->line, "/-/log-append")) {
		sent = append_answer(fd, topic, m);
	} else {
		sent = answer_send(fd, 404, "", "", 0);
	}
	pthread_mutex_unlock(&store_lock);
	return sent;
}

void store_open(void)
{
	int fd = listen_any(store_at);

	serve_on(fd, NULL, store_serve);
}

/* ---- servers ---- */

static bool runner_serve(void *ctx, int fd, struct message *m)
{
	struct runner *runner = ctx;
	char text[TEXT_MAX];
	char headers[TEXT_MAX + 64];

	snprintf(headers, sizeof(headers), "Instance-Id: %s\r\n", runner->id);
	if (header_get(m, "expect-instance", text) &&
	    strcmp(text, runner->id) != 0)
		return answer_send(fd, 421, headers, "", 0);
	if (strncmp(m->line, "GET /healthz ", 13) == 0)
		return answer_send(
			fd, strcmp(runner->state, "ready") == 0 ? 200 : 503,
			headers, "", 0);
	return runner->serve(runner, fd, m);
}

void runner_report_print(const struct runner *runner, const char *state,
			 int sequence, char *out, size_t size)
{
	char stage[TEXT_MAX + 16] = "";

	if (runner->stage[0])
		snprintf(stage, sizeof(stage), "\"stage\":\"%s\",",
			 runner->stage);
	snprintf(out, size,
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"here\","
		 "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
		 "\"cold_remaining_ms\":0,%s\"sequence\":%d}",
		 runner->service, runner->address, runner->slots, state, stage,
		 sequence);
}

void runner_report(struct runner *runner)
{
	char text[1024];

	runner_report_print(runner, runner->state, ++runner->sequence, text,
			    sizeof(text));
	store_put("keyed.servers", runner->id, text);
}

static void *report_thread(void *arg)
{
	struct runner *runner = arg;

	for (;;) {
		if (!runner->is_silent)
			runner_report(runner);
		sleep_ms(HEARTBEAT_MS);
	}
	return NULL;
}

struct runner *runner_open(const char *id, const char *service,
			   const char *stage, int slots, runner_fn serve)
{
	struct runner *runner = calloc(1, sizeof(*runner));

	snprintf(runner->id, TEXT_MAX, "%s", id);
	snprintf(runner->service, TEXT_MAX, "%s", service);
	snprintf(runner->stage, TEXT_MAX, "%s", stage);
	snprintf(runner->state, TEXT_MAX, "ready");
	runner->slots = slots;
	runner->serve = serve;
	runner->listener = listen_any(runner->address);
	serve_on(runner->listener, runner, runner_serve);
	thread_start(report_thread, runner);
	record("server %s of %s %s at %s", id, service, stage, runner->address);
	return runner;
}

/* ---- processes under review ---- */

static void port_choose(char address[TEXT_MAX])
{
	close(listen_any(address));
}

struct node *node_open(const char *name)
{
	struct node *node = &nodes[node_count++];

	if (node_count > NODES_MAX)
		exit(VERDICT_NOT_RUN);
	snprintf(node->name, TEXT_MAX, "%s", name);
	port_choose(node->callers);
	port_choose(node->health);
	port_choose(node->peers);
	snprintf(node->log, TEXT_MAX, "%.150s/%.50s.log", folder_path, name);
	snprintf(node->settings, TEXT_MAX, "%.150s/%.50s.conf", folder_path,
		 name);
	return node;
}

/* As deploy/settings.conf. */
static bool settings_write(const struct node *node)
{
	FILE *file = fopen(node->settings, "w");

	if (!file)
		return false;
	fprintf(file,
		"name=%s\ndata-centre=here\nlisten=%s\nhealth-listen=%s\n"
		"peer-listen=%s\nseed=",
		node->name, node->callers, node->health, node->peers);
	for (int i = 0; i < node_count && i < 3; i++)
		fprintf(file, "%s%s", i > 0 ? "," : "", nodes[i].peers);
	fprintf(file,
		"\nregion=here:region\nplatform=%s\nheartbeat-ms=%d\n"
		"retry-ratio=0.2\nretry-slack=54\nretry-window-s=10\n"
		"grace-s=8\n",
		store_at, HEARTBEAT_MS);
	return fclose(file) == 0;
}

static void node_exec(const struct node *node)
{
	int fd = open(node->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	setenv("JACINTHTRESTLE_NODE_FILE", node->settings, 1);
	execl(PROGRAM, PROGRAM, (char *)NULL);
	_exit(127);
}

bool node_ready(const struct node *node)
{
	static const char request[] =
		"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
	struct message *m = malloc(sizeof(*m));
	int fd = connect_to(node->health, 0);
	bool is_ready = false;

	if (fd >= 0 && send_all(fd, request, sizeof(request) - 1) &&
	    message_read(fd, true, 1000, m)) {
		is_ready = m->status == 200;
		message_clear(m);
	}
	if (fd >= 0)
		close(fd);
	free(m);
	return is_ready;
}

bool node_start(struct node *node)
{
	int64_t until = now_ms() + START_MS;

	if (!settings_write(node))
		return false;
	node->pid = fork();
	if (node->pid == 0)
		node_exec(node);
	while (node->pid > 0 && !node_ready(node) && now_ms() < until)
		sleep_ms(20);
	record("%s: process %d %s", node->name, (int)node->pid,
	       node_ready(node) ? "ready" : "NOT ready");
	return node_ready(node);
}

void node_wait(struct node *node, int timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;
	int status;

	while (node->pid > 0 && waitpid(node->pid, &status, WNOHANG) == 0) {
		if (now_ms() >= until) {
			kill(node->pid, SIGKILL);
			waitpid(node->pid, &status, 0);
			break;
		}
		sleep_ms(5);
	}
	node->pid = 0;
}

int node_memory_mb(const struct node *node)
{
	char path[64];
	char line[TEXT_MAX];
	FILE *file;
	int kb = 0;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)node->pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file))
		(void)sscanf(line, "VmRSS: %d", &kb);
	if (file)
		fclose(file);
	return kb / 1024;
}

void node_log_record(const struct node *node, const char *const *words,
		     int count)
{
	FILE *file = fopen(node->log, "r");
	char line[2048];

	while (file && fgets(line, sizeof(line), file)) {
		bool has_all = true;

		for (int i = 0; i < count; i++)
			has_all = has_all && strstr(line, words[i]);
		if (has_all)
			record("log of %s: %.*s", node->name,
			       (int)strcspn(line, "\n"), line);
	}
	if (file)
		fclose(file);
}

/* For scripts that are ended before they have run to their end. */
static void nodes_kill(void)
{
	for (int i = 0; i < node_count; i++)
		if (nodes[i].pid > 0)
			kill(nodes[i].pid, SIGKILL);
}

static void on_ended(int number)
{
	nodes_kill();
	_exit(VERDICT_NOT_RUN);
}

void site_open(const char *folder)
{
	char path[TEXT_MAX];
	const char *tmp = getenv("TMPDIR");

	clock_gettime(CLOCK_MONOTONIC, &started_at);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_ended);
	signal(SIGINT, on_ended);
	atexit(nodes_kill);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	snprintf(folder_path, sizeof(folder_path), "%s/jt-review-XXXXXX",
		 tmp ? tmp : "/tmp");
	if (!record_file || !mkdtemp(folder_path))
		exit(VERDICT_NOT_RUN);
	record("disruption: %s", trouble() ? "yes" : "no");
	store_open();
}

void site_close(void)
{
	for (int i = 0; i < node_count; i++) {
		if (nodes[i].pid > 0) {
			kill(nodes[i].pid, SIGKILL);
			node_wait(&nodes[i], 1000);
		}
		unlink(nodes[i].log);
		unlink(nodes[i].settings);
	}
	rmdir(folder_path);
	if (record_file)
		fclose(record_file);
	record_file = NULL;
}
