/* What servers ask of those that send to them, and whether it is heeded. */
#include "site.h"

#define CONTACT_USEC (3 * USEC_PER_SEC)
#define WINDOW_SEC 4
#define WINDOW_USEC (WINDOW_SEC * USEC_PER_SEC)
#define OVER_PART 1.5
#define OVER_REQUESTS 5.0

void asks_tell(const struct server *server, struct web_request *request)
{
	char text[32];

	if (server->limit < 0.0)
		return;
	g_ascii_formatd(text, sizeof(text), "%.1f", server->limit);
	web_reply_header(request, "server-limit", text);
}

void asks_limit(struct server *server, double limit)
{
	server->limit = limit;
	server->limited_at = clock_now(server->site->clock);
	g_array_set_size(server->arrivals, 0);
}

/* Those of the last window that count against the limit. */
static guint window_count(struct server *server, int64_t now)
{
	while (server->arrivals->len > 0 &&
	       now - g_array_index(server->arrivals, int64_t, 0) > WINDOW_USEC)
		g_array_remove_index(server->arrivals, 0);
	return server->arrivals->len;
}

void asks_judge(struct server *server)
{
	int64_t now = clock_now(server->site->clock);
	double allowed = server->limit * OVER_PART * WINDOW_SEC + OVER_REQUESTS;

	if (server->limit < 0.0 || now - server->limited_at < CONTACT_USEC)
		return;
	g_array_append_val(server->arrivals, now);
	if ((double)window_count(server, now) > allowed)
		server->site->ledger.over_limit++;
}
