/*
 * gossip_groups.c - the groups of instances of a large data centre
 *
 * DESCRIPTION
 *	A data centre of up to GROUP_SIZE_MAX instances is one group and has its
 *	name. A larger one has a power of two of groups, "NAME/INDEX.COUNT". The
 *	group of an instance follows from the hash of its address, that of a
 *	server from its key. The number of groups follows the number of known
 *	instances, with hysteresis, so restarts of instances do not change it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "gossip_private.h"

#define GROUP_SIZE_MAX 96u
#define GROUP_SIZE_MIN 32u
/* More than any data centre has; a larger count from a peer is malformed. */
#define GROUPS_MAX 65536
/* No name of an instance or data centre contains it. */
#define GROUP_SEPARATOR '/'

uint32_t groups_for(uint32_t groups, uint32_t instances)
{
	while (instances > groups * GROUP_SIZE_MAX)
		groups *= 2;
	while (groups > 1 && instances < groups * GROUP_SIZE_MIN)
		groups /= 2;
	return groups;
}

void group_print(char group[GOSSIP_GROUP_MAX], const char *data_centre,
		 uint32_t count, uint64_t key)
{
	if (count <= 1)
		g_strlcpy(group, data_centre, GOSSIP_GROUP_MAX);
	else
		(void)snprintf(group, GOSSIP_GROUP_MAX, "%s%c%u.%u",
			       data_centre, GROUP_SEPARATOR,
			       (uint32_t)(key % count), count);
}

bool group_same_data_centre(const char *group, const char *other)
{
	size_t size = strcspn(group, "/");

	return strcspn(other, "/") == size && memcmp(group, other, size) == 0;
}

bool group_within(const char *group, const char *data_centre)
{
	return !strchr(data_centre, GROUP_SEPARATOR) &&
	       group_same_data_centre(group, data_centre);
}

bool group_is_whole(const char *group)
{
	return !strchr(group, GROUP_SEPARATOR);
}

bool group_serves(const char *group, const char *data_centre, uint64_t key)
{
	const char *separator = strchr(group, GROUP_SEPARATOR);
	char own[GOSSIP_GROUP_MAX];
	const char *dot;
	long count;

	if (!group_within(group, data_centre))
		return false;
	dot = separator ? strchr(separator, '.') : NULL;
	count = dot ? strtol(dot + 1, NULL, 10) : 1;
	if (count < 1 || count > GROUPS_MAX)
		return false;
	group_print(own, data_centre, (uint32_t)count, key);
	return strcmp(own, group) == 0;
}

static uint32_t local_instance_count(const struct gossip *gossip)
{
	GHashTableIter iter;
	struct peer *peer;
	uint32_t count = 1;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		count +=
			group_within(peer->group, gossip->settings.data_centre);
	return count;
}

/* Enters the current group. Its own instances now send the loads that came in
 * its summary before. */
static void group_enter(struct gossip *gossip)
{
	struct group_state *group;

	group_print(gossip->group, gossip->settings.data_centre,
		    gossip->group_count, gossip->key);
	group = g_hash_table_lookup(gossip->other_groups, gossip->group);
	if (group) {
		loads_remove(gossip, group->loads);
		group->last_seen = GOSSIP_NEVER;
	}
	fleet_set_group(gossip->fleet,
			(uint32_t)(gossip->key % gossip->group_count),
			gossip->group_count);
}

void groups_update(struct gossip *gossip)
{
	uint32_t groups =
		groups_for(gossip->group_count, local_instance_count(gossip));

	if (groups == gossip->group_count)
		return;
	gossip->group_count = groups;
	group_enter(gossip);
	gossip->revision++;
	log_event(LOG_NOTICE, "group_entered", LOG_S("group", gossip->group),
		  LOG_D("groups", groups));
}
