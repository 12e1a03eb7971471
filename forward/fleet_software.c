/*
 * fleet_software.c - software versions that the servers of a service had
 */
#include "common/id.h"
#include "fleet_private.h"

/* Versions that are no longer listed and are remembered, for each service. The
 * one that was listed longest ago is replaced. */
#define PAST_SOFTWARE_MAX 64u

struct past_software {
	uint64_t software;
	int64_t last_listed;
};

GArray *past_software_create(void)
{
	return g_array_new(FALSE, TRUE, sizeof(struct past_software));
}

void service_record_software(const struct fleet *fleet, struct service *service,
			     uint64_t software)
{
	struct past_software past = {software, clock_now(fleet->clock)};
	struct past_software *oldest = NULL;

	for (guint i = 0; i < service->past_software->len; i++) {
		struct past_software *known = &g_array_index(
			service->past_software, struct past_software, i);

		if (known->software == software) {
			known->last_listed = past.last_listed;
			return;
		}
		if (!oldest || known->last_listed < oldest->last_listed)
			oldest = known;
	}
	if (service->past_software->len < PAST_SOFTWARE_MAX)
		g_array_append_val(service->past_software, past);
	else if (oldest)
		*oldest = past;
}

/* Adds a version to those seen so far; *sole is the first of them. */
static void software_add(uint64_t software, uint64_t *sole, bool *mixed)
{
	*mixed |= *sole && *sole != software;
	if (!*sole)
		*sole = software;
}

static bool service_states_software(const struct service *service)
{
	for (guint i = 0; i < service->all->len; i++) {
		const struct backend *backend = service->all->pdata[i];

		if (backend->info.software != id_of(""))
			return true;
	}
	for (guint i = 0; i < service->past_software->len; i++)
		if (g_array_index(service->past_software, struct past_software,
				  i)
			    .software != id_of(""))
			return true;
	return false;
}

/* Whether a server of any service was ever listed with a version. */
static bool fleet_states_software(const struct fleet *fleet)
{
	const struct service *service;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, fleet->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service))
		if (service_states_software(service))
			return true;
	return false;
}

uint64_t fleet_sole_software(const struct fleet *fleet, uint64_t service,
			     int64_t since, bool *mixed)
{
	const struct service *known =
		g_hash_table_lookup(fleet->services, &service);
	uint64_t sole = 0;

	*mixed = false;
	for (guint i = 0; known && i < known->all->len; i++) {
		const struct backend *backend = known->all->pdata[i];

		software_add(backend->info.software, &sole, mixed);
	}
	for (guint i = 0; known && i < known->past_software->len; i++) {
		const struct past_software *past = &g_array_index(
			known->past_software, struct past_software, i);

		if (past->last_listed >= since)
			software_add(past->software, &sole, mixed);
	}
	if (*mixed)
		return 0;
	if (fleet->complete_since <= since)
		return sole;
	return sole == id_of("") && !fleet_states_software(fleet) ? sole : 0;
}

void fleet_list_missed(struct fleet *fleet)
{
	if (fleet->complete_since != INT64_MAX)
		fleet->complete_since = clock_now(fleet->clock);
}

int64_t fleet_complete_since(const struct fleet *fleet)
{
	return fleet->complete_since;
}

uint32_t fleet_software(const struct fleet *fleet, uint64_t service,
			uint64_t *software, uint32_t max)
{
	const GPtrArray *servers = fleet_service(fleet, service);
	uint32_t count = 0;

	for (guint i = 0; servers && i < servers->len; i++) {
		const struct backend *backend = servers->pdata[i];
		uint32_t at = 0;

		while (at < count && software[at] != backend->info.software)
			at++;
		if (at == count && count < max)
			software[count++] = backend->info.software;
	}
	return count;
}
