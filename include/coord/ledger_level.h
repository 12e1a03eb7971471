/*
 * ledger_level.h - load levels of the local cells
 *
 * DESCRIPTION
 *	ledger_level() returns the load level of the service's cell in this data
 *	centre and sets the share of urgent requests that should leave, as last
 *	announced by the cell's home. The level is CELL_FULL with the whole
 *	share if the platform's list has no runner of a role, whether or not
 *	there is a home. Plain and unknown services are CELL_FREE.
 */
#ifndef COORD_LEDGER_LEVEL_H
#define COORD_LEDGER_LEVEL_H

#include "coord/cell_load.h"
#include "coord/ledger.h"

enum cell_level ledger_level(const struct ledger *ledger, const char *service,
			     uint32_t *share);

#endif
