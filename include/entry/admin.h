/*
 * admin.h - HTTP endpoints for operators and the load balancer
 *
 * DESCRIPTION
 *	GET /health, /metrics, /status, /config, /history and /measures, and
 *	POST /config?base=N&author=NAME, on the admin address. Only POST
 *	/config changes state. It is answered once the file was read back from
 *	the log, with the HTTP status of its result code and
 *	{"code": n, "result": text, "revision": n, "error": text}.
 */
#ifndef ENTRY_ADMIN_H
#define ENTRY_ADMIN_H

#include <glib.h>
#include <stdbool.h>

struct entry;
struct error;
struct admin;

/* NULL with RESULT_IO when it cannot listen. */
struct admin *admin_create(struct entry *entry, struct error *err);
void admin_destroy(struct admin *admin);
/* "IP:port" as bound. */
const char *admin_address(const struct admin *admin);

/* The JSON of GET /status and GET /history. */
void status_print(const struct entry *entry, GString *out);
void history_print(const struct entry *entry, GString *out);
/* Updates the gauges that are computed on demand. */
void status_measure(const struct entry *entry);

#endif
