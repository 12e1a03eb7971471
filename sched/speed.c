#include "sched/speed.h"

#include <glib.h>

struct speeds {
	GHashTable *servers;
};

struct speeds *speeds_create(void)
{
	struct speeds *speeds = g_new0(struct speeds, 1);

	speeds->servers =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return speeds;
}

void speeds_destroy(struct speeds *speeds)
{
	if (!speeds)
		return;
	g_hash_table_unref(speeds->servers);
	g_free(speeds);
}

void speeds_seen(struct speeds *speeds, uint64_t server, int64_t now,
		 double usec, double usual_usec)
{
}

void speeds_stated(struct speeds *speeds, uint64_t server, int64_t now,
		   double factor)
{
}

void speeds_merge(struct speeds *speeds, int64_t now,
		  const struct speed_entry *entry)
{
}

uint32_t speeds_export(struct speeds *speeds, int64_t now,
		       struct speed_entry *entries, uint32_t max)
{
	return 0;
}

double speeds_factor(const struct speeds *speeds, uint64_t server, int64_t now)
{
	return 1.0;
}

double speeds_now(const struct speeds *speeds, uint64_t server, int64_t now)
{
	return 1.0;
}

bool speeds_active(const struct speeds *speeds, int64_t now)
{
	return false;
}

void speeds_forget(struct speeds *speeds, uint64_t server)
{
}

uint32_t speeds_known(const struct speeds *speeds, int64_t now)
{
	return 0;
}
