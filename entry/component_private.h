/*
 * component_private.h - start and stop functions of the components
 */
#ifndef ENTRY_COMPONENT_PRIVATE_H
#define ENTRY_COMPONENT_PRIVATE_H

#include <stdbool.h>

struct entry;
struct error;

/* entry/component_link.c */
bool platform_start(void *ctx, struct error *err);
void platform_stop(void *ctx);
bool peers_start(void *ctx, struct error *err);
void peers_stop(void *ctx);
bool membership_component_start(void *ctx, struct error *err);
void membership_component_stop(void *ctx);
bool directory_start(void *ctx, struct error *err);
void directory_stop(void *ctx);
bool list_start(void *ctx, struct error *err);
void list_stop(void *ctx);

/* entry/component_config.c */
bool fold_component_start(void *ctx, struct error *err);
void fold_component_stop(void *ctx);

/* entry/component_ledger.c */
bool claims_component_start(void *ctx, struct error *err);
void claims_component_stop(void *ctx);
bool ledger_component_start(void *ctx, struct error *err);
void ledger_component_stop(void *ctx);
bool poller_start(void *ctx, struct error *err);
void poller_stop(void *ctx);

/* Number of missed heartbeats until a member is suspected, and again until a
 * suspected member is declared dead. */
#define SUSPECT_HEARTBEATS 3

#endif
