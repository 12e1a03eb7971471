/*
 * gossip_loads.c - the loads that peers put on servers
 */
#include "gossip_private.h"

static void load_sum_add(struct load_sum *sum, const struct load_sum *load,
			 int64_t factor)
{
	sum->requests += factor * load->requests;
	sum->decode_tokens += factor * load->decode_tokens;
	sum->prefill_tokens += factor * load->prefill_tokens;
}

static bool load_sum_is_zero(const struct load_sum *sum)
{
	return !sum->requests && !sum->decode_tokens && !sum->prefill_tokens;
}

void loads_remove(struct gossip *gossip, GArray *applied)
{
	for (guint i = 0; i < applied->len; i++) {
		const struct applied_load *one =
			&g_array_index(applied, struct applied_load, i);
		struct backend *backend = fleet_get(gossip->fleet, one->handle);

		if (backend)
			load_sum_add(&backend->peers, &one->load, -1);
	}
	g_array_set_size(applied, 0);
}

void loads_apply(struct gossip *gossip, GArray *applied, const GArray *changes)
{
	for (guint i = 0; i < changes->len; i++) {
		const struct gossip_load *load =
			&g_array_index(changes, struct gossip_load, i);
		struct backend *backend =
			fleet_find(gossip->fleet, load->backend);
		struct applied_load one = {.load = load->load};

		if (!backend)
			continue;
		one.handle = backend->handle;
		load_sum_add(&backend->peers, &one.load, 1);
		g_array_append_val(applied, one);
	}
}

void loads_replace(struct gossip *gossip, GArray *applied, const GArray *loads)
{
	loads_remove(gossip, applied);
	loads_apply(gossip, applied, loads);
}

void loads_own(const struct gossip *gossip, GArray *out)
{
	const GPtrArray *charged = fleet_charged(gossip->fleet);

	for (guint i = 0; i < charged->len; i++) {
		const struct backend *backend = charged->pdata[i];
		struct gossip_load load = {.backend = backend->key};

		load.load.requests = backend->own.requests;
		load.load.decode_tokens = backend->own.decode_tokens;
		load.load.prefill_tokens = backend->own.prefill_tokens;
		if (!load_sum_is_zero(&load.load))
			g_array_append_val(out, load);
	}
}

/* Adds a load to the list. index maps the key of a server to its position,
 * counted from 1. */
static void list_add(GArray *list, GHashTable *index, uint64_t key,
		     const struct load_sum *sum, int64_t factor)
{
	gpointer at = g_hash_table_lookup(index, &key);
	struct gossip_load *load;

	if (!at) {
		struct gossip_load added = {.backend = key};

		g_array_append_val(list, added);
		at = GUINT_TO_POINTER(list->len);
		g_hash_table_insert(index, g_memdup2(&key, sizeof(key)), at);
	}
	load = &g_array_index(list, struct gossip_load,
			      GPOINTER_TO_UINT(at) - 1);
	load_sum_add(&load->load, sum, factor);
}

static GHashTable *index_create(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void list_add_all(GArray *list, GHashTable *index, const GArray *loads,
			 int64_t factor)
{
	for (guint i = 0; i < loads->len; i++) {
		const struct gossip_load *load =
			&g_array_index(loads, struct gossip_load, i);

		list_add(list, index, load->backend, &load->load, factor);
	}
}

static void list_remove_zeroes(GArray *list)
{
	for (guint i = list->len; i > 0; i--)
		if (load_sum_is_zero(
			    &g_array_index(list, struct gossip_load, i - 1)
				     .load))
			g_array_remove_index_fast(list, i - 1);
}

static void list_add_applied(const struct gossip *gossip, GArray *list,
			     GHashTable *index, const GArray *applied)
{
	for (guint i = 0; i < applied->len; i++) {
		const struct applied_load *one =
			&g_array_index(applied, struct applied_load, i);
		const struct backend *backend =
			fleet_get(gossip->fleet, one->handle);

		if (backend)
			list_add(list, index, backend->key, &one->load, 1);
	}
}

void loads_group(const struct gossip *gossip, GArray *out)
{
	g_autoptr(GHashTable) index = index_create();
	g_autoptr(GArray) own =
		g_array_new(FALSE, TRUE, sizeof(struct gossip_load));

	loads_own(gossip, own);
	list_add_all(out, index, own, 1);
	for (guint i = 0; i < gossip->local->len; i++) {
		const struct peer *peer = gossip->local->pdata[i];

		list_add_applied(gossip, out, index, peer->loads);
	}
	list_remove_zeroes(out);
}

void loads_diff(const GArray *before, const GArray *now, GArray *out)
{
	g_autoptr(GHashTable) index = index_create();

	list_add_all(out, index, now, 1);
	list_add_all(out, index, before, -1);
	list_remove_zeroes(out);
}
