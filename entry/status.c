/*
 * status.c - state of an instance for operators, as JSON
 */
#include <jansson.h>

#include "common/hex.h"
#include "coord/fold.h"
#include "coord/ledger.h"
#include "coord/member.h"
#include "entry/admin.h"
#include "entry/directory.h"
#include "entry/entry.h"
#include "entry/orders.h"
#include "entry/own_platform.h"
#include "entry/peers.h"
#include "entry/requests.h"

#define CHANGES_SHOWN 10

static json_t *id_json(uint64_t id)
{
	char text[HEX_ID_SIZE];

	return json_string(hex_id(text, id));
}

static const char *member_state_label(enum member_state state)
{
	static const char *const labels[] = {
		[MEMBER_ALIVE] = "alive",
		[MEMBER_SUSPECT] = "suspect",
		[MEMBER_LEAVING] = "leaving",
		[MEMBER_DEAD] = "dead",
	};

	return labels[state];
}

static json_t *members_json(const struct entry *entry)
{
	json_t *list = json_array();
	const struct member *member;
	uint32_t cursor = 0;

	while ((member = membership_next(entry->membership, &cursor)))
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:s, s:o}", "name",
				  member->name, "data_centre",
				  member->data_centre, "state",
				  member_state_label(member->state),
				  "peer_address", member->peer_address,
				  "address", member->http_address,
				  "incarnation", id_json(member->incarnation)));
	return list;
}

static json_t *runners_json(const struct entry *entry)
{
	json_t *list = json_array();
	const struct backend *backend;
	uint32_t cursor = 0;

	while ((backend = directory_next(entry->directory, &cursor)))
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:b, s:b, s:b}", "name",
				  backend->name, "pool", backend->pool,
				  "data_centre", backend->data_centre,
				  "address", backend->address, "leaving",
				  backend->leaving, "listed", backend->listed,
				  "home",
				  ledger_is_home(entry->ledger, backend->id)));
	return list;
}

static const char *pool_role_label(enum pool_role role)
{
	static const char *const labels[] = {
		[POOL_PREFILL] = "prefill",
		[POOL_DECODE] = "decode",
		[POOL_PLAIN] = "plain",
	};

	return labels[role];
}

static json_t *pools_json(const struct entry *entry)
{
	json_t *list = json_array();

	for (size_t i = 0; entry->config && i < entry->config->pool_count;
	     i++) {
		const struct config_pool *pool = &entry->config->pools[i];

		json_array_append_new(
			list, json_pack("{s:s, s:s}", "name", pool->name,
					"role", pool_role_label(pool->role)));
	}
	return list;
}

static json_t *ledger_json(const struct entry *entry)
{
	struct ledger_stats stats = {0};

	ledger_stats(entry->ledger, &stats);
	return json_pack("{s:i, s:i, s:i, s:i, s:i, s:I}", "waiting",
			 (int)stats.waiting, "grants", (int)stats.grants,
			 "held", (int)stats.held, "records", (int)stats.records,
			 "cells", (int)stats.cells, "cancels",
			 (json_int_t)stats.cancels);
}

static json_t *change_json(const struct fold_audit *audit)
{
	return json_pack(
		"{s:I, s:I, s:I, s:s, s:i, s:s, s:s, s:o, s:I}", "revision",
		(json_int_t)audit->offset, "base", (json_int_t)audit->base,
		"unix_us", (json_int_t)audit->unix_us, "author", audit->author,
		"code", (int)audit->code, "result", result_label(audit->code),
		"reason", audit->reason, "content_hash",
		id_json(audit->content_hash), "size", (json_int_t)audit->size);
}

/* The newest count_max changes, oldest first. */
static json_t *changes_json(const struct entry *entry, size_t count_max)
{
	const struct fold_audit *entries = NULL;
	size_t count = fold_history(entry->fold, &entries);
	size_t from = count > count_max ? count - count_max : 0;
	json_t *list = json_array();

	for (size_t i = from; i < count; i++)
		json_array_append_new(list, change_json(&entries[i]));
	return list;
}

static json_t *requests_json(const struct entry *entry)
{
	GString *text = g_string_new(NULL);

	requests_print(entry->requests, text);
	json_t *json = json_loadb(text->str, text->len, 0, NULL);

	g_string_free(text, TRUE);
	return json ? json : json_array();
}

