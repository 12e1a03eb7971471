/*
 * suspects.h - what the crash of a server is blamed on
 *
 * DESCRIPTION
 *	The crash of a server may be caused by a request that it ran, whose
 *	repeats then crash further servers, or by one part of the request's
 *	prompt, which other requests have too. So a crash is recorded in the
 *	quarantine (coord/quarantine.h) against the request as a whole and
 *	against each of its parts, which others may share; for parts, crashes
 *	after the answer had begun are counted apart, and it takes more of them.
 *
 *	Sound parts occur in the same requests as the one that crashes servers,
 *	and sound requests run beside those that do. Those in common use have
 *	succeeded within the last minute and are not recorded. The others are
 *	told apart by the servers that crashed: an entry does not refuse a
 *	request if others, about something that the request does not have,
 *	account for its crashes and have more of them. If they have as many, a
 *	part does not refuse the request, and a few requests are let through as
 *	half-open probes.
 *
 *	A held part, unlike a held request, may be a common one of which no run
 *	is left that could clear it. So a growing share of the requests with it
 *	are probes in any case, until one clears it or crashes another server;
 *	after each crash the next probe comes about twice as late.
 *
 *	A part is identified by its name together with the service and the
 *	caller, so no caller can have the parts of another one held. If several
 *	callers use a part that crashes servers, their crashes add up, and it
 *	is refused to each of them after one crash of its own. A request
 *	or part may crash servers of one software version only, so each version
 *	has entries of its own (suspects_at()), and a new version begins without
 *	any.
 */
#ifndef COORD_SUSPECTS_H
#define COORD_SUSPECTS_H

#include "coord/quarantine.h"

/* The request, 32 parts of its prompt, and all further ones together. */
#define REQUEST_SUSPECTS_MAX 34u

struct suspect {
	struct request_fingerprint fingerprint;
	uint64_t keyed_hash;
};

/* The request as a whole is the first one. */
struct suspects {
	struct suspect items[REQUEST_SUSPECTS_MAX];
	uint32_t count;
	bool begun; /* the answer had begun when the server crashed */
	/* Keyed hash of the attempt's id: which attempts are probes. */
	uint64_t attempt;
};

/* The entry of the quarantine has changed and is to be announced. */
typedef void (*suspect_changed_fn)(
	void *ctx, const struct request_fingerprint *fingerprint);

/* Drops those beyond REQUEST_SUSPECTS_MAX. */
void suspects_add(struct suspects *suspects, struct suspect suspect);

/* The suspects for servers with that version of their software: a crash or
 * success at one version is none at another. */
struct suspects suspects_at(const struct suspects *suspects, uint64_t software);
/* A server process crashed while it ran the request. */
void suspects_record_crash(struct quarantine *quarantine,
			   const struct suspects *suspects, uint64_t server,
			   int64_t now, suspect_changed_fn fn, void *ctx);
/* The request ended and its server is still alive. Only the keyed hashes are
 * used. */
void suspects_record_success(struct quarantine *quarantine,
			     const struct suspects *suspects, int64_t now);
/* Clears their entries after a success. */
void suspects_clear(struct quarantine *quarantine,
		    const struct suspects *suspects, suspect_changed_fn fn,
		    void *ctx);
/* The entry for which the request is to be refused, or NULL. Clears held
 * entries of suspects that have succeeded here within the last minute: they
 * come from instances that do not know it. */
const struct quarantine_entry *
suspects_find_held(struct quarantine *quarantine,
		   const struct suspects *suspects, int64_t now,
		   suspect_changed_fn fn, void *ctx);
/* Whether any of them is known to have crashed servers, parts before the answer
 * began, and has not succeeded here within the last minute. */
bool suspects_crashed(const struct quarantine *quarantine,
		      const struct suspects *suspects, int64_t now);

#endif
