#include "fakes.h"

#include <stdio.h>
#include <string.h>

#include "coord/ledger_level.h"
#include "entry/directory.h"
#include "entry/measures.h"
#include "entry/request.h"

struct fakes fakes;

static const struct config_pool pools[] = {
	{.name = "p",
	 .role = POOL_PREFILL,
	 .kv_bytes_per_token = 1000,
	 .link_bytes_per_s = 1000000},
	{.name = "d", .role = POOL_DECODE, .link_bytes_per_s = 1000000},
	{.name = "s", .role = POOL_PLAIN},
};

static const struct config_service services[] = {
	{.name = "model",
	 .kind = SERVICE_MODEL,
	 .model = "m",
	 .prefill_pool = "p",
	 .decode_pool = "d",
	 .class = CLASS_URGENT,
	 .idempotent = true,
	 .prompt_tokens_max = 1000,
	 .output_tokens_max = 100,
	 .retry_percent = 100,
	 .record_ms = 60000},
	{.name = "plain",
	 .kind = SERVICE_PLAIN,
	 .path_prefix = "/s",
	 .pool = "s",
	 .class = CLASS_URGENT,
	 .idempotent = true,
	 .body_bytes_max = 1000,
	 .concurrency = 1,
	 .queue_max = 1,
	 .deadline_ms = 2000,
	 .retry_percent = 100,
	 .record_ms = 60000},
};

static const struct member self = {.id = 1,
				   .incarnation = 1,
				   .name = "self",
				   .data_centre = "a",
				   .http_address = "self"};
static const struct member peer = {.id = 2,
				   .incarnation = 1,
				   .name = "peer",
				   .data_centre = "a",
				   .http_address = "peer"};

void fakes_note(const char *fmt, ...)
{
	va_list args;

	if (fakes.events->len)
		g_string_append_c(fakes.events, ' ');
	va_start(args, fmt);
	g_string_append_vprintf(fakes.events, fmt, args);
	va_end(args);
}

void fakes_setup(void)
{
	memset(&fakes, 0, sizeof(fakes));
	fakes.events = g_string_new(NULL);
	fakes.config.pools = pools;
	fakes.config.pool_count = G_N_ELEMENTS(pools);
	fakes.config.services = services;
	fakes.config.service_count = G_N_ELEMENTS(services);
	fakes.peer_alive = true;
	fakes.entry.clock = clock_create(0);
	fakes.entry.rand = g_rand_new_with_seed(1);
	fakes.entry.counters = counter_set_create();
	fakes.entry.config = &fakes.config;
	fakes.entry.settings.data_centre = "a";
	fakes.entry.settings.requests_max = 100;
	fakes.entry.settings.replay_bytes_max = 1u << 20;
	fakes.entry.requests = requests_create(&fakes.entry);
}

void fakes_level(enum cell_level level)
{
	static const struct config_data_centre data_centres[] = {{.name = "a"},
								 {.name = "b"}};

	fakes.level = level;
	fakes.config.data_centres = data_centres;
	fakes.config.data_centre_count = G_N_ELEMENTS(data_centres);
}

void fakes_teardown(void)
{
	requests_destroy(fakes.entry.requests);
	counter_set_destroy(fakes.entry.counters);
	g_rand_free(fakes.entry.rand);
	clock_destroy(fakes.entry.clock);
	g_string_free(fakes.events, TRUE);
}

void entry_drained(struct entry *entry)
{
	fakes_note("drained");
}

/* Callers. */
struct web_text web_request_method(const struct web_request *web)
{
	return (struct web_text){web->method, strlen(web->method)};
}

struct web_text web_request_path(const struct web_request *web)
{
	return (struct web_text){web->path, strlen(web->path)};
}

struct web_text web_request_query(const struct web_request *web)
{
	return (struct web_text){"", 0};
}

struct web_text web_request_authority(const struct web_request *web)
{
	return (struct web_text){"host", 4};
}

struct web_text web_request_body(const struct web_request *web)
{
	return (struct web_text){web->body, strlen(web->body)};
}

