/*
 * Decodes bytes as each kind of document of the platform: a server's entry, a
 * configuration, and records and a snapshot of the store. An accepted entry
 * must be usable. With clang's -fsanitize=fuzzer and -DFUZZ_ENGINE this is a
 * fuzz target; as a test it runs seeded mutations of valid documents.
 */
#include <glib.h>
#include <stdint.h>
#include <string.h>

#include "common/address.h"
#include "common/error.h"
#include "platform/decode.h"
#include "platform/runner.h"
#include "platform/store.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void entry_check(const struct backend_info *info)
{
	struct sockaddr_storage address;
	socklen_t size;

	g_assert_true(address_parse(info->address, &address, &size, NULL));
	g_assert_cmpuint(info->slots, >, 0);
	g_assert_cmpint(info->started_ms, >=, 0);
	g_assert_true(info->data_centre[0] != '\0');
}

static void page_check(void *ctx, enum result_code code,
		       const struct feed_page *page)
{
	for (size_t i = 0; i < page->count; i++)
		g_assert_cmpuint(strlen(page->records[i].key), >, 0);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct backend_info info;
	struct feed_page page;
	struct error err;
	char handle[16];

	if (decode_backend("i", data, size, &info, &err))
		entry_check(&info);
	catalog_unref(decode_catalog(data, size, &err));
	(void)runner_text_read(data, size, "handle", handle, sizeof(handle));
	(void)store_read_snapshot(data, size, 0, page_check, NULL);
	if (store_read_keyed(data, size, 0, &page, &err)) {
		page_check(NULL, RESULT_OK, &page);
		g_free((void *)page.records);
	}
	return 0;
}

#ifndef FUZZ_ENGINE
#include "../fake/mutate.h"
#include "common/clock.h"
#include "common/log.h"

#define MUTATIONS 30000

static const char *const valid_documents[] = {
	"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
	"\"slots\":12,\"state\":\"ready\",\"stage\":\"decode\","
	"\"born\":1764700000123,\"sequence\":4,\"version\":\"v1\","
	"\"cold_remaining_ms\":0,\"models\":[{\"name\":\"m\"}]}",
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"a\","
	"\"path_prefix\":\"/p/\",\"route_type\":\"streaming\","
	"\"traffic_split\":[{\"service\":\"s\",\"weight\":9}]}],"
	"\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":8,"
	"\"kv_tokens\":10000}}],\"limits\":{\"max_body_bytes\":100}}",
	"{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":[{"
	"\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":1,"
	"\"unit\":\"token_count\",\"plain_tokens\":200,\"rate_per_s\":47000,"
	"\"burst\":47000}]}",
	"{\"items\":[{\"key\":\"i-1\",\"value\":\"e30=\",\"offset\":3},"
	"{\"key\":\"i-2\",\"value\":\"dg==\",\"offset\":4}],\"end\":9,"
	"\"more_pages\":true}",
	"{\"handle\":\"3fa0\",\"tokens\":14,\"version\":1}",
	"\0\0\0\0\0\0\0\11\0\0\0\0\0\0\0\3\0\0\0\4\1kvw\0\0\0\2\1k",
};

static void test_mutations(void)
{
	for (int i = 0; i < MUTATIONS; i++) {
		size_t at = (size_t)i % G_N_ELEMENTS(valid_documents);
		size_t size = at + 1 == G_N_ELEMENTS(valid_documents)
				      ? 30
				      : strlen(valid_documents[at]);
		GByteArray *bytes = g_byte_array_new();

		g_byte_array_append(bytes, (const guint8 *)valid_documents[at],
				    (guint)size);
		LLVMFuzzerTestOneInput(bytes->data, bytes->len);
		bytes_mutate(bytes, 4);
		LLVMFuzzerTestOneInput(bytes->data, bytes->len);
		g_byte_array_unref(bytes);
	}
}

int main(int argc, char **argv)
{
	struct clock *clock = clock_create(0);
	int status;

	g_test_init(&argc, &argv, NULL);
	/* Most input is malformed, so its warnings are not logged. */
	log_setup(clock, "fuzz", LOG_ERR);
	g_test_add_func("/fuzz/records", test_mutations);
	status = g_test_run();
	clock_destroy(clock);
	return status;
}
#endif
