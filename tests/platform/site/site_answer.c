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
	const struct linger reset = {.l_onoff = 1};

	if (unframed && request->sock)
		setsockopt(h2o_socket_get_fd(request->sock), SOL_SOCKET,
			   SO_LINGER, &reset, sizeof(reset));
	web_reply_abort(request);
}
