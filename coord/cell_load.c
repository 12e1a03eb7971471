#include "coord/cell_load.h"

#include <string.h>

#include "common/id.h"

uint64_t cell_id(const struct config_service *service, const char *data_centre)
{
	bool model = service->kind == SERVICE_MODEL;
	const char *prefill = model ? service->prefill_pool : service->pool;
	const char *decode = model ? service->decode_pool : service->pool;

	return id_mix(id_mix(id_of(prefill), id_of(decode)),
		      id_of(data_centre));
}

static uint64_t fact_key(uint64_t cell)
{
	return id_mix(id_of("cell-load"), cell);
}

enum cell_level cell_load_get(const struct membership *membership,
			      uint64_t cell)
{
	size_t size;
	const unsigned char *value =
		membership_fact_find(membership, fact_key(cell), &size);

	if (!value || size != 1 || value[0] > CELL_FULL)
		return CELL_FREE;
	return (enum cell_level)value[0];
}

void cell_load_set(struct membership *membership, uint64_t cell,
		   enum cell_level level, uint64_t version)
{
	unsigned char value = (unsigned char)level;

	membership_fact_set(membership, fact_key(cell), version, &value,
			    sizeof(value));
}

static bool data_centre_lives(const struct membership *membership,
			      const char *data_centre)
{
	return membership_home(membership, data_centre, 0, 0) != 0;
}

const char *cell_load_choose(const struct membership *membership,
			     const struct config *config,
			     const struct config_service *service,
			     enum cell_level own, uint64_t key)
{
	const char *here = membership_self(membership)->data_centre;
	const char *best = NULL;
	enum cell_level best_level = own;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < config->data_centre_count; i++) {
		const char *name = config->data_centres[i].name;
		uint64_t weight = id_mix(key, id_of(name));
		enum cell_level level;

		if (strcmp(name, here) == 0 ||
		    !data_centre_lives(membership, name))
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
