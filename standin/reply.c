#include "standin/reply.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "standin/fault.h"

void reply_json(struct web_request *request, int status, json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);

	json_decref(object);
	web_reply(request, status, "application/json", text, strlen(text));
	free(text);
}

void reply_error(struct web_request *request, int status, const char *text)
{
	reply_json(request, status, json_pack("{s:s}", "error", text));
}

void reply_refused(struct web_request *request, const char *reason)
{
	reply_json(request, 503,
		   json_pack("{s:s, s:s}", "error", "refused, nothing was run",
			     "refused", reason));
}

json_t *request_parse_json(struct web_request *request)
{
	struct web_text body = web_request_body(request);
	json_error_t detail;
	json_t *root = json_loadb(body.data, body.size, 0, &detail);

	if (json_is_object(root))
		return root;
	json_decref(root);
	reply_error(request, 400, "the body is not a JSON object");
	return NULL;
}

bool request_method_is(const struct web_request *request, const char *method)
{
	return web_text_is(web_request_method(request), method);
}

bool request_path_suffix(const struct web_request *request, const char *prefix,
			 char *suffix, size_t size)
{
	struct web_text path = web_request_path(request);
	size_t skip = strlen(prefix) + 1;

	if (path.size <= skip || path.size - skip >= size)
		return false;
	memcpy(suffix, path.data + skip, path.size - skip);
	suffix[path.size - skip] = '\0';
	return true;
}

void reply_fault_set(struct web_request *request, struct fault_set *faults)
{
	struct web_text body = web_request_body(request);
	struct error err;

	if (!request_method_is(request, "POST"))
		reply_error(request, 405, "POST only");
	else if (!fault_parse(faults, body.data, body.size, &err))
		reply_error(request, 400, err.text);
	else
		reply_json(request, 200, json_object());
}

json_t *json_from_id(uint64_t id)
{
	char text[17];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", id);
	return json_string(text);
}

bool id_from_json(const json_t *value, uint64_t *id)
{
	const char *text = json_string_value(value);

	if (!text || strlen(text) != 16 ||
	    strspn(text, "0123456789abcdef") != 16)
		return false;
	*id = g_ascii_strtoull(text, NULL, 16);
	return true;
}
