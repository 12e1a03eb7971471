/*
 * component_config.c - the configuration fold and the use of a new revision
 */
#include "component_private.h"

#include "common/log.h"
#include "entry/entry.h"
#include "entry/own_platform.h"
#include "entry/peers.h"
#include "entry/requests.h"
#include "policy/policy.h"

/* The file in force is reappended after a third of the log's retention
 * time, which leaves a second and a third attempt if there is an outage. */
#define REAPPENDS_PER_RETENTION 3

#define FILE_LABEL "config"

/* If the ledger refuses a configuration, it keeps the previous one. */
static bool ledger_accepts(struct entry *entry, uint64_t revision,
			   const struct config *config)
{
	struct error err;

	if (!entry->ledger || ledger_configure(entry->ledger, config, &err))
		return true;
	log_event(LOG_ERR, "configuration_refused", LOG_D("revision", revision),
		  LOG_D("code", err.code), LOG_S("reason", err.text));
	return false;
}

void entry_configure(struct entry *entry, uint64_t revision,
		     struct config *config)
{
	struct config *old = entry->config;

	if ((old && revision < entry->revision) ||
	    !ledger_accepts(entry, revision, config)) {
		config_destroy(config);
		return;
	}
	entry->config = config;
	entry->revision = revision;
	gauge_get(entry->counters, "jt_config_revision",
		  "Revision of the configuration in force", NULL)
		->value = (int64_t)revision;
	if (entry->requests)
		requests_configured(entry->requests);
	config_destroy(old);
	log_event(LOG_NOTICE, "configuration_in_force",
		  LOG_D("revision", revision),
		  LOG_S("policy", config->policy.name));
}

static bool semantics_check(const struct config *config, struct error *err)
{
	return ledger_check(config, err) && policy_check(&config->policy, err);
}

static struct config *content_parse(const void *data, size_t size,
				    struct error *err)
{
	struct config *config = config_parse(FILE_LABEL, data, size, err);

	if (!config || semantics_check(config, err))
		return config;
	config_destroy(config);
	return NULL;
}

static bool fold_check(void *ctx, const void *data, size_t size,
		       struct error *err)
{
	struct config *config = content_parse(data, size, err);

	config_destroy(config);
	return config != NULL;
}

static void fold_changed(void *ctx, uint64_t revision, const void *data,
			 size_t size)
{
	struct entry *entry = ctx;
	struct error err;
	struct config *config = content_parse(data, size, &err);

	if (config) {
		entry_configure(entry, revision, config);
		return;
	}
	log_event(LOG_ERR, "configuration_unreadable",
		  LOG_D("revision", revision), LOG_D("code", err.code),
		  LOG_S("reason", err.text));
}

static void fold_audited(void *ctx, const struct fold_audit *audit)
{
	struct entry *entry = ctx;
	bool accepted = audit->code == RESULT_OK;

	counter_get(entry->counters, "jt_config_changes_total",
		    "Configuration files read from the log",
		    accepted ? "result=\"accepted\"" : "result=\"refused\"")
		->value++;
	log_event(LOG_NOTICE, "configuration_change",
		  LOG_S("author", audit->author),
		  LOG_D("revision", audit->offset), LOG_D("base", audit->base),
		  LOG_S("result", result_label(audit->code)),
		  LOG_S("reason", audit->reason),
		  LOG_X("content_hash", audit->content_hash),
		  LOG_D("size", audit->size), LOG_D("unix_us", audit->unix_us));
}

static void config_receive(void *ctx, uint64_t from, const void *data,
			   size_t size)
{
	fold_receive(ctx, from, data, size);
}

static bool file_load(struct entry *entry, struct error *err)
{
	struct config *config;

	if (!entry->settings.config_file || entry->config)
		return true;
	config = config_load(entry->settings.config_file, err);
	if (!config)
		return false;
	if (!semantics_check(config, err)) {
		config_destroy(config);
		return false;
	}
	entry_configure(entry, REVISION_NONE, config);
	return true;
}

bool fold_component_start(void *ctx, struct error *err)
{
	static const struct fold_ops ops = {
		.check = fold_check,
		.changed = fold_changed,
		.audit = fold_audited,
	};
	struct entry *entry = ctx;
	struct transport transport = peers_transport(entry->peers);

	if (!file_load(entry, err))
		return false;
	entry->fold = fold_create(entry->clock, entry->membership,
				  platform_log(entry->platform), &transport,
				  &ops, entry);
	fold_reappend_after(entry->fold, entry->settings.log_retention_usec /
						 REAPPENDS_PER_RETENTION);
	peers_handler_set(entry->peers, CHANNEL_CONFIG, config_receive,
			  entry->fold);
	fold_start(entry->fold);
	return true;
}

void fold_component_stop(void *ctx)
{
	struct entry *entry = ctx;

	peers_handler_set(entry->peers, CHANNEL_CONFIG, NULL, NULL);
	fold_destroy(entry->fold);
	entry->fold = NULL;
}
