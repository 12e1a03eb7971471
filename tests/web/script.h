/*
 * script.h - a server on a raw socket, whose answers a test sends itself
 */
#ifndef TESTS_WEB_SCRIPT_H
#define TESTS_WEB_SCRIPT_H

#include <stdbool.h>

enum conn_end {
	CONN_KEEP,  /* the connection stays open */
	CONN_CLOSE, /* once the answer is sent */
	CONN_RESET,
	CONN_CLOSE_UNREAD, /* closes before reading the request */
};

struct script {
	int listener;
	char address[32];
	int fd; /* -1 before a connection */
	int accepted;
	bool answered;
	char request[16384]; /* what was read last, as a string */
};

void script_setup(struct script *script);
void script_teardown(struct script *script);
void script_close(struct script *script, enum conn_end end);
/* Accepts a pending connection; true once a request has been read from it. */
bool script_receive(struct script *script, enum conn_end end);

#endif
