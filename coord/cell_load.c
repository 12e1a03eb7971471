#include "coord/cell_load.h"

#include <string.h>

#include "common/id.h"

uint64_t cell_id(const struct config_service *service, const char *data_centre)
{
	bool model = service->kind == SERVICE_MODEL;
	const char *prefill = model ? service->prefill_pool : service->pool;
	const char *decode = model ? service->decode_pool : service->pool;

	return cell_id_of_pools(prefill, decode, data_centre);
}

uint64_t cell_id_of_pools(const char *prefill_pool, const char *decode_pool,
			  const char *data_centre)
{
	return id_mix(id_mix(id_of(prefill_pool), id_of(decode_pool)),
		      id_of(data_centre));
}

#define LEVEL_MASK 3u
#define SHARE_SHIFT 2u

static uint64_t fact_key(uint64_t cell)
{
	return id_mix(id_of("cell-load"), cell);
}

static unsigned char fact_get(const struct membership *membership,
			      uint64_t cell)
{
	size_t size;
	const unsigned char *value =
		membership_fact_find(membership, fact_key(cell), &size);

	if (!value || size != 1 || (value[0] & LEVEL_MASK) > CELL_FULL ||
	    value[0] >> SHARE_SHIFT > CELL_LOAD_SHARE_ALL)
		return CELL_FREE;
	return value[0];
}

enum cell_level cell_load_get(const struct membership *membership,
			      uint64_t cell)
{
	return (enum cell_level)(fact_get(membership, cell) & LEVEL_MASK);
}

uint32_t cell_load_share(const struct membership *membership, uint64_t cell)
{
	return (uint32_t)fact_get(membership, cell) >> SHARE_SHIFT;
}

void cell_load_set(struct membership *membership, uint64_t cell,
		   enum cell_level level, uint32_t share, uint64_t version)
{
	unsigned char value =
		(unsigned char)((uint32_t)level | share << SHARE_SHIFT);

	membership_fact_set(membership, fact_key(cell), version, &value,
			    sizeof(value));
}

static bool data_centre_is_alive(const struct membership *membership,
				 const char *data_centre)
{
	return membership_home(membership, data_centre, 0, 0) != 0;
}

bool cell_load_redirects(uint32_t share, enum request_class class, uint64_t key)
{
	if (share >= CELL_LOAD_SHARE_ALL)
		return true;
	return class == CLASS_URGENT &&
	       id_mix(key, id_of("cell-load")) % CELL_LOAD_SHARE_ALL < share;
}

/* One-way latency between two data centres; 0 if the config has no link. */
static double latency_ms(const struct config *config, const char *from,
			 const char *to)
{
	for (size_t i = 0; i < config->link_count; i++) {
		const struct config_link *link = &config->links[i];

		if (strcmp(link->from, from) == 0 && strcmp(link->to, to) == 0)
			return link->latency_ms;
	}
	return 0;
}

static bool is_too_far(const struct config *config, const char *local,
		       const char *remote)
{
	double ms = latency_ms(config, local, remote) +
		    latency_ms(config, remote, local);

	return ms * USEC_PER_MSEC > CELL_LOAD_BUSY_WAIT_USEC;
}

const char *cell_load_pick_by_key(const struct membership *membership,
				  const struct config *config,
				  const struct config_service *service,
				  uint64_t key)
{
	const char *local = membership_self(membership)->data_centre;
	const char *best = NULL;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < config->data_centre_count; i++) {
		const char *name = config->data_centres[i].name;
		uint64_t weight = id_mix(key, id_of(name));

		if (strcmp(name, local) == 0 ||
		    is_too_far(config, local, name) ||
		    !data_centre_is_alive(membership, name) ||
		    (best && weight <= best_weight))
			continue;
		best = name;
		best_weight = weight;
	}
	if (!best ||
	    cell_load_get(membership, cell_id(service, best)) != CELL_FREE)
		return NULL;
	return best;
}

const char *cell_load_pick_least_loaded(const struct membership *membership,
					const struct config *config,
					const struct config_service *service,
					enum cell_level own, uint64_t key)
{
	const char *local = membership_self(membership)->data_centre;
	const char *best = NULL;
	enum cell_level best_level = own;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < config->data_centre_count; i++) {
		const char *name = config->data_centres[i].name;
		uint64_t weight = id_mix(key, id_of(name));
		enum cell_level level;

		if (strcmp(name, local) == 0 ||
		    !data_centre_is_alive(membership, name))
			continue;
		level = cell_load_get(membership, cell_id(service, name));
		if (level > best_level || (!best && level == best_level) ||
		    (level == best_level && weight <= best_weight))
			continue;
		best = name;
		best_level = level;
		best_weight = weight;
	}
	return best;
}
