/* Creation, completion and release of requests and of their replies. */
#include "entry/request.h"

#include <string.h>

#include "common/log.h"
#include "entry/measures.h"

#define GAP_BASE_USEC 1000

static char *copy_text(const char *text)
{
	return text ? g_strdup(text) : NULL;
}

static void service_free(struct config_service *service)
{
	g_free((char *)service->name);
	g_free((char *)service->model);
	g_free((char *)service->prefill_pool);
	g_free((char *)service->decode_pool);
	g_free((char *)service->path_prefix);
	g_free((char *)service->host);
	g_free((char *)service->pool);
}

void request_set_service(struct request *request,
			 const struct config_service *service)
{
	request->service = *service;
	request->service.name = copy_text(service->name);
	request->service.model = copy_text(service->model);
	request->service.prefill_pool = copy_text(service->prefill_pool);
	request->service.decode_pool = copy_text(service->decode_pool);
	request->service.path_prefix = copy_text(service->path_prefix);
	request->service.host = copy_text(service->host);
	request->service.pool = copy_text(service->pool);
}

struct request *request_create(struct requests *requests)
{
	struct request *request = g_new0(struct request, 1);

	request->entry = requests->entry;
	request->arrived = clock_now(requests->entry->clock);
	request->deadline = CLOCK_NEVER;
	request->first_token_at = -1;
	request->headers = g_ptr_array_new_with_free_func(g_free);
	request->answer_headers = g_ptr_array_new_with_free_func(g_free);
	request->answer_body = g_string_new(NULL);
	request->prompt = g_string_new(NULL);
	request->text = g_string_new(NULL);
	request->method = g_string_new(NULL);
	request->path = g_string_new(NULL);
	request->body = g_string_new(NULL);
	request->state = REQUEST_SUBMITTED;
	timer_init(&request->timer, requests->entry->clock, request_timer,
		   request);
	return request;
}

void request_register(struct request *request)
{
	struct requests *requests = request->entry->requests;
	struct owner self = request_owner(request);

	request->id = id_mix(id_mix(self.instance, self.incarnation),
			     ++requests->next);
	g_hash_table_insert(requests->by_id, &request->id, request);
	requests->active++;
}

void request_register_key(struct request *request)
{
	struct requests *requests = request->entry->requests;

	if (request->key)
		g_hash_table_insert(requests->by_key, &request->key, request);
}

static void key_unregister(struct request *request)
{
	struct requests *requests = request->entry->requests;

	if (!request->key)
		return;
	if (g_hash_table_lookup(requests->by_key, &request->key) == request)
		g_hash_table_remove(requests->by_key, &request->key);
}

static size_t kept_size(const struct request *request)
{
	return sizeof(*request) + request->text->len +
	       request->answer_body->len;
}

void request_destroy(struct request *request)
{
	struct requests *requests = request->entry->requests;

	timer_stop(&request->timer);
	plain_drop(request);
	key_unregister(request);
	g_hash_table_remove(requests->by_id, &request->id);
	if (request->state == REQUEST_KEPT) {
		g_queue_unlink(&requests->kept, &request->kept_link);
		requests->kept_bytes -= kept_size(request);
	} else {
		requests->active--;
	}
	service_free(&request->service);
	g_ptr_array_unref(request->headers);
	g_ptr_array_unref(request->answer_headers);
	g_string_free(request->answer_body, TRUE);
	g_string_free(request->prompt, TRUE);
	g_string_free(request->text, TRUE);
	g_string_free(request->method, TRUE);
	g_string_free(request->path, TRUE);
	g_string_free(request->body, TRUE);
	g_free(request);
	requests_settled(requests);
}

/* Detaches the next reply; the caller answers it and frees it. */
static struct reply *reply_take(struct request *request)
{
	GList *link = g_queue_pop_head_link(&request->replies);

	return link ? link->data : NULL;
}

void request_discard(struct request *request)
{
	struct reply *reply;

	engine_drop(request->call);
	request->call = NULL;
	while ((reply = reply_take(request))) {
		web_request_on_gone(reply->web, NULL, NULL);
		web_reply_abort(reply->web);
		g_free(reply);
	}
	request_destroy(request);
}

struct request *request_find(const struct requests *requests, uint64_t id)
{
	return g_hash_table_lookup(requests->by_id, &id);
}

struct owner request_owner(const struct request *request)
{
	const struct member *self = membership_self(request->entry->membership);

	return (struct owner){
		.instance = self->id,
		.incarnation = self->incarnation,
	};
}

enum outcome request_outcome(const struct request *request,
			     enum result_code code)
{
	enum outcome outcome = result_outcome(code);

	if (outcome == OUTCOME_NOT_RUN && request->reached)
		return OUTCOME_UNKNOWN;
	return outcome;
}

void reply_free(struct reply *reply)
{
	g_queue_unlink(&reply->request->replies, &reply->link);
	g_free(reply);
}

/* The last caller has disconnected: cancels the request and frees it. */
static void request_abandon(struct request *request)
{
	log_event(LOG_INFO, "caller_gone", LOG_X("request", request->id),
		  LOG_D("state", request->state),
		  LOG_D("tokens", request->tokens));
	switch (request->state) {
	case REQUEST_SUBMITTED:
		ledger_withdraw(request->entry->ledger, request->id);
		request_destroy(request);
		return;
	case REQUEST_JOINING:
		request_join_cancel(request);
		request_destroy(request);
		return;
	case REQUEST_KEPT:
	case REQUEST_CANCELLING:
		return;
	default:
		break;
	}
	request_measure(request, RESULT_CALLER_GONE);
	if (request->service.kind == SERVICE_PLAIN)
		plain_cancel(request);
	else
		model_cancel(request);
}

