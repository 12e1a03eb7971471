/*
 * explain.h - the story of one request, out of the logs of many processes
 *
 * DESCRIPTION
 *	Collects from log files the lines that bear a request's id, puts them in
 *	order of their time, and names the cause of the request's end from its
 *	last line and the failed step before it, and from the servers that ended
 *	under the same work. Lines that are no log lines are passed over; what
 *	stands before the "<" of a line's priority, as log collectors add it,
 *	does not matter.
 */
#ifndef CTL_EXPLAIN_H
#define CTL_EXPLAIN_H

#include <glib.h>
#include <stdbool.h>

struct error;

struct explain_line {
	double time;  /* seconds since 1970, by the clock of that process */
	char *source; /* the file's name without folder */
	char *text;   /* from event= on */
};

struct explanation {
	GPtrArray *lines; /* struct explain_line */
	char *cause;
};

void explanation_init(struct explanation *explanation);
void explanation_clear(struct explanation *explanation);
/* Takes the request's lines of a file. False with RESULT_IO. */
bool explanation_read(struct explanation *explanation, const char *request,
		      const char *file, struct error *err);
/* What the request is the same work as, from the lines taken so far; to be
 * freed. NULL when no line says so: no server was lost under it. */
char *explanation_work(const struct explanation *explanation);
/* Takes the lines of servers that ended under that work, whichever request it
 * was then. False with RESULT_IO. */
bool explanation_read_work(struct explanation *explanation, const char *work,
			   const char *file, struct error *err);
/* Orders the lines and names the cause. False with RESULT_NOT_FOUND when there
 * is no line. */
bool explanation_finish(struct explanation *explanation, const char *request,
			struct error *err);

/* The value of key in a log line, without quotes; NULL when it is not there. */
char *explain_value(const char *line, const char *key);

#endif
