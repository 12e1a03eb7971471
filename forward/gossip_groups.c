/*
 * gossip_groups.c - the groups of instances of a large data centre
 *
 * DESCRIPTION
 *	A data centre of up to GROUP_MOST instances is one group and has its
 *	name. A larger one has a power of two of groups, "NAME/INDEX.COUNT"; the
 *	hash of its address tells the group of an instance, its key that of a
 *	server. The count follows the instances that are known, with hysteresis,
 *	so groups stay as they are while instances restart.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "gossip_private.h"

#define GROUP_MOST 96u
#define GROUP_LEAST 32u
/* Beyond any data centre; what a peer says of more is malformed. */
#define GROUPS_MOST 65536
/* No instance name or data centre holds it. */
#define GROUP_MARK '/'

uint32_t groups_for(uint32_t groups, uint32_t instances)
{
	while (instances > groups * GROUP_MOST)
		groups *= 2;
	while (groups > 1 && instances < groups * GROUP_LEAST)
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
			       data_centre, GROUP_MARK, (uint32_t)(key % count),
			       count);
}

bool group_beside(const char *group, const char *other)
{
	size_t size = strcspn(group, "/");

	return strcspn(other, "/") == size && memcmp(group, other, size) == 0;
}

bool group_within(const char *group, const char *data_centre)
{
	return !strchr(data_centre, GROUP_MARK) &&
	       group_beside(group, data_centre);
}

bool group_is_whole(const char *group)
{
	return !strchr(group, GROUP_MARK);
}

bool group_serves(const char *group, const char *data_centre, uint64_t key)
{
	const char *mark = strchr(group, GROUP_MARK);
	char own[GOSSIP_GROUP_MAX];
	const char *point;
	long count;

	if (!group_within(group, data_centre))
		return false;
	point = mark ? strchr(mark, '.') : NULL;
	count = point ? strtol(point + 1, NULL, 10) : 1;
	if (count < 1 || count > GROUPS_MOST)
		return false;
	group_print(own, data_centre, (uint32_t)count, key);
	return strcmp(own, group) == 0;
}

static uint32_t instances_here(const struct gossip *gossip)
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

/* What the group told as another one is told by its instances from now on. */
static void group_enter(struct gossip *gossip)
{
	struct centre *centre;

	group_print(gossip->group, gossip->settings.data_centre, gossip->groups,
		    gossip->key);
	centre = g_hash_table_lookup(gossip->centres, gossip->group);
	if (centre) {
		loads_take_off(gossip, centre->loads);
		centre->heard = GOSSIP_NEVER;
	}
	fleet_set_group(gossip->fleet, (uint32_t)(gossip->key % gossip->groups),
			gossip->groups);
}

void groups_update(struct gossip *gossip)
{
	uint32_t groups = groups_for(gossip->groups, instances_here(gossip));

	if (groups == gossip->groups)
		return;
	gossip->groups = groups;
	group_enter(gossip);
	gossip->revision++;
	log_event(LOG_NOTICE, "group_entered", LOG_S("group", gossip->group),
		  LOG_D("groups", groups));
}
