/*
 * ledger_parts.h - what the ledger's files call of each other
 */
#ifndef COORD_LEDGER_PARTS_H
#define COORD_LEDGER_PARTS_H

#include "common/log.h"
#include "ledger_codec.h"
#include "ledger_prefix.h"
#include "ledger_types.h"

/* ledger_peer.c: acknowledgements, gathered for each peer for a short time. */
void ack_add(struct ledger *ledger, uint64_t peer, uint64_t incarnation,
	     enum ack_kind kind, uint64_t request, uint32_t attempt);
void acks_receive(struct ledger *ledger, uint64_t from, uint64_t incarnation,
		  struct reader *reader);
void peers_init(struct ledger *ledger);
void peers_clear(struct ledger *ledger);

/* ledger_cell.c: cells and who is home to them. */
struct cell *cell_create(struct ledger *ledger, uint64_t id,
			 const char *prefill_pool, const char *decode_pool);
void cell_destroy(struct cell *cell);
struct cell *cell_find(const struct ledger *ledger, uint64_t id);
uint64_t cell_id_of(struct ledger *ledger, const char *prefill_pool,
		    const char *decode_pool);
/* The cell's asks, struct waiting, in a list of the caller's own. */
GPtrArray *cell_asks(const struct cell *cell);
/* Takes up or lays down the roles that membership now gives. */
void cell_rehome(struct cell *cell);
/* Ends the settling when all live members were heard. */
void cell_settle_check(struct cell *cell);
/* A member died. What it held is unknown if it never announced it here. */
void cell_member_died(struct cell *cell, const struct member *member);
/* Lets the queue be looked at in the next turn. */
void cell_wake(struct cell *cell);
struct service *service_find(const struct ledger *ledger, uint32_t id);
bool owner_alive(const struct ledger *ledger, const struct owner *owner);
bool owner_equal(const struct owner *a, const struct owner *b);
guint tag_hash(const void *key);
gboolean tag_equal(const void *a, const void *b);

/* ledger_runner.c */
struct policy_runner *runner_view(const struct cell *cell, uint32_t index);
struct runner *runner_at(const struct cell *cell, uint32_t index);
uint32_t runner_index(const struct cell *cell, uint64_t id);
/* True when a runner came, went or changed. */
bool runners_set(struct cell *cell, const struct ledger_runner *list,
		 size_t count);
void runners_configure(struct cell *cell);
void runner_configure(struct cell *cell, uint32_t index);
void runner_list_clear(struct ledger *ledger);
void runner_list_set(struct ledger *ledger, const struct ledger_runner *list,
		     size_t count);
void runner_refresh(struct cell *cell, uint32_t index);
void runner_report(struct cell *cell, uint32_t index,
		   const struct ledger_report *report);
/* Reports from before now prove nothing any more. */
void runners_invalidate(struct cell *cell);
/* Forgets what only the home knows. */
void runners_reset(struct cell *cell);
void runner_destroy(void *runner);

/* ledger_grant.c */
/* Adds one that grant_find() does not find. */
struct grant *grant_create(struct cell *cell, const struct owner *owner,
			   uint64_t request, uint32_t attempt);
/* Lets grant_find() find it. */
void grant_hash(struct grant *grant);
struct grant *grant_find(const struct cell *cell, const struct owner *owner,
			 uint64_t request);
/* Counts the pieces on the decode runner. */
void grant_place(struct grant *grant, uint32_t prefill, uint32_t decode,
		 uint32_t pieces);
void grant_free(struct grant *grant);
/* Frees without a look at record or queue. */
void grant_discard(struct grant *grant);
void grant_send(struct grant *grant);
/* The holder is dead: a retry may adopt the stream for a while. */
void grant_orphan(struct grant *grant);
/* Ends it on the engine; its memory counts as held until that is known.
 * record_state is what the key's record becomes then. */