static json_t *instance_json(const struct entry *entry)
{
	const struct member *self = membership_self(entry->membership);

	return json_pack("{s:s, s:s, s:o, s:s, s:s, s:b, s:I}", "name",
			 self->name, "data_centre", self->data_centre,
			 "incarnation", id_json(self->incarnation),
			 "peer_address", self->peer_address, "address",
			 self->http_address, "draining", entry->draining,
			 "uptime_us", (json_int_t)clock_now(entry->clock));
}

static json_t *platform_json(const struct entry *entry)
{
	int64_t at = platform_listed_at(entry->platform);
	int64_t age = at < 0 ? -1 : clock_now(entry->clock) - at;

	return json_pack("{s:b, s:I}", "configured",
			 entry->settings.platform != NULL, "list_age_us",
			 (json_int_t)age);
}

static void json_append(GString *out, json_t *json)
{
	char *text = json_dumps(json, JSON_INDENT(2));

	g_string_append(out, text ? text : "{}");
	g_string_append_c(out, '\n');
	free(text);
	json_decref(json);
}

void status_print(const struct entry *entry, GString *out)
{
	json_t *json = json_object();

	json_object_set_new(json, "instance", instance_json(entry));
	json_object_set_new(json, "version", json_string(JT_VERSION));
	json_object_set_new(json, "revision",
			    json_integer((json_int_t)entry->revision));
	json_object_set_new(
		json, "policy",
		json_string(entry->config ? entry->config->policy.name : ""));
	json_object_set_new(json, "platform", platform_json(entry));
	json_object_set_new(json, "links",
			    json_integer(peers_links(entry->peers)));
	json_object_set_new(json, "members", members_json(entry));
	json_object_set_new(json, "pools", pools_json(entry));
	json_object_set_new(json, "runners", runners_json(entry));
	json_object_set_new(json, "roles", entry_orders_json(entry->orders));
	json_object_set_new(json, "ledger", ledger_json(entry));
	json_object_set_new(json, "requests", requests_json(entry));
	json_object_set_new(json, "changes",
			    changes_json(entry, CHANGES_SHOWN));
	json_append(out, json);
}

static void gauge_set(const struct entry *entry, const char *name,
		      const char *help, const char *labels, uint64_t value)
{
	gauge_get(entry->counters, name, help, labels)->value = (int64_t)value;
}

static void members_measure(const struct entry *entry)
{
	uint64_t counts[MEMBER_DEAD + 1] = {0};
	const struct member *member;
	uint32_t cursor = 0;
	char labels[64];

	while ((member = membership_next(entry->membership, &cursor)))
		counts[member->state]++;
	for (int state = MEMBER_ALIVE; state <= MEMBER_DEAD; state++) {
		(void)g_snprintf(labels, sizeof(labels), "state=\"%s\"",
				 member_state_label(state));
		gauge_set(entry, "jt_members", "Instances known, own included",
			  labels, counts[state]);
	}
}

void status_measure(const struct entry *entry)
{
	struct ledger_stats stats = {0};

	ledger_stats(entry->ledger, &stats);
	gauge_set(entry, "jt_requests_in_flight", "Requests not yet answered",
		  NULL, requests_count(entry->requests));
	gauge_set(entry, "jt_ledger_waiting",
		  "Requests in the queues of cells at home here", NULL,
		  stats.waiting);
	gauge_set(entry, "jt_ledger_grants",
		  "Grants given by cells at home here", NULL, stats.grants);
	gauge_set(entry, "jt_ledger_held", "Grants held for requests here",
		  NULL, stats.held);
	gauge_set(entry, "jt_ledger_records",
		  "Records of keyed requests, replicas included", NULL,
		  stats.records);
	gauge_set(entry, "jt_ledger_cells", "Cells at home here", NULL,
		  stats.cells);
	counter_get(entry->counters, "jt_ledger_cancels_total",
		    "Ends of streams asked of runners by cells at home here",
		    NULL)
		->value = (int64_t)stats.cancels;
	members_measure(entry);
	peers_counters_update(entry->peers);
}

void history_print(const struct entry *entry, GString *out)
{
	json_append(out,
		    json_pack("{s:I, s:o}", "revision",
			      (json_int_t)fold_revision(entry->fold), "changes",
			      changes_json(entry, FOLD_HISTORY_MAX)));
}
