/*
 * endless.h - a loopback server that sends without end
 *
 * DESCRIPTION
 *	A thread accepts connections and serves each in a thread of its own: it
 *	reads the first part of the request, sends a beginning once and a piece
 *	again and again, until the client closes the connection. Requests of the
 *	kinds in honest are answered whole. Real threads, since bytes have to
 *	arrive while the client reads.
 */
#ifndef TESTS_WEB_ENDLESS_H
#define TESTS_WEB_ENDLESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define ENDLESS_HONEST_MAX 2

/* A whole answer to the requests that contain a text. */
struct endless_honest {
	const char *request;
	const char *answer;
};

struct endless_answer {
	const char *begin;
	const char *piece;
	bool drips; /* one byte of the pieces each 20 ms */
	struct endless_honest honest[ENDLESS_HONEST_MAX];
};

struct endless {
	char address[32];
	int listener;
	struct endless_answer answer;
	GString *block; /* pieces */
	GThread *thread;
	gint begun;  /* connections that have got two blocks or drips, atomic */
	gint open;   /* connections, atomic */
	gint closed; /* connections that the client has closed, atomic */
};

void endless_start(struct endless *endless,
		   const struct endless_answer *answer);
/* All clients have to have closed their connections. */
void endless_stop(struct endless *endless);

#endif