struct web_text web_request_header(const struct web_request *web,
				   const char *name)
{
	for (size_t i = 0; i < web->header_count; i++)
		if (strcmp(web->headers[i].name.data, name) == 0)
			return web->headers[i].value;
	return (struct web_text){NULL, 0};
}

size_t web_request_headers(const struct web_request *web,
			   const struct web_header **headers)
{
	*headers = web->headers;
	return web->header_count;
}

bool web_request_param(const struct web_request *web, const char *name,
		       char *value, size_t size)
{
	return false;
}

void web_request_on_gone(struct web_request *web, web_gone_fn fn, void *ctx)
{
	web->gone = fn;
	web->gone_ctx = ctx;
}

void web_reply_header(struct web_request *web, const char *name,
		      const char *value)
{
	if (strcmp(name, "jt-outcome") == 0 || strcmp(name, "jt-result") == 0)
		fakes_note("%s=%s", name + 3, value);
}

void web_reply(struct web_request *web, int status, const char *type,
	       const void *body, size_t size)
{
	web->ended++;
	fakes_note("reply:%d", status);
}

void web_reply_start(struct web_request *web, int status, const char *type)
{
	fakes_note("start:%d", status);
}

void web_reply_piece(struct web_request *web, const void *data, size_t size)
{
	const char *text = data;

	if (g_strstr_len(text, (gssize)size, "[DONE]"))
		fakes_note("done-event");
	else if (g_strstr_len(text, (gssize)size, "\"error\""))
		fakes_note("error-event");
	else
		fakes_note("piece");
}

size_t web_reply_queued(const struct web_request *web)
{
	return 0;
}

void web_reply_end(struct web_request *web)
{
	web->ended++;
	fakes_note("end");
}

void web_reply_abort(struct web_request *web)
{
	web->ended++;
	fakes_note("abort");
}

void web_server_handle(struct web_server *server, const char *prefix,
		       web_handler_fn fn, void *ctx)
{
}

/* Servers and other instances. */
struct web_call *web_call(struct web_client *client,
			  const struct web_call_spec *spec,
			  const struct web_call_ops *ops, void *ctx)
{
	fakes_note("%s%s:%s", strcmp(spec->address, "peer") ? "call" : "join",
		   spec->fresh ? "-fresh" : "", spec->method);
	fakes.call_ops = ops;
	fakes.call_ctx = ctx;
	return (struct web_call *)&fakes;
}

void web_call_cancel(struct web_call *call)
{
	fakes_note("call-cancel");
	fakes.call_ops = NULL;
}

/* Engines. */
static struct engine_call *engine_begin(const char *what,
					const struct engine_ops *ops, void *ctx)
{
	fakes_note("%s", what);
	g_assert_null(fakes.engine_ops);
	fakes.engine_ops = ops;
	fakes.engine_ctx = ctx;
	return (struct engine_call *)&fakes;
}

struct engine_call *engine_prefill(struct entry *entry, const char *address,
				   const struct engine_work *work,
				   const struct engine_ops *ops, void *ctx)
{
	return engine_begin("prefill", ops, ctx);
}

struct engine_call *engine_decode(struct entry *entry, const char *address,
				  const struct engine_work *work,
				  const char *source, const char *handle,
				  const struct engine_ops *ops, void *ctx)
{
	char what[32];

	snprintf(what, sizeof(what), "decode@%u", work->output_from);
	return engine_begin(what, ops, ctx);
}

struct engine_call *engine_resume(struct entry *entry, const char *address,
				  const char *stream, uint32_t offset,
				  const struct engine_ops *ops, void *ctx)
{
	char what[32];

	snprintf(what, sizeof(what), "resume@%u", offset);
	return engine_begin(what, ops, ctx);
}

void engine_drop(struct engine_call *call)
{
	if (!call)
		return;
	fakes_note("drop");
	fakes.engine_ops = NULL;
}

void engine_cancel(struct entry *entry, const char *address, const char *stream,
		   engine_cancel_fn fn, void *ctx)
{
	fakes_note("cancel:%s", stream);
	fakes.cancel_fn = fn;
	fakes.cancel_ctx = ctx;
}

void engine_forget(struct entry *entry, const char *address, const char *handle)
{
	fakes_note("forget:%s", handle);
}

