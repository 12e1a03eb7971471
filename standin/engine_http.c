#include "standin/engine_http.h"

#include <string.h>

#include "common/table.h"
#include "standin/answer.h"
#include "standin/engine_prefill.h"
#include "standin/engine_reader.h"
#include "standin/engine_report.h"
#include "standin/engine_stream.h"
#include "standin/reply.h"
#include "web/client.h"

#define BLOCKS_MAX 4096u

struct engine_http {
	struct engine_model *model;
	struct web_client *client;
	engine_pool_fn on_pool;
	void *pool_ctx;
};

/* A pending request: its prefill is not computed yet, or its answer is
 * delayed. */
struct waiter {
	struct engine_model *model;
	struct web_request *request;
	uint64_t prefill; /* HANDLE_NONE if it is not a prefill */
	json_t *answer;
	struct timer late_timer;
};

/* A pending request of another engine for a KV cache. */
struct fetcher {
	struct web_request *request;
	struct fetch *fetch;
};

static void waiter_gone(void *ctx)
{
	struct waiter *waiter = ctx;

	timer_stop(&waiter->late_timer);
	json_decref(waiter->answer);
	prefill_cancel(waiter->model, waiter->prefill);
	g_free(waiter);
}

static void waiter_answer(struct timer *timer, void *ctx)
{
	struct waiter *waiter = ctx;

	reply_json(waiter->request, 200, waiter->answer);
	g_free(waiter);
}

static struct waiter *waiter_create(struct engine_model *model,
				    struct web_request *request)
{
	struct waiter *waiter = g_new0(struct waiter, 1);

	waiter->model = model;
	waiter->request = request;
	timer_init(&waiter->late_timer, model->clock, waiter_answer, waiter);
	web_request_on_gone(request, waiter_gone, waiter);
	return waiter;
}

/* Answers at once, or after the delay set by the fault late_answer. */
static void waiter_finish(struct waiter *waiter, json_t *answer)
{
	struct engine_model *model = waiter->model;
	int64_t ms = fault_take(&model->faults, ENGINE_LATE_ANSWER);

	waiter->answer = answer;
	if (ms == 0)
		waiter_answer(&waiter->late_timer, waiter);
	else
		timer_start(&waiter->late_timer,
			    (int64_t)(ms * USEC_PER_MSEC /
				      model->params.time_scale));
}

static void prefill_computed(void *ctx, const struct prefill *prefill)
{
	struct waiter *waiter = ctx;
	struct engine_model *model = waiter->model;
	int64_t hold_ms = model->params.hold_usec / USEC_PER_MSEC;
	char name[ENGINE_NAME_SIZE];

	engine_name_write(model, 'p', prefill->handle, name);
	waiter_finish(waiter,
		      json_pack("{s:s, s:I, s:I, s:I}", "handle", name,
				"cached_tokens", (json_int_t)prefill->cached,
				"computed_tokens",
				(json_int_t)prefill->computed, "hold_ms",
				(json_int_t)hold_ms));
}

/* Reads an optional unsigned member. Returns false if it has another type or
 * is out of range. */
static bool number_read(const json_t *root, const char *key, uint32_t *number)
{
	const json_t *value = json_object_get(root, key);
	json_int_t n = json_integer_value(value);

	if (!value)
		return true;
	*number = (uint32_t)n;
	return json_is_integer(value) && n >= 0 && n <= UINT32_MAX;
}

static bool job_read(const json_t *root, struct engine_job *job)
{
	*job = (struct engine_job){0};
	return id_from_json(json_object_get(root, "request"), &job->request) &&
	       id_from_json(json_object_get(root, "owner"),
			    &job->owner.instance) &&
	       id_from_json(json_object_get(root, "incarnation"),
			    &job->owner.incarnation) &&
	       number_read(root, "attempt", &job->attempt) &&
	       number_read(root, "priority", &job->priority) &&
	       number_read(root, "prompt_tokens", &job->prompt_tokens) &&
	       number_read(root, "output_tokens_max", &job->output_max) &&
	       number_read(root, "output_from", &job->output_from);
}

/* Reads at most BLOCKS_MAX hashes. Returns their number, or -1 if one is
 * malformed. */
static int blocks_read(const json_t *array, uint64_t *blocks)
{
	size_t count = MIN(json_array_size(array), BLOCKS_MAX);

	for (size_t i = 0; i < count; i++)
		if (!id_from_json(json_array_get(array, i), &blocks[i]))
			return -1;
	return (int)count;
}

