/*
 * speed_private.h - samples of the estimates, shared by speed*.c
 */
#ifndef SCHED_SPEED_PRIVATE_H
#define SCHED_SPEED_PRIVATE_H

#include <glib.h>

#include "sched/speed.h"

#define SPEED_NEVER INT64_MIN
/* Samples whose times are kept to tell whether enough are recent. */
#define SEEN_TIMES 4

/* Mean of samples, each of which loses half of its weight per half-life. */
struct speed_mean {
	double weight; /* at that time */
	double sum;
	int64_t at; /* of the last sample, or SPEED_NEVER */
};

/* What was last told to others, or by others. */
struct speed_told {
	double factor;
	int64_t at;
};

struct speed_server {
	uint64_t key;
	struct speed_mean seen; /* of the logarithm */
	struct speed_mean stated;
	struct speed_mean peers;
	int64_t seen_times[SEEN_TIMES]; /* in rotation */
	uint32_t seen_next;
	double pace;	    /* as stated last, at stated.at */
	int64_t local_at;   /* last sample of another local instance */
	int64_t touched_at; /* for eviction */
	struct speed_told told;
	struct speed_told told_group;
	struct speed_told reported;
};

struct speeds {
	GHashTable *servers; /* key to struct speed_server */
	/* When a server has last stated a pace: here, at another instance of
	 * this data centre, and of others. */
	int64_t stated_at;
	int64_t local_at;
	int64_t remote_at;
	speed_changed_fn changed;
	void *changed_ctx;
};

bool speed_recent(int64_t at, int64_t now);
void speed_mean_add(struct speed_mean *mean, int64_t at, double weight,
		    double value);
double speed_mean_weight(const struct speed_mean *mean, int64_t now);
/* Finds or adds the server, evicting another one if necessary. */
struct speed_server *speed_server_get(struct speeds *speeds, uint64_t key,
				      int64_t now);
/* Mean over all sources, or over the own ones only. */
double speed_usual(const struct speed_server *server, int64_t now,
		   bool own_only);
/* Time of the last sample seen or stated here. */
int64_t speed_own_at(const struct speed_server *server);
/* Reports the server's factor if it has changed. */
void speed_report(const struct speeds *speeds, struct speed_server *server,
		  int64_t now);

#endif
