/*
 * Forwards a request to another data centre and relays the answer: when the
 * local cell is full and another is not, or when the key was run there. A
 * forwarded request is never forwarded again.
 */
#include <stdio.h>
#include <string.h>

#include "common/log.h"
#include "coord/ledger_level.h"
#include "entry/request.h"

#define FORWARD_HEAD_TIMEOUT_USEC (120 * USEC_PER_SEC)
/* Instances of the remote data centre. */
#define FORWARD_ATTEMPTS_MAX 3u

static struct web_text text_of(const char *text)
{
	return (struct web_text){.data = text, .size = strlen(text)};
}

/* Copies the caller's headers without hop-by-hop headers, and sets the time
 * left to the deadline and jt-forwarded. */
static size_t headers_make(const struct request *request,
			   const struct web_request *web, const char *deadline,
			   struct web_header *out)
{
	const struct web_header *from;
	size_t count = web_request_headers(web, &from);
	size_t kept = 0;

	for (size_t i = 0; i < count; i++) {
		if (plain_header_dropped(from[i].name) ||
		    web_text_is(from[i].name, "jt-deadline-ms") ||
		    web_text_is(from[i].name, "jt-forwarded"))
			continue;
		out[kept++] = from[i];
	}
	out[kept].name = text_of("jt-forwarded");
	out[kept++].value = text_of(request->entry->settings.data_centre);
	if (deadline[0]) {
		out[kept].name = text_of("jt-deadline-ms");
		out[kept++].value = text_of(deadline);
	}
	return kept;
}

static const struct member *member_pick(const struct request *request,
					const char *data_centre)
{
	const struct membership *members = request->entry->membership;
	uint64_t id = membership_home(members, data_centre, request->id,
				      request->remote_attempts);

	return id ? membership_find(members, id) : NULL;
}

static void deadline_print(const struct request *request, char *text,
			   size_t size)
{
	int64_t now = clock_now(request->entry->clock);
	int64_t left = request->deadline - now;

	text[0] = '\0';
	if (request->deadline == CLOCK_NEVER)
		return;
	snprintf(text, size, "%lld",
		 (long long)(left > USEC_PER_MSEC ? left / USEC_PER_MSEC : 1));
}

static bool forward_send(struct request *request, const char *data_centre)
{
	const struct member *member = member_pick(request, data_centre);
	struct reply *reply =
		request->replies.head ? request->replies.head->data : NULL;
	const struct web_header *unused;
	struct web_header *headers;
	struct web_text path;
	struct web_text query;
	char deadline[24];
	char *method;
	char *target;

	if (!member || !reply || reply->started)
		return false;
	headers = g_new0(struct web_header,
			 web_request_headers(reply->web, &unused) + 2);
	path = web_request_path(reply->web);
	query = web_request_query(reply->web);
	method = g_strndup(web_request_method(reply->web).data,
			   web_request_method(reply->web).size);
	target = g_strdup_printf("%.*s%s%.*s", (int)path.size, path.data,
				 query.size ? "?" : "", (int)query.size,
				 query.size ? query.data : "");
	deadline_print(request, deadline, sizeof(deadline));
	request_relay(request,
		      &(struct web_call_spec){
			      .address = member->http_address,
			      .method = method,
			      .path = target,
			      .headers = headers,
			      .header_count = headers_make(request, reply->web,
							   deadline, headers),
			      .body = web_request_body(reply->web).data,
			      .body_size = web_request_body(reply->web).size,
			      .head_usec = FORWARD_HEAD_TIMEOUT_USEC,
			      .fresh = !request->idempotent,
		      });
	request->forwarded = true;
	g_strlcpy(request->remote_data_centre, data_centre,
		  sizeof(request->remote_data_centre));
	request->entry->requests->forwards->value++;
	log_event(LOG_INFO, "request_forwarded", LOG_X("request", request->id),
		  LOG_S("data_centre", data_centre));
	g_free(headers);
	g_free(method);
	g_free(target);
	return true;
}

bool request_forward(struct request *request, const char *data_centre)
{
	request->remote_attempts = 0;
	return !request->forwarded && forward_send(request, data_centre);
}

bool request_forward_next(struct request *request)
{
	char data_centre[MEMBER_NAME_MAX];

	if (++request->remote_attempts >= FORWARD_ATTEMPTS_MAX)
		return false;
	g_strlcpy(data_centre, request->remote_data_centre,
		  sizeof(data_centre));
	return forward_send(request, data_centre);
}

/* Redirects a share of urgent requests when they would wait in the local cell
 * but not in another; redirects any request when the local cell is full. */
bool request_spill(struct request *request, bool refused)
{
	struct entry *entry = request->entry;
	uint64_t key = request->key ? request->key : request->id;
	const char *there;
	uint32_t share;

	if (request->service.kind != SERVICE_MODEL)
		return false;
	ledger_level(entry->ledger, request->service.name, &share);
	if (!refused && !cell_load_redirects(share, request->class, key))
		return false;
	if (refused || share >= CELL_LOAD_SHARE_ALL)
		there = cell_load_pick_least_loaded(
			entry->membership, entry->config, &request->service,
			CELL_FULL, key);
	else
		there = cell_load_pick_by_key(entry->membership, entry->config,
					      &request->service, key);
	return there && request_forward(request, there);
}
