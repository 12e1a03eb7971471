/*
 * register.h - keeps a stand-in in the platform's list of instances
 *
 * DESCRIPTION
 *	In a real site the platform's own agent does this. The entry is put
 *	again every REGISTER_USEC, so that it outlives a restart or an outage
 *	of the platform.
 */
#ifndef STANDIN_REGISTER_H
#define STANDIN_REGISTER_H

#include <stdint.h>

#define REGISTER_USEC (INT64_C(2) * 1000 * 1000)

struct loop;
struct registration;
struct web_client;

/* Strings are copied; platform is its address, NULL for none. */
struct registration_spec {
	const char *platform;
	const char *name;
	const char *kind; /* "runner" or "server" */
	const char *pool;
	const char *data_centre;
	const char *address;
	uint64_t incarnation;
};

typedef void (*registration_fn)(void *ctx);

struct registration *registration_create(struct loop *loop,
					 struct web_client *client,
					 const struct registration_spec *spec);
void registration_destroy(struct registration *registration);
/* Moves the entry to another pool, under a new incarnation. */
void registration_pool(struct registration *registration, const char *pool,
		       uint64_t incarnation);
/* Marks the entry as leaving, at once and from now on. */
void registration_leave(struct registration *registration);
/* Takes the entry out; fn is called once, also when that failed. */
void registration_end(struct registration *registration, registration_fn fn,
		      void *ctx);

#endif
