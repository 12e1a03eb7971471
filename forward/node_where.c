/*
 * node_where.c - answers the operators' question where a request would go
 */
#include "node.h"

#include <stdlib.h>

#include "forward/where.h"

/* Longest host, path or organisation in a query. */
#define TEXT_MAX 1024

static bool count_get(const struct web_request *request, const char *name,
		      uint32_t *count, struct error *err)
{
	char text[TEXT_MAX];
	guint64 value;

	if (!web_request_param(request, name, text, sizeof(text)))
		return true;
	if (!g_ascii_string_to_unsigned(text, 10, 0, UINT32_MAX / 2, &value,
					NULL))
		return error_set(err, RESULT_BAD_REQUEST,
				 "%s: '%s' is not a number of tokens", name,
				 text);
	*count = (uint32_t)value;
	return true;
}

static void error_answer(struct web_request *request, const struct error *err)
{
	g_autofree char *message = g_strescape(err->text, NULL);
	g_autofree char *text = g_strdup_printf(
		"{\"code\": %d, \"error\": \"%s\"}\n", (int)err->code, message);

	web_reply(request, result_status(err->code), "application/json", text,
		  strlen(text));
}

void node_where(void *ctx, struct web_request *request)
{
	const struct node *node = ctx;
	char host[TEXT_MAX] = "";
	char path[TEXT_MAX] = "/";
	char organisation[TEXT_MAX] = "";
	struct where_query query = {
		.host = host, .path = path, .organisation = organisation};
	g_autofree char *text = NULL;
	struct error err = {0};

	(void)web_request_param(request, "host", host, sizeof(host));
	(void)web_request_param(request, "path", path, sizeof(path));
	(void)web_request_param(request, "organisation", organisation,
				sizeof(organisation));
	if (count_get(request, "prompt", &query.prompt_tokens, &err) &&
	    count_get(request, "output", &query.output_max, &err) &&
	    count_get(request, "estimate", &query.output_expected, &err))
		text = forward_where(node->forward, &query, &err);
	if (text)
		web_reply(request, 200, "application/json", text, strlen(text));
	else
		error_answer(request, &err);
}
