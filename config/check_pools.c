#include <glib.h>

#include "config/rule.h"

#define PREFILL (1u << POOL_PREFILL)
#define DECODE (1u << POOL_DECODE)
#define PLAIN (1u << POOL_PLAIN)
#define ENGINE (PREFILL | DECODE)

#define TOKENS_MAX 1000000000u
#define PIECES_MAX 1000000u
#define HOLD_MS_MAX 600000u

#define NUMBER(member, min, max, default_value, allowed, required)             \
	{                                                                      \
#member, offsetof(struct config_pool, member),                 \
			sizeof(((struct config_pool *)NULL)->member), min,     \
			max, default_value, allowed, required                  \
	}

static const struct number_rule rules[] = {
	NUMBER(piece_tokens, 1, 1u << 20, 2048, ENGINE, 0),
	NUMBER(pieces, 1, PIECES_MAX, 0, DECODE, DECODE),
	NUMBER(slots, 1, 100000, 16, ENGINE | PLAIN, 0),
	NUMBER(kv_bytes_per_token, 1, 1u << 30, 0, ENGINE, ENGINE),
	NUMBER(link_bytes_per_s, 1, UINT64_MAX, 0, ENGINE, ENGINE),
	NUMBER(prefill_tokens_per_s, 1, TOKENS_MAX, 0, PREFILL, PREFILL),
	NUMBER(decode_tokens_per_s, 1, TOKENS_MAX, 0, DECODE, DECODE),
	NUMBER(hold_ms, 1, HOLD_MS_MAX, 800, PREFILL, 0),
};

static const struct flag_rule flags[] = {
	{"checks_fencing", ENGINE},
	{"swaps_role", ENGINE},
};

static const char *const role_labels[] = {
	[POOL_PREFILL] = "a pool of role prefill",
	[POOL_DECODE] = "a pool of role decode",
	[POOL_PLAIN] = "a pool of role plain",
};

static bool pool_check(const struct check *check, struct config_pool *pool,
		       const char *path)
{
	struct subject subject = {
		.check = check,
		.path = path,
		.kind_label = role_labels[pool->role],
		.kind = 1u << pool->role,
		.object = pool,
	};

	return flags_check(&subject, flags, G_N_ELEMENTS(flags)) &&
	       numbers_check(&subject, rules, G_N_ELEMENTS(rules));
}

bool pools_check(const struct check *check, struct config *config)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < config->pool_count; i++) {
		struct config_pool *pool =
			(struct config_pool *)&config->pools[i];
		g_autofree char *path = g_strdup_printf("pools[%zu]", i);
		g_autofree char *field = g_strdup_printf("%s.name", path);

		if (!name_check(check, field, pool->name))
			return false;
		if (!g_hash_table_add(names, (char *)pool->name))
			return outline_refuse(check->outline, check->err, field,
					      "duplicate name \"%s\"",
					      pool->name);
		if (!pool_check(check, pool, path))
			return false;
	}
	return true;
}
