#include "forward/catalog.h"

#include <string.h>

#include "common/id.h"
#include "forward/regions.h"

/* Longest host name; the limit of DNS. */
#define HOST_MAX 255
/* Longest prefix looked up; of a longer path only this many bytes are matched.
 */
#define PREFIX_MAX 1024

static void route_free(gpointer data)
{
	struct catalog_route *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_unref(route->shares);
	region_set_destroy(route->regions);
	g_free(route);
}

static void service_free(gpointer data)
{
	struct catalog_service *service = data;

	g_free(service->name);
	g_free(service->health_path);
	g_free(service);
}

struct catalog *catalog_create(uint64_t version)
{
	struct catalog *catalog = g_new0(struct catalog, 1);

	catalog->refs = 1;
	catalog->version = version;
	catalog->routes = g_ptr_array_new_with_free_func(route_free);
	catalog->by_prefix =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	catalog->services = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, service_free);
	return catalog;
}

struct catalog *catalog_ref(struct catalog *catalog)
{
	catalog->refs++;
	return catalog;
}

void catalog_unref(struct catalog *catalog)
{
	if (!catalog || --catalog->refs > 0)
		return;
	g_hash_table_destroy(catalog->by_prefix);
	g_hash_table_destroy(catalog->services);
	g_ptr_array_unref(catalog->routes);
	organisations_destroy(catalog->organisations);
	g_free(catalog);
}

struct catalog_route *catalog_add_route(struct catalog *catalog)
{
	struct catalog_route *route = g_new0(struct catalog_route, 1);

	route->shares = g_array_new(FALSE, FALSE, sizeof(struct route_share));
	g_ptr_array_add(catalog->routes, route);
	return route;
}

struct catalog_service *catalog_add_service(struct catalog *catalog,
					    const char *name)
{
	struct catalog_service *service = g_new0(struct catalog_service, 1);

	service->name = g_strdup(name);
	service->id = id_of(name);
	g_hash_table_replace(catalog->services, &service->id, service);
	return service;
}

static uint64_t first_service(const struct catalog_route *route)
{
	return route->shares->len > 0
		       ? g_array_index(route->shares, struct route_share, 0)
				 .service
		       : 0;
}

/* Keeps the priority of the first route seen of each service. */
static void ranked_update(struct catalog *catalog, GHashTable *priorities,
			  struct catalog_route *route)
{
	uint64_t service = first_service(route);
	gpointer known;

	if (route->kind != ROUTE_STREAM || service == 0)
		return;
	if (!g_hash_table_lookup_extended(
		    priorities, GSIZE_TO_POINTER((gsize)service), NULL, &known))
		g_hash_table_insert(priorities,
				    GSIZE_TO_POINTER((gsize)service),
				    GUINT_TO_POINTER(route->priority));
	else if (GPOINTER_TO_UINT(known) != route->priority)
		catalog->ranked = true;
}

void catalog_index_routes(struct catalog *catalog)
{
	g_autoptr(GHashTable) priorities = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < catalog->routes->len; i++) {
		struct catalog_route *route = catalog->routes->pdata[i];

		g_hash_table_replace(
			catalog->by_prefix,
			g_strconcat(route->host, route->prefix, NULL), route);
		ranked_update(catalog, priorities, route);
	}
}

/* Writes the host in lower case and without its port; returns its size, 0 when
 * it is too long or empty. */
static size_t host_normalize(char *out, const char *host, size_t size)
{
	const char *colon = memchr(host, ':', size);

	if (colon)
		size = (size_t)(colon - host);
	if (size > HOST_MAX)
		return 0;
	for (size_t i = 0; i < size; i++)
		out[i] = g_ascii_tolower(host[i]);
	return size;
}

const struct catalog_route *catalog_route(const struct catalog *catalog,
					  const char *host, size_t host_size,
					  const char *path, size_t path_size)
{
	char key[HOST_MAX + PREFIX_MAX + 1];
	size_t base = host_normalize(key, host, host_size);

	if (base == 0)
		return NULL;
	path_size = MIN(path_size, PREFIX_MAX);
	memcpy(key + base, path, path_size);
	for (size_t end = path_size; end > 0; end--) {
		const struct catalog_route *route;

		if (path[end - 1] != '/')
			continue;
		key[base + end] = '\0';
		route = g_hash_table_lookup(catalog->by_prefix, key);
		if (route)
			return route;
	}
	return NULL;
}

const struct catalog_service *catalog_service(const struct catalog *catalog,
					      uint64_t id)
{
	return g_hash_table_lookup(catalog->services, &id);
}

const char *catalog_health_path(const struct catalog_service *service)
{
	return service && service->health_path ? service->health_path : "/";
}

uint64_t route_choose(const struct catalog_route *route, double point)
{
	const struct route_share *shares =
		(const struct route_share *)(void *)route->shares->data;
	uint64_t total = 0;
	double offset;

	for (guint i = 0; i < route->shares->len; i++)
		total += shares[i].weight;
	offset = point * (double)total;
	for (guint i = 0; i < route->shares->len; i++) {
		if (offset < (double)shares[i].weight)
			return shares[i].service;
		offset -= (double)shares[i].weight;
	}
	return shares[0].service;
}
