/*
 * gossip_fields.h - array sizes and bounds of the format of gossip_codec.h, for
 * encoder and decoder
 */
#ifndef FORWARD_GOSSIP_FIELDS_H
#define FORWARD_GOSSIP_FIELDS_H

/* Kinds up to this one may come from a later release. */
#define KIND_MAX 255
/* Further fields of a summary may, too. */
#define FIELDS_MAX 64
#define CHANGES_FIELDS 5
#define QUARANTINE_FIELDS 5
#define SUMMARY_FIELDS 20
/* Indexes of further fields of a summary, which earlier releases do not send.
 */
#define SUMMARY_SPEEDS 20
#define SUMMARY_RANKS 21
#define SPEED_FIELDS 4
/* Far more requests than wait at all instances of a data centre. */
#define RANK_WAITING_MAX (1u << 24)
#define ROOM_CLAIM_FIELDS 5
#define FACT_FIELDS 6
#define PERMIT_REQUEST_FIELDS 2
#define PERMIT_ANSWER_FIELDS 4
#define ORIGIN_FIELDS 2
#define ORIGIN_QUERY_FIELDS 4
#define ORIGIN_ANSWER_FIELDS 5
#define CALL_REQUEST_FIELDS 7
#define CALL_ANSWER_FIELDS 5
#define CALL_DONE_FIELDS 9
/* Longer than any plain call. */
#define CALL_USEC_MAX ((uint64_t)1 << 40)
/* Far longer than any stream. */
#define ORIGIN_WINDOW_USEC_MAX ((uint64_t)1 << 40)
/* Limits are encoded in thousandths. */
#define LIMIT_SCALE 1000
/* More thousandths of a request a second than any server takes. */
#define LIMIT_SCALED_MAX ((int64_t)1 << 40)
#define FACT_AGE_USEC_MAX ((uint64_t)1 << 50)
/* Longest delay before a retry of a permit request. */
#define RETRY_USEC_MAX 60000000
#define MIRROR_FIELDS 3
#define LOAD_FIELDS 4
#define USAGE_FIELDS 5
#define CHANGE_FIELDS 3
#define UNREACHABLE_FIELDS 2
/* Sum over all instances, far beyond any real one. */
#define PREFILL_RATES_MAX ((uint64_t)1 << 48)
#define FLAG_LEAVING 1u
#define FLAG_STORE_UNREACHABLE 2u
#define FLAG_LOWEST_STORE_UNREACHABLE 4u
#define FLAG_LINKS_LOST 8u
/* Largest valid load: tokens of all requests that a data centre may have at one
 * server. */
#define LOAD_MAX (1 << 30)
/* Longest time left of a change of role; no engine takes as long. */
#define CHANGE_MSEC_MAX 600000
/* Units of an allotment; enough for many years at any rate. */
#define USED_MAX ((int64_t)1 << 52)

#endif
