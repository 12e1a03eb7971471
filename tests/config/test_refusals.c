/* Files with one error each, and the exact text of the error. */
#include <glib.h>

#include "common/error.h"
#include "config/config.h"
#include "files.h"

struct refusal {
	const char *from; /* in base.yaml; NULL: the whole file is "to" */
	const char *to;
	const char *text;
};

static const struct refusal refusals[] = {
	{NULL, "", "f:1:1: nothing in it"},
	{NULL, "- a",
	 "f:1:1: file: Expecting MAPPING, got event: SEQUENCE_START"},
	{NULL, "version: [1", "f:2:1: did not find expected ',' or ']'"},
	{NULL, "version: 1\n---\nversion: 1\n", "f:2:1: a second document"},
	{NULL, "a: &x 1\nb: *x\n", "f:1:4: anchors are not allowed"},
	{NULL, "a: *x\n", "f:1:4: aliases are not allowed"},
	{NULL, "[[[[[[[[[[1]]]]]]]]]]", "f:1:9: nested too deeply"},
	{NULL, "? [a]\n: 1\n", "f:1:3: a field's name must be plain text"},
	{NULL, "a b: 1\n",
	 "f:1:1: a field's name has other characters than letters, digits, '_' "
	 "and '-', or is too long"},
	{NULL, "a: \"\\0\"\n", "f:1:4: a value has a null character"},
	{NULL, "just text",
	 "f:1:1: file: Expecting MAPPING, got event: SCALAR"},
	{"version: 1", "version: 2",
	 "f:1:1: version: format 2 is not known, only 1"},
	{"version: 1", "version: 01", "f:1:1: version: not a decimal number"},
	{"version: 1", "version: x",
	 "f:1:1: version: Invalid uint64_t value: 'x'"},
	{"version: 1\n", "", "f:1:1: version: missing"},
	{"site: test", "site: test\nsite: again",
	 "f:3:1: site: duplicate field"},
	{"site: test", "site: -test",
	 "f:2:1: site: only letters, digits and \"._-\", a letter or digit "
	 "first"},
	{"site: test", "site: \"te st\"",
	 "f:2:1: site: only letters, digits and \"._-\", a letter or digit "
	 "first"},
	{"site: test", "site: \"\"", "f:2:1: site: STRING length < 1:"},
	{"site: test", "sites: test", "f:2:1: sites: unknown field"},
	{"{name: a}", "{name: a, size: 3}",
	 "f:4:15: data_centres[0].size: unknown field"},
	{"{name: a}", "{}", "f:4:5: data_centres[0].name: missing"},
	{"{name: a}", "[a]",
	 "f:4:5: data_centres[0]: Expecting MAPPING, got event: "
	 "SEQUENCE_START"},
	{"{name: a}", "{name: b}",
	 "f:5:6: data_centres[1].name: duplicate name \"b\""},
	{"{name: a}\n  - {name: b, region: north}", "",
	 "f:4:4: data_centres[0]: Expecting MAPPING, got event: SCALAR"},
	{"from: a", "from: nowhere",
	 "f:7:6: links[0].from: unknown data centre \"nowhere\""},
	{"to: b", "to: nowhere",
	 "f:7:15: links[0].to: unknown data centre \"nowhere\""},
	{"{from: b, to: a", "{from: a, to: b",
	 "f:8:5: links[1]: duplicate link from \"a\" to \"b\""},
	{"1.5", "1.5x", "f:7:22: links[0].latency_ms: not a number"},
	{"1.5", "nan", "f:7:22: links[0].latency_ms: not a number"},
	{"1.5", "-1", "f:7:22: links[0].latency_ms: must be from 0 to 60000"},
	{"1.5", "70000",
	 "f:7:22: links[0].latency_ms: must be from 0 to 60000"},
	{"latency_ms: 1.5, bytes_per_s: 1000", "latency_ms: 1.5",
	 "f:7:5: links[0].bytes_per_s: missing"},
	{"bytes_per_s: 1000", "bytes_per_s: 0",
	 "f:7:39: links[0].bytes_per_s: must be from 1 to "
	 "18446744073709551615"},
	{"bytes_per_s: 1000", "bytes_per_s: -1",
	 "f:7:39: links[0].bytes_per_s: not a decimal number"},
	{"name: p\n", "name: s\n",
	 "f:21:6: pools[2].name: duplicate name \"s\""},
	{"role: prefill", "role: encode",
	 "f:11:5: pools[0].role: Invalid ENUM value: encode"},
	{"role: prefill", "role: 0",
	 "f:11:5: pools[0].role: Invalid ENUM value: 0"},
	{"    role: prefill\n", "", "f:10:5: pools[0].role: missing"},
	{"pieces: 100", "pieces: 0",
	 "f:17:5: pools[1].pieces: must be from 1 to 1000000"},
	{"pieces: 100", "pieces: 1 00",
	 "f:17:5: pools[1].pieces: not a decimal number"},
	{"pieces: 100", "pieces: 0x10",
	 "f:17:5: pools[1].pieces: not a decimal number"},
	{"pieces: 100", "pieces: 99999999999",
	 "f:17:5: pools[1].pieces: Invalid UINT value: '99999999999'"},
	{"pieces: 100",
	 "pieces:", "f:17:5: pools[1].pieces: Invalid uint64_t value: ''"},
	{"    pieces: 100\n", "", "f:15:5: pools[1].pieces: missing"},
	{"pieces: 100", "hold_ms: 5", "f:15:5: pools[1].pieces: missing"},
	{"prefill_tokens_per_s: 8000", "prefill_tokens_per_s: 0",
	 "f:14:5: pools[0].prefill_tokens_per_s: must be from 1 to 1000000000"},
	{"    prefill_tokens_per_s: 8000\n", "",
	 "f:10:5: pools[0].prefill_tokens_per_s: missing"},
	{"prefill_tokens_per_s: 8000", "decode_tokens_per_s: 8000",
	 "f:10:5: pools[0].prefill_tokens_per_s: missing"},
	{"role: plain", "role: plain, checks_fencing: true",
	 "f:21:28: pools[2].checks_fencing: has no meaning for a pool of role "
	 "plain"},
	{"role: plain", "role: plain, slots: 0",
	 "f:21:28: pools[2].slots: must be from 1 to 100000"},
	{"prefill_tokens_per_s: 8000",
	 "hold_ms: 600001\n    prefill_tokens_per_s: 8000",
	 "f:14:5: pools[0].hold_ms: must be from 1 to 600000"},
	{"prefill_tokens_per_s: 8000",
	 "swaps_role: perhaps\n    prefill_tokens_per_s: 8000",
	 "f:14:5: pools[0].swaps_role: neither true nor false"},
	{"kind: model", "kind: other",
	 "f:25:5: services[0].kind: Invalid ENUM value: other"},
	{"kind: model", "kind: plain",
	 "f:26:5: services[0].model: has no meaning for a service of kind "
	 "plain"},
	{"    model: org/m:1\n", "", "f:24:5: services[0].model: missing"},
	{"model: org/m:1", "model: m\n    pool: s",
	 "f:27:5: services[0].pool: has no meaning for a service of kind "
	 "model"},
	{"prefill_pool: p", "prefill_pool: q",
	 "f:27:5: services[0].prefill_pool: unknown pool \"q\""},
	{"prefill_pool: p", "prefill_pool: d",
	 "f:27:5: services[0].prefill_pool: pool \"d\" is not of role prefill"},
	{"decode_pool: d", "decode_pool: p",
	 "f:28:5: services[0].decode_pool: pool \"p\" is not of role decode"},
	{"    decode_pool: d\n", "",
	 "f:24:5: services[0].decode_pool: missing"},
	{"decode_pool: d", "decode_pool: d2",
	 "f:28:5: services[0].decode_pool: kv_bytes_per_token of pool \"d2\" "
	 "and of \"p\" differ"},
	{"name: look\n    kind: plain\n    path_prefix: /s\n    pool: s",
	 "name: look\n    kind: model\n    model: n\n    prefill_pool: p\n    "
	 "decode_pool: d2",
	 "f:33:5: services[1].prefill_pool: pool \"p\" already forms a cell "
	 "with \"d\""},
	{"name: look\n    kind: plain\n    path_prefix: /s\n    pool: s",
	 "name: look\n    kind: model\n    model: org/m:1\n    prefill_pool: "
	 "p\n    decode_pool: d",
	 "f:32:5: services[1].model: model \"org/m:1\" has a service already"},
	{"name: look", "name: m",
	 "f:30:5: services[1].name: duplicate name \"m\""},
	{"decode_pool: d", "decode_pool: d\n    prompt_tokens_max: 204800",
	 "f:29:5: services[0].prompt_tokens_max: with output_tokens_max needs "
	 "101 pieces, a runner of \"d\" has 100"},
	{"first_token_ms: 500", "first_token_ms: 500, complete_ms: 400",
	 "f:29:45: services[0].targets.urgent.complete_ms: below "
	 "first_token_ms"},
	{"first_token_ms: 500", "first_token_ms: 86400001",
	 "f:29:24: services[0].targets.urgent.first_token_ms: must be from 0 "
	 "to 86400000"},
	{"{urgent: {first_token_ms: 500}}", "{slow: {first_token_ms: 500}}",
	 "f:29:15: services[0].targets.slow: unknown field"},
	{"idempotent: true",
	 "idempotent: true\n    targets: {urgent: {first_token_ms: 1}}",
	 "f:36:24: services[1].targets.urgent.first_token_ms: has no meaning "
	 "for a service of kind plain"},
	{"class: urgent", "class: soon",
	 "f:34:5: services[1].class: Invalid ENUM value: soon"},
	{"    path_prefix: /s\n", "",
	 "f:30:5: services[1].path_prefix: missing, and host too"},
	{"path_prefix: /s\n", "path_prefix: s\n",
	 "f:32:5: services[1].path_prefix: must start with \"/\", not end with "
	 "it, and have no empty part, query or space"},
	{"path_prefix: /s\n", "path_prefix: /s/\n",
	 "f:32:5: services[1].path_prefix: must start with \"/\", not end with "
	 "it, and have no empty part, query or space"},
	{"path_prefix: /s\n", "path_prefix: /v1/models\n",
	 "f:32:5: services[1].path_prefix: \"/v1/models\" is the path of model "
	 "services"},
	{"path_prefix: /s/book", "path_prefix: /s",
	 "f:38:5: services[2].path_prefix: another service has the same host "
	 "and path prefix"},
	{"path_prefix: /s\n", "host: a.example:80\n",
	 "f:32:5: services[1].host: a host name without port or path"},
	{"path_prefix: /s\n", "path_prefix: /s\n    prompt_tokens_max: 5\n",
	 "f:33:5: services[1].prompt_tokens_max: has no meaning for a service "
	 "of kind plain"},
	{"path_prefix: /s/book\n    pool: s",
	 "path_prefix: /s/book\n    pool: p",
	 "f:39:5: services[2].pool: pool \"p\" is not of role plain"},
	{"class: urgent", "retry_percent: 101",
	 "f:34:5: services[1].retry_percent: must be from 0 to 100"},
	{"class: urgent", "concurrency: 0",
	 "f:34:5: services[1].concurrency: must be from 1 to 100000"},
	{"class: urgent",
	 "requests_per_s: 5\n    organisation_requests_per_s: 6",
	 "f:35:5: services[1].organisation_requests_per_s: above "
	 "requests_per_s"},
	{"class: urgent", "record_ms: 1000\n    deadline_ms: 2000",
	 "f:34:5: services[1].record_ms: below deadline_ms: a record would end "
	 "before its request"},
	{"policy:\n  name: reserve", "policy:\n  name: \"\\e[31m\"",
	 "f:41:3: policy.name: only letters, digits and \"._-\", a letter or "
	 "digit first"},
	{"  name: reserve\n", "", "f:40:1: policy.name: missing"},
	{"value: 0.5", "value: .inf",
	 "f:43:23: policy.parameters[0].value: Invalid FLOAT value: .inf"},
	{"value: 0.5", "value: 0.5 0.6",
	 "f:43:23: policy.parameters[0].value: not a number"},
	{"{name: hold_ms, value: 0.5}",
	 "{name: hold_ms, value: 0.5}\n    - {name: hold_ms, value: 1}",
	 "f:44:8: policy.parameters[1].name: duplicate name \"hold_ms\""},
	{"idempotent: true", "idempotent: yes",
	 "f:35:5: services[1].idempotent: neither true nor false"},
	{"data_centres:\n  - {name: a}\n  - {name: b, region: north}",
	 "data_centres: []",
	 "f:3:1: data_centres: Insufficient entries (0 of 1 min) in sequence."},
	{"version: 1", "version: 1\nversion: 1",
	 "f:2:1: version: duplicate field"},
	{"{name: hold_ms, value: 0.5}", "{name: hold_ms, value: }",
	 "f:43:23: policy.parameters[0].value: Invalid FLOAT value:"},
	{"{name: hold_ms, value: 0.5}",
	 "{name: hold_ms, value: \"\n  in mapping field 'y' (line: 1, column: "
	 "1)\"}",
	 "f:43:23: policy.parameters[0].value: Invalid FLOAT value:  in "
	 "mapping field 'y' (line: 1, column: 1)"},
	{"    targets: {urgent: {first_token_ms: 500}}\n", "    targets: 5\n",
	 "f:29:5: services[0].targets: Expecting MAPPING, got event: SCALAR"},
};

