/*
 * proxy.h - a loopback proxy that harms connections on purpose
 *
 * DESCRIPTION
 *	One thread for each proxy and two for each connection, so that it goes
 *	on whatever the programs between it do. Each mood holds for what passes
 *	from then on; PROXY_RESET also ends what is open.
 */
#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

enum proxy_mode {
	PROXY_FORWARD,
	PROXY_SLOW,    /* each piece waits 100 ms */
	PROXY_RESET,   /* connections are reset, new ones too */
	PROXY_SILENT,  /* takes everything, passes nothing on; what is open when
			* something is taken stays so */
	PROXY_ONE_WAY, /* the same for answers; requests pass */
	PROXY_MODES,
};

struct proxy;

/* Listens on a port of its own before address. */
struct proxy *proxy_create(const char *address);
const char *proxy_address(const struct proxy *proxy);
void proxy_set(struct proxy *proxy, enum proxy_mode mode);

#endif
