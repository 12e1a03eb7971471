/* The table of requests, and the callbacks of other modules. */
#include "entry/requests.h"

#include <string.h>

#include "common/hex.h"
#include "common/log.h"
#include "coord/limit.h"
#include "coord/retry.h"
#include "entry/plain.h"
#include "entry/request.h"

#define RETRY_TOKENS_MAX 100.0
#define RELEASE_RETRY_USEC (100 * USEC_PER_MSEC)

static struct counter *counter(struct entry *entry, const char *name,
			       const char *help)
{
	return counter_get(entry->counters, name, help, NULL);
}

/*
 * Releases the grants of model requests that were failed after a stall, once
 * membership confirms that no instance declared this one dead. If one did, the
 * home has ended the grants, and a retry may be running under them.
 */
static void unreleased_fire(struct timer *timer, void *ctx)
{
	struct requests *requests = ctx;

	if (!membership_certain(requests->entry->membership)) {
		timer_start(timer, RELEASE_RETRY_USEC);
		return;
	}
	for (guint i = 0; i < requests->unreleased->len; i++)
		ledger_release(requests->entry->ledger,
			       g_array_index(requests->unreleased, uint64_t, i),
			       RELEASE_FAILED);
	g_array_set_size(requests->unreleased, 0);
}

struct requests *requests_create(struct entry *entry)
{
	const struct limit_settings limits = {
		.policy = LIMIT_EQUAL,
		.now = clock_now(entry->clock),
	};
	struct requests *requests = g_new0(struct requests, 1);

	requests->entry = entry;
	requests->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	requests->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	requests->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&requests->kept);
	requests->unreleased = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	timer_init(&requests->release_timer, entry->clock, unreleased_fire,
		   requests);
	requests->plain = plain_create(entry);
	requests->limits = limits_create(&limits);
	requests->late_pieces =
		counter(entry, "jt_late_pieces_total",
			"Pieces of answers dropped: out of turn or too late");
	requests->resumes = counter(entry, "jt_resumes_total",
				    "Streams taken up again at their offset");
	requests->repeats =
		counter(entry, "jt_replays_total",
			"Repeated keys answered from a kept answer");
	requests->joins =
		counter(entry, "jt_joins_total",
			"Repeated keys attached to a running request");
	requests->forwards = counter(entry, "jt_forwards_total",
				     "Requests sent to another data centre");
	requests->cancels = counter(entry, "jt_cancels_total",
				    "Requests ended because no caller waits");
	return requests;
}

void requests_destroy(struct requests *requests)
{
	GHashTableIter iter;
	gpointer request;

	for (;;) {
		g_hash_table_iter_init(&iter, requests->by_id);
		if (!g_hash_table_iter_next(&iter, NULL, &request))
			break;
		request_discard(request);
	}
	timer_stop(&requests->release_timer);
	g_array_free(requests->unreleased, TRUE);
	plain_destroy(requests->plain);
	limits_destroy(requests->limits);
	g_hash_table_unref(requests->by_id);
	g_hash_table_unref(requests->by_key);
	g_hash_table_unref(requests->budgets);
	g_free(requests);
}

void requests_serve(struct requests *requests)
{
	struct web_server *server = requests->entry->server;

	web_server_handle(server, "/v1/completions", handler_completions,
			  requests);
	web_server_handle(server, "/v1/chat/completions", handler_chat,
			  requests);
	web_server_handle(server, "/v1/models", handler_models, requests);
	web_server_handle(server, "/v1/answers", handler_answers, requests);
	web_server_handle(server, "/", handler_plain, requests);
}

void requests_configured(struct requests *requests)
{
	plain_dispatch(requests->plain);
}

uint32_t requests_count(const struct requests *requests)
{
	return requests->active;
}

void requests_settled(struct requests *requests)
{
	if (requests->entry->draining && !requests->active)
		entry_drained(requests->entry);
}

static struct retry_budget *budget_get(struct requests *requests,
				       const struct config_service *service)
{
	struct retry_budget *budget =
		g_hash_table_lookup(requests->budgets, service->name);

	if (budget)
		return budget;
	budget = g_new0(struct retry_budget, 1);
	retry_budget_init(budget, service->retry_percent, RETRY_TOKENS_MAX);
	g_hash_table_insert(requests->budgets, g_strdup(service->name), budget);
	return budget;
}

void requests_count_request(struct request *request)
{
	retry_budget_request(
		budget_get(request->entry->requests, &request->service));
}

bool requests_may_retry(struct request *request)
{
	return retry_budget_take(
		budget_get(request->entry->requests, &request->service));
}

