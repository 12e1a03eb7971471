/*
 * answer.c - buffer for a server's answer until it is relayed
 */
#include "request.h"

#include <string.h>

/* Two allocations and two pointers. */
#define HEADER_OVERHEAD 48

void answer_set_head(struct request *request, const struct backend_head *head)
{
	struct answer *answer = &request->answer;

	answer_clear(answer);
	answer->head = *head;
	answer->head.headers = NULL;
	answer->has_head = true;
	answer->head_bytes = 0;
	answer->names = g_ptr_array_new_with_free_func(g_free);
	answer->values = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < head->header_count; i++) {
		const struct web_header *header = &head->headers[i];

		answer->head_bytes += header->name.size + header->value.size +
				      HEADER_OVERHEAD;
		g_ptr_array_add(answer->names, g_strndup(header->name.data,
							 header->name.size));
		g_ptr_array_add(answer->values, g_strndup(header->value.data,
							  header->value.size));
	}
}

void answer_append_body(struct request *request, const void *data, size_t size,
			size_t max)
{
	struct answer *answer = &request->answer;

	if (!answer->body)
		answer->body = g_byte_array_new();
	if (answer->body->len + size > max)
		answer->too_large = true;
	else
		g_byte_array_append(answer->body, data, (guint)size);
	request_received_update(request);
}

void answer_drop_body(struct request *request, size_t size)
{
	struct answer *answer = &request->answer;

	answer->dropped += size;
	if (answer->dropped > ANSWER_BYTES_MAX)
		answer->too_large = true;
	request_received_update(request);
}

/* Statuses that mean to a caller that its request did not run. */
static bool status_denies_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

bool answer_may_pass(const struct answer *answer)
{
	return answer->has_head && !answer->head.mismatched &&
	       answer->head.is_signed && !answer->too_large &&
	       (answer->head.not_run ||
		!status_denies_run(answer->head.status));
}

void answer_clear(struct answer *answer)
{
	if (answer->names)
		g_ptr_array_unref(answer->names);
	if (answer->values)
		g_ptr_array_unref(answer->values);
	if (answer->body)
		g_byte_array_unref(answer->body);
	memset(answer, 0, sizeof(*answer));
}

static void headers_reply(struct request *request)
{
	struct answer *answer = &request->answer;

	for (guint i = 0; answer->names && i < answer->names->len; i++)
		web_reply_header(request->web, answer->names->pdata[i],
				 answer->values->pdata[i]);
}

void request_reply_start(struct request *request)
{
	headers_reply(request);
	web_reply_start(request->web, request->answer.head.status, NULL);
	request->replied = true;
	request->replied_status = request->answer.head.status;
	request->first_at = request_now(request);
}

void answer_send(struct request *request)
{
	GByteArray *body = request->answer.body;

	headers_reply(request);
	web_reply(request->web, request->answer.head.status, NULL,
		  body ? body->data : NULL, body ? body->len : 0);
}
