/*
 * ledger_parts.h - functions shared by the ledger's files
 */
#ifndef COORD_LEDGER_PARTS_H
#define COORD_LEDGER_PARTS_H

#include "common/log.h"
#include "ledger_codec.h"
#include "ledger_prefix.h"
#include "ledger_types.h"

/* ledger_peer.c: acknowledgements, batched per peer. */
void ack_add(struct ledger *ledger, uint64_t peer, uint64_t incarnation,
	     enum ack_kind kind, uint64_t request, uint32_t attempt);
void acks_receive(struct ledger *ledger, uint64_t from, uint64_t incarnation,
		  struct reader *reader);
void peers_init(struct ledger *ledger);
void peers_clear(struct ledger *ledger);

/* ledger_cell.c: cells, their homes and replicas. */
struct cell *cell_create(struct ledger *ledger, uint64_t id,
			 const char *prefill_pool, const char *decode_pool);
void cell_destroy(struct cell *cell);
struct cell *cell_find(const struct ledger *ledger, uint64_t id);
uint64_t cell_id_of(struct ledger *ledger, const char *prefill_pool,
		    const char *decode_pool);
/* A new list of the cell's struct pending; the caller frees it. */
GPtrArray *cell_pending_requests(const struct cell *cell);
/* Starts or stops being home or replica by the current membership. */
void cell_update_home(struct cell *cell);
/* Ends the settling time once all live members have announced. */
void cell_settle_check(struct cell *cell);
/* A member died; its grants are unknown if it never announced them here. */
void cell_member_died(struct cell *cell, const struct member *member);
/* Scans the queue in the next iteration of the event loop. */
void cell_schedule_scan(struct cell *cell);
struct service *service_find(const struct ledger *ledger, uint32_t id);
bool owner_alive(const struct ledger *ledger, const struct owner *owner);
bool owner_equal(const struct owner *a, const struct owner *b);
guint tag_hash(const void *key);
gboolean tag_equal(const void *a, const void *b);

/* ledger_runner.c */
struct policy_runner *runner_view(const struct cell *cell, uint32_t index);
struct runner *runner_at(const struct cell *cell, uint32_t index);
uint32_t runner_index(const struct cell *cell, uint64_t id);
/* True if a runner was added, removed or changed. */
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
/* Runners are usable again only after a new report and listing. */
void runners_invalidate(struct cell *cell);
/* Clears the state that only the home keeps. */
void runners_reset(struct cell *cell);
void runner_destroy(void *runner);

/* ledger_grant.c */
/* Not found by grant_find() before grant_hash(). */
struct grant *grant_create(struct cell *cell, const struct owner *owner,
			   uint64_t request, uint32_t attempt);
void grant_hash(struct grant *grant);
struct grant *grant_find(const struct cell *cell, const struct owner *owner,
			 uint64_t request);
/* Reserves the pieces on the decode runner. */
void grant_place(struct grant *grant, uint32_t prefill, uint32_t decode,
		 uint32_t pieces);
void grant_free(struct grant *grant);
/* As grant_free(), but without a scan of the queue. */
void grant_discard(struct grant *grant);
void grant_send(struct grant *grant);
/* The holder is dead: a retry may adopt the stream for a while. */
void grant_orphan(struct grant *grant);
/* Cancels the stream on the engine. The memory stays reserved until the engine
 * confirms the end; the key's record then gets record_state. */
void grant_close(struct grant *grant, uint32_t record_state);
/* The grant's holder has finished, but the engine may still run the stream. */
void grant_end(struct grant *grant);
/* State of the record when the outcome is unknown. */
uint32_t grant_unknown_state(const struct grant *grant);
void grant_set_stream(struct grant *grant, const char *stream);
void grant_confirm_ended(struct grant *grant);
void grant_rekey(struct grant *grant, const struct owner *owner,
		 uint64_t request);
void grant_unhash(struct grant *grant);
void grant_to_entry(const struct grant *grant, struct grant_entry *entry);
struct grant *grant_from_entry(struct cell *cell,
			       const struct grant_entry *entry);
struct grant *grant_find_by_tag(const struct cell *cell, uint32_t decode,
				const struct tag *tag);

/* ledger.c: finds a runner that this instance is home to. */
bool runner_lookup(const struct ledger *ledger, uint64_t runner,
		   struct cell **cell, uint32_t *index);

/* ledger_roles.c */
void arrival_count(struct cell *cell, const struct policy_request *need);
/* The runner has moved to the cell's other pool: discards its measurements in
 * the previous role. */
void runner_set_pool(struct cell *cell, uint32_t index, const char *pool);

