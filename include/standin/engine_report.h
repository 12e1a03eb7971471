/*
 * engine_report.h - load, streams, events and ledger of an engine as JSON
 */
#ifndef STANDIN_ENGINE_REPORT_H
#define STANDIN_ENGINE_REPORT_H

#include <jansson.h>
#include <stdint.h>

struct engine_model;

/* Each returns a new object, in the form of docs/PROTOCOLS.md. */
json_t *report_load(const struct engine_model *model);
json_t *report_streams(const struct engine_model *model);
json_t *report_events(struct engine_model *model, uint64_t from);
json_t *report_ledger(const struct engine_model *model);

#endif
