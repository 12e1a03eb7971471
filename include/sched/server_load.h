/*
 * server_load.h - what a server states of its own load
 *
 * DESCRIPTION
 *	Some servers add their load to their answers. It is decoded once, where
 *	the answer is read, and is as old as the answer. A server may state
 *	anything, so figures beyond the bounds below are rejected as a whole.
 */
#ifndef SCHED_SERVER_LOAD_H
#define SCHED_SERVER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/* More requests or slots than any server has. */
#define SERVER_LOAD_REQUESTS_MAX 1000000u
/* Bounds of a stated pace. */
#define SERVER_LOAD_PACE_MIN 0.01
#define SERVER_LOAD_PACE_MAX 100.0

struct server_load {
	bool known;	  /* stated, and within the bounds */
	uint32_t running; /* requests */
	uint32_t waiting; /* requests */
	uint32_t slots;	  /* requests that run at a time */
	double pace; /* time that work takes now; 1.0: usual, 0: not stated */
};

bool server_load_valid(const struct server_load *load);

#endif
