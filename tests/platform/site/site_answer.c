/* Answers without a length, which end with the connection. */
#include "../../../web/request.h"
#include "site.h"

void answer_unframe(struct web_request *request)
{
	h2o_req_t *req = request->req;

	req->http1_is_persistent = 0;
	h2o_add_header(&req->pool, &req->res.headers,
		       H2O_TOKEN_TRANSFER_ENCODING, NULL,
		       H2O_STRLIT("identity"));
}

void answer_cut(struct web_request *request, bool unframed)
{
	/* Answers to HTTP/1.0 are reset when they are aborted. */
	if (unframed)
		request->req->version = 0x100;
	web_reply_abort(request);
}
