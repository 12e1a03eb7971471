/*
 * relay.h - the requests with which instances connect to servers for each other
 *
 * DESCRIPTION
 *	An instance that cannot connect to a backend server asks another one to
 *	do it: GET RELAY_PATH, followed by the server's backend_key() in
 *	hexadecimal, with the upgrade of web/relay.h. The answer is 101 once the
 *	connection to the server is made, or one of enum relay_status. The
 *	instance that asks decides everything else: which server, how often,
 *	and what the answer means. What passes through the connection is not
 *	examined by the other one.
 */
#ifndef FORWARD_RELAY_H
#define FORWARD_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#define RELAY_PATH "/relay/"
/* The query of a request that is to confirm whether the server has crashed. It
 * is tried also when the relay has lost its own connection to the server, as
 * all that were connected to a crashed server have. */
#define RELAY_CONFIRM "confirm"
#define RELAY_PATH_MAX 32

enum relay_status {
	/* The server refused the connection, or did not reply in time. Said
	 * only by an instance that has connected to another server since it
	 * began to try, or to two of three if the first refused. */
	RELAY_REFUSED = 502,
	RELAY_TIMED_OUT = 504,
	/* The instance does not know the server, or has lost its own link to
	 * it and was not asked to confirm, or cannot tell. */
	RELAY_NO_LINK = 404,
	/* The instance is busy, stopping, or cut off. */
	RELAY_UNAVAILABLE = 503,
};

void relay_path_print(uint64_t server, bool confirm, char path[RELAY_PATH_MAX]);

#endif
