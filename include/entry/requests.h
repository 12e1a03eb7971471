/*
 * requests.h - requests in flight, from the caller's first byte to the end
 *
 * DESCRIPTION
 *	The HTTP handlers for callers, and the state machine of each request.
 *	All callbacks of ledger, claims and membership that concern requests
 *	arrive here. A request ends exactly once, on every path.
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
/* Registers the callers' paths on entry->server. */
void requests_serve(struct requests *requests);
/* The configuration or the servers known have changed: what waits for a
 * server may have one now. */
void requests_configured(struct requests *requests);
uint32_t requests_count(const struct requests *requests);

/* For struct ledger_ops. */
void requests_granted(struct requests *requests,
		      const struct ledger_grant *grant);
void requests_refused(struct requests *requests,
		      const struct ledger_refusal *refusal);
void requests_duplicate(struct requests *requests,
			const struct ledger_duplicate *duplicate);
void requests_revoked(struct requests *requests, uint64_t request,
		      uint32_t attempt);
/* For claims_create(). */
void requests_claimed(struct requests *requests, uint64_t request,
		      enum result_code code, const struct owner *winner);
/* The process stood still past its lease: what was held may be lost. It is
 * given up at once, and given back when no other instance has held this one
 * dead. */
void requests_paused(struct requests *requests);
/* Others held this instance dead: what it held is lost. */
void requests_refuted(struct requests *requests);
/* Appends the requests in flight as a JSON array, for the operators' view. */
void requests_print(const struct requests *requests, GString *out);

#endif
