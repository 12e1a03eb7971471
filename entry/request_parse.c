/* Parsing of callers' headers, and of the body of a model request. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "common/id.h"
#include "entry/prompt.h"
#include "entry/request.h"

#define HEADER_VALUE_MAX 256u
#define OUTPUT_TOKENS_DEFAULT 256u
#define DEADLINE_MS_MAX (24u * 3600u * 1000u)

static bool header_number(struct web_text text, uint32_t max, uint32_t *value)
{
	char copy[16];
	char *end;
	unsigned long number;

	if (!text.size || text.size >= sizeof(copy))
		return false;
	memcpy(copy, text.data, text.size);
	copy[text.size] = '\0';
	if (copy[0] < '0' || copy[0] > '9')
		return false;
	number = strtoul(copy, &end, 10);
	if (*end || number > max)
		return false;
	*value = (uint32_t)number;
	return true;
}

static bool parse_class(struct request *request, struct web_request *web,
			struct error *err)
{
	struct web_text text = web_request_header(web, "jt-class");

	request->class = request->service.class;
	if (!text.data)
		return true;
	if (class_parse(text.data, text.size, &request->class))
		return true;
	return error_set(err, RESULT_BAD_REQUEST,
			 "header jt-class: expected urgent or deferrable");
}

static bool parse_deadline(struct request *request, struct web_request *web,
			   struct error *err)
{
	struct web_text text = web_request_header(web, "jt-deadline-ms");
	uint32_t ms = request->service.deadline_ms;

	if (text.data && !header_number(text, DEADLINE_MS_MAX, &ms))
		return error_set(err, RESULT_BAD_REQUEST,
				 "header jt-deadline-ms: expected 0 to %u",
				 DEADLINE_MS_MAX);
	if (ms)
		request->deadline = request->arrived + ms * USEC_PER_MSEC;
	return true;
}

static bool parse_idempotent(struct request *request, struct web_request *web,
			     struct error *err)
{
	struct web_text text = web_request_header(web, "jt-idempotent");

	request->idempotent = request->service.idempotent;
	if (!text.data)
		return true;
	request->idempotent = web_text_is(text, "true");
	if (request->idempotent || web_text_is(text, "false"))
		return true;
	return error_set(err, RESULT_BAD_REQUEST,
			 "header jt-idempotent: expected true or false");
}

/* The key is scoped by organisation and service. */
static bool parse_key(struct request *request, struct web_request *web,
		      struct error *err)
{
	struct web_text organisation =
		web_request_header(web, "jt-organisation");
	struct web_text key = web_request_header(web, "idempotency-key");
	uint64_t scope;

	if (organisation.size > HEADER_VALUE_MAX)
		return error_set(err, RESULT_BAD_REQUEST,
				 "header jt-organisation: over %u bytes",
				 HEADER_VALUE_MAX);
	request->organisation = id_hash(organisation.data, organisation.size);
	if (!key.data)
		return true;
	if (!key.size || key.size > HEADER_VALUE_MAX)
		return error_set(err, RESULT_BAD_REQUEST,
				 "header idempotency-key: expected 1 to %u "
				 "bytes",
				 HEADER_VALUE_MAX);
	scope = id_mix(request->organisation, id_of(request->service.name));
	request->key = id_mix(scope, id_hash(key.data, key.size));
	request->key += !request->key;
	return true;
}

static void fingerprint_compute(struct request *request,
				struct web_request *web)
{
	struct web_text parts[] = {
		web_request_method(web),
		web_request_path(web),
		web_request_query(web),
		web_request_body(web),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++)
		request->fingerprint =
			id_mix(request->fingerprint,
			       id_hash(parts[i].data, parts[i].size));
}

bool request_parse_headers(struct request *request, struct web_request *web,
			   struct error *err)
{
	fingerprint_compute(request, web);
	request->forwarded = web_request_header(web, "jt-forwarded").data;
	return parse_class(request, web, err) &&
	       parse_deadline(request, web, err) &&
	       parse_idempotent(request, web, err) &&
	       parse_key(request, web, err);
}

static bool parse_messages(struct request *request, const json_t *body,
			   struct error *err)
{
	const json_t *messages = json_object_get(body, "messages");
	size_t i;
	json_t *message;