static void prefill_run(struct engine_http *http, struct web_request *request,
			const json_t *root)
{
	const json_t *prompt = json_object_get(root, "prompt");
	const char *text = json_string_value(prompt);
	size_t size = json_string_length(prompt);
	uint64_t blocks[BLOCKS_MAX];
	int count = blocks_read(json_object_get(root, "blocks"), blocks);
	enum engine_refusal refusal;
	struct engine_job job;
	struct engine_kv kv;
	struct waiter *waiter;
	struct prefill *prefill;

	if (!job_read(root, &job) || !text || count < 0) {
		reply_error(request, 400, "malformed prefill");
		return;
	}
	if (!json_object_get(root, "prompt_tokens"))
		job.prompt_tokens = answer_prompt_tokens(text, size);
	kv.prompt = id_hash(text, size);
	kv.length = answer_output_tokens(text, size, UINT32_MAX);
	waiter = waiter_create(http->model, request);
	prefill = prefill_start(http->model, &job, &kv, blocks, (uint32_t)count,
				prefill_computed, waiter, &refusal);
	if (prefill) {
		waiter->prefill = prefill->handle;
		return;
	}
	g_free(waiter);
	web_request_on_gone(request, NULL, NULL);
	reply_refused(request, engine_refusal_name(refusal));
}

static void handle_prefill(void *ctx, struct web_request *request)
{
	json_t *root = request_parse_json(request);

	if (root)
		prefill_run(ctx, request, root);
	json_decref(root);
}

static void handle_decode(void *ctx, struct web_request *request)
{
	struct engine_http *http = ctx;
	json_t *root = request_parse_json(request);
	const char *source = NULL;
	const char *name = NULL;
	struct engine_job job;

	if (!root)
		return;
	if (!job_read(root, &job) || json_unpack(root, "{s:s, s:s}", "source",
						 &source, "handle", &name) != 0)
		reply_error(request, 400, "malformed decode");
	else
		reader_decode(http->model, http->client, &job, source, name,
			      request);
	json_decref(root);
}

/* Answers a request that was carried out, unless a fault drops or delays the
 * answer. */
static void action_answer(struct engine_model *model,
			  struct web_request *request, json_t *answer,
			  bool may_delay)
{
	if (fault_take(&model->faults, ENGINE_LOSE_ANSWER)) {
		json_decref(answer);
		web_reply_abort(request);
	} else if (may_delay) {
		waiter_finish(waiter_create(model, request), answer);
	} else {
		reply_json(request, 200, answer);
	}
}

static void handle_streams(void *ctx, struct web_request *request)
{
	struct engine_model *model = ((struct engine_http *)ctx)->model;
	char name[ENGINE_NAME_SIZE];
	char text[16] = "0";
	struct stream *stream;
	uint32_t freed;
	uint64_t offset;

	if (!request_path_suffix(request, "/streams", name, sizeof(name))) {
		reply_json(request, 200, report_streams(model));
		return;
	}
	stream = stream_find(model, name);
	if (request_method_is(request, "DELETE")) {
		freed = stream ? stream_cancel(stream) : 0;
		action_answer(model, request,
			      json_pack("{s:I}", "freed", (json_int_t)freed),
			      true);
		return;
	}
	web_request_param(request, "offset", text, sizeof(text));
	offset = g_ascii_strtoull(text, NULL, 10);
	if (!stream || offset < stream->job.output_from || offset > UINT32_MAX)
		reply_error(request, 404, "no such stream or offset");
	else
		reader_resume(stream, (uint32_t)offset, request);
}

static void fetcher_gone(void *ctx)
{
	struct fetcher *fetcher = ctx;

	fetch_cancel(fetcher->fetch);
	g_free(fetcher);
}

static void fetcher_done(void *ctx, const struct engine_kv *kv)
{
	struct fetcher *fetcher = ctx;

	reply_json(fetcher->request, 200,
		   json_pack("{s:o, s:I, s:f}", "prompt",
			     json_from_id(kv->prompt), "length",
			     (json_int_t)kv->length, "bytes", kv->bytes));
	g_free(fetcher);
}

static void handle_fetch(struct engine_model *model,
			 struct web_request *request, const char *name)
{
	struct fetcher *fetcher = g_new0(struct fetcher, 1);

