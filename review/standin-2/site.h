/*
 * site.h - a small deployment for the scripts of this review
 *
 * DESCRIPTION
 *	The store of the users' platform, its servers and its callers in one
 *	process, a thread for each connection, on loopback addresses only. The
 *	programs under review run as separate processes, with the settings that
 *	deploy/settings.conf names. What is sent, answered and run is written to
 *	record.txt in the folder of the case.
 */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define HEAD_MAX 16384
#define TEXT_MAX 256

/* Results of a script. */
enum verdict {
	VERDICT_HELD = 0,
	VERDICT_BROKEN = 1,
	VERDICT_NOT_RUN = 2,
};

/* A request or an answer as it was read from a socket. */
struct message {
	char head[HEAD_MAX]; /* with the first line, NUL-terminated */
	char *body;	     /* NULL: none */
	size_t body_size;
	bool is_whole;	/* head and body, as the framing says */
	bool is_closed; /* the peer has closed or reset the connection */
	char line[TEXT_MAX];
	int status; /* of an answer */
};

/* ---- time and record ---- */

/* Milliseconds since the start of the script. */
int64_t now_ms(void);
void sleep_ms(int64_t ms);
void sleep_until(int64_t at_ms);
/* Writes a line with the time to record.txt. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Whether the script is to bring about the disruption. */
bool trouble(void);

/* ---- HTTP/1.1 ---- */

/* A listening socket on 127.0.0.1; address gets IP:PORT. */
int listen_any(char address[TEXT_MAX]);
/* Connects to IP:PORT; -1 when that fails. rcvbuf: 0 for the default. */
int connect_to(const char *address, int rcvbuf);
bool send_all(int fd, const void *data, size_t size);
/* Reads a message; false when no whole one came within the time. */
bool message_read(int fd, bool is_answer, int timeout_ms, struct message *m);
void message_clear(struct message *m);
/* Copies the value of a header; false when there is none. */
bool header_get(const struct message *m, const char *name, char out[TEXT_MAX]);
bool answer_send(int fd, int status, const char *headers, const void *body,
		 size_t size);

/* ---- the store ---- */

void store_open(void);
const char *store_address(void);
/* Appends a keyed record; value NULL drops the key. */
void store_put(const char *topic, const char *key, const char *value);

/* ---- servers ---- */

struct runner;

/* Answers a request that is meant for this server; the connection is kept when
 * it returns true. */
typedef bool (*runner_fn)(struct runner *runner, int fd, struct message *m);

struct runner {
	char id[TEXT_MAX];
	char service[TEXT_MAX];
	char stage[TEXT_MAX]; /* empty: a plain server */
	char address[TEXT_MAX];
	char state[TEXT_MAX]; /* "ready" or "draining" */
	int slots;
	int listener;
	bool is_silent;	 /* writes no reports itself */
	int sequence;	 /* of the last report */
	runner_fn serve; /* called in the thread of the connection */
};

struct runner *runner_open(const char *id, const char *service,
			   const char *stage, int slots, runner_fn serve);
/* Writes a report with the next sequence. */
void runner_report(struct runner *runner);
/* The text of a report. */
void runner_report_print(const struct runner *runner, const char *state,
			 int sequence, char *out, size_t size);

/* ---- processes under review ---- */

struct node {
	char name[TEXT_MAX];
	char callers[TEXT_MAX];
	char health[TEXT_MAX];
	char peers[TEXT_MAX];
	char log[TEXT_MAX];
	char settings[TEXT_MAX];
	pid_t pid;
};

/* Opens the temporary folder and record.txt in the folder of the case. */
void site_open(const char *folder);
/* Ends all processes that were started and removes the folder. */
void site_close(void);
struct node *node_open(const char *name);
/* Starts its process; false when it doesn't get ready in 10 s. */
bool node_start(struct node *node);
/* Waits for the end of its process; kills it after that time. */
void node_wait(struct node *node, int timeout_ms);
/* Whether its health check is answered with 200. */
bool node_ready(const struct node *node);
/* Resident memory in MB. */
int node_memory_mb(const struct node *node);
/* Copies the lines of its log that contain all of the words to the record. */
void node_log_record(const struct node *node, const char *const *words,
		     int count);

#endif