static char *text_of(const struct refusal *row, const char *base)
{
	if (!row->from)
		return g_strdup(row->to);
	return text_replace(base, row->from, row->to);
}

static void test_refusals(void)
{
	g_autofree char *base = source_file("tests/config/base.yaml");

	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		g_autofree char *text = text_of(&refusals[i], base);
		struct error err = {0};

		g_test_message("%s -> %s", refusals[i].from, refusals[i].to);
		g_assert_null(config_parse("f", text, strlen(text), &err));
		g_assert_cmpstr(err.text, ==, refusals[i].text);
		g_assert_cmpint(err.code, ==, RESULT_BAD_CONFIG);
	}
}

static void test_bounds(void)
{
	g_autofree char *text = g_strnfill(CONFIG_FILE_MAX + 1, ' ');
	struct error err = {0};

	g_assert_null(config_parse("f", text, strlen(text), &err));
	g_assert_cmpstr(err.text, ==, "f: larger than 262144 bytes");
	g_assert_null(config_parse("f", "site: \0", 7, &err));
	g_assert_cmpstr(err.text, ==,
			"f:1:7: control characters are not allowed");
	/* "a" in UTF-16. */
	g_assert_null(config_parse("f",
				   "\xff\xfe"
				   "a\0",
				   4, &err));
	g_assert_cmpstr(err.text, ==, "f:1:1: invalid leading UTF-8 octet");
	g_assert_null(config_load("/nowhere/f", &err));
	g_assert_cmpint(err.code, ==, RESULT_IO);
	g_assert_cmpstr(err.text, ==, "/nowhere/f: No such file or directory");
	g_assert_null(config_parse("f", "a", 1, NULL));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/refusals", test_refusals);
	g_test_add_func("/config/bounds", test_bounds);
	return g_test_run();
}
