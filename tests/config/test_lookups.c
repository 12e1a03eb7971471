/* Loading of the example and base files, defaults, lookups and routes. */
#include <glib.h>

#include "common/error.h"
#include "config/config.h"
#include "config/outline.h"
#include "files.h"

static struct config *load(const char *name)
{
	g_autofree char *path = g_build_filename(SOURCE_ROOT, name, NULL);
	struct error err = {0};
	struct config *config = config_load(path, &err);

	g_assert_cmpstr(err.text, ==, "");
	g_assert_nonnull(config);
	return config;
}

static void test_examples(void)
{
	static const struct {
		const char *file;
		const char *site;
		const char *model;
		size_t services;
	} rows[] = {
		{"examples/arequipa.yaml", "arequipa", "lexllm", 3},
		{"examples/vestland.yaml", "vestland", "drafter", 2},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct config *config = load(rows[i].file);
		const struct config_service *model;

		g_assert_cmpstr(config->site, ==, rows[i].site);
		g_assert_cmpuint(config->data_centre_count, ==, 3);
		g_assert_cmpuint(config->link_count, ==, 9);
		g_assert_cmpuint(config->service_count, ==, rows[i].services);
		model = config_model(config, rows[i].model);
		g_assert_nonnull(model);
		g_assert_cmpint(model->class, ==, CLASS_DEFERRABLE);
		g_assert_true(model->idempotent);
		g_assert_cmpuint(
			config_pool(config, model->prefill_pool)->hold_ms, ==,
			800);
		g_assert_cmpuint(
			config_pool(config, model->decode_pool)->piece_tokens,
			==, 2048);
		g_assert_cmpstr(config->policy.name, ==, "reserve");
		config_destroy(config);
	}
}

static void test_defaults(void)
{
	struct config *config = load("tests/config/base.yaml");
	const struct config_service *m = config_service(config, "m");
	const struct config_service *book = config_service(config, "book");
	const struct config_pool *p = config_pool(config, "p");

	g_assert_true(m->idempotent);
	g_assert_false(book->idempotent);
	g_assert_cmpint(book->class, ==, CLASS_DEFERRABLE);
	g_assert_cmpuint(m->queue_max, ==, 1000);
	g_assert_cmpuint(m->prompt_tokens_max, ==, 32768);
	g_assert_cmpuint(m->output_tokens_max, ==, 2048);
	g_assert_cmpuint(m->retry_percent, ==, 10);
	g_assert_cmpuint(m->record_ms, ==, 600000);
	g_assert_cmpuint(m->targets[CLASS_URGENT].first_token_ms, ==, 500);
	g_assert_cmpuint(m->targets[CLASS_DEFERRABLE].complete_ms, ==, 0);
	g_assert_cmpuint(book->concurrency, ==, 64);
	g_assert_cmpuint(p->hold_ms, ==, 800);
	g_assert_cmpuint(p->slots, ==, 16);
	g_assert_cmpuint(p->piece_tokens, ==, 2048);
	g_assert_false(p->swaps_role);
	g_assert_cmpuint(config->links[0].bytes_per_s, ==, 1000);
	g_assert_cmpfloat(config->links[0].latency_ms, ==, 1.5);
	g_assert_cmpstr(config->data_centres[1].region, ==, "north");
	g_assert_cmpfloat(config->policy.params[0].value, ==, 0.5);
	config_destroy(config);
}

static void test_names(void)
{
	struct config *config = load("tests/config/base.yaml");
	enum request_class class = CLASS_COUNT;

	g_assert_null(config_pool(config, "nowhere"));
	g_assert_null(config_pool(config, NULL));
	g_assert_null(config_service(config, "nowhere"));
	g_assert_null(config_model(config, "m"));
	g_assert_cmpstr(config_model(config, "org/m:1")->name, ==, "m");
	g_assert_true(class_parse("urgent", 6, &class));
	g_assert_cmpint(class, ==, CLASS_URGENT);
	g_assert_false(class_parse("urgently", 8, &class));
	g_assert_cmpstr(class_label(CLASS_DEFERRABLE), ==, "deferrable");
	g_assert_cmpstr(class_label(CLASS_COUNT), ==, "unknown");
	config_destroy(config);
	config_destroy(NULL);
}

static void test_routes(void)
{
	static const struct {
		const char *host;
		const char *path;
		const char *service;
	} rows[] = {
		{NULL, "/s", "look"},	       {"any:80", "/s/x", "look"},
		{NULL, "/s/book", "book"},     {NULL, "/s/book/7", "book"},
		{NULL, "/s/booking", "look"},  {NULL, "/", NULL},
		{NULL, "/sx", NULL},	       {NULL, "", NULL},
		{"H.example:80", "/", "host"}, {"h.example", "/s/book", "host"},
		{"h.example.org", "/", NULL},
	};
	g_autofree char *base = source_file("tests/config/base.yaml");
	g_autofree char *text =
		text_replace(base, "policy:\n",
			     "  - {name: host, kind: plain, host: h.example, "
			     "pool: s}\npolicy:\n");
	struct config *config = config_parse("f", text, strlen(text), NULL);

	g_assert_nonnull(config);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct config_service *found =
			config_route(config, rows[i].host, rows[i].path);

		g_test_message("%s %s", rows[i].host, rows[i].path);
		g_assert_cmpstr(found ? found->name : NULL, ==,
				rows[i].service);
	}
	config_destroy(config);
}

static void test_outline(void)
{
	static const char text[] = "a: 1\nb:\n  - {c: x}\n  - {c: y}\n";
	struct outline *outline = outline_create("f", text, strlen(text), NULL);
	const struct outline_node *node;
	struct error err = {0};
	size_t count;

	g_assert_nonnull(outline);
	outline_nodes(outline, &count);
	g_assert_cmpuint(count, ==, 7);
	node = outline_find(outline, "b[1].c");
	g_assert_cmpstr(node->text, ==, "y");
	g_assert_cmpuint(node->line, ==, 4);
	g_assert_cmpuint(node->column, ==, 6);
	g_assert_false(outline_refuse(outline, &err, "b[0].d", "what"));
	g_assert_cmpstr(err.text, ==, "f:3:5: b[0].d: what");
	g_assert_false(outline_refuse(outline, &err, "z.z", "what"));
	g_assert_cmpstr(err.text, ==, "f:1:1: z.z: what");
	outline_destroy(outline);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/examples", test_examples);
	g_test_add_func("/config/defaults", test_defaults);
	g_test_add_func("/config/names", test_names);
	g_test_add_func("/config/routes", test_routes);
	g_test_add_func("/config/outline", test_outline);
	return g_test_run();
}
