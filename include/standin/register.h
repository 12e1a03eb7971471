/*
 * register.h - registers a stand-in in the platform's list of instances
 *
 * DESCRIPTION
 *	At a real site the platform's own agent does this. The entry is put
 *	again every REGISTER_INTERVAL_USEC, so that it is restored after a
 *	restart or an outage of the platform.
 */
#ifndef STANDIN_REGISTER_H
#define STANDIN_REGISTER_H

#include <stdint.h>

#define REGISTER_INTERVAL_USEC (INT64_C(2) * 1000 * 1000)

struct loop;
struct registration;
struct web_client;

/* Strings are copied. platform is the platform's address, NULL to register
 * nowhere. */
struct registration_spec {
	const char *platform;
	const char *name;
	const char *kind; /* "runner" or "server" */
	const char *pool;
	const char *data_centre;
	const char *address;
	uint64_t incarnation;
};

typedef void (*registration_removed_fn)(void *ctx);

struct registration *registration_create(struct loop *loop,
					 struct web_client *client,
					 const struct registration_spec *spec);
void registration_destroy(struct registration *registration);
/* Moves the entry to the pool under a new incarnation, unless it is in that
 * pool already. */
void registration_set_pool(struct registration *registration, const char *pool,
			   uint64_t incarnation);
/* Marks the entry as leaving and sends the change. */
void registration_set_leaving(struct registration *registration);
/* Removes the entry; fn is called once, also if the call fails. */
void registration_remove(struct registration *registration,
			 registration_removed_fn fn, void *ctx);

#endif
