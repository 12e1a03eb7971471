/* Backpressure signals of the servers, and checks that senders obey them. */
#include "site.h"

#define LIMIT_GRACE_USEC (3 * USEC_PER_SEC)
#define WINDOW_SEC 4
#define WINDOW_USEC (WINDOW_SEC * USEC_PER_SEC)
#define LIMIT_TOLERANCE 1.5
#define LIMIT_BURST 5.0

#define LEAVING_GRACE_USEC (2 * USEC_PER_SEC)
/* Requests already in transit when a server requests a backoff arrive within
 * BACKOFF_GRACE_USEC. BACKOFF_REQUESTS_MAX more are allowed after it. */
#define BACKOFF_GRACE_USEC (500 * USEC_PER_MSEC)
#define BACKOFF_REQUESTS_MAX 2u

void signals_add_headers(struct server *server, struct web_request *request)
{
	char text[32];

	if (server->limit >= 0.0) {
		g_ascii_formatd(text, sizeof(text), "%.1f", server->limit);
		web_reply_header(request, "server-limit", text);
	}
	if (server->leaving_by_answer) {
		web_reply_header(request, "server-leaving", "1");
		if (server->leaving_announced_at == 0)
			server->leaving_announced_at =
				clock_now(server->site->clock);
	}
}

void signals_add_backoff(struct server *server, struct web_request *request)
{
	int64_t now = clock_now(server->site->clock);
	char text[32];

	g_ascii_formatd(text, sizeof(text), "%.2f", server->backoff_sec);
	web_reply_header(request, "retry-after", text);
	if (now < server->backoff_until)
		return;
	server->backoff_from = now + BACKOFF_GRACE_USEC;
	server->backoff_until =
		now + (int64_t)(server->backoff_sec * (double)USEC_PER_SEC);
	server->backoff_arrivals = 0;
}

void signals_set_limit(struct server *server, double limit)
{
	server->limit = limit;
	server->limited_at = clock_now(server->site->clock);
	g_array_set_size(server->arrivals, 0);
}

/* Number of arrivals in the last window. */
static guint window_count(struct server *server, int64_t now)
{
	while (server->arrivals->len > 0 &&
	       now - g_array_index(server->arrivals, int64_t, 0) > WINDOW_USEC)
		g_array_remove_index(server->arrivals, 0);
	return server->arrivals->len;
}

static void limit_check(struct server *server, int64_t now)
{
	double allowed =
		server->limit * LIMIT_TOLERANCE * WINDOW_SEC + LIMIT_BURST;

	if (server->limit < 0.0 || now - server->limited_at < LIMIT_GRACE_USEC)
		return;
	g_array_append_val(server->arrivals, now);
	if ((double)window_count(server, now) > allowed)
		server->site->ledger.over_limit++;
}

void signals_check(struct server *server)
{
	int64_t now = clock_now(server->site->clock);

	limit_check(server, now);
	if (server->leaving_announced_at != 0 &&
	    now - server->leaving_announced_at > LEAVING_GRACE_USEC)
		server->site->ledger.after_leaving++;
	if (now >= server->backoff_from && now < server->backoff_until &&
	    ++server->backoff_arrivals > BACKOFF_REQUESTS_MAX)
		server->site->ledger.in_backoff++;
}

void signals_reset(struct server *server)
{
	signals_set_limit(server, -1.0);
	server->leaving_by_answer = false;
	server->leaving_announced_at = 0;
	server->backoff_sec = 0.0;
	server->backoff_until = 0;
}
