/*
 * origins.h - which software version began a stream
 *
 * DESCRIPTION
 *	Events that two software versions of a server generate do not form one
 *	stream, and servers do not check it. So the version that generated the
 *	first event binds all later choices of a server, within one answer and
 *	over the attempts of a caller at any instance.
 *
 *	The table holds the versions of recent streams, by id_of() the id of the
 *	attempt that received the first event. An instance records a stream of
 *	its own before it passes on the first event, and sends the record to the
 *	homes of the stream: the instances that rendezvous hashing gives for its
 *	data centre and for the whole site. It sends it again while events are
 *	passed on and when the stream breaks, which makes up for lost messages
 *	and restarted homes. An instance that is asked to resume a stream that
 *	is not in its table asks the homes.
 *
 *	If no instance knows the stream, it is resumed only when all servers of
 *	the service have had one version for as long as the stream may last.
 *
 * UNITS
 *	Times are in microseconds of the clock. Versions are the numbers of
 *	struct backend_info; 0 is unknown.
 *
 * SEE ALSO
 *	docs/design/versions.md
 */
#ifndef FORWARD_ORIGINS_H
#define FORWARD_ORIGINS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/* Instances of one data centre, and of the whole site, that hold a record. */
#define ORIGIN_HOMES 3u
/* A record is kept this long after it was last sent. */
#define ORIGIN_KEEP_USEC (60 * USEC_PER_SEC)
/* Interval at which the record of an open stream is sent again. */
#define ORIGIN_REFRESH_USEC (2 * USEC_PER_SEC)

struct origins;

struct origins *origins_create(const struct clock *clock, uint32_t max);
void origins_destroy(struct origins *origins);
/* Records the version of a stream. A stream that is recorded with two versions
 * counts as unknown from then on. When the table is full, the record is not
 * taken and false is returned. */
bool origins_put(struct origins *origins, uint64_t stream, uint64_t software);
/* The version that began the stream; 0: unknown. */
uint64_t origins_get(struct origins *origins, uint64_t stream);
uint32_t origins_count(const struct origins *origins);

/* Asks for the version of a stream of a service. */
struct origin_query {
	uint64_t id; /* chosen by the one that asks */
	uint64_t stream;
	uint64_t service;
	int64_t window_usec; /* the stream began within this time */
};

/* What an instance knows of a stream. */
struct origin_answer {
	uint64_t software; /* the version that began it; 0: unknown */
	/* The only version that the servers of the service have had within the
	 * window; 0: several, or the window is not known in full. */
	uint64_t sole;
	bool mixed; /* they have had several */
};

/* The version that the stream may be resumed at; 0: none. */
uint64_t origin_decide(const struct origin_answer *answers, uint32_t count);

/* The instances with the highest hashes for a stream so far. */
struct origin_homes {
	uint64_t stream;
	uint64_t hashes[ORIGIN_HOMES];
	const void *instances[ORIGIN_HOMES];
	uint32_t count;
};

/* Considers an instance, given by a number that all instances agree on. */
void origin_homes_offer(struct origin_homes *homes, uint64_t key,
			const void *instance);

#endif
