/*
 * proxy.h - a loopback proxy that injects connection faults
 *
 * DESCRIPTION
 *	Each proxy has one thread, and two for each connection, so that it is
 *	independent of the programs on either side. A mode applies to data
 *	received from then on; PROXY_RESET also resets open connections.
 *	Half of the heads of HTTP responses get whitespace after the values of
 *	their framing fields, in place of that before them.
 */
#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

enum proxy_mode {
	PROXY_FORWARD,
	PROXY_SLOW,    /* delays each read by 100 ms */
	PROXY_RESET,   /* resets open and new connections */
	PROXY_SILENT,  /* accepts and discards all data; a connection with
			* discarded data stays silent in later modes */
	PROXY_ONE_WAY, /* the same for responses only; requests pass */
	PROXY_MODES,
};

struct proxy;

/* Listens on a free loopback port and forwards to address. */
struct proxy *proxy_create(const char *address);
const char *proxy_address(const struct proxy *proxy);
void proxy_set(struct proxy *proxy, enum proxy_mode mode);

#endif
