/*
 * Repeated keys. If this instance has the request, the repeat attaches to it or
 * gets the kept answer. Otherwise the answer is fetched from the instance that
 * has the request; if that instance is dead, its stream is taken over.
 */
#include <stdio.h>
#include <string.h>

#include "common/hex.h"
#include "common/log.h"
#include "entry/request.h"

#define JOIN_HEAD_TIMEOUT_USEC (120 * USEC_PER_SEC)

static void key_mismatch(struct request *request)
{
	request_fail(request, RESULT_KEY_REUSED, 0,
		     "the key was used before with another request");
}

/* Moves the replies of a repeat to the first request with the key. */
static void replies_move(struct request *from, struct request *to)
{
	while (from->replies.head) {
		struct reply *reply = from->replies.head->data;

		g_queue_unlink(&from->replies, &reply->link);
		reply->request = to;
		g_queue_push_tail_link(&to->replies, &reply->link);
		reply_serve(reply);
	}
}

bool request_join_local(struct request *request)
{
	struct requests *requests = request->entry->requests;
	struct request *other =
		g_hash_table_lookup(requests->by_key, &request->key);

	if (!other || other == request || other->state == REQUEST_CANCELLING)
		return false;
	if (other->fingerprint != request->fingerprint) {
		key_mismatch(request);
		return true;
	}
	if (other->state == REQUEST_KEPT)
		requests->repeats->value++;
	else
		requests->joins->value++;
	replies_move(request, other);
	request_destroy(request);
	return true;
}

static struct reply *single_reply(const struct request *request)
{
	return request->replies.head ? request->replies.head->data : NULL;
}

static void join_head(void *ctx, int status, const struct web_header *headers,
		      size_t count)
{
	struct request *request = ctx;
	struct reply *reply = single_reply(request);
	const char *type = "application/octet-stream";
	char *type_copy = NULL;

	request->status = status;
	if ((status == 404 && !request->remote_data_centre[0]) || !reply)
		return;
	for (size_t i = 0; i < count; i++) {
		char *name =
			g_strndup(headers[i].name.data, headers[i].name.size);
		char *value =
			g_strndup(headers[i].value.data, headers[i].value.size);

		if (strcmp(name, "content-type") == 0) {
			g_free(type_copy);
			type_copy = g_strdup(value);
			type = type_copy;
		} else if (!plain_header_dropped(headers[i].name)) {
			web_reply_header(reply->web, name, value);
		}
		g_free(name);
		g_free(value);
	}
	reply->started = true;
	web_reply_start(reply->web, status, type);
	g_free(type_copy);
}

static void join_body(void *ctx, const void *data, size_t size)
{
	struct request *request = ctx;
	struct reply *reply = single_reply(request);

	if ((request->status != 404 || request->remote_data_centre[0]) && reply)
		web_reply_piece(reply->web, data, size);
}

/*
 * No answer arrived. A forwarded request may have run in the remote data
 * centre, so it is retried only if it is idempotent or was never sent: first at
 * the other instances of that data centre, then in the local one.
 */
static void join_failed(struct request *request,
			const struct web_result *result)
{
	if (request->remote_data_centre[0] && result->sent &&
	    !request->idempotent) {
		request->reached = true;
		request_fail(request, RESULT_PEER_GONE, USEC_PER_SEC,
			     "the remote data centre did not answer");
		return;
	}
	/* The live holder of the claim has no answer and will not get one. */
	if (request->claim_lost && request->status == 404) {
		request_fail(request, RESULT_ALREADY_CLAIMED, 0,
			     "a request with this key was claimed before");
		return;
	}
	if (request->remote_data_centre[0] && request_forward_next(request))
		return;
	request_submit_later(request);
}

static void join_done(void *ctx, const struct web_result *result)
{
	struct request *request = ctx;
	struct reply *reply = single_reply(request);

	request->web_call = NULL;
	if (!reply) {
		request_destroy(request);
		return;
	}
	if (!reply->started) {
		join_failed(request, result);
		return;
	}
	if (result->ok)
		web_reply_end(reply->web);
	else
		web_reply_abort(reply->web);
	reply_free(reply);
	request_destroy(request);
}

static const struct web_call_ops join_ops = {
	.head = join_head,
	.body = join_body,
	.done = join_done,
};

void request_relay(struct request *request, const struct web_call_spec *spec)
{
	request->state = REQUEST_JOINING;
	request->remote_data_centre[0] = '\0';
	request->status = 0;
	request->web_call =
		web_call(request->entry->client, spec, &join_ops, request);
}

void request_join_peer(struct request *request, const struct member *peer)
{
	struct reply *reply = single_reply(request);
	char key[HEX_ID_SIZE];
	char fingerprint[HEX_ID_SIZE];
	char path[96];
	struct web_call_spec spec = {
		.address = peer->http_address,
		.method = "GET",
		.path = path,
		.head_usec = JOIN_HEAD_TIMEOUT_USEC,
	};

	snprintf(path, sizeof(path), "/v1/answers/%s?fingerprint=%s&stream=%d",
		 hex_id(key, request->key),
		 hex_id(fingerprint, request->fingerprint),
		 reply && reply->stream);
	request->entry->requests->joins->value++;
	request_relay(request, &spec);
}

void request_join_cancel(struct request *request)
{
	if (request->web_call)
		web_call_cancel(request->web_call);
	request->web_call = NULL;
}

/* The instance that ran the request is dead: takes over its stream. */
static void owner_gone(struct request *request,
		       const struct ledger_duplicate *duplicate)
{
	if (!request->idempotent) {
		request_fail(request,
			     duplicate->state == RECORD_DONE
				     ? RESULT_ALREADY_RUN
				     : RESULT_ALREADY_CLAIMED,
			     0, "a request with this key was run before");
		return;
	}
	request_register_key(request);
	request->grant.decode = duplicate->decode;
	g_strlcpy(request->stream, duplicate->stream, sizeof(request->stream));
	request->adopted = true;
	ledger_adopt(request->entry->ledger, request->id);
}

/* The key was run in another data centre. If that one is unreachable, the
 * request is resubmitted here, marked as forwarded. */
static void key_remote(struct request *request, const char *data_centre)
{
	if (request_forward(request, data_centre))
		return;
	request->forwarded = true;
	request_submit_later(request);
}

void request_duplicate(struct request *request,
		       const struct ledger_duplicate *duplicate)
{
	const struct membership *members = request->entry->membership;
	const struct member *peer =
		membership_find(members, duplicate->owner.instance);

	if (duplicate->state == RECORD_ELSEWHERE) {
		key_remote(request, duplicate->data_centre);
		return;
	}
	if (!duplicate->owner_alive || !peer) {
		owner_gone(request, duplicate);
		return;
	}
	if (duplicate->state == RECORD_FAILED) {
		request_fail(request, RESULT_ALREADY_CLAIMED, 0,
			     "a request with this key failed before");
		return;
	}
	if (peer != membership_self(members)) {
		request_join_peer(request, peer);
		return;
	}
	if (!request_join_local(request))
		request_submit_later(request);
}
