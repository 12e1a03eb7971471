/* A daemon's admin address with scripted answers. */
#ifndef TESTS_CTL_FAKE_ADMIN_H
#define TESTS_CTL_FAKE_ADMIN_H

#include <glib.h>

#include "web/loop.h"
#include "web/server.h"

enum fake_mode {
	FAKE_OK,
	FAKE_EMPTY,    /* no file was applied yet */
	FAKE_STALE,    /* another revision is in force */
	FAKE_BAD,      /* the daemon refuses the file */
	FAKE_LOG_DOWN, /* the log is down */
	FAKE_ABORTED,  /* the connection breaks during the answer to an apply */
	FAKE_NOT_JSON,
	FAKE_RESTART, /* restarts before every second report */
};

struct fake_admin {
	enum fake_mode mode;
	struct web_server *server;
	GString *requests; /* "METHOD path?query\n" for each request */
	unsigned int report_count;
	char *content;
};

struct fake_admin *fake_admin_create(struct loop *loop, enum fake_mode mode);
void fake_admin_destroy(struct fake_admin *fake);

#endif
