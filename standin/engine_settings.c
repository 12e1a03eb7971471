#include "standin/engine_settings.h"

#include <argp.h>
#include <errno.h>
#include <math.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

enum setting_kind {
	SETTING_TEXT,
	SETTING_ROLE,
	SETTING_FLAG,
	SETTING_COUNT,
	SETTING_SIZE, /* a positive count */
	SETTING_RATE, /* a positive number */
	SETTING_MS,
};

#define AT(member) offsetof(struct engine_settings, member)

/* The argp key of an entry is KEY_FIRST plus its index. */
static const struct setting {
	const char *name;
	const char *arg;
	const char *doc;
	enum setting_kind kind;
	size_t offset;
} table[] = {
	{"name", "NAME", "name of the instance", SETTING_TEXT, AT(spec.name)},
	{"pool", "NAME", "its pool", SETTING_TEXT, AT(spec.pool)},
	{"data-centre", "NAME", "its data centre", SETTING_TEXT,
	 AT(spec.data_centre)},
	{"listen", "IP:PORT", "own address; port 0 picks one", SETTING_TEXT,
	 AT(listen)},
	{"platform", "IP:PORT", "register there", SETTING_TEXT,
	 AT(spec.platform)},
	{"role", "ROLE", "prefill or decode", SETTING_ROLE, AT(params.role)},
	{"pieces", "N", "memory in pieces", SETTING_COUNT, AT(params.pieces)},
	{"piece-tokens", "N", "tokens a piece", SETTING_SIZE,
	 AT(params.piece_tokens)},
	{"slots", "N", "decode streams at once", SETTING_COUNT,
	 AT(params.slots)},
	{"queue", "N", "prompts that may wait", SETTING_COUNT,
	 AT(params.queue)},
	{"prefill-tokens-per-s", "X", "prefill rate", SETTING_RATE,
	 AT(params.prefill_tokens_per_s)},
	{"decode-tokens-per-s", "X", "decode rate of one stream", SETTING_RATE,
	 AT(params.decode_tokens_per_s)},
	{"kv-bytes-per-token", "X", "size of the KV cache", SETTING_RATE,
	 AT(params.kv_bytes_per_token)},
	{"link-bytes-per-s", "X", "rate of its link", SETTING_RATE,
	 AT(params.link_bytes_per_s)},
	{"hold-ms", "N", "life of a prefill result", SETTING_MS,
	 AT(params.hold_usec)},
	{"resume-ms", "N", "life of a stream without reader; 0: for ever",
	 SETTING_MS, AT(params.resume_usec)},
	{"report-lag-ms", "N", "time between load reports", SETTING_MS,
	 AT(params.report_lag_usec)},
	{"event-lag-ms", "N", "lag of cache events", SETTING_MS,
	 AT(params.event_lag_usec)},
	{"event-gap-percent", "N", "share of cache events lost", SETTING_COUNT,
	 AT(params.event_gap_percent)},
	{"checks-fencing", NULL, "refuse orders with an old fencing number",
	 SETTING_FLAG, AT(params.checks_fencing)},
	{"cache-blocks", "N", "blocks of 256 tokens in the prefix cache",
	 SETTING_COUNT, AT(params.cache_blocks)},
	{"time-scale", "X", "divide all times by it", SETTING_RATE,
	 AT(params.time_scale)},
	{"seed", "N", "of all random choices", SETTING_COUNT, AT(params.seed)},
};

#define SETTINGS (sizeof(table) / sizeof(table[0]))
#define KEY_FIRST 256

static const struct engine_settings defaults = {
	.spec = {.kind = "runner",
		 .name = "engine",
		 .pool = "pool",
		 .data_centre = "local"},
	.listen = "127.0.0.1:0",
	.params =
		{
			.role = ENGINE_DECODE,
			.pieces = 80,
			.piece_tokens = 2048,
			.slots = 20,
			.queue = 64,
			.prefill_tokens_per_s = 8000,
			.decode_tokens_per_s = 50,
			.kv_bytes_per_token = 131072,
			.link_bytes_per_s = 3e9,
			.hold_usec = 800 * USEC_PER_MSEC,
			.resume_usec = 5000 * USEC_PER_MSEC,
			.report_lag_usec = 300 * USEC_PER_MSEC,
			.event_lag_usec = 500 * USEC_PER_MSEC,
			.cache_blocks = 2048,
			.time_scale = 1,
			.seed = 1,
		},
};

static error_t number_set(const struct setting *setting, const char *arg,
			  void *at, struct argp_state *state)
{
	char *end;
	double number;

	errno = 0;
	number = strtod(arg, &end);
	if (end == arg || *end || errno || !isfinite(number) || number < 0 ||
	    number > 1e15)
		argp_error(state, "--%s: '%s' is no number", setting->name,
			   arg);
	if (number == 0 &&
	    (setting->kind == SETTING_RATE || setting->kind == SETTING_SIZE))
		argp_error(state, "--%s: must be above 0", setting->name);
	if (setting->kind == SETTING_RATE)
		*(double *)at = number;
	else if (setting->kind == SETTING_MS)
		*(int64_t *)at = (int64_t)(number * USEC_PER_MSEC);
	else if (number <= UINT32_MAX)
		*(uint32_t *)at = (uint32_t)number;
	else
		argp_error(state, "--%s: too large", setting->name);
	return 0;
}

static error_t option_parse(int key, char *arg, struct argp_state *state)
{
	const struct setting *setting;
	void *at;

	if (key < KEY_FIRST || key >= KEY_FIRST + (int)SETTINGS)
		return ARGP_ERR_UNKNOWN;
	setting = &table[key - KEY_FIRST];
	at = (char *)state->input + setting->offset;
	switch (setting->kind) {
	case SETTING_TEXT:
		*(const char **)at = arg;
		return 0;
	case SETTING_ROLE:
		if (!engine_role_parse(arg, at))
			argp_error(state, "--role: prefill or decode");
		return 0;
	case SETTING_FLAG:
		*(bool *)at = true;
		return 0;
	default:
		return number_set(setting, arg, at, state);
	}
}

void engine_settings_read(struct engine_settings *settings, int argc,
			  char **argv)
{
	struct argp_option options[SETTINGS + 1] = {0};
	struct argp argp = {
		.options = options,
		.parser = option_parse,
		.doc = "Stands in for one model engine in tests.",
	};

	for (size_t i = 0; i < SETTINGS; i++) {
		options[i].name = table[i].name;
		options[i].key = KEY_FIRST + (int)i;
		options[i].arg = table[i].arg;
		options[i].doc = table[i].doc;
	}
	argp_program_version = "jtengine " JT_VERSION;
	*settings = defaults;
	argp_parse(&argp, argc, argv, 0, NULL, settings);
	engine_params_scale(&settings->params);
}
