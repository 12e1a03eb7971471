/*
 * engine_order.h - client interface for orders to engines
 *
 * DESCRIPTION
 *	Uses the messages of docs/PROTOCOLS.md. To support another engine,
 *	replace entry/engine_order.c together with entry/engine.c. A call ends
 *	with its callback, or without one by web_call_cancel().
 */
#ifndef ENTRY_ENGINE_ORDER_H
#define ENTRY_ENGINE_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"
#include "coord/order.h"
#include "web/client.h"

struct entry;

typedef void (*engine_role_fn)(void *ctx, bool ok, enum pool_role role);
typedef void (*engine_order_fn)(void *ctx, enum order_answer answer);

/* The callbacks and ctx must not change until the call has ended. */
struct engine_role_call {
	struct web_call *call; /* NULL once it has ended */
	engine_role_fn role;
	engine_order_fn order;
	void *ctx;
};

void engine_role_read(struct entry *entry, const char *address,
		      struct engine_role_call *call);
void engine_role_order(struct entry *entry, const char *address,
		       enum pool_role role, const char *pool, uint64_t fence,
		       struct engine_role_call *call);

#endif
