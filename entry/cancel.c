/* Cancels engine streams, with retries until the engine confirms. */
#include <glib.h>
#include <string.h>

#include "common/log.h"
#include "coord/retry.h"
#include "entry/directory.h"
#include "entry/request.h"

#define CANCEL_ATTEMPTS_MAX 8u
#define CANCEL_BASE_USEC (100 * USEC_PER_MSEC)
#define CANCEL_MAX_USEC (2 * USEC_PER_SEC)

struct cancel {
	struct entry *entry;
	uint64_t runner;
	char stream[LEDGER_STREAM_MAX];
	uint32_t attempts;
	struct timer timer;
	engine_cancel_fn fn;
	void *ctx;
};

static void cancel_end(struct cancel *cancel, bool confirmed)
{
	if (!confirmed)
		log_event(LOG_WARNING, "cancel_given_up",
			  LOG_X("runner", cancel->runner),
			  LOG_S("stream", cancel->stream));
	timer_stop(&cancel->timer);
	if (cancel->fn)
		cancel->fn(cancel->ctx, confirmed);
	g_free(cancel);
}

static void cancel_answered(void *ctx, bool confirmed)
{
	struct cancel *cancel = ctx;

	if (confirmed || ++cancel->attempts >= CANCEL_ATTEMPTS_MAX) {
		cancel_end(cancel, confirmed);
		return;
	}
	timer_start(&cancel->timer,
		    retry_backoff(cancel->entry->rand, cancel->attempts,
				  CANCEL_BASE_USEC, CANCEL_MAX_USEC));
}

static void cancel_try(struct timer *timer, void *ctx)
{
	struct cancel *cancel = ctx;
	const struct backend *backend =
		directory_find(cancel->entry->directory, cancel->runner);

	if (!backend) {
		cancel_answered(cancel, false);
		return;
	}
	engine_cancel(cancel->entry, backend->address, cancel->stream,
		      cancel_answered, cancel);
}

void cancel_stream(struct entry *entry, uint64_t runner, const char *stream,
		   engine_cancel_fn fn, void *ctx)
{
	struct cancel *cancel = g_new0(struct cancel, 1);

	cancel->entry = entry;
	cancel->runner = runner;
	cancel->fn = fn;
	cancel->ctx = ctx;
	g_strlcpy(cancel->stream, stream, sizeof(cancel->stream));
	timer_init(&cancel->timer, entry->clock, cancel_try, cancel);
	timer_start(&cancel->timer, 0);
}