static void reply_gone(void *ctx)
{
	struct reply *reply = ctx;
	struct request *request = reply->request;

	reply_free(reply);
	if (g_queue_is_empty(&request->replies))
		request_abandon(request);
}

void reply_abort(struct reply *reply)
{
	struct web_request *web = reply->web;

	log_event(LOG_NOTICE, "slow_caller_cut",
		  LOG_X("request", reply->request->id));
	web_request_on_gone(web, NULL, NULL);
	web_reply_abort(web);
	reply_gone(reply);
}

struct reply *reply_attach(struct request *request, struct web_request *web,
			   bool stream)
{
	struct reply *reply = g_new0(struct reply, 1);

	reply->request = request;
	reply->web = web;
	reply->stream = stream;
	reply->link.data = reply;
	g_queue_push_tail_link(&request->replies, &reply->link);
	web_request_on_gone(web, reply_gone, reply);
	return reply;
}

void reply_serve(struct reply *reply)
{
	answer_catch_up(reply);
	if (reply->request->state != REQUEST_KEPT)
		return;
	answer_finish(reply);
	reply_free(reply);
}

void request_release(struct request *request, enum release_reason reason)
{
	if (!request->granted)
		return;
	request->granted = false;
	ledger_release(request->entry->ledger, request->id, reason);
}

static void kept_trim(struct requests *requests)
{
	uint64_t max = requests->entry->settings.replay_bytes_max;
	GList *next;

	for (GList *at = requests->kept.head; at && requests->kept_bytes > max;
	     at = next) {
		next = at->next;
		request_destroy(at->data);
	}
}

void request_retire(struct request *request)
{
	struct requests *requests = request->entry->requests;

	timer_stop(&request->timer);
	if (!request->key || !request->complete) {
		request_destroy(request);
		return;
	}
	g_string_truncate(request->prompt, 0);
	g_string_truncate(request->body, 0);
	request->state = REQUEST_KEPT;
	request->kept_link.data = request;
	g_queue_push_tail_link(&requests->kept, &request->kept_link);
	requests->kept_bytes += kept_size(request);
	requests->active--;
	timer_start(&request->timer,
		    request->service.record_ms * USEC_PER_MSEC);
	kept_trim(requests);
	requests_settled(requests);
}

void request_fail(struct request *request, enum result_code code,
		  int64_t retry_after_usec, const char *text)
{
	struct reply *reply;

	log_event(
		LOG_INFO, "request_failed", LOG_X("request", request->id),
		LOG_S("service", request->service.name), LOG_D("code", code),
		LOG_S("outcome", outcome_label(request_outcome(request, code))),
		LOG_D("attempts", request->attempts), LOG_S("text", text));
	request_measure(request, code);
	if (request->stream[0])
		cancel_stream(request->entry, request->grant.decode,
			      request->stream, NULL, NULL);
	plain_drop(request);
	request_release(request,
			request_outcome(request, code) == OUTCOME_NOT_RUN
				? RELEASE_NOT_RUN
				: RELEASE_FAILED);
	while ((reply = reply_take(request))) {
		answer_fail(reply, code, retry_after_usec, text);
		g_free(reply);
	}
	request_retire(request);
}

void request_complete(struct request *request)
{
	struct reply *reply;

	request->complete = true;
	request_measure(request, RESULT_OK);
	request_release(request, RELEASE_DONE);
	while ((reply = reply_take(request))) {
		answer_finish(reply);
		g_free(reply);
	}
	request_retire(request);
}

void request_record_gap(struct request *request, int64_t gap_usec)
{
	uint32_t target =
		request->service.targets[request->class].between_tokens_ms;
	uint32_t bucket = 0;

	for (int64_t top = GAP_BASE_USEC;
	     top < gap_usec && bucket + 1 < REQUEST_GAP_BUCKETS; top += top / 2)
		bucket++;
	request->gaps[bucket]++;
	if (target && gap_usec > target * USEC_PER_MSEC)
		request->late_gaps++;
}

/* Upper bound of the 95th percentile of the time between tokens. */
static int64_t gap_quantile(const struct request *request)
{
	uint64_t seen = 0;
	int64_t top = GAP_BASE_USEC;

	if (request->tokens < 2)
		return -1;
	for (uint32_t i = 0; i < REQUEST_GAP_BUCKETS; i++, top += top / 2) {
		seen += request->gaps[i];
		if (seen * 100 >= (request->tokens - 1) * UINT64_C(95))
			return top;
	}
	return top;
}

static bool within_targets(const struct request *request, int64_t total,
			   int64_t first)
{
	const struct config_targets *targets =
		&request->service.targets[request->class];
	uint32_t gaps = request->tokens ? request->tokens - 1 : 0;

	if (targets->complete_ms &&
	    total > targets->complete_ms * USEC_PER_MSEC)
		return false;
	if (request->service.kind == SERVICE_PLAIN)
		return true;
	if (targets->first_token_ms &&
	    first > targets->first_token_ms * USEC_PER_MSEC)
		return false;
	return request->late_gaps * UINT64_C(20) <= gaps;
}

void request_measure(struct request *request, enum result_code code)
{
	int64_t total = clock_now(request->entry->clock) - request->arrived;
	int64_t first = request->first_token_at < 0
				? -1
				: request->first_token_at - request->arrived;
	struct measure measure = {
		.service = request->service.name,
		.class = request->class,
		.code = code,
		.first_token_usec = first,
		.between_tokens_usec = gap_quantile(request),
		.total_usec = total,
		.output_tokens = request->tokens,
	};

	measure.within_targets =
		code == RESULT_OK && within_targets(request, total, first);
	measures_add(request->entry->measures, &measure);
}
