/*
 * address.h - numeric "IP:port" texts and socket addresses
 *
 * DESCRIPTION
 *	IPv4 as "127.0.0.1:80", IPv6 as "[::1]:80". Names are not looked up.
 */
#ifndef COMMON_ADDRESS_H
#define COMMON_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

struct error;

#define ADDRESS_TEXT_MAX 64

/* False with RESULT_BAD_SETTING when text is no address. */
bool address_parse(const char *text, struct sockaddr_storage *address,
		   socklen_t *size, struct error *err);
void address_print(const struct sockaddr_storage *address,
		   char text[ADDRESS_TEXT_MAX]);

#endif