/* ledger_record.c */
struct record *record_find(const struct cell *cell, uint64_t key);
/* NULL if the table is full and all records are of running requests. */
struct record *record_add(struct cell *cell, uint64_t key);
void record_end(struct record *record, uint32_t state);
void record_remove(struct record *record);
void record_touch(struct record *record);
void record_set_owner(struct record *record, const struct owner *owner,
		      uint64_t request);
/* Resolves the pending requests that waited for the record. */
void record_unpark(struct record *record);
/* For a limited time, ends running records that have neither a grant nor a
 * pending request. */
void records_check_abandoned(struct cell *cell);
void record_merge(struct cell *cell, const struct record *copy);
void records_clear(struct cell *cell);
void records_init(struct cell *cell);

/* ledger_queue.c: requests that wait at the home. */
struct pending *pending_find(const struct cell *cell, const struct owner *owner,
			     uint64_t request);
struct pending *pending_add(struct cell *cell, const struct owner *owner,
			    const struct submission *submission,
			    struct service *service);
/* Looks up the request's key, then queues or answers the request. */
void pending_resolve(struct pending *pending);
void pending_refuse(struct pending *pending, enum result_code code,
		    int64_t retry_after);
/* Resolves the request again after another took the record of its key. */
void pending_restart(struct pending *pending);
/* Removes the request from queue and table, and ends its record. */
void pending_remove(struct pending *pending);
/* As pending_remove(), but keeps the record. */
void pending_discard(struct pending *pending);
void pending_grant(struct pending *pending, uint32_t prefill, uint32_t decode);
void lane_rank(struct cell *cell, struct pending *pending, int64_t rank);
/* Restores the order after ranks have changed. */
void lanes_sort(struct cell *cell);
int64_t queue_time(const struct cell *cell, const struct policy_request *need);

/* ledger_prefill.c: when a prefill runner is expected to be free. */
void prefill_assign(struct grant *grant, int64_t time);
/* The grant's prompt has been computed or abandoned. */
void prefill_ended(struct grant *grant);
void prefill_reset(struct cell *cell, uint32_t index);
void prefill_apply_report(struct cell *cell, uint32_t index, int64_t taken);

/* ledger_view.c: the policy's view, and scans of the queue. */
void queue_scan(struct cell *cell);
void view_fill(struct cell *cell, struct policy_view *view);

/* ledger_home.c */
void home_start(struct cell *cell);
void home_stop(struct cell *cell);
void home_settled(struct cell *cell);
/* Drops pending requests of dead owners and orphans their grants. */
void home_drop_dead(struct cell *cell);
void home_receive_submit(struct ledger *ledger, uint64_t from,
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

/* ledger_replica.c: replication of the records. */
void replica_init(struct cell *cell);
void replica_clear(struct cell *cell);
void replica_touch(struct cell *cell, uint64_t key);
/* Sends all records, after a change of replica. */
void replica_restart(struct cell *cell);
void replica_receive(struct ledger *ledger, uint64_t from, uint64_t incarnation,
		     struct reader *reader);
void replica_receive_ack(struct ledger *ledger, uint64_t from,
			 struct reader *reader);

/* ledger_level.c: the cell's load level, for other data centres. */
void level_init(struct cell *cell);
void level_start(struct cell *cell);
void level_stop(struct cell *cell);

/* ledger_remote.c: keys that other data centres know. */
void remote_init(struct cell *cell);
/* Clears received keys and keys not yet announced. */
void remote_reset(struct cell *cell);
void remote_clear(struct cell *cell);
/* Announces a new record's key to the other data centres. */
void remote_announce(struct cell *cell, uint64_t key);
/* Answers the request and returns true if another data centre has its key. */
bool remote_redirect(struct pending *pending);
void remote_receive(struct ledger *ledger, uint64_t from, uint64_t incarnation,
		    struct reader *reader);

/* ledger_item.c: requests at their holder, and the calls of the embedder. */
struct item *item_find(const struct ledger *ledger, uint64_t request);
void item_send(struct item *item);
void item_remove(struct item *item);
void item_refused(struct item *item, enum result_code code,
		  int64_t retry_after);
void item_granted(struct item *item);
/* The home has queued the request. */
void item_queued(struct item *item, uint32_t attempt);
/* Whether the home has acknowledged this instance's announcement. */
bool announce_is_complete(const struct cell *cell);
void release_send(struct ledger *ledger, uint64_t cell, uint64_t to,
		  const struct item *item);

/* ledger_holder.c: answers of the homes. */
/* The announcement is acknowledged: sends the messages that waited for it. */
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
/* Resubmits requests whose service has moved to another cell. */
void holder_relink(struct ledger *ledger);
/* This instance has a new incarnation: its earlier grants are lost. */
void holder_reset(struct ledger *ledger);

#endif
