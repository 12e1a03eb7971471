/*
 * gossip_fields.h - sizes and bounds of what gossip_codec.h writes, for both of
 * its halves
 */
#ifndef FORWARD_GOSSIP_FIELDS_H
#define FORWARD_GOSSIP_FIELDS_H

#define CHANGES_FIELDS 5
#define QUARANTINE_FIELDS 5
#define SUMMARY_FIELDS 20
#define FACT_FIELDS 6
#define PERMIT_REQUEST_FIELDS 2
#define PERMIT_ANSWER_FIELDS 4
/* Thousandths in one, as limits are written. */
#define LIMIT_SCALE 1000
/* No server takes so many thousandths of a request a second. */
#define LIMIT_SCALED_MAX ((int64_t)1 << 40)
#define FACT_AGE_USEC_MAX ((uint64_t)1 << 50)
/* Longest that an asker is told to wait. */
#define RETRY_USEC_MAX 60000000
#define MIRROR_FIELDS 3
#define LOAD_FIELDS 4
#define USAGE_FIELDS 5
#define CHANGE_FIELDS 3
#define UNREACHABLE_FIELDS 2
/* Of all instances together, far beyond any engine. */
#define PREFILL_RATES_MAX ((uint64_t)1 << 48)
#define FLAG_LEAVING 1u
#define FLAG_STORE_UNREACHABLE 2u
#define FLAG_LOWEST_STORE_UNREACHABLE 4u
#define FLAGS_ALL                                                              \
	(FLAG_LEAVING | FLAG_STORE_UNREACHABLE | FLAG_LOWEST_STORE_UNREACHABLE)
/* Largest load that is taken for one: tokens of all requests that a data centre
 * may have at one server. */
#define LOAD_MAX (1 << 30)
/* Longest that a server is taken for changing; no engine takes so long. */
#define CHANGE_MSEC_MAX 600000
/* Units of an allotment, many years at any rate. */
#define USED_MAX ((int64_t)1 << 52)

#endif
