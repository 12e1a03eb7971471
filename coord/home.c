#include <string.h>

#include "member_private.h"

static bool home_candidate(const struct peer *p, const struct centre *c,
			   bool leaving)
{
	if (p->centre != c)
		return false;
	return p->view.state == MEMBER_ALIVE ||
	       p->view.state == MEMBER_SUSPECT ||
	       (leaving && p->view.state == MEMBER_LEAVING);
}

uint64_t home_rank(const struct membership *m, const struct centre *c,
		   uint64_t key, uint32_t rank, bool leaving)
{
	uint64_t bound = UINT64_MAX;
	uint64_t found = 0;

	for (uint32_t pass = 0; pass <= rank; pass++) {
		uint64_t best = 0;

		found = 0;
		for (guint i = 0; i < m->peers->len; i++) {
			const struct peer *p = m->peers->pdata[i];
			uint64_t weight = id_mix(key, p->view.id);

			if (!home_candidate(p, c, leaving) || weight >= bound ||
			    (found && weight <= best))
				continue;
			best = weight;
			found = p->view.id;
		}
		if (!found)
			return 0;
		bound = best;
	}
	return found;
}

uint64_t membership_home(const struct membership *m, const char *data_centre,
			 uint64_t key, uint32_t rank)
{
	const struct centre *c;

	if (!m || !data_centre)
		return 0;
	c = centre_find(m, id_of(data_centre));
	return c ? home_rank(m, c, key, rank, false) : 0;
}
