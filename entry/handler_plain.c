/* All other paths: routes to plain services by host and path prefix. */
#include <string.h>

#include "entry/request.h"

#define PATH_MAX_BYTES 8192u

static void text_append(GString *to, struct web_text text)
{
	g_string_append_len(to, text.data, (gssize)text.size);
}

static const struct config_service *service_find(const struct config *config,
						 const struct web_request *web)
{
	struct web_text host = web_request_authority(web);
	struct web_text path = web_request_path(web);
	char *host_text = g_strndup(host.data, host.size);
	char *path_text = g_strndup(path.data, path.size);
	const struct config_service *service;
	char *port = strchr(host_text, ':');

	if (port)
		*port = '\0';
	service = config_route(config, host_text, path_text);
	g_free(host_text);
	g_free(path_text);
	return service;
}

static void request_copy(struct request *request, struct web_request *web)
{
	const struct web_header *headers;
	size_t count = web_request_headers(web, &headers);
	struct web_text query = web_request_query(web);

	text_append(request->method, web_request_method(web));
	text_append(request->path, web_request_path(web));
	if (query.size) {
		g_string_append_c(request->path, '?');
		text_append(request->path, query);
	}
	text_append(request->body, web_request_body(web));
	plain_headers_copy(request->headers, headers, count);
}

static void request_refuse(struct request *request, struct web_request *web,
			   const struct error *err)
{
	answer_error(web, request->id, err->code, OUTCOME_NOT_RUN, 0,
		     err->text);
	request_destroy(request);
}

void handler_plain(void *ctx, struct web_request *web)
{
	struct requests *requests = ctx;
	const struct config *config = requests->entry->config;
	const struct config_service *service;
	struct request *request;
	struct error err = {0};

	if (!config) {
		answer_error(web, 0, RESULT_NO_CONFIG, OUTCOME_NOT_RUN,
			     USEC_PER_SEC, "no configuration is in force yet");
		return;
	}
	service = service_find(config, web);
	if (!service) {
		answer_error(web, 0, RESULT_NOT_FOUND, OUTCOME_NOT_RUN, 0,
			     "no service is routed here");
		return;
	}
	request = request_create(requests);
	request_register(request);
	request_set_service(request, service);
	if (!request_parse_headers(request, web, &err)) {
		request_refuse(request, web, &err);
		return;
	}
	if (web_request_body(web).size > service->body_bytes_max ||
	    web_request_path(web).size > PATH_MAX_BYTES) {
		error_set(&err, RESULT_TOO_LARGE,
			  "the path or body is over the service's limit");
		request_refuse(request, web, &err);
		return;
	}
	request_copy(request, web);
	reply_attach(request, web, false);
	request_start(request);
}
