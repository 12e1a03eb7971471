/*
 * orders.h - role changes of the runners whose home is this instance
 *
 * DESCRIPTION
 *	Connects coord/order.h to the ledger, the directory and the engines. A
 *	cell takes part if both its pools have swaps_role and no model service
 *	pairs either of them with another pool. A runner changes to the other
 *	pool of its cell; the order names the role and that pool.
 *
 * SEE ALSO
 *	docs/design/roles.md; docs/OPERATIONS.md, "Role changes"
 */
#ifndef ENTRY_ORDERS_H
#define ENTRY_ORDERS_H

#include <jansson.h>

#include "common/error.h"

struct entry;
struct entry_orders;

struct entry_orders *entry_orders_create(struct entry *entry);
/* Releases the leases. */
void entry_orders_destroy(struct entry_orders *orders);
/* The state of each cell that takes part; an empty list if orders is NULL. */
json_t *entry_orders_json(const struct entry_orders *orders);

#endif
