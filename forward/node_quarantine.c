/*
 * node_quarantine.c - exchange of quarantine entries with other instances and
 * the store
 *
 * DESCRIPTION
 *	Instances announce changed entries to each other at once (gossip.h).
 *	Requests in quarantine are also written to the store, so that they
 *	survive a restart of all instances. The leader of the site writes one
 *	record for each; an instance reads them at its start with the list of
 *	instances, which takes no extra call. A partitioned data centre reads
 *	them repeatedly.
 */
#include "node.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/log.h"
#include "common/position.h"

/* Maximum numbers of held entries and of suspects, 3 MiB in total. */
#define HELD_MAX 4096u
#define SUSPECTS_MAX 4096u
/* Delay before a failed write is retried. */
#define STORE_RETRY_USEC (500 * USEC_PER_MSEC)

/* Interval of reads during a partition. All instances must know an entry after
 * three seconds; a partition of five seconds costs five calls per data centre.
 */
#define PARTITION_READ_USEC (1 * USEC_PER_SEC)

#define KEY_PREFIX "work "
#define KEY_SIZE (sizeof(KEY_PREFIX) + 32)

struct quarantine *node_quarantine_create(const struct node *node)
{
	const struct quarantine_settings settings = {
		.crash_threshold = node->settings.quarantine_crashes,
		.held_max = HELD_MAX,
		.suspects_max = SUSPECTS_MAX,
	};

	return quarantine_create(&settings);
}

void node_quarantine_changed(void *ctx,
			     const struct request_fingerprint *fingerprint)
{
	struct node *node = ctx;
	const struct quarantine_entry *entry =
		quarantine_find(node->quarantine, fingerprint);

	if (entry)
		gossip_quarantine_changed(node->gossip, entry);
}

static void received_log(const struct node *node, const char *from,
			 const struct request_fingerprint *fingerprint)
{
	const struct quarantine_entry *entry =
		quarantine_find(node->quarantine, fingerprint);

	log_event(
		LOG_INFO, "work_heard", LOG_X("work", fingerprint->high),
		LOG_S("from", from), LOG_D("servers", entry->count),
		LOG_D("epoch", entry->epoch),
		LOG_D("held", quarantine_holds(node->quarantine, fingerprint)));
}

static void servers_set_crashed(const struct node *node,
				const struct quarantine_entry *entry)
{
	for (uint32_t i = 0; i < entry->count; i++) {
		struct backend *backend =
			fleet_find(node->fleet, entry->servers[i]);

		if (backend)
			backend_set_crashed(backend);
	}
}

bool node_quarantine_received(void *ctx, const struct quarantine_entry *entry)
{
	struct node *node = ctx;

	if (!quarantine_merge(node->quarantine, entry, clock_now(node->clock)))
		return false;
	servers_set_crashed(node, entry);
	received_log(node, "peer", &entry->fingerprint);
	return true;
}

uint32_t node_quarantine_next(void *ctx, struct quarantine_entry *entries,
			      uint32_t max)
{
	const struct node *node = ctx;

	return quarantine_next(node->quarantine, entries, max);
}

/* ---- the store ---- */

static void key_print(const struct request_fingerprint *fingerprint,
		      char key[KEY_SIZE])
{
	(void)snprintf(key, KEY_SIZE, KEY_PREFIX "%016" PRIx64 "%016" PRIx64,
		       fingerprint->high, fingerprint->low);
}

static bool key_read(const char *key, struct request_fingerprint *fingerprint)
{
	return strlen(key) == KEY_SIZE - 1 &&
	       sscanf(key, KEY_PREFIX "%16" SCNx64 "%16" SCNx64,
		      &fingerprint->high, &fingerprint->low) == 2;
}

/* The value is the epoch and the servers, in hexadecimal. */
static char *value_print(const struct quarantine_entry *entry)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%" PRIx32, entry->epoch);
	for (uint32_t i = 0; i < entry->count; i++)
		g_string_append_printf(text, " %" PRIx64, entry->servers[i]);
	return g_string_free(text, FALSE);
}

static bool value_read(const struct feed_record *record,
		       struct quarantine_entry *entry)
{
	g_autofree char *text = g_strndup(record->value, record->size);
	g_auto(GStrv) words = g_strsplit(text, " ", -1);
	uint32_t count = g_strv_length(words);
	guint64 number;

	if (count < 2 || count > QUARANTINE_CRASHES_MAX + 1 ||
	    !g_ascii_string_to_unsigned(words[0], 16, 0, UINT32_MAX, &number,
					NULL))
		return false;
	entry->epoch = (uint32_t)number;
	for (entry->count = 0; entry->count < count - 1; entry->count++) {
		if (!g_ascii_string_to_unsigned(words[entry->count + 1], 16, 0,
						UINT64_MAX, &number, NULL))
			return false;
		entry->servers[entry->count] = number;
	}
	return true;
}

bool node_quarantine_read(struct node *node, const struct feed_record *record)
{
	struct quarantine_entry entry = {.stored = true};

	if (!g_str_has_prefix(record->key, KEY_PREFIX))
		return false;
	if (!key_read(record->key, &entry.fingerprint) ||
	    !value_read(record, &entry))
		log_event(LOG_WARNING, "work_malformed",
			  LOG_S("key", record->key),
			  LOG_D("offset", position_offset(record->offset)));
	else if (quarantine_merge(node->quarantine, &entry,
				  clock_now(node->clock)))
		received_log(node, "store", &entry.fingerprint);
	return true;
}

static void on_written(void *ctx, enum result_code code)
{
	struct node *node = ctx;
	struct quarantine_write *write = &node->quarantine_write;

	write->in_progress = false;
	if (code == RESULT_OK)
		quarantine_stored(node->quarantine, &write->fingerprint,
				  write->held);
	else
		write->retry_at = clock_now(node->clock) + STORE_RETRY_USEC;
	log_event(code == RESULT_OK ? LOG_NOTICE : LOG_WARNING, "work_stored",
		  LOG_X("work", write->fingerprint.high),
		  LOG_D("held", write->held),
		  LOG_S("result", result_label(code)));
}

static void quarantine_write_next(struct node *node)
{
	struct quarantine_write *write = &node->quarantine_write;
	struct quarantine_entry entry;
	g_autofree char *value = NULL;
	char key[KEY_SIZE];

	if (write->in_progress || clock_now(node->clock) < write->retry_at ||
	    !quarantine_unstored(node->quarantine, &entry) ||
	    !node_decides(node))
		return;
	write->in_progress = true;
	write->fingerprint = entry.fingerprint;
	write->held = quarantine_holds(node->quarantine, &entry.fingerprint);
	key_print(&entry.fingerprint, key);
	value = value_print(&entry);
	node->interface.put(node->interface.ctx, PEER_STREAM, key,
			    write->held ? value : NULL, on_written, node);
}

/* During a partition from the other data centres, their entries can only come
 * from the store. One instance reads them for its data centre. */
static void quarantine_read_remote(struct node *node)
{
	int64_t now = clock_now(node->clock);

	if (now - node->quarantine_read_at < PARTITION_READ_USEC ||
	    !node->registered || !gossip_partitioned(node->gossip) ||
	    gossip_rank(node->gossip) > 0)
		return;
	node->quarantine_read_at = now;
	feed_poll(node->peer_feed);
}

void node_quarantine_tick(struct node *node)
{
	quarantine_write_next(node);
	quarantine_read_remote(node);
}
