#include <string.h>

#include "session.h"

/* Parts of the output that differ from run to run. */
static const struct {
	const char *pattern;
	const char *replacement;
} rules[] = {
	{"127\\.0\\.0\\.[12]:\\d+", "<address>"},
	{"\\b(cmpl|chatcmpl)-[0-9a-f]{16}\\b", "\\1-<id>"},
	{"\\b[0-9a-f]{16}\\b", "<id>"},
	{"\"created\": ?\\d+", "\"created\":<time>"},
	{"\"revision\": ?\\d+", "\"revision\":<revision>"},
	{"based on \\d+, in force is \\d+",
	 "based on <revision>, in force is <revision>"},
	{"time=[0-9.]+", "time=<time>"},
	{"\\b\\d{4}-\\d\\d-\\d\\dT[0-9:.]+Z", "<time>"},
	{"(retry-after: )\\d+", "\\1<seconds>"},
	{"took_us=\\d+", "took_us=<usec>"},
	{"after \\d+ ms, last server i-[a-z]\\d",
	 "after <ms> ms, last server <server>"},
};

static char *variables_replace(struct session *session, char *text)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, session->variables);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		char **parts;
		char *replacement;

		/* Only addresses and paths are replaced: a plain number or word
		 * may occur in the text by chance. */
		if (strpbrk(value, ":/") == NULL ||
		    strpbrk(value, " ,") != NULL)
			continue;
		parts = g_strsplit(text, value, -1);
		replacement = g_strdup_printf("<%s>", (char *)name);
		g_free(text);
		text = g_strjoinv(replacement, parts);
		g_strfreev(parts);
		g_free(replacement);
	}
	return text;
}

char *text_normalise(struct session *session, const char *text)
{
	char *out = variables_replace(session, g_strdup(text));

	for (size_t i = 0; i < G_N_ELEMENTS(rules); i++) {
		GRegex *regex = g_regex_new(rules[i].pattern, 0, 0, NULL);
		char *next = g_regex_replace(regex, out, -1, 0,
					     rules[i].replacement, 0, NULL);

		g_regex_unref(regex);
		g_free(out);
		out = next;
	}
	return out;
}

static int64_t members_sum(const json_t *json, const char *rest)
{
	int64_t sum = 0;
	size_t at;
	const char *key;
	json_t *value;

	json_array_foreach (json, at, value)
		sum += query_number(value, rest);
	if (json_is_object(json))
		json_object_foreach ((json_t *)json, key, value)
			sum += query_number(value, rest);
	return sum;
}

int64_t query_number(const json_t *json, const char *path)
{
	size_t length = strcspn(path, "/");
	const char *rest = path[length] ? path + length + 1 : "";
	char *key;
	json_t *member;

	if (json == NULL)
		return 0;
	if (*path == '\0')
		return json_is_boolean(json) ? json_is_true(json)
					     : json_integer_value(json);
	if (*path == '?')
		return 1;
	if (*path == '#')
		return (int64_t)(json_is_array(json) ? json_array_size(json)
						     : json_object_size(json));
	if (*path == '*')
		return members_sum(json, rest);
	key = g_strndup(path, length);
	member = json_object_get(json, key);
	g_free(key);
	return query_number(member, rest);
}
