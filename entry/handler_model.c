/* POST /v1/completions and /v1/chat/completions. */
#include <string.h>

#include "entry/request.h"

static bool is_post(const struct web_request *web)
{
	struct web_text method = web_request_method(web);

	return method.size == 4 && memcmp(method.data, "POST", 4) == 0;
}

static void completions_handle(struct requests *requests,
			       struct web_request *web, bool chat)
{
	struct error err = {0};
	struct request *request;
	bool stream = false;

	if (!is_post(web)) {
		answer_error(web, 0, RESULT_BAD_METHOD, OUTCOME_NOT_RUN, 0,
			     "this path takes POST");
		return;
	}
	if (!requests->entry->config) {
		answer_error(web, 0, RESULT_NO_CONFIG, OUTCOME_NOT_RUN,
			     USEC_PER_SEC, "no configuration is in force yet");
		return;
	}
	request = request_create(requests);
	request_register(request);
	if (!request_parse_model(request, web, chat, &stream, &err)) {
		answer_error(web, request->id, err.code, OUTCOME_NOT_RUN, 0,
			     err.text);
		request_destroy(request);
		return;
	}
	reply_attach(request, web, stream);
	request_start(request);
}

void handler_completions(void *ctx, struct web_request *web)
{
	completions_handle(ctx, web, false);
}

void handler_chat(void *ctx, struct web_request *web)
{
	completions_handle(ctx, web, true);
}
