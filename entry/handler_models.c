/* GET /v1/models: the models of the configuration in force. */
#include <string.h>

#include "common/json_text.h"
#include "entry/request.h"

void handler_models(void *ctx, struct web_request *web)
{
	struct requests *requests = ctx;
	const struct config *config = requests->entry->config;
	struct web_text method = web_request_method(web);
	GString *body;
	const char *comma = "";

	if (method.size != 3 || memcmp(method.data, "GET", 3) != 0) {
		answer_error(web, 0, RESULT_BAD_METHOD, OUTCOME_NOT_RUN, 0,
			     "this path takes GET");
		return;
	}
	body = g_string_new("{\"object\":\"list\",\"data\":[");
	for (size_t i = 0; config && i < config->service_count; i++) {
		const struct config_service *service = &config->services[i];

		if (service->kind != SERVICE_MODEL)
			continue;
		g_string_append(body, comma);
		g_string_append(body, "{\"object\":\"model\",\"id\":");
		json_text_append(body, service->model, strlen(service->model));
		g_string_append_c(body, '}');
		comma = ",";
	}
	g_string_append(body, "]}\n");
	web_reply(web, 200, "application/json", body->str, body->len);
	g_string_free(body, TRUE);
}
