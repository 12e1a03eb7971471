/*
 * node_settings.c - reload of settings while the process runs
 */
#include "node.h"

#include <sys/stat.h>

#include "common/log.h"

/* Polling interval of the settings file. */
#define FILE_CHECK_USEC (1 * USEC_PER_SEC)

struct budget_settings node_budget(const struct forward_settings *settings)
{
	return (struct budget_settings){
		.ratio = settings->retry_ratio,
		.slack = settings->retry_slack,
		.window_usec = (int64_t)(settings->retry_window_sec *
					 (double)USEC_PER_SEC),
	};
}

/* Modification time of the file; 0 when it is unknown. */
static int64_t file_time(const struct node *node)
{
	struct stat state;

	if (!node->file || stat(node->file, &state) != 0)
		return 0;
	return state.st_mtim.tv_sec * USEC_PER_SEC +
	       state.st_mtim.tv_nsec / 1000;
}

void node_settings_reload(struct node *node)
{
	struct forward_settings fresh;
	struct budget_settings budget;
	struct error err;

	node->file_read = file_time(node);
	if (!forward_settings_read(&fresh, node->file, node->argc, node->argv,
				   &err)) {
		log_event(LOG_ERR, "settings_kept", LOG_S("reason", err.text));
		return;
	}
	/* Addresses and names need a restart. */
	node->settings.retry_ratio = fresh.retry_ratio;
	node->settings.retry_slack = fresh.retry_slack;
	node->settings.retry_window_sec = fresh.retry_window_sec;
	node->settings.grace_sec = fresh.grace_sec;
	node->settings.quarantine_crashes = fresh.quarantine_crashes;
	budget = node_budget(&node->settings);
	budgets_configure(node->budgets, &budget);
	node->settings.limit_policy = fresh.limit_policy;
	quarantine_configure(node->quarantine,
			     node->settings.quarantine_crashes);
	limits_set_policy(node->limits, node->settings.limit_policy);
	node->settings.plain_queue = fresh.plain_queue;
	forward_set_plain_queue(node->forward, fresh.plain_queue);
	log_setup(node->clock, PROGRAM, fresh.log_level);
	log_event(LOG_NOTICE, "settings_read", LOG_S("file", node->file));
}

static void on_file_check(struct timer *timer, void *ctx)
{
	struct node *node = ctx;
	int64_t time = file_time(node);

	timer_start(timer, FILE_CHECK_USEC);
	if (time != 0 && time != node->file_read)
		node_settings_reload(node);
}

void node_settings_watch(struct node *node)
{
	node->file_read = file_time(node);
	timer_init(&node->file_timer, node->clock, on_file_check, node);
	timer_start(&node->file_timer, FILE_CHECK_USEC);
}
