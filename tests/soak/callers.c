/* Organisations, their keys and allotments, and callers without a valid key. */
#include <stdio.h>
#include <string.h>

#include "soak.h"

/* Allotment of beta, a sixth of the tokens that it requests. */
#define BETA_RATE_PER_SEC 300.0
#define BETA_BURST_TOKENS 900.0
/* A window may exceed the allotment by a tenth, and by the usage that killed
 * instances had not reported. */
#define USAGE_MARGIN 1.1
#define UNREPORTED_TOKENS BETA_BURST_TOKENS

#define ORGANISATIONS                                                          \
	"{\"version\":%d,\"tenants\":["                                        \
	"{\"name\":\"acme\",\"api_keys\":[\"ka\"]},"                           \
	"{\"name\":\"beta\",\"api_keys\":[\"kb\"],\"unit\":\"token_count\","   \
	"\"plain_tokens\":1,\"rate_per_s\":300,\"burst\":900}]}"

static const struct {
	const char *name;
	const char *key;
} callers[CALLERS] = {
	[CALLER_ACME] = {"acme", "Token ka"},
	[CALLER_BETA] = {"beta", "Token kb"},
	[CALLER_WRONG_KEY] = {"liar", "Token kx"},
	[CALLER_NO_KEY] = {"nobody", NULL},
};

static struct web_header header(const char *name, const char *value)
{
	return (struct web_header){{name, strlen(name)},
				   {value, strlen(value)}};
}

const char *caller_name(enum caller caller)
{
	return callers[caller].name;
}

size_t caller_headers(enum caller caller, struct web_header *headers)
{
	size_t count = 0;

	if (callers[caller].key)
		headers[count++] = header("authorization", callers[caller].key);
	if (caller != CALLER_ACME)
		headers[count++] = header("tenant", "acme");
	return count;
}

enum caller caller_draw(struct soak *soak)
{
	double point = g_rand_double(soak->caller_rand);

	if (point < 0.1)
		return point < 0.05 ? CALLER_WRONG_KEY : CALLER_NO_KEY;
	return point < 0.5 ? CALLER_BETA : CALLER_ACME;
}

void organisations_configure(struct soak *soak)
{
	g_autofree char *body =
		g_strdup_printf(ORGANISATIONS, (int)++soak->version);

	soak->began = clock_now(soak->clock);
	/* The call may fail on a busy machine; without organisations all
	 * requests would run without authentication. */
	while (site_call(soak, "POST", "/site/config", body, "runs") < 0)
		soak_loop_run(soak, 50 * USEC_PER_MSEC);
}

void callers_check(struct soak *soak)
{
	double sec = (double)(clock_now(soak->clock) - soak->began) /
		     (double)USEC_PER_SEC;
	int64_t used =
		site_call(soak, "GET", "/site/ledger?of=beta", NULL, "units");

	if (site_call(soak, "GET", "/site/ledger", NULL, "strangers") != 0)
		soak_fail(soak, "a server was told a wrong organisation");
	if (site_call(soak, "GET", "/site/ledger", NULL, "secrets") != 0)
		soak_fail(soak, "a server was shown a key");
	if ((double)used >
	    (BETA_RATE_PER_SEC * sec + BETA_BURST_TOKENS) * USAGE_MARGIN +
		    UNREPORTED_TOKENS)
		soak_fail(soak, "beta used %d tokens in %.1f s", (int)used,
			  sec);
}
