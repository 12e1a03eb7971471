/*
 * main.c - jtctl: applies configuration files and reports on a running site
 */
#include <stdlib.h>

#include "common/clock.h"
#include "common/log.h"
#include "ctl/ctl.h"
#include "web/client.h"
#include "web/loop.h"

static const char *author(void)
{
	const char *name = getenv("JT_AUTHOR");

	return name ? name : getenv("USER");
}

int main(int argc, char **argv)
{
	struct clock *clock = clock_create_system();
	struct loop *loop = loop_create(clock);
	struct ctl ctl = {
		.loop = loop,
		.client = web_client_create(loop),
		.out = stdout,
		.err = stderr,
		.admin = getenv("JT_ADMIN"),
		.author = author(),
	};
	int code;

	log_setup(clock, "jtctl", LOG_ERR);
	code = ctl_run(&ctl, argc, argv);
	web_client_destroy(ctl.client);
	loop_destroy(loop);
	clock_destroy(clock);
	return code;
}
