/*
 * explain.h - traces one request through the logs of many processes
 *
 * DESCRIPTION
 *	Collects the lines with a request's id from log files, sorts them by
 *	time, and derives the cause of the request's end from the last
 *	request_end line, the latest failed step, and the servers that ended
 *	while running a request of the same fingerprint. Other lines are
 *	skipped. Text before the "<" of a line's priority, as log collectors
 *	add it, is ignored.
 */
#ifndef CTL_EXPLAIN_H
#define CTL_EXPLAIN_H

#include <glib.h>
#include <stdbool.h>

struct error;

struct explain_line {
	double time;  /* seconds since 1970, by that process's clock */
	char *source; /* base name of the file */
	char *text;   /* from event= on */
};

struct explanation {
	GPtrArray *lines; /* struct explain_line */
	char *cause;
};

void explanation_init(struct explanation *explanation);
void explanation_clear(struct explanation *explanation);
/* Adds the lines of the request from a file. False with RESULT_IO. */
bool explanation_read(struct explanation *explanation, const char *request,
		      const char *file, struct error *err);
/* The request's fingerprint (the field work) from the lines added so far; free
 * with g_free(). NULL when no line has it: no server was lost while running
 * such a request. */
char *explanation_fingerprint(const struct explanation *explanation);
/* Adds the server_ended lines with that fingerprint, whichever request the
 * server was running. False with RESULT_IO. */
bool explanation_read_fingerprint(struct explanation *explanation,
				  const char *fingerprint, const char *file,
				  struct error *err);
/* Sorts the lines and sets the cause. False with RESULT_NOT_FOUND when there
 * are no lines. */
bool explanation_finish(struct explanation *explanation, const char *request,
			struct error *err);

/* The value of a field of a log line, without quotes; free with g_free(). NULL
 * when the line lacks it. */
char *log_line_value(const char *line, const char *key);

#endif