void grant_close(struct grant *grant, uint32_t record_state);
/* Its holder is done with it, and the engine may not be. */
void grant_end(struct grant *grant);
/* What its record becomes when nobody knows how it ended. */
uint32_t grant_unknown_state(const struct grant *grant);
void grant_learn_stream(struct grant *grant, const char *stream);
void grant_done_seen(struct grant *grant);
void grant_rekey(struct grant *grant, const struct owner *owner,
		 uint64_t request);
void grant_unhash(struct grant *grant);
void grant_to_entry(const struct grant *grant, struct grant_entry *entry);
struct grant *grant_from_entry(struct cell *cell,
			       const struct grant_entry *entry);
struct grant *grant_of_tag(const struct cell *cell, uint32_t decode,
			   const struct tag *tag);

/* ledger.c: finds a runner that this is home to. */
bool runner_lookup(const struct ledger *ledger, uint64_t runner,
		   struct cell **cell, uint32_t *index);

/* ledger_roles.c */
void arrival_count(struct cell *cell, const struct policy_request *need);
/* The runner is in the cell's other pool now: what was learnt of it in the
 * former role holds no more. */
void runner_set_pool(struct cell *cell, uint32_t index, const char *pool);

/* ledger_record.c */
struct record *record_find(const struct cell *cell, uint64_t key);
/* NULL when the table is full of running ones. */
struct record *record_add(struct cell *cell, uint64_t key);
void record_end(struct record *record, uint32_t state);
void record_remove(struct record *record);
void record_touch(struct record *record);
void record_set_owner(struct record *record, const struct owner *owner,
		      uint64_t request);
/* Looks again at the asks that waited for the record. */
void record_unpark(struct record *record);
/* Running records may have nobody behind them: looks for those for a while. */
void records_check_abandoned(struct cell *cell);
void record_merge(struct cell *cell, const struct record *copy);
void records_clear(struct cell *cell);
void records_init(struct cell *cell);

/* ledger_queue.c: asks that wait at the home. */
struct waiting *ask_find(const struct cell *cell, const struct owner *owner,
			 uint64_t request);
struct waiting *ask_add(struct cell *cell, const struct owner *owner,
			const struct submission *submission,
			struct service *service);
/* Finds out what is known of its key, then queues or answers it. */
void ask_resolve(struct waiting *waiting);
void ask_refuse(struct waiting *waiting, enum result_code code,
		int64_t retry_after);
/* Loses its key's record to another and is resolved anew. */
void ask_again(struct waiting *waiting);
/* Leaves queue, record and table. */
void ask_remove(struct waiting *waiting);
/* As the last, but the record stays. */
void ask_discard(struct waiting *waiting);
void ask_grant(struct waiting *waiting, uint32_t prefill, uint32_t decode);
void lane_rank(struct cell *cell, struct waiting *waiting, int64_t rank);
/* After ranks were set anew. */
void lanes_sort(struct cell *cell);
int64_t queue_time(const struct cell *cell, const struct policy_request *need);

/* ledger_prefill.c: when a prefill runner is expected to be free. */
void prefill_assign(struct grant *grant, int64_t time);
/* The prompt of a grant is known to be computed, or given up. */
void prefill_ended(struct grant *grant);
void prefill_reset(struct cell *cell, uint32_t index);
void prefill_apply_report(struct cell *cell, uint32_t index, int64_t taken);

/* ledger_view.c: the policy's view, and a pass over the queue. */
void queue_scan(struct cell *cell);
void view_fill(struct cell *cell, struct policy_view *view);

/* ledger_home.c */
void home_start(struct cell *cell);
void home_stop(struct cell *cell);
void home_settled(struct cell *cell);
/* Drops what belongs to owners that are dead now. */
void home_bury(struct cell *cell);
void home_receive_ask(struct ledger *ledger, uint64_t from,
		      uint64_t incarnation, struct reader *reader);
void home_receive_release(struct ledger *ledger, uint64_t from,
			  uint64_t incarnation, struct reader *reader);
void home_receive_progress(struct ledger *ledger, uint64_t from,
			   uint64_t incarnation, struct reader *reader);
void home_ack_granted(struct ledger *ledger, uint64_t from,
		      uint64_t incarnation, uint64_t request, uint32_t attempt);