	if (!json_is_array(messages) || !json_array_size(messages))
		return error_set(err, RESULT_BAD_REQUEST,
				 "field messages: expected a list of messages");
	json_array_foreach (messages, i, message) {
		const json_t *content = json_object_get(message, "content");

		if (!json_is_string(content))
			return error_set(err, RESULT_BAD_REQUEST,
					 "field messages[%zu].content: "
					 "expected a string",
					 i);
		if (i)
			g_string_append_c(request->prompt, '\n');
		g_string_append_len(request->prompt, json_string_value(content),
				    (gssize)json_string_length(content));
	}
	return true;
}

static bool parse_prompt(struct request *request, const json_t *body,
			 struct error *err)
{
	const json_t *prompt = json_object_get(body, "prompt");

	if (json_is_array(prompt) && json_array_size(prompt) == 1)
		prompt = json_array_get(prompt, 0);
	if (!json_is_string(prompt))
		return error_set(err, RESULT_BAD_REQUEST,
				 "field prompt: expected one string");
	g_string_append_len(request->prompt, json_string_value(prompt),
			    (gssize)json_string_length(prompt));
	return true;
}

static bool parse_max_tokens(struct request *request, const json_t *body,
			     struct error *err)
{
	uint32_t limit = request->service.output_tokens_max;
	const json_t *max = json_object_get(body, "max_tokens");
	json_int_t number = json_integer_value(max);

	request->output_tokens_max = MIN(limit, OUTPUT_TOKENS_DEFAULT);
	if (!max)
		return true;
	if (!json_is_integer(max) || number < 1 || number > limit)
		return error_set(err, RESULT_BAD_REQUEST,
				 "field max_tokens: expected 1 to %u", limit);
	request->output_tokens_max = (uint32_t)number;
	return true;
}

static bool parse_stream(const json_t *body, bool *stream, struct error *err)
{
	const json_t *flag = json_object_get(body, "stream");

	*stream = json_is_true(flag);
	if (!flag || json_is_boolean(flag))
		return true;
	return error_set(err, RESULT_BAD_REQUEST,
			 "field stream: expected true or false");
}

static bool prompt_size_check(struct request *request, struct error *err)
{
	request->prompt_tokens =
		prompt_tokens(request->prompt->str, request->prompt->len);
	if (request->prompt_tokens <= request->service.prompt_tokens_max)
		return true;
	return error_set(err, RESULT_TOO_LARGE,
			 "the prompt has %u tokens, the limit is %u",
			 request->prompt_tokens,
			 request->service.prompt_tokens_max);
}

static bool parse_model(struct request *request, const json_t *body,
			struct error *err)
{
	const json_t *name = json_object_get(body, "model");
	const struct config_service *service;

	if (!json_is_string(name))
		return error_set(err, RESULT_BAD_REQUEST,
				 "field model: expected a name");
	g_strlcpy(request->model, json_string_value(name),
		  sizeof(request->model));
	service = config_model(request->entry->config, request->model);
	if (!service)
		return error_set(err, RESULT_UNKNOWN_MODEL,
				 "no service offers the model \"%s\"",
				 request->model);
	request_set_service(request, service);
	return true;
}

bool request_parse_model(struct request *request, struct web_request *web,
			 bool chat, bool *stream, struct error *err)
{
	struct web_text text = web_request_body(web);
	json_error_t where;
	json_t *body =
		json_loadb(text.data ? text.data : "", text.size, 0, &where);
	bool ok;

	if (!json_is_object(body)) {
		json_decref(body);
		return error_set(err, RESULT_BAD_REQUEST,
				 "the body is no JSON object: line %d, "
				 "column %d: %s",
				 where.line, where.column, where.text);
	}
	request->chat = chat;
	ok = parse_model(request, body, err) &&
	     request_parse_headers(request, web, err) &&
	     (chat ? parse_messages(request, body, err)
		   : parse_prompt(request, body, err)) &&
	     parse_max_tokens(request, body, err) &&
	     parse_stream(body, stream, err) && prompt_size_check(request, err);
	json_decref(body);
	if (ok)
		request->block_count = prompt_blocks(
			request->prompt->str, request->prompt->len,
			request->blocks, PREFIX_BLOCKS_MAX);
	return ok;
}
