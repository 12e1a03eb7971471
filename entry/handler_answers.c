/*
 * GET /v1/answers/KEY: the answer of a keyed request that this instance runs
 * or has run. Other instances that receive the same key fetch it here.
 */
#include <string.h>

#include "common/hex.h"
#include "entry/request.h"

static bool param_id(const struct web_request *web, const char *name,
		     uint64_t *id)
{
	char text[HEX_ID_SIZE + 1];

	return web_request_param(web, name, text, sizeof(text)) &&
	       hex_parse(text, strlen(text), id);
}

static bool wants_stream(const struct web_request *web)
{
	char text[4];

	return web_request_param(web, "stream", text, sizeof(text)) &&
	       strcmp(text, "1") == 0;
}

void handler_answers(void *ctx, struct web_request *web)
{
	struct requests *requests = ctx;
	struct web_text path = web_request_path(web);
	struct request *request;
	uint64_t fingerprint;
	uint64_t key;

	if (path.size < HEX_ID_SIZE - 1 ||
	    !hex_parse(path.data + path.size - (HEX_ID_SIZE - 1),
		       HEX_ID_SIZE - 1, &key) ||
	    !param_id(web, "fingerprint", &fingerprint)) {
		answer_error(web, 0, RESULT_BAD_REQUEST, OUTCOME_NOT_RUN, 0,
			     "the path needs a key and a fingerprint");
		return;
	}
	request = g_hash_table_lookup(requests->by_key, &key);
	if (!request || request->state == REQUEST_CANCELLING) {
		answer_error(web, 0, RESULT_NOT_FOUND, OUTCOME_NOT_RUN, 0,
			     "no request with this key runs here");
		return;
	}
	if (request->fingerprint != fingerprint) {
		answer_error(web, request->id, RESULT_KEY_REUSED,
			     OUTCOME_NOT_RUN, 0,
			     "the key was used before with another request");
		return;
	}
	reply_serve(reply_attach(request, web, wants_stream(web)));
}
