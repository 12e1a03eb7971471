/*
 * reach_world.h - instances that lose their links to the backend servers, on a
 * paused clock
 *
 * DESCRIPTION
 *	Each instance has a forwarding core and a view of the servers of its
 *	own; the network between instances and servers is simulated. Callers
 *	send plain calls, half of them non-idempotent, and streams, to random
 *	instances at a steady rate, and resume resumable streams that were
 *	broken off. Three data centres; instances and servers are assigned to
 *	them in turn.
 */
#ifndef TESTS_FORWARD_REACH_WORLD_H
#define TESTS_FORWARD_REACH_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

#define CENTRES 3u

/* What happens to the connections of an instance that is cut off. */
enum cut {
	CUT_NONE,
	CUT_RESET,    /* open ones are reset, new ones refused */
	CUT_SILENT,   /* open ones hang, new ones time out */
	CUT_ONLY_NEW, /* open ones go on, new ones are refused */
	CUT_MODES,
};

/* First attempts at a group of instances. */
struct tally {
	uint32_t sent;
	uint32_t served;
};

struct reach_world;

struct reach_world *reach_world_create(uint32_t instances, guint32 seed);
/* The servers have that many software versions, spread over roles and data
 * centres. */
struct reach_world *reach_world_create_versions(uint32_t instances,
						guint32 seed,
						uint32_t versions);
void reach_world_destroy(struct reach_world *world);
void reach_world_run(struct reach_world *world, int64_t msec);
/* Cuts the instance off from all servers, or, with CUT_NONE, restores its
 * links. */
void reach_world_cut(struct reach_world *world, uint32_t instance,
		     enum cut cut);
/* Cuts the instance off from some of the servers only: it keeps one of every,
 * and the next instance other ones. */
void reach_world_cut_some(struct reach_world *world, uint32_t instance,
			  enum cut cut, uint32_t every);
/* The server answers nothing for that time, and goes on afterwards. */
void reach_world_silence(struct reach_world *world, uint32_t server,
			 int64_t msec);
/* Streams that were run more than once. */
uint32_t reach_world_repeated_streams(const struct reach_world *world);
/* Number of servers; the last ones are decode servers. */
uint32_t reach_world_servers(const struct reach_world *world);
/* Crashes the server with all that runs there; it serves again after
 * reach_world_restart(). */
void reach_world_crash(struct reach_world *world, uint32_t server);
void reach_world_restart(struct reach_world *world, uint32_t server);
/* Number of requests sent so far. */
uint32_t reach_world_sent(const struct reach_world *world);
/* Counts the requests from one number to another, those at instances that were
 * cut off apart. */
void reach_world_tally(const struct reach_world *world, uint32_t begin,
		       uint32_t end, struct tally *cut_off,
		       struct tally *others);
/* Ends the arrivals and runs until all requests can have ended. */
void reach_world_end(struct reach_world *world, int64_t msec);
/* Requests that were not answered once, ran twice though they may not, or ran
 * though their answer says that they did not. */
uint32_t reach_world_broken(const struct reach_world *world);
/* Breaks off a share of the resumable streams at the callers, who resume them
 * at other instances. */
void reach_world_reset_callers(struct reach_world *world, double share);
/* Partitions the instances of the first data centre from all others. */
void reach_world_part(struct reach_world *world, bool parted);
/* Kills the instance, and starts it again without what it knew. */
void reach_world_stop(struct reach_world *world, uint32_t instance);
void reach_world_start(struct reach_world *world, uint32_t instance);
/* Streams whose callers received events of two versions, or one event twice or
 * none in between. */
uint32_t reach_world_joined(const struct reach_world *world);
/* Of the resumable streams sent from one number to another to instances in
 * touch, counts those that received events: first attempts, and resumed ones.
 */
void reach_world_resumed(const struct reach_world *world, uint32_t begin,
			 uint32_t end, struct tally *fresh,
			 struct tally *resumed);
/* Crashes of servers that were recorded against a request. */
uint32_t reach_world_blamed(const struct reach_world *world);

#endif
