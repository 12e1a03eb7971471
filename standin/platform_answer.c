#include "standin/platform.h"

#include <string.h>

#include "web/server.h"

#define STATUS_NOT_MODIFIED 304

struct deferred_answer {
	struct platform *platform;
	struct web_request *request;
	struct timer timer;
	GList *link;
	int status;
	bool cut;
	char *body;
};

void platform_faults_init(struct platform *platform)
{
	static const char *const names[] = {
		[PLATFORM_OUTAGE] = "outage",
		[PLATFORM_SLOW] = "slow",
		[PLATFORM_LOSE_ANSWER] = "lose_answer",
		[PLATFORM_LAG] = "lag",
		[PLATFORM_CUT] = "cut",
		[PLATFORM_CUT + 1] = NULL,
	};

	fault_init(&platform->faults, names);
}

/* Sends the headers first, because an abort before them is sent as a 500,
 * which is an answer. */
static void answer_abort(struct web_request *request)
{
	web_reply_start(request, 200, "application/json");
	web_reply_abort(request);
}

static void answer_send(struct web_request *request, int status,
			const char *body, bool cut)
{
	if (cut) {
		answer_abort(request);
		return;
	}
	web_reply(request, status, "application/json", body,
		  status == STATUS_NOT_MODIFIED ? 0 : strlen(body));
}

static void answer_free(struct deferred_answer *answer)
{
	timer_stop(&answer->timer);
	g_queue_delete_link(&answer->platform->deferred_answers, answer->link);
	g_free(answer->body);
	g_free(answer);
}

static void answer_due(struct timer *timer, void *ctx)
{
	struct deferred_answer *answer = ctx;
	struct web_request *request = answer->request;

	answer_send(request, answer->status, answer->body, answer->cut);
	answer_free(answer);
}

static void answer_gone(void *ctx)
{
	answer_free(ctx);
}

static void answer_defer(struct platform *platform, struct web_request *request,
			 int status, char *body, bool cut, int64_t delay_usec)
{
	struct deferred_answer *answer = g_new0(struct deferred_answer, 1);

	answer->platform = platform;
	answer->request = request;
	answer->status = status;
	answer->cut = cut;
	answer->body = body;
	g_queue_push_tail(&platform->deferred_answers, answer);
	answer->link = platform->deferred_answers.tail;
	timer_init(&answer->timer, platform->clock, answer_due, answer);
	timer_start(&answer->timer, delay_usec);
	web_request_on_gone(request, answer_gone, answer);
}

static void answer_start(struct platform *platform, struct web_request *request,
			 int status, json_t *json, bool cut, int64_t delay_usec)
{
	char *text = json_dumps(json, JSON_COMPACT);
	char *body = g_strdup(text);

	free(text);
	json_decref(json);
	delay_usec +=
		fault_take(&platform->faults, PLATFORM_SLOW) * USEC_PER_MSEC;
	if (delay_usec > 0) {
		answer_defer(platform, request, status, body, cut, delay_usec);
		return;
	}
	answer_send(request, status, body, cut);
	g_free(body);
}

void platform_answer(struct platform *platform, struct web_request *request,
		     int status, json_t *body, int64_t delay_usec)
{
	answer_start(platform, request, status, body, false, delay_usec);
}

void platform_answer_effect(struct platform *platform,
			    struct web_request *request, int status,
			    json_t *body)
{
	bool cut = fault_take(&platform->faults, PLATFORM_LOSE_ANSWER) != 0;

	answer_start(platform, request, status, body, cut, 0);
}

void platform_answer_error(struct platform *platform,
			   struct web_request *request, int status,
			   const char *text)
{
	platform_answer(platform, request, status,
			json_pack("{s:s}", "error", text), 0);
}

bool platform_apply_cut(struct platform *platform, struct web_request *request)
{
	if (fault_take(&platform->faults, PLATFORM_CUT) == 0)
		return false;
	answer_abort(request);
	return true;
}

void platform_answers_clear(struct platform *platform)
{
	struct deferred_answer *answer;

	while ((answer = g_queue_peek_head(&platform->deferred_answers)) !=
	       NULL)
		answer_free(answer);
}
