/*
 * session.h - scripted sessions of real processes, compared with golden files
 *
 * DESCRIPTION
 *	A script has one step per line, see tests/session/README.md. Each step
 *	appends to a transcript, in which ports, identifiers and times are
 *	replaced by placeholders. A wait polls a condition; when it times out,
 *	the session fails.
 */
#ifndef TESTS_SESSION_H
#define TESTS_SESSION_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SESSION_TIMEOUT_SEC 30

struct web_client;
struct clock;
struct loop;

struct session {
	struct clock *clock;
	struct loop *loop;
	struct web_client *client;
	const char *build;  /* build folder, with the programs */
	const char *source; /* root of the source tree */
	char *dir;	    /* temporary folder of logs and output files */
	GHashTable *variables;
	GHashTable *processes;
	GHashTable *calls;
	GHashTable *relays;
	GString *out;
	GRegex *filter; /* output lines to show; NULL: all */
};

typedef bool (*session_predicate)(void *ctx);

/* Runs the loop until fn returns true; false after SESSION_TIMEOUT_SEC. */
bool session_wait_until(struct session *session, session_predicate fn,
			void *ctx);
/* Appends the reason of a failure to the transcript; always returns false. */
bool session_fail(struct session *session, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Appends text to the transcript, normalised, with each line indented. */
void session_show(struct session *session, const char *text);

/* Replaces addresses, identifiers and times by placeholders; the caller frees
 * the result. */
char *text_normalise(struct session *session, const char *text);

/* Value at a path like "requests/ * /finished" (without the spaces): a star
 * sums over all members, "#" is the number of members, "?" is 1 when the member
 * exists. Missing members count as 0. */
int64_t query_number(const json_t *json, const char *path);

/* Steps: argv ends with NULL, argv[0] is the name of the step. */
bool process_start(struct session *session, int argc, char **argv);
bool process_spawn(struct session *session, int argc, char **argv);
bool process_run(struct session *session, int argc, char **argv);
bool process_wait(struct session *session, int argc, char **argv);
bool process_signal(struct session *session, int argc, char **argv);
bool process_log(struct session *session, int argc, char **argv);
bool http_call(struct session *session, int argc, char **argv);
bool http_await(struct session *session, int argc, char **argv);
bool http_answer(struct session *session, int argc, char **argv);
bool http_answers(struct session *session, int argc, char **argv);
bool http_hang_up(struct session *session, int argc, char **argv);
bool http_poll(struct session *session, int argc, char **argv);
bool http_read(struct session *session, int argc, char **argv);
bool http_same(struct session *session, int argc, char **argv);
bool http_set(struct session *session, int argc, char **argv);
bool relay_start(struct session *session, int argc, char **argv);
bool relay_switch(struct session *session, int argc, char **argv);
void relay_free(void *relay);
void process_free(void *process);
void call_free(void *call);

#endif
