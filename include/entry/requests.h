/*
 * requests.h - HTTP handlers for callers, and the requests in flight
 *
 * DESCRIPTION
 *	Registers the HTTP handlers for callers, owns the state machine of each
 *	request, and receives the callbacks of ledger, claims and membership
 *	that concern requests. A request ends exactly once, on every path.
 */
#ifndef ENTRY_REQUESTS_H
#define ENTRY_REQUESTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coord/claim.h"
#include "coord/ledger.h"

struct entry;
struct requests;

struct requests *requests_create(struct entry *entry);
void requests_destroy(struct requests *requests);
/* Registers the HTTP handlers on entry->server. */
void requests_serve(struct requests *requests);
/* The configuration or the list of servers has changed: serves the requests
 * that are queued for a server. */
void requests_configured(struct requests *requests);
/* The number of requests in flight, without kept ones. */
uint32_t requests_count(const struct requests *requests);

/* Callbacks of struct ledger_ops. */
void requests_granted(struct requests *requests,
		      const struct ledger_grant *grant);
void requests_refused(struct requests *requests,
		      const struct ledger_refusal *refusal);
void requests_duplicate(struct requests *requests,
			const struct ledger_duplicate *duplicate);
void requests_revoked(struct requests *requests, uint64_t request,
		      uint32_t attempt);
/* Callback of claims_create(). */
void requests_claimed(struct requests *requests, uint64_t request,
		      enum result_code code, const struct owner *winner);
/* The process stalled past its lease and may have lost its grants. Fails model
 * requests at once, and releases their grants when membership confirms that no
 * other instance has declared this one dead. */
void requests_paused(struct requests *requests);
/* Other instances declared this one dead: its grants are lost. */
void requests_refuted(struct requests *requests);
/* Appends the requests in flight as a JSON array, for operators. */
void requests_print(const struct requests *requests, GString *out);

#endif