void requests_granted(struct requests *requests,
		      const struct ledger_grant *grant)
{
	struct request *request = request_find(requests, grant->request);

	if (!request || request->state != REQUEST_SUBMITTED) {
		log_event(LOG_NOTICE, "grant_unwanted",
			  LOG_X("request", grant->request));
		ledger_release(requests->entry->ledger, grant->request,
			       RELEASE_NOT_RUN);
		return;
	}
	request->grant = *grant;
	request->granted = true;
	if (request->adopted) {
		request->adopted = false;
		if (!grant->prefill) {
			model_resume(request, request->stream);
			return;
		}
		request->stream[0] = '\0';
	}
	request_granted(request);
}

void requests_refused(struct requests *requests,
		      const struct ledger_refusal *refusal)
{
	struct request *request = request_find(requests, refusal->request);

	if (!request || request->state != REQUEST_SUBMITTED)
		return;
	request->granted = false;
	if (refusal->code == RESULT_QUEUE_FULL && request_spill(request, true))
		return;
	request_fail(request, refusal->code, refusal->retry_after,
		     refusal->code == RESULT_KEY_REUSED
			     ? "the key was used before with another request"
			     : "refused by the policy in force");
}

void requests_duplicate(struct requests *requests,
			const struct ledger_duplicate *duplicate)
{
	struct request *request = request_find(requests, duplicate->request);

	if (!request || request->state != REQUEST_SUBMITTED)
		return;
	request_duplicate(request, duplicate);
}

void requests_revoked(struct requests *requests, uint64_t request_id,
		      uint32_t attempt)
{
	struct request *request = request_find(requests, request_id);

	if (!request || !request->granted || request->grant.attempt != attempt)
		return;
	request->granted = false;
	if (request->service.kind == SERVICE_PLAIN ||
	    request->state == REQUEST_CANCELLING)
		return;
	log_event(LOG_WARNING, "grant_revoked", LOG_X("request", request->id),
		  LOG_D("tokens", request->tokens));
	model_revoked(request);
}

void requests_claimed(struct requests *requests, uint64_t request_id,
		      enum result_code code, const struct owner *winner)
{
	struct request *request = request_find(requests, request_id);

	if (request)
		request_claimed(request, code, winner);
}

void requests_refuted(struct requests *requests)
{
	requests_paused(requests);
	timer_stop(&requests->release_timer);
	g_array_set_size(requests->unreleased, 0);
}

/*
 * Fails model requests before any stale output reaches their callers: a retry
 * may be running elsewhere.
 */
void requests_paused(struct requests *requests)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *revoked = g_ptr_array_new();

	g_hash_table_iter_init(&iter, requests->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct request *request = value;

		if (request->service.kind == SERVICE_MODEL &&
		    request->granted && request->state != REQUEST_CANCELLING)
			g_ptr_array_add(revoked, request);
	}
	for (unsigned int i = 0; i < revoked->len; i++) {
		struct request *request = revoked->pdata[i];

		g_array_append_val(requests->unreleased, request->id);
		request->granted = false;
		model_revoked(request);
	}
	g_ptr_array_unref(revoked);
	if (requests->unreleased->len)
		timer_start(&requests->release_timer, RELEASE_RETRY_USEC);
}

static const char *const state_names[] = {
	[REQUEST_SUBMITTED] = "asking", [REQUEST_CLAIMING] = "claiming",
	[REQUEST_PREFILL] = "prefill",	[REQUEST_TRANSFER] = "transfer",
	[REQUEST_DECODE] = "decode",	[REQUEST_RESUMING] = "resuming",
	[REQUEST_CALLING] = "calling",	[REQUEST_PAUSED] = "paused",
	[REQUEST_JOINING] = "joining",	[REQUEST_CANCELLING] = "cancelling",
	[REQUEST_KEPT] = "kept",
};

void requests_print(const struct requests *requests, GString *out)
{
	int64_t now = clock_now(requests->entry->clock);
	GHashTableIter iter;
	gpointer value;
	const char *comma = "";
	char id[HEX_ID_SIZE];

	g_string_append_c(out, '[');
	g_hash_table_iter_init(&iter, requests->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct request *request = value;

		if (request->state == REQUEST_KEPT)
			continue;
		g_string_append_printf(
			out,
			"%s{\"request\":\"%s\",\"service\":\"%s\","
			"\"class\":\"%s\",\"state\":\"%s\",\"age_ms\":%lld,"
			"\"attempts\":%u,\"tokens\":%u}",
			comma, hex_id(id, request->id), request->service.name,
			class_label(request->class),
			state_names[request->state],
			(long long)((now - request->arrived) / USEC_PER_MSEC),
			request->attempts, request->tokens);
		comma = ",";
	}
	g_string_append_c(out, ']');
}
