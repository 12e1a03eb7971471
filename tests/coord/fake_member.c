#include "fake_member.h"

#include <string.h>

const struct member *membership_self(const struct membership *membership)
{
	return &membership->self;
}

uint64_t membership_home(const struct membership *membership,
			 const char *data_centre, uint64_t key, uint32_t rank)
{
	uint64_t above = UINT64_MAX, best = 0, id = 0;

	for (;; above = best, best = 0, rank--) {
		for (uint32_t i = 0; i < FAKE_MEMBERS; i++) {
			const struct member *member = &membership->all[i];
			uint64_t weight = id_mix(member->id, key);

			if (!membership->alive[i] || weight >= above ||
			    weight < best ||
			    strcmp(member->data_centre, data_centre) != 0)
				continue;
			best = weight;
			id = member->id;
		}
		if (!best || !rank)
			return best ? id : 0;
	}
}
