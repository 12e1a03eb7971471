/*
 * endless.h - a loopback server that sends without end
 *
 * DESCRIPTION
 *	A thread accepts connections and serves each in a thread of its own: it
 *	reads the first part of the request, sends a beginning once and a piece
 *	again and again, until the client closes the connection. Real threads,
 *	since bytes have to arrive while the client reads.
 */
#ifndef TESTS_WEB_ENDLESS_H
#define TESTS_WEB_ENDLESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct endless_answer {
	const char *begin;
	const char *piece;
	bool drips; /* one byte of the pieces each 20 ms */
};

struct endless {
	char address[32];
	int listener;
	struct endless_answer answer;
	GThread *thread;
	gint open;   /* connections, atomic */
	gint closed; /* connections that the client has closed, atomic */
};

void endless_start(struct endless *endless,
		   const struct endless_answer *answer);
/* All clients have to have closed their connections. */
void endless_stop(struct endless *endless);

#endif