	fetcher->request = request;
	fetcher->fetch = fetch_start(model, name, fetcher_done, fetcher);
	if (fetcher->fetch) {
		web_request_on_gone(request, fetcher_gone, fetcher);
		return;
	}
	g_free(fetcher);
	reply_error(request, 404, "no such result");
}

static void handle_handles(void *ctx, struct web_request *request)
{
	struct engine_model *model = ((struct engine_http *)ctx)->model;
	char name[ENGINE_NAME_SIZE];
	bool dropped;

	if (!request_path_suffix(request, "/handles", name, sizeof(name))) {
		reply_error(request, 404, "no name");
		return;
	}
	if (!request_method_is(request, "DELETE")) {
		handle_fetch(model, request, name);
		return;
	}
	dropped = prefill_cancel(model, engine_name_read(model, 'p', name));
	reply_json(request, 200, json_pack("{s:b}", "dropped", dropped));
}

/* The body of POST /orders, which owns the strings. */
struct order {
	bool has_role;
	enum engine_role role;
	const char *loaded; /* NULL: unchanged */
	const char *pool;   /* NULL: unchanged */
	uint64_t fence;
};

static bool order_read(json_t *root, struct order *order)
{
	const char *kind = NULL;
	const char *role = NULL;
	json_int_t fence = 0;

	*order = (struct order){0};
	if (json_unpack(root, "{s:s, s?s, s?s, s?s, s?I}", "order", &kind,
			"role", &role, "pool", &order->pool, "model",
			&order->loaded, "fence", &fence) != 0)
		return false;
	order->fence = (uint64_t)fence;
	if (strcmp(kind, "load") == 0)
		return order->loaded != NULL;
	order->loaded = NULL;
	order->has_role = true;
	return strcmp(kind, "role") == 0 && role &&
	       engine_role_parse(role, &order->role);
}

static void order_answer(const struct engine_http *http,
			 struct web_request *request, const char *pool)
{
	if (pool && http->on_pool)
		http->on_pool(http->pool_ctx, pool);
	action_answer(http->model, request, json_object(), false);
}

static void handle_orders(void *ctx, struct web_request *request)
{
	const struct engine_http *http = ctx;
	struct engine_model *model = http->model;
	json_t *root = request_parse_json(request);
	struct order order;

	if (!root)
		return;
	if (!order_read(root, &order))
		reply_error(request, 400, "malformed order");
	else if (!engine_order(model, order.has_role ? &order.role : NULL,
			       order.loaded, order.fence))
		reply_error(request, 409, "a higher fence was seen");
	else
		order_answer(http, request, order.has_role ? order.pool : NULL);
	json_decref(root);
}

static void handle_load(void *ctx, struct web_request *request)
{
	struct engine_http *http = ctx;

	reply_json(request, 200, report_load(http->model));
}

static void handle_events(void *ctx, struct web_request *request)
{
	struct engine_http *http = ctx;
	char text[24] = "0";

	web_request_param(request, "from", text, sizeof(text));
	reply_json(
		request, 200,
		report_events(http->model, g_ascii_strtoull(text, NULL, 10)));
}

static void handle_ledger(void *ctx, struct web_request *request)
{
	struct engine_http *http = ctx;

	reply_json(request, 200, report_ledger(http->model));
}

static void handle_faults(void *ctx, struct web_request *request)
{
	struct engine_http *http = ctx;

	reply_fault_set(request, &http->model->faults);
}

struct engine_http *engine_http_create(struct engine_model *model,
				       struct web_server *server,
				       struct web_client *client)
{
	static const struct {
		const char *prefix;
		web_handler_fn fn;
	} handlers[] = {
		{"/prefill", handle_prefill}, {"/decode", handle_decode},
		{"/streams", handle_streams}, {"/handles", handle_handles},
		{"/orders", handle_orders},   {"/load", handle_load},
		{"/events", handle_events},   {"/ledger", handle_ledger},
		{"/faults", handle_faults},
	};
	struct engine_http *http = g_new0(struct engine_http, 1);

	http->model = model;
	http->client = client;
	for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++)
		web_server_handle(server, handlers[i].prefix, handlers[i].fn,
				  http);
	return http;
}

void engine_http_on_pool(struct engine_http *http, engine_pool_fn fn, void *ctx)
{
	http->on_pool = fn;
	http->pool_ctx = ctx;
}

void engine_http_destroy(struct engine_http *http)
{
	g_free(http);
}