void home_revoke(struct ledger *ledger, const struct owner *owner,
		 uint64_t request, uint32_t attempt);

/* ledger_orphan.c: streams that the runners list. */
void streams_listed(struct cell *cell, uint32_t index,
		    const struct ledger_stream *streams, size_t count);
void stream_cancelled(struct cell *cell, uint32_t index, const char *stream);
void stray_destroy(void *stray);

/* ledger_handover.c: announcements. */
void announce_init(struct cell *cell);
void announce_start(struct cell *cell);
void announce_stop(struct cell *cell);
void announce_receive(struct ledger *ledger, uint64_t from,
		      uint64_t incarnation, struct reader *reader);
void announce_receive_ack(struct ledger *ledger, uint64_t from,
			  struct reader *reader);
void announce_receive_unknown(struct ledger *ledger, uint64_t from,
			      struct reader *reader);
void announce_unknown_send(struct cell *cell, uint64_t to, uint64_t incarnation,
			   uint32_t epoch);
void announcer_destroy(void *announcer);

/* ledger_replica.c: copies of the records. */
void replica_init(struct cell *cell);
void replica_clear(struct cell *cell);
void replica_touch(struct cell *cell, uint64_t key);
/* The replica is another: it is sent all. */
void replica_restart(struct cell *cell);
void replica_receive(struct ledger *ledger, uint64_t from, uint64_t incarnation,
		     struct reader *reader);
void replica_receive_ack(struct ledger *ledger, uint64_t from,
			 struct reader *reader);

/* ledger_level.c: how busy the cell is, for other data centres. */
void level_init(struct cell *cell);
void level_start(struct cell *cell);
void level_stop(struct cell *cell);

/* ledger_remote.c: keys that other data centres know. */
void remote_init(struct cell *cell);
/* Forgets what was heard and what was yet to be told. */
void remote_reset(struct cell *cell);
void remote_clear(struct cell *cell);
/* The cell has a new record: the other data centres will be told. */
void remote_announce(struct cell *cell, uint64_t key);
/* Answers the ask when another data centre has its key; false when not. */
bool remote_redirect(struct waiting *waiting);
void remote_receive(struct ledger *ledger, uint64_t from, uint64_t incarnation,
		    struct reader *reader);

/* ledger_item.c: requests at their holder, and the calls of the embedder. */
struct item *item_find(const struct ledger *ledger, uint64_t request);
void item_send(struct item *item);
void item_remove(struct item *item);
void item_refused(struct item *item, enum result_code code,
		  int64_t retry_after);
void item_granted(struct item *item);
/* The home has it in its queue. */
void item_queued(struct item *item, uint32_t attempt);
/* Whether the home knows all that this instance holds in the cell. */
bool holder_known(const struct cell *cell);
void release_send(struct ledger *ledger, uint64_t cell, uint64_t to,
		  const struct item *item);

/* ledger_holder.c: what the homes answer. */
/* The home knows this instance: sends what waited for that. */
void holder_announced(struct cell *cell);
void holder_receive_grant(struct ledger *ledger, uint64_t from,
			  uint64_t incarnation, struct reader *reader);
void holder_receive_refuse(struct ledger *ledger, uint64_t from,
			   uint64_t incarnation, struct reader *reader);
void holder_receive_duplicate(struct ledger *ledger, uint64_t from,
			      uint64_t incarnation, struct reader *reader);
void holder_receive_elsewhere(struct ledger *ledger, uint64_t from,
			      uint64_t incarnation, struct reader *reader);
void holder_receive_revoke(struct ledger *ledger, uint64_t from,
			   uint64_t incarnation, struct reader *reader);
void holder_ack(struct ledger *ledger, uint64_t from, uint64_t incarnation,
		enum ack_kind kind, uint64_t request, uint32_t attempt);
/* A service may have other pools now: asks go to its cell. */
void holder_relink(struct ledger *ledger);
/* The own incarnation was raised: what was granted before is lost. */
void holder_reset(struct ledger *ledger);

#endif
