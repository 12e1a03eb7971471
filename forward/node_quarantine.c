/*
 * node_quarantine.c - works under which servers ended, between this instance,
 * the others and the store
 *
 * DESCRIPTION
 *	Instances tell each other at once (gossip.h). What is held outlasts them
 *	all in the store: the instance that decides for the site writes it, one
 *	record a work, and whoever starts reads it with the list of instances,
 *	so that costs no call more. A data centre that is cut off from the
 *	others reads it meanwhile.
 */
#include "node.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/log.h"

/* Works that are held, and those that are suspected. A work is held after three
 * servers, so an attacker needs 12,000 lost servers to let one go; a lost
 * server makes 64 suspects at most. 2 MiB in all. */
#define HELD_MAX 4096u
#define SUSPECTS_MAX 4096u
/* How long a write that failed is not repeated. */
#define STORE_RETRY_USEC (500 * USEC_PER_MSEC)

/* Well within the three seconds after which all are to know; five calls in a
 * cut of five seconds, of one instance a data centre. */
#define PARTED_READ_USEC (1 * USEC_PER_SEC)

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

static void heard_log(const struct node *node, const char *from,
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

bool node_quarantine_received(void *ctx, const struct quarantine_entry *entry)
{
	struct node *node = ctx;

	if (!quarantine_merge(node->quarantine, entry))
		return false;
	heard_log(node, "peer", &entry->fingerprint);
	return true;
}

uint32_t node_quarantine_next(void *ctx, struct quarantine_entry *entries,
			      uint32_t most)
{
	const struct node *node = ctx;

	return quarantine_next(node->quarantine, entries, most);
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

/* The epoch and the servers, in hexadecimal. */
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
			  LOG_D("offset", record->offset));
	else if (quarantine_merge(node->quarantine, &entry))
		heard_log(node, "store", &entry.fingerprint);
	return true;
}

static void on_stored(void *ctx, enum result_code code)
{
	struct node *node = ctx;
	struct node_storing *storing = &node->storing;

	storing->under_way = false;
	if (code == RESULT_OK)
		quarantine_stored(node->quarantine, &storing->fingerprint,
				  storing->held);
	else
		storing->again_at = clock_now(node->clock) + STORE_RETRY_USEC;
	log_event(code == RESULT_OK ? LOG_NOTICE : LOG_WARNING, "work_stored",
		  LOG_X("work", storing->fingerprint.high),
		  LOG_D("held", storing->held),
		  LOG_S("result", result_label(code)));
}

static void works_store(struct node *node)
{
	struct node_storing *storing = &node->storing;
	struct quarantine_entry entry;
	g_autofree char *value = NULL;
	char key[KEY_SIZE];

	if (storing->under_way || clock_now(node->clock) < storing->again_at ||
	    !quarantine_unstored(node->quarantine, &entry) ||
	    !node_decides(node))
		return;
	storing->under_way = true;
	storing->fingerprint = entry.fingerprint;
	storing->held = quarantine_holds(node->quarantine, &entry.fingerprint);
	key_print(&entry.fingerprint, key);
	value = value_print(&entry);
	node->interface.put(node->interface.ctx, PEER_STREAM, key,
			    storing->held ? value : NULL, on_stored, node);
}

/* Cut off from the other data centres, but not from the store: what they hold
 * is known by no other way. One instance of the data centre asks for its own.
 */
static void works_fetch(struct node *node)
{
	int64_t now = clock_now(node->clock);

	if (now - node->works_read < PARTED_READ_USEC || !node->registered ||
	    !gossip_partitioned(node->gossip) || gossip_rank(node->gossip) > 0)
		return;
	node->works_read = now;
	feed_poll(node->peer_feed);
}

void node_quarantine_tick(struct node *node)
{
	works_store(node);
	works_fetch(node);
}