/* Ledger and claims. */
void ledger_submit(struct ledger *ledger, const struct ledger_request *request)
{
	fakes_note(request->no_redirect ? "ask-here" : "ask");
	fakes.submitted = request->request;
	fakes.attempt = 0;
}

enum cell_level ledger_level(const struct ledger *ledger, const char *service,
			     uint32_t *share)
{
	*share = (uint32_t)fakes.level * CELL_LOAD_SHARE_ALL / 2;
	return fakes.level;
}

void ledger_adopt(struct ledger *ledger, uint64_t request)
{
	fakes_note("adopt");
}

void ledger_withdraw(struct ledger *ledger, uint64_t request)
{
	fakes_note("withdraw");
	fakes.grants = 0;
}

void ledger_progress(struct ledger *ledger, uint64_t request,
		     enum ledger_stage stage, const char *stream)
{
}

void ledger_release(struct ledger *ledger, uint64_t request,
		    enum release_reason reason)
{
	static const char *const names[] = {"done", "cancelled", "not-run",
					    "failed"};

	fakes_note("release:%s", names[reason]);
	g_assert_cmpuint(fakes.grants, >, 0);
	fakes.grants--;
}

void ledger_retry(struct ledger *ledger, uint64_t request, enum result_code why,
		  uint32_t tokens_so_far)
{
	fakes_note("again:%s@%u", result_label(why), tokens_so_far);
	g_assert_cmpuint(fakes.grants, >, 0);
	fakes.grants--;
	fakes.streams = 0; /* the home ends the previous attempt's stream */
	fakes.attempt++;
}

void claims_submit(struct claims *claims, uint64_t request, uint64_t key,
		   int64_t timeout_us)
{
	fakes_note("claim");
	fakes.submitted = request;
}

/* Membership and directory: two instances, one server, a runner per role. */
const struct member *membership_self(const struct membership *membership)
{
	return &self;
}

const struct member *membership_find(const struct membership *membership,
				     uint64_t id)
{
	if (id == self.id)
		return &self;
	return id == peer.id && fakes.peer_alive ? &peer : NULL;
}

const struct member *membership_next(const struct membership *membership,
				     uint32_t *cursor)
{
	return (*cursor)++ ? NULL : &self;
}

bool membership_certain(const struct membership *membership)
{
	return true;
}

uint64_t membership_home(const struct membership *membership,
			 const char *data_centre, uint64_t key, uint32_t rank)
{
	return rank < 2 ? peer.id : 0;
}

const void *membership_fact_find(const struct membership *membership,
				 uint64_t key, size_t *size)
{
	return NULL;
}

void membership_fact_set(struct membership *membership, uint64_t key,
			 uint64_t version, const void *value, size_t size)
{
}

static const struct backend backends[] = {
	{.id = 10,
	 .name = "p1",
	 .pool = "p",
	 .data_centre = "a",
	 .address = "p1",
	 .listed = true},
	{.id = 11,
	 .name = "d1",
	 .pool = "d",
	 .data_centre = "a",
	 .address = "d1",
	 .listed = true},
	{.id = 12,
	 .name = "s1",
	 .pool = "s",
	 .data_centre = "a",
	 .address = "s1",
	 .listed = true},
};

const struct backend *directory_find(const struct directory *directory,
				     uint64_t id)
{
	for (size_t i = 0; i < G_N_ELEMENTS(backends); i++)
		if (backends[i].id == id)
			return &backends[i];
	return NULL;
}

const struct backend *directory_next(const struct directory *directory,
				     uint32_t *cursor)
{
	return *cursor < G_N_ELEMENTS(backends) ? &backends[(*cursor)++] : NULL;
}

bool directory_is_loaded(const struct directory *directory)
{
	return true;
}

void directory_mark_leaving(struct directory *directory, uint64_t id)
{
	fakes_note("leaving");
}

void measures_add(struct measures *measures, const struct measure *measure)
{
	fakes.measured++;
}

void measures_prefill(struct measures *measures, uint32_t computed,
		      uint32_t cached)
{
}

void measures_wasted(struct measures *measures, uint32_t tokens)
{
	fakes_note("wasted:%u", tokens);
}
